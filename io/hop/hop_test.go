package hop_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/pick"
	"lavenderdeal/io/hop"
)

func ExampleWriteCall() {
	h := http.Header{}
	hop.WriteCall(h, hop.Call{Origin: "bookings", Instance: "i-1", Class: "stock", Inner: true, Target: 500 * time.Millisecond, TimeLeft: time.Second})
	fmt.Println(h.Get("Lavenderdeal-Call"))
	// Output: bookings;i-1;stock;0;i;500;1000
}

func word(t *rapid.T, label string) string {
	return rapid.StringMatching(`[a-zA-Z0-9;%/ -]{0,12}`).Draw(t, label)
}

func duration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, label)) * time.Millisecond
}

func TestRoundTrip(t *testing.T) {
	t.Run("calls", rapid.MakeCheck(func(t *rapid.T) {
		want := hop.Call{
			Origin: word(t, "origin"), Instance: word(t, "instance"), Class: word(t, "class"), Rank: rapid.IntRange(0, 9).Draw(t, "rank"),
			Inner: rapid.Bool().Draw(t, "inner"), AllowLate: rapid.Bool().Draw(t, "allowLate"), AtMostOnce: rapid.Bool().Draw(t, "once"),
			Target: duration(t, "target"), TimeLeft: duration(t, "left"),
		}
		h := http.Header{}
		hop.WriteCall(h, want)
		got, err := hop.ReadCall(h)
		if err != nil || got != want || len(h) != 0 {
			t.Fatalf("got %+v, error %v, left %v, want %+v", got, err, h, want)
		}
	}))
	t.Run("results", rapid.MakeCheck(func(t *rapid.T) {
		want := hop.Result{
			Verdict: rapid.SampledFrom([]hop.Verdict{hop.Ran, hop.NotRun, hop.Unknown}).Draw(t, "verdict"),
			Rule:    rapid.StringMatching(`[a-z0-9-]{0,12}`).Draw(t, "rule"), ReachedServer: rapid.Bool().Draw(t, "reachedServer"), RetryAfter: duration(t, "retry"), Waited: duration(t, "waited"),
			Load: pick.Load{Running: rapid.IntRange(0, 99).Draw(t, "running"), Limit: 10, FailureRate: 0.25, RunTime: duration(t, "took")},
		}
		h := http.Header{}
		hop.WriteResult(h, want)
		got, err := hop.ReadResult(h)
		if err != nil || got != want {
			t.Fatalf("got %+v, error %v, want %+v", got, err, want)
		}
	}))
}

func FuzzRead(f *testing.F) {
	f.Add("bookings;i-1;stock;0;i;500;1000")
	f.Add("r;;1;1;0;18;0;150;0;3")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := hop.ReadCall(http.Header{"Lavenderdeal-Call": {text}}); err == nil && text == "" {
			t.Fatal("an empty call was decoded without an error")
		}
		r, err := hop.ReadResult(http.Header{"Lavenderdeal-Result": {text}})
		if err == nil && r.Verdict != hop.Ran && r.Verdict != hop.NotRun && r.Verdict != hop.Unknown {
			t.Fatalf("unknown verdict %q was decoded without an error", r.Verdict)
		}
	})
}
