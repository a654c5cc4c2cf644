package eject

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// report adds n outcomes and says whether the last made the server look broken.
func report(r *Record, now time.Time, e Evidence, n int) bool {
	broken := false
	for range n {
		broken = r.Report(now, e) != ""
	}
	return broken
}

func wantBroken(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("broken %v, want %v", got, want)
	}
}

func TestReport(t *testing.T) {
	t.Run("failures in a row", func(t *testing.T) {
		var r Record
		wantBroken(t, report(&r, begin, Failed{}, consecutiveFailures-1), false)
		wantBroken(t, report(&r, begin, Failed{}, 1), true)
	})
	t.Run("an answer between", func(t *testing.T) {
		var r Record
		for range 4 {
			report(&r, begin, Answered{}, 2)
			wantBroken(t, report(&r, begin, Failed{}, 1), false)
		}
	})
	t.Run("half of many", func(t *testing.T) {
		var r Record
		broken := false
		for range leastCalls {
			report(&r, begin, Answered{}, 1)
			broken = report(&r, begin, Failed{}, 1)
		}
		wantBroken(t, broken, true)
	})
	t.Run("short time-outs say nothing", func(t *testing.T) {
		var r Record
		wantBroken(t, report(&r, begin, TimedOut{Took: time.Millisecond}, 100), false)
		wantBroken(t, report(&r, begin, TimedOut{Took: time.Second}, consecutiveFailures), true)
	})
	t.Run("old failures are forgotten", func(t *testing.T) {
		var r Record
		for i := range 3 * leastCalls {
			now := begin.Add(time.Duration(i) * memory)
			report(&r, now, Answered{}, 1)
			wantBroken(t, report(&r, now, Failed{}, 1), false)
		}
	})
}

func TestProbation(t *testing.T) {
	t.Run("one failure ejects for longer", func(t *testing.T) {
		var r Record
		first := r.Eject(begin)
		wantBroken(t, report(&r, first, Failed{}, 1), true)
		if second := r.Eject(first); second.Sub(first) != 2*first.Sub(begin) {
			t.Errorf("out for %s, want twice %s", second.Sub(first), first.Sub(begin))
		}
	})
	t.Run("answers end it", func(t *testing.T) {
		var r Record
		until := r.Eject(begin)
		report(&r, until, Answered{}, probationAnswers)
		wantBroken(t, report(&r, until, Failed{}, 1), false)
	})
	t.Run("a long quiet time is forgiven", func(t *testing.T) {
		var r Record
		now := begin
		for range 10 {
			now = r.Eject(now)
		}
		later := now.Add(time.Hour)
		if out := r.Eject(later).Sub(later); out != shortestTime {
			t.Errorf("out for %s, want %s", out, shortestTime)
		}
	})
}

func TestRecordMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		now := begin
		failedSinceAnswer := 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				if r.Report(now, Answered{}) != "" {
					t.Fatal("an answer made the server look broken")
				}
				failedSinceAnswer = 0
			},
			"fail": func(t *rapid.T) {
				out := r.IsOut(now)
				failedSinceAnswer++
				why := r.Report(now, Failed{})
				if out && why != "" {
					t.Fatal("an outcome counted while the server is out")
				}
				if !out && why == "" && failedSinceAnswer > 10*consecutiveFailures {
					t.Fatalf("%d failures in a row and not broken", failedSinceAnswer)
				}
				if why == "" {
					return
				}
				until := r.Eject(now)
				if d := until.Sub(now); d < shortestTime || d > longestTime {
					t.Fatalf("out for %s", d)
				}
				failedSinceAnswer = 0
			},
		})
	})
}
