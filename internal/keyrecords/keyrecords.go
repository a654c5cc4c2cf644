// Package keyrecords holds the records of idempotency keys that the concurrent
// calls of one node share.
//
// [Store.Begin] waits while an earlier call with the same key is running:
//
//	switch o := s.Begin(ctx, id, content, false).(type) {
//	case idempotency.Run:
//		s.Finish(id, answer)
//	case idempotency.Repeat:
//		send(o.Answer)
//	case idempotency.Refused:
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

// Store is an idempotency table for concurrent calls. The zero value is empty and
// ready to use. It is safe for concurrent use. Lock order: mu is the only lock.
type Store struct {
	mu      sync.Mutex
	table   idempotency.Table
	running map[idempotency.ID]chan struct{}
	sealed  bool
}

// Begin decides whether a call runs, gets the answer of an earlier call with the
// same key, or is refused. It never returns [idempotency.Wait]. When knownOnly is
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

// Finish records the answer of a call and wakes the calls that wait for it.
func (r *Store) Finish(id idempotency.ID, answer idempotency.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(time.Now(), id, answer)
	r.wake(id)
}

// FinishUnknown records that the outcome of a call is unknown and wakes the calls
// that wait for it.
func (r *Store) FinishUnknown(id idempotency.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.FinishUnknown(time.Now(), id)
	r.wake(id)
}

// Release removes the record of a call that did not run and wakes the calls that
// wait for it.
func (r *Store) Release(id idempotency.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(id)
	r.wake(id)
}

// Seal makes Begin refuse each call without a record, so that no record is missing
// from a later Export.
func (r *Store) Seal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
}

// Export returns all records; see [idempotency.Table.Export].
func (r *Store) Export(maxBodies int) []idempotency.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Export(maxBodies)
}

// Import adds the records of the previous home of the keys. It returns false if not
// all of them fit.
func (r *Store) Import(imported []idempotency.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	allFit := true
	for _, record := range imported {
		allFit = r.table.Import(now, record) && allFit
	}
	return allFit
}

// Running returns the number of running calls.
func (r *Store) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Size returns the number of records and the total size of their bodies in bytes.
func (r *Store) Size() (records, bodyBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len(), r.table.BodyBytes()
}

// begin returns the outcome, or, while an earlier call with the same key is
// running, a channel that is closed when that call ends.
func (r *Store) begin(id idempotency.ID, content string, knownOnly bool) (idempotency.Outcome, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.table.Has(now, id) {
		switch {
		case r.sealed:
			return idempotency.Refused{Verdict: homeLeaving}, nil
		case knownOnly:
			return idempotency.Refused{Verdict: homeMoved}, nil
		}
	}
	outcome := r.table.Begin(now, id, content)
	switch outcome.(type) {
	case idempotency.Wait:
		return nil, r.running[id]
	case idempotency.Run:
		if r.running == nil {
			r.running = make(map[idempotency.ID]chan struct{})
		}
		r.running[id] = make(chan struct{})
	}
	return outcome, nil
}

// wake wakes the calls that wait for the end of a call. The caller holds mu.
func (r *Store) wake(id idempotency.ID) {
	if ended, ok := r.running[id]; ok {
		delete(r.running, id)
		close(ended)
	}
}

var (
	homeLeaving = verdict.NotRun{
		Rule:       "homeLeaving",
		Detail:     "the home of the idempotency key leaves",
		RetryAfter: time.Second,
	}
	homeMoved = verdict.MayHaveRun{
		Rule:   "homeMoved",
		Detail: "the home of the idempotency key changed within the window; an earlier call may have run",
	}
)
