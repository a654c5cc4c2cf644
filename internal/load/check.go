package load

import (
	"fmt"
	"net/http"

	"lavenderdeal/core/verdict"
)

// Check compares the verdicts that callers got with the number of times that the
// backend servers ran each call. It returns a message for each violated guarantee:
// an answer without a run, a run after a refusal as not run, and more than one run
// of a call that is keyed or not idempotent.
func Check(calls []Call, classes []Class, runs map[string]int) []string {
	byName := make(map[string]Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = class
	}
	var broken []string
	for _, call := range calls {
		broken = append(broken, checkCall(call, byName[call.Class], runs[call.ID])...)
	}
	return broken
}

func checkCall(call Call, class Class, runs int) []string {
	var broken []string
	allNotRun := true
	for _, attempt := range call.Attempts {
		if attempt.Violation != "" {
			broken = append(broken, attempt.Violation)
		}
		if attempt.Verdict != (verdict.NotRun{}).String() {
			allNotRun = false
		}
		if attempt.ok() && runs == 0 {
			broken = append(broken, fmt.Sprintf("call %s: answered, but no server ran it", call.ID))
		}
	}
	if allNotRun && runs > 0 {
		broken = append(broken, fmt.Sprintf("call %s: refused as not run (%s), but ran %d times", call.ID, call.Attempts[0].Rule, runs))
	}
	if runs > 1 && (class.Keyed || !isIdempotent(class.Method)) {
		broken = append(broken, fmt.Sprintf("call %s: %s ran %d times", call.ID, class.Method, runs))
	}
	return broken
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
