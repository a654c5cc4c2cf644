package slots

import (
	"testing"
	"time"

	"lavenderdeal/core/priority"
)

// server has a constant latency up to its true number of slots, and a latency in
// proportion to the running calls above that.
type server struct {
	slots int
	work  time.Duration
}

func (s server) latency(running int) time.Duration {
	return s.work * time.Duration(max(running, s.slots)) / time.Duration(s.slots)
}

// run feeds the estimator n calls of a priority at the given concurrency, or at the
// limit if it is 0.
func run(e *Estimator, now time.Time, s server, p priority.Priority, concurrency, n int) time.Time {
	for range n {
		running := concurrency
		if running == 0 {
			running = e.Limit()
		}
		took := s.latency(running)
		now = now.Add(took / time.Duration(running))
		e.Observe(now, p, took, running >= e.Limit())
	}
	return now
}

// Guards against a limit that does not approach the server's true number of slots, and
// against one that follows latency of another cause: slower work, free slots or another
// mix of priorities.
func TestLimit(t *testing.T) {
	const declared = 18
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	work := 10 * time.Millisecond
	limitAfter := func(s server) int {
		e := New(declared)
		now := run(e, begin, s, priority.Urgent, 2, 2_000)
		run(e, now, s, priority.Urgent, 0, 100_000)
		return e.Limit()
	}
	t.Run("true slots as declared", func(t *testing.T) {
		if got := limitAfter(server{slots: declared, work: work}); got < declared || got > declared*5/4 {
			t.Errorf("limit %d, want %d to %d", got, declared, declared*5/4)
		}
	})
	t.Run("increases without effect are reverted", func(t *testing.T) {
		e := New(declared)
		now := run(e, begin, server{slots: declared, work: work}, priority.Urgent, 2, 2_000)
		sum, n := 0, 1_000
		for range n {
			now = run(e, now, server{slots: declared, work: work}, priority.Urgent, 0, 200)
			sum += e.Limit()
		}
		if mean := float64(sum) / float64(n); mean > 1.01*declared {
			t.Errorf("mean limit %.2f, want at most 1%% above %d", mean, declared)
		}
	})
	t.Run("true slots twice as many", func(t *testing.T) {
		if got := limitAfter(server{slots: 2 * declared, work: work}); got < 2*declared*95/100 {
			t.Errorf("limit %d, want %d", got, 2*declared)
		}
	})
	t.Run("true slots half as many", func(t *testing.T) {
		if got := limitAfter(server{slots: declared / 2, work: work}); got < declared/2 || got > declared*9/10 {
			t.Errorf("limit %d, want %d to %d", got, declared/2, declared*9/10)
		}
	})
	t.Run("latency of another cause", func(t *testing.T) {
		e := New(declared)
		now := run(e, begin, server{slots: declared, work: work}, priority.Urgent, 2, 2_000)
		sum, n := 0, 1_000
		for range n {
			now = run(e, now, server{slots: declared, work: 3 * work}, priority.Urgent, 0, 100)
			sum += e.Limit()
		}
		if mean := float64(sum) / float64(n); mean < 0.95*declared {
			t.Errorf("mean limit %.2f, want at least 95%% of %d", mean, declared)
		}
	})
	t.Run("latency while slots are free", func(t *testing.T) {
		e := New(declared)
		now := run(e, begin, server{slots: declared, work: work}, priority.Urgent, 2, 2_000)
		run(e, now, server{slots: declared, work: 3 * work}, priority.Urgent, 2, 2_000)
		if e.Limit() != declared {
			t.Errorf("limit %d, want %d", e.Limit(), declared)
		}
	})
	t.Run("a change of the mix is no overload", func(t *testing.T) {
		e := New(declared)
		now := run(e, begin, server{slots: declared, work: work}, priority.Urgent, 2, 2_000)
		run(e, now, server{slots: declared, work: 20 * work}, priority.Bulk, 0, 20_000)
		if e.Limit() < declared {
			t.Errorf("limit %d, want %d", e.Limit(), declared)
		}
	})
	t.Run("refusals by the server itself", func(t *testing.T) {
		e := New(declared)
		now := begin
		for range 500 {
			e.ObserveOverload()
			now = run(e, now, server{slots: declared, work: work}, priority.Urgent, 0, 100)
		}
		if got := e.Limit(); got != declared/minDivisor {
			t.Errorf("limit %d, want the lowest, %d", got, declared/minDivisor)
		}
	})
}
