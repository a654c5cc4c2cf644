package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/priority"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func call(id uint64, customer string, p priority.Priority) Call {
	return Call{ID: id, Customer: customer, Priority: p, Deadline: simStart.Add(time.Hour)}
}

// fill occupies the slots with calls of the given priority and returns the next
// free id.
func fill(q *Queue, now time.Time, p priority.Priority, slots int) uint64 {
	for id := range slots {
		q.Offer(now, call(uint64(id+1), "filler", p))
	}
	return uint64(slots + 1)
}

func started(q *Queue) []uint64 {
	var ids []uint64
	for _, d := range q.Decisions() {
		if _, ok := d.Outcome.(Started); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func wantStarted(t *testing.T, q *Queue, want ...uint64) {
	t.Helper()
	if got := started(q); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("started %v, want %v", got, want)
	}
}

func wantRule(t *testing.T, o Outcome, rule string) {
	t.Helper()
	if r, ok := o.(Refused); !ok || r.Rule != rule {
		t.Errorf("outcome %#v, want a refusal by %s", o, rule)
	}
}

// Guards against calls that are served in another order than by priority and, within
// a priority, alternating between customers.
func TestOrder(t *testing.T) {
	t.Run("more urgent calls first", func(t *testing.T) {
		q := New(1)
		id := fill(q, simStart, priority.Bulk, 1)
		q.Offer(simStart, call(id, "a", priority.Bulk))
		q.Offer(simStart, call(id+1, "b", priority.Urgent))
		q.Done(simStart, 1)
		wantStarted(t, q, id+1)
	})
	t.Run("customers are served alternately", func(t *testing.T) {
		q := New(2)
		id := fill(q, simStart, priority.Urgent, 2)
		for i, customer := range []string{"a", "a", "a", "b", "b", "b"} {
			q.Offer(simStart, call(id+uint64(i), customer, priority.Urgent))
		}
		ended := uint64(1)
		for round := range 3 {
			served := map[string]bool{}
			for range 2 {
				q.Done(simStart, ended)
				ids := started(q)
				if len(ids) != 1 {
					t.Fatalf("round %d: started %v, want one call", round, ids)
				}
				ended = ids[0]
				served[[]string{"a", "b"}[(ended-id)/3]] = true
			}
			if len(served) != 2 {
				t.Errorf("round %d served %v, want both customers", round, served)
			}
		}
	})
}

// Guards against usual rates that follow a flood: it would then count as conforming,
// and the rates of the other customers would decay while it lasts.
func TestUsualRate(t *testing.T) {
	const rate = 100
	now := simStart
	offer := func(u *rateTable, overload bool) (excessCalls int) {
		for range 10 * rate {
			now = now.Add(time.Second / rate)
			if _, b := u.offer(now, "a", priority.Urgent, overload); b == excess {
				excessCalls++
			}
		}
		return excessCalls
	}
	t.Run("a steady rate becomes usual", func(t *testing.T) {
		u := &rateTable{}
		offer(u, false)
		if got := offer(u, false); got > 0 {
			t.Errorf("%d calls are excess, want none", got)
		}
	})
	t.Run("a flood does not", func(t *testing.T) {
		u := &rateTable{}
		offer(u, true)
		if got := offer(u, true); got < 9*rate {
			t.Errorf("%d calls are excess, want most of %d", got, 10*rate)
		}
	})
	t.Run("usual rates of others survive a long flood", func(t *testing.T) {
		u := &rateTable{}
		offer(u, false)
		for minute := range 60 {
			excessCalls := 0
			for range 6 {
				excessCalls += offer(u, true)
			}
			if excessCalls > 0 {
				t.Fatalf("%d calls of minute %d are excess, want none", excessCalls, minute)
			}
		}
	})
	t.Run("a refusal is a sign of overload for a while", func(t *testing.T) {
		q := New(1)
		q.refuse(simStart, RuleDeadlineUnreachable)
		if !q.isOverloaded(simStart.Add(overloadWindow / 2)) {
			t.Error("not overloaded after a refusal")
		}
		if q.isOverloaded(simStart.Add(2 * overloadWindow)) {
			t.Error("overloaded long after a refusal")
		}
	})
}

// Guards against a customer whose calls fill the queue and thereby keep out the calls
// of other customers or of less urgent priorities.
func TestFullQueue(t *testing.T) {
	full := func(p priority.Priority) (*Queue, uint64) {
		q := New(2)
		id := fill(q, simStart, p, 2)
		for range q.capacity() {
			q.Offer(simStart, call(id, "flood", p))
			id++
		}
		return q, id
	}
	t.Run("the flooding customer is refused", func(t *testing.T) {
		q, id := full(priority.Urgent)
		wantRule(t, q.Offer(simStart, call(id, "flood", priority.Urgent)), RuleQueueFull)
	})
	t.Run("another customer evicts a call of the flood", func(t *testing.T) {
		q, id := full(priority.Urgent)
		if _, ok := q.Offer(simStart, call(id, "other", priority.Urgent)).(Queued); !ok {
			t.Error("the other customer was not queued")
		}
		decisions := q.Decisions()
		if len(decisions) != 1 || decisions[0].ID != id-1 {
			t.Fatalf("decisions %v, want the newest call of the flood", decisions)
		}
		wantRule(t, decisions[0].Outcome, RuleShed)
	})
	t.Run("a less urgent call keeps its reserved place in an urgent flood", func(t *testing.T) {
		q, id := full(priority.Urgent)
		if _, ok := q.Offer(simStart, call(id, "other", priority.Bulk)).(Queued); !ok {
			t.Error("the bulk call was not queued")
		}
	})
}

// Guards against slots spent on calls that miss their deadlines, and against an
// estimate that is too high and never corrected because it refuses every call.
func TestDeadlines(t *testing.T) {
	t.Run("passed", func(t *testing.T) {
		c := call(1, "a", priority.Urgent)
		wantRule(t, New(1).Offer(c.Deadline, c), RuleDeadlinePassed)
	})
	measured := func() *Queue {
		q := New(1)
		for id := range uint64(50) {
			q.Offer(simStart, call(id, "a", priority.Urgent))
			q.Done(simStart.Add(100*time.Millisecond), id)
		}
		q.Offer(simStart, call(100, "a", priority.Urgent))
		return q
	}
	t.Run("unreachable when offered", func(t *testing.T) {
		c := Call{ID: 101, Priority: priority.Urgent, Deadline: simStart.Add(150 * time.Millisecond)}
		wantRule(t, measured().Offer(simStart, c), RuleDeadlineUnreachable)
	})
	t.Run("unreachable when dequeued", func(t *testing.T) {
		q := measured()
		c := Call{ID: 101, Priority: priority.Urgent, Deadline: simStart.Add(250 * time.Millisecond)}
		if _, ok := q.Offer(simStart, c).(Queued); !ok {
			t.Fatal("not queued")
		}
		q.Done(simStart.Add(200*time.Millisecond), 100)
		decisions := q.Decisions()
		if len(decisions) != 1 {
			t.Fatalf("decisions %v, want one", decisions)
		}
		wantRule(t, decisions[0].Outcome, RuleDeadlineUnreachable)
	})
	t.Run("a free slot is used regardless of the estimate", func(t *testing.T) {
		q := measured()
		q.Done(simStart, 100)
		c := Call{ID: 101, Priority: priority.Urgent, Deadline: simStart.Add(time.Millisecond)}
		if _, ok := q.Offer(simStart, c).(Started); !ok {
			t.Error("not started")
		}
	})
}

// machine is a state machine that checks the invariants of the queue after each
// step.
type machine struct {
	q       *Queue
	now     time.Time
	lastID  uint64
	waiting map[uint64]Call
	running map[uint64]Call
}

func (m *machine) applyDecisions(t *rapid.T) {
	for _, d := range m.q.Decisions() {
		c, ok := m.waiting[d.ID]
		if !ok {
			t.Fatalf("decision on call %d, which does not wait", d.ID)
		}
		delete(m.waiting, d.ID)
		switch o := d.Outcome.(type) {
		case Started:
			m.wantOrder(t, c)
			m.running[d.ID] = c
		case Refused:
			if o.RetryAfter <= 0 {
				t.Fatalf("refused by %s without retryAfter", o.Rule)
			}
		default:
			t.Fatalf("decision %#v, want Started or Refused", o)
		}
	}
}

// wantOrder checks that no more urgent call waits, unless c started on its
// priority's minimum share.
func (m *machine) wantOrder(t *rapid.T, c Call) {
	if m.q.running[c.ID].byMinShare {
		return
	}
	for _, w := range m.waiting {
		if w.Priority < c.Priority {
			t.Fatalf("a call of %s started while one of %s waits", c.Priority, w.Priority)
		}
	}
}

func (m *machine) offer(t *rapid.T) {
	m.lastID++
	c := Call{
		ID:       m.lastID,
		Customer: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer"),
		Priority: priority.Priority(rapid.IntRange(0, int(priority.Count)-1).Draw(t, "priority")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "millis")) * time.Millisecond),
	}
	slotFree := len(m.running) < m.q.estimator.Limit()
	switch o := m.q.Offer(m.now, c).(type) {
	case Started:
		m.running[c.ID] = c
	case Queued:
		m.waiting[c.ID] = c
	case Refused:
		if slotFree && o.Rule != RuleDeadlinePassed {
			t.Fatalf("refused by %s while a slot is free", o.Rule)
		}
	}
	m.applyDecisions(t)
}

func (m *machine) done(t *rapid.T) {
	id := m.draw(t, m.running)
	delete(m.running, id)
	m.q.Done(m.now, id)
	m.applyDecisions(t)
}

func (m *machine) cancel(t *rapid.T) {
	id := m.draw(t, m.waiting)
	delete(m.waiting, id)
	if !m.q.Cancel(id) {
		t.Fatalf("call %d waits and was not cancelled", id)
	}
}

func (m *machine) draw(t *rapid.T, calls map[uint64]Call) uint64 {
	for id := range m.lastID {
		if _, ok := calls[id+1]; ok && rapid.Bool().Draw(t, "this") {
			return id + 1
		}
	}
	t.Skip("no call")
	return 0
}

func (m *machine) check(t *rapid.T) {
	running, queued, limit := m.q.Load()
	if running != len(m.running) || queued != len(m.waiting) {
		t.Fatalf("running %d, queued %d; want %d, %d", running, queued, len(m.running), len(m.waiting))
	}
	if running > limit {
		t.Fatalf("%d calls run in %d slots", running, limit)
	}
	if queued > m.q.capacity() {
		t.Fatalf("%d calls wait, want at most %d", queued, m.q.capacity())
	}
	if queued > 0 && running < limit {
		t.Fatalf("%d calls wait while %d of %d slots are in use", queued, running, limit)
	}
	sum := 0
	for p := range m.q.classes {
		sum += m.q.classes[p].queued()
	}
	if sum != queued {
		t.Fatalf("the fair queues hold %d calls, want %d", sum, queued)
	}
}

// TestQueueMachine offers, ends and cancels calls in any order. It guards against lost
// calls, too many running or waiting calls, idle slots while calls wait, and calls that
// overtake more urgent ones.
func TestQueueMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			q:       New(rapid.IntRange(1, 4).Draw(t, "slots")),
			now:     simStart,
			waiting: map[uint64]Call{},
			running: map[uint64]Call{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"done":   m.done,
			"cancel": m.cancel,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "millis")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

// BenchmarkOfferDone measures one call in a full queue with many customers.
func BenchmarkOfferDone(b *testing.B) {
	q := New(256)
	customers := make([]string, 2000)
	for i := range customers {
		customers[i] = fmt.Sprint("customer", i)
	}
	now := simStart
	var running []uint64
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Microsecond)
		c := Call{ID: id, Customer: customers[id%2000], Priority: priority.Priority(id % 4), Deadline: now.Add(time.Second)}
		if _, ok := q.Offer(now, c).(Started); ok {
			running = append(running, id)
		}
		if id%3 == 0 {
			q.Done(now, running[0])
			running = running[1:]
		}
		for _, d := range q.Decisions() {
			if _, ok := d.Outcome.(Started); ok {
				running = append(running, d.ID)
			}
		}
	}
}
