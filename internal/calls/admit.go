package calls

import (
	"context"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/priority"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// admit queues the call and waits until it gets a slot. It returns the id to pass
// to releaseSlot.
func (r *Runner) admit(ctx context.Context, call messages.Call) (uint64, error) {
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	r.lastID++
	c := admission.Call{ID: r.lastID, Customer: call.Customer, Priority: priority.Priority(call.Priority), Deadline: deadline}
	outcome := r.queue.Offer(time.Now(), c)
	var decided chan admission.Outcome
	if _, ok := outcome.(admission.Queued); ok {
		decided = make(chan admission.Outcome, 1)
		r.waiting[c.ID] = decided
	}
	r.deliverDecisionsLocked()
	r.mu.Unlock()
	if decided == nil {
		return c.ID, refusalError(outcome)
	}
	select {
	case outcome = <-decided:
		return c.ID, refusalError(outcome)
	case <-ctx.Done():
	}
	return c.ID, r.cancelQueued(c.ID, decided)
}

// cancelQueued removes a call from the queue, or releases its slot if the call was
// admitted concurrently.
func (r *Runner) cancelQueued(id uint64, decided chan admission.Outcome) error {
	r.mu.Lock()
	delete(r.waiting, id)
	cancelled := r.queue.Cancel(id)
	r.mu.Unlock()
	if !cancelled {
		outcome := <-decided
		if err := refusalError(outcome); err != nil {
			return err
		}
		r.releaseSlot(id)
	}
	return verdict.Refuse(admission.RuleDeadlinePassed, "the call waited in the queue until its deadline")
}

// releaseSlot releases the slot of a call and admits the next queued call.
func (r *Runner) releaseSlot(id uint64) {
	if r.monitor != nil {
		r.monitor.End(id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Done(time.Now(), id)
	r.deliverDecisionsLocked()
}

// deliverDecisionsLocked wakes the waiting calls that the queue has admitted or
// refused. The caller holds mu.
func (r *Runner) deliverDecisionsLocked() {
	for _, d := range r.queue.Decisions() {
		if decided, ok := r.waiting[d.ID]; ok {
			delete(r.waiting, d.ID)
			decided <- d.Outcome
		}
	}
}

// refusalError returns the error for a refused call, or nil for any other
// outcome.
func refusalError(outcome admission.Outcome) error {
	if o, ok := outcome.(admission.Refused); ok {
		return verdict.RefuseFor(o.Rule, "the queue of this backend server refused the call", o.RetryAfter)
	}
	return nil
}
