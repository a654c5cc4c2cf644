// Package wait waits for a time that a context can end.
//
//	for wait.For(ctx, time.Second) {
//		refresh()
//	}
package wait

import (
	"context"
	"time"
)

// For waits and returns false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pollPeriod is how often Until looks.
const pollPeriod = 5 * time.Millisecond

// Until waits until a condition holds and returns false when the limit passed or
// ctx ended first.
func Until(ctx context.Context, limit time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		if !For(ctx, pollPeriod) {
			return false
		}
	}
	return true
}
