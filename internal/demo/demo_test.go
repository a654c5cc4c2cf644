package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const duration = 4 * time.Second

// TestDemo guards against a product that violates a guarantee during the events of the
// demo, and against a demo that does not notice a violation: in the second case, a call
// is sent twice without an idempotency key and so runs twice.
func TestDemo(t *testing.T) {
	for _, tt := range []struct {
		name      string
		opts      []Option
		violation string
	}{
		{name: "every promise holds"},
		{name: "a duplicate purchase is detected", opts: []Option{WithDuplicateCall()}, violation: "POST ran 2 times"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(t.Context(), &out, duration, tt.opts...)
			if (err != nil) != (tt.violation != "") {
				t.Fatalf("Run returned error %v, want an error: %t; output:\n%s", err, tt.violation != "", &out)
			}
			if err != nil && !strings.Contains(err.Error(), tt.violation) {
				t.Errorf("Run returned error %v, want one that contains %q", err, tt.violation)
			}
		})
	}
}
