package mesh_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/units"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/platform/platformtest"
	settings "lavenderdeal/schema/meshsettings"
	messages "lavenderdeal/schema/roster"
)

// settleLimit bounds the time in which a change must reach all nodes of a test.
const settleLimit = 5 * time.Second

func TestMain(m *testing.M) { proptest.MainWithLeakCheck(m) }

// fleet is a store and a set of nodes, each with a backend server.
type fleet struct {
	t     testing.TB
	store *platformtest.Store
	nodes []*member
	// rollouts is in the settings of nodes that are added.
	rollouts *settings.Rollouts
	// ids is the number of request IDs that were assigned.
	ids atomic.Uint64
	// limits are the bounds on the limits of accounts, or nil.
	limits *settings.Accounts
	// revocation bounds the use of keys that a version has taken away, or is nil.
	revocation *settings.Revocation
}

// member is a node with its settings, its backend server and its log.
type member struct {
	cfg    settings.Settings
	node   *mesh.Node
	server *platformtest.Server
	// log holds the written lines. lines writes them and counts them by kind.
	log     *bytes.Buffer
	lines   *jsonlog.Log
	stopped bool
}

// routes returns the routes of the first configuration.
func routes() []platformtest.Route {
	return []platformtest.Route{
		{Name: "stock", Host: "depot.example", Prefix: "/stock/", Kind: "safe", TimeoutMs: 1000, TargetMs: 500, MaxServers: 2, Service: "availability"},
		{Name: "booking", Host: "depot.example", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, TargetMs: 500, Rank: 1, MaxServers: 2, Service: "bookings"},
		{Name: "photos", Host: "depot.example", Prefix: "/photos/", Kind: "upload", TimeoutMs: 2000, TargetMs: 500, Rank: 2, MaxServers: 2, Service: "bookings"},
	}
}

// newFleet returns a fleet without nodes, with version 1 of the configuration.
func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore(t)}
	f.configure(1, routes())
	return f
}

// configure writes a version of the configuration to the store.
func (f *fleet) configure(version int, list []platformtest.Route) {
	f.store.Configure(platformtest.Config{Version: version, Routes: list, Services: []string{"availability", "bookings"}})
}

// freeAddr returns an unused address. Each test process has its own loopback address,
// derived from its process ID, and uses each port once.
func freeAddr(testing.TB) netip.AddrPort {
	const part, firstPort = 250, 10_000
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid/part%part), byte(1 + pid%part), 1})
	return netip.AddrPortFrom(ip, uint16(firstPort+ports.Add(1)))
}

// ports counts the ports that were allocated.
var ports atomic.Uint32

// add starts a node and its server, which has not sent a heartbeat yet.
func (f *fleet) add(zone, service string, slots int) *member {
	f.t.Helper()
	name := fmt.Sprintf("node-%d", len(f.nodes)+1)
	m := &member{server: platformtest.NewServer(f.t, service, "i-"+name, slots)}
	m.cfg = settings.Settings{
		Node: name, Zone: zone, Service: service, Server: m.server.Addr(), Store: f.store.Addr(),
		PeerKey: "a key of sixteen characters", Memory: 256, Link: 1000, Rollouts: f.rollouts,
		Drain: units.Duration(time.Second), Grace: units.Duration(3 * time.Second),
		Listen:   settings.Listen{Caller: freeAddr(f.t), Call: freeAddr(f.t), Ready: freeAddr(f.t), Control: freeAddr(f.t), Peer: freeAddr(f.t), Metrics: freeAddr(f.t)},
		Repeats:  settings.Repeats{Ratio: 0.2, Slack: 60, Window: units.Duration(10 * time.Second)},
		Accounts: f.limits, Revocation: f.revocation,
	}
	f.start(m)
	f.nodes = append(f.nodes, m)
	f.t.Cleanup(func() { f.kill(m) })
	return m
}

// start starts the node of m with a new log.
func (f *fleet) start(m *member) {
	f.t.Helper()
	m.log = &bytes.Buffer{}
	m.lines = jsonlog.New(m.log, m.cfg.Node)
	node, err := mesh.Start(m.cfg, m.lines)
	if err != nil {
		f.t.Fatal(err)
	}
	m.node, m.stopped = node, false
}

// kill ends a node without a graceful shutdown. It does nothing if the node has ended.
func (f *fleet) kill(m *member) {
	if m.stopped {
		return
	}
	m.stopped = true
	m.node.Kill()
	f.flushLog(m)
}

// stop stops a node gracefully.
func (f *fleet) stop(m *member) error {
	m.stopped = true
	err := m.node.Stop()
	f.flushLog(m)
	return err
}

// flushLog flushes the log of a node that has ended, and prints it if the test
// failed.
func (f *fleet) flushLog(m *member) {
	m.node.Flush()
	if f.t.Failed() {
		f.t.Logf("log of %s:\n%s", m.cfg.Node, m.log)
	}
}

// sendHeartbeat sends a heartbeat of the server to its node, with the state "ready" or
// "draining".
func (m *member) sendHeartbeat(t testing.TB, state string) {
	t.Helper()
	status, err := m.server.SendHeartbeat(m.cfg.Listen.Control, state)
	if err != nil || status != http.StatusOK {
		t.Fatalf("heartbeat: status %d, error %v", status, err)
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	body   string
	signed bool
	// retryAfter is in seconds.
	retryAfter string
	id         string
}

// call sends a request as a caller on the instance of a node. An empty body sends none.
func (f *fleet) call(at *member, method, uri, body string) (answer, error) {
	return f.callWith(context.Background(), at, method, uri, body, nil)
}

// callWith is like call, with a context and header fields. By default, the caller waits
// 900 ms.
func (f *fleet) callWith(ctx context.Context, at *member, method, uri, body string, header http.Header) (answer, error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at.cfg.Listen.Caller.String()+uri, content)
	if err != nil {
		return answer{}, err
	}
	r.Host = "depot.example"
	r.Header = header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if r.Header.Get("Request-Id") == "" {
		r.Header.Set("Request-Id", fmt.Sprintf("r%d", f.ids.Add(1)))
	}
	if r.Header.Get("Deadline-Ms") == "" {
		r.Header.Set("Deadline-Ms", "900")
	}
	r.Close = true
	raw, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer raw.Body.Close()
	got, err := io.ReadAll(raw.Body)
	return answer{
		status: raw.StatusCode, body: string(got), signed: raw.Header.Get("Response-Signature") != "",
		retryAfter: raw.Header.Get("Retry-After"), id: raw.Header.Get("Request-Id"),
	}, err
}

// eventually fails the test if the condition does not hold within settleLimit.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	if !wait.Until(context.Background(), settleLimit, holds) {
		f.t.Fatalf("not within %s: %s", settleLimit, what)
	}
}

// waitServed waits until a call is served.
func (f *fleet) waitServed(at *member, uri string) {
	f.t.Helper()
	f.eventually("a call of "+uri+" is served", func() bool {
		a, err := f.call(at, http.MethodGet, uri, "")
		return err == nil && a.status == http.StatusOK
	})
}

func assertStatus(t testing.TB, a answer, err error, status int) {
	t.Helper()
	if err != nil || a.status != status {
		t.Fatalf("got %+v, error %v, want status %d", a, err, status)
	}
}

func assertRefusal(t testing.TB, a answer, err error) {
	t.Helper()
	assertStatus(t, a, err, http.StatusServiceUnavailable)
	if a.signed || a.retryAfter == "" {
		t.Fatalf("a refusal must be unsigned and have a Retry-After, got %+v", a)
	}
}

// newPair starts two nodes with servers of different services, so that calls to the
// service of either one from the other are forwarded.
func newPair(t *testing.T) (*fleet, *member, *member) {
	f := newFleet(t)
	near := f.add("a", "bookings", 4)
	far := f.add("b", "availability", 4)
	near.sendHeartbeat(t, "ready")
	far.sendHeartbeat(t, "ready")
	f.waitServed(near, "/stock/1")
	f.waitServed(far, "/booking/1")
	return f, near, far
}

// Guards against requests and answers that change on their way through one or two
// nodes, against headers that a caller forges, and against requests that exceed the
// configured limits or match no route.
func TestRequest(t *testing.T) {
	f, near, far := newPair(t)
	t.Run("a request reaches a server of another node unchanged", func(t *testing.T) {
		header := http.Header{"Request-Id": {"unchanged"}, "Caller-Service": {"forged"}, "X-Note": {"kept"}, "Lavenderdeal-Call": {"forged"}}
		a, err := f.callWith(context.Background(), near, http.MethodGet, "/stock/a%2Fb?q=1&r", "", header)
		assertStatus(t, a, err, http.StatusOK)
		runs := far.server.Runs()
		got := runs[len(runs)-1]
		if got.URI != "/stock/a%2Fb?q=1&r" || got.ID != "unchanged" || got.Host != "depot.example" || got.Origin != "bookings" {
			t.Fatalf("the server ran %+v, want the sent URI, id and host with the origin bookings", got)
		}
		if !a.signed || a.id != "unchanged" {
			t.Fatalf("got %+v, want a signed answer with the id of the request", a)
		}
	})
	t.Run("headers reserved for nodes are not passed on to the local server", func(t *testing.T) {
		a, err := f.callWith(context.Background(), near, http.MethodPost, "/booking/1", "", http.Header{"Lavenderdeal-Call": {"forged"}})
		assertStatus(t, a, err, http.StatusOK)
		runs := near.server.Runs()
		if got := runs[len(runs)-1].Header["Lavenderdeal-Call"]; got != nil {
			t.Fatalf("the server got Lavenderdeal-Call %v, want none", got)
		}
	})
	t.Run("a long body arrives whole", func(t *testing.T) {
		body := strings.Repeat("0123456789", 30_000)
		a, err := f.call(far, http.MethodPost, "/photos/1", body)
		assertStatus(t, a, err, http.StatusOK)
		runs := near.server.Runs()
		if got := runs[len(runs)-1].Body; got != body {
			t.Fatalf("%d bytes arrived, sent %d", len(got), len(body))
		}
	})
	t.Run("a path without a route is not found", func(t *testing.T) {
		a, err := f.call(near, http.MethodGet, "/nothing/", "")
		assertStatus(t, a, err, http.StatusNotFound)
	})
	t.Run("a body over the limit is refused", func(t *testing.T) {
		a, err := f.call(near, http.MethodPost, "/booking/1", strings.Repeat("x", 512<<10+1))
		assertStatus(t, a, err, http.StatusRequestEntityTooLarge)
	})
	t.Run("a head over the limit is refused", func(t *testing.T) {
		a, err := f.callWith(context.Background(), near, http.MethodGet, "/stock/1", "", http.Header{"X-Note": {strings.Repeat("x", 20<<10)}})
		assertStatus(t, a, err, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("the forwarded deadline is the time left", func(t *testing.T) {
		a, err := f.callWith(context.Background(), near, http.MethodGet, "/stock/1", "", http.Header{"Deadline-Ms": {"300"}})
		assertStatus(t, a, err, http.StatusOK)
		runs := far.server.Runs()
		if left := runs[len(runs)-1].DeadlineMs; len(left) != 3 || left > "300" {
			t.Fatalf("the server got a deadline of %s ms, want between 100 and 300", left)
		}
	})
}

// Guards against a request that runs twice although it is not idempotent, and against a
// request that is reported as not run although a server may have run it. The servers
// fail, refuse or break off in each of the ways that differ in this.
func TestRepeats(t *testing.T) {
	f, near, far := newPair(t)
	second := f.add("b", "availability", 4)
	second.sendHeartbeat(t, "ready")
	f.eventually("both servers are used", func() bool {
		_, _ = f.call(near, http.MethodGet, "/stock/1", "")
		return len(second.server.Runs()) > 0
	})
	fail := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "failed")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	t.Run("an idempotent request that fails is sent to another server", func(t *testing.T) {
		far.server.SetAnswer(fail)
		defer far.server.SetAnswer(nil)
		before := len(far.server.Runs())
		f.eventually("the failing server is tried and the other one answers", func() bool {
			a, err := f.call(near, http.MethodGet, "/stock/2", "")
			assertStatus(t, a, err, http.StatusOK)
			return len(far.server.Runs()) > before
		})
	})
	t.Run("a request that is not idempotent runs once", func(t *testing.T) {
		other := f.add("a", "bookings", 4)
		other.sendHeartbeat(t, "ready")
		f.eventually("both servers are used", func() bool {
			_, _ = f.call(far, http.MethodPost, "/booking/1", "")
			return len(other.server.Runs()) > 0
		})
		defer func() {
			// Requests may go there until the other node has the entry that it is
			// leaving.
			changes := far.lines.Totals()["entryChanged"]
			other.sendHeartbeat(t, "draining")
			f.eventually("the other node has the changed entry", func() bool { return far.lines.Totals()["entryChanged"] > changes })
		}()
		near.server.SetAnswer(fail)
		defer near.server.SetAnswer(nil)
		other.server.SetAnswer(fail)
		before := len(near.server.Runs()) + len(other.server.Runs())
		a, err := f.call(far, http.MethodPost, "/booking/once", "")
		assertStatus(t, a, err, http.StatusInternalServerError)
		if n := len(near.server.Runs()) + len(other.server.Runs()) - before; n != 1 || !a.signed {
			t.Fatalf("ran %d times, want once; got %+v, want a signed answer", n, a)
		}
	})
	t.Run("a truncated response is an unsigned failure", func(t *testing.T) {
		near.server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Response-Signature", "short")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
			panic(http.ErrAbortHandler)
		})
		defer near.server.SetAnswer(nil)
		a, err := f.call(far, http.MethodPost, "/booking/broken", "")
		assertStatus(t, a, err, http.StatusBadGateway)
		if a.signed {
			t.Fatal("the failure has the server's signature")
		}
	})
	t.Run("a 503 without proof that the request did not run is passed on as a failure", func(t *testing.T) {
		near.server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
		defer near.server.SetAnswer(nil)
		a, err := f.call(far, http.MethodPost, "/booking/unproved", "")
		assertStatus(t, a, err, http.StatusBadGateway)
	})
	t.Run("a request that may have run is not refused as not run", func(t *testing.T) {
		breaks := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
		full := func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		far.server.SetAnswer(breaks)
		second.server.SetAnswer(full)
		defer far.server.SetAnswer(nil)
		defer second.server.SetAnswer(nil)
		for range 40 {
			before := len(far.server.Runs())
			a, err := f.call(near, http.MethodGet, "/stock/3", "")
			if len(far.server.Runs()) > before {
				assertStatus(t, a, err, http.StatusBadGateway)
			}
		}
	})
	t.Run("a request that all servers shed gets a short Retry-After", func(t *testing.T) {
		shed := func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		for _, m := range []*member{far, second} {
			m.server.SetAnswer(shed)
			defer m.server.SetAnswer(nil)
		}
		a, err := f.call(near, http.MethodGet, "/stock/4", "")
		assertRefusal(t, a, err)
		if seconds, err := strconv.ParseFloat(a.retryAfter, 64); err != nil || seconds > 0.15 {
			t.Fatalf("Retry-After %s, error %v, want at most 0.15 s", a.retryAfter, err)
		}
	})
	t.Run("a response with a content encoding is a failure", func(t *testing.T) {
		near.server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Response-Signature", "signed")
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "not zipped")
			return true
		})
		defer near.server.SetAnswer(nil)
		a, err := f.call(far, http.MethodPost, "/booking/encoded", "")
		assertStatus(t, a, err, http.StatusBadGateway)
	})
}

// Guards against requests to a server that must get none: one that has announced that
// it is leaving, also after its node has restarted, one that is not the node's own, and
// one that has ended.
func TestDiscovery(t *testing.T) {
	f, near, far := newPair(t)
	t.Run("a leaving server gets no requests after the drain time", func(t *testing.T) {
		far.sendHeartbeat(t, "draining")
		time.Sleep(far.cfg.Drain.Std())
		before := len(far.server.Runs())
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertRefusal(t, a, err)
		if len(far.server.Runs()) != before {
			t.Fatal("the server got a request")
		}
	})
	t.Run("also not after its node has restarted", func(t *testing.T) {
		f.kill(far)
		f.start(far)
		f.eventually("the node accepts a heartbeat", func() bool {
			status, err := far.server.SendHeartbeat(far.cfg.Listen.Control, "ready")
			return err == nil && status == http.StatusOK
		})
		time.Sleep(500 * time.Millisecond)
		before := len(far.server.Runs())
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertRefusal(t, a, err)
		if len(far.server.Runs()) != before {
			t.Fatal("the server got a request")
		}
	})
	t.Run("a forged heartbeat is refused", func(t *testing.T) {
		foreign := platformtest.NewServer(t, "bookings", "i-forged", 1000)
		status, err := foreign.SendHeartbeat(near.cfg.Listen.Control, "ready")
		if err != nil || status != http.StatusBadRequest {
			t.Fatalf("status %d, error %v, want status 400", status, err)
		}
		f.waitServed(far, "/booking/1")
	})
	t.Run("calls to a server that has ended are refused at once", func(t *testing.T) {
		near.server.Close()
		started := time.Now()
		f.eventually("calls are refused", func() bool {
			a, err := f.call(far, http.MethodPost, "/booking/1", "")
			return err == nil && a.status == http.StatusServiceUnavailable
		})
		if took := time.Since(started); took > time.Second {
			t.Fatalf("refused after %s, want within 1s", took)
		}
	})
}

// Guards against nodes that keep or return to an old configuration. Versions are
// written out of order, in an unreadable form, after the store has discarded its
// history, and while a watch hangs. Also guards against too many calls to a store that
// refuses them.
func TestVersions(t *testing.T) {
	f, near, far := newPair(t)
	moved := routes()
	moved[0].Prefix = "/moved/"
	t.Run("a version is applied at all nodes", func(t *testing.T) {
		f.configure(5, moved)
		f.waitServed(near, "/moved/1")
		f.waitServed(far, "/moved/1")
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertStatus(t, a, err, http.StatusNotFound)
	})
	t.Run("an older version is not applied", func(t *testing.T) {
		f.configure(4, routes())
		time.Sleep(1500 * time.Millisecond)
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertStatus(t, a, err, http.StatusNotFound)
	})
	t.Run("an unreadable version is skipped and the next one is applied", func(t *testing.T) {
		f.store.Put("config", "main", []byte(`{"version":"00000006","routes":{"columns":["name"],"rows":[["x"]]}}`))
		f.configure(7, routes())
		f.waitServed(near, "/stock/1")
	})
	t.Run("the store has compacted its history", func(t *testing.T) {
		f.store.DiscardHistory()
		f.configure(8, moved)
		f.waitServed(near, "/moved/1")
	})
	t.Run("a watch that hangs is canceled", func(t *testing.T) {
		f.store.SetSilent(true)
		time.Sleep(2500 * time.Millisecond)
		f.configure(9, routes())
		f.store.SetSilent(false)
		f.waitServed(near, "/stock/1")
		f.waitServed(far, "/stock/1")
	})
	t.Run("nodes limit their calls while the store refuses them", func(t *testing.T) {
		f.store.SetRefusing(true)
		defer f.store.SetRefusing(false)
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertStatus(t, a, err, http.StatusOK)
		before := f.store.Calls()
		time.Sleep(3 * time.Second)
		if n := f.store.Calls() - before; n > 40 {
			t.Fatalf("two nodes made %d calls in 3 s to a store that refuses, want at most 40", n)
		}
	})
}

// A node without access to the store fetches a new version from one other node at a
// time. Every node answers a broadcast with its version, so without that limit a
// broadcast would fetch the document from all of them.
func TestSingleVersionFetch(t *testing.T) {
	f := newFleet(t)
	for range 6 {
		f.add("a", "availability", 4).sendHeartbeat(t, "ready")
	}
	cutOff := f.add("a", "bookings", 4)
	for _, m := range f.nodes {
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == len(f.nodes) })
	}
	f.waitServed(cutOff, "/stock/1")
	cutOff.node.DisconnectStore()
	f.eventually("the watch has ended", func() bool { return cutOff.lines.Totals()["storeLost"] > 0 })
	asked := func() uint64 { return cutOff.lines.Totals()["versionAsked"] + cutOff.lines.Totals()["changesAsked"] }
	// The first version may have come from another node as well.
	before := asked()
	moved := routes()
	moved[0].Prefix = "/moved/"
	f.configure(2, moved)
	f.waitServed(f.nodes[0], "/moved/1")
	cutOff.sendHeartbeat(t, "ready")
	f.waitServed(cutOff, "/moved/1")
	if n := asked() - before; n != 1 {
		t.Fatalf("the node fetched the version %d times, want once", n)
	}
}

// Guards against a graceful shutdown that cuts off the request in flight, that refuses
// callers before they can notice it, or that other nodes do not notice at once afterwards.
func TestStop(t *testing.T) {
	f, near, far := newPair(t)
	far.server.SetRunTime(300 * time.Millisecond)
	var group errgroup.Group
	group.Go(func() error {
		a, err := f.call(near, http.MethodGet, "/stock/slow", "")
		if err != nil || a.status != http.StatusOK {
			t.Errorf("cut off: %+v, error %v", a, err)
		}
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	other := f.add("b", "availability", 4)
	other.sendHeartbeat(t, "ready")
	f.eventually("the other server is used", func() bool {
		_, _ = f.call(near, http.MethodGet, "/stock/1", "")
		return len(other.server.Runs()) > 0
	})
	group.Go(func() error { return f.stop(far) })
	time.Sleep(100 * time.Millisecond)
	t.Run("callers are served until they have noticed", func(t *testing.T) {
		a, err := f.call(far, http.MethodPost, "/booking/1", "")
		assertStatus(t, a, err, http.StatusOK)
	})
	t.Run("the readiness check fails", func(t *testing.T) { f.assertNotReady(far) })
	f.assertNotReady(far)
	time.Sleep(100 * time.Millisecond)
	t.Run("the other node sends to another server at once", func(t *testing.T) {
		before := len(far.server.Runs())
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertStatus(t, a, err, http.StatusOK)
		if len(far.server.Runs()) != before {
			t.Fatal("the server got a request")
		}
	})
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// assertNotReady makes a readiness check of a node and fails the test if it succeeds.
func (f *fleet) assertNotReady(m *member) {
	f.t.Helper()
	answer, err := http.Get("http://" + m.cfg.Listen.Ready.String() + "/ready")
	if err != nil {
		f.t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		f.t.Fatalf("the readiness check got status %d, want 503", answer.StatusCode)
	}
}

// The node of a service's only server is restarted at the peak. Guards against a server that
// is idle while its node waits until its callers have noticed.
func TestServerOfStoppingNode(t *testing.T) {
	f, near, far := newPair(t)
	var group errgroup.Group
	group.Go(func() error { return f.stop(far) })
	time.Sleep(100 * time.Millisecond)
	for range 10 {
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertStatus(t, a, err, http.StatusOK)
	}
	f.assertNotReady(far)
	f.assertNotReady(far)
	f.eventually("no more requests are sent", func() bool {
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		return err == nil && a.status == http.StatusServiceUnavailable
	})
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that cuts off requests. The node of a service's only server
// is stopped under load. The server stays and the other nodes keep sending to it, so
// requests arrive throughout the shutdown.
func TestStopUnderLoad(t *testing.T) {
	const callers = 6
	f, near, far := newPair(t)
	far.server.SetRunTime(40 * time.Millisecond)
	ended := make(chan struct{})
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for {
				select {
				case <-ended:
					return nil
				default:
				}
				// With a long deadline a request ends only by its answer or by the shutdown.
				a, err := f.callWith(context.Background(), near, http.MethodGet, "/stock/1", "", http.Header{"Deadline-Ms": {"10000"}})
				if err != nil || a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					t.Errorf("cut off: %+v, error %v", a, err)
					return nil
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.stop(far); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
	close(ended)
	_ = group.Wait()
}

// A request that crashes every server that runs it is sent repeatedly, along with
// others. It must be quarantined, and the others served.
func TestCrashingRequest(t *testing.T) {
	// minCrashes is the number of servers that must crash before a request is
	// quarantined. The test allows one more.
	const minCrashes = 2
	f := newFleet(t)
	near := f.add("a", "bookings", 4)
	near.sendHeartbeat(t, "ready")
	var servers []*member
	for range 4 {
		m := f.addCrashing("b")
		m.sendHeartbeat(t, "ready")
		servers = append(servers, m)
	}
	for _, m := range f.nodes {
		// A crash is reported only to known nodes.
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == len(f.nodes) })
	}
	f.waitServed(near, "/stock/1")
	runs := func() int { return poisonRuns(servers...) }
	f.eventually("the crashing request is refused as not run", func() bool {
		a, err := f.call(near, http.MethodGet, poison, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range servers {
			// A crash is detected and reported within a few tenths of a second. The
			// next request is sent after that.
			f.eventually("each crash is known", func() bool { return m.lines.Totals()["serverCrashed"] >= uint64(runs()) })
		}
		f.waitServed(near, "/stock/1")
		for _, m := range servers {
			if m.lines.Totals()["requestQuarantined"] == 0 {
				return false
			}
		}
		return a.status == http.StatusServiceUnavailable
	})
	if n := runs(); n > minCrashes+1 {
		t.Fatalf("%d servers crashed before the quarantine, want at most 3", n)
	}
	before := runs()
	for range 10 {
		a, err := f.call(near, http.MethodGet, poison, "")
		assertRefusal(t, a, err)
	}
	if n := runs() - before; n > 0 {
		t.Fatalf("%d servers crashed after the quarantine, want none", n)
	}
	f.waitServed(near, "/stock/1")
}

// Guards against a node that does not end while the store gives no answer. The server is
// leaving, so the node is trying to store its entry.
func TestStopWithoutStore(t *testing.T) {
	f, _, far := newPair(t)
	f.store.SetSilent(true)
	defer f.store.SetSilent(false)
	status, err := far.server.SendHeartbeat(far.cfg.Listen.Control, "draining")
	if err != nil || status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, error %v, want 503: only this process knows that the server is leaving", status, err)
	}
	started := time.Now()
	f.kill(far)
	if took := time.Since(started); took > time.Second {
		t.Fatalf("the node ended after %s, want within 1s", took)
	}
}

// A process that starts while the store is unavailable must be found by the nodes
// that knew its predecessor.
func TestStartWithoutStore(t *testing.T) {
	f, near, far := newPair(t)
	for range 4 {
		f.add("a", "bookings", 4).sendHeartbeat(t, "ready")
	}
	f.eventually("all nodes are known", func() bool { return far.node.NodeCount() == len(f.nodes) && near.node.NodeCount() == len(f.nodes) })
	f.store.SetSilent(true)
	defer f.store.SetSilent(false)
	if err := f.stop(far); err != nil {
		t.Fatal(err)
	}
	f.start(far)
	far.sendHeartbeat(t, "ready")
	started := time.Now()
	f.eventually("the node has a configuration and knows all nodes", func() bool {
		a, err := f.call(far, http.MethodPost, "/booking/1", "")
		return err == nil && a.status == http.StatusOK && far.node.NodeCount() == len(f.nodes)
	})
	f.waitServed(near, "/stock/1")
	if took := time.Since(started); took > 2*time.Second {
		t.Fatalf("the other nodes found the new process after %s, want within 2s", took)
	}
}

// fullListener forwards the first connections to a target and never answers later
// ones, like an instance whose processor or link is overloaded.
func fullListener(t *testing.T, target netip.AddrPort, first int) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	var open []net.Conn
	var mu sync.Mutex
	keep := func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		open = append(open, c)
	}
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		_ = group.Wait()
	})
	group.Go(func() error {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			keep(c)
			if n >= first {
				continue
			}
			to, err := net.Dial("tcp", target.String())
			if err != nil {
				return err
			}
			keep(to)
			group.Go(func() error { _, _ = io.Copy(to, c); return nil })
			group.Go(func() error { _, _ = io.Copy(c, to); return nil })
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// A node that fails a probe because it is busy, but still answers other requests,
// must not have its running requests canceled.
func TestBusyNodeIsNotGivenUp(t *testing.T) {
	const slow, connections = 700 * time.Millisecond, 2
	f := newFleet(t)
	near := f.add("a", "bookings", 4)
	far := f.add("b", "availability", 4)
	f.kill(far)
	busy := fullListener(t, far.cfg.Listen.Call, connections)
	far.cfg.Announce.Call = &busy
	f.start(far)
	near.sendHeartbeat(t, "ready")
	far.sendHeartbeat(t, "ready")
	f.waitServed(near, "/stock/1")
	far.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/stock/slow" {
			time.Sleep(slow)
		}
		return false
	})
	var group errgroup.Group
	group.Go(func() error {
		a, err := f.call(near, http.MethodGet, "/stock/slow", "")
		if err != nil || a.status != http.StatusOK {
			t.Errorf("canceled: %+v, error %v", a, err)
		}
		return nil
	})
	time.Sleep(20 * time.Millisecond)
	for started := time.Now(); time.Since(started) < slow; time.Sleep(20 * time.Millisecond) {
		a, err := f.call(near, http.MethodGet, "/stock/fast", "")
		assertStatus(t, a, err, http.StatusOK)
	}
	_ = group.Wait()
}

// Guards against a caller's deadline that overrides the shorter time limit of the route.
func TestRouteTime(t *testing.T) {
	const routeTime, slack = time.Second, 300 * time.Millisecond
	f, near, far := newPair(t)
	far.server.SetRunTime(3 * time.Second)
	started := time.Now()
	a, err := f.callWith(context.Background(), near, http.MethodGet, "/stock/1", "", http.Header{"Deadline-Ms": {"5000"}})
	assertStatus(t, a, err, http.StatusGatewayTimeout)
	if took := time.Since(started); took > routeTime+slack {
		t.Fatalf("answered after %s, want within the route's limit of 1s and 300ms", took)
	}
}

// Two nodes of a zone watch the store for all of it. When both end at once, the
// others must still get new versions.
func TestWatchingNodes(t *testing.T) {
	const applyTime = 2 * time.Second
	f := newFleet(t)
	for range 6 {
		f.add("a", "availability", 4).sendHeartbeat(t, "ready")
	}
	watching := func() (nodes []*member) {
		for _, m := range f.nodes {
			if !m.stopped && m.node.IsWatching() {
				nodes = append(nodes, m)
			}
		}
		return nodes
	}
	f.eventually("two nodes watch", func() bool { return len(watching()) == 2 })
	assertInForce := func(t *testing.T, uri string) {
		t.Helper()
		started := time.Now()
		for _, m := range f.nodes {
			if !m.stopped {
				f.waitServed(m, uri)
			}
		}
		if took := time.Since(started); took > applyTime {
			t.Fatalf("the version was applied after %s, want within 2s", took)
		}
	}
	moved := routes()
	moved[0].Prefix = "/moved/"
	t.Run("the other nodes get a new version", func(t *testing.T) {
		f.configure(2, moved)
		assertInForce(t, "/moved/1")
	})
	t.Run("both watching nodes end", func(t *testing.T) {
		for _, m := range watching() {
			f.kill(m)
		}
		f.configure(3, routes())
		assertInForce(t, "/stock/1")
	})
	t.Run("two other nodes watch in their place", func(t *testing.T) {
		f.eventually("two nodes watch", func() bool { return len(watching()) >= 2 })
	})
}

// Guards against versions that are applied late because copies of the store are seconds
// behind: the nodes took a copy without a newer version as proof that there is none.
func TestVersionsWhileCopiesLag(t *testing.T) {
	const (
		applyTime = 2 * time.Second
		copyLag   = 3 * time.Second
		// storeDelay is the time for a document of 200 KB over a link of 7 Mbit/s.
		storeDelay = 230 * time.Millisecond
		burst      = 15
		gap        = 200 * time.Millisecond
	)
	f := newFleet(t)
	for range 6 {
		f.add("a", "availability", 4).sendHeartbeat(t, "ready")
	}
	for _, m := range f.nodes {
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == len(f.nodes) })
		f.waitServed(m, "/stock/1")
	}
	f.store.SetCopyLag(copyLag)
	f.store.SetDelay(storeDelay)
	version := 1
	configure := func(prefix string) time.Time {
		version++
		list := routes()
		list[0].Prefix = prefix
		f.configure(version, list)
		return time.Now()
	}
	assertInForce := func(t *testing.T, written time.Time, uri string) {
		t.Helper()
		for _, m := range f.nodes {
			f.waitServed(m, uri)
			if took := time.Since(written); took > applyTime {
				t.Errorf("%s applied the version %s after it was written, want at most %s", m.cfg.Node, took, applyTime)
			}
		}
	}
	t.Run("one version", func(t *testing.T) {
		assertInForce(t, configure("/moved/"), "/moved/1")
	})
	t.Run("versions in quick succession", func(t *testing.T) {
		for i := range burst {
			configure(fmt.Sprintf("/moved-%d/", i))
			time.Sleep(gap)
		}
		assertInForce(t, configure("/last/"), "/last/1")
	})
	t.Run("a version soon after another", func(t *testing.T) {
		configure("/other/")
		f.waitServed(f.nodes[0], "/other/1")
		time.Sleep(gap)
		assertInForce(t, configure("/final/"), "/final/1")
	})
}

// A node that receives an announcement of a version that does not exist must look for it
// then, and not again with each comparison of rosters.
func TestNonexistentVersion(t *testing.T) {
	const fetchAttempts = 3
	f, near, far := newPair(t)
	key := secret.New(near.cfg.PeerKey)
	endpoint, err := peer.Listen(freeAddr(t), key, &peer.Mux{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = endpoint.Close() }()
	// Without a version yet, the node may have asked the other one for the first.
	before, changesBefore := near.lines.Totals()["versionAsked"], near.lines.Totals()["changesAsked"]
	asked := func() uint64 { return near.lines.Totals()["versionAsked"] - before }
	news := messages.News{Node: far.cfg.Node, Version: 1000}
	if _, err := peer.Call[messages.Told](t.Context(), endpoint, near.cfg.Listen.Peer, "rosterNews", news); err != nil {
		t.Fatal(err)
	}
	f.eventually("the version was requested", func() bool { return asked() == fetchAttempts })
	time.Sleep(4 * time.Second)
	if n := asked(); n > fetchAttempts {
		t.Fatalf("the version was requested %d times, want 3", n)
	}
	if n := near.lines.Totals()["changesAsked"] - changesBefore; n > fetchAttempts {
		t.Fatalf("the changes to the version were requested %d times, want at most 3", n)
	}
}

// Guards against a changed drain time that takes effect only after a restart, and
// against another change that is not reported to need one.
func TestReload(t *testing.T) {
	f, near, far := newPair(t)
	cfg := far.cfg
	cfg.Drain = units.Duration(400 * time.Millisecond)
	if far.node.Reload(cfg) {
		t.Fatal("Reload returned true for a changed drain time")
	}
	t.Run("a leaving server gets no requests after the new drain time", func(t *testing.T) {
		far.sendHeartbeat(t, "draining")
		time.Sleep(cfg.Drain.Std())
		a, err := f.call(near, http.MethodGet, "/stock/1", "")
		assertRefusal(t, a, err)
	})
	t.Run("another address needs a restart", func(t *testing.T) {
		cfg.Listen.Caller = freeAddr(t)
		if !far.node.Reload(cfg) {
			t.Fatal("Reload returned false for a changed address")
		}
	})
}

// Guards against nodes that do not find each other for seconds. Two nodes start at once,
// so that neither may be in the store yet when the other first lists it.
func TestStartTogether(t *testing.T) {
	const storeDelay, limit = 60 * time.Millisecond, time.Second
	f := newFleet(t)
	first := f.add("a", "bookings", 4)
	first.sendHeartbeat(t, "ready")
	f.eventually("the first node is in the store", func() bool { return len(f.store.Names("lavenderdeal-nodes")) == 1 })
	f.store.SetDelay(storeDelay)
	for range 2 {
		f.add("b", "availability", 4).sendHeartbeat(t, "ready")
	}
	started := time.Now()
	for _, m := range f.nodes {
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == len(f.nodes) })
	}
	if took := time.Since(started); took > limit {
		t.Fatalf("all nodes were known after %s, want within 1s", took)
	}
}

// Guards against a server that works on for a caller that has gone. The request passes
// through two nodes, and both must cancel it.
func TestCallerLeaves(t *testing.T) {
	f, near, far := newPair(t)
	ended := make(chan time.Time, 1)
	far.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		ended <- time.Now()
		panic(http.ErrAbortHandler)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		_, _ = f.callWith(ctx, near, http.MethodGet, "/stock/1", "", nil)
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	cancel()
	left := time.Now()
	_ = group.Wait()
	select {
	case at := <-ended:
		if took := at.Sub(left); took > 300*time.Millisecond {
			t.Fatalf("the server worked on for %s, want at most 300ms", took)
		}
	case <-time.After(time.Second):
		t.Fatal("the request to the server was not canceled")
	}
}

// BenchmarkRequest measures a request that is forwarded to another node.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b)
	near := f.add("a", "bookings", 64)
	far := f.add("b", "availability", 64)
	for _, m := range []*member{near, far} {
		if status, err := m.server.SendHeartbeat(m.cfg.Listen.Control, "ready"); err != nil || status != http.StatusOK {
			b.Fatal(status, err)
		}
	}
	f.waitServed(near, "/stock/1")
	client := &http.Client{}
	b.ResetTimer()
	for i := range b.N {
		r, err := http.NewRequest(http.MethodGet, "http://"+near.cfg.Listen.Caller.String()+"/stock/1", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "depot.example"
		r.Header.Set("Request-Id", fmt.Sprintf("b%d", i))
		r.Header.Set("Deadline-Ms", "900")
		answer, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// Guards against metrics that are missing from the node's metrics endpoint or have wrong
// names or labels.
func TestMetrics(t *testing.T) {
	_, near, _ := newPair(t)
	raw, err := http.Get("http://" + near.cfg.Listen.Metrics.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Body.Close()
	text, err := io.ReadAll(raw.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`lavenderdeal_requests_total{service="availability",kind="idempotent",rank="0",inner="false",outcome="served"}`,
		"lavenderdeal_server_slots 4", "lavenderdeal_version 1", "lavenderdeal_nodes 2", `lavenderdeal_log_lines_total{kind="versionInForce"} 1`,
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}
