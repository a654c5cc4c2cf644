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
	"sync/atomic"
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

	// differingLimit is the number of comparisons in a row that find a difference
	// before all entries are exchanged, which are many bytes in a large fleet.
	differingLimit = 2
	// fetchLimit is the time for a document of a megabyte over a link of 7 Mbit/s.
	fetchLimit = 1500 * time.Millisecond
	// keepTries bounds the attempts to keep in the store that a server leaves.
	keepTries = 5
	// introductions is the number of nodes from which a node that starts learns
	// the others' states.
	introductions = 3

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
	fetching atomic.Bool

	mu     sync.Mutex
	roster *roster.Roster
	// missed holds failed comparisons in a row by node.
	missed map[string]misses
	// forgotten holds the epochs of nodes that were forgotten.
	forgotten map[string]int
	// written says that the store holds an object of this node.
	written bool
	stopped bool
	// differing counts comparisons in a row that found a difference.
	differing int
	past      func(messages.Entry)
}

type misses struct {
	count int
	since time.Time
}

// New returns the members with the own entry only. Handle must be called before
// the endpoint listens; the endpoint is set by Run. Past is called with what an
// earlier process of the node is remembered to have said.
func New(own messages.Entry, client *store.Client, v *versions.Follower, l *lines.Log, past func(messages.Entry)) *Members {
	return &Members{past: past, store: client, versions: v, log: l, roster: roster.New(own), missed: make(map[string]misses), forgotten: make(map[string]int)}
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
		a := messages.SyncAnswer{Version: int(m.versions.Version()), Same: q.Digest == m.roster.Digest()}
		if !a.Same && q.Full {
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
	if own.State == messages.EntryStateLeaving {
		m.keep(own)
	}
}

// keep writes the own entry to the store, so that a later process of this node
// knows what this one has acknowledged although all others may end too.
func (m *Members) keep(own messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.group.Go(func() error {
		ctx := context.Background()
		for range keepTries {
			err := m.write(ctx)
			if err == nil {
				return nil
			}
			m.log.Note("leaveNotKept", log.Fields{"server": own.Server, "error": err})
			wait.For(ctx, listAlone/2+rand.N(listAlone))
		}
		return nil
	})
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
	stale, first := false, true
	for ctx.Err() == nil {
		n, err := m.list(ctx, stale)
		if own := m.Own(); err == nil && first {
			first = false
			if own.State != messages.EntryStateWaiting {
				// The server spoke before the others were known.
				m.broadcast(own)
			}
		}
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
	past := slices.DeleteFunc(slices.Clone(all), func(e messages.Entry) bool { return e.Node != own.Node || e.Epoch == own.Epoch })
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
	for _, e := range past {
		m.past(e)
	}
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
	m.mu.Lock()
	exists := m.written
	m.mu.Unlock()
	if !exists {
		path, body, err := platform.NodeCreate(own)
		if err != nil {
			return err
		}
		err = m.store.Post(ctx, path, body, callLimit)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		m.mu.Lock()
		m.written = true
		m.mu.Unlock()
		if err == nil {
			return nil
		}
	}
	path, body, err := platform.NodeReplace(own)
	if err != nil {
		return err
	}
	err = m.store.Put(ctx, path, body, callLimit)
	if errors.Is(err, store.ErrMissing) {
		m.mu.Lock()
		m.written = false
		m.mu.Unlock()
	}
	return err
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
	for _, i := range rand.Perm(len(entries))[:min(introductions, len(entries))] {
		e := entries[i]
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
	// News that are on their way make rosters differ for a moment.
	q := messages.SyncQuestion{
		Digest: m.roster.Digest(), Version: int(m.versions.Version()),
		Full: introduce || m.differing >= differingLimit,
	}
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
	m.differing++
	if a.Same || q.Full {
		m.differing = 0
	}
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

// fetchAbove gets a configuration from another node when neither the own watch
// nor a look into the store has brought it. One call at a time does so: when all
// nodes answer news with a higher version, a document from each would fill the
// link for seconds.
func (m *Members) fetchAbove(ctx context.Context, e messages.Entry, version int) {
	if uint64(version) <= m.versions.Version() || !m.fetching.CompareAndSwap(false, true) {
		return
	}
	defer m.fetching.Store(false)
	if m.versions.Version() > 0 {
		if !wait.For(ctx, ownWatch) || uint64(version) <= m.versions.Version() {
			return
		}
		m.versions.Look(ctx)
	}
	above := m.versions.Version()
	if uint64(version) <= above {
		return
	}
	// A document may be long and the link slow.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchLimit)
	defer cancel()
	m.log.Note("versionAsked", log.Fields{"from": e.Node, "version": version, "inForce": above})
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
	for _, e := range entries {
		if e.Node == own.Node && e.Epoch != own.Epoch {
			m.past(e)
		}
	}
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
