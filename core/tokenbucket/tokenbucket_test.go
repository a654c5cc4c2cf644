package tokenbucket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/tokenbucket"
)

func ExampleBucket() {
	now := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	b := tokenbucket.Full(now, 2, time.Second)
	fmt.Println(b.Take(now, 2), b.Take(now, 2), b.Take(now, 2))
	fmt.Println(b.Wait(now, 2, 1))
	// Output:
	// true true false
	// 500ms
}

// Guards against more events than the rate and one burst allow, in any span of time.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		burst := time.Duration(rapid.IntRange(0, 2000).Draw(t, "burstMs")) * time.Millisecond
		start := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
		b := tokenbucket.Full(start, rate, burst)
		now := start
		taken := 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gapMs")) * time.Millisecond)
			// Callers read the clock before they wait for a lock, so a time may be
			// older than the last one.
			lag := time.Duration(rapid.IntRange(0, 20).Draw(t, "lagMs")) * time.Millisecond
			if b.Take(now.Add(-lag), rate) {
				taken++
			}
			const rounding = 1e-6
			allowed := rate*now.Sub(start).Seconds() + max(rate*burst.Seconds(), 1) + rounding
			if float64(taken) > allowed {
				t.Fatalf("%d events in %s, want at most %.2f", taken, now.Sub(start), allowed)
			}
		}
		const rounding = time.Microsecond
		wait := b.Wait(now, rate, 1)
		if wait > 0 && b.Take(now, rate) {
			t.Fatalf("an event was allowed before the wait of %s", wait)
		}
		if !b.Take(now.Add(wait+rounding), rate) {
			t.Fatalf("no event after the wait of %s", wait)
		}
	})
}
