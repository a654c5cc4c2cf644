package gate_test

import (
	"testing"
	"time"

	"lavenderdeal/core/gate"
)

// rateRun counts the requests of a server that names a rate limit while requests arrive
// at another rate.
type rateRun struct {
	starts     []time.Time
	late       int
	retryAfter []time.Duration
}

// runWithRate offers requests at a steady rate for a time to a server of many slots, in
// steps of a millisecond.
func runWithRate(g *gate.Gate, arrivalsPerSecond int, length time.Duration) rateRun {
	const runTime, target = 100 * time.Millisecond, 400 * time.Millisecond
	var out rateRun
	targets := make(map[uint64]time.Time)
	ends := make(map[uint64]time.Time)
	start := func(now time.Time, id uint64) {
		out.starts = append(out.starts, now)
		ends[id] = now.Add(runTime)
		if ends[id].After(targets[id]) {
			out.late++
		}
	}
	var id uint64
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(time.Millisecond) {
		for n, end := range ends {
			if !now.Before(end) {
				delete(ends, n)
				g.Done(now, n, true)
			}
		}
		for due := uint64(now.Sub(epoch).Seconds() * float64(arrivalsPerSecond)); id < due; {
			id++
			targets[id] = now.Add(target)
			switch o := g.Offer(now, gate.Request{ID: id, Class: "a", Target: targets[id], Deadline: now.Add(2 * target)}).(type) {
			case gate.Started:
				start(now, id)
			case gate.Refused:
				out.retryAfter = append(out.retryAfter, o.RetryAfter)
			}
		}
		if after, ok := g.NextStart(now); ok && after <= time.Millisecond {
			g.Advance(now)
		}
		for _, d := range g.Decisions() {
			if _, ok := d.Outcome.(gate.Started); ok {
				start(now, d.ID)
			}
		}
	}
	return out
}

// Guards against a server that gets more requests than the limit that it has named, and
// against one that is left idle below it. The pattern is a server in need under three
// times the load that it takes.
func TestRateLimit(t *testing.T) {
	const slots, perSecond, window, length = 18, 20, 4 * time.Second, 20 * time.Second
	g := gate.New()
	g.SetLimit(epoch, slots)
	g.SetRate(epoch, perSecond)
	got := runWithRate(g, 3*perSecond, length)
	t.Run("no window has more than the limit allows", func(t *testing.T) {
		const allowed = 1.5*perSecond*4 + 5
		for i, from := range got.starts {
			n := 0
			for _, at := range got.starts[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			if n > allowed {
				t.Fatalf("%d requests in 4 s from %s, want at most %v", n, from.Sub(epoch), allowed)
			}
		}
	})
	t.Run("the limit is used", func(t *testing.T) {
		if n, want := len(got.starts), int(0.95*perSecond*length.Seconds()); n < want {
			t.Fatalf("%d requests in %s, want at least %d", n, length, want)
		}
	})
	t.Run("what starts is in time", func(t *testing.T) {
		if n := len(got.starts); got.late > n/20 {
			t.Fatalf("%d of %d requests missed their target", got.late, n)
		}
	})
	t.Run("refusals name the time until the limit allows a start", func(t *testing.T) {
		for _, after := range got.retryAfter {
			if after < time.Second/perSecond || after > time.Second {
				t.Fatalf("retry after %s, want from %s to 1s", after, time.Second/perSecond)
			}
		}
	})
	t.Run("no limit", func(t *testing.T) {
		g := gate.New()
		g.SetLimit(epoch, slots)
		g.SetRate(epoch, perSecond)
		g.SetRate(epoch, 0)
		if n := len(runWithRate(g, 3*perSecond, length).starts); n < int(2.9*perSecond*length.Seconds()) {
			t.Fatalf("%d requests in %s after the limit has ended, want three times the limit", n, length)
		}
	})
	t.Run("a limit of less than one request a second", func(t *testing.T) {
		g := gate.New()
		g.SetLimit(epoch, slots)
		g.SetRate(epoch, gate.MinRate/10)
		if n := len(runWithRate(g, perSecond, length).starts); n < 5 || n > 12 {
			t.Fatalf("%d requests in %s, want about %v", n, length, gate.MinRate*length.Seconds())
		}
	})
	t.Run("the load counts the slots that the limit keeps busy", func(t *testing.T) {
		if _, _, limit := g.Load(); limit != 2 {
			t.Fatalf("%d slots, want 2 for 20 requests a second of 0.1 s", limit)
		}
	})
}
