package quota_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/accounts"
	"lavenderdeal/core/quotahome"
	"lavenderdeal/core/rendezvous"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/quota"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/store"
	"lavenderdeal/platform/platformtest"
	messages "lavenderdeal/schema/quota"
	"lavenderdeal/schema/roster"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

const rosterTell = "rosterTell"

// started returns the quota of a node that has just started, and whose store does not answer.
func started(t *testing.T) *quota.Quota {
	q, _, _ := startedMember(t, "a")
	return q
}

func startedMember(t *testing.T, zones ...string) (*quota.Quota, *members.Members, *jsonlog.Log) {
	q, m, l, _ := startedFollower(t, zones...)
	return q, m, l
}

func startedFollower(t *testing.T, zones ...string) (*quota.Quota, *members.Members, *jsonlog.Log, *versions.Follower) {
	client := store.New(netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(client.Close)
	l := jsonlog.New(&bytes.Buffer{}, "near")
	t.Cleanup(func() { l.Close(time.Second) })
	v := versions.New(client, l, nil)
	own := roster.Entry{Node: "near", Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:2"), Peer: loopback, State: roster.EntryStateWaiting}
	bounds := quotahome.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20, Zones: len(zones)}
	m := members.New(own, client, v, l)
	return quota.New("near", "a", zones, bounds, m, v, l), m, l, v
}

func listen(t *testing.T, mux *peer.Mux) *peer.Endpoint {
	e, err := peer.Listen(loopback, secret.New("a key of sixteen characters"), mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// Guards against a node that lets all requests of other nodes through while it does not know
// the limits yet.
func TestHomeWithoutVersion(t *testing.T) {
	var mux peer.Mux
	started(t).Handle(&mux)
	near, far := listen(t, &mux), listen(t, &peer.Mux{})
	question := messages.Ask{Accounts: []messages.Question{{Account: "depot", Want: 1000}}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if a, err := peer.Call[messages.Granted](ctx, far, near.Addr(), "quotaAsk", question); err == nil {
		t.Errorf("a home without a version answered %+v, want an error", a)
	}
}

// Guards against a home that takes an account that its version does not have yet for one
// without a limit. Load: a question about 1000 requests, of which 500 are within the limit.
func TestHomeBehind(t *testing.T) {
	q, _, _, v := startedFollower(t, "a")
	var mux peer.Mux
	q.Handle(&mux)
	near, far := listen(t, &mux), listen(t, &peer.Mux{})
	s := platformtest.NewStore(t)
	s.Configure(platformtest.Config{Version: 2, Accounts: []platformtest.Account{}})
	v.Offer(roster.VersionAnswer{Content: string(s.Spec("config", "main"))}, "test")
	for name, c := range map[string]struct {
		version int
		isAll   bool
	}{"the home is behind": {3, false}, "the account has no limit any more": {1, true}} {
		t.Run(name, func(t *testing.T) {
			question := messages.Ask{Version: c.version, Accounts: []messages.Question{{Account: "depot", Rate: 50, Burst: 250, Want: 1000}}}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := peer.Call[messages.Granted](ctx, far, near.Addr(), "quotaAsk", question)
			if err != nil {
				t.Fatal(err)
			}
			if granted := a.Accounts[0].Granted; c.isAll != (granted == 1000) || granted == 0 || !c.isAll && granted > 500 {
				t.Errorf("a home of version 2 let %d of 1000 requests through that version %d limits to 500", granted, c.version)
			}
		})
	}
}

// Guards against a home that gets no requests of others, since links to it are broken, and goes on
// granting beside the node that takes its place. Load: 30 requests each 50 ms for four seconds.
func TestUnreachedHome(t *testing.T) {
	q, m, _ := startedMember(t, "a")
	var mux, deputy peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	var asked atomic.Int64
	peer.Handle(&deputy, "quotaAsk", func(_ context.Context, m messages.Ask) (messages.Granted, error) {
		answer := messages.Granted{Accounts: make([]messages.Grant, len(m.Accounts))}
		for i, a := range m.Accounts {
			asked.Add(int64(a.Want))
			answer.Accounts[i] = messages.Grant{ClosedMs: 10, RetryAfterMs: 10}
		}
		return answer, nil
	})
	peer.Handle(&deputy, "quotaProbe", func(_ context.Context, m messages.Ask) (messages.Granted, error) {
		return messages.Granted{Silent: m.Node == "near"}, nil
	})
	near, far := listen(t, &mux), listen(t, &deputy)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	other := roster.Entry{Node: "far", Epoch: 1, Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:3"), Peer: far.Addr(), State: roster.EntryStateReady}
	if _, err := peer.Call[roster.Told](ctx, far, near.Addr(), rosterTell, roster.Tell{Entries: []roster.Entry{other}}); err != nil {
		t.Fatal(err)
	}
	account := &accounts.Account{Name: homedAt(t, "near", "far"), Rate: 500, Burst: 500}
	granted := 0
	for i := range 80 {
		for range 30 {
			// The first half of the time is for the node to notice.
			if v, _ := q.Take(ctx, account); v == quota.Granted && i >= 40 {
				granted++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if granted > 40 || asked.Load() == 0 {
		t.Errorf("a home that is not reached let %d requests through, and asked the other for %d", granted, asked.Load())
	}
}

// Guards against a node that becomes the home of an account since the home stops, and begins with
// a whole burst, which the other has just granted as well. Load: a question about 1000 requests.
func TestStoppingHome(t *testing.T) {
	q, m, _, v := startedFollower(t, "a")
	s := platformtest.NewStore(t)
	name := homedAt(t, "far", "near")
	s.Configure(platformtest.Config{Version: 2, Accounts: []platformtest.Account{{Name: name, Keys: []string{"key"}, Rate: 50, Burst: 500}}})
	v.Offer(roster.VersionAnswer{Content: string(s.Spec("config", "main"))}, "test")
	var mux peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	near, far := listen(t, &mux), listen(t, &peer.Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	other := roster.Entry{Node: "far", Epoch: 1, Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:3"), Peer: far.Addr(), State: roster.EntryStateReady}
	tell := func() {
		if _, err := peer.Call[roster.Told](ctx, far, near.Addr(), rosterTell, roster.Tell{Entries: []roster.Entry{other}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	tell()
	other.State, other.Sequence = roster.EntryStateStopping, 1
	group.Go(func() error { tell(); return nil })
	granted, started := 0, time.Now()
	for time.Since(started) < time.Second {
		a, err := peer.Call[messages.Granted](ctx, far, near.Addr(), "quotaAsk", messages.Ask{Accounts: []messages.Question{{Account: name, Want: 1000}}})
		if err != nil {
			t.Fatal(err)
		}
		granted += a.Accounts[0].Granted
		time.Sleep(5 * time.Millisecond)
	}
	// A tenth of the excess, and what comes in meanwhile.
	if most := 1 + 95/10 + 120*time.Since(started).Seconds(); float64(granted) > most {
		t.Errorf("the new home let %d requests through, want at most %.0f", granted, most)
	}
}

// Guards against floods of an account that operators see nothing of, and against a line for each
// request. Load: a question about 100 requests every 10 ms for two seconds, of which 50 a second
// are within the limit.
func TestFloodLines(t *testing.T) {
	q, _, l, v := startedFollower(t, "a")
	s := platformtest.NewStore(t)
	s.Configure(platformtest.Config{Version: 2, Accounts: []platformtest.Account{{Name: "depot", Keys: []string{"key"}, Rate: 50}}})
	v.Offer(roster.VersionAnswer{Content: string(s.Spec("config", "main"))}, "test")
	var mux peer.Mux
	q.Handle(&mux)
	near, far := listen(t, &mux), listen(t, &peer.Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	for range 200 {
		if _, err := peer.Call[messages.Granted](ctx, far, near.Addr(), "quotaAsk", messages.Ask{Accounts: []messages.Question{{Account: "depot", Want: 100}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if began, ended := l.Totals()["floodBegan"], l.Totals()["floodEnded"]; began != 1 || ended != 0 {
		t.Errorf("%d lines that a flood began and %d that one ended, want 1 and 0", began, ended)
	}
	if !wait.Until(ctx, 10*time.Second, func() bool { return l.Totals()["floodEnded"] == 1 }) {
		t.Error("no line that the flood ended within 10 s")
	}
}

// Guards against a deputy whose grants its home never counts, for nodes that cannot reach the
// home. Load: a question about ten requests every 10 ms for a second.
func TestDeputyReports(t *testing.T) {
	q, m, _, v := startedFollower(t, "a")
	s := platformtest.NewStore(t)
	s.Configure(platformtest.Config{Version: 2, Accounts: []platformtest.Account{}})
	v.Offer(roster.VersionAnswer{Content: string(s.Spec("config", "main"))}, "test")
	var mux, homeMux peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	var counted atomic.Int64
	peer.Handle(&homeMux, "quotaAsk", func(_ context.Context, m messages.Ask) (messages.Granted, error) {
		answer := messages.Granted{Accounts: make([]messages.Grant, len(m.Accounts))}
		for _, a := range m.Accounts {
			counted.Add(int64(a.Spent))
		}
		return answer, nil
	})
	peer.Handle(&homeMux, "quotaProbe", func(context.Context, messages.Ask) (messages.Granted, error) { return messages.Granted{}, nil })
	near, home, far := listen(t, &mux), listen(t, &homeMux), listen(t, &peer.Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	other := roster.Entry{Node: "far", Epoch: 1, Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:3"), Peer: home.Addr(), State: roster.EntryStateReady}
	if _, err := peer.Call[roster.Told](ctx, far, near.Addr(), rosterTell, roster.Tell{Entries: []roster.Entry{other}}); err != nil {
		t.Fatal(err)
	}
	question := messages.Ask{Version: 3, Accounts: []messages.Question{{Account: homedAt(t, "far", "near"), Rate: 500, Burst: 500, Want: 10}}}
	granted := 0
	for range 100 {
		a, err := peer.Call[messages.Granted](ctx, far, near.Addr(), "quotaAsk", question)
		if err != nil {
			t.Fatal(err)
		}
		granted += a.Accounts[0].Granted
		time.Sleep(10 * time.Millisecond)
	}
	if !wait.Until(ctx, 5*time.Second, func() bool { return counted.Load() == int64(granted) }) || granted == 0 {
		t.Errorf("the home was told of %d of %d requests", counted.Load(), granted)
	}
}

// Guards against many nodes that start at once and take themselves for the home until they
// know the others. Load: 50 requests at one moment.
func TestHomeWithoutOthers(t *testing.T) {
	q := started(t)
	account := &accounts.Account{Name: "depot", Rate: 500, Burst: 500}
	var granted atomic.Int64
	var group errgroup.Group
	for range 50 {
		group.Go(func() error {
			if v, _ := q.Take(t.Context(), account); v == quota.Granted {
				granted.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	if n := granted.Load(); n > 1 {
		t.Errorf("a node that knows no others let %d requests through, want at most 1 unasked", n)
	}
}

// Guards against requests that wait each second for a home that has ended. Load: a request
// every 20 ms for four seconds, while the home accepts connections and answers nothing.
func TestSilentHome(t *testing.T) {
	q, m, _ := startedMember(t, "a")
	var mux, silent peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	var asked atomic.Int64
	peer.Handle(&silent, "quotaAsk", func(ctx context.Context, _ messages.Ask) (messages.Granted, error) {
		asked.Add(1)
		<-ctx.Done()
		return messages.Granted{}, ctx.Err()
	})
	peer.Handle(&silent, "quotaProbe", func(ctx context.Context, _ messages.Ask) (messages.Granted, error) {
		<-ctx.Done()
		return messages.Granted{}, ctx.Err()
	})
	near, far := listen(t, &mux), listen(t, &silent)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	other := roster.Entry{Node: "far", Epoch: 1, Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:3"), Peer: far.Addr(), State: roster.EntryStateReady}
	if _, err := peer.Call[roster.Told](ctx, far, near.Addr(), rosterTell, roster.Tell{Entries: []roster.Entry{other}}); err != nil {
		t.Fatal(err)
	}
	account := &accounts.Account{Name: homedAt(t, "far", "near"), Rate: 500, Burst: 500}
	for range 200 {
		q.Take(ctx, account)
		time.Sleep(20 * time.Millisecond)
	}
	if n := asked.Load(); n == 0 || n > 2 {
		t.Errorf("a silent home was asked %d times for requests, want once", n)
	}
}

// Guards against a home that asks no zone for loans in time because the nodes of another one
// do not answer, and takes itself for suspended meanwhile. Load: four times one request each of
// 40 accounts.
func TestSilentZone(t *testing.T) {
	q, m, l := startedMember(t, "a", "b", "c")
	var mux, silent, lender peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	var asked sync.Map
	peer.Handle(&lender, "quotaBorrow", func(_ context.Context, b messages.Borrow) (messages.Lent, error) {
		asked.Store(b.Account, true)
		return messages.Lent{}, nil
	})
	peer.Handle(&silent, "quotaBorrow", func(ctx context.Context, _ messages.Borrow) (messages.Lent, error) {
		<-ctx.Done()
		return messages.Lent{}, ctx.Err()
	})
	near := listen(t, &mux)
	var others []roster.Entry
	for i := range 11 {
		e := roster.Entry{Node: fmt.Sprintf("far-%d", i), Epoch: 1, Zone: "b", Service: "bookings", Call: netip.AddrPortFrom(loopback.Addr(), uint16(10+i)), State: roster.EntryStateReady}
		if i == 0 {
			e.Zone, e.Peer = "c", listen(t, &lender).Addr()
		} else {
			e.Peer = listen(t, &silent).Addr()
		}
		others = append(others, e)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	if _, err := peer.Call[roster.Told](ctx, listen(t, &peer.Mux{}), near.Addr(), rosterTell, roster.Tell{Entries: others}); err != nil {
		t.Fatal(err)
	}
	const count = 40
	for range 4 {
		for i := range count {
			q.Take(ctx, &accounts.Account{Name: fmt.Sprintf("account-%d", i), Rate: 50, Burst: 500})
		}
		time.Sleep(time.Second)
	}
	loans := 0
	asked.Range(func(any, any) bool { loans++; return true })
	if loans < count {
		t.Errorf("a zone that answers was asked for loans for %d accounts in four seconds, want %d", loans, count)
	}
	if n := l.Totals()["quotaReset"]; n > 0 {
		t.Errorf("the home has emptied its buckets %d times though it was not suspended", n)
	}
}

// Guards against a node that is cut off and goes on as the home of accounts that have another
// home for the rest of the zone, and against nodes of a zone that do not reach each other and are
// all homes, as they reach other zones. Load: 30 requests each 50 ms for five seconds.
func TestCutOffHome(t *testing.T) {
	t.Run("from all", func(t *testing.T) {
		if granted := cutOffGrants(t, false); granted > 100 {
			t.Errorf("a node that is cut off let %d requests through, want its unasked allowance, less than a tenth of 1500", granted)
		}
	})
	t.Run("from its zone", func(t *testing.T) {
		// A sixth of half of the rate and its part of the excess.
		if granted := cutOffGrants(t, true); granted > 200 || granted < 50 {
			t.Errorf("a node that only other zones reach let %d requests through, want a sixth of its zone's part", granted)
		}
	})
}

// cutOffGrants returns how many requests a node lets through that does not reach the other five
// of its zone.
func cutOffGrants(t *testing.T, reachesOtherZone bool) int {
	q, m, _ := startedMember(t, "a", "b")
	var mux, otherZone peer.Mux
	q.Handle(&mux)
	m.Handle(&mux)
	peer.Handle(&otherZone, "quotaBorrow", func(context.Context, messages.Borrow) (messages.Lent, error) { return messages.Lent{}, nil })
	near := listen(t, &mux)
	var others []roster.Entry
	for i := range 5 {
		// Nothing listens there.
		addr := netip.AddrPortFrom(loopback.Addr(), uint16(10+i))
		others = append(others, roster.Entry{Node: fmt.Sprintf("far-%d", i), Epoch: 1, Zone: "a", Service: "bookings", Call: addr, Peer: addr, State: roster.EntryStateReady})
	}
	if reachesOtherZone {
		others = append(others, roster.Entry{Node: "other", Epoch: 1, Zone: "b", Service: "bookings", Call: loopback, Peer: listen(t, &otherZone).Addr(), State: roster.EntryStateReady})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return q.Run(ctx, near) })
	defer func() { cancel(); _ = group.Wait() }()
	if _, err := peer.Call[roster.Told](ctx, listen(t, &peer.Mux{}), near.Addr(), rosterTell, roster.Tell{Entries: others}); err != nil {
		t.Fatal(err)
	}
	account := &accounts.Account{Name: homedAt(t, "near", "far-0", "far-1", "far-2", "far-3", "far-4"), Rate: 500, Burst: 500}
	granted := 0
	for i := range 100 {
		for range 30 {
			// The first half of the time is for the node to notice.
			if v, _ := q.Take(ctx, account); v == quota.Granted && i >= 50 {
				granted++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return granted
}

// Guards against requests that ask over and over, without a pause, on a node that has stopped.
// Load: 20 requests one after the other.
func TestStopped(t *testing.T) {
	q, m, _ := startedMember(t, "a")
	var mux peer.Mux
	m.Handle(&mux)
	near := listen(t, &mux)
	other := roster.Entry{Node: "far", Epoch: 1, Zone: "a", Service: "bookings", Call: netip.MustParseAddrPort("127.0.0.1:3"), Peer: near.Addr(), State: roster.EntryStateReady}
	if _, err := peer.Call[roster.Told](t.Context(), listen(t, &peer.Mux{}), near.Addr(), rosterTell, roster.Tell{Entries: []roster.Entry{other}}); err != nil {
		t.Fatal(err)
	}
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	_ = q.Run(stopped, near)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	account := &accounts.Account{Name: homedAt(t, "far", "near"), Rate: 500, Burst: 500}
	for range 20 {
		q.Take(ctx, account)
	}
	if ctx.Err() != nil {
		t.Error("20 requests took more than five seconds on a stopped node, want no wait")
	}
}

// homedAt returns the name of an account whose home among some nodes is the first one.
func homedAt(t *testing.T, nodes ...string) string {
	for i := range 100 {
		name := fmt.Sprintf("account-%d", i)
		if rendezvous.Top("quota/"+name, nodes, 1)[0] == nodes[0] {
			return name
		}
	}
	t.Fatal("no account has its home at " + nodes[0])
	return ""
}
