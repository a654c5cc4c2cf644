package load

import (
	"net/http"
	"testing"
)

// TestCheckCall guards against a check that overlooks a violated guarantee, by which all
// measurements and the demo would pass wrongly, and against one that reports runs which
// the verdicts allow.
func TestCheckCall(t *testing.T) {
	ran := Attempt{Status: http.StatusOK, Verdict: "ran"}
	notRun := Attempt{Status: http.StatusServiceUnavailable, Verdict: "notRun", Rule: "queueFull"}
	unknown := Attempt{Status: http.StatusBadGateway, Verdict: "mayHaveRun"}
	for _, tt := range []struct {
		name       string
		class      Class
		attempts   []Attempt
		runs       int
		violations int
	}{
		{name: "answered", class: Class{Method: http.MethodPost}, attempts: []Attempt{ran}, runs: 1},
		{name: "refused", class: Class{Method: http.MethodPost}, attempts: []Attempt{notRun}},
		{name: "unknown and ran", class: Class{Method: http.MethodPost}, attempts: []Attempt{unknown}, runs: 1},
		{name: "unknown, then refused", class: Class{Method: http.MethodPost, Keyed: true}, attempts: []Attempt{unknown, notRun}, runs: 1},
		{name: "idempotent ran twice", class: Class{Method: http.MethodGet}, attempts: []Attempt{ran}, runs: 2},
		{name: "refused as not run but ran", class: Class{Method: http.MethodGet}, attempts: []Attempt{notRun}, runs: 1, violations: 1},
		{name: "purchase ran twice", class: Class{Method: http.MethodPost}, attempts: []Attempt{unknown}, runs: 2, violations: 1},
		{name: "keyed ran twice", class: Class{Method: http.MethodPut, Keyed: true}, attempts: []Attempt{unknown, ran}, runs: 2, violations: 1},
		{name: "answered but did not run", class: Class{Method: http.MethodGet}, attempts: []Attempt{ran}, violations: 1},
		{name: "answer of another call", class: Class{Method: http.MethodGet}, attempts: []Attempt{{Status: http.StatusOK, Verdict: "ran", Violation: "foreign"}}, runs: 1, violations: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			violations := checkCall(Call{ID: "a", Attempts: tt.attempts}, tt.class, tt.runs)
			if len(violations) != tt.violations {
				t.Errorf("got violations %q, want %d of them", violations, tt.violations)
			}
		})
	}
}
