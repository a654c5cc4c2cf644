package heartbeats_test

import (
	"testing"
	"time"

	"lavenderdeal/core/heartbeats"
)

// startedAt returns a heartbeat of the run of a server that was started d after epoch.
func startedAt(d time.Duration, sequence uint64) heartbeats.Message {
	m := message("i-1", sequence)
	m.Started = epoch.Add(d)
	return m
}

// Guards against a server that is not heard because its clock has jumped back between two of
// its starts (DRAIN): its leaving is acknowledged, and it gets requests until it has exited.
func TestClockOfServerJumpsBack(t *testing.T) {
	const second = time.Second
	// newServer returns a server that was started three times, a second after each other.
	newServer := func() *heartbeats.Server {
		s := heartbeats.New("bookings", addr, drain)
		for i := range 3 {
			s.Handle(epoch.Add(time.Duration(i)*second), startedAt(time.Duration(i)*second, 1))
		}
		return s
	}
	now := epoch.Add(4 * second)
	for name, born := range map[string]time.Duration{
		"before the last start":  1500 * time.Millisecond,
		"before several starts":  -500 * time.Millisecond,
		"before the first start": -5 * second,
	} {
		t.Run("born "+name, func(t *testing.T) {
			s := newServer()
			for i := range 3 {
				s.Handle(now.Add(time.Duration(i)*second), startedAt(born, uint64(i+1)))
			}
			assertAdmits(t, s, now.Add(3*second), true)
			assertOutcome[heartbeats.Accepted](t, s.Handle(now.Add(3*second), leaving(startedAt(born, 4))))
			assertAdmits(t, s, now.Add(3*second+drain), false)
			assertOutcome[heartbeats.Ignored](t, s.Handle(now.Add(4*second), startedAt(2*second, 2)))
			assertOutcome[heartbeats.Accepted](t, s.Handle(now.Add(9*second), startedAt(12*second, 1)))
			assertAdmits(t, s, now.Add(9*second), true)
		})
	}
	t.Run("it leaves at once", func(t *testing.T) {
		s := newServer()
		born := 1500 * time.Millisecond
		assertOutcome[heartbeats.Rejected](t, s.Handle(now, leaving(startedAt(born, 1))))
		assertOutcome[heartbeats.Rejected](t, s.Handle(now.Add(second), leaving(startedAt(born, 2))))
		assertOutcome[heartbeats.Accepted](t, s.Handle(now.Add(2*second), leaving(startedAt(born, 3))))
		assertAdmits(t, s, now.Add(2*second), false)
	})
	t.Run("late messages of a run that was replaced", func(t *testing.T) {
		s := newServer()
		for i := range 5 {
			assertOutcome[heartbeats.Ignored](t, s.Handle(now.Add(time.Duration(i)*second), leaving(startedAt(second, uint64(i+2)))))
		}
		assertAdmits(t, s, now.Add(5*second), true)
	})
	t.Run("late messages of an unknown run, all at once", func(t *testing.T) {
		s := newServer()
		for i := range 5 {
			assertOutcome[heartbeats.Ignored](t, s.Handle(now, startedAt(500*time.Millisecond, uint64(i+1))))
		}
		assertOutcome[heartbeats.Accepted](t, s.Handle(now, startedAt(2*second, 2)))
	})
	t.Run("late messages of an unknown run between those of the current one", func(t *testing.T) {
		s := newServer()
		for i := range 5 {
			at := now.Add(time.Duration(i) * second)
			assertOutcome[heartbeats.Ignored](t, s.Handle(at, startedAt(500*time.Millisecond, uint64(i+1))))
			assertOutcome[heartbeats.Accepted](t, s.Handle(at, startedAt(2*second, uint64(i+2))))
		}
	})
}
