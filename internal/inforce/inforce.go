// Package inforce holds the version of the plans that a node has in force, that is,
// the version by which it authorizes calls; see lavenderdeal/core/plans.
//
// The loop that follows new versions sets the version and every call reads it. A call
// that another node authorized under a newer version waits for that version:
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

// Plans holds the version in force. The zero value holds none. It is safe for
// concurrent use. Lock order: mu is the only lock.
type Plans struct {
	current atomic.Pointer[plans.Version]

	mu sync.Mutex
	// changed is closed when a version is put in force. It is nil if no call has
	// waited since.
	changed chan struct{}
	// outdated is the channel that Outdated returns, or nil before its first use.
	outdated chan struct{}
	// newestReported is the highest version number that a peer has or a call waited
	// for.
	newestReported uint64
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

// Set puts a version in force. If the version is not newer than the one in force,
// it returns false and changes nothing.
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

// AtLeast waits until a version with the given number or a newer one is in force,
// and returns it. It signals Outdated while it waits. The error is that of ctx.
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

// ReportVersion records that a peer has a version with the given number. If it is
// newer than the version in force, Outdated is signaled.
func (p *Plans) ReportVersion(number uint64) {
	if number <= p.Number() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newestReported = max(p.newestReported, number)
	p.signalLocked()
}

// Newest returns the highest version number that is in force, was reported or is
// waited for.
func (p *Plans) Newest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.newestReported, p.Number())
}

// Outdated returns a channel that receives a value when a peer has a newer version
// than the one in force or a call waits for one. It buffers one value: until that is
// received, further events add none.
func (p *Plans) Outdated() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outdatedLocked()
}

// wait reports whether a version with the given number or a newer one is in force. If
// not, it signals Outdated and returns a channel that is closed when the version in
// force changes.
func (p *Plans) wait(number uint64) (changed chan struct{}, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Number() >= number && p.current.Load() != nil {
		return nil, true
	}
	p.newestReported = max(p.newestReported, number)
	p.signalLocked()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed, false
}

// signalLocked signals Outdated. The caller holds mu.
func (p *Plans) signalLocked() {
	select {
	case p.outdatedLocked() <- struct{}{}:
	default:
	}
}

// outdatedLocked returns the channel of Outdated. The caller holds mu.
func (p *Plans) outdatedLocked() chan struct{} {
	if p.outdated == nil {
		p.outdated = make(chan struct{}, 1)
	}
	return p.outdated
}
