// Package members maintains the membership of the fleet: each node publishes an entry
// with its state to all other nodes, and holds the entries of all nodes in its roster.
//
// A node finds the others in the platform's object store, where each node has one
// object. Later changes are sent directly to all nodes. In addition, each node
// periodically compares its roster with that of one other node. This repairs lost
// messages and brings configurations to a node that is cut off from the store:
//
//	m := members.New(own, client, versions, log, onEarlierEntry)
//	m.Handle(&mux)
//	group.Go(func() error { return m.Run(ctx, endpoint) })
//	m.Update(func(e *messages.Entry) { e.State = messages.EntryStateReady })
package members

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/fetchplan"
	"lavenderdeal/core/roster"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/store"
	messages "lavenderdeal/schema/roster"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// firstWriteTimeout bounds the first write of this node's entry, which delays the
	// first listing of nodes. A store under load answers within a few tenths of
	// a second.
	firstWriteTimeout = 500 * time.Millisecond
	// peerTimeout bounds a call to another node, which is milliseconds away.
	peerTimeout = 600 * time.Millisecond
	// syncInterval is the mean time between comparisons of the roster with another
	// node.
	syncInterval = 1 * time.Second
	// listInterval is the mean time between listings of the nodes in the store, for a
	// node that watches the store.
	listInterval = 4 * time.Second
	// idleListInterval is the same for a node that does not watch the store.
	idleListInterval = 12 * time.Second
	// aloneListInterval is the same while no other node is known or no listing has
	// succeeded.
	aloneListInterval = 300 * time.Millisecond
	// restoredJitter bounds the delay before a node lists the store that has come back from an
	// older copy, which all nodes notice at about the same time.
	restoredJitter = 1500 * time.Millisecond
	// waitingDelay is how long a node that has started waits for a heartbeat of its server
	// before it sends its entry to all other nodes without one.
	waitingDelay = 2 * time.Second
	// newsAttempts bounds the attempts to deliver an announcement to a node, and
	// newsRetryDelay is the pause between them.
	newsAttempts   = 3
	newsRetryDelay = 100 * time.Millisecond
	// relayMemory is how long announcements of versions as high as the last one are not
	// passed on. Those of one version arrive within a second or two.
	relayMemory = 2 * time.Second
	// A node is forgotten after minForgetTime without an answer and at least
	// minForgetMisses failures in a row. The time is longer than a partition usually
	// lasts. A node that is still running introduces itself again.
	minForgetTime   = 12 * time.Second
	minForgetMisses = 3

	// maxDifferingSyncs is the number of comparisons in a row that find a difference
	// before all entries are exchanged, which are many bytes in a large fleet.
	maxDifferingSyncs = 2
	// changesTimeout bounds a request for the changes of a configuration. An answer is used
	// even if the store has been read meanwhile.
	changesTimeout = 1 * time.Second
	// answerWait is how long a node that is asked for changes waits for a version that it
	// is fetching itself. It is shorter than fetchplan.HedgeDelay.
	answerWait = 150 * time.Millisecond
	// documentTimeout is enough for a document of a megabyte over a link of 7 Mbit/s.
	documentTimeout = 1500 * time.Millisecond
	// leaveWriteTimeout bounds the first attempt to store that the server is leaving. The
	// server waits for a second, and a kept connection to the store may be silent.
	// leaveRetryDelay is the mean pause after the first attempt, which doubles up to
	// maxLeaveRetryDelay. Pauses are up to half as long again, and the store has the entry
	// within 2 s of its return.
	leaveWriteTimeout  = 350 * time.Millisecond
	leaveRetryDelay    = 100 * time.Millisecond
	maxLeaveRetryDelay = 800 * time.Millisecond
	// leaveMemory is how long the stored entry of a forgotten node is kept if its server
	// was leaving: longer than such a server runs on and heartbeats are late.
	leaveMemory = 30 * time.Second
	// watchersPerZone is the number of nodes that watch the store for their zone.
	// With two, one may be cut off without a delay for the others.
	watchersPerZone = 2

	// maxIntroductions is the number of nodes from which a starting node gets the
	// states of all nodes.
	maxIntroductions = 3

	// The methods of the messages between nodes.
	methodTell    = "rosterTell"
	methodNews    = "rosterNews"
	methodSuspect = "rosterSuspect"
	methodSync    = "rosterSync"
	methodVersion = "rosterVersion"
)

// Members is the node's view of all nodes. It is safe for concurrent use. Lock
// order: mu is the only lock.
type Members struct {
	store *store.Client
	// endpoint is nil before Run. Messages of other nodes may arrive before.
	endpoint *peer.Endpoint
	versions *versions.Follower
	log      *jsonlog.Log
	group    errgroup.Group
	// planChanged wakes fetchLoop.
	planChanged chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// missed holds the consecutive failed comparisons, by node.
	missed map[string]misses
	// forgotten holds the last known epochs of forgotten nodes, by node.
	forgotten map[string]int
	// restored is set when the store has come back from an older copy and was not listed
	// since.
	restored bool
	// introduced is set once introduceAtStart has introduced this node.
	introduced bool
	// written is set when the store holds an object of this node.
	written bool
	stopped bool
	// listed is set once the store has listed the nodes.
	listed bool
	// listCount counts the listings of nodes in the store.
	listCount int
	// plan holds the configuration versions that other nodes have announced and that are
	// not applied. fetching is set while fetchLoop runs.
	plan     *fetchplan.Plan
	fetching bool
	// relayedVersion is the version of the announcement that was last passed on, at
	// relayedAt.
	relayedVersion int
	relayedAt      time.Time
	// differingSyncs counts the consecutive comparisons that found a difference.
	differingSyncs int
	// leave is the last announcement of the server that it is leaving, or nil.
	leave          *leave
	onEarlierEntry func(messages.Entry)
	onRecovered    func()
	awaitUplink    func(ctx context.Context, bytes int, within time.Duration) bool
	evidence       Evidence
	// storeRecovered wakes discoverLoop when the store answers again.
	storeRecovered chan struct{}
	// ctx is canceled when Run ends.
	ctx    context.Context
	cancel context.CancelFunc
}

// Evidence is what nodes know of requests that crash servers. It is called concurrently.
type Evidence interface {
	// Digests returns hashes of the quarantined requests and of the crashes.
	Digests() (quarantined, crashes string)
	// Compare gets the evidence of another node if it differs by its hashes.
	Compare(ctx context.Context, e messages.Entry, quarantined, crashes string)
}

type noEvidence struct{}

func (noEvidence) Digests() (quarantined, crashes string) { return "", "" }

func (noEvidence) Compare(context.Context, messages.Entry, string, string) {}

// Option configures Members.
type Option func(*Members)

// WithEarlierEntry sets the function that is called with each entry that an earlier process
// of this node has published.
func WithEarlierEntry(fn func(messages.Entry)) Option {
	return func(m *Members) { m.onEarlierEntry = fn }
}

// WithRecovered sets the function that is called once the store has shown what earlier
// processes of this node have left there, after the calls for their entries. It may be
// called again.
func WithRecovered(fn func()) Option { return func(m *Members) { m.onRecovered = fn } }

// WithUplink sets the function that waits until the instance's link can send a number of
// bytes. It returns false if that is not possible within the given time. By default the link
// is never full.
func WithUplink(await func(ctx context.Context, bytes int, within time.Duration) bool) Option {
	return func(m *Members) { m.awaitUplink = await }
}

// WithEvidence sets the evidence that is compared with that of other nodes, beside the
// roster. By default there is none.
func WithEvidence(e Evidence) Option { return func(m *Members) { m.evidence = e } }

// New returns Members that know only this node's entry, own. Handle must be called
// before the endpoint listens; Run sets the endpoint.
func New(own messages.Entry, client *store.Client, v *versions.Follower, l *jsonlog.Log, opts ...Option) *Members {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		store: client, versions: v, log: l, roster: roster.New(own),
		missed: make(map[string]misses), forgotten: make(map[string]int), storeRecovered: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		plan: fetchplan.New(), planChanged: make(chan struct{}, 1),
		onEarlierEntry: func(messages.Entry) {}, onRecovered: func() {},
		awaitUplink: func(context.Context, int, time.Duration) bool { return true },
		evidence:    noEvidence{},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Handle registers the handlers for messages of other nodes.
func (m *Members) Handle(mux *peer.Mux) {
	peer.Handle(mux, methodTell, func(_ context.Context, q messages.Tell) (messages.Told, error) {
		m.merge(q.Entries, "told")
		m.introduceAtStart(q.Entries)
		return messages.Told{Version: int(m.versions.Version())}, nil
	})
	peer.Handle(mux, methodSync, func(_ context.Context, q messages.SyncQuestion) (messages.SyncAnswer, error) {
		m.merge(q.Entries, "synced")
		m.handleNews(messages.News{Node: q.Node, Version: q.Version})
		quarantined, crashes := m.evidence.Digests()
		m.mu.Lock()
		defer m.mu.Unlock()
		a := messages.SyncAnswer{Version: int(m.versions.Version()), Same: q.Digest == m.roster.Digest(), Quarantined: quarantined, Crashes: crashes}
		if from, ok := m.roster.Get(q.Node); ok && !m.stopped && m.endpoint != nil && (q.Quarantined != quarantined || q.Crashes != crashes) {
			m.group.Go(func() error {
				m.evidence.Compare(m.ctx, from, q.Quarantined, q.Crashes)
				return nil
			})
		}
		switch {
		case a.Same:
		case q.Full:
			a.Entries = m.roster.All()
		case q.Epoch != m.roster.Own().Epoch:
			// The other node does not know this process yet. It replies with the
			// entries that this process lacks.
			a.Entries = []messages.Entry{m.roster.Own()}
		}
		return a, nil
	})
	peer.Handle(mux, methodNews, func(_ context.Context, q messages.News) (messages.Told, error) {
		m.handleNews(q)
		return messages.Told{Version: int(m.versions.Version())}, nil
	})
	peer.Handle(mux, methodSuspect, func(_ context.Context, q messages.Suspect) (messages.Told, error) {
		m.checkReachable(q.Node)
		return messages.Told{Version: int(m.versions.Version())}, nil
	})
	peer.Handle(mux, methodVersion, func(ctx context.Context, q messages.VersionQuestion) (messages.VersionAnswer, error) {
		return m.answerChanges(ctx, q), nil
	})
}

// Ready returns the entries of the nodes whose servers of a service take requests, or,
// if there are none, of those that are stopping or leaving. The slice is never modified,
// so it can be read without a lock; the caller must not modify it either.
func (m *Members) Ready(service string) []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Ready(service)
}

// IsDiscovered reports whether the other nodes are known. It is false for a moment after the
// start, and longer while the store does not answer.
func (m *Members) IsDiscovered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed || m.roster.Len() > 1
}

// Zone returns the entries of the nodes of a zone, this one included.
func (m *Members) Zone(zone string) []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.roster.All(), func(e messages.Entry) bool { return e.Zone != zone })
}

// ServicePeers returns the peer addresses of the other nodes of this node's service.
func (m *Members) ServicePeers() []netip.AddrPort {
	return m.peers(func(e, own messages.Entry) bool { return e.Service == own.Service })
}

// OtherPeers returns the peer addresses of the nodes of other services.
func (m *Members) OtherPeers() []netip.AddrPort {
	return m.peers(func(e, own messages.Entry) bool { return e.Service != own.Service })
}

// peers returns the peer addresses of the other nodes for which fn returns true.
func (m *Members) peers(fn func(e, own messages.Entry) bool) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.roster.Own()
	var addrs []netip.AddrPort
	for _, e := range m.roster.Others() {
		if fn(e, own) {
			addrs = append(addrs, e.Peer)
		}
	}
	return addrs
}

// Entries returns the entries of all known nodes, sorted by node.
func (m *Members) Entries() []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.All()
}

// IsReachable reports whether a node has answered the last comparison of rosters.
func (m *Members) IsReachable(node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.missed[node].count == 0
}

// Len returns the number of known nodes, this one included.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Len()
}

// Own returns this node's entry.
func (m *Members) Own() messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Own()
}

// Update changes this node's entry and sends it to all other nodes in the background.
// It also writes the entry to the store if the server is leaving.
func (m *Members) Update(change func(*messages.Entry)) {
	m.mu.Lock()
	own := m.roster.Update(change)
	m.updateWatchingLocked()
	m.mu.Unlock()
	m.log.WriteLimited("ownEntry", log.Fields{"state": own.State, "server": own.Server, "slots": own.Slots, "software": own.SoftwareVersion, "epoch": own.Epoch, "sequence": own.Sequence})
	m.broadcast(own)
	if own.State == messages.EntryStateLeaving {
		m.persist(own)
	}
}

// Run exchanges entries with other nodes and the store until ctx ends. It always
// returns nil.
func (m *Members) Run(ctx context.Context, endpoint *peer.Endpoint) error {
	m.mu.Lock()
	m.endpoint = endpoint
	m.mu.Unlock()
	m.group.Go(func() error { m.discoverLoop(ctx); return nil })
	m.group.Go(func() error { m.syncLoop(ctx); return nil })
	<-ctx.Done()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel()
	return m.group.Wait()
}

// merge merges received entries into the roster. The source is where they came from,
// for the log.
func (m *Members) merge(entries []messages.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	m.mu.Lock()
	own := m.roster.Own()
	left := m.leavingLocked(entries)
	changed := m.roster.Merge(entries)
	m.updateWatchingLocked()
	m.mu.Unlock()
	for _, e := range entries {
		if e.Node == own.Node && e.Epoch != own.Epoch {
			m.onEarlierEntry(e)
		}
	}
	for _, e := range changed {
		m.log.WriteLimited("entryChanged", log.Fields{"peer": e.Node, "state": e.State, "server": e.Server, "epoch": e.Epoch, "sequence": e.Sequence, "source": source})
		if e.Node == own.Node {
			m.broadcast(e)
		}
		if earlier, ok := left[e.Node]; ok && earlier.Epoch < e.Epoch && e.State != messages.EntryStateLeaving {
			// The new process of that node may not know it, while the store is away.
			m.send(e, []messages.Entry{earlier})
		}
	}
}

// leavingLocked returns the known entries of the nodes of the given ones whose servers are
// leaving, by node.
func (m *Members) leavingLocked(entries []messages.Entry) map[string]messages.Entry {
	left := make(map[string]messages.Entry)
	for _, e := range entries {
		if known, ok := m.roster.Get(e.Node); ok && known.State == messages.EntryStateLeaving {
			left[e.Node] = known
		}
	}
	return left
}

// Introduce sends this node's entry to another node in the background.
func (m *Members) Introduce(to messages.Entry) { m.send(to, []messages.Entry{m.Own()}) }

// broadcast sends an entry to all other nodes.
func (m *Members) broadcast(e messages.Entry) {
	m.mu.Lock()
	others := m.roster.Others()
	m.mu.Unlock()
	for _, to := range others {
		m.send(to, []messages.Entry{e})
	}
}

// send sends entries to a node in the background, and fetches the node's configuration
// if it is newer.
func (m *Members) send(to messages.Entry, entries []messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Run waits for the group once stopped is set.
	if m.stopped || m.endpoint == nil || len(entries) == 0 {
		return
	}
	m.group.Go(func() error {
		ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
		defer cancel()
		a, err := peer.Call[messages.Told](ctx, m.endpoint, to.Peer, methodTell, messages.Tell{Entries: entries})
		if err != nil {
			m.log.WriteLimited("notTold", log.Fields{"peer": to.Node, "error": err})
			return nil
		}
		m.fetchIfNewer(a.Version, to)
		return nil
	})
}
