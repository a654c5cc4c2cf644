package follow

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/internal/wait"
)

const (
	// firstRate is the number of chunks a second with which a node begins to
	// read the platform; it doubles each second up to the node's share.
	firstRate = 20.0
	// fleetRate is the number of chunks a second that all readers together may
	// read. It leaves half of the platform's rate to all else.
	fleetRate = 1000.0
	// idleReset is the pause after which a node begins slowly again.
	idleReset = 10 * time.Second
)

// pace spreads one node's reads of chunks from the platform. The zero value is
// ready for use and safe for use by several goroutines at once. Lock order: mu
// is the only lock.
type pace struct {
	mu    sync.Mutex
	began time.Time
	next  time.Time
}

// wait waits for the node's turn and returns false when ctx ends first.
func (p *pace) wait(ctx context.Context, readers int) bool {
	wait.For(ctx, p.reserve(time.Now(), readers))
	return ctx.Err() == nil
}

// reserve takes the next turn and returns the time until then.
func (p *pace) reserve(now time.Time, readers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.next) > idleReset {
		p.began, p.next = now, now
	}
	rate := firstRate
	for d := now.Sub(p.began); d > time.Second && rate < fleetRate; d -= time.Second {
		rate *= 2
	}
	rate = min(rate, fleetRate/float64(max(readers, 1)))
	turn := p.next
	if turn.Before(now) {
		turn = now
	}
	p.next = turn.Add(time.Duration(float64(time.Second) / rate))
	return turn.Sub(now)
}
