package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/roster"
)

// Notify handles an event of the version follower. A node that watches the store
// announces each version. One that does not, but has found a version by itself, tells
// the watching nodes of its zone, which may have lost the store or may have ended. It may
// have stopped watching a moment ago.
func (m *Members) Notify(e versions.Event) {
	switch e := e.(type) {
	case versions.Applied:
		switch {
		case m.versions.IsWatching():
			m.announceApplied(int(e.Version))
		case e.IsUnannounced:
			m.tellWatchers(int(e.Version), !e.IsFirst)
		}
	case versions.StoreRecovered:
		// Check this node's entry in the store at once: it may have been lost.
		m.wakeDiscovery()
	case versions.StoreRestored:
		m.storeRestored()
	}
}

// updateWatchingLocked decides whether this node watches the store. The nodes need
// not agree on which of them watch: a surplus watcher costs a few calls, and a missing
// one is made up for by the periodic checks of the other nodes.
func (m *Members) updateWatchingLocked() {
	if m.listCount == 0 || m.listCount == 1 && m.roster.Len() == 1 {
		// When all nodes start at once, the first listing may find no others.
		return
	}
	m.versions.SetWatching(slices.Contains(m.watchersLocked(m.roster.Own().Zone), m.roster.Own().Node))
}

// watchersLocked returns the nodes that watch the store for a zone, according to this
// node's roster.
func (m *Members) watchersLocked(zone string) []string {
	var nodes []string
	for _, e := range m.roster.All() {
		if e.Zone == zone && e.State != messages.EntryStateStopping && m.missed[e.Node].count == 0 {
			nodes = append(nodes, e.Node)
		}
	}
	return rendezvous.Top("watch/"+zone, nodes, watchersPerZone)
}

// Sources returns the other nodes that may know the newest version: first those that watch
// the store for this zone, in random order, then those that do so for others, and as many of
// the remaining ones.
func (m *Members) Sources() []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	byZone := make(map[string][]string)
	zone := m.roster.Own().Zone
	var near, far, rest []messages.Entry
	others := slices.Clone(m.roster.Others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, e := range others {
		switch isWatcher := m.isWatcherLocked(e, byZone); {
		case isWatcher && e.Zone == zone:
			near = append(near, e)
		case isWatcher:
			far = append(far, e)
		default:
			rest = append(rest, e)
		}
	}
	list := append(near, far...)
	return append(list, rest[:min(len(rest), max(1, len(list)))]...)
}

// isWatcherLocked reports whether a node watches the store for its zone, according to
// this node's roster. The watchers of each zone are cached in byZone.
func (m *Members) isWatcherLocked(e messages.Entry, byZone map[string][]string) bool {
	watchers, ok := byZone[e.Zone]
	if !ok {
		watchers = m.watchersLocked(e.Zone)
		byZone[e.Zone] = watchers
	}
	return slices.Contains(watchers, e.Node)
}

// announceApplied announces a version that this node has applied, unless it has passed on
// an announcement of the same version.
func (m *Members) announceApplied(version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.relayedVersion {
		m.announceLocked(messages.News{Node: m.roster.Own().Node, Version: version})
	}
}

// relay passes an announcement on, unless it has passed on one of a version as high a
// moment ago. Announcements of versions that do not exist suppress others only for
// relayMemory.
func (m *Members) relay(q messages.News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if q.Version <= m.relayedVersion && now.Sub(m.relayedAt) < relayMemory {
		return
	}
	m.relayedVersion, m.relayedAt = q.Version, now
	m.announceLocked(q)
}

// announceLocked sends an announcement to the nodes of the zone that don't watch the store,
// and to the watching nodes of the other zones, which may have lost the store.
func (m *Members) announceLocked(q messages.News) {
	byZone := make(map[string][]string)
	zone := m.roster.Own().Zone
	q.Via = m.roster.Own().Node
	for _, e := range m.roster.Others() {
		isOwnZone, watches := e.Zone == zone, m.isWatcherLocked(e, byZone)
		if e.Node != q.Node && (isOwnZone && !watches || !isOwnZone && watches) {
			m.sendNewsLocked(e, q)
		}
	}
}

// tellWatchers sends the number of the applied version to the watching nodes of the zone. If
// announces is set, it has those checked that do not answer, and announces the version to the
// other nodes itself if none does.
func (m *Members) tellWatchers(version int, announces bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.roster.Own()
	names := m.watchersLocked(own.Zone)
	watchers := slices.DeleteFunc(slices.Clone(m.roster.Others()), func(e messages.Entry) bool { return !slices.Contains(names, e.Node) })
	if m.stopped || m.endpoint == nil || len(watchers) == 0 {
		return
	}
	news := messages.News{Node: own.Node, Version: version}
	m.group.Go(func() error {
		var told atomic.Bool
		var group errgroup.Group
		for _, e := range watchers {
			group.Go(func() error {
				if m.call(e, methodNews, news) == nil {
					told.Store(true)
					return nil
				}
				if announces {
					// If it does not answer others either, another node watches in its place.
					m.checkReachable(e.Node)
					m.reportSuspect(e)
				}
				m.sendNews(e, news)
				return nil
			})
		}
		_ = group.Wait()
		if announces && !told.Load() && m.ctx.Err() == nil {
			m.relay(news)
		}
		return nil
	})
}

// sendNews is like sendNewsLocked.
func (m *Members) sendNews(to messages.Entry, q messages.News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendNewsLocked(to, q)
}

// sendNewsLocked sends an announcement to a node in the background. It repeats it if the
// node does not acknowledge it, unless this node has applied a higher version meanwhile.
func (m *Members) sendNewsLocked(to messages.Entry, q messages.News) {
	if m.stopped || m.endpoint == nil {
		return
	}
	m.group.Go(func() error {
		for range newsAttempts {
			err := m.call(to, methodNews, q)
			if err == nil || uint64(q.Version) < m.versions.Version() || !wait.For(m.ctx, newsRetryDelay) {
				return nil
			}
		}
		return nil
	})
}

// reportSuspect asks the nodes of the zone to check whether a watching node still
// answers, so that another one watches in its place if not.
func (m *Members) reportSuspect(suspect messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.endpoint == nil {
		return
	}
	zone := m.roster.Own().Zone
	for _, e := range m.roster.Others() {
		if e.Node != suspect.Node && e.Zone == zone {
			m.group.Go(func() error {
				_ = m.call(e, methodSuspect, messages.Suspect{Node: suspect.Node})
				return nil
			})
		}
	}
}

// call sends a message to a node and logs a failure.
func (m *Members) call(to messages.Entry, method string, q any) error {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	_, err := peer.Call[messages.Told](ctx, m.endpoint, to.Peer, method, q)
	if err != nil {
		m.log.WriteLimited("notTold", log.Fields{"peer": to.Node, "method": method, "error": err})
	}
	return err
}

// checkReachable compares the roster with a node that another node could not reach, to
// find out whether it answers.
func (m *Members) checkReachable(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.roster.Get(node)
	if !ok || m.stopped || m.endpoint == nil || node == m.roster.Own().Node || m.missed[node].count > 0 {
		return
	}
	m.group.Go(func() error {
		ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
		defer cancel()
		m.exchange(ctx, e, false)
		return nil
	})
}

// handleNews fetches a version that another node has announced, if it is newer than the
// applied one. A node that watches the store also passes the announcement on at once:
// the others need not wait until it has the version itself.
func (m *Members) handleNews(q messages.News) {
	m.mu.Lock()
	from, ok := m.roster.Get(q.Node)
	isOwn := q.Node == m.roster.Own().Node
	if !ok || isOwn || m.stopped || m.endpoint == nil || uint64(max(q.Version, 0)) <= m.versions.Version() {
		m.mu.Unlock()
		return
	}
	askFirst := []messages.Entry{from}
	if via, ok := m.roster.Get(q.Via); ok && q.Via != q.Node && via.Node != m.roster.Own().Node {
		// A node of this zone, which may have the version meanwhile.
		askFirst = []messages.Entry{via, from}
	}
	// A node that is told by this one may ask it at once.
	m.fetchIfNewerLocked(q.Version, askFirst...)
	m.mu.Unlock()
	if m.versions.IsWatching() {
		m.relay(q)
	}
}
