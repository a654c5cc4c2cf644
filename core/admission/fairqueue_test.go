package admission

import (
	"slices"
	"testing"
)

// pushTo adds calls of the customers to a fair queue, in order.
func pushTo(l *fairQueue, users map[string]*customerUsage, customers ...string) {
	for _, customer := range customers {
		if users[customer] == nil {
			users[customer] = &customerUsage{}
		}
		l.push(&waiter{call: Call{Customer: customer}, user: users[customer]})
	}
}

// serve serves n calls of the given cost and returns their customers.
func serve(l *fairQueue, n int, cost float64) []string {
	var served []string
	for range n {
		w := l.first()
		served = append(served, w.call.Customer)
		l.serve(w, cost)
	}
	return served
}

func wantServed(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("served %v, want %v", got, want)
	}
}

func TestLine(t *testing.T) {
	t.Run("a customer that leaves the queue keeps its virtual start time", func(t *testing.T) {
		var l fairQueue
		users := map[string]*customerUsage{}
		pushTo(&l, users, "a", "b", "b", "b")
		wantServed(t, serve(&l, 1, 3), "a")
		pushTo(&l, users, "a")
		wantServed(t, serve(&l, 4, 1), "b", "b", "b", "a")
	})
	t.Run("an absent customer accumulates no credit", func(t *testing.T) {
		var l fairQueue
		users := map[string]*customerUsage{}
		pushTo(&l, users, "b", "b", "b", "b", "b", "b", "b", "b")
		serve(&l, 5, 1)
		pushTo(&l, users, "a", "a", "a", "a", "a")
		if served := serve(&l, 3, 1); !slices.Contains(served, "b") {
			t.Errorf("served %v, want a call of b among them", served)
		}
	})
	t.Run("a removed call costs nothing", func(t *testing.T) {
		var l fairQueue
		users := map[string]*customerUsage{}
		pushTo(&l, users, "a", "a", "b")
		l.remove(l.first())
		wantServed(t, serve(&l, 1, 1), "a")
	})
}
