// Package outlier implements passive outlier detection: it decides from the outcomes
// of calls whether a backend server should be ejected from load balancing for a while.
//
// # Detector
//
// A [Detector] records the outcome of each call to one server. If Report returns a
// reason to eject the server, the owner may call Eject, which returns when the ejection
// ends:
//
//	var d outlier.Detector
//	if reason := d.Report(now, outlier.Failed{}); reason != "" {
//		until := d.Eject(now)
//	}
//
// # Hysteresis
//
// After an ejection the server is on probation. A few answers end the probation, and
// one failure ejects the server again, for twice as long. Health endpoints are not
// used.
package outlier

import (
	"math"
	"strconv"
	"time"
)

const (
	// A server may be ejected after consecutiveFailures, or if failureShare of at least
	// minCalls recent calls failed. Call counts decay exponentially over decayTime.
	consecutiveFailures = 5
	failureShare        = 0.5
	minCalls            = 20
	decayTime           = 10 * time.Second

	minEjectionTime = 1 * time.Second
	maxEjectionTime = 1 * time.Minute
	// probationAnswers is the number of answers that end the probation.
	probationAnswers = 5
	// backoffDecayTime is the time without an ejection that halves the duration of the
	// next one.
	backoffDecayTime = 1 * time.Minute
	// minTimeout is the duration below which a timeout does not count as a failure: it
	// indicates a short deadline of the caller rather than a failure of the server.
	minTimeout = 250 * time.Millisecond
)

// Outcome is the outcome of a call: Answered, Failed or TimedOut.
type Outcome interface {
	implementsOutcome()
}

// Answered is the outcome of a call that the server answered, also with a refusal.
type Answered struct{}

// Failed is the outcome of a call whose connection could not be made or broke.
type Failed struct{}

// TimedOut is the outcome of a call that was not answered within its time.
type TimedOut struct {
	// Took is the time that the call waited for an answer.
	Took time.Duration
}

// Detector holds the recent call outcomes and the ejection state of one server. The
// zero value is ready to use. It is not safe for concurrent use.
type Detector struct {
	// consecutive is the number of failures since the last answer.
	consecutive int
	// calls and failures are decayed counts as of updatedAt.
	calls, failures float64
	updatedAt       time.Time

	// backoffLevel is the number of times the ejection time is doubled.
	backoffLevel int
	ejectedUntil time.Time
	// probation is the number of answers until the probation ends.
	probation int
}

// Report records an outcome. It returns the reason to eject the server, or "" if there
// is none. Outcomes reported during an ejection belong to earlier calls and are
// ignored.
func (r *Detector) Report(now time.Time, e Outcome) string {
	if r.IsEjected(now) {
		return ""
	}
	r.decay(now)
	switch e := e.(type) {
	case TimedOut:
		if e.Took < minTimeout {
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
	return r.ejectionReason()
}

func (r *Detector) ejectionReason() string {
	switch {
	case r.probation > 0:
		return "a call failed on probation"
	case r.consecutive >= consecutiveFailures:
		return strconv.Itoa(r.consecutive) + " calls failed one after the other"
	case r.calls >= minCalls && r.failures >= failureShare*r.calls:
		return strconv.Itoa(int(r.failures)) + " of " + strconv.Itoa(int(r.calls)) + " calls failed"
	}
	return ""
}

// Eject ejects the server and returns when the ejection ends.
func (r *Detector) Eject(now time.Time) time.Time {
	decayed := int(now.Sub(r.ejectedUntil) / backoffDecayTime)
	if r.ejectedUntil.IsZero() {
		decayed = r.backoffLevel
	}
	r.backoffLevel = max(r.backoffLevel-decayed, 0)
	duration := min(minEjectionTime<<min(r.backoffLevel, 16), maxEjectionTime)
	*r = Detector{backoffLevel: r.backoffLevel + 1, ejectedUntil: now.Add(duration), probation: probationAnswers}
	return r.ejectedUntil
}

// IsEjected reports whether the server is ejected.
func (r *Detector) IsEjected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// IsOnProbation reports whether the server is on probation. It also returns true during
// an ejection.
func (r *Detector) IsOnProbation() bool { return r.probation > 0 }

func (r *Detector) decay(now time.Time) {
	factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / decayTime.Seconds())
	r.calls *= factor
	r.failures *= factor
	r.updatedAt = now
}

func (Answered) implementsOutcome() {}
func (Failed) implementsOutcome()   {}
func (TimedOut) implementsOutcome() {}
