// Package inforce holds the version of the plans that a node has in force.
//
// The control loop sets it, every call reads it, and a call that was decided
// under a newer version waits for it:
//
//	var held inforce.Plans
//	held.Set(version)
//	current, err := held.AtLeast(ctx, 7)
package inforce

import (
	"context"
	"sync"
	"sync/atomic"

	"lavenderdeal/core/plans"
)

// Plans is the version in force. The zero value has none. It is safe for use by
// several goroutines at once. Lock order: mu is the only lock.
type Plans struct {
	current atomic.Pointer[plans.Version]

	mu      sync.Mutex
	changed chan struct{}
	wanted  chan struct{}
	heard   uint64
}

// Get returns the version in force, or nil when there is none.
func (p *Plans) Get() *plans.Version { return p.current.Load() }

// Number returns the number of the version in force, or 0 when there is none.
func (p *Plans) Number() uint64 {
	if v := p.current.Load(); v != nil {
		return v.Number()
	}
	return 0
}

// Set puts a version in force. A version that is not newer than the one in
// force is ignored; Set then returns false.
func (p *Plans) Set(v *plans.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Number() <= p.Number() {
		return false
	}
	p.current.Store(v)
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	return true
}

// AtLeast waits until a version with this number or a newer one is in force.
func (p *Plans) AtLeast(ctx context.Context, number uint64) (*plans.Version, error) {
	for {
		if v := p.current.Load(); v != nil && v.Number() >= number {
			return v, nil
		}
		changed, ready := p.wait(number)
		if ready {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// ReportVersion tells that a peer has a version with this number. A number above that of
// the version in force signals Wanted.
func (p *Plans) ReportVersion(number uint64) {
	if number <= p.Number() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = max(p.heard, number)
	p.signalLocked()
}

// Newest returns the highest number that the node has heard of or has in force.
func (p *Plans) Newest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.heard, p.Number())
}

// Outdated signals that somebody has or needs a version newer than the one
// in force.
func (p *Plans) Outdated() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wantedLocked()
}

func (p *Plans) wait(number uint64) (changed chan struct{}, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Number() >= number && p.current.Load() != nil {
		return nil, true
	}
	p.heard = max(p.heard, number)
	p.signalLocked()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed, false
}

func (p *Plans) signalLocked() {
	select {
	case p.wantedLocked() <- struct{}{}:
	default:
	}
}

func (p *Plans) wantedLocked() chan struct{} {
	if p.wanted == nil {
		p.wanted = make(chan struct{}, 1)
	}
	return p.wanted
}
