// Package eject decides by the outcomes of calls whether a backend server should
// get none for a while.
//
// # Record
//
// A [Record] is told the outcome of each call to one server. When Report says
// that the server looks broken, the owner may call Eject, which tells until when
// the server is out:
//
//	var r eject.Record
//	if why := r.Report(now, eject.Failed{}); why != "" {
//		until := r.Eject(now)
//	}
//
// # Hysteresis
//
// A server that returns is on probation: a few answers end it, one failure ejects
// the server again, for twice as long. What a health endpoint says plays no part.
package eject

import (
	"math"
	"strconv"
	"time"
)

const (
	// consecutiveFailures eject a server, and so does a share of failures among
	// at least leastCalls calls of the last seconds.
	consecutiveFailures = 5
	failureShare        = 0.5
	leastCalls          = 20
	memory              = 10 * time.Second

	shortestTime = 1 * time.Second
	longestTime  = 1 * time.Minute
	// probationAnswers end the probation.
	probationAnswers = 5
	// levelTime without an ejection halves the time of the next one.
	levelTime = 1 * time.Minute
	// shortTimeout is a time-out that says more of the caller's deadline than of
	// the server.
	shortTimeout = 250 * time.Millisecond
)

// Evidence is Answered, Failed or TimedOut.
type Evidence interface {
	implementsEvidence()
}

// Answered says that the server answered, be it with a refusal.
type Answered struct{}

// Failed says that no connection was made or that it broke.
type Failed struct{}

// TimedOut says that no answer came in the time that the call had.
type TimedOut struct {
	Took time.Duration
}

// Record is the evidence on one server. The zero value knows nothing against it.
// The caller serializes all calls.
type Record struct {
	consecutive     int
	calls, failures float64
	at              time.Time

	level     int
	until     time.Time
	probation int
}

// Report adds an outcome. It returns why the server looks broken, or "".
// Outcomes that come while the server is out belong to earlier calls and count
// for nothing.
func (r *Record) Report(now time.Time, e Evidence) string {
	if r.IsOut(now) {
		return ""
	}
	r.fade(now)
	switch e := e.(type) {
	case TimedOut:
		if e.Took < shortTimeout {
			return ""
		}
	case Answered:
		r.calls++
		r.consecutive = 0
		r.probation = max(r.probation-1, 0)
		return ""
	}
	r.calls++
	r.failures++
	r.consecutive++
	return r.broken()
}

func (r *Record) broken() string {
	switch {
	case r.probation > 0:
		return "a call failed on probation"
	case r.consecutive >= consecutiveFailures:
		return strconv.Itoa(r.consecutive) + " calls failed one after the other"
	case r.calls >= leastCalls && r.failures >= failureShare*r.calls:
		return strconv.Itoa(int(r.failures)) + " of " + strconv.Itoa(int(r.calls)) + " calls failed"
	}
	return ""
}

// Eject takes the server out and returns until when.
func (r *Record) Eject(now time.Time) time.Time {
	quiet := int(now.Sub(r.until) / levelTime)
	if r.until.IsZero() {
		quiet = r.level
	}
	r.level = max(r.level-quiet, 0)
	time := min(shortestTime<<min(r.level, 16), longestTime)
	*r = Record{level: r.level + 1, until: now.Add(time), probation: probationAnswers}
	return r.until
}

// IsOut says whether the server gets no calls.
func (r *Record) IsOut(now time.Time) bool { return now.Before(r.until) }

// IsOnProbation says whether the server has returned and not yet proved itself.
func (r *Record) IsOnProbation() bool { return r.probation > 0 }

func (r *Record) fade(now time.Time) {
	keep := math.Exp(-now.Sub(r.at).Seconds() / memory.Seconds())
	r.calls *= keep
	r.failures *= keep
	r.at = now
}

func (Answered) implementsEvidence() {}
func (Failed) implementsEvidence()   {}
func (TimedOut) implementsEvidence() {}
