package crashes_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/trial"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/caller"
	"lavenderdeal/schema/lists"
)

const (
	service    = "bookings"
	customer   = "crew"
	readyLimit = 20 * time.Second
	waitLimit  = 10 * time.Second
)

func shape() trial.Shape {
	return trial.Shape{
		Name:      "crashes",
		Zones:     []trial.Zone{{Name: "catania", Region: "sicily"}},
		Services:  []trial.Service{{Name: service, ServersPerZone: []int{4}, Slots: 8, Connections: 40}},
		Customers: trial.Customers(customer + ":plan"),
		Plans: lists.PlanList{
			Services: []lists.Service{{Name: service, Timeout: units.Duration(5 * time.Second)}},
			Plans:    []lists.Plan{{Name: "plan", Uses: []lists.Use{{Service: service, Priority: "urgent"}}}},
		},
	}
}

// send sends a call and returns the rule that refused it, or "".
func send(ctx context.Context, t *testing.T, client *httpclient.Client, to netip.AddrPort, method, path string, header ...string) string {
	t.Helper()
	r, err := httpclient.NewRequest(ctx, method, "http://"+to.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+trial.Key(customer))
	r.Header.Set(caller.HeaderService, service)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	return answer.Header.Get(caller.HeaderRule)
}

func crashesOf(fleet *trial.Fleet) (servers, crashes int) {
	for _, i := range fleet.Instances {
		n := fleet.Crashes(i)
		crashes += n
		if n > 0 {
			servers++
		}
	}
	return servers, crashes
}

// waitQuarantined waits until every node has heard of the quarantine.
func waitQuarantined(t *testing.T, fleet *trial.Fleet) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, i := range fleet.Running() {
		for len(i.Node.Status().Quarantined) == 0 {
			if time.Now().After(deadline) {
				t.Fatalf("node %s has not heard of the quarantine", i.Node.ID())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestQuarantine sends a call that ends its server again and again, beside other
// calls, until it is refused everywhere.
func TestQuarantine(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := trial.Start(ctx, shape())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	if err := fleet.WaitReady(ctx, readyLimit); err != nil {
		t.Fatal(err)
	}
	client := httpclient.New("test")
	t.Cleanup(client.Close)
	targets := fleet.Targets()
	poison := func(i int) string {
		return send(ctx, t, client, targets[i%len(targets)], http.MethodPost, "/poison", backend.HeaderCrash, "1")
	}
	deadline := time.Now().Add(waitLimit)
	rule := ""
	for i := 0; rule != "quarantined"; i++ {
		if time.Now().After(deadline) {
			t.Fatalf("the last refusal was by %q, want quarantined", rule)
		}
		rule = poison(i)
		if got := send(ctx, t, client, targets[i%len(targets)], http.MethodGet, "/innocent"); got == "quarantined" {
			t.Fatal("an innocent call is quarantined")
		}
	}
	waitQuarantined(t, fleet)
	servers, before := crashesOf(fleet)
	if servers < 2 {
		t.Errorf("%d servers crashed before the quarantine, want two", servers)
	}
	t.Run("every server refuses it", func(t *testing.T) {
		for i := range 4 * len(targets) {
			if rule := poison(i); rule != "quarantined" {
				t.Errorf("refused by %q, want quarantined", rule)
			}
		}
		if _, after := crashesOf(fleet); after != before {
			t.Errorf("%d crashes after the quarantine", after-before)
		}
	})
	t.Run("it is explained and lifted", func(t *testing.T) {
		for _, i := range fleet.Running() {
			entries := i.Node.Status().Quarantined
			if len(entries) != 1 || len(entries[0].Servers) < 2 {
				t.Fatalf("node %s shows %v, want one entry with its servers", i.Node.ID(), entries)
			}
			if !i.Node.LiftQuarantine(entries[0].Fingerprint) || len(i.Node.Status().Quarantined) != 0 {
				t.Error("not lifted")
			}
		}
	})
}
