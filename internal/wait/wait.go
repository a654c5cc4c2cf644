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
