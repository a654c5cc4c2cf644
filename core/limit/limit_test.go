package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// take offers n calls at the same time and returns how many were admitted, and the
// last refusal.
func take(t *Table, now time.Time, customer string, l Limits, servers, n int) (taken int, last Refused) {
	for range n {
		refused, ok := t.Take(now, customer, l, servers)
		if ok {
			taken++
		} else {
			last = refused
		}
	}
	return taken, last
}

// Guards against servers that together admit more than the limit, customers that use up
// each other's limits, and running calls that no longer count.
func TestTake(t *testing.T) {
	t.Run("rate is shared among the servers", func(t *testing.T) {
		var table Table
		l := Limits{CallsPerSecond: 60}
		taken, refused := take(&table, begin, "a", l, 6, 100)
		if taken != 10 || refused.Rule != RuleRate || refused.RetryAfter <= 0 {
			t.Errorf("taken %d, refused %v, want 10 and a refusal by %s", taken, refused, RuleRate)
		}
		if taken, _ := take(&table, begin.Add(500*time.Millisecond), "a", l, 6, 100); taken != 5 {
			t.Errorf("taken %d half a second later, want 5", taken)
		}
	})
	t.Run("calls at once", func(t *testing.T) {
		var table Table
		l := Limits{Concurrent: 13}
		taken, refused := take(&table, begin, "a", l, 6, 100)
		if taken != 3 || refused.Rule != RuleConcurrency || refused.RetryAfter <= 0 {
			t.Errorf("taken %d, refused %v, want 3 and a refusal by %s", taken, refused, RuleConcurrency)
		}
		table.Release("a")
		if taken, _ := take(&table, begin, "a", l, 6, 100); taken != 1 {
			t.Errorf("taken %d after one ended, want 1", taken)
		}
	})
	t.Run("customers have limits of their own", func(t *testing.T) {
		var table Table
		l := Limits{CallsPerSecond: 1}
		take(&table, begin, "a", l, 1, 100)
		if taken, _ := take(&table, begin, "b", l, 1, 1); taken != 1 {
			t.Error("the limit of one customer refused another")
		}
	})
	t.Run("a running call is not forgotten", func(t *testing.T) {
		var table Table
		l := Limits{Concurrent: 1}
		take(&table, begin, "a", l, 1, 1)
		for i := range 4 * maxCustomers {
			customer := fmt.Sprint("other", i)
			take(&table, begin, customer, l, 1, 1)
			table.Release(customer)
		}
		if n := len(table.recent) + len(table.previous); n > maxCustomers+1 {
			t.Errorf("%d entries, want at most %d", n, maxCustomers)
		}
		if taken, _ := take(&table, begin, "a", l, 1, 1); taken != 0 {
			t.Error("a second call was admitted, want a refusal by the limit of 1")
		}
	})
}

// TestTableMachine checks that no more calls are admitted since the start than the
// rate and its burst allow, and that no more run concurrently than the share.
func TestTableMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		l := Limits{
			CallsPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")),
			Concurrent:     rapid.IntRange(1, 8).Draw(t, "concurrent"),
		}
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		now := begin
		taken, running := 0, 0
		share := l.CallsPerSecond / float64(servers)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				if _, ok := table.Take(now, "a", l, servers); ok {
					taken++
					running++
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("no call")
				}
				running--
				table.Release("a")
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if allowed := max(share, 1) + share*now.Sub(begin).Seconds() + 1e-6; float64(taken) > allowed {
					t.Fatalf("%d calls were admitted, want at most %.2f", taken, allowed)
				}
				if (running-1)*servers >= l.Concurrent {
					t.Fatalf("%d calls run at one of %d servers, the limit is %d", running, servers, l.Concurrent)
				}
			},
		})
	})
}
