// Package node assembles and runs a node: the process beside one backend server
// through which callers and other nodes reach that server.
//
// A node accepts calls on its caller port and sends each one to a backend server of
// the requested service: its own one, or that of another node through the call port
// of that node. It exchanges control messages with the other nodes on its peer port,
// and serves its status and commands on its operator port. The packages calls,
// membership, follow, homes and crashes implement the parts.
//
//	n, err := node.Start(cfg)
//	if err != nil {
//		return err
//	}
//	<-signals
//	err = n.Stop(ctx)
package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/calls"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/follow"
	"lavenderdeal/internal/homes"
	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/keyrecords"
	"lavenderdeal/internal/membership"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/secret"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/operator"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/peercall"
	"lavenderdeal/io/platform"
	"lavenderdeal/io/server"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/settings"
)

// Release is the release number of the program.
const Release = "0.1.0"

// ringCapacity is the number of explain records that a node keeps.
const ringCapacity = 1024

// defaultMemory is the memory, in MiB, by which the heads and connections of clients are bounded
// if the settings name none.
const defaultMemory = 256

// catchUpTimeout bounds the time for which a node that starts waits for what others know of
// crashes.
const catchUpTimeout = 1 * time.Second

// crashSyncInterval is the mean time between questions to other nodes for crashes that they
// have recorded.
const crashSyncInterval = 2 * time.Second

// The shares of the process's descriptors for the connections on each listener, in
// thirty-seconds. The rest is for files and for connections that the node opens.
const callerShare, callShare, operatorShare = 12, 6, 1

// Node is one running node.
type Node struct {
	cfg     settings.Settings
	log     log.Interface
	metrics *metrics.Set
	ring    *explain.Ring
	plans   inforce.Plans
	view    atomic.Pointer[fleet.View]

	endpoint *peer.Endpoint
	members  *membership.Loop
	follower *follow.Loop
	homes    *homes.Loop
	records  keyrecords.Store
	ingress  *calls.Ingress
	runner   *calls.Runner
	monitor  *crashes.Monitor
	closers  []func()

	peerOptions      []peer.Option
	transportOptions []httpclient.Option

	callerServer, callServer, operatorServer *httpserver.Server

	cancel context.CancelFunc
	group  errgroup.Group

	drainOnce sync.Once
	// draining is closed once Drain was called.
	draining chan struct{}
}

// Option configures a Node.
type Option func(*Node)

// WithLog sets the logger of the node.
func WithLog(l log.Interface) Option { return func(n *Node) { n.log = l } }

// WithDialer sets the dialer for connections to other nodes and to the platform.
func WithDialer(d peer.Dialer) Option {
	return func(n *Node) {
		n.peerOptions = []peer.Option{peer.WithDialer(d)}
		n.transportOptions = []httpclient.Option{httpclient.WithDialer(d)}
	}
}

// Start starts a node. It returns once the node listens, or an error if a listener
// could not be opened. The node refuses calls until it has a version of the plans.
func Start(cfg settings.Settings, opts ...Option) (*Node, error) {
	n := &Node{cfg: cfg, log: log.Log, metrics: metrics.New(), ring: explain.NewRing(ringCapacity), draining: make(chan struct{})}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	self := messages.Member{
		Id:          newID(),
		Zone:        cfg.Zone,
		Region:      cfg.Region,
		Service:     cfg.Service,
		Peer:        n.endpoint.Addr(),
		Call:        n.callServer.Addr(),
		Slots:       cfg.Server.Slots,
		Incarnation: 1,
		State:       messages.MemberStateStarting,
	}
	n.homes.Start(self)
	n.members.Start(self)
	n.group.Go(func() error { return n.members.Run(ctx) })
	n.group.Go(func() error { return n.follower.Run(ctx) })
	n.group.Go(func() error { return n.homes.Run(ctx) })
	n.group.Go(func() error { return n.monitor.Run(ctx) })
	n.group.Go(func() error { return n.becomeReady(ctx) })
	return n, nil
}

// listen creates the parts of the node and opens its listeners.
func (n *Node) listen() error {
	key := secret.New(n.cfg.PeerKey)
	platformClient := platform.New(n.cfg.Platform.Address,
		platform.WithToken(n.cfg.Platform.Token), platform.WithTimeout(n.cfg.Platform.Timeout.Std()),
		platform.WithTransport(n.transportOptions...))
	serverClient := server.New(n.cfg.Server.Address, n.cfg.Server.Connections)
	peerClient := peercall.New(key, n.transportOptions...)
	n.closers = append(n.closers, platformClient.Close, serverClient.Close, peerClient.Close)

	n.members = &membership.Loop{
		Plans:    &n.plans,
		View:     &n.view,
		Platform: platformClient,
		Ring:     n.ring,
		Metrics:  n.metrics,
		Log:      n.log,
		Seeds:    n.cfg.Peers,
	}
	n.follower = &follow.Loop{
		Plans:    &n.plans,
		View:     &n.view,
		Platform: platformClient,
		Ring:     n.ring,
		Metrics:  n.metrics,
		Log:      n.log,
	}
	n.homes = &homes.Loop{
		View:     &n.view,
		Platform: platformClient,
		Records:  &n.records,
		Ring:     n.ring,
		Metrics:  n.metrics,
		Log:      n.log,
	}
	var mux peer.Mux
	n.members.Handle(&mux)
	n.follower.Handle(&mux)
	n.homes.Handle(&mux)
	n.view.Store(&fleet.View{})
	n.monitor = &crashes.Monitor{
		Server: n.cfg.Server.Address, Notify: n.recordCrashEvent, PeerAddrs: n.peerAddrs, SyncInterval: crashSyncInterval,
		Node: func() string { return n.view.Load().Self().Id },
	}
	n.monitor.Handle(&mux)
	n.runner = calls.NewRunner(&n.plans, serverClient, n.cfg.Server.Slots, key, n.metrics,
		calls.WithFleet(&n.view), calls.WithHomes(n.homes, &n.records), calls.WithCrashMonitor(n.monitor))
	n.ingress = calls.NewIngress(&n.plans, &n.view, n.runner, peerClient, key, n.metrics, calls.WithRing(n.ring), calls.WithReadiness(n.follower))

	var err error
	clients := httpserver.NewMemory(cmp.Or(n.cfg.Memory, defaultMemory))
	n.metrics.Func("clientHeadBytes", func() any { return clients.HeadBytes() })
	limits := func(share int) httpserver.Option {
		l := httpserver.Limits{Memory: clients, Connections: clients.Connections(share), Notify: n.countRefusal}
		if share == callerShare {
			l.EchoedHeader, l.RefusalHeader = caller.HeaderRequestID, callerRefusal
		}
		return httpserver.WithLimits(l)
	}
	if n.callServer, err = httpserver.Start(n.cfg.Listen.Call, n.runner, limits(callShare)); err != nil {
		return err
	}
	if n.callerServer, err = httpserver.Start(n.cfg.Listen.Caller, n.ingress, limits(callerShare)); err != nil {
		return err
	}
	handler := &operator.Handler{
		Status: n.Status, Ring: n.ring, Metrics: n.metrics.Map(), Key: n.cfg.OperatorKey,
		Counters: n.metrics, Quarantine: n.monitor, Drainer: n,
	}
	if n.operatorServer, err = httpserver.Start(n.cfg.Listen.Operator, handler, limits(operatorShare)); err != nil {
		return err
	}
	if n.endpoint, err = peer.Listen(n.cfg.Listen.Peer, key, &mux, n.peerOptions...); err != nil {
		return err
	}
	n.members.Endpoint, n.follower.Endpoint = n.endpoint, n.endpoint
	n.metrics.Func("controlTraffic", func() any { return n.endpoint.Counts() })
	n.homes.Endpoint, n.monitor.Endpoint = n.endpoint, n.endpoint
	return nil
}

// callerRefusal returns the header of the answer to a call that was not read.
func callerRefusal(reason string) http.Header {
	return http.Header{caller.HeaderVerdict: {verdict.NotRun{}.String()}, caller.HeaderRule: {reason}}
}

// countRefusal counts a request that a listener refused, or a connection that it closed.
func (n *Node) countRefusal(r httpserver.Refusal) {
	n.metrics.Add("clientsRefused."+r.Reason, 1)
	n.log.WithFields(log.Fields{"reason": r.Reason, "client": r.Client, "headBytes": r.Head.Bytes, "headLines": r.Head.Lines}).Debug("clientRefused")
}

// becomeReady announces the node as ready once it has a version of the plans and knows the
// calls that crash servers.
func (n *Node) becomeReady(ctx context.Context) error {
	if _, err := n.plans.AtLeast(ctx, 1); err != nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
	n.monitor.CatchUp(limited)
	cancel()
	n.members.SetState(messages.MemberStateReady)
	return nil
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() settings.Listen {
	return settings.Listen{
		Caller:   n.callerServer.Addr(),
		Call:     n.callServer.Addr(),
		Peer:     n.endpoint.Addr(),
		Operator: n.operatorServer.Addr(),
	}
}

// Status returns the state of the node that the operator port serves.
func (n *Node) Status() operator.Status {
	view := n.view.Load()
	self := view.Self()
	status := operator.Status{
		ID: self.Id, Zone: self.Zone, Region: self.Region, Service: self.Service,
		State: string(self.State), Version: n.plans.Number(), Members: map[string]int{}, Release: Release,
		Reader: n.follower.IsReader(), Ejected: n.ingress.Ejected(), Quarantined: n.monitor.Entries(),
	}
	status.VersionSource, _ = n.follower.Ready()
	status.HomesEpoch, _, status.HomesConfirmed = n.homes.Status()
	status.HomesInForce = n.homes.InForce()
	for _, m := range view.Members() {
		status.Members[string(m.State)]++
	}
	return status
}

// ID returns the id of the node's process.
func (n *Node) ID() string { return n.view.Load().Self().Id }

// LiftQuarantine lets calls with the fingerprint run again on this node. It
// returns false if the fingerprint is not in quarantine.
func (n *Node) LiftQuarantine(fingerprint string) bool { return n.monitor.Lift(fingerprint) }

// Version returns the number of the version of the plans in force, or 0 if there is
// none.
func (n *Node) Version() uint64 { return n.plans.Number() }

// ControlTraffic returns the bytes of control messages sent to and received from
// other nodes, and the refused connections and messages, since the node started.
func (n *Node) ControlTraffic() peer.Counts { return n.endpoint.Counts() }

// Metrics returns the node's counters and histograms.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Drain closes the channel returned by [Node.Draining]. The program that runs the
// node is expected to call Stop then. A second call has no effect.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.draining) }) }

// Draining returns a channel that is closed once an operator has requested that the
// node leave.
func (n *Node) Draining() <-chan struct{} { return n.draining }

// Kill ends the node immediately and cuts off its calls, as a crash would. The other
// nodes are not told.
func (n *Node) Kill() { n.close() }

// close stops the listeners and goroutines and releases all resources.
func (n *Node) close() {
	if n.cancel != nil {
		n.cancel()
	}
	for _, s := range []*httpserver.Server{n.callerServer, n.callServer, n.operatorServer} {
		if s != nil {
			_ = s.Close()
		}
	}
	if n.endpoint != nil {
		_ = n.endpoint.Close()
	}
	_ = n.group.Wait()
	for _, c := range n.closers {
		c()
	}
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
