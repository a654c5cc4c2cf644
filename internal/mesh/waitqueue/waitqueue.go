// Package waitqueue adds blocking calls to the admission control of a [gate.Gate], so
// that a goroutine can wait until its request gets one of the slots for concurrent
// requests.
//
//	q := waitqueue.New()
//	id, refused := q.Admit(ctx, gate.Request{Target: target, Deadline: deadline})
//	if refused != nil {
//		return refused
//	}
//	defer q.Done(id, true)
package waitqueue

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/core/gate"
)

// The rules by which a waiting request is refused, besides those of the gate.
const (
	// RuleCallerLeft means that the context of the request ended.
	RuleCallerLeft = "callerLeft"
	// RuleWaitedTooLong means that a slot would no longer be useful to the request.
	RuleWaitedTooLong = "waitedTooLong"
)

// Queue is a gate with the goroutines that wait at it. It is safe for concurrent
// use. Lock order: mu is the only lock.
type Queue struct {
	mu     sync.Mutex
	gate   *gate.Gate
	lastID uint64
	// waiting holds the channel on which each queued request gets its outcome, by ID.
	waiting map[uint64]chan gate.Outcome
	// starter starts the requests that wait for the gate's rate limit.
	starter *time.Timer
}

// New returns a queue whose gate has no slots yet. Use Update to set their number.
func New() *Queue {
	return &Queue{gate: gate.New(), waiting: make(map[uint64]chan gate.Outcome)}
}

// Update calls fn with the gate, and wakes the requests that fn caused to start or to be
// refused.
func (q *Queue) Update(fn func(*gate.Gate)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	fn(q.gate)
	q.wakeLocked()
}

// WouldRefuse returns the refusal that Admit would return at once for a request, or
// nil if the request would run or wait. It does not admit the request.
func (q *Queue) WouldRefuse(r gate.Request) *gate.Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refused, ok := q.gate.Preview(time.Now(), r).(gate.Refused); ok {
		return &refused
	}
	return nil
}

// Admit waits until the request has a slot. It returns the ID to pass to Done, or the
// refusal. The request's own ID is ignored.
func (q *Queue) Admit(ctx context.Context, r gate.Request) (uint64, *gate.Refused) {
	q.mu.Lock()
	q.lastID++
	r.ID = q.lastID
	outcome := q.gate.Offer(time.Now(), r)
	q.wakeLocked()
	queued, waits := outcome.(gate.Queued)
	var woken chan gate.Outcome
	if waits {
		woken = make(chan gate.Outcome, 1)
		q.waiting[r.ID] = woken
	}
	q.mu.Unlock()
	if waits {
		outcome = q.await(ctx, r.ID, woken, queued.Until)
	}
	if refused, ok := outcome.(gate.Refused); ok {
		return 0, &refused
	}
	return r.ID, nil
}

// Done frees the slot of a running request. Its running time counts in the mean of its
// class only if answered is set.
func (q *Queue) Done(id uint64, answered bool) {
	q.Update(func(g *gate.Gate) { g.Done(time.Now(), id, answered) })
}

// Load returns the numbers of running and queued requests and of slots, and the mean
// running time of a class.
func (q *Queue) Load(class string) (running, queued, limit int, mean time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	running, queued, limit = q.gate.Load()
	return running, queued, limit, q.gate.MeanRunTime(class)
}

// wakeLocked passes the decisions of the gate to the waiting requests, and schedules the
// next start that a rate limit allows.
func (q *Queue) wakeLocked() {
	for _, d := range q.gate.Decisions() {
		if c := q.waiting[d.ID]; c != nil {
			delete(q.waiting, d.ID)
			c <- d.Outcome
		}
	}
	after, ok := q.gate.NextStart(time.Now())
	switch {
	case !ok:
	case q.starter == nil:
		q.starter = time.AfterFunc(after, func() { q.Update(func(g *gate.Gate) { g.Advance(time.Now()) }) })
	default:
		q.starter.Reset(after)
	}
}

// await waits for the decision on a queued request. It cancels the request when ctx
// or its waiting time ends first.
func (q *Queue) await(ctx context.Context, id uint64, woken chan gate.Outcome, until time.Time) gate.Outcome {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	rule := RuleWaitedTooLong
	select {
	case o := <-woken:
		return o
	case <-ctx.Done():
		rule = RuleCallerLeft
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.gate.Cancel(id) {
		delete(q.waiting, id)
		return gate.Refused{Rule: rule}
	}
	return <-woken
}
