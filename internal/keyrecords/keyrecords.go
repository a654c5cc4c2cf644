// Package keyrecords makes the idempotency table of lavenderdeal/core/idempotency
// available to the concurrent calls of a node. The node is the home of the keys, that
// is, the node that keeps their records.
//
// [Store.Begin] waits while an earlier call with the same key is running:
//
//	switch o := s.Begin(ctx, id, content, false).(type) {
//	case idempotency.Run:
//		s.Finish(id, answer)
//	case idempotency.Replay:
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
	mu    sync.Mutex
	table idempotency.Table
	// running holds for each running call a channel that is closed when it ends.
	running map[idempotency.ID]chan struct{}
	// sealed is set by Seal.
	sealed bool
}

// Begin decides whether a call runs, gets the answer of an earlier call with the
// same key, or is refused. The content is the digest described at
// [idempotency.Record]. Begin waits while an earlier call with the key is running,
// so it never returns [idempotency.Wait]; if ctx is done first, the call is refused.
// When replayOnly is set, a call without a record is refused.
//
// After [idempotency.Run] the caller must call Finish, FinishUnknown or Release.
func (s *Store) Begin(ctx context.Context, id idempotency.ID, content string, replayOnly bool) idempotency.Outcome {
	for {
		outcome, ended := s.begin(id, content, replayOnly)
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
func (s *Store) Finish(id idempotency.ID, answer idempotency.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Finish(time.Now(), id, answer)
	s.wake(id)
}

// FinishUnknown records that the outcome of a call is unknown and wakes the calls
// that wait for it.
func (s *Store) FinishUnknown(id idempotency.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.FinishUnknown(time.Now(), id)
	s.wake(id)
}

// Release removes the record of a call that did not run and wakes the calls that
// wait for it.
func (s *Store) Release(id idempotency.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Release(id)
	s.wake(id)
}

// Seal makes Begin refuse each call without a record, so that no record is missing
// from a later Export.
func (s *Store) Seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
}

// Export returns all records, with bodies of up to maxBodies bytes in total; see
// [idempotency.Table.Export].
func (s *Store) Export(maxBodies int) []idempotency.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Export(maxBodies)
}

// Import adds the records of the previous home of the keys. It returns false if not
// all of them fit.
func (s *Store) Import(imported []idempotency.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	allFit := true
	for _, record := range imported {
		allFit = s.table.Import(now, record) && allFit
	}
	return allFit
}

// Running returns the number of calls that have begun to run and not ended.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Size returns the number of records and the total size of their bodies in bytes.
func (s *Store) Size() (records, bodyBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len(), s.table.BodyBytes()
}

// begin returns the outcome, or, while an earlier call with the same key is
// running, a channel that is closed when that call ends.
func (s *Store) begin(id idempotency.ID, content string, replayOnly bool) (idempotency.Outcome, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.table.Has(now, id) {
		switch {
		case s.sealed:
			return idempotency.Refused{Verdict: homeLeaving}, nil
		case replayOnly:
			return idempotency.Refused{Verdict: homeMoved}, nil
		}
	}
	outcome := s.table.Begin(now, id, content)
	switch outcome.(type) {
	case idempotency.Wait:
		return nil, s.running[id]
	case idempotency.Run:
		if s.running == nil {
			s.running = make(map[idempotency.ID]chan struct{})
		}
		s.running[id] = make(chan struct{})
	}
	return outcome, nil
}

// wake wakes the calls that wait for the end of a call. The caller holds mu.
func (s *Store) wake(id idempotency.ID) {
	if ended, ok := s.running[id]; ok {
		delete(s.running, id)
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
