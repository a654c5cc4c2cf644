// Package gate implements admission control for the backend server beside a node of
// package mesh: it starts, queues or refuses each request. The calls of package node
// pass through package admission instead.
//
// # Gate
//
// All requests to the server pass through its [Gate], so the gate has an exact
// count of those that run. Offer starts a request, queues it or refuses it; Done
// ends a request that ran. Both may also start or refuse queued requests; Decisions
// returns these outcomes:
//
//	g := gate.New()
//	g.SetLimit(now, 18)
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
// A free slot goes first to requests that can still be answered within their
// target latency. Among these, requests that other running requests wait for come
// first, then the order is by rank, then by arrival. Late requests get the
// remaining slots, and are refused when too many of them are queued. At regular
// intervals the oldest request that is not late goes first, so that no rank
// starves.
//
// # Rate limit
//
// A server may name the number of requests that it takes a second, which SetRate sets.
// Requests above it wait in the queue although slots are free. NextStart returns when
// Advance will start the next of them.
//
// # Refusals
//
// A request is queued only if, by the measured running times, it is expected to
// end within its target. A request that would be late is refused at once, so that
// the caller's node can try another server. If that node has no other server, it
// sets AllowLate. A request that a running one waits for need only end by its
// deadline. A caller's node that may know of a free slot elsewhere sets OnlyFree: then
// the request is refused at once instead of being queued.
package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderdeal/core/tokenbucket"
)

const (
	// smoothing is the weight of the newest running time in the moving average.
	smoothing = 0.08
	// maxClasses bounds the number of classes whose running time is tracked.
	maxClasses = 256
	// maxQueueFactor is the largest queue length as a multiple of the slots.
	maxQueueFactor = 4
	// maxLateFraction bounds the queued late requests as a fraction of the slots. A
	// late request is also refused if as many other requests are queued, because
	// these go first and it would get no slot before its deadline.
	maxLateFraction = 0.5
	// earlyMargin is how long before its target a request must be expected to end,
	// as a fraction of its mean running time, because running times vary. A smaller
	// margin makes the queue longer and requests later without serving more of them.
	earlyMargin = 0.6
	// innerWindow is the time over which the slots that inner requests take are averaged,
	// and maxInnerShare bounds their share.
	innerWindow   = 1 * time.Second
	maxInnerShare = 0.75
	// reservedFraction is the part of these slots that other requests do not get, so that
	// an inner request rarely waits for one of them to end.
	reservedFraction = 0.65
	// maxFewSlots is the number of slots up to which the wait is estimated from the
	// requests that run.
	maxFewSlots = 12
	// minRemaining is the shortest time for which a request is expected to run on, as a
	// fraction of its usual running time or, if that is longer, of the time that it has
	// run.
	minRemaining = 0.25
	// oldestFirstEvery gives every n-th free slot to the oldest request that is not
	// late.
	oldestFirstEvery = 8
	// rateBurst is the time for which a server with a rate limit may get requests in
	// advance after a pause.
	rateBurst = 250 * time.Millisecond
	// minRetryAfter is the shortest Retry-After, about the running time of one
	// short request.
	minRetryAfter = 50 * time.Millisecond
)

// MinRate is the lowest rate limit, in requests per second. A server that gets no request
// cannot say that its limit has ended.
const MinRate = 0.5

// Request describes a request to the gate.
type Request struct {
	// ID is unique among the requests of a gate.
	ID uint64
	// Class names requests with similar running times.
	Class string
	// Inner is set when a request that holds a slot waits for this one.
	Inner bool
	// Rank orders requests; 0 goes first.
	Rank int
	// Target is when the target latency ends. A later answer counts as late.
	Target time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AllowLate lets the request wait although it will miss its target.
	AllowLate bool
	// OnlyFree refuses the request unless a slot is free.
	OnlyFree bool
}

// Outcome is the result of offering a request: Started, Queued or Refused.
type Outcome interface{ implementsOutcome() }

// Started is the outcome of a request that got a slot.
type Started struct{}

// Queued is the outcome of a request that waits for a slot.
type Queued struct {
	// Until is the latest time at which a slot is still useful to the request.
	Until time.Time
}

// Refused is the outcome of a request that did not run and will not.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule string
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
}

// Rules by which a request is refused.
const (
	// RuleClosed refuses all requests while the gate is closed or has no slots.
	RuleClosed = "serverLeaving"
	// RuleDeadline refuses a request whose deadline has passed, or leaves less than half
	// of its running time.
	RuleDeadline = "deadlinePassed"
	// RuleFull refuses a new request or evicts a queued one because the queue is full.
	RuleFull = "queueFull"
	// RuleBusy refuses a request that may not wait, because no slot is free.
	RuleBusy = "noFreeSlot"
	// RuleLate refuses a request that is expected to miss its target, or its deadline if
	// it may miss its target.
	RuleLate = "wouldBeLate"
)

// Decision is the outcome of a request that was queued.
type Decision struct {
	ID uint64
	// Outcome is Started or Refused.
	Outcome Outcome
}

// Gate holds the running and the queued requests of one server. Use New to
// create one. It is not safe for concurrent use.
type Gate struct {
	// limit is the number of slots.
	limit  int
	closed bool
	// rate is the number of requests that may start a second, or 0 without a limit.
	// bucket holds the starts that it allows now.
	rate      float64
	bucket    tokenbucket.Bucket
	running   map[uint64]run
	queue     []Request
	decisions []Decision
	// meanTimes holds the moving average of the running time of each class, and mean
	// that of all requests.
	meanTimes map[string]time.Duration
	mean      time.Duration
	// freedSlots counts the free slots that were offered to queued requests, for
	// oldestFirstEvery.
	freedSlots int
	// innerTime is the decaying sum of the running times of inner requests, as of
	// innerUpdated.
	innerTime    time.Duration
	innerUpdated time.Time
	// slotTimes and ahead are reused by expectedWait and requestsAhead.
	slotTimes []time.Duration
	ahead     []Request
}

// run is a running request.
type run struct {
	class string
	inner bool
	since time.Time
}

// New returns a gate without slots. It refuses all requests until SetLimit.
func New() *Gate {
	return &Gate{running: make(map[uint64]run), meanTimes: make(map[string]time.Duration)}
}

// SetLimit sets the number of slots and opens the gate.
func (g *Gate) SetLimit(now time.Time, n int) {
	g.limit = n
	g.closed = false
	g.fillSlots(now)
}

// SetRate limits the number of requests that start a second. Zero ends the limit. A
// limit below MinRate is raised to it.
func (g *Gate) SetRate(now time.Time, perSecond float64) {
	if perSecond > 0 {
		perSecond = max(perSecond, MinRate)
	}
	if g.rate == 0 {
		g.bucket = tokenbucket.Full(now, perSecond, rateBurst)
	}
	g.rate = perSecond
	g.fillSlots(now)
}

// NextStart returns the time until Advance starts a queued request because the rate limit
// allows it. It returns false if the queue is empty or waits for a slot.
func (g *Gate) NextStart(now time.Time) (time.Duration, bool) {
	if g.rate == 0 || len(g.queue) == 0 || len(g.running) >= g.limit {
		return 0, false
	}
	return g.bucket.Wait(now, g.rate, 1), true
}

// Advance starts the queued requests that the rate limit allows now.
func (g *Gate) Advance(now time.Time) { g.fillSlots(now) }

// Close refuses the queued requests and all later ones until SetLimit. Running
// requests go on.
func (g *Gate) Close() {
	g.closed = true
	for _, r := range g.queue {
		g.addDecision(r.ID, Refused{Rule: RuleClosed})
	}
	g.queue = g.queue[:0]
}

// Load returns the number of running requests, of queued requests and of slots. Under a
// rate limit, only the slots that it keeps busy count.
func (g *Gate) Load() (running, queued, limit int) {
	limit = g.limit
	if g.rate > 0 && g.mean > 0 && limit > 0 {
		limit = min(limit, max(1, int(math.Ceil(g.rate*g.mean.Seconds()))))
	}
	return len(g.running), len(g.queue), limit
}

// MeanRunTime returns the moving average of the class's running time, or zero if
// none was measured.
func (g *Gate) MeanRunTime(class string) time.Duration { return g.meanTimes[class] }

// Offer starts, queues or refuses a new request. If the queue is full, a request is
// queued only if it precedes the one that would get a slot last, which is evicted.
func (g *Gate) Offer(now time.Time, r Request) Outcome {
	outcome := g.Preview(now, r)
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

// Preview returns the outcome that Offer would return, without changing state.
func (g *Gate) Preview(now time.Time, r Request) Outcome {
	if g.closed || g.limit == 0 {
		return Refused{Rule: RuleClosed}
	}
	if !now.Before(r.Deadline) {
		return Refused{Rule: RuleDeadline}
	}
	if g.hasFreeSlot(now, r.Inner) && (len(g.queue) == 0 || r.Inner && g.nextInner() < 0) {
		return Started{}
	}
	if r.OnlyFree {
		return Refused{Rule: RuleBusy}
	}
	if g.isFull() && !g.precedes(now, r, g.queue[g.lastIndex(now)]) {
		return Refused{Rule: RuleFull, RetryAfter: g.retryAfter(now, g.queue)}
	}
	runTime := g.runTime(r)
	requestsAhead := g.requestsAhead(now, r)
	end := now.Add(g.waitWithInner(now, r, requestsAhead) + runTime)
	switch {
	case !end.Add(time.Duration(earlyMargin * float64(runTime))).After(r.Target):
	case r.Inner && !end.After(r.Deadline):
	case r.AllowLate && !end.After(r.Deadline) && g.hasLateRoom(now):
	default:
		return Refused{Rule: RuleLate, RetryAfter: g.retryAfter(now, requestsAhead)}
	}
	return Queued{Until: r.Deadline.Add(-runTime / 2)}
}

// Done ends a running request and gives its slot to a queued one. Its running
// time is measured only if answered is set, that is, if the server completed it.
// Unknown ids are ignored.
func (g *Gate) Done(now time.Time, id uint64, answered bool) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if answered {
		g.observe(r.class, now.Sub(r.since))
		if r.inner {
			g.innerTime = g.recentInnerTime(now) + now.Sub(r.since)
			g.innerUpdated = now
		}
	}
	g.fillSlots(now)
}

// Cancel removes a request from the queue. It returns false if the request is not
// queued.
func (g *Gate) Cancel(id uint64) bool {
	for i, r := range g.queue {
		if r.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Decisions returns the outcomes of queued requests since the previous call. The
// slice is valid until the next method call.
func (g *Gate) Decisions() []Decision {
	d := g.decisions
	g.decisions = g.decisions[:0]
	return d
}

func (g *Gate) start(now time.Time, r Request) {
	if g.rate > 0 {
		g.bucket.Take(now, g.rate)
	}
	g.running[r.ID] = run{class: r.Class, inner: r.Inner, since: now}
}

func (g *Gate) addDecision(id uint64, o Outcome) {
	g.decisions = append(g.decisions, Decision{ID: id, Outcome: o})
}

// hasFreeSlot reports whether a slot is free for a request and the rate limit allows a
// start.
func (g *Gate) hasFreeSlot(now time.Time, inner bool) bool {
	isFree := len(g.running) < g.limit && (inner || g.outerRunning() < g.limit-g.reservedSlots(now))
	return isFree && (g.rate == 0 || g.bucket.Wait(now, g.rate, 1) == 0)
}

// outerRunning returns the number of running requests that no other one waits for.
func (g *Gate) outerRunning() int {
	n := 0
	for _, r := range g.running {
		if !r.inner {
			n++
		}
	}
	return n
}

// reservedSlots returns the number of slots that only inner requests get, a part of those
// that they have usually taken of late. With many slots it is zero, since one is free soon.
func (g *Gate) reservedSlots(now time.Time) int {
	if g.limit > maxFewSlots {
		return 0
	}
	return int(reservedFraction * min(g.InnerShare(now), maxInnerShare) * float64(g.limit))
}

// InnerShare returns the share of the slots that inner requests have taken of late.
func (g *Gate) InnerShare(now time.Time) float64 {
	return float64(g.recentInnerTime(now)) / float64(innerWindow) / float64(max(g.limit, 1))
}

// fillSlots starts queued requests while slots are free. It refuses requests that
// have less than half of their running time left until the deadline.
func (g *Gate) fillSlots(now time.Time) {
	for len(g.queue) > 0 && g.hasFreeSlot(now, true) {
		i := g.nextIndex(now)
		if !g.hasFreeSlot(now, g.queue[i].Inner) {
			if i = g.nextInner(); i < 0 {
				break
			}
		}
		g.freedSlots++
		r := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		if now.Add(g.runTime(r) / 2).After(r.Deadline) {
			g.addDecision(r.ID, Refused{Rule: RuleDeadline, RetryAfter: g.retryAfter(now, nil)})
			continue
		}
		g.start(now, r)
		g.addDecision(r.ID, Started{})
	}
	g.refuseExcessLate(now)
}

// refuseExcessLate refuses the queued late requests beyond maxLateFraction,
// keeping the newest. Inner requests are exempt.
func (g *Gate) refuseExcessLate(now time.Time) {
	room := int(maxLateFraction * float64(g.limit))
	for i := len(g.queue) - 1; i >= 0; i-- {
		if r := g.queue[i]; !r.Inner && g.isLate(now, r) {
			if room--; room >= 0 {
				continue
			}
			g.addDecision(r.ID, Refused{Rule: RuleLate, RetryAfter: g.retryAfter(now, g.queue)})
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
		}
	}
}

// nextIndex returns the index of the queued request that gets the next free slot.
func (g *Gate) nextIndex(now time.Time) int {
	if g.freedSlots%oldestFirstEvery == 0 {
		for i, r := range g.queue {
			if !g.isLate(now, r) {
				return i
			}
		}
	}
	best := 0
	for i := 1; i < len(g.queue); i++ {
		if g.precedes(now, g.queue[i], g.queue[best]) {
			best = i
		}
	}
	return best
}

// nextInner returns the index of the first queued inner request, or -1.
func (g *Gate) nextInner() int {
	return slices.IndexFunc(g.queue, func(r Request) bool { return r.Inner })
}

// precedes reports whether a gets a slot before b, where b arrived earlier.
func (g *Gate) precedes(now time.Time, a, b Request) bool {
	if late, other := g.isLate(now, a), g.isLate(now, b); late != other {
		return other
	}
	if a.Inner != b.Inner {
		return a.Inner
	}
	return a.Rank < b.Rank
}

// hasLateRoom reports whether another late request may be queued.
func (g *Gate) hasLateRoom(now time.Time) bool {
	late := 0
	for _, r := range g.queue {
		if g.isLate(now, r) {
			late++
		}
	}
	room := maxLateFraction * float64(g.limit)
	return float64(late) < room && float64(len(g.queue)-late) < room
}

func (g *Gate) isFull() bool { return len(g.queue) >= maxQueueFactor*g.limit }

// lastIndex returns the index of the queued request that would get a slot last.
func (g *Gate) lastIndex(now time.Time) int {
	last := 0
	for i := range g.queue {
		if !g.precedes(now, g.queue[i], g.queue[last]) {
			last = i
		}
	}
	return last
}

// evict refuses the queued request that would get a slot last.
func (g *Gate) evict(now time.Time) {
	last := g.lastIndex(now)
	g.addDecision(g.queue[last].ID, Refused{Rule: RuleFull, RetryAfter: g.retryAfter(now, g.queue)})
	g.queue = append(g.queue[:last], g.queue[last+1:]...)
}

// isLate reports whether the request would miss its target if it started now.
func (g *Gate) isLate(now time.Time, r Request) bool {
	return now.Add(g.runTime(r)).After(r.Target)
}

// requestsAhead returns the queued requests that would get a slot before r. The slice is
// valid until the next call.
func (g *Gate) requestsAhead(now time.Time, r Request) []Request {
	g.ahead = g.ahead[:0]
	for _, other := range g.queue {
		if !g.precedes(now, r, other) {
			g.ahead = append(g.ahead, other)
		}
	}
	return g.ahead
}

// expectedWait returns the expected time until a slot is free for a request that the
// requests ahead precede. Each slot is free when its request is expected to end, and the
// requests ahead take the slots that are free first.
func (g *Gate) expectedWait(now time.Time, ahead []Request) time.Duration {
	if g.limit > maxFewSlots {
		return g.meanWait(now, len(ahead))
	}
	g.slotTimes = g.slotTimes[:0]
	for _, r := range g.running {
		g.slotTimes = append(g.slotTimes, g.remaining(now, r))
	}
	for len(g.slotTimes) < g.limit {
		g.slotTimes = append(g.slotTimes, 0)
	}
	// A limit that was lowered leaves more requests running than there are slots.
	slices.Sort(g.slotTimes)
	slots := g.slotTimes[len(g.slotTimes)-g.limit:]
	for _, r := range ahead {
		end := slots[0] + cmp.Or(g.runTime(r), g.mean)
		i, _ := slices.BinarySearch(slots[1:], end)
		copy(slots, slots[1:i+1])
		slots[i] = end
	}
	if g.rate == 0 {
		return slots[0]
	}
	return max(slots[0], g.bucket.Wait(now, g.rate, len(ahead)+1))
}

// meanWait returns the expected time until a slot is free for a request with n requests
// ahead of it, by the mean running time. With many slots it is as good an estimate as
// the requests that run.
func (g *Gate) meanWait(now time.Time, n int) time.Duration {
	wait := g.mean * time.Duration(n+1) / time.Duration(g.limit)
	if g.rate == 0 {
		return wait
	}
	if len(g.running) < g.limit {
		wait = 0
	}
	return max(wait, g.bucket.Wait(now, g.rate, n+1))
}

// waitWithInner returns the expected time until a slot is free for r. The inner requests
// that arrive while it waits go before it, so that only a part of the slots is left for it.
func (g *Gate) waitWithInner(now time.Time, r Request, ahead []Request) time.Duration {
	wait := g.expectedWait(now, ahead)
	if r.Inner || g.limit > maxFewSlots {
		return wait
	}
	return time.Duration(float64(wait) / (1 - min(g.InnerShare(now), maxInnerShare)))
}

// recentInnerTime returns the sum of the running times of inner requests in about the last
// innerWindow.
func (g *Gate) recentInnerTime(now time.Time) time.Duration {
	age := max(now.Sub(g.innerUpdated), 0)
	return time.Duration(float64(g.innerTime) * math.Exp(-float64(age)/float64(innerWindow)))
}

// remaining returns the expected time until a running request ends. A request that has run
// for longer than usual is one of the few long ones, or its server has become slow, so that
// more time is expected the longer it has run.
func (g *Gate) remaining(now time.Time, r run) time.Duration {
	usual, elapsed := cmp.Or(g.meanTimes[r.class], g.mean), max(now.Sub(r.since), 0)
	return max(usual-elapsed, time.Duration(minRemaining*float64(max(usual, elapsed))))
}

// retryAfter returns the Retry-After of a refused request that the requests ahead
// precede.
func (g *Gate) retryAfter(now time.Time, ahead []Request) time.Duration {
	return max(minRetryAfter, g.expectedWait(now, ahead))
}

// runTime returns the expected running time of r, or zero if none was measured.
func (g *Gate) runTime(r Request) time.Duration { return g.meanTimes[r.Class] }

func (g *Gate) observe(class string, took time.Duration) {
	g.mean = smooth(g.mean, took)
	known, ok := g.meanTimes[class]
	if ok || len(g.meanTimes) < maxClasses {
		g.meanTimes[class] = smooth(known, took)
	}
}

// smooth adds a sample to a moving average.
func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(smoothing*float64(d-mean))
}

func (Started) implementsOutcome() {}
func (Queued) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
