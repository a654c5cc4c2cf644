package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/internal/units"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/platform"
	iosettings "lavenderdeal/io/settings"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/settings"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	callTimeout  = 70 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testFleet is a fleet of nodes of service bookings, one node of service
// availability, and a stand-in platform.
type testFleet struct {
	nodes     []*Node
	servers   []*backend.Server
	store     *objectapi.Store
	storeAddr netip.AddrPort
	// listeners are the listeners of servers, in the same order.
	listeners []*httpserver.Server
}

// startFleet starts the given number of bookings nodes and one availability node, and
// waits until all are ready and have a confirmed roster of homes. The nodes are
// killed when the test ends.
func startFleet(t *testing.T, bookings int) *testFleet {
	t.Helper()
	f := &testFleet{store: objectapi.New()}
	store := testserver.Start(t, f.store).Addr()
	f.storeAddr = store
	publisher := publish.Store{Objects: platform.New(store)}
	if _, err := publisher.Apply(context.Background(), publish.Current{}, testCustomers(), testPlans(), publish.Change{Author: "test"}); err != nil {
		t.Fatal(err)
	}
	for i := range bookings + 1 {
		service := "bookings"
		if i == bookings {
			service = "availability"
		}
		server := backend.New(fmt.Sprint(service, i), 64)
		f.servers = append(f.servers, server)
		listener := testserver.Start(t, server)
		f.listeners = append(f.listeners, listener)
		f.nodes = append(f.nodes, startNode(t, testSettings(service, listener.Addr(), store)))
	}
	waitFor(t, "the nodes and homes are ready", func() bool {
		for _, n := range f.nodes {
			if n.Status().Members["ready"] != len(f.nodes) {
				return false
			}

			if _, _, confirmed := n.homes.Status(); !confirmed {
				return false
			}
		}
		return true
	})
	if bookings > 0 {
		if _, voters, _ := f.nodes[0].homes.Status(); voters != bookings {
			t.Fatalf("the first roster has %d of %d homes", voters, bookings)
		}
	}
	return f
}

func startNode(t *testing.T, cfg settings.Settings) *Node {
	t.Helper()
	n, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Kill)
	return n
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	if !wait.Until(t.Context(), readyTimeout, done) {
		t.Fatalf("condition not met within %v: %s", readyTimeout, what)
	}
}

// outcome is the result of a call as its caller received it.
type outcome struct {
	// err is set when the connection broke.
	err     error
	status  int
	verdict string
	rule    string
	header  http.Header
	body    string
}

// testCall is a call to service bookings.
type testCall struct {
	method string
	path   string
	key    string
	id     string
	work   string
	body   string
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: callTimeout}
}

// send sends a call through a node. The method defaults to POST.
func send(client *http.Client, through *Node, c testCall) outcome {
	if c.method == "" {
		c.method = http.MethodPost
	}
	r, err := http.NewRequest(c.method, "http://"+through.Addresses().Caller.String()+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		return outcome{err: err}
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer crew-key")
	r.Header.Set(caller.HeaderService, "bookings")
	r.Header.Set(backend.HeaderCallID, c.id)
	if c.work != "" {
		r.Header.Set(backend.HeaderWork, c.work)
	}
	if c.key != "" {
		// The lower-case name keeps net/http from treating the request as idempotent
		// and resending it.
		r.Header["idempotency-key"] = []string{c.key}
	}
	answer, err := client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return outcome{
		err:     err,
		status:  answer.StatusCode,
		verdict: answer.Header.Get(caller.HeaderVerdict),
		rule:    answer.Header.Get(caller.HeaderRule),
		header:  answer.Header,
		body:    string(body),
	}
}

func (o outcome) isOK() bool { return o.err == nil && o.status == http.StatusOK }

func (o outcome) String() string {
	return fmt.Sprintf("status %d, verdict %s, rule %s, error %v, body %q", o.status, o.verdict, o.rule, o.err, o.body)
}

// runs returns how often each call ran, by call id, over all backend servers.
func (f *testFleet) runs() map[string]int {
	total := make(map[string]int)
	for _, s := range f.servers {
		for id, n := range s.Runs() {
			total[id] += n
		}
	}
	return total
}

// assertConsistent checks that the outcomes of all attempts of one call agree with its
// number of runs: it runs at most once, only if an attempt may have run, and always if
// an attempt was answered. A refusal as not run covers only its own attempt.
func assertConsistent(t *testing.T, id string, outcomes []outcome, runs int) {
	t.Helper()
	mayHaveRun, answered := false, false
	for _, o := range outcomes {
		mayHaveRun = mayHaveRun || o.verdict != "notRun"
		answered = answered || o.isOK()
	}
	switch {
	case runs > 1:
		t.Errorf("call %s ran %d times: %v", id, runs, outcomes)
	case runs > 0 && !mayHaveRun:
		t.Errorf("call %s ran and was refused as not run: %v", id, outcomes)
	case runs == 0 && answered:
		t.Errorf("call %s did not run and was answered: %v", id, outcomes)
	}
}

// inParallel runs fn for each number from 0 to n-1, at most workers at once.
func inParallel(workers, n int, fn func(i int)) {
	var group errgroup.Group
	group.SetLimit(workers)
	for i := range n {
		group.Go(func() error { fn(i); return nil })
	}
	_ = group.Wait()
}

func testSettings(service string, server, store netip.AddrPort) settings.Settings {
	cfg := iosettings.ForLoopback("catania", service, server, store)
	cfg.Server.Slots, cfg.Server.Connections = 64, 120
	return cfg
}

func testCustomers() lists.CustomerList {
	return lists.CustomerList{Customers: []lists.Customer{
		{Name: "crew-catania", Plan: "crew", KeyHashes: []string{plans.HashKey("crew-key")}},
	}}
}

func testPlans() lists.PlanList {
	timeout := units.Duration(time.Minute)
	return lists.PlanList{
		Services: []lists.Service{{Name: "bookings", Timeout: timeout}, {Name: "availability", Timeout: timeout}},
		Plans: []lists.Plan{{Name: "crew", Uses: []lists.Use{
			{Service: "bookings", Priority: "high"},
			{Service: "availability", Priority: "urgent"},
		}}},
	}
}
