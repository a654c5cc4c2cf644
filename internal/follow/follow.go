// Package follow keeps the newest version of the plans in force on a node, that is,
// makes the node authorize calls by it. A version is published in the platform as a
// head, which lists the chunks of the version's data.
//
// A [Loop] runs until its context ends. It connects the state machines of
// core/follow, core/relay, core/minversion and core/zonestatus to the platform and
// to the other nodes:
//
//   - a few nodes of each availability zone, its readers, watch the platform and
//     send the heads of new versions to the zone's nodes over a tree;
//   - every node fetches missing chunks, from other nodes rather than from the
//     platform, verifies them and puts complete versions in force;
//   - every node reports its version in force to the readers of its zone, and the
//     first of them writes the status of the zone to the platform.
//
// A starting node puts no version in force until it knows the minimum version, so
// that it never serves an older version than its previous process did.
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
	// tickPeriod is the time between two events that pass the time to the machine.
	tickPeriod = 100 * time.Millisecond
	// settleTime is how long a node whose view has no other serving node of its
	// zone waits before it may become a reader.
	settleTime = 2 * time.Second
	// maxChunkRequests limits the requests for chunks by other nodes that this node
	// answers concurrently.
	maxChunkRequests = 8
)

// Loop keeps one node up to date with the newest version. The exported fields are set
// before Run. Lock order: mu is the only lock and is never held during a request.
type Loop struct {
	// Plans receives the versions to put in force.
	Plans *inforce.Plans
	// View is the node's current view of the fleet.
	View *atomic.Pointer[fleet.View]
	// Platform stores the heads, the chunks and the statuses of the zones.
	Platform *platform.Client
	// Endpoint sends the requests to other nodes.
	Endpoint *peer.Endpoint
	// Ring receives a record of each change, such as a version put in force.
	Ring    *explain.Ring
	Metrics *metrics.Set
	Log     log.Interface

	run atomic.Pointer[runState]
	// chunkRequests is the number of requests for chunks that are being answered.
	chunkRequests atomic.Int64
	chunkLimiter  rateLimiter
	compressed    compressedChunks

	mu           sync.Mutex
	machine      core.Machine
	tree         relay.Tree
	resolver     minversion.Resolver
	reports      zonestatus.Table
	statusWriter zonestatus.Writer
	// readyResult is set once the minimum version is known and reached.
	readyResult *minversion.Result
	// pending is the newest complete version until the minimum version is known
	// and reached.
	pending *plans.Version
	// view, settled and readers are the results of the last updateView. The first of
	// readers writes the status of the zone.
	view        *fleet.View
	settled     bool
	readers     []string
	isReader    bool
	readerSince time.Time
	startedAt   time.Time
	// platform is the state of this node's watch on the platform, or unknown when it
	// has none.
	platform messages.HeldHeadPlatform
}

// runState holds the context and the group of the goroutines that perform effects
// while Run is running.
type runState struct {
	ctx   context.Context
	group *errgroup.Group
}

// Run keeps the newest version in force until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	l.mu.Lock()
	l.machine.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l.platform = messages.HeldHeadPlatformUnknown
	l.startedAt = time.Now()
	l.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	l.run.Store(&runState{ctx: ctx, group: group})
	defer l.run.Store(nil)
	for _, fn := range []func(context.Context){l.tick, l.watchReportedVersions, l.watchPlatform, l.exchangeHeads, l.becomeReady, l.report, l.writeStatus} {
		group.Go(func() error { fn(ctx); return nil })
	}
	return group.Wait()
}

// Ready reports whether the node has a version in force that is not older than
// the minimum version. The source says in words where the minimum version comes
// from, or why the node is not ready.
func (l *Loop) Ready() (source string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readyResult != nil {
		return l.readyResult.Source, true
	}
	return l.notReadyReason(time.Now()), false
}

// IsReader reports whether this node reads the platform for its zone.
func (l *Loop) IsReader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isReader
}

// step passes an event to the machine and performs the effects that it returns.
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

// apply puts a version in force, or keeps it pending until the minimum version is
// known and reached.
func (l *Loop) apply(e core.Apply) {
	l.mu.Lock()
	if l.readyResult == nil {
		l.pending = e.Version
		l.mu.Unlock()
		l.tryBecomeReady()
		return
	}
	l.mu.Unlock()
	l.putInForce(e.Version, e.Head.Operation+" "+e.Head.Reason)
}

// putInForce puts a version in force unless a newer one is in force already.
func (l *Loop) putInForce(v *plans.Version, detail string) {
	if l.Plans.Set(v) {
		l.Metrics.Add("versionsApplied", 1)
		l.record("versionApplied", version(v.Number()), detail)
	}
}

// record adds a change to the ring and logs it.
func (l *Loop) record(kind, subject, detail string) {
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: subject, Detail: detail})
	l.Log.WithField("subject", subject).WithField("detail", detail).Info(kind)
}

// spawn runs fn in a new goroutine. It does nothing if Run is not running.
func (l *Loop) spawn(fn func(context.Context)) {
	run := l.run.Load()
	if run == nil || run.ctx.Err() != nil {
		return
	}
	run.group.Go(func() error { fn(run.ctx); return nil })
}

// tick passes the time and changes of the view to the machine.
func (l *Loop) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		l.updateView()
		l.step(core.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// watchReportedVersions reports to the machine that a peer or a call has a newer
// version than the one in force.
func (l *Loop) watchReportedVersions(ctx context.Context) {
	for {
		select {
		case <-l.Plans.Outdated():
			l.step(core.VersionReported{Number: l.Plans.Newest()})
		case <-ctx.Done():
			return
		}
	}
}

// jitter returns a random duration from 0.5 d to 1.5 d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func version(number uint64) string { return "version " + strconv.FormatUint(number, 10) }
