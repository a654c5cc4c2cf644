// Package verdict says whether a call may have run on its backend server.
//
// # Verdicts
//
// Every outcome of a call carries a [Verdict], which is one of three types:
//
//   - [NotRun]: the call did not run and never will. Only a node that knows
//     says so: it refused the call before it sent one byte, or the destination
//     node said so.
//   - [MayHaveRun]: nobody who answered knows.
//   - [Ran]: the backend server answered.
//
// A switch over the types is complete with these three:
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

// NotRun says that the call did not run and never will.
type NotRun struct {
	// Rule names the rule that refused the call, in camel case.
	Rule string
	// Detail says in words what was found.
	Detail string
	// RetryAfter is how long the caller should wait before it sends the call
	// again. Zero gives no advice.
	RetryAfter time.Duration
}

// MayHaveRun says that the call may have run, may be running or may run yet.
type MayHaveRun struct {
	// Rule names the rule that gave up on the call, in camel case.
	Rule string
	// Detail says in words what was found.
	Detail string
}

// Ran says that the backend server answered.
type Ran struct{}

// Error is an error that carries a verdict.
type Error struct {
	Verdict Verdict
	cause   error
}

// Refuse returns the error of a call that did not run.
func Refuse(rule, detail string) *Error {
	return &Error{Verdict: NotRun{Rule: rule, Detail: detail}}
}

// RefuseFor is like Refuse and advises the caller to wait.
func RefuseFor(rule, detail string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun{Rule: rule, Detail: detail, RetryAfter: retryAfter}}
}

// Unknown returns the error of a call that may have run. The cause may be nil.
func Unknown(rule, detail string, cause error) *Error {
	return &Error{Verdict: MayHaveRun{Rule: rule, Detail: detail}, cause: cause}
}

// With returns the error that carries a verdict.
func With(v Verdict) *Error { return &Error{Verdict: v} }

// Of returns the verdict that err carries. A nil error is Ran. An error without
// a verdict is MayHaveRun, since nobody claims to know.
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

// Rule returns the rule of a refusal, and "" for Ran.
func Rule(v Verdict) string {
	switch v := v.(type) {
	case NotRun:
		return v.Rule
	case MayHaveRun:
		return v.Rule
	}
	return ""
}

// Detail returns the detail of a refusal, and "" for Ran.
func Detail(v Verdict) string {
	switch v := v.(type) {
	case NotRun:
		return v.Detail
	case MayHaveRun:
		return v.Detail
	}
	return ""
}

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
