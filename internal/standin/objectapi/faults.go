package objectapi

import (
	"maps"
	"net/http"
	"time"
)

// Faults is what goes wrong.
type Faults struct {
	// Down breaks every connection.
	Down bool
	// Delay holds every answer back.
	Delay time.Duration
	// StaleReads makes reads and watches see what the store held when it fell behind.
	// Writes still compare with the newest objects.
	StaleReads bool
	// LostWriteResponses is the number of writes that take effect and whose answers
	// are lost.
	LostWriteResponses int
}

// Limits bound what the store takes. A zero field sets no limit of its kind.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond allow a burst of one second.
	ReadsPerSecond, WritesPerSecond float64
	// MaxValueBytes is the largest value in bytes; 1 MiB when it is zero.
	MaxValueBytes int64
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !f.StaleReads:
		s.behind = nil
	case s.behind == nil:
		s.behind = maps.Clone(s.objects)
	}
	s.faults = f
	// Waiting watches look again: they break, or see what they missed.
	s.wake()
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.reads = newBucket(l.ReadsPerSecond)
	s.writes = newBucket(l.WritesPerSecond)
}

func (s *Store) maxValue() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.MaxValueBytes > 0 {
		return s.limits.MaxValueBytes
	}
	return maxValue
}

// holdBack applies the faults that come before a request is looked at. It
// returns false when the request has ended meanwhile.
func (s *Store) holdBack(r *http.Request) bool {
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

// admit counts a request and refuses it when its limit is reached.
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
	rate   float64
	tokens float64
	filled time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate} }

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	if !b.filled.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
