package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/retrybudget"
)

var (
	epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	bound = retrybudget.Bound{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
)

// Guards against more repeated requests over all nodes in any window than the bound
// allows, in any order of requests.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		budgets := make([]*retrybudget.Budget, nodes)
		for i := range budgets {
			budgets[i] = retrybudget.New(bound)
		}
		type event struct {
			at    time.Duration
			again bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			b.RecordFirst(epoch.Add(now), "s")
			events = append(events, event{now, false})
			has := b.Has(epoch.Add(now), "s", nodes)
			taken := b.Take(epoch.Add(now), "s", nodes)
			if has != taken {
				t.Fatalf("Has returned %v and Take %v", has, taken)
			}
			if taken {
				events = append(events, event{now, true})
			}
		}
		for _, start := range events {
			first, before, again := 0, 0, 0
			for _, e := range events {
				switch in := e.at - start.at; {
				case in >= 0 && in < bound.Window && e.again:
					again++
				case in >= 0 && in < bound.Window:
					first++
				case in < 0 && in >= -bound.Window && !e.again:
					before++
				}
			}
			if float64(again) > bound.Ratio*float64(max(first, before))+bound.Slack {
				t.Fatalf("%d repeated and %d first requests in the window, %d first ones in the window before", again, first, before)
			}
		}
	})
}

// Guards against a budget that is shared between services, or that is not restored
// after the window.
func TestWindow(t *testing.T) {
	b := retrybudget.New(bound)
	taken := 0
	for b.Take(epoch, "s", 1) {
		taken++
	}
	t.Run("the slack is used up", func(t *testing.T) {
		if taken == 0 || float64(taken) > bound.Slack {
			t.Fatalf("%d repeated requests, want more than none and at most the slack", taken)
		}
	})
	t.Run("another service has its own", func(t *testing.T) {
		if !b.Take(epoch, "other", 1) {
			t.Fatal("Take: got false, want true")
		}
	})
	t.Run("it is back after the window", func(t *testing.T) {
		if !b.Take(epoch.Add(bound.Window), "s", 1) {
			t.Fatal("Take: got false, want true")
		}
	})
}
