package load

import (
	"net/http"
	"testing"
)

func TestCheckCall(t *testing.T) {
	ran := Send{Status: http.StatusOK, Verdict: "ran"}
	notRun := Send{Status: http.StatusServiceUnavailable, Verdict: "notRun", Rule: "queueFull"}
	unknown := Send{Status: http.StatusBadGateway, Verdict: "mayHaveRun"}
	for _, tt := range []struct {
		name     string
		class    Class
		attempts []Send
		runs     int
		broken   int
	}{
		{name: "answered", class: Class{Method: http.MethodPost}, attempts: []Send{ran}, runs: 1},
		{name: "refused", class: Class{Method: http.MethodPost}, attempts: []Send{notRun}},
		{name: "unknown and ran", class: Class{Method: http.MethodPost}, attempts: []Send{unknown}, runs: 1},
		{name: "unknown, then refused", class: Class{Method: http.MethodPost, Keyed: true}, attempts: []Send{unknown, notRun}, runs: 1},
		{name: "idempotent ran twice", class: Class{Method: http.MethodGet}, attempts: []Send{ran}, runs: 2},
		{name: "refused as not run but ran", class: Class{Method: http.MethodGet}, attempts: []Send{notRun}, runs: 1, broken: 1},
		{name: "purchase ran twice", class: Class{Method: http.MethodPost}, attempts: []Send{unknown}, runs: 2, broken: 1},
		{name: "keyed ran twice", class: Class{Method: http.MethodPut, Keyed: true}, attempts: []Send{unknown, ran}, runs: 2, broken: 1},
		{name: "answered but did not run", class: Class{Method: http.MethodGet}, attempts: []Send{ran}, broken: 1},
		{name: "answer of another call", class: Class{Method: http.MethodGet}, attempts: []Send{{Status: http.StatusOK, Verdict: "ran", Fault: "foreign"}}, runs: 1, broken: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			broken := checkCall(Call{ID: "a", Sends: tt.attempts}, tt.class, tt.runs)
			if len(broken) != tt.broken {
				t.Errorf("broken promises %q, want %d", broken, tt.broken)
			}
		})
	}
}
