// Package records shares the records of idempotency keys among the calls of one
// node.
//
// [Store.Begin] waits while an earlier call with the same key is running:
//
//	switch o := r.Begin(ctx, id, content, false).(type) {
//	case once.Run:
//		r.Finish(id, answer)
//	case once.Repeat:
//		send(o.Answer)
//	case once.Refused:
//		refuse(o.Verdict)
//	}
package keyrecords

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/verdict"
)

// Store is a table with its lock. The zero value is empty and ready to use. It
// is safe for use by several goroutines at once. Lock order: mu is the only
// lock.
type Store struct {
	mu     sync.Mutex
	table  idempotency.Table
	ends   map[idempotency.ID]chan struct{}
	sealed bool
}

// Begin decides about a call; it never returns [once.Wait]. When knownOnly is
// set, a call without a record is refused.
func (r *Store) Begin(ctx context.Context, id idempotency.ID, content string, knownOnly bool) idempotency.Outcome {
	for {
		outcome, ended := r.begin(id, content, knownOnly)
		if ended == nil {
			return outcome
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return idempotency.Refused{Verdict: verdict.MayHaveRun{
				Rule:   "stillRunning",
				Detail: "an earlier call with this idempotency key is running",
			}}
		}
	}
}

// Finish ends a call that was answered.
func (r *Store) Finish(id idempotency.ID, answer idempotency.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(time.Now(), id, answer)
	r.wake(id)
}

// FinishUnknown ends a call whose outcome is not known.
func (r *Store) FinishUnknown(id idempotency.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.FinishUnknown(time.Now(), id)
	r.wake(id)
}

// Release ends a call that did not run.
func (r *Store) Release(id idempotency.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(id)
	r.wake(id)
}

// Seal makes Begin refuse each call without a record from now on, so that what
// Export returns is complete.
func (r *Store) Seal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
}

// Export returns all records; see [once.Table.Export].
func (r *Store) Export(maxBodies int) []idempotency.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Export(maxBodies)
}

// Import takes over records of an earlier home. It returns false when not all of
// them fit.
func (r *Store) Import(given []idempotency.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	kept := true
	for _, record := range given {
		kept = r.table.Import(now, record) && kept
	}
	return kept
}

// Running returns the number of calls that are running.
func (r *Store) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// Size returns the number of records and the bytes of their bodies.
func (r *Store) Size() (records, bodyBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len(), r.table.BodyBytes()
}

// begin returns the outcome, or the channel that is closed when the earlier call
// ends.
func (r *Store) begin(id idempotency.ID, content string, knownOnly bool) (idempotency.Outcome, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.table.Has(now, id) {
		switch {
		case r.sealed:
			return idempotency.Refused{Verdict: leaving}, nil
		case knownOnly:
			return idempotency.Refused{Verdict: moved}, nil
		}
	}
	outcome := r.table.Begin(now, id, content)
	switch outcome.(type) {
	case idempotency.Wait:
		return nil, r.ends[id]
	case idempotency.Run:
		if r.ends == nil {
			r.ends = make(map[idempotency.ID]chan struct{})
		}
		r.ends[id] = make(chan struct{})
	}
	return outcome, nil
}

// wake tells those that wait for the end of a call. The caller holds mu.
func (r *Store) wake(id idempotency.ID) {
	if ended, ok := r.ends[id]; ok {
		delete(r.ends, id)
		close(ended)
	}
}

var (
	leaving = verdict.NotRun{
		Rule:       "homeLeaving",
		Detail:     "the home of the idempotency key leaves",
		RetryAfter: time.Second,
	}
	moved = verdict.MayHaveRun{
		Rule:   "homeMoved",
		Detail: "the home of the idempotency key changed within the window; an earlier call may have run",
	}
)
