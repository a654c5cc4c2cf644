package objectapi

import (
	"maps"
	"net/http"
	"time"
)

// Faults are the faults that the store simulates. The zero value has none.
type Faults struct {
	// Down aborts the connection of every request without a response.
	Down bool
	// Delay is the time before every request is processed.
	Delay time.Duration
	// StaleReads makes reads and watches see the objects as they were when it was set.
	// Conditional writes still compare with the newest objects.
	StaleReads bool
	// LostWriteResponses is the number of next writes that are applied but whose connection
	// is aborted in place of the response.
	LostWriteResponses int
}

// Limits are the limits on requests to the store.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond are the rates above which requests get status 429.
	// They allow a burst as large as the rate of one second. Zero means no limit.
	ReadsPerSecond, WritesPerSecond float64
	// MaxValueBytes is the largest size of a value, in bytes. Larger ones get status 413.
	// Zero means 1 MiB.
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

// SetLimits replaces the limits. The new rates begin with a full burst.
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

// admit applies the rate limit b. If it allows the request, admit increments count.
// Otherwise it responds with status 429 and returns false.
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
	// rate is the number of tokens added per second and the largest number of tokens.
	rate     float64
	tokens   float64
	refilled time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate} }

// take takes a token. It returns false if there is none.
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
