// Package members spreads among the nodes what each says of itself.
//
// # Members
//
// A node finds the others in the platform's store, where each leaves one object.
// From then on they tell each other changes directly, at once to all, and
// compare their rosters with one other node now and then, which repairs what was
// lost and brings configurations to a node that is cut off from the store:
//
//	m := members.New(own, client, endpoint, versions, log)
//	group.Go(func() error { return m.Run(ctx) })
//	m.Set(ctx, func(e *roster.Entry) { e.State = roster.EntryStateReady })
package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/roster"
	"lavenderdeal/internal/lines"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/store"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

const (
	// callLimit is the time for a call to the store.
	callLimit = 1500 * time.Millisecond
	// tellLimit is the time for a message to another node, which is milliseconds
	// away.
	tellLimit = 600 * time.Millisecond
	// syncEvery is the usual time between two comparisons with another node.
	syncEvery = 1 * time.Second
	// listEvery is the usual time between two looks into the store for nodes that
	// nobody has told of.
	listEvery = 4 * time.Second
	// listAlone is that time while no other node is known.
	listAlone = 300 * time.Millisecond
	// ownWatch is the time that the node's own watch has to bring a version that
	// another node has in force.
	ownWatch = 300 * time.Millisecond
	// forgetAfter is the time without an answer after which a node is forgotten,
	// at the earliest with the forgetMisses-th failure in a row. It is longer than
	// a partition usually lasts; a node that lives tells of itself again.
	forgetAfter  = 12 * time.Second
	forgetMisses = 3

	methodTell    = "rosterTell"
	methodSync    = "rosterSync"
	methodVersion = "rosterVersion"
)

// Members is the node's view of all nodes. It is safe for use by several
// goroutines at once. Lock order: mu is the only lock.
type Members struct {
	store    *store.Client
	endpoint *peer.Endpoint
	versions *versions.Follower
	log      *lines.Log
	group    errgroup.Group

	mu     sync.Mutex
	roster *roster.Roster
	// missed holds failed comparisons in a row by node.
	missed map[string]misses
	// forgotten holds the epochs of nodes that were forgotten.
	forgotten map[string]int
	// written is the entry that the store holds.
	written messages.Entry
	stopped bool
}

type misses struct {
	count int
	since time.Time
}

// New returns the members with the own entry only. Handle must be called before
// the endpoint listens; the endpoint is set by Run.
func New(own messages.Entry, client *store.Client, v *versions.Follower, l *lines.Log) *Members {
	return &Members{store: client, versions: v, log: l, roster: roster.New(own), missed: make(map[string]misses), forgotten: make(map[string]int)}
}

// Handle registers the messages of other nodes.
func (m *Members) Handle(mux *peer.Mux) {
	peer.Handle(mux, methodTell, func(_ context.Context, q messages.Tell) (messages.Told, error) {
		m.merge(q.Entries, "told")
		return messages.Told{Version: int(m.versions.Version())}, nil
	})
	peer.Handle(mux, methodSync, func(_ context.Context, q messages.SyncQuestion) (messages.SyncAnswer, error) {
		m.merge(q.Entries, "synced")
		m.mu.Lock()
		defer m.mu.Unlock()
		a := messages.SyncAnswer{Version: int(m.versions.Version())}
		if q.Digest != m.roster.Digest() {
			a.Entries = m.roster.All()
		}
		return a, nil
	})
	peer.Handle(mux, methodVersion, func(_ context.Context, q messages.VersionQuestion) (messages.VersionAnswer, error) {
		return messages.VersionAnswer{Content: string(m.versions.Above(uint64(max(q.Above, 0))))}, nil
	})
}

// Ready returns the nodes whose servers of a service take requests. The slice is
// never changed.
func (m *Members) Ready(service string) []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Ready(service)
}

// Len returns the number of known nodes, this one included.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Len()
}

// Own returns the own entry.
func (m *Members) Own() messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Own()
}

// Set changes the own entry and tells all other nodes.
func (m *Members) Set(change func(*messages.Entry)) {
	m.mu.Lock()
	own := m.roster.Set(change)
	m.mu.Unlock()
	m.log.Note("ownEntry", log.Fields{"state": own.State, "server": own.Server, "slots": own.Slots, "epoch": own.Epoch, "sequence": own.Sequence})
	m.broadcast(own)
}

// Run spreads the own entry and learns of others until ctx ends.
func (m *Members) Run(ctx context.Context, endpoint *peer.Endpoint) error {
	m.mu.Lock()
	m.endpoint = endpoint
	m.mu.Unlock()
	m.group.Go(func() error { m.meet(ctx); return nil })
	m.group.Go(func() error { m.compare(ctx); return nil })
	<-ctx.Done()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	return m.group.Wait()
}

// meet looks for nodes in the store and leaves the own entry there.
func (m *Members) meet(ctx context.Context) {
	stale := false
	for ctx.Err() == nil {
		n, err := m.list(ctx, stale)
		switch {
		case err != nil:
			m.log.Note("nodesNotListed", log.Fields{"error": err, "known": m.Len()})
		case !m.isWritten(n):
			if err := m.write(ctx); err != nil {
				m.log.Note("nodeNotWritten", log.Fields{"error": err})
				break
			}
			stale = true
		default:
			stale = true
		}
		d := listEvery
		if m.Len() == 1 || !stale {
			d = listAlone
		}
		wait.For(ctx, d/2+rand.N(d))
	}
}

func (m *Members) list(ctx context.Context, stale bool) ([]messages.Entry, error) {
	var all []messages.Entry
	after := ""
	for {
		body, err := m.store.Get(ctx, platform.NodeList(after, stale), callLimit)
		if err != nil {
			return nil, err
		}
		page, err := platform.ReadNodes(body)
		if err != nil {
			return nil, err
		}
		if page.Unreadable > 0 {
			m.log.Note("nodesUnreadable", log.Fields{"count": page.Unreadable})
		}
		all = append(all, page.Entries...)
		if after = page.After; after == "" {
			break
		}
	}
	m.mu.Lock()
	own := m.roster.Own()
	unknown := slices.DeleteFunc(slices.Clone(all), func(e messages.Entry) bool {
		epoch, gone := m.forgotten[e.Node]
		return m.roster.Knows(e.Node) || gone && e.Epoch <= epoch
	})
	for _, e := range all {
		if e.Call == own.Call && e.Node != own.Node {
			// The address is this node's now, so its former node is gone.
			m.remove(e.Node)
		}
	}
	unknown = slices.DeleteFunc(unknown, func(e messages.Entry) bool { return e.Call == own.Call })
	m.mu.Unlock()
	if len(unknown) > 0 {
		// What a node left in the store says where it is, not how it is now.
		for i := range unknown {
			unknown[i].State = messages.EntryStateWaiting
			unknown[i].Epoch, unknown[i].Sequence = 0, 0
		}
		m.merge(unknown, "listed")
		m.introduce(unknown)
	}
	return all, nil
}

// isWritten says whether the store holds the own entry's addresses.
func (m *Members) isWritten(all []messages.Entry) bool {
	own := m.Own()
	return slices.ContainsFunc(all, func(e messages.Entry) bool {
		return e.Node == own.Node && e.Call == own.Call && e.Peer == own.Peer && e.Zone == own.Zone && e.Service == own.Service
	})
}

func (m *Members) write(ctx context.Context) error {
	own := m.Own()
	path, body, err := platform.NodeCreate(own)
	if err != nil {
		return err
	}
	err = m.store.Post(ctx, path, body, callLimit)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if path, body, err = platform.NodeReplace(own); err != nil {
		return err
	}
	return m.store.Put(ctx, path, body, callLimit)
}

// introduce sends the own entry to nodes that were found in the store and learns
// what they know.
func (m *Members) introduce(entries []messages.Entry) {
	m.mu.Lock()
	ctxOK := !m.stopped && m.endpoint != nil
	m.mu.Unlock()
	if !ctxOK {
		return
	}
	for _, e := range entries {
		m.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
			defer cancel()
			m.exchange(ctx, e, true)
			return nil
		})
	}
}

// compare compares the roster with one other node now and then.
func (m *Members) compare(ctx context.Context) {
	for wait.For(ctx, syncEvery/2+rand.N(syncEvery)) {
		m.mu.Lock()
		others := m.roster.Others()
		m.mu.Unlock()
		if len(others) == 0 {
			continue
		}
		e := others[rand.N(len(others))]
		limited, cancel := context.WithTimeout(ctx, tellLimit)
		m.exchange(limited, e, false)
		cancel()
	}
}

func (m *Members) exchange(ctx context.Context, e messages.Entry, introduce bool) {
	m.mu.Lock()
	q := messages.SyncQuestion{Digest: m.roster.Digest(), Version: int(m.versions.Version())}
	if introduce {
		q.Entries = []messages.Entry{m.roster.Own()}
	}
	m.mu.Unlock()
	a, err := peer.Call[messages.SyncAnswer](ctx, m.endpoint, e.Peer, methodSync, q)
	if err != nil {
		m.miss(e, err)
		return
	}
	m.mu.Lock()
	delete(m.missed, e.Node)
	m.mu.Unlock()
	if len(a.Entries) > 0 {
		m.merge(a.Entries, "synced")
		m.tell(e, m.newer(a.Entries))
	}
	m.fetchAbove(ctx, e, a.Version)
}

// newer returns the entries that the other side lacks or has an older state of.
func (m *Members) newer(theirs []messages.Entry) []messages.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.NewerThan(theirs)
}

// fetchAbove gets a configuration from another node when the own watch has not
// brought it.
func (m *Members) fetchAbove(ctx context.Context, e messages.Entry, version int) {
	if uint64(version) <= m.versions.Version() {
		return
	}
	if m.versions.Version() > 0 && !wait.For(ctx, ownWatch) {
		return
	}
	above := m.versions.Version()
	if uint64(version) <= above {
		return
	}
	a, err := peer.Call[messages.VersionAnswer](ctx, m.endpoint, e.Peer, methodVersion, messages.VersionQuestion{Above: int(above)})
	if err != nil {
		m.log.Note("versionNotFetched", log.Fields{"from": e.Node, "version": version, "inForce": above, "error": err})
		return
	}
	m.versions.Offer([]byte(a.Content), e.Node)
}

func (m *Members) miss(e messages.Entry, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.missed[e.Node]
	if n.count == 0 {
		n.since = time.Now()
		m.log.Note("nodeNotReached", log.Fields{"peer": e.Node, "error": cause})
	}
	n.count++
	m.missed[e.Node] = n
	if n.count < forgetMisses || time.Since(n.since) < forgetAfter || !m.roster.Forget(e.Node) {
		return
	}
	delete(m.missed, e.Node)
	m.forgotten[e.Node] = e.Epoch
	m.log.Note("nodeForgotten", log.Fields{"peer": e.Node, "missed": n.count, "address": e.Call.String()})
	m.remove(e.Node)
}

// remove takes a node's object out of the store. When the node lives after all,
// it finds its object missing and writes it again.
func (m *Members) remove(node string) {
	if m.stopped {
		return
	}
	m.group.Go(func() error {
		err := m.store.Delete(context.Background(), platform.NodeDelete(node), callLimit)
		if err != nil && !errors.Is(err, store.ErrMissing) {
			m.log.Note("nodeNotRemoved", log.Fields{"peer": node, "error": err})
		}
		return nil
	})
}

func (m *Members) merge(entries []messages.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	m.mu.Lock()
	own := m.roster.Own()
	changed := m.roster.Merge(entries)
	m.mu.Unlock()
	for _, e := range changed {
		m.log.Note("entryChanged", log.Fields{"peer": e.Node, "state": e.State, "server": e.Server, "epoch": e.Epoch, "sequence": e.Sequence, "source": source})
		if e.Node == own.Node {
			m.broadcast(e)
		}
	}
}

// broadcast sends an entry to all other nodes.
func (m *Members) broadcast(e messages.Entry) {
	m.mu.Lock()
	others := m.roster.Others()
	m.mu.Unlock()
	for _, to := range others {
		m.tell(to, []messages.Entry{e})
	}
}

func (m *Members) tell(to messages.Entry, entries []messages.Entry) {
	m.mu.Lock()
	ok := !m.stopped && m.endpoint != nil && len(entries) > 0
	m.mu.Unlock()
	if !ok {
		return
	}
	m.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		defer cancel()
		a, err := peer.Call[messages.Told](ctx, m.endpoint, to.Peer, methodTell, messages.Tell{Entries: entries})
		if err != nil {
			m.log.Note("notTold", log.Fields{"peer": to.Node, "error": err})
			return nil
		}
		m.fetchAbove(ctx, to, a.Version)
		return nil
	})
}
