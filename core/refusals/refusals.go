// Package refusals records refused attempts, to recognise callers that retry.
//
// # Why
//
// Each attempt of a caller has its own id, and the target latency counts from the
// first attempt. A caller that retries after a refusal has used up a part of it. If
// it were treated as a new caller, slots would go to requests that are already late,
// in place of others that could still be in time.
//
// # Table
//
// A [Table] holds the most recent refused attempts. An attempt of the same request
// with the same deadline is a retry by the same caller, since the time that a caller
// still waits decreases between its attempts:
//
//	var t refusals.Table
//	t.Add(now, refusals.Attempt{Key: key, Deadline: deadline, Target: target})
//	if first, ok := t.Match(key, deadline); ok {
//		target = first.Target
//	}
package refusals

import (
	"time"
)

const (
	// deadlineTolerance is the largest difference between the deadlines of two attempts
	// of a caller. Each is computed from the time at which the attempt was read, which a
	// busy instance does some tens of milliseconds late.
	deadlineTolerance = 30 * time.Millisecond
	// maxAttempts bounds the attempts kept. It holds about two seconds of refusals at
	// the node with the highest load.
	maxAttempts = 1024
)

// Attempt is a refused attempt.
type Attempt struct {
	// Key is equal for attempts of the same request.
	Key uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Target is when the target latency ends, counted from the first attempt.
	Target time.Time
}

// Table holds refused attempts. The zero value is ready to use. It is not safe for
// concurrent use.
type Table struct {
	attempts map[uint64][]entry
	// order holds the recorded attempts, oldest first, including those already matched.
	order []position
	// added is the number of attempts recorded so far.
	added uint64
}

// entry is an attempt with its number in the order of recording.
type entry struct {
	Attempt
	number uint64
}

// position identifies a recorded attempt.
type position struct {
	key, number uint64
}

// Add records an attempt that was refused without having run. It ignores an attempt
// whose deadline has passed, and drops the oldest attempt when the table is full.
func (t *Table) Add(now time.Time, a Attempt) {
	if !now.Before(a.Deadline) {
		return
	}
	if t.attempts == nil {
		t.attempts = make(map[uint64][]entry)
	}
	if len(t.order) == maxAttempts {
		t.dropOldest()
	}
	t.added++
	t.order = append(t.order, position{key: a.Key, number: t.added})
	t.attempts[a.Key] = append(t.attempts[a.Key], entry{Attempt: a, number: t.added})
}

// Match removes and returns the refused attempt with the same key and the closest
// deadline within deadlineTolerance. It returns false if there is none, which means a
// new caller.
func (t *Table) Match(key uint64, deadline time.Time) (Attempt, bool) {
	list := t.attempts[key]
	closest, smallest := -1, deadlineTolerance+1
	for i, a := range list {
		if d := a.Deadline.Sub(deadline).Abs(); d < smallest {
			closest, smallest = i, d
		}
	}
	if closest < 0 {
		return Attempt{}, false
	}
	a := list[closest].Attempt
	t.set(key, append(list[:closest], list[closest+1:]...))
	return a, true
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.attempts {
		n += len(list)
	}
	return n
}

// dropOldest removes the oldest recorded attempt, if it has not been matched.
func (t *Table) dropOldest() {
	oldest := t.order[0]
	t.order = append(t.order[:0], t.order[1:]...)
	// The attempts of a key are in the order of recording.
	if list := t.attempts[oldest.key]; len(list) > 0 && list[0].number == oldest.number {
		t.set(oldest.key, list[1:])
	}
}

// set replaces the attempts of a key.
func (t *Table) set(key uint64, list []entry) {
	if len(list) == 0 {
		delete(t.attempts, key)
		return
	}
	t.attempts[key] = list
}
