package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/roster"
)

// misses counts consecutive failed comparisons with a node. since is the time of the
// first.
type misses struct {
	count int
	since time.Time
}

// syncLoop periodically compares the roster with one other node, until ctx ends.
func (m *Members) syncLoop(ctx context.Context) {
	for wait.For(ctx, syncInterval/2+rand.N(syncInterval)) {
		m.mu.Lock()
		others, watching := m.roster.Others(), m.watchersLocked(m.roster.Own().Zone)
		m.mu.Unlock()
		if len(others) == 0 {
			continue
		}
		e := syncTarget(others, watching)
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reached := m.exchange(callCtx, e, false)
		cancel()
		if !reached && ctx.Err() == nil && slices.Contains(watching, e.Node) {
			m.reportSuspect(e)
		}
	}
}

// syncTarget returns the node to compare with. In half of the cases it prefers a node
// whose process is stopping, since its next process may start while the store is
// unavailable and then know no other node. If there is none, it prefers a node that
// watches the store, to detect its failure. In the other cases it returns any node.
func syncTarget(others []messages.Entry, watching []string) messages.Entry {
	if rand.N(2) == 0 {
		for _, isPreferred := range []func(messages.Entry) bool{
			func(e messages.Entry) bool { return e.State == messages.EntryStateStopping },
			func(e messages.Entry) bool { return slices.Contains(watching, e.Node) },
		} {
			first := slices.DeleteFunc(slices.Clone(others), func(e messages.Entry) bool { return !isPreferred(e) })
			if len(first) > 0 {
				return first[rand.N(len(first))]
			}
		}
	}
	return others[rand.N(len(others))]
}

// exchange compares the roster with that of another node and merges the entries that it
// returns. If introduce is set, it also sends this node's entry and requests all entries
// of the other. It returns false if the node did not answer.
func (m *Members) exchange(ctx context.Context, e messages.Entry, introduce bool) bool {
	quarantined, crashes := m.evidence.Digests()
	m.mu.Lock()
	// Rosters differ for a moment while changes are in transit, so all entries are
	// requested only after several differences in a row.
	q := messages.SyncQuestion{
		Digest: m.roster.Digest(), Version: int(m.versions.Version()),
		Full: introduce || m.differingSyncs >= maxDifferingSyncs, Epoch: e.Epoch, Node: m.roster.Own().Node,
		Quarantined: quarantined, Crashes: crashes,
	}
	if introduce {
		q.Entries = []messages.Entry{m.roster.Own()}
	}
	m.mu.Unlock()
	a, err := peer.Call[messages.SyncAnswer](ctx, m.endpoint, e.Peer, methodSync, q)
	if err != nil {
		m.recordMiss(e, err)
		return false
	}
	m.mu.Lock()
	if _, missed := m.missed[e.Node]; missed {
		delete(m.missed, e.Node)
		m.updateWatchingLocked()
	}
	m.differingSyncs++
	if a.Same || q.Full {
		m.differingSyncs = 0
	}
	m.mu.Unlock()
	if len(a.Entries) > 0 {
		m.merge(a.Entries, "synced")
		m.send(e, m.newer(a.Entries))
	}
	m.fetchIfNewer(a.Version, e)
	if a.Quarantined != quarantined || a.Crashes != crashes {
		m.evidence.Compare(m.ctx, e, a.Quarantined, a.Crashes)
	}
	return true
}

// newer returns the known entries that are missing from theirs or older there.
func (m *Members) newer(theirs []messages.Entry) []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.NewerThan(theirs)
}

// answerChanges answers a question for the changes since a version. A node that is about to
// have a later version, which it may have announced to the one that asks, waits for it. Whole
// documents are sent one after the other, and not at all if the link is too busy: several at
// once fill a narrow link for seconds.
func (m *Members) answerChanges(ctx context.Context, q messages.VersionQuestion) messages.VersionAnswer {
	above := max(q.Above, 0)
	if len(q.Digests) > 0 {
		wait.Until(ctx, answerWait, func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.plan.Wanted() <= uint64(above) || m.versions.Version() > uint64(above)
		})
	}
	a := m.versions.Answer(uint64(above), q.Digests)
	if len(a.Content) > 0 && !m.awaitUplink(ctx, len(a.Content), documentTimeout) {
		m.log.WriteLimited("documentNotSent", log.Fields{"version": m.versions.Version(), "above": above, "bytes": len(a.Content)})
		return messages.VersionAnswer{}
	}
	return a
}

// recordMiss records a failed comparison with a node, and forgets the node after too
// many of them.
func (m *Members) recordMiss(e messages.Entry, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.missed[e.Node]
	if n.count == 0 {
		n.since = time.Now()
		m.log.WriteLimited("nodeNotReached", log.Fields{"peer": e.Node, "error": cause})
	}
	n.count++
	wasWatcher := slices.Contains(m.watchersLocked(m.roster.Own().Zone), e.Node)
	m.missed[e.Node] = n
	m.updateWatchingLocked()
	if wasWatcher && !m.stopped {
		// The node may have failed to announce versions for a while.
		m.group.Go(func() error { m.versions.ReadChanges(m.ctx); return nil })
	}
	if n.count < minForgetMisses || time.Since(n.since) < minForgetTime || !m.roster.Remove(e.Node) {
		return
	}
	delete(m.missed, e.Node)
	m.forgotten[e.Node] = e.Epoch
	m.log.WriteLimited("nodeForgotten", log.Fields{"peer": e.Node, "missed": n.count, "address": e.Call.String()})
	after := time.Duration(0)
	if e.State == messages.EntryStateLeaving {
		// The next process of the node needs the entry to ignore late heartbeats.
		after = leaveMemory
	}
	m.deleteObjectLocked(e.Node, after)
}
