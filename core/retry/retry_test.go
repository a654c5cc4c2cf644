package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func wantAllowed(t *testing.T, a Attempt, want bool) {
	t.Helper()
	var b Budget
	if a.Attempts == 0 {
		a.Attempts = 1
	}
	if got := b.Allow(begin, a); got != want {
		t.Errorf("%+v: allowed %v, want %v", a, got, want)
	}
}

// Guards against retries that may run a call twice, that add to an overload, or that
// are too many.
func TestAllow(t *testing.T) {
	unreachable := verdict.NotRun{Rule: "peerUnreachable"}
	broke := verdict.MayHaveRun{Rule: "serverBroke"}
	t.Run("not run", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "POST", Verdict: unreachable}, true)
	})
	t.Run("may have run", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "GET", Verdict: broke}, true)
		wantAllowed(t, Attempt{Method: "POST", Verdict: broke}, false)
		wantAllowed(t, Attempt{Method: "PATCH", Verdict: broke}, false)
	})
	t.Run("never after an attempt that may have run", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "POST", Verdict: unreachable, MayHaveRun: true}, false)
	})
	t.Run("only at the first node", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "GET", Verdict: unreachable, Depth: 1}, false)
	})
	t.Run("never into an overload", func(t *testing.T) {
		for _, rule := range []string{"queueFull", "shed", "deadlineUnreachable", "deadlinePassed", "rateLimit", "concurrencyLimit", "quarantined", "noServer"} {
			wantAllowed(t, Attempt{Method: "GET", Verdict: verdict.NotRun{Rule: rule}}, false)
		}
		wantAllowed(t, Attempt{Method: "GET", Verdict: verdict.MayHaveRun{Rule: "deadlinePassed"}}, false)
	})
	t.Run("once after an attempt that may have run", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "GET", Verdict: broke, Attempts: maxUnknownAttempts}, false)
	})
	t.Run("a few attempts for a call", func(t *testing.T) {
		wantAllowed(t, Attempt{Method: "GET", Verdict: unreachable, Attempts: maxAttempts}, false)
	})
}

// Guards against a call that is reported as not run after an attempt that may have run.
func TestCombine(t *testing.T) {
	broke := verdict.MayHaveRun{Rule: "serverBroke"}
	refused := verdict.NotRun{Rule: "queueFull"}
	if got := Combine(broke, refused); got != verdict.Verdict(broke) {
		t.Errorf("a call that may have run got verdict %v", got)
	}
	if got := Combine(refused, broke); got != verdict.Verdict(broke) {
		t.Errorf("got %v, want %v", got, broke)
	}
	if got := Combine(verdict.NotRun{Rule: "leaving"}, refused); got != verdict.Verdict(refused) {
		t.Errorf("got %v, want the later %v", got, refused)
	}
}

// chain simulates calls through a chain of services, each with a node and a budget.
// The service at depth failing fails every call, and each service above returns the
// failure to its caller.
type chain struct {
	budgets [12]Budget
	failing int
	sent    int
}

func (c *chain) call(now time.Time, depth int) verdict.Verdict {
	b := &c.budgets[depth]
	if depth == 0 {
		b.RecordFirst(now)
	}
	for attempt := 1; ; attempt++ {
		c.sent++
		v := c.run(now, depth)
		if _, ok := v.(verdict.Ran); ok {
			return v
		}
		if !b.Allow(now, Attempt{Depth: depth, Method: "GET", Verdict: v, Attempts: attempt}) {
			return v
		}
	}
}

func (c *chain) run(now time.Time, depth int) verdict.Verdict {
	if depth == c.failing {
		return verdict.MayHaveRun{Rule: "serverBroke"}
	}
	if depth+1 < len(c.budgets) {
		return c.call(now, depth+1)
	}
	return verdict.Ran{}
}

// Guards against retries that multiply at each level of a chain of calls.
func TestDepth(t *testing.T) {
	const calls = 5_000
	for failing := range 12 {
		c := &chain{failing: failing}
		now := begin
		for range calls {
			now = now.Add(5 * time.Millisecond)
			c.call(now, 0)
		}
		first := calls * (failing + 1)
		if extra := float64(c.sent-first) / float64(first); extra >= 0.10 {
			t.Errorf("service at depth %d fails: %.3f more calls, want less than 0.10", failing, extra)
		}
	}
}

// TestBudgetMachine guards against more retries than the tokens allow, in any order of
// first attempts, retries and pauses.
func TestBudgetMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := begin
		first, further := 0, 0
		b.RecordFirst(now)
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.RecordFirst(now); first++ },
			"further": func(*rapid.T) {
				if b.Allow(now, Attempt{Method: "GET", Verdict: verdict.NotRun{Rule: "leaving"}, Attempts: 1}) {
					further++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				allowed := startTokens + tokensPerCall*float64(first+1) + tokensPerSecond*now.Sub(begin).Seconds()
				if float64(further) > allowed+1e-6 {
					t.Fatalf("%d further attempts, want at most %.2f", further, allowed)
				}
			},
		})
	})
}
