// Package verdict describes whether a call may have run on its backend server.
//
// # Verdicts
//
// Every outcome of a call carries a [Verdict], which is one of three types:
//
//   - [NotRun]: the call did not run and never will. A node returns this only if it
//     refused the call before it sent any byte of it, or if the destination node
//     returned it.
//   - [MayHaveRun]: it is unknown whether the call ran.
//   - [Ran]: the backend server answered.
//
// A type switch over these three is exhaustive:
//
//	switch v := verdict.Of(err).(type) {
//	case verdict.NotRun:
//		retry(v.Rule)
//	case verdict.MayHaveRun:
//		report(v.Rule)
//	case verdict.Ran:
//	}
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict is NotRun, MayHaveRun or Ran.
type Verdict interface {
	implementsVerdict()
	String() string
}

// NotRun is the verdict on a call that did not run and never will.
type NotRun struct {
	// Rule names the rule that refused the call, in camel case.
	Rule string
	// Detail is the reason in words.
	Detail string
	// RetryAfter is how long the caller should wait before it sends the call
	// again. Zero means no advice.
	RetryAfter time.Duration
}

// MayHaveRun is the verdict on a call that may have run, may be running or may still
// run.
type MayHaveRun struct {
	// Rule names the rule that ended the call, in camel case.
	Rule string
	// Detail is the reason in words.
	Detail string
}

// Ran is the verdict on a call that the backend server answered.
type Ran struct{}

// Error is an error that carries a verdict.
type Error struct {
	Verdict Verdict
	cause   error
}

// Refuse returns an error with the verdict NotRun.
func Refuse(rule, detail string) *Error {
	return &Error{Verdict: NotRun{Rule: rule, Detail: detail}}
}

// RefuseFor is like Refuse and sets how long the caller should wait before a retry.
func RefuseFor(rule, detail string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun{Rule: rule, Detail: detail, RetryAfter: retryAfter}}
}

// Unknown returns an error with the verdict MayHaveRun. The cause may be nil.
func Unknown(rule, detail string, cause error) *Error {
	return &Error{Verdict: MayHaveRun{Rule: rule, Detail: detail}, cause: cause}
}

// NewError returns an error that carries the verdict.
func NewError(v Verdict) *Error { return &Error{Verdict: v} }

// Of returns the verdict that err carries. It returns Ran for a nil error, and
// MayHaveRun for an error without a verdict, since it is unknown whether the call ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran{}
	}
	var carrier *Error
	if errors.As(err, &carrier) {
		return carrier.Verdict
	}
	return MayHaveRun{Rule: "unknownError", Detail: err.Error()}
}

// Rule returns the rule of a NotRun or MayHaveRun, and "" for Ran.
func Rule(v Verdict) string {
	switch v := v.(type) {
	case NotRun:
		return v.Rule
	case MayHaveRun:
		return v.Rule
	}
	return ""
}

// Detail returns the detail of a NotRun or MayHaveRun, and "" for Ran.
func Detail(v Verdict) string {
	switch v := v.(type) {
	case NotRun:
		return v.Detail
	case MayHaveRun:
		return v.Detail
	}
	return ""
}

// Error returns the verdict, the rule, the detail and the cause.
func (e *Error) Error() string {
	text := e.Verdict.String() + ": " + Rule(e.Verdict) + ": " + Detail(e.Verdict)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

func (NotRun) implementsVerdict()     {}
func (MayHaveRun) implementsVerdict() {}
func (Ran) implementsVerdict()        {}

func (NotRun) String() string     { return "notRun" }
func (MayHaveRun) String() string { return "mayHaveRun" }
func (Ran) String() string        { return "ran" }
