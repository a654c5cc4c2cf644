package members

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/wait"
	"lavenderdeal/io/store"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

// leave is the state of storing that a server is leaving.
type leave struct {
	server  string
	started int
	// kept is closed once the store has the entry.
	kept chan struct{}
}

// persist writes this node's entry, by which its server is leaving, to the store in the
// background, so that the next process of this node knows it even if all other nodes end
// too. It tries until it has succeeded or another server has taken the place.
func (m *Members) persist(own messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.leave != nil && m.leave.server == own.Server && m.leave.started == own.Started {
		return
	}
	l := &leave{server: own.Server, started: own.Started, kept: make(chan struct{})}
	m.leave = l
	m.group.Go(func() error {
		limit, delay := leaveWriteTimeout, leaveRetryDelay
		for m.isLeaving(l) {
			err := m.write(m.ctx, 0, limit)
			if err == nil {
				close(l.kept)
				return nil
			}
			m.log.WriteLimited("leaveNotKept", log.Fields{"server": own.Server, "error": err})
			if !wait.For(m.ctx, delay/2+rand.N(delay)) {
				return nil
			}
			limit, delay = storeTimeout, min(2*delay, maxLeaveRetryDelay)
		}
		return nil
	})
}

// isLeaving reports whether the entry of this node still has the server of l.
func (m *Members) isLeaving(l *leave) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.roster.Own()
	return own.State == messages.EntryStateLeaving && own.Server == l.server && own.Started == l.started
}

// AwaitKept waits until the store has the entry by which the server is leaving. It returns
// false if ctx ends first, or if the entry of this node does not say so.
func (m *Members) AwaitKept(ctx context.Context, server string) bool {
	m.mu.Lock()
	l := m.leave
	m.mu.Unlock()
	if l == nil || l.server != server || !m.isLeaving(l) {
		return false
	}
	select {
	case <-l.kept:
		return true
	case <-ctx.Done():
		return false
	}
}

// wakeDiscovery makes discoverLoop list the nodes soon.
func (m *Members) wakeDiscovery() {
	select {
	case m.storeRecovered <- struct{}{}:
	default:
	}
}

// storeRestored writes again what nodes had written to the store, which has come back from
// an older copy: that this node's server is leaving at once, and the rest once the store
// has been listed.
func (m *Members) storeRestored() {
	m.mu.Lock()
	m.restored = true
	own, left := m.roster.Own(), m.leave
	if left != nil {
		m.leave = nil
	}
	m.mu.Unlock()
	if left != nil && own.State == messages.EntryStateLeaving {
		m.persist(own)
	}
	m.wakeDiscovery()
}

// takeRestored reports whether the store has come back from an older copy since the last call.
func (m *Members) takeRestored() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	restored := m.restored
	m.restored = false
	return restored
}

// writeLeft writes the entries of other nodes whose servers are leaving and that the store
// has lost: their processes may have ended. Only the nodes that watch for a zone do so.
func (m *Members) writeLeft(ctx context.Context, listed listing) {
	if !m.versions.IsWatching() {
		return
	}
	own := m.Own()
	for _, e := range m.newer(listed.entries) {
		if e.Node == own.Node || e.Zone != own.Zone || e.State != messages.EntryStateLeaving {
			continue
		}
		err := m.writeOther(ctx, e, listed.revisions[e.Node])
		if err != nil && !errors.Is(err, store.ErrConflict) {
			m.log.WriteLimited("nodeNotWritten", log.Fields{"peer": e.Node, "error": err})
		}
	}
}

// writeOther writes another node's entry if the object there has the revision, or if there is
// none and the revision is 0.
func (m *Members) writeOther(ctx context.Context, e messages.Entry, revision uint64) error {
	if revision == 0 {
		path, body, err := platform.NodeCreate(e)
		if err != nil {
			return err
		}
		return m.store.Post(ctx, path, body, storeTimeout)
	}
	path, body, err := platform.NodeReplace(e, revision)
	if err != nil {
		return err
	}
	return m.store.Put(ctx, path, body, storeTimeout)
}

// discoverLoop periodically lists the nodes in the store, and writes this node's entry
// there if it is missing or outdated, until ctx ends.
func (m *Members) discoverLoop(ctx context.Context) {
	stale, first := false, true
	for ctx.Err() == nil {
		if !m.hasWritten() {
			// Create this node's entry before listing, so that of two nodes that
			// start at once the later one finds the earlier. An entry of an earlier
			// process of this node is not overwritten before it is read.
			err := m.create(ctx, firstWriteTimeout)
			switch {
			case err == nil:
				// There was none, so no earlier process has left anything.
				m.onRecovered()
			case !errors.Is(err, store.ErrConflict):
				m.log.WriteLimited("nodeNotWritten", log.Fields{"error": err})
			}
		}
		restored := m.takeRestored()
		if restored && !wait.For(ctx, rand.N(restoredJitter)) {
			return
		}
		listed, err := m.list(ctx, stale && !restored)
		if err == nil && !stale {
			m.onRecovered()
		}
		m.mu.Lock()
		m.listCount++
		m.listed = m.listed || err == nil
		m.updateWatchingLocked()
		m.mu.Unlock()
		if own := m.Own(); err == nil && first {
			first = false
			if own.State != messages.EntryStateWaiting {
				// The server sent a heartbeat before the other nodes were known.
				m.broadcast(own)
			} else {
				m.broadcastWaiting(ctx)
			}
		}
		switch {
		case err != nil:
			m.log.WriteLimited("nodesNotListed", log.Fields{"error": err, "known": m.Len()})
			if restored {
				m.mu.Lock()
				m.restored = true
				m.mu.Unlock()
			}
		case !m.isWritten(listed.entries):
			if err := m.write(ctx, listed.revisions[m.Own().Node], storeTimeout); err != nil {
				m.log.WriteLimited("nodeNotWritten", log.Fields{"error": err})
				break
			}
			stale = true
		default:
			stale = true
		}
		if err == nil && restored {
			m.writeLeft(ctx, listed)
		}
		d := listInterval
		if !m.versions.IsWatching() {
			d = idleListInterval
		}
		if m.Len() == 1 || !stale {
			d = aloneListInterval
		}
		m.pause(ctx, d/2+rand.N(d))
	}
}

// broadcastWaiting sends this node's entry to all other nodes after a moment if its server
// has still sent no heartbeat, which would cause it to be sent. The watching nodes announce
// versions only to the nodes that they know.
func (m *Members) broadcastWaiting(ctx context.Context) {
	m.group.Go(func() error {
		if own := m.Own(); wait.For(ctx, waitingDelay) && m.Own().Sequence == own.Sequence {
			m.broadcast(own)
		}
		return nil
	})
}

// pause waits for d, or until the store answers again or ctx ends.
func (m *Members) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.storeRecovered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list reads all entries from the store, merges those of unknown nodes and
// introduces this node to some of them. It deletes the objects of nodes whose address
// this node has taken over. It returns all entries. If stale is set, the store may
// answer from an older copy.
func (m *Members) list(ctx context.Context, stale bool) (listing, error) {
	var all []messages.Entry
	revisions := make(map[string]uint64)
	after := ""
	for {
		body, err := m.store.Get(ctx, platform.NodeList(after, stale), storeTimeout)
		if err != nil {
			return listing{}, err
		}
		page, err := platform.ReadNodes(body)
		if err != nil {
			return listing{}, err
		}
		maps.Copy(revisions, page.Revisions)
		if page.Unreadable > 0 {
			m.log.WriteLimited("nodesUnreadable", log.Fields{"count": page.Unreadable})
		}
		all = append(all, page.Entries...)
		if after = page.After; after == "" {
			break
		}
	}
	m.mu.Lock()
	own := m.roster.Own()
	earlier := slices.DeleteFunc(slices.Clone(all), func(e messages.Entry) bool { return e.Node != own.Node || e.Epoch == own.Epoch })
	unknown := slices.DeleteFunc(slices.Clone(all), func(e messages.Entry) bool {
		epoch, gone := m.forgotten[e.Node]
		_, known := m.roster.Get(e.Node)
		return known || gone && e.Epoch <= epoch
	})
	for _, e := range all {
		if e.Call == own.Call && e.Node != own.Node {
			// This node has taken over the address, so the node that had it is gone.
			m.deleteObjectLocked(e.Node, 0)
		}
	}
	unknown = slices.DeleteFunc(unknown, func(e messages.Entry) bool { return e.Call == own.Call })
	m.mu.Unlock()
	for _, e := range earlier {
		m.onEarlierEntry(e)
	}
	if len(unknown) > 0 {
		// The stored entry gives the address of the node, but its state may be
		// outdated.
		for i := range unknown {
			unknown[i].State = messages.EntryStateWaiting
			unknown[i].Epoch, unknown[i].Sequence = 0, 0
		}
		m.merge(unknown, "listed")
		m.introduce(unknown)
	}
	return listing{entries: all, revisions: revisions}, nil
}

// listing is a list of the nodes in the store.
type listing struct {
	entries []messages.Entry
	// revisions holds the revisions of their objects, by node.
	revisions map[string]uint64
}

// isWritten reports whether the listed entries include this node's with its current
// addresses, zone and service.
func (m *Members) isWritten(all []messages.Entry) bool {
	own := m.Own()
	return slices.ContainsFunc(all, func(e messages.Entry) bool {
		return e.Node == own.Node && e.Call == own.Call && e.Peer == own.Peer && e.Zone == own.Zone && e.Service == own.Service
	})
}

func (m *Members) hasWritten() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.written
}

// create creates this node's entry in the store. It returns store.ErrConflict if the
// store already has an entry of this node.
func (m *Members) create(ctx context.Context, limit time.Duration) error {
	path, body, err := platform.NodeCreate(m.Own())
	if err != nil {
		return err
	}
	if err = m.store.Post(ctx, path, body, limit); err == nil || errors.Is(err, store.ErrConflict) {
		m.mu.Lock()
		m.written = true
		m.mu.Unlock()
	}
	return err
}

// write writes this node's current entry to the store, if the object there has the revision;
// 0 replaces any. A write that gets no answer may be executed seconds later. With a
// revision it cannot replace a later entry, by which the server is leaving.
func (m *Members) write(ctx context.Context, revision uint64, limit time.Duration) error {
	if !m.hasWritten() {
		if err := m.create(ctx, limit); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	path, body, err := platform.NodeReplace(m.Own(), revision)
	if err != nil {
		return err
	}
	err = m.store.Put(ctx, path, body, limit)
	if errors.Is(err, store.ErrNotFound) {
		m.mu.Lock()
		m.written = false
		m.mu.Unlock()
		return m.create(ctx, limit)
	}
	return err
}

// introduce sends this node's entry to some of the nodes that were found in the store,
// and gets their rosters, in the background.
func (m *Members) introduce(entries []messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.endpoint == nil {
		return
	}
	for _, i := range rand.Perm(len(entries))[:min(maxIntroductions, len(entries))] {
		e := entries[i]
		m.group.Go(func() error {
			ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
			defer cancel()
			m.exchange(ctx, e, true)
			return nil
		})
	}
}

// introduceAtStart introduces this node to some of the given ones, once, while it has no
// configuration: it may have started without the store and has been found by them.
func (m *Members) introduceAtStart(entries []messages.Entry) {
	m.mu.Lock()
	own := m.roster.Own().Node
	others := slices.DeleteFunc(slices.Clone(entries), func(e messages.Entry) bool { return e.Node == own })
	ok := !m.introduced && len(others) > 0 && m.versions.Version() == 0
	m.introduced = m.introduced || ok
	m.mu.Unlock()
	if ok {
		m.introduce(others)
	}
}

// deleteObjectLocked deletes a node's object from the store after a delay, in the
// background. If the node is still running, it finds its object missing and writes it
// again.
func (m *Members) deleteObjectLocked(node string, after time.Duration) {
	if m.stopped {
		return
	}
	m.group.Go(func() error {
		if !wait.For(m.ctx, after) {
			return nil
		}
		err := m.store.Delete(m.ctx, platform.NodeDelete(node), storeTimeout)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			m.log.WriteLimited("nodeNotRemoved", log.Fields{"peer": node, "error": err})
		}
		return nil
	})
}
