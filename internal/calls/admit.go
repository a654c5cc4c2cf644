package calls

import (
	"context"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/priority"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// admit waits until the call has a slot. It returns the id under which the slot
// is freed.
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
	r.tellDecisions()
	r.mu.Unlock()
	if decided == nil {
		return c.ID, refusalOf(outcome)
	}
	select {
	case outcome = <-decided:
		return c.ID, refusalOf(outcome)
	case <-ctx.Done():
	}
	return c.ID, r.cancel(c.ID, decided)
}

// cancel takes a call out of the queue, or frees the slot that it got at the
// same moment.
func (r *Runner) cancel(id uint64, decided chan admission.Outcome) error {
	r.mu.Lock()
	delete(r.waiting, id)
	cancelled := r.queue.Cancel(id)
	r.mu.Unlock()
	if !cancelled {
		outcome := <-decided
		if err := refusalOf(outcome); err != nil {
			return err
		}
		r.done(id)
	}
	return verdict.Refuse(admission.RuleDeadlinePassed, "the call waited in the queue until its deadline")
}

// done frees the slot of a call and starts the next one.
func (r *Runner) done(id uint64) {
	if r.watch != nil {
		r.watch.End(id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Done(time.Now(), id)
	r.tellDecisions()
}

// tellDecisions wakes the calls that the queue has decided on. The caller holds
// mu.
func (r *Runner) tellDecisions() {
	for _, d := range r.queue.Decisions() {
		if decided, ok := r.waiting[d.ID]; ok {
			delete(r.waiting, d.ID)
			decided <- d.Outcome
		}
	}
}

func refusalOf(outcome admission.Outcome) error {
	if o, ok := outcome.(admission.Refused); ok {
		return verdict.RefuseFor(o.Rule, "the queue of this backend server refused the call", o.RetryAfter)
	}
	return nil
}
