package gate_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderdeal/core/gate"
)

var epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// workload describes requests that arrive at one server at a steady rate.
type workload struct {
	slots   int
	runTime time.Duration
	target  time.Duration
	// interval is the time between two arrivals.
	interval time.Duration
	duration time.Duration
	// kind returns the rank of the n-th request and whether it is inner. Nil stands
	// for rank 0 and not inner.
	kind func(n int) (rank int, inner bool)
	// classAndTime returns the class and the running time of the n-th request. Nil
	// stands for one class for each kind, and runTime.
	classAndTime func(n int) (class string, runTime time.Duration)
}

// result counts the requests of one kind.
type result struct {
	offered, inTime, late, refused int
	// longestWait is the longest time from an arrival to its refusal.
	longestWait time.Duration
}

// simulate runs a workload through a gate in virtual time and returns a result
// for each kind of request.
func simulate(p workload) map[string]*result {
	g := gate.New()
	g.SetLimit(epoch, p.slots)
	results := make(map[string]*result)
	type request struct {
		counts  *result
		runTime time.Duration
		arrived time.Time
		ends    time.Time
	}
	all := make(map[uint64]*request)
	running := make(map[uint64]*request)
	settle := func(now time.Time, id uint64, o gate.Outcome) {
		r := all[id]
		switch o.(type) {
		case gate.Started:
			r.ends = now.Add(r.runTime)
			running[id] = r
		case gate.Refused:
			r.counts.refused++
			r.counts.longestWait = max(r.counts.longestWait, now.Sub(r.arrived))
		}
	}
	var id uint64
	next := epoch
	for now := epoch; now.Before(epoch.Add(p.duration)); now = now.Add(time.Millisecond) {
		for n, r := range running {
			if now.Before(r.ends) {
				continue
			}
			delete(running, n)
			if now.Sub(r.arrived) <= p.target {
				r.counts.inTime++
			} else {
				r.counts.late++
			}
			g.Done(now, n, true)
		}
		for ; !next.After(now); next = next.Add(p.interval) {
			id++
			rank, inner := 0, false
			if p.kind != nil {
				rank, inner = p.kind(int(id))
			}
			name := fmt.Sprintf("rank %d inner %v", rank, inner)
			if results[name] == nil {
				results[name] = &result{}
			}
			counts := results[name]
			counts.offered++
			class, runTime := name, p.runTime
			if p.classAndTime != nil {
				class, runTime = p.classAndTime(int(id))
			}
			all[id] = &request{counts: counts, runTime: runTime, arrived: now}
			settle(now, id, g.Offer(now, gate.Request{
				ID: id, Class: class, Rank: rank, Inner: inner, AllowLate: true,
				Target: now.Add(p.target), Deadline: now.Add(6 * p.target),
			}))
		}
		for _, d := range append([]gate.Decision(nil), g.Decisions()...) {
			settle(now, d.ID, d.Outcome)
		}
	}
	return results
}

func assertShare(t *testing.T, name string, part, whole int, least float64) {
	t.Helper()
	if got := float64(part) / float64(max(whole, 1)); got < least {
		t.Errorf("%s: %d of %d are %.2f, want at least %.2f", name, part, whole, got, least)
	}
}

// A server gets 1.5 times the requests that it can run, for longer than callers
// wait, as after other servers of its service were removed. Guards against slots
// spent on late requests and against late refusals.
func TestSteadyOverload(t *testing.T) {
	p := workload{slots: 12, runTime: 60 * time.Millisecond, target: 200 * time.Millisecond, interval: 3333 * time.Microsecond, duration: 10 * time.Second}
	r := simulate(p)["rank 0 inner false"]
	capacity := int(p.duration/p.runTime) * p.slots
	t.Run("the slots serve requests in time", func(t *testing.T) {
		assertShare(t, "served in time of what the slots can run", r.inTime, capacity, 0.95)
	})
	t.Run("hardly any slot goes to late ones", func(t *testing.T) {
		assertShare(t, "in time of all served", r.inTime, r.inTime+r.late, 0.97)
	})
	t.Run("refusals are prompt", func(t *testing.T) {
		if r.longestWait > p.target {
			t.Errorf("a request was refused only after %s, want within the target", r.longestWait)
		}
	})
}

// A burst of requests of two ranks, some of them inner. Guards against inner
// requests that are refused, rank 1 served before rank 0, and starvation of rank 1.
func TestBurstOfRanks(t *testing.T) {
	kinds := []struct {
		rank  int
		inner bool
	}{{0, false}, {0, false}, {1, false}, {1, false}, {1, true}}
	results := simulate(workload{
		slots: 18, runTime: 100 * time.Millisecond, target: 500 * time.Millisecond, interval: 3500 * time.Microsecond, duration: 6 * time.Second,
		kind: func(n int) (int, bool) { k := kinds[n%len(kinds)]; return k.rank, k.inner },
	})
	t.Run("calls that others wait for are all served", func(t *testing.T) {
		r := results["rank 1 inner true"]
		assertShare(t, "inner calls", r.inTime, r.offered, 0.9)
	})
	t.Run("the first rank is served before the second", func(t *testing.T) {
		first, second := results["rank 0 inner false"], results["rank 1 inner false"]
		assertShare(t, "first rank", first.inTime, first.offered, 0.75)
		if second.inTime > first.inTime {
			t.Errorf("second rank %+v, first rank %+v, want no more in time of the second", *second, *first)
		}
	})
	t.Run("the second rank does not starve", func(t *testing.T) {
		r := results["rank 1 inner false"]
		assertShare(t, "second rank", r.inTime+r.late, r.offered, 0.1)
	})
}

// Uploads of unequal sizes over a link that carries a third of them, as in a burst
// to six servers behind slow links. Guards against a single running time for all
// sizes, which refuses short uploads and queues long ones that end late.
func TestUploadsOnFullLink(t *testing.T) {
	sizes := []time.Duration{60, 500, 120, 250, 90, 700, 60, 120}
	served := func(class func(runTime time.Duration) string) int {
		r := simulate(workload{
			slots: 2, target: 1300 * time.Millisecond, interval: 50 * time.Millisecond, duration: 60 * time.Second,
			classAndTime: func(n int) (string, time.Duration) {
				runTime := sizes[n%len(sizes)] * time.Millisecond
				return class(runTime), runTime
			},
		})["rank 0 inner false"]
		return r.inTime
	}
	together := served(func(time.Duration) string { return "transfer" })
	bySize := served(func(runTime time.Duration) string { return "transfer " + runTime.String() })
	t.Logf("in time: %d together, %d by size", together, bySize)
	if bySize < together*5/4 {
		t.Errorf("%d in time when their sizes are told apart, %d when not, want a quarter more", bySize, together)
	}
}

// A server stalls for a while, as when its instance is frozen, and its queued
// requests become late. Most of them must be refused when it resumes, so that they
// don't take the slots of new requests.
func TestStandstill(t *testing.T) {
	const slots = 8
	g := gate.New()
	g.SetLimit(epoch, slots)
	offer := func(now time.Time, id uint64) gate.Outcome {
		return g.Offer(now, gate.Request{ID: id, Target: now.Add(500 * time.Millisecond), Deadline: now.Add(5 * time.Second)})
	}
	for id := range uint64(3 * slots) {
		offer(epoch, id)
	}
	later := epoch.Add(time.Second)
	g.Done(later, 0, true)
	started, refused := 0, 0
	for _, d := range g.Decisions() {
		switch d.Outcome.(type) {
		case gate.Started:
			started++
		case gate.Refused:
			refused++
		}
	}
	if _, queued, _ := g.Load(); started != 1 || queued > slots/2 || refused != 2*slots-1-queued {
		t.Fatalf("%d started, %d queued, %d refused; want 1 started, at most half as many queued as slots, the others refused", started, queued, refused)
	}
}

// Guards against requests that run at a closed gate, past their deadlines or after they
// were cancelled.
func TestOutcomes(t *testing.T) {
	request := func(id uint64) gate.Request {
		return gate.Request{ID: id, Target: epoch.Add(time.Second), Deadline: epoch.Add(2 * time.Second)}
	}
	t.Run("a gate without slots refuses", func(t *testing.T) {
		g := gate.New()
		assertRefused(t, g.Offer(epoch, request(1)), gate.RuleClosed)
	})
	t.Run("closing refuses what waits", func(t *testing.T) {
		g := gate.New()
		g.SetLimit(epoch, 1)
		g.Offer(epoch, request(1))
		if _, ok := g.Offer(epoch, request(2)).(gate.Queued); !ok {
			t.Fatal("the second request is not queued")
		}
		g.Close()
		d := g.Decisions()
		if len(d) != 1 || d[0].ID != 2 {
			t.Fatalf("decisions %v, want one for request 2", d)
		}
		assertRefused(t, d[0].Outcome, gate.RuleClosed)
	})
	t.Run("a request past its deadline is refused", func(t *testing.T) {
		g := gate.New()
		g.SetLimit(epoch, 1)
		assertRefused(t, g.Offer(epoch.Add(3*time.Second), request(1)), gate.RuleDeadline)
	})
	t.Run("a cancelled request gets no slot", func(t *testing.T) {
		g := gate.New()
		g.SetLimit(epoch, 1)
		g.Offer(epoch, request(1))
		g.Offer(epoch, request(2))
		if !g.Cancel(2) {
			t.Fatal("the request is not queued")
		}
		g.Done(epoch, 1, true)
		if d := g.Decisions(); len(d) > 0 {
			t.Fatalf("decisions %v, want none", d)
		}
	})
}

func assertRefused(t *testing.T, o gate.Outcome, rule string) {
	t.Helper()
	if r, ok := o.(gate.Refused); !ok || r.Rule != rule {
		t.Fatalf("got %#v, want a refusal by %s", o, rule)
	}
}
