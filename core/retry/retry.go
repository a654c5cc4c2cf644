// Package retry decides whether a failed call may be retried.
//
// # Rules
//
// Only the first node of a chain of calls retries, so that retries are not
// multiplied at each level of the chain. A call that did not run is retried if the
// reason is specific to one server, and a call that may have run if its method is
// idempotent. A call that was refused because of an overload is never retried. A
// retry budget bounds the number of retries:
//
//	var b retry.Budget
//	b.RecordFirst(now)
//	if b.Allow(now, retry.Attempt{Method: "GET", Verdict: v, Attempts: 1}) {
//		sendAgain()
//	}
//
// # Verdicts
//
// [Combine] merges the verdicts of several attempts: once an attempt may have run,
// the call may have run, even if a later attempt did not.
package retry

import (
	"time"

	"lavenderdeal/core/verdict"
)

const (
	// tokensPerCall is the number of tokens that each first attempt adds.
	tokensPerCall = 0.08
	// tokensPerSecond is the number of tokens added per second regardless of calls.
	tokensPerSecond = 0.5
	// maxTokens is the capacity of the bucket, and startTokens its initial level. Each
	// retry takes one token.
	maxTokens   = 20
	startTokens = 5
	// maxAttempts bounds the attempts of one call, including the first.
	maxAttempts = 3
	// maxUnknownAttempts bounds the attempts of a call that may have run, since such a
	// call may have crashed its server.
	maxUnknownAttempts = 2
)

// Budget is a token bucket that bounds the retries of a node. The zero value is ready
// to use. It is not safe for concurrent use.
type Budget struct {
	tokens    float64
	updatedAt time.Time
}

// Attempt describes a failed attempt of a call.
type Attempt struct {
	// Depth is the number of calls above this one in the chain of calls.
	Depth int
	// Method is the HTTP method.
	Method string
	// Verdict is the verdict on this attempt.
	Verdict verdict.Verdict
	// Attempts is the number of attempts made, including this one.
	Attempts int
	// MayHaveRun is set when an earlier attempt may have run.
	MayHaveRun bool
}

// RecordFirst adds the tokens of a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.accrue(now)
	b.tokens = min(b.tokens+tokensPerCall, maxTokens)
}

// Allow reports whether the call may be retried, and if so takes a token.
func (b *Budget) Allow(now time.Time, a Attempt) bool {
	if a.Depth > 0 || a.Attempts >= maxAttempts || !a.isRetryable() {
		return false
	}
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left in the budget, as of the last call of
// RecordFirst or Allow.
func (b *Budget) Tokens() float64 { return b.tokens }

// accrue adds the tokens for the time since it was last called.
func (b *Budget) accrue(now time.Time) {
	if b.updatedAt.IsZero() {
		b.tokens = startTokens
		b.updatedAt = now
		return
	}
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.tokens = min(b.tokens+tokensPerSecond*elapsed, maxTokens)
}

// isRetryable reports whether the call may be retried, aside from the budget.
func (a Attempt) isRetryable() bool {
	switch v := a.Verdict.(type) {
	case verdict.NotRun:
		if a.MayHaveRun && !IsIdempotent(a.Method) {
			return false
		}
		return isServerSpecific(v.Rule)
	case verdict.MayHaveRun:
		return IsIdempotent(a.Method) && v.Rule != "deadlinePassed" && a.Attempts < maxUnknownAttempts
	}
	return false
}

// isServerSpecific reports whether another server may accept a call that was refused
// by the rule. Limits and overloads are not listed, since they affect the other
// servers as well.
func isServerSpecific(rule string) bool {
	switch rule {
	case "peerUnreachable", "serverUnreachable", "leaving", "notReady", "versionBehind":
		return true
	}
	return false
}

// IsIdempotent reports whether HTTP defines the method as idempotent.
func IsIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// Combine returns the verdict on a call after two failed attempts: the later one,
// unless only the earlier attempt may have run.
func Combine(earlier, later verdict.Verdict) verdict.Verdict {
	if _, ok := earlier.(verdict.MayHaveRun); ok {
		if _, ok := later.(verdict.NotRun); ok {
			return earlier
		}
	}
	return later
}
