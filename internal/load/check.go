package load

import (
	"fmt"
	"net/http"

	"lavenderdeal/core/verdict"
)

// Check compares the verdicts that callers got with the number of times that the
// backend servers ran each call. It returns a message for each violated guarantee:
//
//   - a violation that the caller detected itself, see [Attempt],
//   - an answer to a call that no server ran,
//   - a run of a call for which every attempt had the verdict not run,
//   - more than one run of a call that is keyed or not idempotent.
//
// The runs are by call id, see [lavenderdeal/internal/localfleet.Fleet.Runs].
func Check(calls []Call, classes []Class, runs map[string]int) []string {
	byName := make(map[string]Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = class
	}
	var violations []string
	for _, call := range calls {
		violations = append(violations, checkCall(call, byName[call.Class], runs[call.ID])...)
	}
	return violations
}

func checkCall(call Call, class Class, runs int) []string {
	var violations []string
	allNotRun := true
	for _, attempt := range call.Attempts {
		if attempt.Violation != "" {
			violations = append(violations, attempt.Violation)
		}
		if attempt.Verdict != (verdict.NotRun{}).String() {
			allNotRun = false
		}
		if attempt.ok() && runs == 0 {
			violations = append(violations, fmt.Sprintf("call %s: answered, but no server ran it", call.ID))
		}
	}
	if allNotRun && runs > 0 {
		violations = append(violations, fmt.Sprintf("call %s: refused as not run (%s), but ran %d times", call.ID, call.Attempts[0].Rule, runs))
	}
	if runs > 1 && (class.Keyed || !isIdempotent(class.Method)) {
		violations = append(violations, fmt.Sprintf("call %s: %s ran %d times", call.ID, class.Method, runs))
	}
	return violations
}

// isIdempotent reports whether a method is idempotent by RFC 9110.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
