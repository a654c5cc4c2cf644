package proxy

import (
	"sync"
	"time"
)

// transfers holds the long bodies that are received now, for the metrics. The zero value is
// empty and ready to use. Lock order: mu is the only lock.
type transfers struct {
	mu sync.Mutex
	// started holds the times of admission, by the ID at the link's gate.
	started map[uint64]time.Time
}

func (t *transfers) add(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started == nil {
		t.started = make(map[uint64]time.Time)
	}
	t.started[id] = now
}

func (t *transfers) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.started, id)
}

// oldest returns how long the body that was admitted first has been received, or 0 if none
// is.
func (t *transfers) oldest(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, at := range t.started {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// Transfers returns the numbers of long bodies that are received and that wait, the number
// that may be received at once, and how long the oldest one has been received.
func (p *Proxy) Transfers() (running, queued, limit int, oldest time.Duration) {
	running, queued, limit, _ = p.link.Load("")
	return running, queued, limit, p.transfers.oldest(time.Now())
}
