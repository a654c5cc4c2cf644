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
	watchWait = 10 * time.Second
	// firstPause and longestPause bound the pause after a failed read.
	firstPause   = 100 * time.Millisecond
	longestPause = 1 * time.Second
	// exchangePeriod is about how often a reader compares heads with a reader
	// of another zone.
	exchangePeriod = 1 * time.Second
	// exchangeWhenLost is the number of other readers that are asked at once
	// while the platform is out.
	exchangeWhenLost = 3
)

// watchPlatform follows the head while this node is a reader.
func (l *Loop) watchPlatform(ctx context.Context) {
	var revision platform.Revision
	pause := firstPause
	known := false
	for ctx.Err() == nil {
		if !l.IsReader() {
			known = false
			wait.For(ctx, tickPeriod)
			continue
		}
		object, changed, err := l.readOrWatch(ctx, known, revision)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, platform.ErrNotFound):
			known, revision, pause = true, 0, firstPause
			l.platformAnswered(0)
			l.step(core.PlatformEmpty{})
		case err != nil:
			// The head is read again as a whole, also when it did not change.
			known = false
			l.platformFailed(err)
			wait.For(ctx, jitter(pause))
			pause = min(2*pause, longestPause)
		case changed:
			known, revision, pause = true, object.Revision, firstPause
			l.headFromPlatform(object.Value)
		default:
			l.platformAnswered(l.heldNumber())
		}
	}
}

// readOrWatch reads the head at once when nothing is known of it.
func (l *Loop) readOrWatch(ctx context.Context, known bool, revision platform.Revision) (platform.Object, bool, error) {
	if known {
		return l.Platform.Watch(ctx, publish.HeadKey, revision, watchWait)
	}
	object, err := l.Platform.Get(ctx, publish.HeadKey)
	return object, err == nil, err
}

func (l *Loop) headFromPlatform(raw []byte) {
	head, err := core.DecodeHead(raw)
	if err == nil {
		l.platformAnswered(head.Version)
	}
	l.step(core.HeadReceived{From: core.Platform, Raw: raw})
	l.tryOpen()
}

func (l *Loop) platformAnswered(number uint64) {
	l.mu.Lock()
	back := l.platform == messages.HeldHeadPlatformLost
	l.platform = messages.HeldHeadPlatformFresh
	if l.opened == nil {
		l.gate.PlatformAnswered(number)
	}
	l.mu.Unlock()
	if back {
		l.record("platformBack", "platform", "the platform answers again with "+version(number))
	}
}

func (l *Loop) platformFailed(err error) {
	l.Metrics.Add("platformErrors", 1)
	l.mu.Lock()
	lost := l.platform != messages.HeldHeadPlatformLost
	l.platform = messages.HeldHeadPlatformLost
	if l.opened == nil {
		l.gate.PlatformUnreachable()
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

// exchange compares heads with readers of other zones while this node is a
// reader, so that a zone without the platform still follows.
func (l *Loop) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, jitter(exchangePeriod))
		l.mu.Lock()
		view, isReader, n := l.view, l.isReader, 1
		if l.platform != messages.HeldHeadPlatformFresh {
			n = exchangeWhenLost
		}
		l.mu.Unlock()
		if !isReader {
			continue
		}
		ids := readersElsewhere(view)
		for _, id := range ids[:min(n, len(ids))] {
			l.spawn(func(ctx context.Context) { l.fetchHead(ctx, core.Source(id)) })
		}
	}
}

// readersKnown returns the number of readers of all zones, for the share of the
// platform's rate.
func (l *Loop) readersKnown() int {
	zones := make(map[string]bool)
	for _, m := range l.View.Load().Members() {
		zones[m.Zone] = true
	}
	return relay.ReaderCount * max(len(zones), 1)
}
