package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine, which has a loopback address of its own.
const (
	portCaller  = 8629
	portCall    = 8624
	portReady   = 8625
	portControl = 8620
	portServer  = 8628
	portPeer    = 7600
	portMetrics = 7615
	portStore   = 8627
	// Other nodes reach a machine with links at these.
	portCallLink = 8634
	portPeerLink = 7610
)

// fleet is a small deployment: the store, and machines with a node and a server each.
type fleet struct {
	ctx     context.Context
	stop    context.CancelFunc
	began   time.Time
	subnet  [2]byte
	dir     string
	store   *store
	machine []*machine

	mu     sync.Mutex
	record *os.File
	runs   []run
	// lost holds the ordinary requests that ran on a server as it crashed, and served those
	// that were answered with success.
	lost, served map[string]bool
	// sent holds when each request was sent.
	sent map[string]time.Time
	// cutOff holds the machines that are cut off from all others, until cutChanged is closed.
	cutOff     map[*machine]bool
	cutChanged chan struct{}
	// more is added to the settings of the nodes.
	more string
}

// run is a request that a server has begun to run.
type run struct {
	at         time.Time
	id, server string
	method     string
	uri        string
}

// address returns the server's name without the number of its incarnation.
func (r run) address() string { return r.server[:strings.LastIndexByte(r.server, '-')] }

// machine is a node process and the server beside it.
type machine struct {
	f             *fleet
	name, zone    string
	service       string
	ip            netip.Addr
	server        *server
	settings      string
	caller, ready netip.AddrPort

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// starts and stops are the times of signals and starts by this test.
	disturbed []time.Time
}

// newFleet starts the store. The record is written to record.txt in the folder of the case.
func newFleet(record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{began: time.Now(), dir: dir, record: file,
		lost: make(map[string]bool), served: make(map[string]bool), sent: make(map[string]time.Time), cutChanged: make(chan struct{}),
		subnet: [2]byte{byte(1 + os.Getpid()%250), byte(rand.N(250))}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.store, err = startStore(netip.AddrPortFrom(f.ip(250), portStore))
	return f, err
}

func (f *fleet) ip(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet[0], f.subnet[1], n})
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (f *fleet) say(format string, args ...any) {
	f.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// ran records that a server begins to run a request.
func (f *fleet) ran(i *incarnation, r *http.Request) {
	x := run{at: time.Now(), id: r.Header.Get(names.RequestID), server: i.id, method: r.Method, uri: r.RequestURI}
	f.mu.Lock()
	f.runs = append(f.runs, x)
	f.mu.Unlock()
	f.note("run %s %s %s %s by %s", x.id, r.Header.Get(names.Caller), x.method, x.uri, x.server)
}

// lostRuns returns the number of ordinary requests that a crash broke off and that no other server
// has answered with success.
func (f *fleet) lostRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.lost {
		if !f.served[id] {
			n++
		}
	}
	return n
}

// runsOf returns the runs of requests whose path contains a text.
func (f *fleet) runsOf(text string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.runs {
		if strings.Contains(r.uri, text) {
			list = append(list, r)
		}
	}
	return list
}

// add adds a machine. Its server and its node are not started.
func (f *fleet) add(zone, service string, work time.Duration) (*machine, error) {
	n := byte(len(f.machine) + 1)
	m := &machine{f: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: f.ip(n)}
	m.caller, m.ready = netip.AddrPortFrom(m.ip, portCaller), netip.AddrPortFrom(m.ip, portReady)
	m.server = &server{
		f: f, service: service, zone: zone, work: work, downTime: 3 * time.Second,
		addr: netip.AddrPortFrom(m.ip, portServer), control: netip.AddrPortFrom(m.ip, portControl),
	}
	template, err := os.ReadFile("deploy/node.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(f.dir, m.name+".yaml")
	f.machine = append(f.machine, m)
	return m, os.WriteFile(m.settings, []byte(m.fill(string(template))), 0o600)
}

// addLinks puts proxies before the ports on which other nodes reach the machine.
func (m *machine) addLinks() error {
	call, peer := netip.AddrPortFrom(m.ip, portCallLink), netip.AddrPortFrom(m.ip, portPeerLink)
	if err := m.f.startLink(m, call, netip.AddrPortFrom(m.ip, portCall)); err != nil {
		return err
	}
	if err := m.f.startLink(m, peer, netip.AddrPortFrom(m.ip, portPeer)); err != nil {
		return err
	}
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, fmt.Appendf(text, "announce: {call: %q, peer: %q}\n", call.String(), peer.String()), 0o600)
}

// fill fills in the deploy file's template. Its sections for tenants and roll-outs are replaced by
// the further settings of the fleet.
func (m *machine) fill(text string) string {
	if i := strings.Index(text, "{{#"); i >= 0 {
		text = text[:i] + m.f.more
	}
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	return strings.NewReplacer(
		"{{node_name}}", m.name, "{{zone}}", m.zone, "{{service}}", m.service, "{{app_addr}}", at(portServer),
		"{{listen.outbound}}", at(portCaller), "{{listen.inbound}}", at(portCall), "{{listen.ready}}", at(portReady),
		"{{listen.control}}", at(portControl), "{{ip}}", m.ip.String(), "{{internal_ports.0}}", "7600", "{{internal_ports.1}}", "7615",
		"{{platform.address}}", netip.AddrPortFrom(m.f.ip(250), portStore).String(), "{{limits.memory_mb}}", "284",
		"{{limits.link_mbps}}", "1000.0", "{{bounds.drain_ms}}", "2000", "{{bounds.grace_s}}", "6",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "64", "{{bounds.budget_window_s}}", "10",
	).Replace(text)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	cmd := exec.Command("target/lavenderdeald")
	cmd.Env = []string{"LAVENDERDEAL_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = cmd, exited
	m.disturbed = append(m.disturbed, time.Now())
	m.mu.Unlock()
	m.f.note("node %s starts", m.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.f.note("node %s has ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.f.note("signal %v to node %s", s, m.name)
	m.disturbed = append(m.disturbed, time.Now())
	_ = m.process.Process.Signal(s)
}

// restart stops the node as the platform does, and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	return m.startNode()
}

// isReady asks the node as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + m.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// start starts all machines and waits until the nodes are ready and the lead time is over.
func (f *fleet) start() error {
	for _, m := range f.machine {
		if err := m.server.start(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
		go func() {
			// The platform asks each node once a second.
			for f.ctx.Err() == nil {
				m.isReady()
				time.Sleep(time.Second)
			}
		}()
	}
	time.Sleep(8 * time.Second)
	for _, m := range f.machine {
		if !m.isReady() {
			return errors.New(m.name + " is not ready")
		}
	}
	f.note("traffic starts")
	return nil
}

// end ends all processes that the test has started.
func (f *fleet) end() {
	f.stop()
	for _, m := range f.machine {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
		}
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Close()
}

// client sends requests to one machine. With fresh set, each has a new connection.
func newClient(fresh bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: fresh, DisableCompression: true, IdleConnTimeout: 12 * time.Second, MaxIdleConnsPerHost: 16,
	}}
}

// send sends one request and records what came of it.
func (f *fleet) send(c *http.Client, m *machine, method, host, path, id string, body []byte, deadline time.Duration, header map[string]string) {
	ctx, cancel := context.WithTimeout(f.ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.caller.String()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	f.note("sent %s %s %s to %s", id, method, path, m.name)
	f.mu.Lock()
	f.sent[id] = time.Now()
	f.mu.Unlock()
	got, err := c.Do(r)
	if err != nil {
		f.note("answer %s none: %v", id, err)
		return
	}
	defer got.Body.Close()
	content, err := io.ReadAll(got.Body)
	signed := got.Header.Get(names.Signature) != ""
	if got.StatusCode == http.StatusOK && signed && err == nil {
		f.mu.Lock()
		f.served[id] = true
		f.mu.Unlock()
	}
	f.note("answer %s %d signed %t %q", id, got.StatusCode, signed, bytes.TrimSpace(content))
}
