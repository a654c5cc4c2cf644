package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lavenderdeal/core/priority"
)

// The simulated server and its load. simWork is the mean running time of a call, and
// simQuiet and simFlood are the durations before and during the flood.
const (
	simSlots    = 18
	simWork     = 10 * time.Millisecond
	simDeadline = 200 * time.Millisecond
	// simTightDeadline leaves little time for queuing.
	simTightDeadline = 40 * time.Millisecond
	simQuiet         = 20 * time.Second
	simFlood         = 20 * time.Second
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// source sends calls of one customer and priority.
type source struct {
	name      string
	customers int
	priority  priority.Priority
	// quiet and flood are the offered loads before and during the flood, as shares
	// of the server's capacity for all customers of the source together.
	quiet, flood float64
	// length is the work of a call in multiples of simWork. Zero means 1.
	length float64
}

type simEvent struct {
	at     time.Time
	source int
	// id is the id of the call that ends, or 0 for an arrival.
	id uint64
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// policy is the admission policy under simulation.
type policy interface {
	offer(now time.Time, c Call) Outcome
	done(now time.Time, id uint64)
	decisions() []Decision
}

// tally counts the calls of a source in one phase.
type tally struct {
	// inTime counts the calls that ended by their deadlines.
	sent, inTime int
	took         []time.Duration
}

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

func (t tally) p99() time.Duration {
	if len(t.took) == 0 {
		return 0
	}
	slices.Sort(t.took)
	return t.took[len(t.took)*99/100]
}

type result struct {
	quiet, flood []tally
	// used is the share of slot time in use during the flood, and useful the part
	// of it spent on calls that ended in time.
	used, useful float64
	// busy is the share of slot time used by each source, whether or not its calls
	// ended in time.
	busy []float64
}

type simCall struct {
	source  int
	arrived time.Time
	work    time.Duration
}

// simulate runs the sources against one server with simSlots slots.
func simulate(p policy, exponential bool, deadline time.Duration, sources []source) result {
	r := rand.New(rand.NewPCG(1, 2))
	capacity := float64(simSlots) / simWork.Seconds()
	end := simStart.Add(simQuiet + simFlood)
	floodAt := simStart.Add(simQuiet)
	res := result{quiet: make([]tally, len(sources)), flood: make([]tally, len(sources)), busy: make([]float64, len(sources))}
	calls := map[uint64]simCall{}
	var events simEvents
	arrive := func(now time.Time, i int) {
		rate := sources[i].quiet
		if !now.Before(floodAt) {
			rate = sources[i].flood
		}
		gap := simQuiet
		if rate > 0 {
			gap = time.Duration(r.ExpFloat64() / (rate * capacity) * float64(time.Second))
		}
		at := now.Add(gap)
		if now.Before(floodAt) && !at.Before(floodAt) {
			at = floodAt
		}
		heap.Push(&events, simEvent{at: at, source: i})
	}
	for i := range sources {
		arrive(simStart, i)
	}
	var busy, useful time.Duration
	// The server runs simSlots calls at once and queues further ones internally.
	running := 0
	var inside []uint64
	start := func(now time.Time, id uint64) {
		if running == simSlots {
			inside = append(inside, id)
			return
		}
		running++
		heap.Push(&events, simEvent{at: now.Add(calls[id].work), source: calls[id].source, id: id})
	}
	id := uint64(0)
	for len(events) > 0 && events[0].at.Before(end) {
		e := heap.Pop(&events).(simEvent)
		now := e.at
		if e.id == 0 {
			id++
			s := sources[e.source]
			work := simWork
			if exponential {
				work = time.Duration(r.ExpFloat64() * float64(simWork))
			}
			if s.length > 0 {
				work = time.Duration(s.length * float64(work))
			}
			calls[id] = simCall{source: e.source, arrived: now, work: work}
			phase := res.phase(now, floodAt)
			phase[e.source].sent++
			customer := fmt.Sprint(s.name, r.IntN(max(s.customers, 1)))
			call := Call{ID: id, Customer: customer, Priority: s.priority, Deadline: now.Add(deadline)}
			switch p.offer(now, call).(type) {
			case Started:
				start(now, id)
			case Refused:
				delete(calls, id)
			}
			arrive(now, e.source)
		} else {
			c := calls[e.id]
			delete(calls, e.id)
			running--
			if len(inside) > 0 {
				start(now, inside[0])
				inside = inside[1:]
			}
			took := now.Sub(c.arrived)
			if took <= deadline {
				phase := res.phase(c.arrived, floodAt)
				phase[c.source].inTime++
				phase[c.source].took = append(phase[c.source].took, took)
			}
			if !c.arrived.Before(floodAt) {
				busy += c.work
				res.busy[c.source] += c.work.Seconds() / (simFlood.Seconds() * simSlots)
				if took <= deadline {
					useful += c.work
				}
			}
			p.done(now, e.id)
		}
		for _, d := range p.decisions() {
			if _, ok := d.Outcome.(Started); ok {
				start(now, d.ID)
			} else {
				delete(calls, d.ID)
			}
		}
	}
	res.used = busy.Seconds() / (simFlood.Seconds() * simSlots)
	res.useful = useful.Seconds() / (simFlood.Seconds() * simSlots)
	return res
}

func (r *result) phase(at, floodAt time.Time) []tally {
	if at.Before(floodAt) {
		return r.quiet
	}
	return r.flood
}

// queuePolicy is the admission queue, with each mechanism disabled whose field is
// set.
type queuePolicy struct {
	*Queue
	noPriority, noFairness, noMinShare, noDeadline, noUsualRates bool
}

func (p *queuePolicy) offer(now time.Time, c Call) Outcome {
	if p.noPriority {
		c.Priority = priority.Normal
	}
	if p.noFairness {
		c.Customer = "all"
	}
	if p.noDeadline {
		c.Deadline = c.Deadline.Add(time.Hour)
	}
	if p.noUsualRates {
		p.rates = rateTable{}
	}
	p.resetCredit()
	return p.Offer(now, c)
}

func (p *queuePolicy) done(now time.Time, id uint64) {
	p.resetCredit()
	p.Done(now, id)
}

func (p *queuePolicy) resetCredit() {
	for i := range p.classes {
		if p.noMinShare {
			p.classes[i].credit = -time.Hour
		}
	}
}

func (p *queuePolicy) decisions() []Decision { return p.Decisions() }

// firstCome is the baseline policy: first come, first served, with the same bound
// on waiting calls.
type firstCome struct {
	running int
	waiting []uint64
	decided []Decision
}

func (p *firstCome) offer(_ time.Time, c Call) Outcome {
	if p.running < simSlots {
		p.running++
		return Started{}
	}
	if len(p.waiting) >= simSlots*maxQueuedPerSlot {
		return Refused{Rule: RuleQueueFull}
	}
	p.waiting = append(p.waiting, c.ID)
	return Queued{}
}

func (p *firstCome) done(time.Time, uint64) {
	p.running--
	if len(p.waiting) > 0 {
		p.running++
		p.decided = append(p.decided, Decision{ID: p.waiting[0], Outcome: Started{}})
		p.waiting = p.waiting[1:]
	}
}

func (p *firstCome) decisions() []Decision {
	decided := p.decided
	p.decided = nil
	return decided
}

// ordinary returns sources whose load before the flood is 60% of capacity.
func ordinary() []source {
	return []source{
		{name: "crews", customers: 8, priority: priority.Urgent, quiet: 0.2, flood: 0.2},
		{name: "clerks", customers: 4, priority: priority.High, quiet: 0.2, flood: 0.2},
		{name: "offices", customers: 4, priority: priority.Normal, quiet: 0.1, flood: 0.1},
		{name: "photos", customers: 4, priority: priority.Bulk, quiet: 0.1, flood: 0.1},
	}
}

// withFlood adds a source that offers 5 times the capacity during the flood.
func withFlood(p priority.Priority, customers int) []source {
	return append(ordinary(), source{name: "flood", customers: customers, priority: p, quiet: 0.02, flood: 5})
}

// eachFlood simulates floods of the given priority, from one customer and from many,
// with constant and with exponentially distributed running times, and checks each
// result.
func eachFlood(t *testing.T, p priority.Priority, check func(*testing.T, []source, result)) {
	for _, customers := range []int{1, 100} {
		for _, exponential := range []bool{false, true} {
			t.Run(fmt.Sprintf("customers=%d,exponential=%v", customers, exponential), func(t *testing.T) {
				sources := withFlood(p, customers)
				res := simulate(&queuePolicy{Queue: New(simSlots)}, exponential, simDeadline, sources)
				for i, s := range sources {
					t.Logf("%-8s %-7s in time %.4f of %d, p99 quiet %s flood %s, busy %.4f", s.name, s.priority,
						res.flood[i].share(), res.flood[i].sent, res.quiet[i].p99(), res.flood[i].p99(), res.busy[i])
				}
				t.Logf("capacity used %.4f, useful %.4f", res.used, res.useful)
				if res.used < 0.95 {
					t.Errorf("capacity used %.4f, want 0.95", res.used)
				}
				check(t, sources, res)
			})
		}
	}
}

// Guards against a flood of the least urgent calls that delays the most urgent ones.
func TestFloodOfLeastUrgent(t *testing.T) {
	eachFlood(t, priority.Bulk, func(t *testing.T, _ []source, res result) {
		if got := res.flood[0].share(); got < 0.99 {
			t.Errorf("%.4f of the most urgent calls ended in time, want 0.99", got)
		}
		if quiet, flood := res.quiet[0].p99(), res.flood[0].p99(); flood > 2*quiet {
			t.Errorf("p99 of the most urgent is %s, want at most twice %s", flood, quiet)
		}
	})
}

// Guards against a flood of urgent calls that displaces the urgent calls of other
// customers, or that starves the less urgent priorities of their minimum shares.
func TestFloodOfMostUrgent(t *testing.T) {
	eachFlood(t, priority.Urgent, func(t *testing.T, sources []source, res result) {
		if got := res.flood[0].share(); got < 0.90 {
			t.Errorf("%.4f of the calls outside the flood ended in time, want 0.90", got)
		}
		for i, s := range sources[1:4] {
			// A source uses at most its offered load. The tolerance of 5% covers random
			// variation.
			want := min(s.priority.MinShare(), s.flood) * 0.95
			if res.busy[i+1] < want {
				t.Errorf("%s has %.4f of the slots, want %.4f", s.priority, res.busy[i+1], want)
			}
		}
	})
}

// TestLongCalls checks that two customers that each offer three times the capacity
// get about half of the slot time each, although the calls of one take ten times
// as long.
func TestLongCalls(t *testing.T) {
	sources := []source{
		{name: "short", priority: priority.Normal, quiet: 0.02, flood: 3},
		{name: "long", priority: priority.Normal, quiet: 0.002, flood: 0.3, length: 10},
	}
	res := simulate(&queuePolicy{Queue: New(simSlots)}, false, 10*simDeadline, sources)
	share := res.busy[1] / (res.busy[0] + res.busy[1])
	if share < 0.4 || share > 0.6 {
		t.Errorf("the long calls had %.2f of the slot time, want about half", share)
	}
}

// TestFloorAtItsDemand floods the server while the other priorities offer a load
// equal to their minimum shares on average, with random variation.
func TestFloorAtItsDemand(t *testing.T) {
	sources := withFlood(priority.Urgent, 1)
	for i := range sources[1:4] {
		s := &sources[i+1]
		s.quiet, s.flood = s.priority.MinShare(), s.priority.MinShare()
	}
	res := simulate(&queuePolicy{Queue: New(simSlots)}, false, 10*simDeadline, sources)
	for i, s := range sources[1:4] {
		t.Logf("%-8s %-7s in time %.4f of %d, busy %.4f", s.name, s.priority, res.flood[i+1].share(), res.flood[i+1].sent, res.busy[i+1])
		if got := res.flood[i+1].share(); got < 0.95 {
			t.Errorf("%s has %.4f of the calls within its minimum share in time, want 0.95", s.priority, got)
		}
	}
}

// BenchmarkAblation prints the effect of each mechanism by disabling it alone: the
// share of calls in time of each priority outside the flood, the p99 of the most
// urgent, and the shares of slot time in use and spent on calls in time.
//
//	go test ./core/admission -run '^$' -bench Ablation -benchtime 1x -v
func BenchmarkAblation(b *testing.B) {
	for b.Loop() {
		for _, f := range []ablationCase{
			{"bulk, 1 customer", withFlood(priority.Bulk, 1)},
			{"urgent, 1 customer", withFlood(priority.Urgent, 1)},
			{"urgent, 100 customers", withFlood(priority.Urgent, 100)},
			{"all customers double their calls", doubled()},
		} {
			for _, deadline := range []time.Duration{simDeadline, simTightDeadline} {
				printAblation(b, f, deadline)
			}
		}
	}
}

type ablationCase struct {
	name    string
	sources []source
}

// doubled returns sources whose load rises from 60% to 120% of capacity.
func doubled() []source {
	sources := ordinary()
	for i := range sources {
		sources[i].flood *= 2
	}
	return sources
}

func printAblation(b *testing.B, f ablationCase, deadline time.Duration) {
	policies := []struct {
		name   string
		policy policy
	}{
		{"all on", &queuePolicy{Queue: New(simSlots)}},
		{"no priorities", &queuePolicy{Queue: New(simSlots), noPriority: true}},
		{"no minimum shares", &queuePolicy{Queue: New(simSlots), noMinShare: true}},
		{"no fairness among customers", &queuePolicy{Queue: New(simSlots), noFairness: true}},
		{"no usual rates", &queuePolicy{Queue: New(simSlots), noUsualRates: true}},
		{"no deadlines", &queuePolicy{Queue: New(simSlots), noDeadline: true}},
		{"first come, first served", &firstCome{}},
	}
	for _, p := range policies {
		res := simulate(p.policy, true, deadline, f.sources)
		b.Logf("| %s | %s | %s | %.3f | %s | %.3f | %.3f | %.3f | %.3f | %.3f |", f.name, deadline, p.name,
			res.flood[0].share(), res.flood[0].p99().Round(100*time.Microsecond),
			res.flood[1].share(), res.flood[2].share(), res.flood[3].share(), res.used, res.useful)
	}
}
