// Package outlier implements passive outlier detection: it decides from the outcomes
// of calls whether a backend server should be ejected from load balancing for a while.
// Health endpoints are not used.
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
// one failure ejects the server again, for twice as long.
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

// Answered is the outcome of a call that the server answered, including with a refusal.
type Answered struct{}

// Failed is the outcome of a call whose connection could not be established or broke.
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
func (d *Detector) Report(now time.Time, o Outcome) string {
	if d.IsEjected(now) {
		return ""
	}
	d.decay(now)
	switch o := o.(type) {
	case TimedOut:
		if o.Took < minTimeout {
			return ""
		}
	case Answered:
		d.calls++
		d.consecutive = 0
		d.probation = max(d.probation-1, 0)
		return ""
	}
	d.calls++
	d.failures++
	d.consecutive++
	return d.ejectionReason()
}

func (d *Detector) ejectionReason() string {
	switch {
	case d.probation > 0:
		return "a call failed on probation"
	case d.consecutive >= consecutiveFailures:
		return strconv.Itoa(d.consecutive) + " calls failed one after the other"
	case d.calls >= minCalls && d.failures >= failureShare*d.calls:
		return strconv.Itoa(int(d.failures)) + " of " + strconv.Itoa(int(d.calls)) + " calls failed"
	}
	return ""
}

// Eject ejects the server and returns when the ejection ends.
func (d *Detector) Eject(now time.Time) time.Time {
	decayed := int(now.Sub(d.ejectedUntil) / backoffDecayTime)
	if d.ejectedUntil.IsZero() {
		decayed = d.backoffLevel
	}
	d.backoffLevel = max(d.backoffLevel-decayed, 0)
	// The bound of the shift prevents an overflow.
	duration := min(minEjectionTime<<min(d.backoffLevel, 16), maxEjectionTime)
	*d = Detector{backoffLevel: d.backoffLevel + 1, ejectedUntil: now.Add(duration), probation: probationAnswers}
	return d.ejectedUntil
}

// IsEjected reports whether the server is ejected.
func (d *Detector) IsEjected(now time.Time) bool { return now.Before(d.ejectedUntil) }

// IsOnProbation reports whether the server is on probation. It also returns true during
// an ejection.
func (d *Detector) IsOnProbation() bool { return d.probation > 0 }

func (d *Detector) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.updatedAt).Seconds() / decayTime.Seconds())
	d.calls *= factor
	d.failures *= factor
	d.updatedAt = now
}

func (Answered) implementsOutcome() {}
func (Failed) implementsOutcome()   {}
func (TimedOut) implementsOutcome() {}
