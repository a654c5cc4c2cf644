// Package admission implements admission control and fair queuing for the calls
// to the backend server of a node.
//
// # Queue
//
// A [Queue] has a number of slots and one bounded queue. Offer starts, queues or
// refuses a call, and Done ends a running call. Both may also start or refuse
// waiting calls; Decisions returns these outcomes. Each method takes the current
// time as an argument, and the queue has no clock of its own:
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
// More urgent priorities are served first, but each priority is guaranteed the
// share of slot time that [priority.Priority.MinShare] returns. The calls of a
// priority form two bands: those that conform to their customer's usual rate are
// served before the excess. In each band, customers are served by fair queuing. A
// flood thus delays and evicts its own calls first, whether it comes from one
// customer or from many.
//
// # Deadlines
//
// A call that cannot end by its deadline is refused before it takes a slot. This
// is checked when the call is offered, from the calls ahead of it and the measured
// service time, and again when it is dequeued. While a slot is free, no call is
// refused because of an estimate, so that an estimate that is too high is
// corrected by the next call.
package admission

import (
	"time"

	"lavenderdeal/core/priority"
	"lavenderdeal/core/slots"
)

const (
	// maxQueuedPerSlot and maxQueued bound the number of waiting calls.
	maxQueuedPerSlot = 4
	maxQueued        = 1024
	// reservedFactor and minReserved determine the queue places that are reserved
	// for a priority: reservedFactor times its minimum share of the queue, but at
	// least minReserved places.
	reservedFactor = 2
	minReserved    = 4
	// minShareBurst is the longest time for which an unused minimum share
	// accumulates, since calls do not arrive evenly.
	minShareBurst = 1 * time.Second

	// maxRelativeCost bounds the cost of one call, as a multiple of the average.
	maxRelativeCost = 16.0
	// overloadWindow is how long a refusal counts as a sign of overload.
	overloadWindow = 1 * time.Second

	// minRetryAfter and maxRetryAfter bound Refused.RetryAfter. maxRetryAfter also
	// bounds the time for which one call of accrueCredit adds credit.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// The rules by which a call is refused. A call refused by any of them did not run.
const (
	// RuleDeadlinePassed refuses a call whose deadline has passed when it is offered.
	RuleDeadlinePassed = "deadlinePassed"
	// RuleDeadlineUnreachable refuses a call that is not expected to end by its
	// deadline.
	RuleDeadlineUnreachable = "deadlineUnreachable"
	// RuleQueueFull refuses a new call because the queue is full.
	RuleQueueFull = "queueFull"
	// RuleShed refuses a waiting call that is evicted from the full queue in favor of
	// a new one.
	RuleShed = "shed"
)

// Call is a call that is offered for admission.
type Call struct {
	// ID is unique among the calls of one queue.
	ID uint64
	// Customer is the client account that the call is made for.
	Customer string
	Priority priority.Priority
	// Deadline is the time by which the call must end.
	Deadline time.Time
}

// Outcome is the result of offering a call: Started, Queued or Refused.
type Outcome interface {
	implementsOutcome()
}

// Started is the outcome of a call that got a slot.
type Started struct{}

// Queued is the outcome of a call that waits for a slot.
type Queued struct{}

// Refused is the outcome of a call that was refused and did not run.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule string
	// RetryAfter is how long the caller should wait before it sends the call again. It
	// is 0 after RuleDeadlinePassed.
	RetryAfter time.Duration
}

// Decision is the outcome of a call that waited.
type Decision struct {
	ID uint64
	// Outcome is Started or Refused.
	Outcome Outcome
}

// Queue is the admission queue of one backend server. It is not safe for
// concurrent use.
type Queue struct {
	estimator *slots.Estimator
	running   map[uint64]runningCall
	waiting   map[uint64]*waiter
	classes   [priority.Count]class
	rates     rateTable
	decisions []Decision
	// free is the list of unused waiters, linked by next.
	free *waiter
	// accruedAt is the time up to which the classes' credit has been accrued.
	accruedAt   time.Time
	lastRefusal time.Time
}

// runningCall is a call that has a slot.
type runningCall struct {
	priority priority.Priority
	usage    *customerUsage
	started  time.Time
	// byMinShare is set if the call started on its priority's minimum share. Then
	// cost, its estimated slot time, was deducted from the credit and is replaced by
	// the measured time when the call ends.
	byMinShare bool
	cost       time.Duration
	// saturated is set if no slot was free after the call started.
	saturated bool
}

// class holds the waiting calls of one priority.
type class struct {
	// queues holds the conforming calls and the excess calls, indexed by band.
	queues  [bandCount]fairQueue
	service serviceTime
	// credit is the slot time of the minimum share that the priority has not yet
	// used.
	credit time.Duration
}

// New returns an empty queue for a server with the declared number of slots.
func New(declared int) *Queue {
	return &Queue{
		estimator: slots.New(declared),
		running:   make(map[uint64]runningCall),
		waiting:   make(map[uint64]*waiter),
	}
}

// Offer starts, queues or refuses a new call.
func (q *Queue) Offer(now time.Time, c Call) Outcome {
	if !now.Before(c.Deadline) {
		return Refused{Rule: RuleDeadlinePassed}
	}
	q.accrueCredit(now)
	usage, b := q.rates.offer(now, c.Customer, c.Priority, q.isOverloaded(now))
	if len(q.running) < q.estimator.Limit() && len(q.waiting) == 0 {
		q.start(now, c.ID, runningCall{priority: c.Priority, usage: usage})
		return Started{}
	}
	if q.expectedEnd(now, c, b).After(c.Deadline) {
		return q.refuse(now, RuleDeadlineUnreachable)
	}
	if len(q.waiting) >= q.capacity() && !q.makeRoom(now, c, b) {
		return q.refuse(now, RuleQueueFull)
	}
	w := q.newWaiter(c, b, usage)
	q.waiting[c.ID] = w
	q.classes[c.Priority].queues[b].push(w)
	return Queued{}
}

// Done ends a running call and gives its slot to the next waiting call. Unknown ids
// are ignored.
func (q *Queue) Done(now time.Time, id uint64) {
	call, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	took := now.Sub(call.started)
	class := &q.classes[call.priority]
	class.service.observe(took)
	call.usage.service.observe(took)
	if call.byMinShare {
		class.credit = max(class.credit+call.cost-took, -q.burst(call.priority))
	}
	q.estimator.Observe(now, call.priority, took, call.saturated)
	q.dispatch(now)
}

// ObserveOverload records that the backend server itself refused a running call
// because it was overloaded.
func (q *Queue) ObserveOverload() { q.estimator.ObserveOverload() }

// Cancel removes a waiting call from the queue. It returns false if the call is
// not waiting.
func (q *Queue) Cancel(id uint64) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.remove(w)
	return true
}

// Decisions returns the outcomes of waiting calls that were decided since it was last
// called. The slice is valid until the next call of a method.
func (q *Queue) Decisions() []Decision {
	decided := q.decisions
	q.decisions = q.decisions[:0]
	return decided
}

// Load returns the numbers of running and queued calls and the estimated number
// of slots.
func (q *Queue) Load() (running, queued, limit int) {
	return len(q.running), len(q.waiting), q.estimator.Limit()
}

// dispatch starts waiting calls while slots are free.
func (q *Queue) dispatch(now time.Time) {
	q.accrueCredit(now)
	for len(q.running) < q.estimator.Limit() {
		w, byMinShare := q.next()
		if w == nil {
			return
		}
		call, usage := w.call, w.usage
		class := &q.classes[call.Priority]
		if now.Add(class.service.lowerBound()).After(call.Deadline) {
			q.remove(w)
			q.decide(call.ID, q.refuse(now, RuleDeadlineUnreachable))
			continue
		}
		class.queues[w.band].serve(w, class.costOf(usage))
		q.release(w)
		cost := class.service.mean()
		if byMinShare {
			class.credit -= cost
		} else {
			// A call that starts in order of priority uses up credit but leaves no debt.
			class.credit = max(class.credit-cost, min(class.credit, 0))
		}
		q.start(now, call.ID, runningCall{priority: call.Priority, usage: usage, byMinShare: byMinShare, cost: cost})
		q.decide(call.ID, Started{})
	}
}

// next returns the waiting call to start next, or nil if none waits. byMinShare
// is set if it is due to its priority's minimum share.
func (q *Queue) next() (w *waiter, byMinShare bool) {
	for p := range priority.All() {
		class := &q.classes[p]
		if p.MinShare() > 0 && class.credit > 0 && class.credit >= class.service.mean() {
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
	for b := range c.queues {
		if w := c.queues[b].first(); w != nil {
			return w
		}
	}
	return nil
}

func (c *class) queued() int {
	n := 0
	for b := range c.queues {
		n += c.queues[b].queued
	}
	return n
}

func (q *Queue) start(now time.Time, id uint64, call runningCall) {
	call.started = now
	call.saturated = len(q.running)+1 >= q.estimator.Limit()
	q.running[id] = call
}

func (q *Queue) decide(id uint64, o Outcome) {
	q.decisions = append(q.decisions, Decision{ID: id, Outcome: o})
}

// accrueCredit adds to the credit of each priority its minimum share of the slot
// time since the last call of accrueCredit.
func (q *Queue) accrueCredit(now time.Time) {
	passed := now.Sub(q.accruedAt)
	if passed <= 0 {
		return
	}
	if q.accruedAt.IsZero() {
		passed = 0
	}
	q.accruedAt = now
	passed = min(passed, maxRetryAfter)
	for p := range priority.All() {
		share := p.MinShare() * float64(q.estimator.Limit())
		class := &q.classes[p]
		class.credit = min(class.credit+time.Duration(share*float64(passed)), q.burst(p))
	}
}

// burst returns the maximum credit of a priority, which covers at least two
// average calls.
func (q *Queue) burst(p priority.Priority) time.Duration {
	accrued := time.Duration(p.MinShare() * float64(q.estimator.Limit()) * float64(minShareBurst))
	return max(accrued, 2*q.classes[p].service.mean())
}

// capacity returns the maximum number of waiting calls.
func (q *Queue) capacity() int { return min(q.estimator.Limit()*maxQueuedPerSlot, maxQueued) }

// reserved returns the number of queue places reserved for a priority.
func (q *Queue) reserved(p priority.Priority) int {
	return max(int(reservedFactor*p.MinShare()*float64(q.capacity())), minReserved)
}

// expectedEnd estimates when the call would end, from the calls ahead of it. It
// returns now if no call of the priority has ended yet.
func (q *Queue) expectedEnd(now time.Time, c Call, b band) time.Time {
	class := &q.classes[c.Priority]
	runTime := class.service.mean()
	if class.service.mean() == 0 {
		return now
	}
	calls := class.queues[b].ahead(c.Customer) + 1
	if b == excess {
		calls += class.queues[conforming].queued
	}
	work := time.Duration(calls) * class.service.mean()
	wait := work
	for p := priority.Urgent; p < c.Priority; p++ {
		wait += time.Duration(q.classes[p].queued()) * q.classes[p].service.mean()
	}
	wait /= time.Duration(q.estimator.Limit())
	if minShare := c.Priority.MinShare(); minShare > 0 {
		wait = min(wait, time.Duration(float64(work)/(minShare*float64(q.estimator.Limit()))))
	}
	return now.Add(wait + runTime)
}

func (q *Queue) refuse(now time.Time, rule string) Refused {
	q.lastRefusal = now
	return Refused{Rule: rule, RetryAfter: q.retryAfter()}
}

// isOverloaded reports whether the queue is half full or refused a call within
// overloadWindow.
func (q *Queue) isOverloaded(now time.Time) bool {
	return 2*len(q.waiting) >= q.capacity() || (!q.lastRefusal.IsZero() && now.Sub(q.lastRefusal) < overloadWindow)
}

// retryAfter estimates the time until the queue is empty, within minRetryAfter and
// maxRetryAfter.
func (q *Queue) retryAfter() time.Duration {
	var work time.Duration
	for p := range q.classes {
		work += time.Duration(q.classes[p].queued()) * q.classes[p].service.mean()
	}
	return min(max(work/time.Duration(q.estimator.Limit()), minRetryAfter), maxRetryAfter)
}

// makeRoom evicts a waiting call in favor of c. It returns false if c should be
// refused instead. Less urgent priorities lose calls first, as far as they exceed
// their reserved places; then c's own priority, and then the more urgent ones.
func (q *Queue) makeRoom(now time.Time, c Call, b band) bool {
	for p := priority.Bulk; p > c.Priority; p-- {
		if q.classes[p].queued() > q.reserved(p) {
			return q.evict(now, q.classes[p].victim(conforming, 0))
		}
	}
	class := &q.classes[c.Priority]
	if class.queued() >= q.reserved(c.Priority) {
		return q.evict(now, class.victim(b, class.queues[b].length(c.Customer)))
	}
	for p := priority.Bulk; ; p-- {
		if q.classes[p].queued() > q.reserved(p) {
			return q.evict(now, q.classes[p].victim(conforming, 0))
		}
		if p == priority.Urgent {
			return false
		}
	}
}

// victim returns the call to evict in favor of a new call in the given band: the
// newest call of the customer with the most waiting calls, from the excess if the
// new call conforms. It returns nil if no customer of the band itself has more
// than length calls; the new call is then refused.
func (c *class) victim(newcomer band, length int) *waiter {
	for b := excess; b > newcomer; b-- {
		if w := c.queues[b].longest(); w != nil {
			return w
		}
	}
	w := c.queues[newcomer].longest()
	if w == nil || w.flow.length <= length {
		return nil
	}
	return w
}

func (q *Queue) evict(now time.Time, w *waiter) bool {
	if w == nil {
		return false
	}
	id := w.call.ID
	q.remove(w)
	q.decide(id, q.refuse(now, RuleShed))
	return true
}

func (q *Queue) remove(w *waiter) {
	q.classes[w.call.Priority].queues[w.band].remove(w)
	q.release(w)
}

// release returns the waiter of a call that left its queue to the free list.
func (q *Queue) release(w *waiter) {
	delete(q.waiting, w.call.ID)
	w.call.Customer, w.usage = "", nil
	w.next = q.free
	q.free = w
}

// costOf returns the mean service time of a customer's calls relative to that of
// the priority.
func (c *class) costOf(usage *customerUsage) float64 {
	if usage.service.mean() == 0 || c.service.mean() == 0 {
		return 1
	}
	cost := float64(usage.service.mean()) / float64(c.service.mean())
	return min(max(cost, 1/maxRelativeCost), maxRelativeCost)
}

func (q *Queue) newWaiter(c Call, b band, usage *customerUsage) *waiter {
	w := q.free
	if w == nil {
		w = &waiter{}
	} else {
		q.free = w.next
	}
	*w = waiter{call: c, band: b, usage: usage}
	return w
}

func (Started) implementsOutcome() {}
func (Queued) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
