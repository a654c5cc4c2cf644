// Package follow keeps the newest version of the plans in force on a node.
//
// A [Loop] runs until its context ends. It joins the decisions of core/follow,
// core/relay, core/floor and core/confirm to the platform and to the other
// nodes:
//
//   - a reader of the availability zone watches the platform and hands new
//     versions down a tree of the zone's nodes;
//   - every node fetches what it lacks from its neighbours, checks it and puts
//     whole versions in force;
//   - every node reports what it has in force to the readers of its zone, and
//     the first of them writes the status of the zone.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	core "lavenderdeal/core/follow"
	"lavenderdeal/core/minversion"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/relay"
	"lavenderdeal/core/zonestatus"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
)

const (
	tickPeriod = 100 * time.Millisecond
	// settleTime is how long a node that knows no other node of its zone waits
	// before it takes itself for a reader.
	settleTime = 2 * time.Second
	// maxTransfers bounds the transfers of chunks to other nodes at once.
	maxTransfers = 8
)

// Loop follows the versions for one node. Lock order: mu is the only lock and is
// never held during a request.
type Loop struct {
	Plans    *inforce.Plans
	View     *atomic.Pointer[fleet.View]
	Platform *platform.Client
	Endpoint *peer.Endpoint
	Ring     *explain.Ring
	Metrics  *metrics.Set
	Log      log.Interface

	run       atomic.Pointer[runState]
	transfers atomic.Int64
	pace      pace
	packed    packedChunks

	mu      sync.Mutex
	machine core.Machine
	tree    relay.Tree
	gate    minversion.Resolver
	table   zonestatus.Table
	writer  zonestatus.Writer
	// opened is set once the floor is known and reached.
	opened *minversion.Result
	// pending is the version held while the floor is not known.
	pending  *plans.Version
	view     *fleet.View
	settled  bool
	readers  []string
	isReader bool
	readerAt time.Time
	startAt  time.Time
	platform messages.HeldHeadPlatform
}

// runState is what effects need while Run runs.
type runState struct {
	ctx   context.Context
	group *errgroup.Group
}

// Run follows the versions until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	l.mu.Lock()
	l.machine.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l.platform = messages.HeldHeadPlatformUnknown
	l.startAt = time.Now()
	l.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	l.run.Store(&runState{ctx: ctx, group: group})
	defer l.run.Store(nil)
	for _, part := range []func(context.Context){l.tick, l.followHeard, l.watchPlatform, l.exchange, l.open, l.report, l.writeStatus} {
		group.Go(func() error { part(ctx); return nil })
	}
	return group.Wait()
}

// Ready says whether the node has a version in force that is not older than the
// floor, and from where the floor is known, or why not.
func (l *Loop) Ready() (source string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opened != nil {
		return l.opened.Source, true
	}
	return l.notReadyReason(time.Now()), false
}

// IsReader says whether this node reads the platform for its zone.
func (l *Loop) IsReader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isReader
}

// step passes an event to the machine and does what it says.
func (l *Loop) step(e core.Event) {
	l.mu.Lock()
	effects := slices.Clone(l.machine.Step(time.Now(), e))
	l.mu.Unlock()
	for _, effect := range effects {
		l.perform(effect)
	}
}

func (l *Loop) perform(effect core.Effect) {
	switch e := effect.(type) {
	case core.FetchHead:
		l.spawn(func(ctx context.Context) { l.fetchHead(ctx, e.From) })
	case core.FetchChunks:
		l.spawn(func(ctx context.Context) { l.fetchChunks(ctx, e.From, e.Hashes) })
	case core.Announce:
		l.announce(e)
	case core.Apply:
		l.apply(e)
	case core.Reject:
		l.Metrics.Add("versionsRejected", 1)
		l.record("versionRejected", version(e.Number), strings.Join(e.Reasons, "; "))
	case core.Conflict:
		l.Metrics.Add("versionConflicts", 1)
		l.record("versionConflict", version(e.Number), "head "+e.Held+" is held, "+string(e.From)+" has head "+e.Other+" under the same number")
	case core.PlatformBehind:
		l.Metrics.Add("storeBehind", 1)
		l.record("storeBehind", version(e.Held), "the platform has only "+version(e.Platform)+"; this node keeps what it has")
	case core.PlatformCaughtUp:
		l.record("storeCaughtUp", version(e.Platform), "the platform is no longer behind this node")
	case core.InvalidData:
		l.Metrics.Add("untrustedContent", 1)
	}
}

// apply puts a version in force, or keeps it until the floor is known.
func (l *Loop) apply(e core.Apply) {
	l.mu.Lock()
	if l.opened == nil {
		l.pending = e.Version
		l.mu.Unlock()
		l.tryOpen()
		return
	}
	l.mu.Unlock()
	l.putInForce(e.Version, e.Head.Operation+" "+e.Head.Reason)
}

func (l *Loop) putInForce(v *plans.Version, detail string) {
	if l.Plans.Set(v) {
		l.Metrics.Add("versionsApplied", 1)
		l.record("versionApplied", version(v.Number()), detail)
	}
}

func (l *Loop) record(kind, subject, detail string) {
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: subject, Detail: detail})
	l.Log.WithField("subject", subject).WithField("detail", detail).Info(kind)
}

// spawn runs fn in the background while the loop runs.
func (l *Loop) spawn(fn func(context.Context)) {
	run := l.run.Load()
	if run == nil || run.ctx.Err() != nil {
		return
	}
	run.group.Go(func() error { fn(run.ctx); return nil })
}

// tick passes the time and changes of the view.
func (l *Loop) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		l.lookAtView()
		l.step(core.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// followHeard passes on that somebody has or needs a newer version.
func (l *Loop) followHeard(ctx context.Context) {
	for {
		select {
		case <-l.Plans.Outdated():
			l.step(core.VersionReported{Number: l.Plans.Newest()})
		case <-ctx.Done():
			return
		}
	}
}

// jitter returns a random time around d: half of it to one and a half.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func version(number uint64) string { return "version " + strconv.FormatUint(number, 10) }
