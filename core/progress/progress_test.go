package progress_test

import (
	"testing"

	"lavenderdeal/core/progress"
	"lavenderdeal/schema/objects"
)

// TestEvaluate checks that a zone counts as confirmed only if all its nodes have this
// version or a newer one, and not another one with the same number.
func TestEvaluate(t *testing.T) {
	head := objects.Head{Version: 7, Operation: "op"}
	for _, tt := range []struct {
		name      string
		status    objects.ZoneStatus
		confirmed bool
	}{
		{"all nodes", objects.ZoneStatus{Version: 7, Operation: "op", Members: 3, Confirmed: 3}, true},
		{"all nodes, operation not reported", objects.ZoneStatus{Version: 7, Members: 3, Confirmed: 3}, true},
		{"all nodes have a newer version", objects.ZoneStatus{Version: 8, Operation: "other", Members: 3, Confirmed: 3}, true},
		{"one node is missing", objects.ZoneStatus{Version: 7, Operation: "op", Members: 3, Confirmed: 2}, false},
		{"all nodes confirmed the version before", objects.ZoneStatus{Version: 6, Members: 3, Confirmed: 3}, false},
		{"other content under the number", objects.ZoneStatus{Version: 7, Operation: "other", Members: 3, Confirmed: 3}, false},
		{"no members", objects.ZoneStatus{Version: 7}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := progress.Evaluate(head, tt.status)
			if p.Confirmed != tt.confirmed || (p.Reason == "") != tt.confirmed {
				t.Errorf("progress %+v, want confirmed %t and a reason otherwise", p, tt.confirmed)
			}
		})
	}
}
