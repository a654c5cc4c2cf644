package refusals_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderdeal/core/gate"
	"lavenderdeal/core/refusals"
)

var epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func ExampleTable() {
	var t refusals.Table
	deadline, target := epoch.Add(1200*time.Millisecond), epoch.Add(200*time.Millisecond)
	t.Add(epoch, refusals.Attempt{Key: 7, Deadline: deadline, Target: target})
	first, ok := t.Match(7, deadline.Add(4*time.Millisecond))
	fmt.Println(ok, first.Target.Sub(epoch))
	// Output: true 200ms
}

// Guards against a new caller that is taken for one that retries, and against a table
// that grows without bound.
func TestMatch(t *testing.T) {
	refused := func() *refusals.Table {
		var table refusals.Table
		table.Add(epoch, refusals.Attempt{Key: 1, Deadline: epoch.Add(time.Second)})
		return &table
	}
	assertMatch := func(t *testing.T, table *refusals.Table, key uint64, deadline time.Duration, want bool) {
		t.Helper()
		if _, ok := table.Match(key, epoch.Add(deadline)); ok != want {
			t.Fatalf("matched: %v, want %v", ok, want)
		}
	}
	t.Run("once", func(t *testing.T) {
		table := refused()
		assertMatch(t, table, 1, time.Second, true)
		assertMatch(t, table, 1, time.Second, false)
	})
	t.Run("another request", func(t *testing.T) { assertMatch(t, refused(), 2, time.Second, false) })
	t.Run("a new caller of the same", func(t *testing.T) { assertMatch(t, refused(), 1, 1100*time.Millisecond, false) })
	t.Run("a newer attempt outlives the place of a matched one", func(t *testing.T) {
		table := refused()
		assertMatch(t, table, 1, time.Second, true)
		table.Add(epoch, refusals.Attempt{Key: 1, Deadline: epoch.Add(2 * time.Second)})
		for i := range 1023 {
			table.Add(epoch, refusals.Attempt{Key: uint64(i + 2), Deadline: epoch.Add(time.Second)})
		}
		assertMatch(t, table, 1, 2*time.Second, true)
	})
	t.Run("it keeps a bounded number", func(t *testing.T) {
		var table refusals.Table
		for i := range 5000 {
			table.Add(epoch, refusals.Attempt{Key: uint64(i % 100), Deadline: epoch.Add(time.Duration(i+1) * time.Second)})
		}
		if n := table.Len(); n != 1024 {
			t.Fatalf("%d attempts are kept, want 1024", n)
		}
		assertMatch(t, &table, 99, 5000*time.Second, true)
		assertMatch(t, &table, 0, time.Second, false)
	})
}

// outcome counts callers, and those that were served before and after their target.
type outcome struct{ callers, inTime, late int }

// simulateRetries simulates a server that gets twice the requests that it can run,
// from callers that retry up to two times after a refusal, as after most servers of a
// service were removed.
func simulateRetries(recognise bool) outcome {
	const (
		slots, runTime            = 12, 60 * time.Millisecond
		target, deadline, retries = 200 * time.Millisecond, 1200 * time.Millisecond, 2
		keys                      = 64
		interval, duration        = 2500 * time.Microsecond, 10 * time.Second
	)
	type caller struct {
		key      uint64
		first    time.Time
		attempts int
	}
	type event struct {
		at time.Time
		c  *caller
	}
	var (
		o        outcome
		table    refusals.Table
		g        = gate.New()
		id       uint64
		random   = rand.New(rand.NewPCG(1, 1))
		waiting  = make(map[uint64]*caller)
		running  = make(map[uint64]event)
		retrying []event
	)
	g.SetLimit(epoch, slots)
	vary := func(d time.Duration) time.Duration { return d/2 + time.Duration(random.Int64N(int64(d)+1)) }
	settle := func(now time.Time, id uint64, c *caller, out gate.Outcome) {
		switch out := out.(type) {
		case gate.Started:
			running[id] = event{at: now.Add(vary(runTime)), c: c}
		case gate.Queued:
			waiting[id] = c
		case gate.Refused:
			table.Add(now, refusals.Attempt{Key: c.key, Deadline: c.first.Add(deadline), Target: c.first.Add(target)})
			if c.attempts <= retries {
				retrying = append(retrying, event{at: now.Add(vary(out.RetryAfter)), c: c})
			}
		}
	}
	offer := func(now time.Time, c *caller) {
		id++
		c.attempts++
		effectiveTarget := now.Add(target)
		if first, ok := table.Match(c.key, c.first.Add(deadline)); ok && recognise {
			effectiveTarget = first.Target
		}
		settle(now, id, c, g.Offer(now, gate.Request{ID: id, Class: "lookup", AllowLate: true, Target: effectiveTarget, Deadline: c.first.Add(deadline)}))
	}
	next := epoch
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(time.Millisecond) {
		for n, e := range running {
			if now.Before(e.at) {
				continue
			}
			delete(running, n)
			if now.Sub(e.c.first) <= target {
				o.inTime++
			} else {
				o.late++
			}
			g.Done(now, n, true)
		}
		for ; !next.After(now); next = next.Add(vary(interval)) {
			o.callers++
			offer(now, &caller{key: uint64(random.IntN(keys)), first: now})
		}
		due := retrying
		retrying = nil
		for _, e := range due {
			if now.Before(e.at) {
				retrying = append(retrying, e)
				continue
			}
			offer(now, e.c)
		}
		for _, d := range append([]gate.Decision(nil), g.Decisions()...) {
			c := waiting[d.ID]
			delete(waiting, d.ID)
			settle(now, d.ID, c, d.Outcome)
		}
	}
	return o
}

// Guards against retries that are treated as new callers: their requests are late
// already and take the slots of requests that could be in time.
func TestRecognisedCallers(t *testing.T) {
	before, after := simulateRetries(false), simulateRetries(true)
	t.Logf("treated as new callers %+v, recognised %+v", before, after)
	if after.inTime < before.inTime*5/4 {
		t.Errorf("%d in time when callers are recognised, %d when not, want a quarter more", after.inTime, before.inTime)
	}
	if served := before.inTime + before.late; after.inTime+after.late < served*95/100 {
		t.Errorf("%d served when callers are recognised, %d when not, want at least 95%%", after.inTime+after.late, served)
	}
}
