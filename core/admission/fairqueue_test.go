package admission

import (
	"slices"
	"testing"
)

// pushTo adds calls of the customers to a fair queue, in order.
func pushTo(q *fairQueue, usages map[string]*customerUsage, customers ...string) {
	for _, customer := range customers {
		if usages[customer] == nil {
			usages[customer] = &customerUsage{}
		}
		q.push(&waiter{call: Call{Customer: customer}, usage: usages[customer]})
	}
}

// serve serves n calls of the given cost and returns their customers.
func serve(q *fairQueue, n int, cost float64) []string {
	var served []string
	for range n {
		w := q.first()
		served = append(served, w.call.Customer)
		q.serve(w, cost)
	}
	return served
}

func wantServed(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("served %v, want %v", got, want)
	}
}

// Guards against customers that get more than an equal share of slot time by leaving
// the queue and returning, or less because their calls were cancelled.
func TestFairQueue(t *testing.T) {
	t.Run("a customer that leaves the queue keeps its virtual start time", func(t *testing.T) {
		var q fairQueue
		usages := map[string]*customerUsage{}
		pushTo(&q, usages, "a", "b", "b", "b")
		wantServed(t, serve(&q, 1, 3), "a")
		pushTo(&q, usages, "a")
		wantServed(t, serve(&q, 4, 1), "b", "b", "b", "a")
	})
	t.Run("an absent customer accumulates no credit", func(t *testing.T) {
		var q fairQueue
		usages := map[string]*customerUsage{}
		pushTo(&q, usages, "b", "b", "b", "b", "b", "b", "b", "b")
		serve(&q, 5, 1)
		pushTo(&q, usages, "a", "a", "a", "a", "a")
		if served := serve(&q, 3, 1); !slices.Contains(served, "b") {
			t.Errorf("served %v, want a call of b among them", served)
		}
	})
	t.Run("a removed call costs nothing", func(t *testing.T) {
		var q fairQueue
		usages := map[string]*customerUsage{}
		pushTo(&q, usages, "a", "a", "b")
		q.remove(q.first())
		wantServed(t, serve(&q, 1, 1), "a")
	})
}
