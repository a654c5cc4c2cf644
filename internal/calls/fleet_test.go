package calls_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/limit"
	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/trial"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/caller"
	"lavenderdeal/schema/lists"
)

const (
	service    = "bookings"
	readyLimit = 20 * time.Second
	servers    = 3
)

// start starts a fleet of one service in one zone, with customers of a plan
// each.
func start(t *testing.T, uses map[string]lists.Use) *trial.Fleet {
	t.Helper()
	shape := trial.Shape{
		Name:     "calls",
		Zones:    []trial.Zone{{Name: "catania", Region: "sicily"}},
		Services: []trial.Service{{Name: service, ServersPerZone: []int{servers}, Slots: 8, Connections: 40}},
		Plans:    lists.PlanList{Services: []lists.Service{{Name: service, Timeout: units.Duration(10 * time.Second)}}},
	}
	var pairs []string
	for customer, use := range uses {
		use.Service, use.Priority = service, "urgent"
		shape.Plans.Plans = append(shape.Plans.Plans, lists.Plan{Name: customer, Uses: []lists.Use{use}})
		pairs = append(pairs, customer+":"+customer)
	}
	shape.Customers = trial.Customers(pairs...)
	fleet, err := trial.Start(t.Context(), shape)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	if err := fleet.WaitReady(t.Context(), readyLimit); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// send sends a call and returns the rule that refused it, or "".
func send(ctx context.Context, client *httpclient.Client, to netip.AddrPort, customer, work string) (string, error) {
	r, err := httpclient.NewRequest(ctx, http.MethodGet, "http://"+to.String()+"/", nil)
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+trial.Key(customer))
	r.Header.Set(caller.HeaderService, service)
	r.Header.Set(backend.HeaderWork, work)
	answer, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	return answer.Header.Get(caller.HeaderRule), nil
}

// sendMany sends n calls at once and counts them by the rule that refused them.
func sendMany(t *testing.T, fleet *trial.Fleet, customer, work string, n int) map[string]int {
	t.Helper()
	client := httpclient.New("test")
	t.Cleanup(client.Close)
	targets := fleet.Targets()
	outcomes := make([]string, n)
	var group errgroup.Group
	for i := range outcomes {
		group.Go(func() (err error) {
			outcomes[i], err = send(t.Context(), client, targets[i%len(targets)], customer, work)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, rule := range outcomes {
		counts[rule]++
	}
	return counts
}

func TestLimits(t *testing.T) {
	const (
		sent       = 60
		rate       = 6.0
		concurrent = 6
	)
	fleet := start(t, map[string]lists.Use{"slow": {CallsPerSecond: rate}, "narrow": {Concurrent: concurrent}})
	t.Run("rate", func(t *testing.T) {
		begun := time.Now()
		counts := sendMany(t, fleet, "slow", "1ms", sent)
		allowed := int(rate * (1 + time.Since(begun).Seconds()))
		if counts[""] == 0 || counts[""] > allowed {
			t.Errorf("%d calls were answered, want 1 to %d", counts[""], allowed)
		}
		if counts[""]+counts[limit.RuleRate] != sent {
			t.Errorf("outcomes %v, want answers and %s only", counts, limit.RuleRate)
		}
	})
	t.Run("calls at once", func(t *testing.T) {
		counts := sendMany(t, fleet, "narrow", "200ms", sent)
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

// TestServerGone ends a node without notice. Calls that come to the others
// before these know of it are sent again elsewhere.
func TestServerGone(t *testing.T) {
	const sent = 30
	fleet := start(t, map[string]lists.Use{"crew": {}})
	fleet.KillNode(fleet.Instances[0])
	client := httpclient.New("test")
	t.Cleanup(client.Close)
	targets := fleet.Targets()
	for i := range sent {
		rule, err := send(t.Context(), client, targets[i%len(targets)], "crew", "1ms")
		if err != nil {
			t.Fatal(err)
		}
		if rule != "" {
			t.Errorf("call %d was refused by %s", i, rule)
		}
	}
}
