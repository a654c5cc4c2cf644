// Package idempotency records the calls with an idempotency key that ran at a node,
// so that no call runs again when its caller resends it.
//
// # Records
//
// A [Table] belongs to the node that is the home of the keys. Begin is called
// before a call runs. Exactly one of Finish, FinishUnknown and Release ends a call
// for which Begin returned Run:
//
//	var t idempotency.Table
//	switch o := t.Begin(now, id, content).(type) {
//	case idempotency.Run:
//		t.Finish(now, id, answer)
//	case idempotency.Wait:
//		// The call is running. Call Begin again when it has ended.
//	case idempotency.Replay:
//		send(o.Answer)
//	case idempotency.Refused:
//		refuse(o.Verdict)
//	}
//
// # Bounds
//
// A record is kept for [Retention] after its call ended and is never dropped
// earlier. A full table refuses new keys. The bodies of answers have a bound of
// their own, and the oldest are dropped first. Their records stay.
package idempotency

import (
	"time"

	"lavenderdeal/core/verdict"
)

const (
	// RetryWindow is how long after its first sending a call may be resent.
	RetryWindow = 10 * time.Minute
	// MaxTransit is the longest time that a call takes from its caller to its home,
	// which refuses older calls.
	MaxTransit = 1 * time.Minute
	// Retention is how long a record is kept after its call ended. It lets each call
	// resent within RetryWindow still find the record.
	Retention = RetryWindow + 2*MaxTransit
	// MaxRecords is the largest number of records of one home.
	MaxRecords = 1 << 16
	// MaxAnswerBody is the longest body of an answer that is kept, in bytes.
	MaxAnswerBody = 64 << 10
	// MaxBodyBytes is the largest total of all bodies that are kept, in bytes.
	MaxBodyBytes = 32 << 20
	// fullRetryAfter is the Retry-After of the refusal when the table is full.
	fullRetryAfter = 30 * time.Second
)

// ID identifies a call. All calls of one table are of one service.
type ID struct {
	Customer string
	Key      string
}

// Answer is the recorded answer to a call.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	Header map[string][]string
	Body   []byte
	// Trailer follows the body. It may be nil.
	Trailer map[string][]string
	// BodyDropped is set when the body was too long or was dropped for newer ones. Only
	// the status is kept then.
	BodyDropped bool
}

// Record describes a call that ran or may have run.
type Record struct {
	ID
	// Content is a digest of the method, the path and the body.
	Content string
	// Answer is nil if the outcome is unknown.
	Answer *Answer
}

// Outcome is Run, Wait, Replay or Refused.
type Outcome interface {
	implementsOutcome()
}

// Run is the outcome of a new call, which runs now.
type Run struct{}

// Wait is the outcome of a call that is already running.
type Wait struct{}

// Replay is the outcome of a call that ran and whose answer is recorded.
type Replay struct {
	Answer *Answer
}

// Refused is the outcome of a call that must not run.
type Refused struct {
	// Verdict is MayHaveRun if the call may have run when it was sent before, and NotRun
	// otherwise.
	Verdict verdict.Verdict
}

// Table holds the records of one home. The zero value is empty and ready to use.
// It is not safe for concurrent use.
type Table struct {
	records map[ID]*record
	// ended holds the records of ended calls, and bodies those with a kept body, both
	// ordered by the end of the calls. bodyBytes is the total size of these bodies.
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

// Begin returns whether a call runs, waits, is answered from its record or is
// refused. content is a digest of the method, the path and the body. After [Run] the
// caller must end the call with Finish, FinishUnknown or Release.
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

// Finish ends a call that was answered and records the answer.
func (t *Table) Finish(now time.Time, id ID, answer Answer) {
	if r, ok := t.records[id]; ok && r.state == running {
		t.end(now, r, &answer)
	}
}

// FinishUnknown ends a call whose outcome is unknown.
func (t *Table) FinishUnknown(now time.Time, id ID) {
	if r, ok := t.records[id]; ok && r.state == running {
		t.end(now, r, nil)
	}
}

// Release ends a call that certainly did not run and drops its record, so that the
// next call with its key runs.
func (t *Table) Release(id ID) {
	if r, ok := t.records[id]; ok && r.state == running {
		delete(t.records, id)
	}
}

// Export returns the records for the next homes of the keys: those of ended calls,
// newest first, then those of running calls, with an unknown outcome. Bodies are
// included, newest first, up to a total of maxBodies bytes.
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

// Import adds a record of an earlier home. An answer replaces an unknown outcome; any
// other existing record stays. Import returns false if the table is full.
func (t *Table) Import(now time.Time, imported Record) bool {
	t.expire(now)
	r, ok := t.records[imported.ID]
	switch {
	case ok && (r.state != unknown || imported.Answer == nil):
		return true
	case !ok && len(t.records) >= MaxRecords:
		return false
	}
	r = &record{id: imported.ID, content: imported.Content}
	t.add(r)
	t.end(now, r, imported.Answer)
	return true
}

// Has reports whether the table has a record of the call.
func (t *Table) Has(now time.Time, id ID) bool {
	t.expire(now)
	_, ok := t.records[id]
	return ok
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// BodyBytes returns the total size in bytes of the bodies that are kept.
func (t *Table) BodyBytes() int { return t.bodyBytes }

func (t *Table) add(r *record) {
	if t.records == nil {
		t.records = make(map[ID]*record)
	}
	t.records[r.id] = r
}

func (t *Table) end(now time.Time, r *record, answer *Answer) {
	r.expiresAt = now.Add(Retention)
	r.state = unknown
	t.ended.push(r)
	if answer == nil {
		return
	}
	r.state = answered
	r.answer = answer
	if len(answer.Body) > MaxAnswerBody {
		r.answer = answer.withoutBody()
	}
	t.keepBody(r)
}

// keepBody adds the body of an answer and drops the oldest ones beyond MaxBodyBytes.
func (t *Table) keepBody(r *record) {
	if len(r.answer.Body) == 0 {
		return
	}
	t.bodyBytes += len(r.answer.Body)
	t.bodies.push(r)
	for t.bodyBytes > MaxBodyBytes {
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

// repeat returns the outcome for another call with the record's key.
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
	case r.answer.BodyDropped:
		return Refused{Verdict: verdict.MayHaveRun{
			Rule:   "answerDropped",
			Detail: "an earlier call with this idempotency key ran; its answer is no longer kept",
		}}
	}
	return Replay{Answer: r.answer}
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, BodyDropped: true}
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
func (Replay) implementsOutcome()  {}
func (Refused) implementsOutcome() {}
