package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	core "lavenderdeal/core/follow"
	"lavenderdeal/core/relay"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
)

const (
	// watchWait is how long the platform holds a watch of an unchanged head open.
	watchWait = 10 * time.Second
	// firstRetryPause and maxRetryPause are the first and the longest mean pause after
	// a failed read.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = 1 * time.Second
	// exchangePeriod is the mean time between two comparisons of heads with a
	// reader of another zone.
	exchangePeriod = 1 * time.Second
	// exchangePeersInOutage is the number of readers of other zones that are
	// queried per period while the last read of the platform has not succeeded.
	exchangePeersInOutage = 3
)

// watchPlatform watches the head in the platform while this node is a reader.
func (l *Loop) watchPlatform(ctx context.Context) {
	var revision platform.Revision
	pause := firstRetryPause
	hasRevision := false
	for ctx.Err() == nil {
		if !l.IsReader() {
			hasRevision = false
			wait.For(ctx, tickPeriod)
			continue
		}
		object, changed, err := l.readOrWatch(ctx, hasRevision, revision)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, platform.ErrNotFound):
			hasRevision, revision, pause = true, 0, firstRetryPause
			l.platformAnswered(0)
			l.step(core.PlatformEmpty{})
		case err != nil:
			// After a failed watch the head is read in full, even if it is
			// unchanged.
			hasRevision = false
			l.platformFailed(err)
			wait.For(ctx, jitter(pause))
			pause = min(2*pause, maxRetryPause)
		case changed:
			hasRevision, revision, pause = true, object.Revision, firstRetryPause
			l.headFromPlatform(object.Value)
		default:
			l.platformAnswered(l.heldNumber())
		}
	}
}

// readOrWatch waits up to watchWait for a change of the head after the given revision,
// and returns whether it changed. When the revision is not known, it reads the head at
// once.
func (l *Loop) readOrWatch(ctx context.Context, hasRevision bool, revision platform.Revision) (platform.Object, bool, error) {
	if hasRevision {
		return l.Platform.Watch(ctx, publish.HeadKey, revision, watchWait)
	}
	object, err := l.Platform.Get(ctx, publish.HeadKey)
	return object, err == nil, err
}

// headFromPlatform handles a head that was read from the platform.
func (l *Loop) headFromPlatform(raw []byte) {
	head, err := core.DecodeHead(raw)
	if err == nil {
		l.platformAnswered(head.Version)
	}
	l.step(core.HeadReceived{From: core.Platform, Raw: raw})
	l.tryBecomeReady()
}

// platformAnswered records that the platform answered with the given version, or 0 if
// it has no head.
func (l *Loop) platformAnswered(number uint64) {
	l.mu.Lock()
	recovered := l.platform == messages.HeldHeadPlatformLost
	l.platform = messages.HeldHeadPlatformFresh
	if l.readyResult == nil {
		l.resolver.PlatformAnswered(number)
	}
	l.mu.Unlock()
	if recovered {
		l.record("platformBack", "platform", "the platform answers again with "+version(number))
	}
}

// platformFailed records that a read of the platform failed.
func (l *Loop) platformFailed(err error) {
	l.Metrics.Add("platformErrors", 1)
	l.mu.Lock()
	lost := l.platform != messages.HeldHeadPlatformLost
	l.platform = messages.HeldHeadPlatformLost
	if l.readyResult == nil {
		l.resolver.PlatformUnreachable()
	}
	l.mu.Unlock()
	if lost {
		l.record("platformLost", "platform", err.Error())
	}
}

func (l *Loop) heldNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Held().Version
}

// exchangeHeads compares heads with readers of other zones while this node is a
// reader, so that a zone that cannot reach the platform still gets new versions.
func (l *Loop) exchangeHeads(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, jitter(exchangePeriod))
		l.mu.Lock()
		view, isReader, n := l.view, l.isReader, 1
		if l.platform != messages.HeldHeadPlatformFresh {
			n = exchangePeersInOutage
		}
		l.mu.Unlock()
		if !isReader {
			continue
		}
		ids := remoteReaders(view)
		for _, id := range ids[:min(n, len(ids))] {
			l.spawn(func(ctx context.Context) { l.fetchHead(ctx, core.Source(id)) })
		}
	}
}

// readerCount returns the number of readers in all zones that the view shows. Each
// reader gets an equal share of the platform's rate.
func (l *Loop) readerCount() int {
	zones := make(map[string]bool)
	for _, m := range l.View.Load().Members() {
		zones[m.Zone] = true
	}
	return relay.ReaderCount * max(len(zones), 1)
}
