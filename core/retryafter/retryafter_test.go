package retryafter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/retryafter"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func ExampleSpread() {
	fmt.Println(retryafter.Spread(retryafter.Full, time.Second, 0), retryafter.Spread(retryafter.Full, time.Second, 0.5))
	// Output: 40ms 80ms
}

func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "room"))
		left := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "left"))
		after := retryafter.Spread(expected, left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		switch {
		case after < 0 || after > 2*time.Second:
			t.Fatalf("advice %s, want 0 to 2s", after)
		case after > max(left/3, time.Millisecond):
			t.Fatalf("advice %s with %s remaining", after, left)
		case after > expected+expected/2:
			t.Fatalf("advice %s, free slot expected after %s", after, expected)
		}
	})
}
