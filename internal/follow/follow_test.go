package follow_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"lavenderdeal/core/plans"
	"lavenderdeal/core/relay"
	"lavenderdeal/internal/node"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/internal/units"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/platform"
	"lavenderdeal/io/settings"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

const (
	// inForceWithin is the time limit for a change to be in force on all nodes.
	inForceWithin = 4 * time.Second
	// startWithin limits the wait for a start, which has no guaranteed duration.
	startWithin = 30 * time.Second
	pollPause   = 10 * time.Millisecond
)

// fixture runs a platform and nodes of several zones, on real sockets.
type fixture struct {
	// root stops the nodes in its cleanup; t is the running subtest.
	root  *testing.T
	t     *testing.T
	store *objectapi.Store
	addr  netip.AddrPort
	write publish.Store
	nodes []*node.Node
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := objectapi.New()
	server := testserver.Start(t, store)
	client := platform.New(server.Addr())
	t.Cleanup(client.Close)
	return &fixture{root: t, t: t, store: store, addr: server.Addr(), write: publish.Store{Objects: client}}
}

// start starts n nodes with the nodes started before as peers.
func (f *fixture) start(zone string, n int) { f.startWith(zone, n, f.addr) }

// startWith is like start, with another address of the platform.
func (f *fixture) startWith(zone string, n int, platformAddr netip.AddrPort) {
	f.t.Helper()
	for range n {
		server := testserver.Start(f.root, backend.New(zone, 4))
		cfg := settings.ForLoopback(zone, "bookings", server.Addr(), platformAddr)
		for _, other := range f.nodes {
			cfg.Peers = append(cfg.Peers, other.Addresses().Peer)
		}
		started, err := node.Start(cfg, node.WithLog(&log.Logger{Handler: discard.Default}))
		if err != nil {
			f.t.Fatal(err)
		}
		f.root.Cleanup(started.Kill)
		f.nodes = append(f.nodes, started)
	}
}

// publish writes a version in which the customer has the given plan.
func (f *fixture) publish(plan string) uint64 { return f.publishMany(plan, 0).Version }

// publishMany is like publish, with additional customers.
func (f *fixture) publishMany(plan string, more int) objects.Head {
	f.t.Helper()
	current, err := f.write.Current(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	customers := lists.CustomerList{Customers: []lists.Customer{{Name: "crew", Plan: plan, KeyHashes: []string{plans.HashKey("crew-key")}}}}
	for i := range more {
		name := fmt.Sprint("customer-", i)
		customers.Customers = append(customers.Customers, lists.Customer{Name: name, Plan: plan, KeyHashes: []string{plans.HashKey(name)}})
	}
	uses := []lists.Use{{Service: "bookings", Priority: lists.UsePriorityHigh}}
	planList := lists.PlanList{
		Services: []lists.Service{{Name: "bookings", Timeout: units.Duration(time.Second)}},
		Plans:    []lists.Plan{{Name: "gold", Uses: uses}, {Name: "silver", Uses: uses}},
	}
	head, err := f.write.Apply(f.t.Context(), current, customers, planList, publish.Change{Author: "test"})
	if err != nil {
		f.t.Fatal(err)
	}
	return head
}

// waitVersion waits until all nodes have a version in force.
func (f *fixture) waitVersion(version uint64, within time.Duration) {
	f.t.Helper()
	f.waitFor(within, fmt.Sprintf("version %d on all nodes", version), func() bool {
		for _, n := range f.nodes {
			if n.Status().Version != version {
				return false
			}
		}
		return true
	})
}

func (f *fixture) waitFor(within time.Duration, what string, holds func() bool) {
	f.t.Helper()
	if wait.Until(f.t.Context(), within, holds) {
		return
	}
	for _, n := range f.nodes {
		f.t.Logf("%+v %s", n.Status(), n.Metrics().Map())
	}
	f.t.Fatalf("%s: condition not met within %s", what, within)
}

// waitMembers waits until every node has all nodes in its view as ready.
func (f *fixture) waitMembers() {
	f.t.Helper()
	f.waitFor(startWithin, "every node has all nodes in its view", func() bool {
		for _, n := range f.nodes {
			if n.Status().Members["ready"] < len(f.nodes) {
				return false
			}
		}
		return true
	})
}

// sum returns the sum of a counter over all nodes.
func (f *fixture) sum(counter string) int64 {
	total := int64(0)
	for _, n := range f.nodes {
		total += n.Metrics().Counter(counter)
	}
	return total
}

func (f *fixture) status(zone string) objects.ZoneStatus {
	var status objects.ZoneStatus
	object, err := f.write.Objects.Get(f.t.Context(), "status/"+zone)
	if err == nil {
		_ = json.Unmarshal(object.Value, &status)
	}
	return status
}

// TestChange guards against nodes that miss a published version, or go back to an older
// one when the platform is restored from a backup. It also guards against nodes other
// than the readers of a zone that load the platform.
func TestChange(t *testing.T) {
	f := newFixture(t)
	f.publish("gold")
	f.start("catania", 4)
	f.start("palermo", 4)
	f.waitVersion(1, startWithin)
	f.waitMembers()

	t.Run("a change is in force on all nodes of all zones", func(t *testing.T) {
		f.t = t
		f.waitVersion(f.publish("silver"), inForceWithin)
	})
	t.Run("each zone has two readers", func(t *testing.T) {
		f.t = t
		f.waitFor(startWithin, "2 readers in each of 2 zones", func() bool {
			readers := 0
			for _, n := range f.nodes {
				if n.Status().Reader {
					readers++
				}
			}
			return readers == 4
		})
	})
	t.Run("only readers fetch chunks from the platform", func(t *testing.T) {
		f.t = t
		before := f.sum("chunksFromPlatform")
		f.waitVersion(f.publish("gold"), inForceWithin)
		if got := f.sum("chunksFromPlatform") - before; got > 4 {
			t.Errorf("%d chunks from the platform for a change of one customer, want at most one for each of 4 readers", got)
		}
	})
	t.Run("each zone confirms the change", func(t *testing.T) {
		f.t = t
		f.waitFor(startWithin, "the statuses of both zones", func() bool {
			for _, zone := range []string{"catania", "palermo"} {
				s := f.status(zone)
				if s.Version != 3 || s.Confirmed != 4 || s.Members != 4 || len(s.Missing) != 0 {
					return false
				}
			}
			return true
		})
	})
	t.Run("an older store is ignored", func(t *testing.T) {
		f.t = t
		backup := f.store.Snapshot()
		f.waitVersion(f.publish("gold"), inForceWithin)
		f.store.Restore(backup)
		f.waitFor(startWithin, "a node reports the older store", func() bool {
			for _, n := range f.nodes {
				if n.Metrics().Counter("storeBehind") > 0 {
					return true
				}
			}
			return false
		})
		f.waitVersion(4, inForceWithin)
	})
}

// TestColdStart starts all nodes without any state while the platform has a low
// rate limit. Only the readers may fetch chunks from the platform, each reader
// every chunk at most once.
func TestColdStart(t *testing.T) {
	const zones, nodesPerZone, readsPerSecond = 2, 6, 100
	f := newFixture(t)
	head := f.publishMany("gold", 5000)
	f.store.SetLimits(objectapi.Limits{ReadsPerSecond: readsPerSecond, WritesPerSecond: readsPerSecond})
	for zone := range zones {
		f.start(fmt.Sprint("zone-", zone), nodesPerZone)
	}
	f.waitVersion(head.Version, startWithin)
	chunks := len(head.CustomerChunks) + len(head.PlanChunks)
	if got := f.sum("chunksFromPlatform"); got > int64(zones*relay.ReaderCount*chunks) {
		t.Errorf("%d chunks from the platform, want at most %d for each of %d readers", got, chunks, zones*relay.ReaderCount)
	}
	t.Logf("%d chunks, %d from the platform, %d from peers", chunks, f.sum("chunksFromPlatform"), f.sum("chunksFromPeers"))
}

// TestZoneWithoutPlatform guards against a zone that stays at an old version because it
// cannot reach the platform. Its readers must get new versions from those of another
// zone.
func TestZoneWithoutPlatform(t *testing.T) {
	f := newFixture(t)
	f.publish("gold")
	f.start("catania", 2)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	f.startWith("palermo", 3, unreachable)
	f.waitVersion(1, startWithin)
	f.waitMembers()
	t.Run("the zone gets changes from readers of the other zone", func(t *testing.T) {
		f.t = t
		for _, plan := range []string{"silver", "gold", "silver"} {
			f.waitVersion(f.publish(plan), inForceWithin)
		}
	})
	t.Run("a reader counts the platform errors", func(t *testing.T) {
		f.t = t
		f.waitFor(startWithin, "platform errors on a reader", func() bool {
			for _, n := range f.nodes[2:] {
				if n.Metrics().Counter("platformErrors") > 0 && n.Metrics().Counter("becameReader") > 0 {
					return true
				}
			}
			return false
		})
	})
}

// TestStartWithoutPlatform guards against a node that cannot start, or serves a version
// that may be outdated, because the platform is down when it starts. It must take the
// version of its peers. Without peers it must refuse calls.
func TestStartWithoutPlatform(t *testing.T) {
	f := newFixture(t)
	f.publish("gold")
	f.start("catania", 2)
	f.waitVersion(1, startWithin)
	f.store.SetFaults(objectapi.Faults{Down: true})

	t.Run("a new node starts from its peers and reports them as its source", func(t *testing.T) {
		f.t = t
		f.start("catania", 1)
		f.waitVersion(1, startWithin)
		source := f.nodes[2].Status().VersionSource
		if !strings.Contains(source, "peers, the platform is out") {
			t.Errorf("the version comes from %q", source)
		}
	})
	t.Run("a node without peers refuses calls as not run", func(t *testing.T) {
		alone := newFixture(t)
		alone.store.SetFaults(objectapi.Faults{Down: true})
		alone.start("agrigento", 1)
		alone.waitFor(startWithin, "the reason", func() bool {
			return alone.nodes[0].Status().VersionSource == "the platform is out and no ready peer answers"
		})
		assertRefused(t, alone.nodes[0], "notReady", "the platform is out and no ready peer answers")
	})
	t.Run("a change after the outage is in force everywhere", func(t *testing.T) {
		f.t = t
		f.store.SetFaults(objectapi.Faults{})
		f.waitVersion(f.publish("silver"), inForceWithin)
	})
}

func assertRefused(t *testing.T, n *node.Node, rule, reason string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.Addresses().Caller.String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer crew-key")
	r.Header.Set("Lavenderdeal-Service", "bookings")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode < http.StatusBadRequest || !strings.Contains(string(body), rule) || !strings.Contains(string(body), "notRun") || !strings.Contains(string(body), reason) {
		t.Fatalf("got status %d %s, want a refusal by %s with notRun and %q", answer.StatusCode, body, rule, reason)
	}
}
