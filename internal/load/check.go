package load

import (
	"fmt"
	"net/http"

	"lavenderdeal/core/verdict"
)

// Check compares what the callers were told with the runs that the backend
// servers recorded, by call. It returns each broken promise.
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
	for _, send := range call.Sends {
		if send.Fault != "" {
			broken = append(broken, send.Fault)
		}
		if send.Verdict != (verdict.NotRun{}).String() {
			allNotRun = false
		}
		if send.ok() && runs == 0 {
			broken = append(broken, fmt.Sprintf("call %s: answered, but no server ran it", call.ID))
		}
	}
	if allNotRun && runs > 0 {
		broken = append(broken, fmt.Sprintf("call %s: refused as not run (%s), but ran %d times", call.ID, call.Sends[0].Rule, runs))
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
