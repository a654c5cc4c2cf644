package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/platform/platformtest"
)

const (
	// drainPeriod is how long a draining backend server may still receive requests.
	drainPeriod = 2 * time.Second
	// gracePeriod is how long a node may take to exit after SIGTERM.
	gracePeriod = 6 * time.Second
	// heartbeatInterval is the time between two heartbeats of a backend server. It is
	// shorter than in production, so that a short run has many heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// readinessInterval is the platform's time between two readiness checks of a node.
	readinessInterval = 1 * time.Second
	// runTime is how long a backend server takes to run a request.
	runTime = 15 * time.Millisecond
	// slots is each backend server's limit on concurrent requests.
	slots = 8
	// basePort is one below the first port that each instance uses at its own IP address.
	basePort uint16 = 7600
)

// instance is a node, its backend server, and the proxies on the links between them
// and to the store and the other nodes.
type instance struct {
	name, zone, service string

	// storeProxy is the link to the store, callProxy and peerProxy are the links from
	// other nodes, and serverProxy is the link to the backend server.
	storeProxy, callProxy, peerProxy, serverProxy *proxy
	// The node listens at caller for callers, at control for the backend server's
	// heartbeats, and at ready for readiness checks.
	caller, control, ready netip.AddrPort
	// The node listens at listenCall and listenPeer for other nodes, which reach it through
	// callProxy and peerProxy, and at listenMetrics for metrics queries.
	listenCall, listenPeer, listenMetrics netip.AddrPort
	configPath                            string
	binary                                string
	log                                   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when process has exited.
	exited chan struct{}
	// server is the current backend server.
	server *platformtest.Server
	// starts counts the processes that were started.
	starts int
	// retired holds the earlier backend servers.
	retired []retiredServer
	// heartbeatsStopped is true while server drains or is down.
	heartbeatsStopped bool
}

// retiredServer is a backend server that was drained or crashed.
type retiredServer struct {
	server *platformtest.Server
	// acked is when its node acknowledged that it drains. It is zero when the node did not.
	acked time.Time
}

// fleet is the store and all instances of a run.
type fleet struct {
	t         testing.TB
	store     *platformtest.Store
	instances []*instance
	// hasAccounts is set if the nodes keep the limits of client accounts.
	hasAccounts bool
	// dir holds the configurations and logs of the nodes.
	dir string
	// ids is the number of backend servers so far, from which the next id is formed.
	ids atomic.Int64
	// subnet holds the middle bytes of the loopback addresses that the run uses.
	subnet [2]byte
	group  errgroup.Group
	// done is closed when the fleet stops.
	done chan struct{}
}

// addrAllocator returns a function that returns another address for a new instance at each
// call. Each instance has its own loopback IP address, so that its ports are free.
func (f *fleet) addrAllocator() func() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, f.subnet[0], f.subnet[1], byte(len(f.instances) + 1)})
	port := basePort
	return func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(ip, port)
	}
}

// startFleet starts a fleet of instances of each service, spread over two zones.
// It does not wait until the nodes serve.
func startFleet(t testing.TB, cfg Config) *fleet {
	f := &fleet{t: t, hasAccounts: cfg.Accounts, store: platformtest.NewStore(t), dir: t.TempDir(), done: make(chan struct{})}
	// Concurrent runs must use different addresses. This makes a collision unlikely.
	f.subnet = [2]byte{byte(1 + os.Getpid()%200), byte(rand.N(250))}
	for i := range 2 * cfg.InstancesPerService {
		service := services[i%len(services)]
		f.addInstance(cfg.Binary, fmt.Sprintf("node-%d", i+1), []string{"a", "b"}[i/2%2], service)
	}
	t.Cleanup(f.stop)
	for _, inst := range f.instances {
		f.startNode(inst)
		f.group.Go(func() error { f.sendHeartbeats(inst); return nil })
		f.group.Go(func() error { f.pollReadiness(inst); return nil })
	}
	return f
}

func (f *fleet) startProxy(target netip.AddrPort) *proxy {
	p, err := newProxy(target)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

// addInstance adds an instance. It starts the proxies and the backend server and writes the
// node's configuration, but does not start the node.
func (f *fleet) addInstance(binary, name, zone, service string) {
	next := f.addrAllocator()
	inst := &instance{
		name: name, zone: zone, service: service, binary: binary, configPath: filepath.Join(f.dir, name+".yaml"),
		caller: next(), control: next(), ready: next(), listenCall: next(), listenPeer: next(), listenMetrics: next(),
	}
	inst.storeProxy, inst.callProxy, inst.peerProxy = f.startProxy(f.store.Addr()), f.startProxy(inst.listenCall), f.startProxy(inst.listenPeer)
	// The target is a placeholder, which startServer replaces.
	inst.serverProxy = f.startProxy(inst.listenCall)
	f.startServer(inst)
	settings := fmt.Sprintf(`node: %s
zone: %s
service: %s
server: %s
store: %s
peerKey: "a key of sixteen characters"
drain: %s
grace: %s
announce: {call: "%s", peer: "%s"}
listen: {caller: "%s", call: "%s", ready: "%s", control: "%s", peer: "%s", metrics: "%s"}
`, name, zone, service, inst.serverProxy.Addr(), inst.storeProxy.Addr(), drainPeriod, gracePeriod, inst.callProxy.Addr(), inst.peerProxy.Addr(),
		inst.caller, inst.listenCall, inst.ready, inst.control, inst.listenPeer, inst.listenMetrics)
	if f.hasAccounts {
		settings += fmt.Sprintf("accounts: {zones: [a, b], window: %s, overshoot: %g, slack: %d}\nrevocation: {within: %s}\n", limitWindow, limitOvershoot, limitSlack, revokeLimit)
	}
	if err := os.WriteFile(inst.configPath, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	inst.log = log
	f.instances = append(f.instances, inst)
}

// startServer starts a new backend server for the instance, at the address of serverProxy.
func (f *fleet) startServer(inst *instance) {
	s := platformtest.NewServer(f.t, inst.service, fmt.Sprintf("i-%d", f.ids.Add(1)), slots)
	s.AnnouncedAddr = inst.serverProxy.Addr()
	s.SetRunTime(runTime)
	inst.serverProxy.SetTarget(s.Addr())
	inst.mu.Lock()
	inst.server, inst.heartbeatsStopped = s, false
	inst.mu.Unlock()
}

// sendHeartbeats sends the heartbeats of the instance's current backend server to its node
// until the fleet stops.
func (f *fleet) sendHeartbeats(inst *instance) {
	for {
		inst.mu.Lock()
		s, heartbeatsStopped := inst.server, inst.heartbeatsStopped
		inst.mu.Unlock()
		if !heartbeatsStopped {
			// The node may be down, so an error is ignored: the next heartbeat is sent anyway.
			_, _ = s.SendHeartbeat(inst.control, "ready")
		}
		select {
		case <-f.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// pollReadiness queries the node's readiness, as the platform does, until the fleet stops.
func (f *fleet) pollReadiness(inst *instance) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		// The result is ignored: callers here also use nodes that are not ready.
		if response, err := client.Get("http://" + inst.ready.String() + "/ready"); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-f.done:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// startNode starts the instance's node. It fails the test if the process cannot be started.
func (f *fleet) startNode(inst *instance) {
	cmd := exec.Command(inst.binary, "--config", inst.configPath)
	cmd.Stdout, cmd.Stderr = inst.log, inst.log
	cmd.Env = []string{"GOMAXPROCS=2"}
	if err := cmd.Start(); err != nil {
		f.t.Errorf("start %s: %v", inst.name, err)
		return
	}
	exited := make(chan struct{})
	f.group.Go(func() error {
		// The error is ignored: the node's log has the reason for its exit.
		_ = cmd.Wait()
		close(exited)
		return nil
	})
	inst.mu.Lock()
	inst.process, inst.exited = cmd, exited
	inst.starts++
	inst.mu.Unlock()
}

// signal sends a signal to the instance's process.
func (inst *instance) signal(s syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil {
		// The error is ignored: a process that has already exited needs no signal.
		_ = inst.process.Process.Signal(s)
	}
}

// wait waits until the instance's process has exited. It returns false when limit
// passes first.
func (inst *instance) wait(limit time.Duration) bool {
	inst.mu.Lock()
	exited := inst.exited
	inst.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// startCount returns how often the instance's node has been started.
func (inst *instance) startCount() int {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.starts
}

// stop kills the nodes and closes the proxies and logs. The store and the backend servers
// close at the end of the test.
func (f *fleet) stop() {
	for _, inst := range f.instances {
		inst.signal(syscall.SIGCONT)
		inst.signal(syscall.SIGKILL)
	}
	close(f.done)
	_ = f.group.Wait()
	for _, inst := range f.instances {
		for _, x := range []*proxy{inst.storeProxy, inst.callProxy, inst.peerProxy, inst.serverProxy} {
			x.Close()
		}
		_ = inst.log.Close()
	}
}

// saveLogs copies the nodes' logs to a directory, which it creates if necessary.
func (f *fleet) saveLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, inst := range f.instances {
		text, err := os.ReadFile(filepath.Join(f.dir, inst.name+".log"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, inst.name+".log"), bytes.TrimSpace(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
