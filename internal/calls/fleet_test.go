package calls_test

import (
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/limit"
	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/schema/lists"
)

const (
	service    = "bookings"
	readyLimit = 20 * time.Second
	servers    = 3
)

// start starts a fleet of one service in one zone, with one customer and one plan
// for each entry of uses.
func start(t *testing.T, uses map[string]lists.Use) *localfleet.Fleet {
	t.Helper()
	fleet, err := localfleet.Start(t.Context(), localfleet.OneService(service, servers, uses))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	if err := fleet.WaitReady(t.Context(), readyLimit); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// classOf returns the calls of one customer as a load class. The backend server takes
// the time work to run each of them.
func classOf(customer string, work time.Duration) load.Class {
	return load.Class{Key: localfleet.Key(customer), Service: service, Method: http.MethodGet, Path: "/", Work: work}
}

// sendMany sends n calls concurrently and counts them by the rule that refused
// them, with "" for those that were answered.
func sendMany(t *testing.T, fleet *localfleet.Fleet, customer string, work time.Duration, n int) map[string]int {
	t.Helper()
	targets := fleet.Targets()
	outcomes := make([]string, n)
	var group errgroup.Group
	for i := range outcomes {
		group.Go(func() error {
			outcomes[i] = load.SendAttempt(t.Context(), classOf(customer, work), targets[i%len(targets)], "").Rule
			return nil
		})
	}
	_ = group.Wait()
	counts := make(map[string]int)
	for _, rule := range outcomes {
		counts[rule]++
	}
	return counts
}

// TestLimits guards against a customer that exceeds the limits of its plan by sending
// calls through all nodes at once. Each node enforces only its own share of a limit,
// so the shares must not add up to more than the limit.
func TestLimits(t *testing.T) {
	const (
		sent       = 60
		rate       = 6.0
		concurrent = 6
	)
	fleet := start(t, map[string]lists.Use{"slow": {CallsPerSecond: rate}, "narrow": {Concurrent: concurrent}})
	t.Run("rate", func(t *testing.T) {
		begun := time.Now()
		counts := sendMany(t, fleet, "slow", time.Millisecond, sent)
		allowed := int(rate * (1 + time.Since(begun).Seconds()))
		if counts[""] == 0 || counts[""] > allowed {
			t.Errorf("%d calls were answered, want 1 to %d", counts[""], allowed)
		}
		if counts[""]+counts[limit.RuleRate] != sent {
			t.Errorf("outcomes %v, want answers and %s only", counts, limit.RuleRate)
		}
	})
	t.Run("calls at once", func(t *testing.T) {
		counts := sendMany(t, fleet, "narrow", 200*time.Millisecond, sent)
		if counts[limit.RuleConcurrency] == 0 || counts[""]+counts[limit.RuleConcurrency] != sent {
			t.Errorf("outcomes %v, want answers and %s only", counts, limit.RuleConcurrency)
		}
		for _, i := range fleet.Instances {
			if peak := i.Server.Peak(); peak > concurrent/servers {
				t.Errorf("%d calls ran at once at a server, want %d at most", peak, concurrent/servers)
			}
		}
	})
}

// TestServerGone kills a node. The other nodes must retry calls on another server
// even before they have detected the failure.
func TestServerGone(t *testing.T) {
	const sent = 30
	fleet := start(t, map[string]lists.Use{"crew": {}})
	fleet.KillNode(fleet.Instances[0])
	targets := fleet.Targets()
	for i := range sent {
		answer := load.SendAttempt(t.Context(), classOf("crew", time.Millisecond), targets[i%len(targets)], "")
		if answer.Rule != "" {
			t.Errorf("call %d was refused by %s", i, answer.Rule)
		}
	}
}
