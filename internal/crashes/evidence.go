package crashes

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/quarantine"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

// CatchUp gets the evidence of some other nodes, those beside servers of the service first.
// It returns once some have answered, none is left to ask, or ctx is done. A process that
// has just started knows none of the crashes that the others have recorded.
func (m *Monitor) CatchUp(ctx context.Context) {
	addrs := shuffled(m.PeerAddrs())
	own := len(addrs)
	if m.OtherPeerAddrs != nil {
		addrs = append(addrs, shuffled(m.OtherPeerAddrs())...)
	}
	for at := 0; at < len(addrs) && ctx.Err() == nil; at += catchUpNodes {
		var answered atomic.Bool
		var group errgroup.Group
		for i := at; i < min(at+catchUpNodes, len(addrs)); i++ {
			group.Go(func() error {
				if m.ask(ctx, addrs[i], i < own) == nil {
					answered.Store(true)
				}
				return nil
			})
		}
		_ = group.Wait()
		if answered.Load() {
			return
		}
	}
}

func shuffled(addrs []netip.AddrPort) []netip.AddrPort {
	addrs = slices.Clone(addrs)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// Digest returns a hash of the evidence, for Compare at other nodes.
func (m *Monitor) Digest() quarantine.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Digest(time.Now())
}

// Compare gets the evidence of another node if it differs by its digest. Crashes are
// compared only if the other server is of the same service.
func (m *Monitor) Compare(ctx context.Context, addr netip.AddrPort, other quarantine.Digest, sameService bool) {
	own := m.Digest()
	wantsCrashes := sameService && other.Crashes != "" && other.Crashes != own.Crashes
	if !wantsCrashes && (other.Fingerprints == "" || other.Fingerprints == own.Fingerprints) {
		return
	}
	// The next comparison repeats a failed question.
	_ = m.ask(ctx, addr, wantsCrashes)
}

// syncLoop periodically asks another node of the service until ctx is done.
func (m *Monitor) syncLoop(ctx context.Context) error {
	for wait.For(ctx, m.SyncInterval/2+rand.N(m.SyncInterval)) {
		if addrs := m.PeerAddrs(); len(addrs) > 0 {
			_ = m.ask(ctx, addrs[rand.N(len(addrs))], true)
		}
	}
	return nil
}

// ask gets the evidence that another node has and this one lacks.
func (m *Monitor) ask(ctx context.Context, addr netip.AddrPort, wantsCrashes bool) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m.mu.Lock()
	s := m.table.Summary(time.Now())
	m.mu.Unlock()
	q := messages.EvidenceQuestion{WantsCrashes: wantsCrashes, Quarantined: s.Fingerprints}
	if wantsCrashes {
		for _, k := range s.Crashes {
			q.Crashes = append(q.Crashes, messages.CrashKey{Server: k.Server, Process: k.Process, Sequence: k.Sequence})
		}
	}
	a, err := peer.Call[messages.Evidence](ctx, m.Endpoint, addr, askMethod, q)
	if err != nil {
		return err
	}
	m.learn(addr, a)
	return nil
}

// answer returns the evidence that another node lacks.
func (m *Monitor) answer(q messages.EvidenceQuestion) messages.Evidence {
	other := quarantine.Summary{Fingerprints: q.Quarantined}
	for _, k := range q.Crashes {
		other.Crashes = append(other.Crashes, quarantine.Key{Server: k.Server, Process: k.Process, Sequence: k.Sequence})
	}
	now := time.Now()
	m.mu.Lock()
	missing := m.table.Missing(now, other)
	m.mu.Unlock()
	if !q.WantsCrashes {
		missing.Crashes = nil
	}
	return evidenceMessage(now, missing)
}

// learn merges the evidence of another node.
func (m *Monitor) learn(from netip.AddrPort, msg messages.Evidence) {
	now := time.Now()
	e := evidenceOf(now, msg)
	if e.IsEmpty() {
		return
	}
	m.mu.Lock()
	begun := m.table.Merge(now, e)
	m.mu.Unlock()
	m.Notify(Learned{From: from, Crashes: len(e.Crashes), Quarantined: len(e.Entries)})
	for _, entry := range begun {
		m.Notify(Quarantined{Entry: entry})
	}
}

// tell sends new quarantines to the nodes beside servers of other services, which may forward
// the quarantined calls, and get them if the route changes. Those that do not receive it
// learn it by Compare.
func (m *Monitor) tell(ctx context.Context) {
	m.mu.Lock()
	entries := m.untold
	m.untold = nil
	m.mu.Unlock()
	message := evidenceMessage(time.Now(), quarantine.Evidence{Entries: entries})
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, to := range m.OtherPeerAddrs() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if _, err := peer.Call[messages.Empty](ctx, m.Endpoint, to, tellMethod, message); err != nil {
				m.Notify(ReportFailed{To: to, Cause: err})
			}
			return nil
		})
	}
	_ = group.Wait()
}

func messageOf(c quarantine.Crash) messages.Crash {
	msg := messages.Crash{Server: c.Server, Process: c.Process, Sequence: c.Sequence}
	for _, s := range c.Suspects {
		msg.Suspects = append(msg.Suspects, messages.Suspect{Fingerprint: s.Fingerprint, Answered: s.Answered, Subject: s.Subject})
	}
	return msg
}

func crashOf(msg messages.Crash) quarantine.Crash {
	c := quarantine.Crash{Server: msg.Server, Process: msg.Process, Sequence: msg.Sequence}
	for _, s := range msg.Suspects {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Fingerprint: s.Fingerprint, Answered: s.Answered, Subject: s.Subject})
	}
	return c
}

// evidenceMessage encodes evidence. Its times are relative to now.
func evidenceMessage(now time.Time, e quarantine.Evidence) messages.Evidence {
	var msg messages.Evidence
	for _, r := range e.Crashes {
		c := messageOf(r.Crash)
		c.AgeMs = int(r.Age.Milliseconds())
		msg.Crashes = append(msg.Crashes, c)
	}
	for _, entry := range e.Entries {
		msg.Quarantined = append(msg.Quarantined, messages.Quarantined{
			Fingerprint: entry.Fingerprint, Subject: entry.Subject, LeftMs: int(entry.Until.Sub(now).Milliseconds()),
			Servers: entry.Servers, Answered: entry.Answered,
		})
	}
	return msg
}

func evidenceOf(now time.Time, msg messages.Evidence) quarantine.Evidence {
	var e quarantine.Evidence
	for _, c := range msg.Crashes {
		e.Crashes = append(e.Crashes, quarantine.Record{Crash: crashOf(c), Age: time.Duration(c.AgeMs) * time.Millisecond})
	}
	for _, q := range msg.Quarantined {
		e.Entries = append(e.Entries, quarantine.Entry{
			Fingerprint: q.Fingerprint, Subject: q.Subject, Until: now.Add(time.Duration(q.LeftMs) * time.Millisecond),
			Servers: q.Servers, Answered: q.Answered,
		})
	}
	return e
}
