// Package retrybudget implements a retry budget: it bounds how many requests a node sends
// again, to another server.
//
// The bound holds for the fleet: in each window, a service gets no more repeated
// requests than a ratio of its first ones plus a fixed number. Each node applies the
// ratio to its own first requests and gets an equal part of the fixed number, so that
// the nodes share no counter:
//
//	b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 64, Window: 10 * time.Second})
//	b.RecordFirst(now, "bookings")
//	if b.Take(now, "bookings", nodes) {
//		sendAgain()
//	}
package retrybudget

import (
	"time"
)

const (
	// slots is the number of time slots in the sliding window.
	slots = 10
	// usableFraction is the fraction of the fleet's bound that the nodes use. The rest
	// covers the calls that repeated requests make in turn, and differences between
	// the counts of the nodes.
	usableFraction = 0.6
)

// Bound limits the repeated requests of the whole fleet to a service.
type Bound struct {
	// Ratio is the allowed ratio of repeated to first requests.
	Ratio float64
	// Slack is the number of repeated requests in a window that are allowed beyond the
	// ratio.
	Slack float64
	// Window is the time over which requests are counted.
	Window time.Duration
}

// Budget holds the bound and the counters of one node. Use New to create one. It is
// not safe for concurrent use.
type Budget struct {
	bound Bound
	// start is when time slot 0 began.
	start    time.Time
	services map[string]*window
}

// window counts the requests to one service by time slot.
type window struct {
	// first and repeated hold the counts of time slot n at index n%slots.
	first, repeated [slots]int
	// slot is the number of the current time slot.
	slot int64
}

// New returns a budget with the bound and no requests counted.
func New(b Bound) *Budget {
	return &Budget{bound: b, services: make(map[string]*window)}
}

// SetBound changes the bound. It resets the counters if the window differs.
func (b *Budget) SetBound(bound Bound) {
	if bound.Window != b.bound.Window {
		clear(b.services)
	}
	b.bound = bound
}

// RecordFirst counts a request that was sent for the first time.
func (b *Budget) RecordFirst(now time.Time, service string) {
	w := b.windowAt(now, service)
	w.first[w.slot%slots]++
}

// Take reports whether a request may be sent again, and if so counts it. The argument
// nodes is the number of nodes that share the bound.
func (b *Budget) Take(now time.Time, service string, nodes int) bool {
	if !b.Has(now, service, nodes) {
		return false
	}
	w := b.windowAt(now, service)
	w.repeated[w.slot%slots]++
	return true
}

// Has is like Take, but counts nothing.
func (b *Budget) Has(now time.Time, service string, nodes int) bool {
	w := b.windowAt(now, service)
	first, repeated := 0, 0
	for i := range slots {
		first += w.first[i]
		repeated += w.repeated[i]
	}
	allowed := usableFraction * (b.bound.Ratio*float64(first) + b.bound.Slack/float64(max(nodes, 1)))
	return float64(repeated+1) <= allowed
}

// windowAt returns the service's window, advanced to the slot of now.
func (b *Budget) windowAt(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start) / (b.bound.Window / slots))
	if slot-w.slot >= slots {
		*w = window{slot: slot}
	}
	for w.slot < slot {
		w.slot++
		w.first[w.slot%slots] = 0
		w.repeated[w.slot%slots] = 0
	}
	return w
}
