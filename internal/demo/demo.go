// Package demo shows the whole path in one process on loopback: a stand-in
// platform, backend servers and their nodes, and calls.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/node"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/settings"
)

const (
	slots       = 18
	connections = 130
	callPause   = 10 * time.Millisecond
	readyLimit  = 10 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Run runs the demo for the given time and prints what happens. The error says
// which promise was broken.
func Run(ctx context.Context, w io.Writer, duration time.Duration) error {
	store, err := httpserver.Start(loopback, objectapi.New())
	if err != nil {
		return err
	}
	defer store.Close()
	publisher := publish.Store{Objects: platform.New(store.Addr())}
	head, err := publisher.Apply(ctx, publish.Current{}, customers(), planList(), publish.Change{Author: "demo"})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "version %d of the plans is in the platform\n", head.Version)

	var nodes []*node.Node
	for _, zone := range []string{"catania", "palermo"} {
		for _, service := range []string{"availability", "bookings", "fieldwork"} {
			server := backend.New(zone+"-"+service, slots)
			s, err := httpserver.Start(loopback, server)
			if err != nil {
				return err
			}
			defer s.Close()
			n, err := node.Start(nodeSettings(zone, service, s.Addr(), store.Addr()))
			if err != nil {
				return err
			}
			defer n.Kill()
			nodes = append(nodes, n)
		}
	}
	if err := waitReady(ctx, nodes); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d nodes are ready\n", len(nodes))

	client := httpclient.New("demo")
	ok, failed := 0, 0
	deadline := time.Now().Add(duration)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		to := nodes[i%len(nodes)].Addresses().Caller
		if err := call(ctx, client, to); err != nil {
			fmt.Fprintln(w, err)
			failed++
		} else {
			ok++
		}
		time.Sleep(callPause)
	}
	fmt.Fprintf(w, "%d calls answered, %d failed\n", ok, failed)
	if ok == 0 || failed > 0 {
		return errors.Newf("%d of %d calls failed", failed, ok+failed)
	}
	return nil
}

func call(ctx context.Context, client *httpclient.Client, to netip.AddrPort) error {
	r, err := httpclient.NewRequest(ctx, http.MethodGet, "http://"+to.String()+"/stock?depot=1", nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer crew-key")
	r.Header.Set(caller.HeaderService, "availability")
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", answer.StatusCode, body)
	}
	return nil
}

func waitReady(ctx context.Context, nodes []*node.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, n := range nodes {
		for n.Status().Members["ready"] < len(nodes) {
			select {
			case <-time.After(callPause):
			case <-ctx.Done():
				return errors.Newf("a node knows %v after %s", n.Status().Members, readyLimit)
			}
		}
	}
	return nil
}

func nodeSettings(zone, service string, server, store netip.AddrPort) settings.Settings {
	return settings.Settings{
		Zone: zone, Region: "sicily", Service: service,
		Server:   settings.Server{Address: server, Slots: slots, Connections: connections, HealthPath: "/health"},
		Listen:   settings.Listen{Caller: loopback, Peer: loopback, Call: loopback, Operator: loopback},
		Platform: settings.Platform{Address: store, Timeout: units.Duration(2 * time.Second)},
		PeerKey:  "demo-peer-key-0123456789",
		Drain:    settings.Drain{Announce: units.Duration(3 * time.Second), Finish: units.Duration(time.Minute)},
	}
}

func customers() lists.CustomerList {
	return lists.CustomerList{Customers: []lists.Customer{
		{Name: "crew-catania", Plan: "crew", KeyHashes: []string{plans.HashKey("crew-key")}},
	}}
}

func planList() lists.PlanList {
	timeout := units.Duration(5 * time.Second)
	return lists.PlanList{
		Services: []lists.Service{{Name: "availability", Timeout: timeout}, {Name: "bookings", Timeout: timeout}, {Name: "fieldwork", Timeout: timeout}},
		Plans: []lists.Plan{{Name: "crew", Uses: []lists.Use{
			{Service: "availability", Priority: "urgent"},
			{Service: "bookings", Priority: "high"},
			{Service: "fieldwork", Priority: "bulk"},
		}}},
	}
}
