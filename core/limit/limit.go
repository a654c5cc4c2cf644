// Package limit enforces the call rate and the number of concurrent calls that the
// plans of customers allow.
//
// # Shares
//
// Each backend server's node enforces its share of a limit: the limit divided by the
// number of live servers of the service. So the nodes need no shared counter. The
// share of the concurrent calls is rounded up, so that a small limit still allows one
// call at each server:
//
//	var t limit.Table
//	refused, ok := t.Take(now, "crew-catania", limit.Limits{CallsPerSecond: 60}, servers)
//	if !ok {
//		refuse(refused.Rule, refused.RetryAfter)
//	}
//	defer t.Release("crew-catania")
package limit

import (
	"time"

	"lavenderdeal/core/tokenbucket"
)

const (
	// maxCustomers bounds the entries kept, not counting those kept only because calls
	// are running.
	maxCustomers = 8192
	// burstTime is the capacity of a token bucket, as the time in which it fills up.
	burstTime = 1 * time.Second

	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal by RuleRate.
	// concurrencyRetryAfter is that of a refusal by RuleConcurrency.
	minRetryAfter         = 50 * time.Millisecond
	maxRetryAfter         = 10 * time.Second
	concurrencyRetryAfter = 200 * time.Millisecond
)

// Rules by which a call is refused. A refused call did not run.
const (
	// RuleRate refuses a call that exceeds the call rate.
	RuleRate = "rateLimit"
	// RuleConcurrency refuses a call that exceeds the number of concurrent calls.
	RuleConcurrency = "concurrencyLimit"
)

// Limits are a customer's limits over all servers of the service. Zero means no limit.
type Limits struct {
	CallsPerSecond float64
	// Concurrent is the number of calls that may run at the same time.
	Concurrent int
}

// Refused describes the limit that refused a call.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule string
	// RetryAfter is how long the caller should wait before it sends the call again.
	RetryAfter time.Duration
}

// Table holds each customer's token bucket and running calls at one server. The zero
// value is ready to use. It is not safe for concurrent use.
type Table struct {
	// When recent is full, it replaces previous. Entries with running calls are kept.
	recent, previous map[string]*entry
}

// entry is the state of one customer.
type entry struct {
	bucket tokenbucket.Bucket
	// running is the number of admitted calls that were not released.
	running int
}

// Take admits a call of the customer, or returns false and the limit that refused it.
// The argument servers is the number of live servers of the service. Each admitted
// call must be released when it ends.
func (t *Table) Take(now time.Time, customer string, l Limits, servers int) (Refused, bool) {
	if l == (Limits{}) {
		return Refused{}, true
	}
	servers = max(servers, 1)
	e := t.entryFor(now, customer, l, servers)
	if l.Concurrent > 0 && e.running >= (l.Concurrent+servers-1)/servers {
		return Refused{Rule: RuleConcurrency, RetryAfter: concurrencyRetryAfter}, false
	}
	if l.CallsPerSecond > 0 {
		if refused, ok := e.takeToken(now, l.CallsPerSecond/float64(servers)); !ok {
			return refused, false
		}
	}
	e.running++
	return Refused{}, true
}

// Release ends an admitted call.
func (t *Table) Release(customer string) {
	e := t.recent[customer]
	if e == nil {
		e = t.previous[customer]
	}
	if e != nil && e.running > 0 {
		e.running--
	}
}

// takeToken takes a token from the token bucket. Rate is in calls per second.
func (e *entry) takeToken(now time.Time, rate float64) (Refused, bool) {
	if e.bucket.Take(now, rate) {
		return Refused{}, true
	}
	wait := e.bucket.Wait(now, rate, 1)
	return Refused{Rule: RuleRate, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}, false
}

// entryFor returns the customer's entry and moves it to recent. A new entry starts with a
// full token bucket.
func (t *Table) entryFor(now time.Time, customer string, l Limits, servers int) *entry {
	if e := t.recent[customer]; e != nil {
		return e
	}
	e := t.previous[customer]
	if e == nil {
		e = &entry{bucket: tokenbucket.Full(now, l.CallsPerSecond/float64(servers), burstTime)}
	}
	if t.recent == nil || len(t.recent) >= maxCustomers/2 {
		t.rotate()
	}
	t.recent[customer] = e
	return e
}

// rotate drops the entries that were not used since the last rotation, except those
// with running calls.
func (t *Table) rotate() {
	for customer, e := range t.previous {
		if e.running > 0 && t.recent[customer] == nil {
			t.recent[customer] = e
		}
	}
	t.previous, t.recent = t.recent, make(map[string]*entry)
}
