// Package membership keeps a node's view of the fleet.
//
// A [Loop] runs until its context ends and publishes a new view after each
// change. Its messages carry the version in force, so that a node that is behind
// hears of it.
package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	gossipPeriod  = 1 * time.Second
	gossipTimeout = 1 * time.Second
	peersPrefix   = "peers/"
	gossipMethod  = "gossip"
)

// Loop is the membership of one node. Lock order: mu is the only lock.
type Loop struct {
	Plans    *inforce.Plans
	View     *atomic.Pointer[fleet.View]
	Platform *platform.Client
	Endpoint *peer.Endpoint
	Ring     *explain.Ring
	Metrics  *metrics.Set
	Log      log.Interface
	Seeds    []netip.AddrPort

	mu      sync.Mutex
	self    messages.Member
	members map[string]messages.Member
}

// Start announces the node itself. It is called once, before Run.
func (l *Loop) Start(self messages.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	l.members = map[string]messages.Member{self.Id: self}
	l.publishView()
}

// SetState announces another state of the node itself.
func (l *Loop) SetState(state messages.MemberState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.State = state
	l.self.Incarnation++
	l.members[l.self.Id] = l.self
	l.publishView()
}

// Handle registers the messages that the loop answers.
func (l *Loop) Handle(mux *peer.Mux) {
	peer.Handle(mux, gossipMethod, func(_ context.Context, q messages.Gossip) (messages.Gossip, error) {
		l.merge(q)
		return l.gossip(), nil
	})
}

// Run follows the fleet until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { l.announcePeer(ctx); return nil })
	group.Go(func() error { return l.gossipForever(ctx) })
	return group.Wait()
}

// announcePeer writes the node's address for those that come later.
func (l *Loop) announcePeer(ctx context.Context) {
	entries, err := l.Platform.List(ctx, peersPrefix)
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
	}
	for _, entry := range entries {
		object, err := l.Platform.Get(ctx, entry.Key)
		if err != nil {
			continue
		}
		var peers objects.ZonePeers
		if json.Unmarshal(object.Value, &peers) == nil {
			l.mu.Lock()
			l.Seeds = append(l.Seeds, peers.Addresses...)
			l.mu.Unlock()
		}
	}
	l.mu.Lock()
	own := objects.ZonePeers{Zone: l.self.Zone, Addresses: []netip.AddrPort{l.self.Peer}}
	key := peersPrefix + l.self.Zone + "/" + l.self.Id
	l.mu.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		return
	}
	if _, err := l.Platform.Put(ctx, key, value, 0); err != nil {
		l.Metrics.Add("platformErrors", 1)
	}
}

func (l *Loop) gossipForever(ctx context.Context) error {
	for ctx.Err() == nil {
		if to, ok := l.randomPeer(); ok {
			l.gossipWith(ctx, to)
		}
		sleep(ctx, gossipPeriod)
	}
	return nil
}

func (l *Loop) gossipWith(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	answer, err := peer.Call[messages.Gossip](ctx, l.Endpoint, to, gossipMethod, l.gossip())
	if err != nil {
		l.Metrics.Add("gossipErrors", 1)
		return
	}
	l.merge(answer)
}

func (l *Loop) randomPeer() (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := append([]netip.AddrPort{}, l.Seeds...)
	for _, m := range l.members {
		candidates = append(candidates, m.Peer)
	}
	for range candidates {
		candidate := candidates[rand.IntN(len(candidates))]
		if candidate != l.self.Peer {
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

func (l *Loop) gossip() messages.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := messages.Gossip{From: l.self.Id, Version: l.Plans.Number()}
	for _, m := range l.members {
		g.Members = append(g.Members, m)
	}
	return g
}

func (l *Loop) merge(g messages.Gossip) {
	l.Plans.Heard(g.Version)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		// The node has not started yet.
		return
	}
	changed := false
	for _, m := range g.Members {
		known, ok := l.members[m.Id]
		if m.Id == l.self.Id || (ok && known.Incarnation >= m.Incarnation) {
			continue
		}
		l.members[m.Id] = m
		changed = true
	}
	if changed {
		l.publishView()
	}
}

// publishView publishes the members. The caller holds mu.
func (l *Loop) publishView() {
	members := make([]messages.Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m)
	}
	l.View.Store(fleet.NewView(l.self, members))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
