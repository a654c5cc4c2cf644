package follow

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/internal/wait"
)

const (
	// initialRate is the initial rate at which a node reads the platform, in chunks
	// per second. It doubles each second up to the node's share of totalReaderRate.
	initialRate = 20.0
	// totalReaderRate is the rate of all readers together, in chunks per second.
	// It is half of the platform's rate limit; the rest is left to all other
	// requests.
	totalReaderRate = 1000.0
	// idleReset is the idle time after which a node starts again at initialRate.
	idleReset = 10 * time.Second
)

// rateLimiter limits the rate at which one node reads chunks from the platform.
// The zero value is ready to use. It is safe for concurrent use. Lock order: mu
// is the only lock.
type rateLimiter struct {
	mu        sync.Mutex
	startedAt time.Time
	next      time.Time
}

// wait blocks until the next read is allowed. The argument readers is the number of
// readers that share totalReaderRate. It returns false when ctx ends first.
func (r *rateLimiter) wait(ctx context.Context, readers int) bool {
	wait.For(ctx, r.reserve(time.Now(), readers))
	return ctx.Err() == nil
}

// reserve reserves the next read and returns the time until it is allowed.
func (r *rateLimiter) reserve(now time.Time, readers int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.next) > idleReset {
		r.startedAt, r.next = now, now
	}
	rate := initialRate
	for d := now.Sub(r.startedAt); d > time.Second && rate < totalReaderRate; d -= time.Second {
		rate *= 2
	}
	rate = min(rate, totalReaderRate/float64(max(readers, 1)))
	at := r.next
	if at.Before(now) {
		at = now
	}
	r.next = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now)
}
