// Package wait waits for a duration or for a condition. Each wait ends early when its
// context is done.
//
//	for wait.For(ctx, time.Second) {
//		refresh()
//	}
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true. It returns false if ctx is done first.
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

// pollPeriod is the time between two checks of the condition by Until.
const pollPeriod = 5 * time.Millisecond

// Until polls holds every 5 ms and returns true once holds does. It returns false if
// the limit passes or ctx is done first.
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
