package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// report reports n outcomes and returns whether the last gave a reason to eject.
func report(r *Detector, now time.Time, e Outcome, n int) bool {
	reason := false
	for range n {
		reason = r.Report(now, e) != ""
	}
	return reason
}

func wantReason(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("reason to eject %v, want %v", got, want)
	}
}

// Guards against a failing server that is not ejected, and against the ejection of one
// that fails seldom or only calls with short timeouts.
func TestReport(t *testing.T) {
	t.Run("failures in a row", func(t *testing.T) {
		var r Detector
		wantReason(t, report(&r, begin, Failed{}, consecutiveFailures-1), false)
		wantReason(t, report(&r, begin, Failed{}, 1), true)
	})
	t.Run("an answer between", func(t *testing.T) {
		var r Detector
		for range 4 {
			report(&r, begin, Answered{}, 2)
			wantReason(t, report(&r, begin, Failed{}, 1), false)
		}
	})
	t.Run("half of many", func(t *testing.T) {
		var r Detector
		reason := false
		for range minCalls {
			report(&r, begin, Answered{}, 1)
			reason = report(&r, begin, Failed{}, 1)
		}
		wantReason(t, reason, true)
	})
	t.Run("short timeouts do not count", func(t *testing.T) {
		var r Detector
		wantReason(t, report(&r, begin, TimedOut{Took: time.Millisecond}, 100), false)
		wantReason(t, report(&r, begin, TimedOut{Took: time.Second}, consecutiveFailures), true)
	})
	t.Run("old failures decay", func(t *testing.T) {
		var r Detector
		for i := range 3 * minCalls {
			now := begin.Add(time.Duration(i) * decayTime)
			report(&r, now, Answered{}, 1)
			wantReason(t, report(&r, now, Failed{}, 1), false)
		}
	})
}

// Guards against a server that keeps failing and is not ejected for longer each time,
// and against long ejections of one that has worked since.
func TestProbation(t *testing.T) {
	t.Run("one failure ejects for longer", func(t *testing.T) {
		var r Detector
		first := r.Eject(begin)
		wantReason(t, report(&r, first, Failed{}, 1), true)
		if second := r.Eject(first); second.Sub(first) != 2*first.Sub(begin) {
			t.Errorf("ejected for %s, want twice %s", second.Sub(first), first.Sub(begin))
		}
	})
	t.Run("answers end the probation", func(t *testing.T) {
		var r Detector
		until := r.Eject(begin)
		report(&r, until, Answered{}, probationAnswers)
		wantReason(t, report(&r, until, Failed{}, 1), false)
	})
	t.Run("the backoff resets after a long time without ejections", func(t *testing.T) {
		var r Detector
		now := begin
		for range 10 {
			now = r.Eject(now)
		}
		later := now.Add(time.Hour)
		if out := r.Eject(later).Sub(later); out != minEjectionTime {
			t.Errorf("ejected for %s, want %s", out, minEjectionTime)
		}
	})
}

// TestRecordMachine reports answers and failures in any order. It guards against
// failures that never eject, outcomes that count during an ejection, and ejections
// that are too short or too long.
func TestRecordMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Detector
		now := begin
		failedSinceAnswer := 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				if r.Report(now, Answered{}) != "" {
					t.Fatal("an answer gave a reason to eject")
				}
				failedSinceAnswer = 0
			},
			"fail": func(t *rapid.T) {
				out := r.IsEjected(now)
				failedSinceAnswer++
				reason := r.Report(now, Failed{})
				if out && reason != "" {
					t.Fatal("an outcome counted while the server is ejected")
				}
				if !out && reason == "" && failedSinceAnswer > 10*consecutiveFailures {
					t.Fatalf("%d consecutive failures gave no reason to eject", failedSinceAnswer)
				}
				if reason == "" {
					return
				}
				until := r.Eject(now)
				if d := until.Sub(now); d < minEjectionTime || d > maxEjectionTime {
					t.Fatalf("ejected for %s, want minEjectionTime to maxEjectionTime", d)
				}
				failedSinceAnswer = 0
			},
		})
	})
}
