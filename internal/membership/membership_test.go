package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/membership"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	// stateLimit is the time in which the fleet knows a new state.
	stateLimit = 3 * time.Second
	// findLimit is the time in which nodes find each other or give up.
	findLimit = 30 * time.Second
)

func TestMain(m *testing.M) { proptest.MainWithLeakCheck(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// bench is a platform and the nodes that use it.
type bench struct {
	t      *testing.T
	store  *objectapi.Store
	addr   netip.AddrPort
	nodes  []*node
	jitter time.Duration
}

type node struct {
	loop     *membership.Loop
	view     atomic.Pointer[fleet.View]
	ring     *explain.Ring
	endpoint *peer.Endpoint
	client   *platform.Client
	cancel   context.CancelFunc
	group    errgroup.Group
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, store: objectapi.New()}
	b.addr = testserver.Start(t, b.store).Addr()
	t.Cleanup(func() {
		for _, n := range b.nodes {
			n.stop()
		}
	})
	return b
}

func (b *bench) start(zone string, seeds ...netip.AddrPort) *node {
	b.t.Helper()
	n := &node{ring: explain.NewRing(64), client: platform.New(b.addr)}
	n.loop = &membership.Loop{
		Plans: new(inforce.Plans), View: &n.view, Platform: n.client, Ring: n.ring, Metrics: metrics.New(),
		Log: &log.Logger{Handler: discard.New()}, Seeds: seeds, StartJitter: max(b.jitter, 100*time.Millisecond),
	}
	var mux peer.Mux
	n.loop.Handle(&mux)
	endpoint, err := peer.Listen(loopback, secret.New("membership-test-key"), &mux)
	if err != nil {
		b.t.Fatal(err)
	}
	n.endpoint, n.loop.Endpoint = endpoint, endpoint
	n.loop.Start(messages.Member{
		Id: fmt.Sprintf("%s-%d", zone, len(b.nodes)), Zone: zone, Region: "sicily", Service: "bookings",
		Peer: endpoint.Addr(), Call: loopback, Slots: 1, Incarnation: 1, State: messages.MemberStateStarting,
	})
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.group.Go(func() error { return n.loop.Run(ctx) })
	b.nodes = append(b.nodes, n)
	return n
}

func (n *node) stop() {
	n.cancel()
	_ = n.group.Wait()
	_ = n.endpoint.Close()
	n.client.Close()
}

func (n *node) count(state messages.MemberState) int {
	found := 0
	for _, m := range n.view.Load().Members() {
		if m.State == state {
			found++
		}
	}
	return found
}

func (b *bench) waitFor(limit time.Duration, what string, holds func() bool) {
	b.t.Helper()
	if !wait.Until(b.t.Context(), limit, holds) {
		b.t.Fatalf("no %s after %s", what, limit)
	}
}

// waitAll waits until every node knows n members in a state.
func (b *bench) waitAll(limit time.Duration, nodes []*node, state messages.MemberState, n int) {
	b.t.Helper()
	b.waitFor(limit, fmt.Sprintf("%d members that are %s everywhere", n, state), func() bool {
		return !slices.ContainsFunc(nodes, func(each *node) bool { return each.count(state) != n })
	})
}

func TestFindByPlatform(t *testing.T) {
	b := newBench(t)
	zones := []string{"catania", "palermo", "agrigento"}
	for _, zone := range zones {
		for range 4 {
			b.start(zone)
		}
	}
	b.waitAll(findLimit, b.nodes, messages.MemberStateStarting, 12)
	t.Run("one object a zone", func(t *testing.T) {
		entries, err := b.nodes[0].client.List(t.Context(), "peers/")
		if err != nil || len(entries) != len(zones) {
			t.Fatalf("%d objects, %v", len(entries), err)
		}
		for _, entry := range entries {
			assertListed(t, b, entry.Key)
		}
	})
	t.Run("ready and leaving are known in three seconds", func(t *testing.T) {
		for _, n := range b.nodes {
			n.loop.SetState(messages.MemberStateReady)
		}
		b.waitAll(stateLimit, b.nodes, messages.MemberStateReady, 12)
		b.nodes[3].loop.SetState(messages.MemberStateLeaving)
		b.waitAll(stateLimit, b.nodes, messages.MemberStateLeaving, 1)
		if servers := b.nodes[0].view.Load().Servers("bookings"); len(servers) != 11 {
			t.Fatalf("%d servers take calls, want 11", len(servers))
		}
	})
	t.Run("a node that died fails", func(t *testing.T) {
		b.nodes[11].stop()
		b.nodes = b.nodes[:11]
		b.waitAll(findLimit, b.nodes, messages.MemberStateFailed, 1)
	})
}

// TestHerd starts all nodes at once, without seeds. The bounds are the
// platform's rates in the minute after 3,800 nodes start, as a share for each.
func TestHerd(t *testing.T) {
	const (
		perZone       = 20
		fleetSize     = 3800
		readsAMinute  = 2000 * 60
		writesAMinute = 300 * 60
	)
	b := newBench(t)
	b.jitter = 2 * time.Second
	for _, zone := range []string{"catania", "palermo", "agrigento"} {
		for range perZone {
			b.start(zone)
		}
	}
	b.waitAll(findLimit, b.nodes, messages.MemberStateStarting, 3*perZone)
	counts := b.store.Counts()
	t.Logf("%d nodes: %d reads, %d writes", len(b.nodes), counts.Reads, counts.Writes)
	if n := uint64(len(b.nodes)); counts.Reads > n*readsAMinute/fleetSize || counts.Writes > n*writesAMinute/fleetSize {
		t.Fatalf("%d reads and %d writes by %d nodes", counts.Reads, counts.Writes, n)
	}
}

func TestFindBySeeds(t *testing.T) {
	b := newBench(t)
	b.store.SetFaults(objectapi.Faults{Down: true})
	first := b.start("catania")
	for _, zone := range []string{"catania", "catania", "palermo"} {
		b.start(zone, first.endpoint.Addr())
	}
	b.waitAll(findLimit, b.nodes, messages.MemberStateStarting, 4)
}

func TestFindNobody(t *testing.T) {
	b := newBench(t)
	b.store.SetFaults(objectapi.Faults{Down: true})
	n := b.start("catania", netip.MustParseAddrPort("127.0.0.1:1"))
	b.waitFor(findLimit, "record that nobody answers", func() bool { return n.reported("noPeer") })
	b.store.SetFaults(objectapi.Faults{})
	other := b.start("catania")
	b.waitAll(findLimit, []*node{n, other}, messages.MemberStateStarting, 2)
}

// TestStaleObject has the object of a zone name only addresses that are gone, as
// after a restart of the whole zone.
func TestStaleObject(t *testing.T) {
	b := newBench(t)
	gone, err := json.Marshal(objects.ZonePeers{Zone: "catania", Addresses: []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	b.store.Restore(map[string][]byte{"peers/catania": gone})
	for range 5 {
		b.start("catania")
	}
	b.waitAll(findLimit, b.nodes, messages.MemberStateStarting, 5)
}

func (n *node) reported(kind string) bool {
	return slices.ContainsFunc(n.ring.Records(), func(r explain.Record) bool { return r.Kind == kind })
}

func assertListed(t *testing.T, b *bench, key string) {
	t.Helper()
	object, err := b.nodes[0].client.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	var peers objects.ZonePeers
	if err := json.Unmarshal(object.Value, &peers); err != nil || len(peers.Addresses) == 0 || len(peers.Addresses) > 16 {
		t.Fatalf("%s holds %s, %v", key, object.Value, err)
	}
}
