// Package crashes watches the backend server beside the node for crashes and
// keeps the calls away that bring them about.
//
// A [Watch] is told when a call begins and how it ends. When calls break and the
// server takes no connections, or all calls broke at once, it reports the calls
// that ran there to the nodes of the other servers of the service, and listens
// to theirs. A fingerprint that is quarantined is refused:
//
//	if err := watch.Check(fingerprint); err != nil {
//		return err
//	}
//	watch.Begin(id, call)
//	defer watch.End(id)
package crashes

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/quarantine"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

const (
	// RuleQuarantined refuses a call. It did not run.
	RuleQuarantined = "quarantined"

	reportMethod = "quarantine"
	// Probes of the server after a call broke.
	probes       = 6
	probePause   = 50 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// brokenTime is how long a call that broke belongs to a crash.
	brokenTime = 2 * time.Second
	// leastBroken calls, all that ran, are a crash without a refused probe.
	leastBroken = 2

	reportTimeout  = 1 * time.Second
	reportAttempts = 2
	maxReports     = 8
)

// Call is what is kept of a running call.
type Call struct {
	Fingerprint string
	Customer    string
	Method      string
	Path        string
}

// Watch is the evidence of one node. Lock order: mu is the only lock; it is
// never held during a probe or a report.
type Watch struct {
	Server   netip.AddrPort
	View     *atomic.Pointer[fleet.View]
	Endpoint *peer.Endpoint
	Ring     *explain.Ring
	Metrics  *metrics.Set

	mu       sync.Mutex
	table    quarantine.Table
	running  map[uint64]runningCall
	broken   []brokenCall
	sequence uint64
	wake     chan struct{}
}

type runningCall struct {
	Call
	begun time.Time
}

type brokenCall struct {
	Call
	at time.Time
}

// Handle registers the messages that the watch answers.
func (w *Watch) Handle(mux *peer.Mux) {
	peer.Handle(mux, reportMethod, func(_ context.Context, m messages.Crash) (messages.Empty, error) {
		w.crashed(crashOf(m))
		return messages.Empty{}, nil
	})
}

// Check refuses a call whose fingerprint is quarantined.
func (w *Watch) Check(fingerprint string) error {
	now := time.Now()
	w.mu.Lock()
	e, ok := w.table.Check(now, fingerprint)
	w.mu.Unlock()
	if !ok {
		return nil
	}
	return verdict.RefuseFor(RuleQuarantined, "calls like this one ended backend servers; fingerprint "+fingerprint, e.Until.Sub(now))
}

// Begin notes a call that is about to be sent to the server.
func (w *Watch) Begin(id uint64, c Call) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == nil {
		w.running = make(map[uint64]runningCall)
	}
	w.running[id] = runningCall{Call: c, begun: now}
}

// Answered notes that the server has answered a call.
func (w *Watch) Answered(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.running[id]; ok {
		w.table.Answered(c.Fingerprint)
	}
}

// Broke notes that the connection of a call broke before the answer.
func (w *Watch) Broke(id uint64) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.running[id]
	if !ok {
		return
	}
	w.broken = slices.DeleteFunc(w.broken, func(b brokenCall) bool { return now.Sub(b.at) > brokenTime })
	w.broken = append(w.broken, brokenCall{Call: c.Call, at: now})
	delete(w.running, id)
	select {
	case w.wakeUp() <- struct{}{}:
	default:
	}
}

// End forgets a call that no longer runs.
func (w *Watch) End(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, id)
}

// Lift lets calls with the fingerprint run again. It returns false when the
// fingerprint is not in quarantine.
func (w *Watch) Lift(fingerprint string) bool {
	now := time.Now()
	w.mu.Lock()
	lifted := w.table.Lift(now, fingerprint)
	w.mu.Unlock()
	if lifted {
		w.Ring.Add(explain.Record{At: now, Kind: "quarantineLifted", Subject: fingerprint, Detail: "by the operator"})
	}
	return lifted
}

// Entries returns what is quarantined.
func (w *Watch) Entries() []quarantine.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Entries(time.Now())
}

// Run watches until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	w.mu.Lock()
	wake := w.wakeUp()
	w.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		if c, ok := w.examine(ctx); ok {
			w.crashed(c)
			w.report(ctx, c)
		}
	}
}

// wakeUp returns the channel that wakes Run. The caller holds mu.
func (w *Watch) wakeUp() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// examine finds out whether the server has crashed, and what ran there.
func (w *Watch) examine(ctx context.Context) (quarantine.Crash, bool) {
	refused := false
	for i := 0; i < probes && !refused; i++ {
		refused = w.isRefused(ctx)
		if !refused && !wait.For(ctx, probePause) {
			return quarantine.Crash{}, false
		}
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := slices.DeleteFunc(w.broken, func(b brokenCall) bool { return now.Sub(b.at) > brokenTime })
	w.broken = nil
	if len(broken) == 0 {
		return quarantine.Crash{}, false
	}
	// Calls that began after the first one broke run on the server's next life.
	var still []Call
	for _, c := range w.running {
		if c.begun.Before(broken[0].at) {
			still = append(still, c.Call)
		}
	}
	if !refused && (len(still) > 0 || len(broken) < leastBroken) {
		return quarantine.Crash{}, false
	}
	w.sequence++
	c := quarantine.Crash{Server: w.View.Load().Self().Id, Sequence: w.sequence}
	for _, b := range broken {
		c.Suspects = w.suspect(c.Suspects, b.Call)
	}
	for _, call := range still {
		c.Suspects = w.suspect(c.Suspects, call)
	}
	quarantine.Sort(c.Suspects)
	return c, true
}

// suspect adds a call that ran, once. The caller holds mu.
func (w *Watch) suspect(suspects []quarantine.Suspect, c Call) []quarantine.Suspect {
	if slices.ContainsFunc(suspects, func(s quarantine.Suspect) bool { return s.Fingerprint == c.Fingerprint }) {
		return suspects
	}
	return append(suspects, quarantine.Suspect{
		Fingerprint: c.Fingerprint,
		Answered:    w.table.AnsweredCount(c.Fingerprint),
		Subject:     c.Method + " " + c.Path + " of " + c.Customer,
	})
}

// isRefused says whether the server refuses connections.
func (w *Watch) isRefused(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", w.Server.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crashed adds a crash, here or at another node, to the evidence.
func (w *Watch) crashed(c quarantine.Crash) {
	now := time.Now()
	w.mu.Lock()
	guilty := w.table.Crashed(now, c)
	w.mu.Unlock()
	w.Metrics.Add("serverCrashes", 1)
	for _, e := range guilty {
		w.Metrics.Add("quarantined", 1)
		w.Ring.Add(explain.Record{At: now, Kind: "callQuarantined", Subject: e.Fingerprint, Detail: e.String()})
	}
}

// report tells the nodes of the other servers of the service.
func (w *Watch) report(ctx context.Context, c quarantine.Crash) {
	view := w.View.Load()
	self := view.Self()
	message := messageOf(c)
	var group errgroup.Group
	group.SetLimit(maxReports)
	for _, m := range view.Members() {
		if m.Id == self.Id || m.Service != self.Service || m.State == messages.MemberStateFailed {
			continue
		}
		group.Go(func() error {
			w.reportTo(ctx, m.Peer, message)
			return nil
		})
	}
	_ = group.Wait()
}

func (w *Watch) reportTo(ctx context.Context, to netip.AddrPort, message messages.Crash) {
	for range reportAttempts {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := peer.Call[messages.Empty](attempt, w.Endpoint, to, reportMethod, message)
		cancel()
		if err == nil {
			return
		}
		w.Metrics.Add("crashReportErrors", 1)
	}
}

func messageOf(c quarantine.Crash) messages.Crash {
	m := messages.Crash{Server: c.Server, Sequence: c.Sequence}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, messages.Suspect{Fingerprint: s.Fingerprint, Answered: s.Answered, Subject: s.Subject})
	}
	return m
}

func crashOf(m messages.Crash) quarantine.Crash {
	c := quarantine.Crash{Server: m.Server, Sequence: m.Sequence}
	for _, s := range m.Suspects {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Fingerprint: s.Fingerprint, Answered: s.Answered, Subject: s.Subject})
	}
	return c
}
