// Package gate decides when a request runs on the backend server beside the
// node.
//
// # Gate
//
// A [Gate] is the only way to its server, so it knows what runs there. Offer
// starts a request, queues it or refuses it; Done ends one that ran. Both may
// decide on waiting requests, which Decisions returns:
//
//	g := gate.New()
//	g.SetLimit(18)
//	switch o := g.Offer(now, gate.Request{ID: 1, Target: target, Deadline: deadline}).(type) {
//	case gate.Started:
//		run()
//	case gate.Queued:
//		waitUntil(o.Until)
//	case gate.Refused:
//		refuse(o.RetryAfter)
//	}
//
// # Order
//
// When a slot is free, requests that can still be answered within their target
// latency go first, among them those that other requests wait for, then by rank,
// then by arrival. Requests that can only be late use what is left, and when many
// of them wait they are refused. Now and then the one that has waited longest goes
// first, so that no rank starves.
//
// # Refusals
//
// A request is queued only when the measured running times say that its turn
// comes in time. One that would be late is refused at once, so that its caller's
// node can ask another server, unless the node says that there is none.
package gate

import (
	"time"
)

const (
	// smoothing is the weight of the newest running time in the moving average.
	smoothing = 0.08
	// maxClasses bounds the classes with a running time of their own.
	maxClasses = 256
	// maxQueueFactor bounds the queue, in multiples of the slots.
	maxQueueFactor = 4
	// latePart bounds the late requests that wait, and the punctual ones beside
	// which they may, as a part of the slots. Beside more of them a late request
	// would wait in vain.
	latePart = 0.5
	// spare is the part of the usual running time by which a request has to be
	// early, since most take longer than usual now and then. A longer queue would
	// serve no more requests, only later.
	spare = 0.6
	// oldestEvery is the number of free slots after which the oldest request
	// goes first.
	oldestEvery = 8
	// leastRetryAfter is the shortest advice, about the running time of one
	// short request.
	leastRetryAfter = 50 * time.Millisecond
)

// Request is what the gate knows of a request.
type Request struct {
	// ID tells the requests of one gate apart.
	ID uint64
	// Class names requests with similar running times.
	Class string
	// Inner says that another request waits for this one in a slot.
	Inner bool
	// Rank orders requests; 0 goes first.
	Rank int
	// Target is when an answer stops having its full worth.
	Target time.Time
	// Deadline is when nobody waits any more.
	Deadline time.Time
	// Patient says that the request may wait although it will be late.
	Patient bool
}

// Outcome is Started, Queued or Refused.
type Outcome interface{ implementsOutcome() }

// Started says that the request has a slot.
type Started struct{}

// Queued says that the request waits.
type Queued struct {
	// Until is the last moment at which a slot is of use to it.
	Until time.Time
}

// Refused says that the request has not run.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule string
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
}

// The rules that refuse a request.
const (
	RuleClosed   = "serverLeaving"
	RuleDeadline = "deadlinePassed"
	RuleFull     = "queueFull"
	RuleLate     = "wouldBeLate"
)

// Decision is what became of a request that waited.
type Decision struct {
	ID      uint64
	Outcome Outcome
}

// Gate is the state of admission. The caller serializes all calls. Use New.
type Gate struct {
	limit     int
	closed    bool
	running   map[uint64]run
	queue     []Request
	decisions []Decision
	times     map[string]time.Duration
	mean      time.Duration
	freed     int
}

type run struct {
	class string
	since time.Time
}

// New returns a gate without slots, which refuses everything.
func New() *Gate {
	return &Gate{running: make(map[uint64]run), times: make(map[string]time.Duration)}
}

// SetLimit sets the number of slots and opens the gate.
func (g *Gate) SetLimit(now time.Time, n int) {
	g.limit = n
	g.closed = false
	g.fill(now)
}

// Close refuses everything that has not started.
func (g *Gate) Close() {
	g.closed = true
	for _, r := range g.queue {
		g.decide(r.ID, Refused{Rule: RuleClosed})
	}
	g.queue = g.queue[:0]
}

// Load returns the numbers of running and waiting requests, and of slots.
func (g *Gate) Load() (running, queued, limit int) {
	return len(g.running), len(g.queue), g.limit
}

// Mean returns the running time that the class has shown, or zero.
func (g *Gate) Mean(class string) time.Duration { return g.times[class] }

// Offer decides about a new request.
func (g *Gate) Offer(now time.Time, r Request) Outcome {
	outcome := g.Expect(now, r)
	switch outcome.(type) {
	case Started:
		g.start(now, r)
	case Queued:
		if g.isFull() {
			g.evict(now)
		}
		g.queue = append(g.queue, r)
	}
	return outcome
}

// Expect returns what Offer would decide, and changes nothing.
func (g *Gate) Expect(now time.Time, r Request) Outcome {
	if g.closed || g.limit == 0 {
		return Refused{Rule: RuleClosed}
	}
	if !now.Before(r.Deadline) {
		return Refused{Rule: RuleDeadline}
	}
	if len(g.running) < g.limit && len(g.queue) == 0 {
		return Started{}
	}
	if g.isFull() && !g.before(now, r, g.queue[g.last(now)]) {
		return Refused{Rule: RuleFull, RetryAfter: g.retryAfter(len(g.queue))}
	}
	need := g.need(r)
	ahead := g.ahead(now, r)
	end := now.Add(g.wait(ahead) + need)
	switch {
	case !end.Add(time.Duration(spare * float64(need))).After(r.Target):
	case r.Inner && !end.After(r.Deadline):
	case r.Patient && !end.After(r.Deadline) && g.hasLateRoom(now):
	default:
		return Refused{Rule: RuleLate, RetryAfter: g.retryAfter(ahead)}
	}
	return Queued{Until: r.Deadline.Add(-need / 2)}
}

// Done ends a running request. Answered says that the server ran it to an end,
// so that its time counts.
func (g *Gate) Done(now time.Time, id uint64, answered bool) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if answered {
		g.observe(r.class, now.Sub(r.since))
	}
	g.fill(now)
}

// Cancel takes a request out of the queue. It returns false when the request
// does not wait there.
func (g *Gate) Cancel(id uint64) bool {
	for i, r := range g.queue {
		if r.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Decisions returns what became of waiting requests since it was last called.
// The slice is valid until the next call of a method.
func (g *Gate) Decisions() []Decision {
	d := g.decisions
	g.decisions = g.decisions[:0]
	return d
}

func (g *Gate) start(now time.Time, r Request) {
	g.running[r.ID] = run{class: r.Class, since: now}
}

func (g *Gate) decide(id uint64, o Outcome) {
	g.decisions = append(g.decisions, Decision{ID: id, Outcome: o})
}

// fill gives free slots to waiting requests.
func (g *Gate) fill(now time.Time) {
	for len(g.running) < g.limit && len(g.queue) > 0 {
		g.freed++
		i := g.next(now)
		r := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		if now.Add(g.need(r) / 2).After(r.Deadline) {
			g.decide(r.ID, Refused{Rule: RuleDeadline, RetryAfter: g.retryAfter(0)})
			continue
		}
		g.start(now, r)
		g.decide(r.ID, Started{})
	}
	g.trim(now)
}

// trim refuses late requests that wait in vain because too many do.
func (g *Gate) trim(now time.Time) {
	room := int(latePart * float64(g.limit))
	for i := len(g.queue) - 1; i >= 0; i-- {
		if r := g.queue[i]; !r.Inner && g.isLate(now, r) {
			if room--; room >= 0 {
				continue
			}
			g.decide(r.ID, Refused{Rule: RuleLate, RetryAfter: g.retryAfter(len(g.queue))})
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
		}
	}
}

func (g *Gate) next(now time.Time) int {
	if g.freed%oldestEvery == 0 {
		for i, r := range g.queue {
			if !g.isLate(now, r) {
				return i
			}
		}
	}
	best := 0
	for i := 1; i < len(g.queue); i++ {
		if g.before(now, g.queue[i], g.queue[best]) {
			best = i
		}
	}
	return best
}

// before says whether a goes before b, which arrived earlier.
func (g *Gate) before(now time.Time, a, b Request) bool {
	if late, other := g.isLate(now, a), g.isLate(now, b); late != other {
		return other
	}
	if a.Inner != b.Inner {
		return a.Inner
	}
	return a.Rank < b.Rank
}

// hasLateRoom says whether a late request may wait.
func (g *Gate) hasLateRoom(now time.Time) bool {
	late := 0
	for _, r := range g.queue {
		if g.isLate(now, r) {
			late++
		}
	}
	room := latePart * float64(g.limit)
	return float64(late) < room && float64(len(g.queue)-late) < room
}

func (g *Gate) isFull() bool { return len(g.queue) >= maxQueueFactor*g.limit }

// last returns the waiting request that would get a slot last.
func (g *Gate) last(now time.Time) int {
	last := 0
	for i := range g.queue {
		if !g.before(now, g.queue[i], g.queue[last]) {
			last = i
		}
	}
	return last
}

// evict refuses the request that would get a slot last.
func (g *Gate) evict(now time.Time) {
	last := g.last(now)
	g.decide(g.queue[last].ID, Refused{Rule: RuleFull, RetryAfter: g.retryAfter(len(g.queue))})
	g.queue = append(g.queue[:last], g.queue[last+1:]...)
}

func (g *Gate) isLate(now time.Time, r Request) bool {
	return now.Add(g.need(r)).After(r.Target)
}

// ahead returns how many waiting requests would get a slot before r.
func (g *Gate) ahead(now time.Time, r Request) int {
	n := 0
	for _, other := range g.queue {
		if !g.before(now, r, other) {
			n++
		}
	}
	return n
}

// wait returns the expected time until a slot is free with n requests ahead.
func (g *Gate) wait(n int) time.Duration {
	return g.mean * time.Duration(n+1) / time.Duration(g.limit)
}

func (g *Gate) retryAfter(ahead int) time.Duration {
	return max(leastRetryAfter, g.wait(ahead))
}

// need is the expected running time.
func (g *Gate) need(r Request) time.Duration { return g.times[r.Class] }

func (g *Gate) observe(class string, took time.Duration) {
	g.mean = smooth(g.mean, took)
	known, ok := g.times[class]
	if ok || len(g.times) < maxClasses {
		g.times[class] = smooth(known, took)
	}
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(smoothing*float64(d-mean))
}

func (Started) implementsOutcome() {}
func (Queued) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
