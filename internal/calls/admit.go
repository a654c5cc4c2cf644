package calls

import (
	"context"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/priority"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// admit waits until the call has a slot.
func (r *Runner) admit(ctx context.Context, call messages.Call) error {
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	r.lastID++
	c := admission.Call{ID: r.lastID, Customer: call.Customer, Priority: priority.Priority(call.Priority), Deadline: deadline}
	outcome := r.queue.Offer(time.Now(), c)
	started := make(chan struct{})
	if _, ok := outcome.(admission.Queued); ok {
		r.waiting[c.ID] = started
	}
	r.mu.Unlock()
	switch o := outcome.(type) {
	case admission.Refused:
		return verdict.RefuseFor(o.Rule, "the queue of this backend server refused the call", o.RetryAfter)
	case admission.Started:
		return nil
	}
	select {
	case <-started:
		return nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	delete(r.waiting, c.ID)
	cancelled := r.queue.Cancel(c.ID, c.Priority)
	r.mu.Unlock()
	if !cancelled {
		// The slot came at the same moment.
		r.done()
	}
	return verdict.Refuse("deadlinePassed", "the call waited in the queue until its deadline")
}

// done frees the slot of a call and starts the next one.
func (r *Runner) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.queue.Done()
	if !ok {
		return
	}
	if started, ok := r.waiting[next.ID]; ok {
		delete(r.waiting, next.ID)
		close(started)
	}
}
