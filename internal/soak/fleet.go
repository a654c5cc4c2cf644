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
	// drain, grace and heartbeat are the platform's times of the sites, with a
	// shorter time between heartbeats so that a short run has many.
	drain     = 2 * time.Second
	grace     = 6 * time.Second
	heartbeat = 400 * time.Millisecond
	// readyEvery is the platform's time between two questions whether a node is ready.
	readyEvery = 1 * time.Second
	// work is the time that a server takes for a request.
	work = 15 * time.Millisecond
	// slots of each server.
	slots = 8
	// firstPort is below the first port of each instance.
	firstPort uint16 = 7600
)

// place is one instance: a node, the backend server beside it, and the proxies on
// the links between them and to the others.
type place struct {
	name, zone, service string

	// store, call, peer and app are the links to the store, from other nodes, and
	// to the backend server.
	store, call, peer, app                *proxy
	caller, control, ready                netip.AddrPort
	listenCall, listenPeer, listenMetrics netip.AddrPort
	path                                  string
	binary                                string
	log                                   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	server  *platformtest.Server
	// life counts the processes.
	life    int
	retired []retired
	leaving bool
}

// retired is a server that was told to leave.
type retired struct {
	server *platformtest.Server
	// acked is when its node acknowledged it, zero when it did not.
	acked time.Time
}

// fleet is all of a run.
type fleet struct {
	t      testing.TB
	store  *platformtest.Store
	places []*place
	dir    string
	ids    atomic.Int64
	// net is the part of the loopback range that the run uses.
	net   [2]byte
	beats errgroup.Group
	done  chan struct{}
}

// addrs returns the addresses of an instance. Each has an address of its own in the
// loopback range, so that its ports are free.
func (f *fleet) addrs() func() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, f.net[0], f.net[1], byte(len(f.places) + 1)})
	port := firstPort
	return func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(ip, port)
	}
}

// start builds a fleet with a number of instances of each service in two zones.
func start(t testing.TB, binary string, each int) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore(t), dir: t.TempDir(), done: make(chan struct{})}
	// Runs at the same time use different parts.
	f.net = [2]byte{byte(1 + os.Getpid()%200), byte(rand.N(250))}
	for i := range 2 * each {
		service := services[i%len(services)]
		f.add(binary, fmt.Sprintf("node-%d", i+1), []string{"a", "b"}[i/2%2], service)
	}
	t.Cleanup(f.stop)
	for _, p := range f.places {
		f.run(p)
		f.beats.Go(func() error { f.beat(p); return nil })
		f.beats.Go(func() error { f.ask(p); return nil })
	}
	return f
}

func (f *fleet) proxy(target netip.AddrPort) *proxy {
	p, err := newProxy(target)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) add(binary, name, zone, service string) {
	next := f.addrs()
	p := &place{
		name: name, zone: zone, service: service, binary: binary, path: filepath.Join(f.dir, name+".yaml"),
		caller: next(), control: next(), ready: next(), listenCall: next(), listenPeer: next(), listenMetrics: next(),
	}
	p.store, p.call, p.peer = f.proxy(f.store.Addr()), f.proxy(p.listenCall), f.proxy(p.listenPeer)
	p.app = f.proxy(p.listenCall)
	f.replace(p)
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
`, name, zone, service, p.app.Addr(), p.store.Addr(), drain, grace, p.call.Addr(), p.peer.Addr(),
		p.caller, p.listenCall, p.ready, p.control, p.listenPeer, p.listenMetrics)
	if err := os.WriteFile(p.path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p.log = log
	f.places = append(f.places, p)
}

// replace puts a new server at the place's address.
func (f *fleet) replace(p *place) {
	s := platformtest.NewServer(f.t, p.service, fmt.Sprintf("i-%d", f.ids.Add(1)), slots)
	s.AnnouncedAddr = p.app.Addr()
	s.SetRunTime(work)
	p.app.SetTarget(s.Addr())
	p.mu.Lock()
	p.server, p.leaving = s, false
	p.mu.Unlock()
}

// beat sends the server's heartbeats.
func (f *fleet) beat(p *place) {
	for {
		p.mu.Lock()
		s, leaving := p.server, p.leaving
		p.mu.Unlock()
		if !leaving {
			// The node may be away: the next heartbeat is sent all the same.
			_, _ = s.SendHeartbeat(p.control, "ready")
		}
		select {
		case <-f.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ask asks the node whether it is ready, as the platform does.
func (f *fleet) ask(p *place) {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		// Only the question matters: callers here send to nodes that are not ready too.
		if answer, err := client.Get("http://" + p.ready.String() + "/ready"); err == nil {
			_ = answer.Body.Close()
		}
		select {
		case <-f.done:
			return
		case <-time.After(readyEvery):
		}
	}
}

// run starts the place's node.
func (f *fleet) run(p *place) {
	cmd := exec.Command(p.binary, "--config", p.path)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = []string{"GOMAXPROCS=2"}
	if err := cmd.Start(); err != nil {
		f.t.Errorf("start %s: %v", p.name, err)
		return
	}
	exited := make(chan struct{})
	f.beats.Go(func() error {
		// How it ended is in its log.
		_ = cmd.Wait()
		close(exited)
		return nil
	})
	p.mu.Lock()
	p.process, p.exited = cmd, exited
	p.life++
	p.mu.Unlock()
}

// signal sends a signal to the place's process.
func (p *place) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		// A process that has ended meanwhile needs no signal.
		_ = p.process.Process.Signal(s)
	}
}

// wait waits until the place's process has ended.
func (p *place) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (p *place) lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

func (f *fleet) stop() {
	for _, p := range f.places {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	close(f.done)
	_ = f.beats.Wait()
	for _, p := range f.places {
		for _, x := range []*proxy{p.store, p.call, p.peer, p.app} {
			x.Close()
		}
		_ = p.log.Close()
	}
}

// logs returns what the nodes have written, for a run that failed.
func (f *fleet) keep(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, p := range f.places {
		text, err := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, p.name+".log"), bytes.TrimSpace(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
