// Package membership maintains a node's view of the fleet.
//
// A [Loop] passes time and messages to the membership table of core/member, which
// implements a SWIM-style protocol, and performs the effects that the table returns.
// It publishes a new view after changes. A starting node finds other nodes through
// its seeds and through an object per availability zone in the platform, which lists
// the addresses of some nodes of the zone.
//
// The messages also carry the number of the version of the plans in force, so that an
// outdated node fetches the newer version.
//
//	loop := &membership.Loop{Plans: plans, View: view, Platform: client, ...}
//	loop.Handle(mux)
//	loop.Start(self)
//	err := loop.Run(ctx)
package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/member"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
)

const (
	// tickPeriod is the time between two calls of [member.Table.Tick].
	tickPeriod = 100 * time.Millisecond
	// publishPeriod is the minimum time between two published views, except for
	// changes of the node itself.
	publishPeriod = 50 * time.Millisecond
	// maxSends limits the sent messages that are waiting for an answer.
	maxSends = 256

	probeMethod    = "probe"
	probeForMethod = "probeFor"
	syncMethod     = "sync"
	joinMethod     = "join"
)

// Loop runs the membership protocol of one node. The exported fields are set before
// Start. Lock order: mu is the only lock.
type Loop struct {
	// Plans holds the version in force. It is told which versions the peers have.
	Plans *inforce.Plans
	// View receives each new view of the fleet.
	View *atomic.Pointer[fleet.View]
	// Platform stores the addresses of some nodes of each availability zone.
	Platform *platform.Client
	// Endpoint sends the requests to other nodes.
	Endpoint *peer.Endpoint
	// Ring receives a record of each change of a member.
	Ring    *explain.Ring
	Metrics *metrics.Set
	Log     log.Interface
	// Seeds are peer addresses of other nodes that are tried at the start, in
	// addition to those in the platform.
	Seeds []netip.AddrPort
	// StartJitter is the time over which the first read of the platform is spread
	// at random, so that a restart of the whole fleet stays below the platform's
	// rate limits. The zero value means two seconds.
	StartJitter time.Duration

	mu                sync.Mutex
	table             *member.Table
	zone              string
	ownAddr           netip.AddrPort
	startedAt         time.Time
	publishedRevision uint64
	publishedAt       time.Time
	// pending holds the messages that runSender has not taken yet.
	pending []member.Send
	// wake tells runSender that messages are pending.
	wake chan struct{}
}

// Start adds the node itself to the membership and publishes the first view. It must
// be called once, before Run.
func (l *Loop) Start(self messages.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if self.Epoch == 0 {
		self.Epoch = uint64(now.UnixMilli())
	}
	l.table = member.New(now, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	l.table.AddSeeds(l.Seeds)
	l.zone, l.ownAddr, l.startedAt = self.Zone, self.Peer, now
	l.wake = make(chan struct{}, 1)
	l.publishLocked(now)
}

// SetState changes the state of the node itself and announces it to the fleet.
func (l *Loop) SetState(state messages.MemberState) {
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.SetState(now, state) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishLocked(time.Now())
}

// Handle registers the handlers of the messages from other nodes.
func (l *Loop) Handle(mux *peer.Mux) {
	peer.Handle(mux, probeMethod, l.probe)
	peer.Handle(mux, syncMethod, l.sync)
	peer.Handle(mux, joinMethod, l.join)
	peer.Handle(mux, probeForMethod, l.probeFor)
}

// Run maintains the membership until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.runTicker(ctx) })
	group.Go(func() error { return l.runSender(ctx) })
	group.Go(func() error { return l.findPeers(ctx) })
	return group.Wait()
}

func (l *Loop) runTicker(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.event(func(t *member.Table, now time.Time) []member.Effect { return t.Tick(now) })
		}
	}
}

// event calls fn, which passes an event to the table, and performs the effects that fn
// returns. It does nothing before Start.
func (l *Loop) event(fn func(t *member.Table, now time.Time) []member.Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil {
		return
	}
	now := time.Now()
	l.table.Version = l.Plans.Number()
	malformed := l.table.Malformed()
	l.performLocked(now, fn(l.table, now))
	if n := l.table.Malformed() - malformed; n > 0 {
		l.Metrics.Add("membersMalformed", int64(n))
	}
	if now.Sub(l.publishedAt) >= publishPeriod {
		l.publishLocked(now)
	}
}

func (l *Loop) performLocked(now time.Time, effects []member.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case member.Send:
			l.pending = append(l.pending, e)
		case member.Changed:
			l.Metrics.Add(e.Kind, 1)
			l.Ring.Add(explain.Record{At: now, Kind: e.Kind, Subject: e.Subject, Detail: e.Detail})
			l.Log.WithField("subject", e.Subject).WithField("detail", e.Detail).Info(e.Kind)
		}
	}
	if len(l.pending) > 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// publishLocked publishes a new view if the members changed.
func (l *Loop) publishLocked(now time.Time) {
	if l.table == nil || l.table.Revision() == l.publishedRevision {
		return
	}
	l.publishedRevision = l.table.Revision()
	l.publishedAt = now
	l.View.Store(fleet.NewView(l.table.Self(), l.table.Members(), fleet.WithCutOff(l.table.CutOff())))
}
