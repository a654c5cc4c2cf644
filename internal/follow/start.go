package follow

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/fleet"
	"lavenderdeal/core/minversion"
	"lavenderdeal/core/relay"
	"lavenderdeal/internal/wait"
	"lavenderdeal/schema/messages"
)

const (
	// askPause is about how long a starting node waits between two rounds of
	// questions.
	askPause = 300 * time.Millisecond
	// longestAskPause bounds that pause.
	longestAskPause = 2 * time.Second
	// maxAsked bounds the members of the own zone that are asked at the start.
	maxAsked = 8
)

// open asks peers for their versions until the floor is known and reached.
func (l *Loop) open(ctx context.Context) {
	pause := askPause
	for ctx.Err() == nil && !l.tryOpen() {
		l.askPeers(ctx)
		if l.tryOpen() {
			return
		}
		wait.For(ctx, jitter(pause))
		pause = min(2*pause, longestAskPause)
	}
}

// tryOpen puts the version held in force once the floor is known and reached.
func (l *Loop) tryOpen() bool {
	l.mu.Lock()
	if l.opened != nil {
		l.mu.Unlock()
		return true
	}
	known, ok := l.gate.Result(time.Now())
	if !ok || l.pending == nil || l.pending.Number() < l.needed(known) {
		l.mu.Unlock()
		return false
	}
	pending := l.pending
	l.opened, l.pending = &known, nil
	l.mu.Unlock()
	l.record("floorKnown", version(known.Number), "from "+known.Source)
	l.putInForce(pending, "first version of this process")
	return true
}

// needed returns the number that the node must reach. A version that this node
// rejected, as all others do, is replaced by the highest that a peer holds. The
// caller holds mu.
func (l *Loop) needed(known minversion.Result) uint64 {
	if l.machine.IsRejected(known.Number) {
		return l.gate.Highest()
	}
	return known.Number
}

// notReadyReason says why the node is not ready. The caller holds mu.
func (l *Loop) notReadyReason(now time.Time) string {
	known, ok := l.gate.Result(now)
	if !ok {
		return l.gate.PendingReason(now)
	}
	if r, rejected := l.machine.Rejected(); rejected && l.pending == nil {
		return version(r.Number) + " was rejected and no peer has another one"
	}
	return "fetches " + version(known.Number) + " known from " + known.Source
}

// askPeers asks nodes of the own zone and readers of the others for what they
// hold.
func (l *Loop) askPeers(ctx context.Context) {
	view := l.View.Load()
	ids := askedAtStart(view)
	l.mu.Lock()
	l.gate.PeersQueried(time.Now(), ids...)
	l.mu.Unlock()
	var group errgroup.Group
	for _, id := range ids {
		group.Go(func() error {
			answer, err := l.askHead(ctx, id)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err != nil {
				l.gate.PeerFailed(id)
				return nil
			}
			l.gate.PeerAnswered(id, minversion.Answer{
				Number:              answer.Version,
				Ready:               answer.Ready,
				PlatformFresh:       answer.Platform == messages.HeldHeadPlatformFresh,
				PlatformUnreachable: answer.Platform == messages.HeldHeadPlatformLost,
			})
			return nil
		})
	}
	_ = group.Wait()
}

// askedAtStart returns the readers of the own zone, other nodes of it up to a
// bound, and one reader of each other zone.
func askedAtStart(view *fleet.View) []string {
	self := view.Self()
	own := relay.Readers(view.Members(), self.Zone)
	for _, source := range neighbours(view, own) {
		if id := string(source); len(own) < maxAsked && !slices.Contains(own, id) {
			own = append(own, id)
		}
	}
	zones := make(map[string]bool)
	zoneOf := make(map[string]string)
	for _, m := range view.Members() {
		zoneOf[m.Id] = m.Zone
	}
	for _, id := range readersElsewhere(view) {
		if !zones[zoneOf[id]] && !slices.Contains(own, id) {
			zones[zoneOf[id]] = true
			own = append(own, id)
		}
	}
	return slices.DeleteFunc(own, func(id string) bool { return id == self.Id })
}
