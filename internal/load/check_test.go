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
		name   string
		class  Class
		sends  []Send
		runs   int
		broken int
	}{
		{name: "answered", class: Class{Method: http.MethodPost}, sends: []Send{ran}, runs: 1},
		{name: "refused", class: Class{Method: http.MethodPost}, sends: []Send{notRun}},
		{name: "unknown and ran", class: Class{Method: http.MethodPost}, sends: []Send{unknown}, runs: 1},
		{name: "unknown, then refused", class: Class{Method: http.MethodPost, Keyed: true}, sends: []Send{unknown, notRun}, runs: 1},
		{name: "idempotent ran twice", class: Class{Method: http.MethodGet}, sends: []Send{ran}, runs: 2},
		{name: "false refusal", class: Class{Method: http.MethodGet}, sends: []Send{notRun}, runs: 1, broken: 1},
		{name: "purchase ran twice", class: Class{Method: http.MethodPost}, sends: []Send{unknown}, runs: 2, broken: 1},
		{name: "keyed ran twice", class: Class{Method: http.MethodPut, Keyed: true}, sends: []Send{unknown, ran}, runs: 2, broken: 1},
		{name: "answer from nowhere", class: Class{Method: http.MethodGet}, sends: []Send{ran}, broken: 1},
		{name: "foreign answer", class: Class{Method: http.MethodGet}, sends: []Send{{Status: http.StatusOK, Verdict: "ran", Fault: "foreign"}}, runs: 1, broken: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			broken := checkCall(Call{ID: "a", Sends: tt.sends}, tt.class, tt.runs)
			if len(broken) != tt.broken {
				t.Errorf("broken promises %q, want %d", broken, tt.broken)
			}
		})
	}
}
