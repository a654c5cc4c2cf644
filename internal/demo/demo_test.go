package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const duration = 4 * time.Second

func TestDemo(t *testing.T) {
	for _, tt := range []struct {
		name   string
		opts   []Option
		broken string
	}{
		{name: "every promise holds"},
		{name: "a duplicate purchase is detected", opts: []Option{WithDuplicateCall()}, broken: "POST ran 2 times"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(t.Context(), &out, duration, tt.opts...)
			if (err != nil) != (tt.broken != "") {
				t.Fatalf("error %v, want one: %t\n%s", err, tt.broken != "", &out)
			}
			if err != nil && !strings.Contains(err.Error(), tt.broken) {
				t.Errorf("error %v, want %q in it", err, tt.broken)
			}
		})
	}
}
