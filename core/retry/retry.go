// Package retry decides whether a call may be sent again.
//
// # Rules
//
// Only the first node of a chain of calls sends again, so that depth does not
// multiply calls. It does so when the call did not run for a reason that another
// server does not share, or when the call may have run and its method is
// idempotent; never into an overload, and only within a budget:
//
//	var b retry.Budget
//	b.First(now)
//	if b.Allow(now, retry.Attempt{Method: "GET", Verdict: v, Attempts: 1}) {
//		sendAgain()
//	}
//
// # Verdicts
//
// [Worse] joins the verdicts of several attempts: once an attempt may have run,
// the call may have run, whatever a later attempt says.
package retry

import (
	"time"

	"lavenderdeal/core/verdict"
)

const (
	// share is the number of tokens that each first attempt brings.
	share = 0.08
	// floorPerSecond is the number of tokens that come without any calls.
	floorPerSecond = 0.5
	maxTokens      = 20
	startTokens    = 5
	// maxAttempts bounds the attempts of one call, the first included.
	maxAttempts = 3
	// maxUnknown bounds the attempts of a call that may have run: such a call
	// may be what ended its server.
	maxUnknown = 2
)

// Budget is the number of further attempts that a node may make. The zero value
// is ready to use. The caller serializes all calls.
type Budget struct {
	tokens float64
	at     time.Time
}

// Attempt is what is known after an attempt that failed.
type Attempt struct {
	// Depth is the number of calls above this one.
	Depth   int
	Method  string
	Verdict verdict.Verdict
	// Attempts counts the attempts made.
	Attempts int
	// MayHaveRun says that an earlier attempt may have run.
	MayHaveRun bool
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.accrue(now)
	b.tokens = min(b.tokens+share, maxTokens)
}

// Allow says whether the call may be sent again, and takes the attempt from the
// budget.
func (b *Budget) Allow(now time.Time, a Attempt) bool {
	if a.Depth > 0 || a.Attempts >= maxAttempts || !a.isWorthIt() {
		return false
	}
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of further attempts that the budget holds.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) accrue(now time.Time) {
	if b.at.IsZero() {
		b.tokens = startTokens
		b.at = now
		return
	}
	passed := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.tokens = min(b.tokens+floorPerSecond*passed, maxTokens)
}

func (a Attempt) isWorthIt() bool {
	switch v := a.Verdict.(type) {
	case verdict.NotRun:
		if a.MayHaveRun && !IsIdempotent(a.Method) {
			return false
		}
		return isElsewhereDifferent(v.Rule)
	case verdict.MayHaveRun:
		return IsIdempotent(a.Method) && v.Rule != "deadlinePassed" && a.Attempts < maxUnknown
	}
	return false
}

// isElsewhereDifferent says whether another server may take a call that was
// refused by the rule. Limits and overloads are not on the list: another server
// has no room to spare for them.
func isElsewhereDifferent(rule string) bool {
	switch rule {
	case "peerUnreachable", "serverUnreachable", "leaving", "notReady", "versionBehind":
		return true
	}
	return false
}

// IsIdempotent says whether HTTP defines the method as idempotent.
func IsIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// Worse returns the verdict on a call after two attempts that failed.
func Worse(earlier, later verdict.Verdict) verdict.Verdict {
	if _, ok := earlier.(verdict.MayHaveRun); ok {
		if _, ok := later.(verdict.NotRun); ok {
			return earlier
		}
	}
	return later
}
