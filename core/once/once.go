// Package once remembers which calls with an idempotency key ran at a node, so
// that a repeat of one never runs again.
//
// # Records
//
// A [Table] belongs to the node that is the home of the keys. Begin is asked
// before a call runs, and exactly one of Finish, Lose and Release ends a call
// that Begin let run:
//
//	var t once.Table
//	switch o := t.Begin(now, id, content).(type) {
//	case once.Run:
//		t.Finish(now, id, answer)
//	case once.Wait:
//		// The call is running. Ask again when it ended.
//	case once.Repeat:
//		send(o.Answer)
//	case once.Refused:
//		refuse(o.Verdict)
//	}
//
// # Bounds
//
// A record is kept for [Keep] after its call ended and is never dropped
// earlier. A table that is full refuses new keys. The bodies of answers are
// bounded separately and the oldest are dropped first: the fact that the call
// ran stays.
package once

import (
	"time"

	"lavenderdeal/core/verdict"
)

const (
	// Window is how long after the first sending a call may be sent again.
	Window = 10 * time.Minute
	// MaxTransit is the longest time that a call takes from its caller to its
	// home; an older one is refused there.
	MaxTransit = 1 * time.Minute
	// Keep is how long a record is kept after its call ended, so that each
	// repeat sent within the window still finds it.
	Keep = Window + 2*MaxTransit
	// MaxRecords bounds the records of one home.
	MaxRecords = 1 << 16
	// MaxAnswer is the longest body of an answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// MaxBodies bounds all bodies that are kept, in bytes.
	MaxBodies = 32 << 20
	// fullRetryAfter is the advice to callers when the table is full.
	fullRetryAfter = 30 * time.Second
)

// ID identifies a call. All calls of one table are of one service.
type ID struct {
	Customer string
	Key      string
}

// Answer is an answer as it is kept.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Trailer follows the body. It may be nil.
	Trailer map[string][]string
	// Dropped says that the body was too long or made room for newer ones.
	Dropped bool
}

// Record is what is known of a call that ran or may have run.
type Record struct {
	ID
	// Content stands for the method, the path and the body.
	Content string
	// Answer is nil when the outcome is not known.
	Answer *Answer
}

// Outcome is Run, Wait, Repeat or Refused.
type Outcome interface {
	implementsOutcome()
}

// Run says that the call runs now, for the first time.
type Run struct{}

// Wait says that the call is running.
type Wait struct{}

// Repeat says that the call ran and was answered.
type Repeat struct {
	Answer *Answer
}

// Refused says that the call does not run.
type Refused struct {
	Verdict verdict.Verdict
}

// Table holds the records of one home. The zero value is empty and ready to
// use. The caller serializes all calls.
type Table struct {
	records map[ID]*record
	// ended and bodies are in order of the ends of the calls.
	ended     queue
	bodies    queue
	bodyBytes int
}

type state uint8

const (
	running state = iota
	answered
	unknown
)

type record struct {
	id        ID
	content   string
	state     state
	answer    *Answer
	expiresAt time.Time
}

// Begin decides about a call. After [Run] the table expects the end of the call.
func (t *Table) Begin(now time.Time, id ID, content string) Outcome {
	t.expire(now)
	if r, ok := t.records[id]; ok {
		return r.repeat(content)
	}
	if len(t.records) >= MaxRecords {
		return Refused{Verdict: verdict.NotRun{
			Rule:       "keyTableFull",
			Detail:     "the home of the idempotency key holds as many records as it can",
			RetryAfter: fullRetryAfter,
		}}
	}
	t.add(&record{id: id, content: content})
	return Run{}
}

// Finish ends a call that was answered.
func (t *Table) Finish(now time.Time, id ID, answer Answer) {
	if r, ok := t.records[id]; ok && r.state == running {
		t.end(now, r, &answer)
	}
}

// Lose ends a call whose outcome is not known.
func (t *Table) Lose(now time.Time, id ID) {
	if r, ok := t.records[id]; ok && r.state == running {
		t.end(now, r, nil)
	}
}

// Release ends a call that was let run and certainly did not: the next one with
// its key runs.
func (t *Table) Release(id ID) {
	if r, ok := t.records[id]; ok && r.state == running {
		delete(t.records, id)
	}
}

// Export returns all records, newest first, for the next homes of the keys. The
// outcome of a running call is given as not known. Bodies are given, newest
// first, up to a total of maxBodies bytes.
func (t *Table) Export(maxBodies int) []Record {
	exported := make([]Record, 0, len(t.records))
	for i := len(t.ended.items) - 1; i >= t.ended.head; i-- {
		r := t.ended.items[i]
		if t.records[r.id] != r {
			continue
		}
		next := Record{ID: r.id, Content: r.content, Answer: r.answer}
		if r.answer != nil && len(r.answer.Body) > maxBodies {
			next.Answer = r.answer.withoutBody()
		} else if r.answer != nil {
			maxBodies -= len(r.answer.Body)
		}
		exported = append(exported, next)
	}
	for _, r := range t.records {
		if r.state == running {
			exported = append(exported, Record{ID: r.id, Content: r.content})
		}
	}
	return exported
}

// Import takes over a record of an earlier home. It returns false when the
// table is full. An answer replaces an outcome that was not known.
func (t *Table) Import(now time.Time, given Record) bool {
	t.expire(now)
	r, ok := t.records[given.ID]
	switch {
	case ok && (r.state != unknown || given.Answer == nil):
		return true
	case !ok && len(t.records) >= MaxRecords:
		return false
	}
	r = &record{id: given.ID, content: given.Content}
	t.add(r)
	t.end(now, r, given.Answer)
	return true
}

// Has says whether the table knows of the call.
func (t *Table) Has(now time.Time, id ID) bool {
	t.expire(now)
	_, ok := t.records[id]
	return ok
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// BodyBytes returns the size of all bodies that are kept.
func (t *Table) BodyBytes() int { return t.bodyBytes }

func (t *Table) add(r *record) {
	if t.records == nil {
		t.records = make(map[ID]*record)
	}
	t.records[r.id] = r
}

func (t *Table) end(now time.Time, r *record, answer *Answer) {
	r.expiresAt = now.Add(Keep)
	r.state = unknown
	t.ended.push(r)
	if answer == nil {
		return
	}
	r.state = answered
	r.answer = answer
	if len(answer.Body) > MaxAnswer {
		r.answer = answer.withoutBody()
	}
	t.keepBody(r)
}

func (t *Table) keepBody(r *record) {
	if len(r.answer.Body) == 0 {
		return
	}
	t.bodyBytes += len(r.answer.Body)
	t.bodies.push(r)
	for t.bodyBytes > MaxBodies {
		oldest := t.bodies.pop()
		t.bodyBytes -= len(oldest.answer.Body)
		oldest.answer = oldest.answer.withoutBody()
	}
}

func (t *Table) expire(now time.Time) {
	for t.ended.len() > 0 && !now.Before(t.ended.first().expiresAt) {
		r := t.ended.pop()
		if t.records[r.id] == r {
			delete(t.records, r.id)
		}
		if t.bodies.len() > 0 && t.bodies.first() == r {
			t.bodies.pop()
			t.bodyBytes -= len(r.answer.Body)
		}
	}
}

func (r *record) repeat(content string) Outcome {
	switch {
	case r.content != content:
		return Refused{Verdict: verdict.NotRun{
			Rule:   "keyReused",
			Detail: "the idempotency key was used for another method, path or body",
		}}
	case r.state == running:
		return Wait{}
	case r.state == unknown:
		return Refused{Verdict: verdict.MayHaveRun{
			Rule:   "outcomeUnknown",
			Detail: "an earlier call with this idempotency key may have run and was not answered",
		}}
	case r.answer.Dropped:
		return Refused{Verdict: verdict.MayHaveRun{
			Rule:   "answerDropped",
			Detail: "an earlier call with this idempotency key ran; its answer is no longer kept",
		}}
	}
	return Repeat{Answer: r.answer}
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, Dropped: true}
}

// queue is a first-in first-out queue of records.
type queue struct {
	items []*record
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) first() *record { return q.items[q.head] }

func (q *queue) push(r *record) { q.items = append(q.items, r) }

func (q *queue) pop() *record {
	r := q.items[q.head]
	q.items[q.head] = nil
	q.head++
	if q.head*2 > len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return r
}

func (Run) implementsOutcome()     {}
func (Wait) implementsOutcome()    {}
func (Repeat) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
