package objectapi

import (
	"maps"
	"net/http"
	"time"
)

// Faults are the faults that the store simulates. The zero value has none.
type Faults struct {
	// Down aborts the connection of every request.
	Down bool
	// Delay is added before every request is processed.
	Delay time.Duration
	// StaleReads makes reads and watches see the objects as they were when it was set.
	// Conditional writes still compare with the newest objects.
	StaleReads bool
	// LostWriteResponses is the number of writes that are applied but whose connection is
	// aborted in place of the response.
	LostWriteResponses int
}

// Limits are the limits on requests to the store. A zero rate means no limit.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond allow a burst of one second.
	ReadsPerSecond, WritesPerSecond float64
	// MaxValueBytes is the largest value in bytes. Zero means 1 MiB.
	MaxValueBytes int64
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !f.StaleReads:
		s.stale = nil
	case s.stale == nil:
		s.stale = maps.Clone(s.objects)
	}
	s.faults = f
	// Wake the watches, so that they abort or see the changes they missed.
	s.wakeWatches()
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.reads = newBucket(l.ReadsPerSecond)
	s.writes = newBucket(l.WritesPerSecond)
}

func (s *Store) maxValueBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.MaxValueBytes > 0 {
		return s.limits.MaxValueBytes
	}
	return defaultMaxValueBytes
}

// applyFaults applies the faults Down and Delay before a request is processed. It returns
// false when the request was canceled meanwhile.
func (s *Store) applyFaults(r *http.Request) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay == 0 {
		return true
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit counts a request. It returns false and responds with 429 when the rate limit b is
// reached.
func (s *Store) admit(w http.ResponseWriter, b *bucket, count *uint64) bool {
	s.mu.Lock()
	ok := b.take(time.Now())
	if ok {
		*count++
	} else {
		s.counts.Refused++
	}
	s.mu.Unlock()
	if !ok {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return ok
}

// bucket is a token bucket. The zero value has no limit.
type bucket struct {
	rate     float64
	tokens   float64
	refilled time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate} }

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	if !b.refilled.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
