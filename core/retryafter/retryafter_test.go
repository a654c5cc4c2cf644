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

// Guards against a Retry-After that exceeds its bounds or leaves the caller no time for
// another attempt.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "expected"))
		left := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "remaining"))
		after := retryafter.Spread(expected, left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		switch {
		case after < 0 || after > 2*time.Second:
			t.Fatalf("Retry-After %s, want 0 to 2s", after)
		case after > max(left/3, time.Millisecond):
			t.Fatalf("Retry-After %s with %s remaining, want at most a third or 1ms", after, left)
		case after > expected+expected/2:
			t.Fatalf("Retry-After %s, want at most 1.5 times the expected %s", after, expected)
		}
	})
}
