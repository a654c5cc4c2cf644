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
//
// # Calls of repeated runs
//
// A server that runs a repeated request makes the calls of the run once more, and these
// count as repeated at the services that are called. The node beside the server reserves
// them before the run, from the part of the bound by its own first calls:
//
//	r, ok := b.Reserve(now, map[string]float64{"stock": 1.5}, nodes)
//	b.Use(now, &r, "stock")
//	b.Release(now, r)
package retrybudget

import (
	"time"
)

const (
	// slots is the number of time slots in the sliding window. Repeated requests are kept
	// for one more, since the current slot has only begun.
	slots = 10
	ring  = slots + 1
	// usableRatio is the fraction of the ratio that the nodes use. The rest covers calls
	// beyond the reserved ones, and demand that falls within a window.
	usableRatio = 0.75
	// usableSlack is the fraction of the fixed number that the nodes use. A node that
	// restarts has forgotten what it has used, so that each may do so once in a window.
	usableSlack = 0.5
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

// Reservation holds the calls that are reserved for one run and have not been made. The
// zero value holds none.
type Reservation struct {
	calls map[string]float64
	slot  int64
}

// window counts the requests to one service by time slot.
type window struct {
	// first and repeated hold the counts of time slot n at index n%ring.
	first, repeated [ring]float64
	// last holds the time of the last repeated request of each slot.
	last [ring]time.Time
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

// RecordFirst counts a request that was sent for the first time. Calls of repeated runs are
// counted by Use instead.
func (b *Budget) RecordFirst(now time.Time, service string) {
	w := b.windowAt(now, service)
	w.first[w.slot%ring]++
}

// Take reports whether a request may be sent again, and if so counts it. The argument
// nodes is the number of nodes that share the bound.
func (b *Budget) Take(now time.Time, service string, nodes int) bool {
	if !b.Has(now, service, nodes) {
		return false
	}
	b.add(now, service, 1)
	return true
}

// Has is like Take, but counts nothing.
func (b *Budget) Has(now time.Time, service string, nodes int) bool {
	return b.hasRoom(now, service, 1, nodes)
}

// Reserve reports whether a repeated request that makes these calls, by service, may run,
// and if so counts them.
func (b *Budget) Reserve(now time.Time, calls map[string]float64, nodes int) (Reservation, bool) {
	for service, n := range calls {
		if !b.hasRoom(now, service, n, nodes) {
			return Reservation{}, false
		}
	}
	r := Reservation{calls: make(map[string]float64, len(calls))}
	for service, n := range calls {
		r.calls[service], r.slot = n, b.add(now, service, n)
	}
	return r, true
}

// Use counts a call of a repeated run, unless it was reserved.
func (b *Budget) Use(now time.Time, r *Reservation, service string) {
	if reserved := min(r.calls[service], 1); reserved > 0 {
		r.calls[service] -= reserved
		b.giveBack(now, service, r.slot, reserved)
	}
	b.add(now, service, 1)
}

// Release gives back what was reserved for calls that were not made.
func (b *Budget) Release(now time.Time, r Reservation) {
	for service, n := range r.calls {
		b.giveBack(now, service, r.slot, n)
	}
}

// giveBack takes n reserved requests from the count of a time slot, if it is still kept.
func (b *Budget) giveBack(now time.Time, service string, slot int64, n float64) {
	if w := b.windowAt(now, service); slot <= w.slot && w.slot-slot < ring {
		at := &w.repeated[slot%ring]
		*at = max(*at-n, 0)
	}
}

// add counts n repeated requests and returns the number of the current time slot.
func (b *Budget) add(now time.Time, service string, n float64) int64 {
	w := b.windowAt(now, service)
	w.repeated[w.slot%ring] += n
	w.last[w.slot%ring] = now
	return w.slot
}

// hasRoom reports whether n more repeated requests are within this node's part of the
// bound.
func (b *Budget) hasRoom(now time.Time, service string, n float64, nodes int) bool {
	w := b.windowAt(now, service)
	first, repeated := 0.0, 0.0
	for i := range ring {
		first += w.first[i]
		repeated += w.repeated[i]
	}
	// The slot after the current one in the ring is the oldest.
	oldest := (w.slot + 1) % ring
	first -= w.first[oldest]
	if now.Sub(w.last[oldest]) >= b.bound.Window {
		repeated -= w.repeated[oldest]
	}
	return repeated+n <= usableRatio*b.bound.Ratio*first+usableSlack*b.bound.Slack/float64(max(nodes, 1))
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
	if slot-w.slot >= ring {
		*w = window{slot: slot}
	}
	for w.slot < slot {
		w.slot++
		w.first[w.slot%ring] = 0
		w.repeated[w.slot%ring], w.last[w.slot%ring] = 0, time.Time{}
	}
	return w
}
