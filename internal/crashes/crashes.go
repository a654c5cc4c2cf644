// Package crashes detects crashes of the backend server beside the node, and finds and
// refuses the calls that cause them.
//
// A [Monitor] is notified when a call begins and how it ends. It detects a crash
// when the connections of all running calls break and the server refuses new ones,
// or when several break at once. It then reports the calls that were running to the
// nodes of the other servers of the service, and handles their reports. It tells the
// nodes of other services of quarantines, and gets from other nodes what it has not
// received, by [Monitor.CatchUp] and [Monitor.Compare]. It sends an [Event] when it records
// a crash, when a quarantine begins or is lifted, and when a report fails. Calls with a
// quarantined fingerprint are refused:
//
//	if err := monitor.Check(fingerprint); err != nil {
//		return err
//	}
//	monitor.Begin(id, call)
//	defer monitor.End(id)
package crashes

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/quarantine"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

const (
	// RuleQuarantined is the rule that refuses a quarantined call before it runs.
	RuleQuarantined = "quarantined"

	// reportMethod is the method of the message that reports a crash to another node.
	reportMethod = "quarantine"
	// tellMethod is the method of the message that tells another node of quarantines, and
	// askMethod that of the question for evidence.
	tellMethod = "quarantineTell"
	askMethod  = "quarantineAsk"
	// maxProbes bounds the attempts to connect to the server after the connection of a
	// call broke, and probePause is the time between them. probeTimeout bounds each.
	maxProbes    = 6
	probePause   = 50 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// brokenWindow is the time within which broken calls count as part of the same
	// crash.
	brokenWindow = 2 * time.Second
	// minBroken is the number of broken calls that count as a crash even if the
	// server accepts connections, provided that no other call kept running.
	minBroken = 2

	// reportTimeout bounds an attempt to report a crash to one node, reportAttempts
	// the attempts for each node, and maxConcurrentReports the nodes reported to at
	// once.
	reportTimeout        = 1 * time.Second
	reportAttempts       = 2
	maxConcurrentReports = 8

	// askTimeout bounds a question for evidence. A node that starts asks catchUpNodes at
	// once, and others if none of them answers.
	askTimeout   = 600 * time.Millisecond
	catchUpNodes = 3
	// maxProcess bounds the number of a process, which some JSON decoders read as a float.
	maxProcess = 1 << 53
)

// Call describes a call to the backend server.
type Call struct {
	// Fingerprint is the same for each retry of a call; see [quarantine.Fingerprint].
	Fingerprint string
	// Customer, Method and Path describe the call to the operator. Customer is empty
	// if the fingerprint does not depend on the customer.
	Customer string
	Method   string
	Path     string
}

// Event is sent to the Notify function of a Monitor. It is Crashed, Quarantined, Learned,
// Lifted or ReportFailed.
type Event interface{ implementsEvent() }

// Crashed is sent when a server has crashed, here or at another node.
type Crashed struct {
	// Node is the name of the node beside the server.
	Node string
	// Sequence is the number of the crash among those that the node has observed.
	Sequence uint64
	// Suspects is the number of distinct fingerprints of the calls that were running.
	Suspects int
	// IsKnown is set if the crash was taken for one that was reported before and is no
	// further evidence.
	IsKnown bool
}

// Quarantined is sent when a quarantine begins: from then on, calls with the entry's
// fingerprint are refused.
type Quarantined struct{ Entry quarantine.Entry }

// Learned is sent when another node has told what this one had not received.
type Learned struct {
	// From is the peer address of the node. It is not valid if the node told it unasked.
	From netip.AddrPort
	// Crashes and Quarantined are the numbers of crashes and of quarantined fingerprints.
	Crashes, Quarantined int
}

// Lifted is sent when the operator has lifted a quarantine.
type Lifted struct{ Fingerprint string }

// ReportFailed is sent for each failed attempt to report a crash to another node.
type ReportFailed struct {
	To    netip.AddrPort
	Cause error
}

// Monitor detects crashes of the backend server and quarantines the calls that
// cause them. Its fields must be set before Run is called. It is safe for concurrent
// use. Lock order: mu is the only lock; it is never held during a probe, a report or an
// event.
type Monitor struct {
	// Server is the address of the backend server.
	Server netip.AddrPort
	// Node returns the name of the node.
	Node func() string
	// PeerAddrs returns the peer addresses of the nodes beside the other servers of
	// the service.
	PeerAddrs func() []netip.AddrPort
	// OtherPeerAddrs returns the peer addresses of the nodes beside servers of other
	// services, which are told of quarantines. It may be nil.
	OtherPeerAddrs func() []netip.AddrPort
	// SyncInterval is the mean time between questions to other nodes of the service for
	// what this one has not received. If it is 0, Compare is to be called instead.
	SyncInterval time.Duration
	// Endpoint sends the reports to these nodes.
	Endpoint *peer.Endpoint
	// Notify is called with each event.
	Notify func(Event)

	mu      sync.Mutex
	table   quarantine.Table
	running map[uint64]runningCall
	// broken holds the calls whose connection broke, until detect has examined them.
	broken []brokenCall
	// process is a random number, and sequence numbers the crashes that this process has
	// observed. Both identify a crash.
	process, sequence uint64
	// wake wakes Run when the connection of a call broke.
	wake chan struct{}
	// untold holds the quarantines that Run is to tell the nodes of other services of, and
	// tellWake wakes it then.
	untold   []quarantine.Entry
	tellWake chan struct{}
}

type runningCall struct {
	Call
	started time.Time
}

type brokenCall struct {
	Call
	at time.Time
}

// Handle registers the handlers for messages of other nodes.
func (m *Monitor) Handle(mux *peer.Mux) {
	peer.Handle(mux, reportMethod, func(_ context.Context, msg messages.Crash) (messages.Empty, error) {
		m.recordCrash(crashOf(msg))
		return messages.Empty{}, nil
	})
	peer.Handle(mux, tellMethod, func(_ context.Context, msg messages.Evidence) (messages.Empty, error) {
		m.learn(netip.AddrPort{}, msg)
		return messages.Empty{}, nil
	})
	peer.Handle(mux, askMethod, func(_ context.Context, q messages.EvidenceQuestion) (messages.Evidence, error) {
		return m.answer(q), nil
	})
}

// Check returns a refusal if the fingerprint of a call is quarantined, with the time
// until the quarantine ends, and nil otherwise.
func (m *Monitor) Check(fingerprint string) error {
	now := time.Now()
	m.mu.Lock()
	e, ok := m.table.Check(now, fingerprint)
	m.mu.Unlock()
	if !ok {
		return nil
	}
	return verdict.RefuseFor(RuleQuarantined, "calls like this one ended backend servers; fingerprint "+fingerprint, e.Until.Sub(now))
}

// IsEmpty reports whether no fingerprint is quarantined, in which case Check need not be
// called. It may return false for quarantines that have ended.
func (m *Monitor) IsEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsEmpty()
}

// Begin records a call that is about to be sent to the server. The ID must be unique
// among the running calls.
func (m *Monitor) Begin(id uint64, c Call) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running = make(map[uint64]runningCall)
	}
	m.running[id] = runningCall{Call: c, started: now}
}

// Answered records that the server has answered a call.
func (m *Monitor) Answered(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.running[id]; ok {
		m.table.Answered(c.Fingerprint)
	}
}

// ConnectionBroken records that the connection of a call broke before the answer.
func (m *Monitor) ConnectionBroken(id uint64) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.running[id]
	if !ok {
		return
	}
	m.broken = slices.DeleteFunc(m.broken, func(b brokenCall) bool { return now.Sub(b.at) > brokenWindow })
	m.broken = append(m.broken, brokenCall{Call: c.Call, at: now})
	delete(m.running, id)
	select {
	case m.wakeLocked() <- struct{}{}:
	default:
	}
}

// End removes a call that no longer runs.
func (m *Monitor) End(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, id)
}

// Lift ends the quarantine of a fingerprint. It returns false if the fingerprint is
// not quarantined.
func (m *Monitor) Lift(fingerprint string) bool {
	now := time.Now()
	m.mu.Lock()
	lifted := m.table.Lift(now, fingerprint)
	m.mu.Unlock()
	if lifted {
		m.Notify(Lifted{Fingerprint: fingerprint})
	}
	return lifted
}

// Entries returns the quarantined fingerprints with their evidence.
func (m *Monitor) Entries() []quarantine.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Entries(time.Now())
}

// Evidence returns the number of crashes that count as evidence.
func (m *Monitor) Evidence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Evidence(time.Now())
}

// Run detects and reports crashes of the server until ctx is done. It always returns
// nil.
func (m *Monitor) Run(ctx context.Context) error {
	m.mu.Lock()
	wake, untold := m.wakeLocked(), m.untoldLocked()
	m.mu.Unlock()
	// Nodes that do not answer must not delay the detection of the next crash.
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	if m.SyncInterval > 0 {
		group.Go(func() error { return m.syncLoop(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-untold:
			group.Go(func() error { m.tell(ctx); return nil })
		case <-wake:
			if c, ok := m.detect(ctx); ok {
				m.recordCrash(c)
				group.Go(func() error { m.report(ctx, c); return nil })
			}
		}
	}
}

// wakeLocked returns the channel that wakes Run. The caller holds mu.
func (m *Monitor) wakeLocked() chan struct{} {
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

// untoldLocked returns the channel that wakes Run to tell others of quarantines. The caller
// holds mu.
func (m *Monitor) untoldLocked() chan struct{} {
	if m.tellWake == nil {
		m.tellWake = make(chan struct{}, 1)
	}
	return m.tellWake
}

// detect determines whether the server has crashed, and returns the calls that were
// running. While a call that began before the first broken one is still running, the
// server is considered alive and is not probed.
func (m *Monitor) detect(ctx context.Context) (quarantine.Crash, bool) {
	refused := false
	for i := 0; i < maxProbes && !refused; i++ {
		refused = len(m.survivors()) == 0 && m.refusesConnections(ctx)
		if !refused && !wait.For(ctx, probePause) {
			return quarantine.Crash{}, false
		}
	}
	survivors := m.survivors()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	broken := slices.DeleteFunc(m.broken, func(b brokenCall) bool { return now.Sub(b.at) > brokenWindow })
	m.broken = nil
	if len(broken) == 0 || !refused && (len(survivors) > 0 || len(broken) < minBroken) {
		return quarantine.Crash{}, false
	}
	m.sequence++
	for m.process == 0 {
		m.process = rand.Uint64N(maxProcess)
	}
	c := quarantine.Crash{Server: m.Node(), Process: m.process, Sequence: m.sequence}
	for _, b := range broken {
		c.Suspects = m.appendSuspect(c.Suspects, b.Call)
	}
	for _, call := range survivors {
		c.Suspects = m.appendSuspect(c.Suspects, call)
	}
	quarantine.SortSuspects(c.Suspects)
	return c, true
}

// survivors returns the running calls that began before the first broken one. Calls
// that began later may run on the restarted server.
func (m *Monitor) survivors() []Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.broken) == 0 {
		return nil
	}
	var calls []Call
	for _, c := range m.running {
		if c.started.Before(m.broken[0].at) {
			calls = append(calls, c.Call)
		}
	}
	return calls
}

// appendSuspect appends a call to suspects unless its fingerprint is already there.
// The caller holds mu.
func (m *Monitor) appendSuspect(suspects []quarantine.Suspect, c Call) []quarantine.Suspect {
	if slices.ContainsFunc(suspects, func(s quarantine.Suspect) bool { return s.Fingerprint == c.Fingerprint }) {
		return suspects
	}
	subject := c.Method + " " + c.Path
	if c.Customer != "" {
		subject += " of " + c.Customer
	}
	return append(suspects, quarantine.Suspect{
		Fingerprint: c.Fingerprint,
		Answered:    m.table.AnsweredCount(c.Fingerprint),
		Subject:     subject,
	})
}

// refusesConnections reports whether the server refuses connections.
func (m *Monitor) refusesConnections(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Server.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordCrash adds a crash, here or at another node, to the evidence. The nodes beside the
// servers that have crashed tell those of other services of the quarantines that begin.
func (m *Monitor) recordCrash(c quarantine.Crash) {
	m.mu.Lock()
	isKnown := m.table.Knows(c)
	quarantined := m.table.Crashed(time.Now(), c)
	for _, e := range quarantined {
		if m.OtherPeerAddrs != nil && slices.Contains(e.Servers, m.Node()) {
			m.untold = append(m.untold, e)
		}
	}
	if len(m.untold) > 0 {
		select {
		case m.untoldLocked() <- struct{}{}:
		default:
		}
	}
	m.mu.Unlock()
	m.Notify(Crashed{Node: c.Server, Sequence: c.Sequence, Suspects: len(c.Suspects), IsKnown: isKnown})
	for _, e := range quarantined {
		m.Notify(Quarantined{Entry: e})
	}
}

// report sends a crash to the nodes of the other servers of the service.
func (m *Monitor) report(ctx context.Context, c quarantine.Crash) {
	message := messageOf(c)
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, to := range m.PeerAddrs() {
		group.Go(func() error {
			m.reportTo(ctx, to, message)
			return nil
		})
	}
	_ = group.Wait()
}

// reportTo sends a crash to one node, with retries.
func (m *Monitor) reportTo(ctx context.Context, to netip.AddrPort, message messages.Crash) {
	for range reportAttempts {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := peer.Call[messages.Empty](attempt, m.Endpoint, to, reportMethod, message)
		cancel()
		if err == nil {
			return
		}
		m.Notify(ReportFailed{To: to, Cause: err})
	}
}

func (Crashed) implementsEvent()      {}
func (Quarantined) implementsEvent()  {}
func (Learned) implementsEvent()      {}
func (Lifted) implementsEvent()       {}
func (ReportFailed) implementsEvent() {}
