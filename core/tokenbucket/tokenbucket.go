// Package tokenbucket limits a rate.
//
// A [Bucket] fills with tokens at the rate, up to a capacity that allows for bursts, and
// each event takes one:
//
//	b := tokenbucket.Full(now, 20, time.Second)
//	if !b.Take(now, 20) {
//		waitFor(b.Wait(now, 20, 1))
//	}
package tokenbucket

import "time"

// Bucket holds the tokens for one rate, which may change between calls. It is not safe
// for concurrent use.
type Bucket struct {
	// burst is the time in which the bucket fills up.
	burst time.Duration
	// tokens is the level at the time at.
	tokens float64
	at     time.Time
}

// Full returns a full bucket. The rate is in events per second, and the capacity is what
// it allows in the time of a burst, at least one event.
func Full(now time.Time, rate float64, burst time.Duration) Bucket {
	b := Bucket{burst: burst, at: now}
	b.tokens = b.capacity(rate)
	return b
}

// Take takes a token, or returns false if there is none.
func (b *Bucket) Take(now time.Time, rate float64) bool {
	b.fill(now, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until n events are allowed, if no others happen before them. It
// is 0 only if they are allowed now. The rate must be positive.
func (b *Bucket) Wait(now time.Time, rate float64, n int) time.Duration {
	b.fill(now, rate)
	missing := float64(n) - b.tokens
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/rate*float64(time.Second)))
}

// fill adds the tokens since the last call. A time before that adds none, and is not counted
// twice later.
func (b *Bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, b.capacity(rate))
}

func (b *Bucket) capacity(rate float64) float64 { return max(rate*b.burst.Seconds(), 1) }
