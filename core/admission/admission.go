// Package admission decides when a call runs on the backend server beside the
// node.
//
// # Queue
//
// A [Queue] has slots and one bounded queue. Offer starts a call, queues it or
// refuses it. Done ends a call. Both may decide on waiting calls, which
// Decisions returns. The queue is driven with the time as an argument and has no
// clock of its own:
//
//	q := admission.New(18)
//	switch o := q.Offer(now, admission.Call{ID: 1, Priority: priority.Urgent, Deadline: deadline}).(type) {
//	case admission.Started:
//		run()
//	case admission.Queued:
//		wait()
//	case admission.Refused:
//		refuse(o.Rule, o.RetryAfter)
//	}
//	for _, d := range q.Decisions() {
//		wake(d.ID, d.Outcome)
//	}
//
// # Order
//
// The more urgent priority goes first, but each priority keeps the share of the
// slots' time that [priority.Priority.Floor] states. Within a priority, calls
// within what their customer has usually sent go before the excess, and in each
// of the two the customers take turns. So a flood delays and pushes out its own
// calls first, whether one customer sends it or many do.
//
// # Deadlines
//
// A call that cannot end by its deadline is refused before it takes a slot: when
// it is offered, by the calls ahead of it and the measured time of a call, and
// again when its turn comes. While a slot is free no estimate refuses a call, so
// an estimate that is too high is corrected by the next call.
package admission

import (
	"time"

	"lavenderdeal/core/priority"
	"lavenderdeal/core/slots"
)

const (
	// queuedPerSlot and maxQueued bound the waiting calls.
	queuedPerSlot = 4
	maxQueued     = 1024
	// reservedFactor times its floor is the part of the queue that a priority
	// keeps, leastReserved calls at least.
	reservedFactor = 2
	leastReserved  = 4
	// floorBurst is the time over which an unused floor is saved: calls do not
	// come evenly.
	floorBurst = 1 * time.Second

	// highestCost bounds how much more than an average call one call may count.
	highestCost = 16.0
	// overloadMemory is how long a refusal counts as a sign of overload.
	overloadMemory = 1 * time.Second

	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 5 * time.Second
)

// The rules that refuse a call. None of these calls ran.
const (
	RuleDeadlinePassed      = "deadlinePassed"
	RuleDeadlineUnreachable = "deadlineUnreachable"
	RuleQueueFull           = "queueFull"
	RuleShed                = "shed"
)

// Call is what admission knows of a call.
type Call struct {
	// ID tells the calls of one queue apart.
	ID       uint64
	Customer string
	Priority priority.Priority
	Deadline time.Time
}

// Outcome is Started, Queued or Refused.
type Outcome interface {
	implementsOutcome()
}

// Started says that the call has a slot.
type Started struct{}

// Queued says that the call waits for a slot.
type Queued struct{}

// Refused says that the call did not run.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule       string
	RetryAfter time.Duration
}

// Decision is what became of a call that waited.
type Decision struct {
	ID uint64
	// Outcome is Started or Refused.
	Outcome Outcome
}

// Queue is the state of admission. The caller serializes all calls.
type Queue struct {
	estimate  *slots.Estimate
	running   map[uint64]runningCall
	waiting   map[uint64]*waiter
	classes   [priority.Count]class
	usage     usage
	decisions []Decision
	free      *waiter
	accrued   time.Time
	// refused is when a call was last refused.
	refused time.Time
}

// runningCall is a call that has a slot.
type runningCall struct {
	priority priority.Priority
	user     *customerUsage
	started  time.Time
	// byFloor says that the call started by its priority's floor. Its cost was
	// taken from the credit, and is corrected when the call ends.
	byFloor   bool
	cost      time.Duration
	saturated bool
}

// class is one priority of the queue.
type class struct {
	// lines are the calls within their customers' usual rate, and the excess.
	lines   [bandCount]line
	service serviceTime
	// credit is the slots' time that the floor still owes the priority.
	credit time.Duration
}

// New returns an empty queue in front of a declared number of slots.
func New(declared int) *Queue {
	return &Queue{
		estimate: slots.New(declared),
		running:  make(map[uint64]runningCall),
		waiting:  make(map[uint64]*waiter),
	}
}

// Offer decides about a new call.
func (q *Queue) Offer(now time.Time, c Call) Outcome {
	if !now.Before(c.Deadline) {
		return Refused{Rule: RuleDeadlinePassed}
	}
	q.accrue(now)
	user, b := q.usage.offer(now, c.Customer, c.Priority, q.isOverloaded(now))
	if len(q.running) < q.estimate.Limit() && len(q.waiting) == 0 {
		q.start(now, c.ID, runningCall{priority: c.Priority, user: user})
		return Started{}
	}
	if q.expectedEnd(now, c, b).After(c.Deadline) {
		return q.refuse(now, RuleDeadlineUnreachable)
	}
	if len(q.waiting) >= q.capacity() && !q.makeRoom(now, c, b) {
		return q.refuse(now, RuleQueueFull)
	}
	w := q.newWaiter(c, b, user)
	q.waiting[c.ID] = w
	q.classes[c.Priority].lines[b].push(w)
	return Queued{}
}

// Done ends a running call and gives its slot to the next one.
func (q *Queue) Done(now time.Time, id uint64) {
	call, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	took := now.Sub(call.started)
	class := &q.classes[call.priority]
	class.service.observe(took)
	call.user.service.observe(took)
	if call.byFloor {
		class.credit = max(class.credit+call.cost-took, -q.burst(call.priority))
	}
	q.estimate.Observe(now, call.priority, took, call.saturated)
	q.dispatch(now)
}

// Shed notes that the backend server itself refused a running call for want of
// room.
func (q *Queue) Shed() { q.estimate.Shed() }

// Cancel takes a call out of the queue. It returns false when the call does not
// wait there.
func (q *Queue) Cancel(id uint64) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.remove(w)
	return true
}

// Decisions returns what became of waiting calls since Decisions was last
// called. The slice is valid until the next call of a method.
func (q *Queue) Decisions() []Decision {
	decided := q.decisions
	q.decisions = q.decisions[:0]
	return decided
}

// Load returns the numbers of running and waiting calls, and of slots by the
// present estimate.
func (q *Queue) Load() (running, queued, limit int) {
	return len(q.running), len(q.waiting), q.estimate.Limit()
}

// dispatch fills the free slots.
func (q *Queue) dispatch(now time.Time) {
	q.accrue(now)
	for len(q.running) < q.estimate.Limit() {
		w, byFloor := q.next()
		if w == nil {
			return
		}
		call, user := w.call, w.user
		class := &q.classes[call.Priority]
		if now.Add(class.service.least()).After(call.Deadline) {
			q.remove(w)
			q.decide(call.ID, q.refuse(now, RuleDeadlineUnreachable))
			continue
		}
		class.lines[w.band].serve(w, class.costOf(user))
		q.forget(w)
		cost := class.service.mean()
		if byFloor {
			class.credit -= cost
		} else {
			class.credit = max(class.credit-cost, min(class.credit, 0))
		}
		q.start(now, call.ID, runningCall{priority: call.Priority, user: user, byFloor: byFloor, cost: cost})
		q.decide(call.ID, Started{})
	}
}

// next returns the call whose turn it is.
func (q *Queue) next() (w *waiter, byFloor bool) {
	for p := range priority.All() {
		class := &q.classes[p]
		if p.Floor() > 0 && class.credit > 0 && class.credit >= class.service.mean() {
			if w := class.first(); w != nil {
				return w, true
			}
		}
	}
	for p := range priority.All() {
		if w := q.classes[p].first(); w != nil {
			return w, false
		}
	}
	return nil, false
}

func (c *class) first() *waiter {
	for b := range c.lines {
		if w := c.lines[b].first(); w != nil {
			return w
		}
	}
	return nil
}

func (c *class) queued() int {
	n := 0
	for b := range c.lines {
		n += c.lines[b].queued
	}
	return n
}

func (q *Queue) start(now time.Time, id uint64, call runningCall) {
	call.started = now
	call.saturated = len(q.running)+1 >= q.estimate.Limit()
	q.running[id] = call
}

func (q *Queue) decide(id uint64, o Outcome) {
	q.decisions = append(q.decisions, Decision{ID: id, Outcome: o})
}

// accrue adds the floors' share of the time since the last event.
func (q *Queue) accrue(now time.Time) {
	passed := now.Sub(q.accrued)
	if passed <= 0 {
		return
	}
	if q.accrued.IsZero() {
		passed = 0
	}
	q.accrued = now
	passed = min(passed, longestRetryAfter)
	for p := range priority.All() {
		share := p.Floor() * float64(q.estimate.Limit())
		class := &q.classes[p]
		class.credit = min(class.credit+time.Duration(share*float64(passed)), q.burst(p))
	}
}

// burst is the credit that a priority saves at most: enough for one call.
func (q *Queue) burst(p priority.Priority) time.Duration {
	saved := time.Duration(p.Floor() * float64(q.estimate.Limit()) * float64(floorBurst))
	return max(saved, 2*q.classes[p].service.mean())
}

// capacity is the number of calls that may wait.
func (q *Queue) capacity() int { return min(q.estimate.Limit()*queuedPerSlot, maxQueued) }

// reserved is the room that a priority keeps in the queue.
func (q *Queue) reserved(p priority.Priority) int {
	return max(int(reservedFactor*p.Floor()*float64(q.capacity())), leastReserved)
}

// expectedEnd returns when the call would end, by the calls ahead of it.
func (q *Queue) expectedEnd(now time.Time, c Call, b band) time.Time {
	class := &q.classes[c.Priority]
	need := class.service.mean()
	if class.service.mean() == 0 {
		return now
	}
	own := class.lines[b].ahead(c.Customer) + 1
	if b == excess {
		own += class.lines[usual].queued
	}
	work := time.Duration(own) * class.service.mean()
	wait := work
	for p := priority.Urgent; p < c.Priority; p++ {
		wait += time.Duration(q.classes[p].queued()) * q.classes[p].service.mean()
	}
	wait /= time.Duration(q.estimate.Limit())
	if floor := c.Priority.Floor(); floor > 0 {
		wait = min(wait, time.Duration(float64(work)/(floor*float64(q.estimate.Limit()))))
	}
	return now.Add(wait + need)
}

func (q *Queue) refuse(now time.Time, rule string) Refused {
	q.refused = now
	return Refused{Rule: rule, RetryAfter: q.retryAfter()}
}

// isOverloaded says whether the queue is half full or has refused calls of late.
func (q *Queue) isOverloaded(now time.Time) bool {
	return 2*len(q.waiting) >= q.capacity() || (!q.refused.IsZero() && now.Sub(q.refused) < overloadMemory)
}

// retryAfter is the time in which the queue empties.
func (q *Queue) retryAfter() time.Duration {
	var work time.Duration
	for p := range q.classes {
		work += time.Duration(q.classes[p].queued()) * q.classes[p].service.mean()
	}
	return min(max(work/time.Duration(q.estimate.Limit()), shortestRetryAfter), longestRetryAfter)
}

// makeRoom pushes a waiting call out in favor of c. It returns false when c has
// the least right to wait.
func (q *Queue) makeRoom(now time.Time, c Call, b band) bool {
	for p := priority.Bulk; p > c.Priority; p-- {
		if q.classes[p].queued() > q.reserved(p) {
			return q.pushOut(now, q.classes[p].victim(usual, 0))
		}
	}
	class := &q.classes[c.Priority]
	if class.queued() >= q.reserved(c.Priority) {
		return q.pushOut(now, class.victim(b, class.lines[b].length(c.Customer)))
	}
	for p := priority.Bulk; ; p-- {
		if q.classes[p].queued() > q.reserved(p) {
			return q.pushOut(now, q.classes[p].victim(usual, 0))
		}
		if p == priority.Urgent {
			return false
		}
	}
}

// victim returns the newest call of the customer with the most waiting calls in
// the band or in a lesser one. It returns nil when no customer there has more
// than length calls: the newcomer is refused then.
func (c *class) victim(newcomer band, length int) *waiter {
	for b := excess; b > newcomer; b-- {
		if w := c.lines[b].longest(); w != nil {
			return w
		}
	}
	w := c.lines[newcomer].longest()
	if w == nil || w.flow.length <= length {
		return nil
	}
	return w
}

func (q *Queue) pushOut(now time.Time, w *waiter) bool {
	if w == nil {
		return false
	}
	id := w.call.ID
	q.remove(w)
	q.decide(id, q.refuse(now, RuleShed))
	return true
}

func (q *Queue) remove(w *waiter) {
	q.classes[w.call.Priority].lines[w.band].remove(w)
	q.forget(w)
}

// forget ends the waiting of a call that left its line.
func (q *Queue) forget(w *waiter) {
	delete(q.waiting, w.call.ID)
	w.call.Customer, w.user = "", nil
	w.next = q.free
	q.free = w
}

// costOf returns the time that a customer's calls take, against the mean of the
// priority.
func (c *class) costOf(user *customerUsage) float64 {
	if user.service.mean() == 0 || c.service.mean() == 0 {
		return 1
	}
	cost := float64(user.service.mean()) / float64(c.service.mean())
	return min(max(cost, 1/highestCost), highestCost)
}

func (q *Queue) newWaiter(c Call, b band, user *customerUsage) *waiter {
	w := q.free
	if w == nil {
		w = &waiter{}
	} else {
		q.free = w.next
	}
	*w = waiter{call: c, band: b, user: user}
	return w
}

func (Started) implementsOutcome() {}
func (Queued) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
