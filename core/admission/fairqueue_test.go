package admission

import (
	"slices"
	"testing"
)

// pushTo adds calls of the customers to a fair queue, in order.
func pushTo(q *fairQueue, users map[string]*customerUsage, customers ...string) {
	for _, customer := range customers {
		if users[customer] == nil {
			users[customer] = &customerUsage{}
		}
		q.push(&waiter{call: Call{Customer: customer}, user: users[customer]})
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

func TestFairQueue(t *testing.T) {
	t.Run("a customer that leaves the queue keeps its virtual start time", func(t *testing.T) {
		var q fairQueue
		users := map[string]*customerUsage{}
		pushTo(&q, users, "a", "b", "b", "b")
		wantServed(t, serve(&q, 1, 3), "a")
		pushTo(&q, users, "a")
		wantServed(t, serve(&q, 4, 1), "b", "b", "b", "a")
	})
	t.Run("an absent customer accumulates no credit", func(t *testing.T) {
		var q fairQueue
		users := map[string]*customerUsage{}
		pushTo(&q, users, "b", "b", "b", "b", "b", "b", "b", "b")
		serve(&q, 5, 1)
		pushTo(&q, users, "a", "a", "a", "a", "a")
		if served := serve(&q, 3, 1); !slices.Contains(served, "b") {
			t.Errorf("served %v, want a call of b among them", served)
		}
	})
	t.Run("a removed call costs nothing", func(t *testing.T) {
		var q fairQueue
		users := map[string]*customerUsage{}
		pushTo(&q, users, "a", "a", "b")
		q.remove(q.first())
		wantServed(t, serve(&q, 1, 1), "a")
	})
}
