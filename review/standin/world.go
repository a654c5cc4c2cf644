package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The ports of a machine. Each machine has a loopback address of its own.
const (
	portControl  = 8620
	portCall     = 8624
	portReady    = 8625
	portStore    = 8627
	portServer   = 8628
	portCaller   = 8629
	portPeer     = 7600
	portMetrics  = 7615
	template     = "deploy/node.yaml.tmpl"
	readinessGap = time.Second
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
)

// bounds holds the figures of a deployment that its settings contain.
type bounds struct {
	memoryMB, linkMbps, drainMs, graceS int
}

// world holds everything that a case has started.
type world struct {
	started time.Time
	trouble bool
	dir     string
	subnet  string
	store   *store
	nodes   []*node
	servers []*server
	done    chan struct{}
	group   sync.WaitGroup

	mu     sync.Mutex
	record *os.File
}

// newWorld opens the record and starts the store.
func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, done: make(chan struct{}), record: f}
	w.logf("disruption: %v", w.trouble)
	for i := range 200 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, (os.Getpid()/200)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.subnet, portStore))
		if err == nil {
			w.store = newStore(w, l)
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free address")
}

// logf writes a line to the record with the seconds since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// spawn runs fn in the background until it returns. close waits for it.
func (w *world) spawn(fn func()) { w.group.Go(fn) }

// sleep waits for d. It returns false if the case ends first.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.done:
		return false
	case <-time.After(d):
		return true
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.done)
	for _, n := range w.nodes {
		n.end()
	}
	for _, s := range w.servers {
		s.close()
	}
	w.store.close()
	w.group.Wait()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// add adds a machine with a node and a server. The server runs from now on; the node has
// to be started.
func (w *world) add(zone, service string, slots int, b bounds) (*node, *server, error) {
	i := len(w.nodes) + 2
	n := &node{world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, i-1), ip: fmt.Sprintf("%s.%d", w.subnet, i), bounds: b}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	values := strings.NewReplacer(
		"{{node_name}}", n.name, "{{zone}}", zone, "{{service}}", service, "{{app_addr}}", at(portServer),
		"{{listen.outbound}}", at(portCaller), "{{listen.inbound}}", at(portCall), "{{listen.ready}}", at(portReady),
		"{{listen.control}}", at(portControl), "{{ip}}", n.ip, "{{internal_ports.0}}", fmt.Sprint(portPeer),
		"{{internal_ports.1}}", fmt.Sprint(portMetrics), "{{platform.address}}", fmt.Sprintf("%s.1:%d", w.subnet, portStore),
		"{{limits.memory_mb}}", fmt.Sprint(b.memoryMB), "{{limits.link_mbps}}", fmt.Sprint(b.linkMbps),
		"{{bounds.drain_ms}}", fmt.Sprint(b.drainMs), "{{bounds.grace_s}}", fmt.Sprint(b.graceS),
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "60", "{{bounds.budget_window_s}}", "10",
	)
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(values.Replace(string(text))), 0o600); err != nil {
		return nil, nil, err
	}
	s, err := newServer(w, n, zone, service, slots)
	if err != nil {
		return nil, nil, err
	}
	w.nodes, w.servers = append(w.nodes, n), append(w.servers, s)
	return n, s, nil
}

// startAll starts all nodes and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
		w.spawn(n.pollReady)
	}
	for _, s := range w.servers {
		w.spawn(s.sendHeartbeats)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			w.sleep(50 * time.Millisecond)
		}
	}
	w.sleep(3 * time.Second)
	return nil
}
