package crashes_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/wait"
	"lavenderdeal/schema/lists"
)

const (
	service  = "bookings"
	customer = "crew"
	// readyLimit bounds the start of the fleet, and waitLimit the time until a call
	// that crashes servers is quarantined.
	readyLimit = 20 * time.Second
	waitLimit  = 10 * time.Second
)

// send sends a call and returns the rule that refused it, or "" if it was not
// refused.
func send(ctx context.Context, t *testing.T, to netip.AddrPort, class load.Class) string {
	t.Helper()
	class.Key, class.Service = localfleet.Key(customer), service
	return load.SendAttempt(ctx, class, to, "").Rule
}

// countCrashes returns the number of servers that have crashed and of all crashes.
func countCrashes(fleet *localfleet.Fleet) (servers, crashes int) {
	for _, i := range fleet.Instances {
		n := fleet.Crashes(i)
		crashes += n
		if n > 0 {
			servers++
		}
	}
	return servers, crashes
}

// waitQuarantined waits until every node has a quarantined fingerprint.
func waitQuarantined(t *testing.T, fleet *localfleet.Fleet) {
	t.Helper()
	for _, i := range fleet.Running() {
		if !wait.Until(t.Context(), waitLimit, func() bool { return len(i.Node.Status().Quarantined) > 0 }) {
			t.Fatalf("node %s has no quarantined fingerprint", i.Node.ID())
		}
	}
}

// TestQuarantine guards against a call that crashes each server that runs it: its caller
// retries it, and without a quarantine it would end all servers of the service. Other
// calls are sent in between, which must not be quarantined.
func TestQuarantine(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := localfleet.Start(ctx, localfleet.OneService(service, 4, map[string]lists.Use{customer: {}}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	if err := fleet.WaitReady(ctx, readyLimit); err != nil {
		t.Fatal(err)
	}
	targets := fleet.Targets()
	poison := func(i int) string {
		return send(ctx, t, targets[i%len(targets)], load.Class{Method: http.MethodPost, Path: "/poison", Crash: true})
	}
	deadline := time.Now().Add(waitLimit)
	rule := ""
	for i := 0; rule != "quarantined"; i++ {
		if time.Now().After(deadline) {
			t.Fatalf("the last call was refused by rule %q, want quarantined", rule)
		}
		rule = poison(i)
		if send(ctx, t, targets[i%len(targets)], load.Class{Method: http.MethodGet, Path: "/innocent"}) == "quarantined" {
			t.Fatal("a call that crashes no server is quarantined")
		}
	}
	waitQuarantined(t, fleet)
	servers, before := countCrashes(fleet)
	if servers < 2 {
		t.Errorf("%d servers crashed before the quarantine, want at least two", servers)
	}
	t.Run("every server refuses it", func(t *testing.T) {
		for i := range 4 * len(targets) {
			if rule := poison(i); rule != "quarantined" {
				t.Errorf("refused by rule %q, want quarantined", rule)
			}
		}
		if _, after := countCrashes(fleet); after != before {
			t.Errorf("%d crashes after the quarantine, want none", after-before)
		}
	})
	t.Run("the quarantine is listed and can be lifted", func(t *testing.T) {
		for _, i := range fleet.Running() {
			entries := i.Node.Status().Quarantined
			if len(entries) != 1 || len(entries[0].Servers) < 2 {
				t.Fatalf("node %s lists %v, want one entry with at least two servers", i.Node.ID(), entries)
			}
			if !i.Node.LiftQuarantine(entries[0].Fingerprint) || len(i.Node.Status().Quarantined) != 0 {
				t.Error("a quarantine is listed after it was lifted, or could not be lifted")
			}
		}
	})
}
