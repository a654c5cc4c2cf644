// Package limit keeps customers within the rate and the number of calls at once
// that their plans allow.
//
// # Shares
//
// Each backend server's node enforces its share of a limit, without a counter
// that nodes would have to share: the limit divided by the number of live servers
// of the service. The share of the calls at once is rounded up, so that a small
// limit still lets one call through at each server:
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
)

const (
	// maxCustomers bounds the entries kept.
	maxCustomers = 8192
	// burstTime is the time whose calls may come at once.
	burstTime = 1 * time.Second

	shortestRetryAfter    = 50 * time.Millisecond
	longestRetryAfter     = 10 * time.Second
	concurrencyRetryAfter = 200 * time.Millisecond
)

// The rules that refuse a call. None of these calls ran.
const (
	RuleRate        = "rateLimit"
	RuleConcurrency = "concurrencyLimit"
)

// Limits are a customer's limits over all servers of the service. Zero sets no
// limit.
type Limits struct {
	CallsPerSecond float64
	Concurrent     int
}

// Refused says which limit was reached.
type Refused struct {
	// Rule is one of the Rule constants.
	Rule       string
	RetryAfter time.Duration
}

// Table is the use that each customer makes of one server. The zero value is
// ready to use. The caller serializes all calls.
type Table struct {
	// newer is followed by older when it is full; entries of calls that run are
	// kept.
	newer, older map[string]*entry
}

type entry struct {
	tokens  float64
	at      time.Time
	running int
}

// Take counts a call of the customer on one of a number of live servers. A call
// that was taken is released when it ends.
func (t *Table) Take(now time.Time, customer string, l Limits, servers int) (Refused, bool) {
	if l == (Limits{}) {
		return Refused{}, true
	}
	servers = max(servers, 1)
	e := t.get(now, customer, l, servers)
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

// Release ends a call that was taken.
func (t *Table) Release(customer string) {
	e := t.newer[customer]
	if e == nil {
		e = t.older[customer]
	}
	if e != nil && e.running > 0 {
		e.running--
	}
}

func (e *entry) takeToken(now time.Time, rate float64) (Refused, bool) {
	passed := max(now.Sub(e.at).Seconds(), 0)
	e.tokens = min(e.tokens+rate*passed, burst(rate))
	e.at = now
	if e.tokens >= 1 {
		e.tokens--
		return Refused{}, true
	}
	wait := time.Duration((1 - e.tokens) / rate * float64(time.Second))
	return Refused{Rule: RuleRate, RetryAfter: min(max(wait, shortestRetryAfter), longestRetryAfter)}, false
}

func burst(rate float64) float64 { return max(rate*burstTime.Seconds(), 1) }

func (t *Table) get(now time.Time, customer string, l Limits, servers int) *entry {
	if e := t.newer[customer]; e != nil {
		return e
	}
	e := t.older[customer]
	if e == nil {
		e = &entry{tokens: burst(l.CallsPerSecond / float64(servers)), at: now}
	}
	if t.newer == nil || len(t.newer) >= maxCustomers/2 {
		t.turn()
	}
	t.newer[customer] = e
	return e
}

// turn forgets the entries that were not used since the last turn, but for those
// of running calls.
func (t *Table) turn() {
	for customer, e := range t.older {
		if e.running > 0 && t.newer[customer] == nil {
			t.newer[customer] = e
		}
	}
	t.older, t.newer = t.newer, make(map[string]*entry)
}
