// Package slots implements an adaptive concurrency limit: it corrects the declared
// number of slots of a backend server from the latency of its calls.
//
// # Estimator
//
// An [Estimator] starts at the declared number. Observe records the latency of each
// call and whether all slots were in use. The mean latency of a window of calls is
// compared with the lowest mean of the last minutes, separately for each priority, so
// that a change of the mix of priorities is not mistaken for an overload:
//
//	e := slots.New(18)
//	e.Observe(now, priority.Urgent, 12*time.Millisecond, true)
//	limit := e.Limit()
//
// If the latency stays at its baseline while all slots are in use, the limit grows,
// up to twice the declared number. If the latency rises, the limit shrinks, down to a
// quarter of that number. If the throughput falls with it, the latency has another
// cause, and the reduction is reverted. The limit also shrinks if the server itself
// refuses calls.
package slots

import (
	"time"

	"lavenderdeal/core/priority"
)

const (
	// windowCalls and windowTime are the minimum size of a window.
	windowCalls = 200
	windowTime  = 1 * time.Second
	// bucketTime is the time covered by each of the baselineBuckets buckets. The
	// baseline is the lowest mean latency in any of them.
	bucketTime      = 30 * time.Second
	baselineBuckets = 10

	// The limit stays between declared/minDivisor and declared*maxFactor.
	maxFactor  = 2
	minDivisor = 4
	// One step grows the limit by limit/growthDivisor or shrinks it by
	// limit/shrinkDivisor.
	growthDivisor = 16
	shrinkDivisor = 8
	// The limit grows while the latency relative to the baseline is below
	// restoreBelow, or below growBelow if the limit is not below the declared number.
	// It shrinks if the relative latency is above shrinkAbove, or above
	// shrinkExtraAbove if the limit exceeds the declared number.
	growBelow        = 1.02
	restoreBelow     = 1.30
	shrinkExtraAbove = 1.04
	shrinkAbove      = 1.60
	// A reduction is reverted if the throughput fell by more than this share of the
	// relative change of the limit, and an increase above the declared number if it
	// rose by less. The next attempt is then delayed by minHold, and by twice the
	// previous delay, up to maxHold, after each further reversal.
	minEffect = 0.5
	minHold   = 30 * time.Second
	maxHold   = 8 * time.Minute
	// saturatedShare is the share of the calls of a window that must have found all
	// slots in use for the latency to change the limit.
	saturatedShare = 0.5
)

// Estimator estimates the number of calls that a backend server should run at once.
// It is not safe for concurrent use.
type Estimator struct {
	declared int
	limit    int
	windows  [priority.Count]window

	windowStart time.Time
	calls       int
	saturated   int
	overloaded  bool

	reduced, increased attempt
}

// attempt tracks changes of the limit in one direction.
type attempt struct {
	// pending is set while the effect of the last change is unknown. limit and rate,
	// in calls per second, are the values before that change.
	pending bool
	limit   int
	rate    float64
	// hold is the delay after the last reversal, and holdUntil when it ends.
	hold      time.Duration
	holdUntil time.Time
}

// begin stores the state before the change.
func (a *attempt) begin(limit int, rate float64) { a.pending, a.limit, a.rate = true, limit, rate }

// revert ends a change that is not kept and returns the limit before it. It doubles the
// delay until the next attempt.
func (a *attempt) revert(now time.Time) int {
	a.pending = false
	a.hold = min(max(2*a.hold, minHold), maxHold)
	a.holdUntil = now.Add(a.hold)
	return a.limit
}

// shouldKeep reports whether the change is kept: the throughput fell by at most
// minEffect times the relative reduction, or rose by at least minEffect times the
// relative increase. rate is the throughput after the change, in calls per second.
func (a *attempt) shouldKeep(limit int, rate float64) bool {
	change := float64(limit)/float64(a.limit) - 1
	return rate >= a.rate*(1+minEffect*change)
}

// window holds one priority's calls of the current window and its baseline.
type window struct {
	sum   time.Duration
	calls int
	// lowest holds the lowest mean latency of each bucket, or 0.
	lowest      [baselineBuckets]time.Duration
	bucket      int
	bucketSince time.Time
}

// New returns an estimator that starts at the declared number of slots.
func New(declared int) *Estimator {
	declared = max(declared, 1)
	return &Estimator{declared: declared, limit: declared}
}

// Limit returns the current limit of concurrent calls.
func (e *Estimator) Limit() int { return e.limit }

// Observe records a call that ended after the time took. saturated is set if all slots
// were in use once it had started. Observe returns true if the limit changed.
func (e *Estimator) Observe(now time.Time, p priority.Priority, took time.Duration, saturated bool) bool {
	if e.windowStart.IsZero() {
		e.windowStart = now
	}
	w := &e.windows[p]
	w.sum += took
	w.calls++
	e.calls++
	if saturated {
		e.saturated++
	}
	if e.calls < windowCalls || now.Sub(e.windowStart) < windowTime {
		return false
	}
	return e.endWindow(now)
}

// ObserveOverload records that the backend server itself refused a call because it was
// overloaded.
func (e *Estimator) ObserveOverload() { e.overloaded = true }

// endWindow changes the limit according to the calls of the window and starts the next
// window. It returns true if the limit changed.
func (e *Estimator) endWindow(now time.Time) bool {
	before := e.limit
	ratio := e.latencyRatio(now)
	rate := float64(e.calls) / now.Sub(e.windowStart).Seconds()
	saturated := float64(e.saturated) >= saturatedShare*float64(e.calls)
	reduced, increased := e.reduced.pending, e.increased.pending
	if saturated {
		e.reduced.pending, e.increased.pending = false, false
	}
	switch {
	case e.overloaded:
		e.limit -= e.step()
	case !saturated:
	case reduced && !e.reduced.shouldKeep(e.limit, rate):
		e.limit = e.reduced.revert(now)
	case increased && !e.increased.shouldKeep(e.limit, rate):
		e.limit = e.increased.revert(now)
	case ratio > e.shrinkThreshold():
		if !now.Before(e.reduced.holdUntil) {
			e.reduced.begin(e.limit, rate)
			e.limit -= e.step()
		}
	case ratio < e.growThreshold():
		e.grow(now, rate)
	}
	e.limit = min(max(e.limit, e.declared/minDivisor, 1), e.declared*maxFactor)
	e.windowStart, e.calls, e.saturated, e.overloaded = now, 0, 0, false
	return e.limit != before
}

// grow increases the limit by one step. An increase above the declared number is an
// attempt that can be reverted.
func (e *Estimator) grow(now time.Time, rate float64) {
	if e.limit >= e.declared {
		if now.Before(e.increased.holdUntil) {
			return
		}
		e.increased.begin(e.limit, rate)
	}
	e.limit += max(e.limit/growthDivisor, 1)
}

// step returns the number of slots by which the limit shrinks.
func (e *Estimator) step() int { return max(e.limit/shrinkDivisor, 1) }

// shrinkThreshold returns the relative latency above which the limit shrinks.
func (e *Estimator) shrinkThreshold() float64 {
	if e.limit > e.declared {
		return shrinkExtraAbove
	}
	return shrinkAbove
}

// growThreshold returns the relative latency below which the limit grows.
func (e *Estimator) growThreshold() float64 {
	if e.limit < e.declared {
		return restoreBelow
	}
	return growBelow
}

// latencyRatio returns the latency of the window relative to the baselines, weighted by
// the calls of each priority, and clears the window.
func (e *Estimator) latencyRatio(now time.Time) float64 {
	sum := 0.0
	for p := range e.windows {
		w := &e.windows[p]
		if w.calls == 0 {
			continue
		}
		mean := w.sum / time.Duration(w.calls)
		sum += float64(w.calls) * w.relativeToBaseline(now, max(mean, 1), w.calls >= windowCalls/int(priority.Count))
		w.sum, w.calls = 0, 0
	}
	return sum / float64(e.calls)
}

// relativeToBaseline returns the mean divided by the baseline. enoughCalls is set if
// the mean covers enough calls to lower the baseline.
func (w *window) relativeToBaseline(now time.Time, mean time.Duration, enoughCalls bool) float64 {
	if w.bucketSince.IsZero() {
		w.bucketSince = now
	}
	if now.Sub(w.bucketSince) >= bucketTime {
		w.bucket = (w.bucket + 1) % baselineBuckets
		w.lowest[w.bucket] = 0
		w.bucketSince = now
	}
	if lowest := w.lowest[w.bucket]; enoughCalls && (lowest == 0 || mean < lowest) {
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
