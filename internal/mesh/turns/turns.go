// Package turns lets the requests of many goroutines wait at one gate.
//
//	var q = turns.New()
//	id, refused := q.Admit(ctx, gate.Request{Target: target, Deadline: deadline})
//	if refused != nil {
//		return refused
//	}
//	defer q.Done(id, true)
package turns

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/core/gate"
)

// The rules that end the wait of a request, beside those of the gate.
const (
	RuleLeft   = "callerLeft"
	RuleWaited = "waitedTooLong"
)

// Queue is a gate with the goroutines that wait there. It is safe for use by
// several goroutines at once. Lock order: mu is the only lock.
type Queue struct {
	mu      sync.Mutex
	gate    *gate.Gate
	next    uint64
	waiting map[uint64]chan gate.Outcome
}

// New returns a queue whose gate has no slots yet; see Change.
func New() *Queue {
	return &Queue{gate: gate.New(), waiting: make(map[uint64]chan gate.Outcome)}
}

// Change changes the gate.
func (q *Queue) Change(fn func(*gate.Gate)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	fn(q.gate)
	q.wakeLocked()
}

// Expect returns what would be decided about a request, which stays outside. It
// returns nil when the request would run or wait.
func (q *Queue) Expect(r gate.Request) *gate.Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refused, ok := q.gate.Expect(time.Now(), r).(gate.Refused); ok {
		return &refused
	}
	return nil
}

// Admit waits until the request has a slot, and returns the id under which it
// runs, or why it has none. The request's own id is not used.
func (q *Queue) Admit(ctx context.Context, r gate.Request) (uint64, *gate.Refused) {
	q.mu.Lock()
	q.next++
	r.ID = q.next
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

// Done ends a running request. Answered says that its time counts.
func (q *Queue) Done(id uint64, answered bool) {
	q.Change(func(g *gate.Gate) { g.Done(time.Now(), id, answered) })
}

// Load returns the numbers of running and waiting requests and of slots, and the
// usual running time of a class.
func (q *Queue) Load(class string) (running, queued, limit int, usual time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	running, queued, limit = q.gate.Load()
	return running, queued, limit, q.gate.Mean(class)
}

// wakeLocked tells waiting requests what was decided about them.
func (q *Queue) wakeLocked() {
	for _, d := range q.gate.Decisions() {
		if c := q.waiting[d.ID]; c != nil {
			delete(q.waiting, d.ID)
			c <- d.Outcome
		}
	}
}

func (q *Queue) await(ctx context.Context, id uint64, woken chan gate.Outcome, until time.Time) gate.Outcome {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	rule := RuleWaited
	select {
	case o := <-woken:
		return o
	case <-ctx.Done():
		rule = RuleLeft
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
