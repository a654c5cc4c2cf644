// Package mesh implements a node of the service mesh: a sidecar proxy that runs beside
// each backend server on the users' platform. It forwards the requests of local callers
// to backend servers, and all requests to its own backend server pass through it.
//
// # Components
//
//	caller ──▶ proxy ──▶ local ──▶ backend server      on the same instance
//	             └─────▶ proxy (inbound) ──▶ local     on another instance
//	versions: the operators' configuration, from the platform's object store and from
//	          other nodes
//	members:  the state of each node and its server, sent directly between nodes
//	meter:    the node's metrics
//
// # Lifecycle
//
//	n, err := mesh.Start(cfg, log)
//	<-ctx.Done()
//	err = n.Stop()
package mesh

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/heartbeats"
	"lavenderdeal/core/quarantine"
	"lavenderdeal/core/quotahome"
	"lavenderdeal/core/retrybudget"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/fresh"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/meter"
	"lavenderdeal/internal/mesh/proxy"
	"lavenderdeal/internal/mesh/quota"
	"lavenderdeal/internal/mesh/rollouts"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/store"
	"lavenderdeal/io/view"
	"lavenderdeal/platform"
	settings "lavenderdeal/schema/meshsettings"
	messages "lavenderdeal/schema/roster"
)

const (
	// minNotReadyResponses is the number of failed readiness checks after which the
	// platform's clients send nothing more to the node.
	minNotReadyResponses = 2
	// maxReadinessWait bounds the wait of a stopping node for these checks, which the
	// platform makes once a second.
	maxReadinessWait = 2800 * time.Millisecond
	// readinessWaitDivisor limits that wait to half of the remaining grace period, so
	// that accepted requests have the other half.
	readinessWaitDivisor = 2
	// announceTime is the last part of that wait, in which the other nodes learn that the
	// node is stopping. Until then the server gets requests from them.
	announceTime = 250 * time.Millisecond
	// quietTime is the time without a request in flight after which a stopping node
	// exits.
	quietTime = 100 * time.Millisecond
	// withdrawTime is the last part of the time for requests in flight. In it, those
	// that no server works on are refused, which may take a call to another node.
	withdrawTime = 400 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for closing
	// listeners and flushing the log.
	graceMargin = 500 * time.Millisecond
	// linkMbitPerTransfer is the link bandwidth, in megabits per second, for each long
	// body that may be received at once. Few bodies at once over a slow link leave
	// room for the packets of short requests.
	linkMbitPerTransfer = 50
	// maxLinkMbit bounds the bandwidth from which the number of long bodies is computed.
	maxLinkMbit = 1e6
	// uplinkShare is the part of the link that answers may use.
	uplinkShare = 0.9
	// minTransfers is two, so that one slow sender does not block all others.
	minTransfers = 2
	// serverIdleTimeout is how long the node's HTTP servers keep idle connections. It
	// is longer than other nodes keep them, so that a request does not meet a
	// connection that is being closed.
	serverIdleTimeout = 2 * time.Minute
	// peerIdleTimeout is how long the node keeps unused connections for control messages. A
	// change of its state goes to all other nodes, the comparisons to one at a time.
	peerIdleTimeout = 5 * time.Second
	// controlTimeout bounds the time in which a heartbeat, a readiness check or a request for
	// metrics arrives, and the time for its answer.
	controlTimeout = 5 * time.Second
	// acknowledgeTimeout bounds the wait until the store holds that the server is leaving.
	// The server takes an answer within a second for an acknowledgement.
	acknowledgeTimeout = 800 * time.Millisecond
	// confirmInterval is the time until the first health check of a server for which the
	// store has not been read yet, which usually takes milliseconds. The time between
	// checks doubles up to maxConfirmInterval.
	confirmInterval    = 200 * time.Millisecond
	maxConfirmInterval = 2 * time.Second
	// catchUpTimeout bounds the time until the server takes requests although no other node
	// has told what it knows of crashes. Each node compares its roster once a second.
	catchUpTimeout = 1500 * time.Millisecond
	// maxHeartbeatBytes bounds the body of a heartbeat.
	maxHeartbeatBytes = 64 << 10
	// bodyMemoryDivisor is the part of the node's memory that unfinished bodies of answers
	// from one kind of sender may take.
	bodyMemoryDivisor = 6
	// requestMemoryDivisor is the part of the node's memory that the bodies of requests may
	// take, those of callers and of other nodes together.
	requestMemoryDivisor = 4
	// The shares of the process's descriptors for the connections of callers, of other nodes and
	// on each other listener, in thirty-seconds. The rest is for files and for connections that
	// the node opens.
	callerShare, callShare, smallShare = 16, 8, 1
	// shutdownTimeout bounds the wait for requests that arrive while the listeners
	// close.
	shutdownTimeout = 200 * time.Millisecond
	// logFlushTimeout bounds the wait for the last log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// The sources that say that the server takes requests, for the log.
const (
	confirmedByStore  = "store"
	confirmedByServer = "healthCheck"
)

// Node is a running node. Lock order: mu is taken before the locks of the components.
type Node struct {
	// mu guards cfg after Start, and servers during it.
	mu  sync.Mutex
	cfg settings.Settings

	log      *jsonlog.Log
	proxy    *proxy.Proxy
	local    *local.Server
	members  *members.Members
	monitor  *crashes.Monitor
	versions *versions.Follower
	// quota keeps the limits of client accounts. It is nil without settings for it.
	quota *quota.Quota
	// fresh knows whether API keys may be accepted. It is nil without settings for it.
	fresh *fresh.Keeper
	store *store.Client
	// rollouts is nil unless the settings have bounds for them.
	rollouts   *rollouts.Rollouts
	serverPool *http1.Pool
	endpoint   *peer.Endpoint
	// clientMemory bounds what the heads and connections of all clients take.
	clientMemory *httpserver.Memory
	servers      []*httpserver.Server
	meter        meter.Meter
	// recovered is set once the store has shown what earlier processes of this node have left
	// there, and caughtUp once other nodes were asked for crashes.
	recovered, caughtUp atomic.Bool
	// stopping is set when Stop was called, and notReadyResponses counts the failed
	// readiness checks since then.
	stopping atomic.Bool
	// withdrawn is set when a stopping node has no more use for requests of other nodes.
	withdrawn         atomic.Bool
	notReadyResponses atomic.Int64

	cancel context.CancelFunc
	group  errgroup.Group
}

// Start starts a node, which runs until Stop or Kill is called. It returns an error if
// the node cannot listen on one of its addresses.
func Start(cfg settings.Settings, l *jsonlog.Log) (*Node, error) {
	n := &Node{
		cfg: cfg, log: l, clientMemory: httpserver.NewMemory(cfg.Memory),
		serverPool: http1.New(http1.WithBodyMemory(bodyMemory(cfg.Memory)), http1.WithReset()),
		store:      store.New(cfg.Store, store.WithEra(platform.ReadStoreEra)),
	}
	n.monitor = &crashes.Monitor{
		Server: cfg.Server, Notify: n.logCrashEvent, Node: func() string { return cfg.Node },
	}
	n.versions = versions.New(n.store, l, n.handleVersionEvent)
	n.members = members.New(messages.Entry{
		Node: cfg.Node, Epoch: int(time.Now().UnixMilli()), Zone: cfg.Zone, Service: cfg.Service,
		Call: advertisedAddr(cfg.Announce.Call, cfg.Listen.Call), Peer: advertisedAddr(cfg.Announce.Peer, cfg.Listen.Peer), State: messages.EntryStateWaiting,
	}, n.store, n.versions, l, members.WithEarlierEntry(n.handleEarlierEntry), members.WithRecovered(n.handleRecovered),
		members.WithUplink(func(ctx context.Context, bytes int, within time.Duration) bool {
			return n.proxy.AwaitUplink(ctx, bytes, within)
		}), members.WithEvidence(crashEvidence{monitor: n.monitor, service: cfg.Service}))
	n.monitor.PeerAddrs, n.monitor.OtherPeerAddrs = n.members.ServicePeers, n.members.OtherPeers
	beats := heartbeats.New(cfg.Service, cfg.Server, cfg.Drain.Std())
	beats.AwaitConfirmation()
	var localOpts []local.Option
	var opts []proxy.Option
	if r := cfg.Rollouts; r != nil {
		n.rollouts = rollouts.New(n.members, n.store, l,
			rollouts.WithShare(r.Share), rollouts.WithSlack(r.Slack), rollouts.WithRollback(r.Rollback.Std()),
			rollouts.WithWatching(n.versions.IsWatching), rollouts.WithServices(n.hasService),
			rollouts.WithRunning(func() int { return n.local.Load("").Running }),
		)
		localOpts = append(localOpts, local.WithTrial(n.rollouts))
		opts = append(opts, proxy.WithTrials(n.rollouts))
	}
	n.local = local.New(beats, n.serverPool, l, n.monitor, n.serverChanged, localOpts...)
	if a := cfg.Accounts; a != nil {
		n.quota = quota.New(cfg.Node, cfg.Zone, a.Zones, quotaBounds(*a), n.members, n.versions, l)
		opts = append(opts, proxy.WithQuota(n.quota))
	}
	if r := cfg.Revocation; r != nil {
		n.fresh = fresh.New(r.Within.Std(), n.members, n.versions, l)
		opts = append(opts, proxy.WithFreshness(n.fresh))
	}
	opts = append(opts,
		proxy.WithRetryBudget(budgetBound(cfg.Repeats)),
		proxy.WithMaxTransfers(max(minTransfers, int(min(cfg.Link, maxLinkMbit)/linkMbitPerTransfer))),
		proxy.WithUplink(uplinkBytes(cfg.Link)),
		proxy.WithMeter(&n.meter),
		proxy.WithBodyMemory(bodyMemory(cfg.Memory)),
		proxy.WithRequestMemory(int64(cfg.Memory)<<20/requestMemoryDivisor),
	)
	n.proxy = proxy.New(proxy.Self{Node: cfg.Node, Zone: cfg.Zone, Service: cfg.Service}, n.versions, n.members, n.local, l, opts...)
	n.registerMetrics()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		n.close()
		return nil, err
	}
	n.group.Go(func() error { return n.versions.Run(ctx) })
	n.group.Go(func() error { return n.members.Run(ctx, n.endpoint) })
	n.group.Go(func() error { return n.monitor.Run(ctx) })
	if n.quota != nil {
		n.group.Go(func() error { return n.quota.Run(ctx, n.endpoint) })
	}
	if n.fresh != nil {
		n.group.Go(func() error { return n.fresh.Run(ctx, n.endpoint) })
	}
	n.group.Go(func() error { return n.catchUp(ctx) })
	n.group.Go(func() error { return n.confirmServer(ctx) })
	if n.rollouts != nil {
		n.group.Go(func() error { return n.rollouts.Run(ctx, n.endpoint) })
	}
	return n, nil
}

// quotaBounds returns the bounds on the limits of client accounts.
func quotaBounds(a settings.Accounts) quotahome.Bounds {
	return quotahome.Bounds{Window: a.Window.Std(), Overshoot: a.Overshoot, Slack: a.Slack, Zones: len(a.Zones)}
}

// hasService reports whether the configuration has a service, or is not known.
func (n *Node) hasService(name string) bool {
	table := n.versions.Table()
	if table == nil {
		return true
	}
	_, ok := table.Service(name)
	return ok
}

// bodyMemory returns the memory, in bytes, for unfinished bodies of answers on a node with
// a number of MiB. The server's answers and those of other nodes have as much each.
func bodyMemory(mib int) int64 { return int64(mib) << 20 / bodyMemoryDivisor }

// uplinkBytes returns the bytes per second that answers may use of a link with a number of
// megabits per second. The rest is for headers, requests and control messages.
func uplinkBytes(mbit float64) float64 { return uplinkShare * mbit * 1e6 / 8 }

// advertisedAddr returns the address that is sent to other nodes: addr, or the listen
// address if addr is nil.
func advertisedAddr(addr *netip.AddrPort, listen netip.AddrPort) netip.AddrPort {
	if addr == nil {
		return listen
	}
	return *addr
}

// listen starts to listen on all addresses of the node.
func (n *Node) listen() error {
	var mux peer.Mux
	n.members.Handle(&mux)
	n.monitor.Handle(&mux)
	if n.quota != nil {
		n.quota.Handle(&mux)
	}
	if n.fresh != nil {
		n.fresh.Handle(&mux)
	}
	if n.rollouts != nil {
		n.rollouts.Handle(&mux)
	}
	endpoint, err := peer.Listen(n.cfg.Listen.Peer, secret.New(n.cfg.PeerKey), &mux, peer.WithIdleTimeout(peerIdleTimeout))
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	n.endpoint, n.monitor.Endpoint = endpoint, endpoint
	// The proxy bounds the requests that it serves itself, by their own deadlines.
	short := httpserver.WithTimeouts(controlTimeout, controlTimeout)
	for _, l := range []struct {
		addr    netip.AddrPort
		handler http.Handler
		// share is the part of the descriptors, in thirty-seconds.
		share int
		opts  []httpserver.Option
	}{
		{n.cfg.Listen.Control, http.HandlerFunc(n.serveHeartbeat), smallShare, []httpserver.Option{short}},
		{n.cfg.Listen.Call, n.proxy.Inbound(), callShare, nil},
		{n.cfg.Listen.Caller, n.proxy, callerShare, []httpserver.Option{httpserver.WithIdleLimit(n.callerIdleLimit)}},
		{n.cfg.Listen.Ready, http.HandlerFunc(n.serveReady), smallShare, []httpserver.Option{short}},
		{n.cfg.Listen.Metrics, view.Handler(n.view, &n.meter), smallShare, []httpserver.Option{short}},
	} {
		limits := httpserver.Limits{
			Memory: n.clientMemory, Connections: n.clientMemory.Connections(l.share),
			EchoedHeader: platform.EchoedHeader, Notify: n.logRefusal,
		}
		switch l.addr {
		case n.cfg.Listen.Caller:
			limits.HeadBytes, limits.HeadTime = n.callerHeadBytes, n.callerHeadTime
		case n.cfg.Listen.Call:
			limits.RefusalHeader = callRefusal
		}
		opts := append([]httpserver.Option{httpserver.WithIdleTimeout(serverIdleTimeout), httpserver.WithLimits(limits)}, l.opts...)
		s, err := httpserver.Start(l.addr, l.handler, opts...)
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.servers = append(n.servers, s)
		n.mu.Unlock()
	}
	return nil
}

// callerIdleLimit returns the time after which the connection of a caller is closed that is
// idle: that of the configuration, if it names one.
func (n *Node) callerIdleLimit() time.Duration {
	table := n.versions.Table()
	if table == nil || table.Limits().IdleTime <= 0 {
		return serverIdleTimeout
	}
	return table.Limits().IdleTime
}

// callerHeadBytes and callerHeadTime return the configuration's limits on the head of a
// caller's request, or 0.
func (n *Node) callerHeadBytes() int {
	if table := n.versions.Table(); table != nil {
		return table.Limits().HeaderBytes
	}
	return 0
}

func (n *Node) callerHeadTime() time.Duration {
	if table := n.versions.Table(); table != nil {
		return table.Limits().HeaderTime
	}
	return 0
}

// callRefusal returns the header of the answer to another node's request that was not read.
func callRefusal(reason string) http.Header {
	h := http.Header{}
	hop.WriteResult(h, hop.Result{Verdict: hop.NotRun, Rule: reason})
	return h
}

// logRefusal logs a request that a listener refused, or a connection that it closed.
func (n *Node) logRefusal(r httpserver.Refusal) {
	n.log.WriteLimited("clientRefused", log.Fields{"reason": r.Reason, "client": r.Client, "headBytes": r.Head.Bytes, "headLines": r.Head.Lines})
}

// clientsRefused returns the numbers of heads refused and connections closed on all listeners,
// by reason.
func (n *Node) clientsRefused() map[string]uint64 {
	n.mu.Lock()
	servers := slices.Clone(n.servers)
	n.mu.Unlock()
	total := make(map[string]uint64)
	for _, s := range servers {
		for reason, count := range s.Refused() {
			total[reason] += count
		}
	}
	return total
}

// registerMetrics registers the metrics other than those of requests.
func (n *Node) registerMetrics() {
	running := func() float64 { return float64(n.local.Load("").Running) }
	queued := func() float64 { return float64(n.local.Load("").Queued) }
	slots := func() float64 { return float64(n.local.Load("").Limit) }
	n.meter.Gauge("server_running", "requests", "requests that run on the own server", running)
	n.meter.Gauge("server_queued", "requests", "requests that wait for a slot of the own server", queued)
	n.meter.Gauge("server_slots", "requests", "requests that the own server runs at once; 0 when it takes none", slots)
	n.meter.Gauge("server_rate_limit", "requests per second", "requests a second that the own server takes; 0 without a limit", n.local.RateLimit)
	n.meter.Gauge("server_failing", "parts of one", "recent requests that the own server failed", func() float64 { return n.local.Load("").FailureRate })
	n.meter.Gauge("server_inner_share", "parts of one", "slots of the own server that calls of running requests have taken of late", n.local.InnerShare)
	n.meter.Gauge("server_ejected_seconds", "seconds", "time until the own server gets requests again because it fails them", func() float64 { return n.local.EjectedFor().Seconds() })
	n.meter.Gauge("server_connections", "connections", "connections opened to the own server until now", func() float64 { return float64(n.serverPool.Dials()) })
	n.meter.Gauge("requests_in_flight", "requests", "requests of callers and of other nodes without an answer", func() float64 { return float64(n.proxy.InFlight()) })
	n.meter.Gauge("transfers_running", "bodies", "long bodies that are received from other nodes", func() float64 { running, _, _, _ := n.proxy.Transfers(); return float64(running) })
	n.meter.Gauge("transfers_queued", "bodies", "long bodies that wait to be received", func() float64 { _, queued, _, _ := n.proxy.Transfers(); return float64(queued) })
	n.meter.Gauge("transfers_slots", "bodies", "long bodies that are received at once", func() float64 { _, _, limit, _ := n.proxy.Transfers(); return float64(limit) })
	n.meter.Gauge("transfer_oldest_seconds", "seconds", "time for which the oldest long body has been received", func() float64 { _, _, _, oldest := n.proxy.Transfers(); return oldest.Seconds() })
	n.meter.Gauge("uplink_backlog_seconds", "seconds", "time until the link has sent the answers that were begun", func() float64 { return n.proxy.UplinkBacklog().Seconds() })
	n.meter.Gauge("body_bytes", "bytes", "memory of the bodies of requests beyond 64 KiB each", func() float64 { return float64(n.proxy.BodyBytes()) })
	n.meter.Gauge("head_bytes", "bytes", "memory of the heads of requests beyond 16 KiB each", func() float64 { return float64(n.clientMemory.HeadBytes()) })
	n.meter.Gauge("version", "versions", "version of the configuration in force", func() float64 { return float64(n.versions.Version()) })
	n.meter.Gauge("nodes", "nodes", "known nodes, this one included", func() float64 { return float64(n.members.Len()) })
	n.meter.Gauge("crashes_known", "crashes", "crashes of servers that count as evidence against requests", func() float64 { return float64(n.monitor.Evidence()) })
	n.meter.Gauge("requests_quarantined", "requests", "kinds of requests that are refused because they crash servers", func() float64 { return float64(len(n.monitor.Entries())) })
	if n.rollouts != nil {
		n.meter.Gauge("rollout_phase", "phases", "last order for the own service: 0 none, 1 trial, 2 cut-over, 3 completed, 4 rolled back, 5 withdrawn", n.rollouts.PhaseNumber)
		n.meter.Counters("rollout_trial_requests_total", "service", "requests of this node for servers on trial since the last order", n.rollouts.Requests)
		n.meter.Counters("rollouts_decided_total", "phase", "roll-outs that this node has decided", n.rollouts.Decided)
	}
	n.meter.Counters("senders_left_total", "stage", "requests whose caller or forwarding node has left before the answer", n.proxy.SendersLeft)
	if n.quota != nil {
		n.meter.Counters("limit_granted_total", "account", "requests of accounts with a limit that were let through", func() map[string]uint64 { granted, _, _ := n.quota.Counts(); return granted })
		n.meter.Counters("limit_refused_total", "account", "requests refused because the account has used up its limit", func() map[string]uint64 { _, refused, _ := n.quota.Counts(); return refused })
		n.meter.Counters("limit_unasked_total", "account", "requests let through without an answer of the account's home", func() map[string]uint64 { _, _, unasked := n.quota.Counts(); return unasked })
	}
	if n.fresh != nil {
		n.meter.Gauge("configuration_age_seconds", "seconds", "time since the version in force was known to be the newest; negative if that is not known", func() float64 { return n.fresh.Age().Seconds() })
	}
	n.meter.Counters("account_served_total", "account", "requests of accounts that a server answered", func() map[string]uint64 { return n.proxy.AccountOutcomes().Served })
	n.meter.Counters("account_refused_total", "account", "requests of accounts that were refused as not run", func() map[string]uint64 { return n.proxy.AccountOutcomes().Refused })
	n.meter.Counters("account_failed_total", "account", "requests of accounts that failed", func() map[string]uint64 { return n.proxy.AccountOutcomes().Failed })
	n.meter.Counters("account_floods_total", "account", "requests refused beyond the limit of an account while no slot was free", func() map[string]uint64 { return n.proxy.AccountOutcomes().Floods })
	n.meter.Counters("offers_total", "zone", "requests offered to nodes of the own zone and of others", n.proxy.Offers)
	n.meter.Counters("clients_refused_total", "reason", "heads of requests refused and connections closed for what clients sent", n.clientsRefused)
	n.meter.Counters("log_lines_total", "kind", "decisions by kind, logged or not", n.log.Totals)
}

// serveReady serves the platform's readiness check. It fails while the node has no
// configuration and once the node is stopping.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case n.stopping.Load():
		n.notReadyResponses.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	case n.versions.Table() == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveHeartbeat handles the heartbeats and leave messages of the local backend
// server.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		n.log.WriteLimited("beatUnreadable", log.Fields{"error": err})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case platform.IsHeartbeat(r.Method, r.URL.Path):
		var m heartbeats.Message
		m, err = platform.ReadHeartbeat(r.URL.Path, body)
		if err == nil {
			err = n.local.Heartbeat(m)
		} else {
			n.log.WriteLimited("beatUnreadable", log.Fields{"error": err})
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if m.Leaving && !n.awaitLeaveKept(r.Context(), m.ID) {
			http.Error(w, "the leaving is not stored", http.StatusServiceUnavailable)
			return
		}
	case platform.IsLeave(r.Method, r.URL.Path):
		id, err := platform.ReadLeave(r.URL.Path)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n.local.Leave(id)
		if !n.awaitLeaveKept(r.Context(), id) {
			http.Error(w, "the leaving is not stored", http.StatusServiceUnavailable)
			return
		}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := io.WriteString(w, "{}"); err != nil {
		n.log.WriteLimited("beatNotAnswered", log.Fields{"error": err})
	}
}

// awaitLeaveKept waits until the store holds that the server is leaving, and returns
// whether it does. The leaving must not be acknowledged before: when all processes end, a
// later one would take a late heartbeat of the server for that of a ready one. The server
// gets no more requests in any case. A server that another process of it has replaced
// needs no record, since its heartbeats are older than those of that process.
func (n *Node) awaitLeaveKept(ctx context.Context, server string) bool {
	if s := n.local.State(); (!s.Leaving || s.Instance != server) && n.local.WasReplaced(server) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	kept := n.members.AwaitKept(ctx, server)
	if !kept {
		n.log.WriteLimited("leaveNotAcknowledged", log.Fields{"server": server})
	}
	return kept
}

// confirmServer lets the server take requests while the store does not say whether it has
// announced to an earlier process that it is leaving, if the server itself says that it is
// healthy, as a leaving one does not. It returns nil once the server is confirmed.
func (n *Node) confirmServer(ctx context.Context) error {
	delay := confirmInterval
	for !n.local.IsConfirmed() && wait.For(ctx, delay) {
		table := n.versions.Table()
		if table == nil || n.local.State().Instance == "" || !n.caughtUp.Load() {
			delay = confirmInterval
			continue
		}
		service, ok := table.Service(n.cfg.Service)
		if ok && n.local.SaysHealthy(ctx, service.HealthPath) {
			n.local.Confirm(confirmedByServer)
			break
		}
		delay = min(2*delay, maxConfirmInterval)
	}
	return nil
}

// serverChanged sends the new state of the local server to the other nodes.
func (n *Node) serverChanged(s local.State) {
	n.members.Update(func(e *messages.Entry) {
		e.Server, e.Slots, e.Started = s.Instance, s.Slots, int(s.Started.UnixMilli())
		if n.rollouts != nil {
			e.SoftwareVersion = s.Version
		}
		switch {
		case s.Leaving:
			e.State = messages.EntryStateLeaving
		case n.withdrawn.Load():
			e.State = messages.EntryStateStopping
		case s.Ready:
			e.State = messages.EntryStateReady
		default:
			e.State = messages.EntryStateWaiting
		}
	})
}

// logCrashEvent logs an event of the crash monitor.
func (n *Node) logCrashEvent(e crashes.Event) {
	switch e := e.(type) {
	case crashes.Crashed:
		n.log.WriteLimited("serverCrashed", log.Fields{"peer": e.Node, "sequence": e.Sequence, "suspects": e.Suspects, "known": e.IsKnown, "evidence": n.monitor.Evidence()})
	case crashes.Quarantined:
		n.log.WriteLimited("requestQuarantined", log.Fields{
			"fingerprint": e.Entry.Fingerprint, "subject": e.Entry.Subject, "crashedAt": e.Entry.Servers,
			"answered": e.Entry.Answered, "until": e.Entry.Until,
		})
	case crashes.Learned:
		n.log.WriteLimited("crashesLearned", log.Fields{"from": e.From.String(), "crashes": e.Crashes, "quarantined": e.Quarantined})
	case crashes.Lifted:
		n.log.WriteLimited("quarantineLifted", log.Fields{"fingerprint": e.Fingerprint})
	case crashes.ReportFailed:
		n.log.WriteLimited("crashNotReported", log.Fields{"to": e.To.String(), "error": e.Cause})
	}
}

// handleEarlierEntry handles an entry that an earlier process of this node published.
// If its server was leaving, the server gets no more requests.
func (n *Node) handleEarlierEntry(e messages.Entry) {
	if e.State == messages.EntryStateLeaving && e.Server != "" {
		n.local.MarkLeft(e.Server, time.UnixMilli(int64(e.Started)))
	}
}

// handleVersionEvent handles an event of the version follower.
func (n *Node) handleVersionEvent(e versions.Event) {
	if r, ok := e.(versions.Read); ok && n.fresh != nil {
		n.fresh.Record(r.Version, r.At)
	}
	n.members.Notify(e)
}

// handleRecovered lets the server take requests, unless an earlier entry says that it is
// leaving, or the other nodes have not been asked for crashes yet.
func (n *Node) handleRecovered() {
	n.recovered.Store(true)
	n.confirmByStore()
}

func (n *Node) confirmByStore() {
	if n.recovered.Load() && n.caughtUp.Load() {
		n.local.Confirm(confirmedByStore)
	}
}

// catchUp gets what other nodes know of requests that crash servers, before the server takes
// any: an earlier process may have known them, and so do others. It returns nil.
func (n *Node) catchUp(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if wait.Until(limited, catchUpTimeout, n.members.IsDiscovered) {
		n.monitor.CatchUp(limited)
	}
	n.caughtUp.Store(true)
	n.confirmByStore()
	return nil
}

// crashEvidence is the evidence of a crash monitor as members compare it.
type crashEvidence struct {
	monitor *crashes.Monitor
	service string
}

func (c crashEvidence) Digests() (quarantined, crashes string) {
	d := c.monitor.Digest()
	return d.Fingerprints, d.Crashes
}

func (c crashEvidence) Compare(ctx context.Context, e messages.Entry, quarantined, crashes string) {
	d := quarantine.Digest{Fingerprints: quarantined, Crashes: crashes}
	c.monitor.Compare(ctx, e.Peer, d, e.Service == c.service)
}

// Stop shuts the node down gracefully. It announces by the readiness check and then to the
// other nodes that the node is stopping, keeps serving until callers have noticed,
// refuses later requests, waits for requests in flight and closes the node. Shortly before
// the end of the grace period it refuses the requests that no server works on. It returns
// an error if other requests were still in flight at the end; they are answered as failed.
func (n *Node) Stop() error {
	started := time.Now()
	n.mu.Lock()
	end := started.Add(n.cfg.Grace.Std() - graceMargin)
	n.mu.Unlock()
	n.stopping.Store(true)
	n.proxy.Drain(end)
	n.log.WriteLimited("stopping", log.Fields{"inFlight": n.proxy.InFlight()})
	ctx := context.Background()
	readinessWait := min(maxReadinessWait, time.Until(end)/readinessWaitDivisor)
	announceAfter := readinessWait - announceTime
	wait.Until(ctx, announceAfter, func() bool { return n.notReadyResponses.Load() >= minNotReadyResponses })
	n.withdrawn.Store(true)
	n.proxy.CloseForwarded()
	n.serverChanged(n.local.State())
	wait.For(ctx, announceTime)
	n.proxy.RefuseNew()
	lastBusy := time.Now()
	isQuiet := func() bool {
		now := time.Now()
		if n.proxy.InFlight() > 0 {
			lastBusy = now
		}
		return now.Sub(lastBusy) >= quietTime
	}
	if !wait.Until(ctx, time.Until(end)-withdrawTime, isQuiet) {
		n.log.WriteLimited("withdrawing", log.Fields{"inFlight": n.proxy.InFlight()})
		n.local.RefuseWaiting()
		n.proxy.Withdraw()
		wait.Until(ctx, time.Until(end), isQuiet)
	}
	left := n.proxy.InFlight()
	n.log.WriteLimited("stopped", log.Fields{"cutOff": left, "took": time.Since(started).String()})
	n.proxy.CutOff()
	n.shutdownServers()
	n.close()
	if left > 0 {
		return errors.Newf("%d requests were cut off", left)
	}
	return nil
}

// Reload applies the grace period, the drain time and the retry budget of cfg at
// once. It returns true if any other setting differs, which takes effect only after
// a restart.
func (n *Node) Reload(cfg settings.Settings) (needsRestart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.cfg
	old.Grace, old.Drain, old.Repeats = cfg.Grace, cfg.Drain, cfg.Repeats
	n.cfg = old
	n.local.SetDrain(cfg.Drain.Std())
	n.proxy.SetRetryBudget(budgetBound(cfg.Repeats))
	return !reflect.DeepEqual(cfg, old)
}

func budgetBound(r settings.Repeats) retrybudget.Bound {
	return retrybudget.Bound{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// shutdownServers closes the listeners and the idle connections.
func (n *Node) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group errgroup.Group
	for _, s := range n.servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		n.log.WriteLimited("connectionsOpen", log.Fields{"error": err})
	}
}

// NodeCount returns the number of known nodes, this one included.
func (n *Node) NodeCount() int { return n.members.Len() }

// Version returns the version of the configuration in force, or 0 if there is none.
func (n *Node) Version() uint64 { return n.versions.Version() }

// IsWatching reports whether the node watches the store for its zone.
func (n *Node) IsWatching() bool { return n.versions.IsWatching() }

// DisconnectStore cuts the node off from the store. It is for tests of partitions.
func (n *Node) DisconnectStore() { n.store.Disconnect() }

// Kill closes the node without a graceful shutdown. It is for tests of sudden exits.
func (n *Node) Kill() { n.close() }

func (n *Node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.endpoint != nil {
		_ = n.endpoint.Close()
	}
	_ = n.group.Wait()
	n.proxy.Close()
	n.serverPool.Close()
	n.store.Close()
}

// Flush writes the remaining log lines and closes the log. It waits for at most
// logFlushTimeout.
func (n *Node) Flush() { n.log.Close(logFlushTimeout) }
