// Package admission decides when a call runs on the backend server beside the
// node.
//
// # Queue
//
// A [Queue] has a number of slots and one bounded line for each priority. Offer
// starts a call, queues it or refuses it. Done ends a call and returns the next
// one to start. The queue is driven with the time as an argument and has no
// clock of its own:
//
//	q := admission.New(18)
//	switch o := q.Offer(now, admission.Call{ID: 1, Priority: priority.Urgent, Deadline: deadline}).(type) {
//	case admission.Started:
//		run()
//	case admission.Queued:
//		wait()
//	case admission.Refused:
//		refuse(o.Rule)
//	}
package admission

import (
	"time"

	"lavenderdeal/core/priority"
)

const queuedPerSlot = 4

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
	// Rule is queueFull or deadlinePassed.
	Rule       string
	RetryAfter time.Duration
}

// Queue is the state of admission. The caller serializes all calls.
type Queue struct {
	slots   int
	running int
	queued  int
	lines   [priority.Count][]Call
}

// New returns an empty queue in front of a number of slots.
func New(slots int) *Queue { return &Queue{slots: slots} }

// Offer decides about a new call.
func (q *Queue) Offer(now time.Time, c Call) Outcome {
	if !now.Before(c.Deadline) {
		return Refused{Rule: "deadlinePassed"}
	}
	if q.running < q.slots {
		q.running++
		return Started{}
	}
	if q.queued >= q.slots*queuedPerSlot {
		return Refused{Rule: "queueFull", RetryAfter: time.Second}
	}
	q.queued++
	q.lines[c.Priority] = append(q.lines[c.Priority], c)
	return Queued{}
}

// Done ends a running call. It returns the call that takes over the slot, if
// one waits.
func (q *Queue) Done() (Call, bool) {
	q.running--
	for p := range q.lines {
		if len(q.lines[p]) > 0 {
			next := q.lines[p][0]
			q.lines[p] = q.lines[p][1:]
			q.queued--
			q.running++
			return next, true
		}
	}
	return Call{}, false
}

// Cancel takes a call out of the queue. It returns false when the call does not
// wait there.
func (q *Queue) Cancel(id uint64, p priority.Priority) bool {
	for i, c := range q.lines[p] {
		if c.ID == id {
			q.lines[p] = append(q.lines[p][:i:i], q.lines[p][i+1:]...)
			q.queued--
			return true
		}
	}
	return false
}

// Load returns the numbers of running and waiting calls and of slots.
func (q *Queue) Load() (running, queued, slots int) { return q.running, q.queued, q.slots }

func (Started) implementsOutcome() {}
func (Queued) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
