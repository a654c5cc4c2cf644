// Package slots corrects the declared number of slots of a backend server by the
// latency that its calls show.
//
// # Estimate
//
// An [Estimate] starts at the declared number. Observe is told the time that
// each call took and whether the slots were all in use. The mean of a window is
// compared with the lowest mean of the last minutes, for each priority by
// itself, so that a change of the mix is not taken for an overload:
//
//	e := slots.New(18)
//	e.Observe(now, priority.Urgent, 12*time.Millisecond, true)
//	limit := e.Limit()
//
// A server that takes calls at its usual latency while all slots are in use is
// given more, up to twice the declared number. One whose latency grows is given
// fewer, down to a quarter, as long as it ends as many calls as before: if it
// ends fewer, the latency has another cause, and the slots are given back. One
// that refuses calls itself is given fewer too.
package slots

import (
	"time"

	"lavenderdeal/core/priority"
)

const (
	// windowCalls and windowTime are what a window needs at least.
	windowCalls = 200
	windowTime  = 1 * time.Second
	// baselineAge is how long a baseline is believed.
	baselineAge     = 30 * time.Second
	baselineBuckets = 10

	highestFactor  = 2
	lowestDivisor  = 4
	growthDivisor  = 16
	shrinkDivisor  = 8
	growBelow      = 1.02
	returnBelow    = 1.30
	shrinkAbove    = 1.04
	shrinkDeclared = 1.60
	// A reduction is taken back when the calls per second fell by more than this
	// part of it, an increase above the declared number when they rose by less.
	// The next one then waits for shortestHold, and twice as long each further
	// time.
	helpShare    = 0.5
	shortestHold = 30 * time.Second
	longestHold  = 8 * time.Minute
	// saturatedShare is the share of calls of a window that found all slots in
	// use, from which on the limit may grow.
	saturatedShare = 0.5
)

// Estimate is the number of calls that a backend server may run at once. The
// caller serializes all calls.
type Estimate struct {
	declared int
	limit    int
	windows  [priority.Count]window

	started   time.Time
	calls     int
	saturated int
	shed      bool

	reduced, increased attempt
}

// attempt is a change of the limit in one direction.
type attempt struct {
	// pending says that the change is not yet confirmed, and limit and rate are
	// from before it.
	pending bool
	limit   int
	rate    float64
	hold    time.Duration
	until   time.Time
}

// begin notes the state before the change.
func (a *attempt) begin(limit int, rate float64) { a.pending, a.limit, a.rate = true, limit, rate }

// takeBack ends a change that did not help and returns the limit before it.
func (a *attempt) takeBack(now time.Time) int {
	a.pending = false
	a.hold = min(max(2*a.hold, shortestHold), longestHold)
	a.until = now.Add(a.hold)
	return a.limit
}

// hasHelped says whether the calls per second went with the limit.
func (a *attempt) hasHelped(limit int, rate float64) bool {
	part := float64(limit)/float64(a.limit) - 1
	return rate >= a.rate*(1+helpShare*part)
}

// window holds one priority's part of the running window and its baseline.
type window struct {
	sum   time.Duration
	calls int
	// lowest has the lowest mean of each of the last buckets.
	lowest      [baselineBuckets]time.Duration
	bucket      int
	bucketSince time.Time
}

// New returns an estimate that starts at the declared number of slots.
func New(declared int) *Estimate {
	declared = max(declared, 1)
	return &Estimate{declared: declared, limit: declared}
}

// Limit returns the number of calls that may run at once.
func (e *Estimate) Limit() int { return e.limit }

// Observe adds a call that ended. It says whether the limit changed.
func (e *Estimate) Observe(now time.Time, p priority.Priority, took time.Duration, saturated bool) bool {
	if e.started.IsZero() {
		e.started = now
	}
	w := &e.windows[p]
	w.sum += took
	w.calls++
	e.calls++
	if saturated {
		e.saturated++
	}
	if e.calls < windowCalls || now.Sub(e.started) < windowTime {
		return false
	}
	return e.endWindow(now)
}

// Shed notes that the backend server refused a call itself, for want of room.
func (e *Estimate) Shed() { e.shed = true }

func (e *Estimate) endWindow(now time.Time) bool {
	before := e.limit
	ratio := e.ratio(now)
	rate := float64(e.calls) / now.Sub(e.started).Seconds()
	saturated := float64(e.saturated) >= saturatedShare*float64(e.calls)
	reduced, increased := e.reduced.pending, e.increased.pending
	if saturated {
		e.reduced.pending, e.increased.pending = false, false
	}
	switch {
	case e.shed:
		e.limit -= e.step()
	case !saturated:
	case reduced && !e.reduced.hasHelped(e.limit, rate):
		e.limit = e.reduced.takeBack(now)
	case increased && !e.increased.hasHelped(e.limit, rate):
		e.limit = e.increased.takeBack(now)
	case ratio > e.shrinkThreshold():
		if !now.Before(e.reduced.until) {
			e.reduced.begin(e.limit, rate)
			e.limit -= e.step()
		}
	case ratio < e.growThreshold():
		e.grow(now, rate)
	}
	e.limit = min(max(e.limit, e.declared/lowestDivisor, 1), e.declared*highestFactor)
	e.started, e.calls, e.saturated, e.shed = now, 0, 0, false
	return e.limit != before
}

// grow gives back slots, or more than were declared as long as that helps.
func (e *Estimate) grow(now time.Time, rate float64) {
	if e.limit >= e.declared {
		if now.Before(e.increased.until) {
			return
		}
		e.increased.begin(e.limit, rate)
	}
	e.limit += max(e.limit/growthDivisor, 1)
}

func (e *Estimate) step() int { return max(e.limit/shrinkDivisor, 1) }

func (e *Estimate) shrinkThreshold() float64 {
	if e.limit > e.declared {
		return shrinkAbove
	}
	return shrinkDeclared
}

func (e *Estimate) growThreshold() float64 {
	if e.limit < e.declared {
		return returnBelow
	}
	return growBelow
}

// ratio returns the latency of the window against the baselines, weighed by the
// calls of each priority.
func (e *Estimate) ratio(now time.Time) float64 {
	sum := 0.0
	for p := range e.windows {
		w := &e.windows[p]
		if w.calls == 0 {
			continue
		}
		mean := w.sum / time.Duration(w.calls)
		sum += float64(w.calls) * w.against(now, max(mean, 1), w.calls >= windowCalls/int(priority.Count))
		w.sum, w.calls = 0, 0
	}
	return sum / float64(e.calls)
}

// against returns the mean divided by the baseline, and keeps the mean as a
// baseline when it stands for enough calls.
func (w *window) against(now time.Time, mean time.Duration, enough bool) float64 {
	if w.bucketSince.IsZero() {
		w.bucketSince = now
	}
	if now.Sub(w.bucketSince) >= baselineAge {
		w.bucket = (w.bucket + 1) % baselineBuckets
		w.lowest[w.bucket] = 0
		w.bucketSince = now
	}
	if lowest := w.lowest[w.bucket]; enough && (lowest == 0 || mean < lowest) {
		w.lowest[w.bucket] = mean
	}
	baseline := mean
	for _, lowest := range w.lowest {
		if lowest > 0 {
			baseline = min(baseline, lowest)
		}
	}
	return float64(mean) / float64(baseline)
}
