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
	// firstQueryPause is the mean time between the first two rounds of queries by a
	// starting node. The time doubles after each round.
	firstQueryPause = 300 * time.Millisecond
	// maxQueryPause limits the mean time between two rounds.
	maxQueryPause = 2 * time.Second
	// maxStartupPeers limits the readers of the own zone and the neighbours that are
	// queried at the start. One more reader of each other zone is queried in addition.
	maxStartupPeers = 8
)

// becomeReady queries peers for their versions until the minimum version is known
// and reached.
func (l *Loop) becomeReady(ctx context.Context) {
	pause := firstQueryPause
	for ctx.Err() == nil && !l.tryBecomeReady() {
		l.queryPeers(ctx)
		if l.tryBecomeReady() {
			return
		}
		wait.For(ctx, jitter(pause))
		pause = min(2*pause, maxQueryPause)
	}
}

// tryBecomeReady puts the pending version in force if the minimum version is known
// and reached. It reports whether the node is ready.
func (l *Loop) tryBecomeReady() bool {
	l.mu.Lock()
	if l.readyResult != nil {
		l.mu.Unlock()
		return true
	}
	result, ok := l.resolver.Result(time.Now())
	if !ok || l.pending == nil || l.pending.Number() < l.requiredNumber(result) {
		l.mu.Unlock()
		return false
	}
	pending := l.pending
	l.readyResult, l.pending = &result, nil
	l.mu.Unlock()
	l.record("floorKnown", version(result.Number), "from "+result.Source)
	l.putInForce(pending, "first version of this process")
	return true
}

// requiredNumber returns the version number that the node must reach. This is the
// minimum version or, if this node rejected it as invalid, the highest version that a
// peer holds, since every other node rejects the same version. The caller holds mu.
func (l *Loop) requiredNumber(result minversion.Result) uint64 {
	if l.machine.IsRejected(result.Number) {
		return l.resolver.Highest()
	}
	return result.Number
}

// notReadyReason returns the reason why the node is not ready. The caller holds mu.
func (l *Loop) notReadyReason(now time.Time) string {
	result, ok := l.resolver.Result(now)
	if !ok {
		return l.resolver.PendingReason(now)
	}
	if r, rejected := l.machine.Rejected(); rejected && l.pending == nil {
		return version(r.Number) + " was rejected and no peer has another one"
	}
	return "fetches " + version(result.Number) + " known from " + result.Source
}

// queryPeers makes one round of queries to nodes of the own zone and readers of the
// other zones for their heads and versions.
func (l *Loop) queryPeers(ctx context.Context) {
	view := l.View.Load()
	ids := startupPeers(view)
	l.mu.Lock()
	l.resolver.PeersQueried(time.Now(), ids...)
	l.mu.Unlock()
	var group errgroup.Group
	for _, id := range ids {
		group.Go(func() error {
			answer, err := l.queryHead(ctx, id)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err != nil {
				l.resolver.PeerFailed(id)
				return nil
			}
			l.resolver.PeerAnswered(id, minversion.Answer{
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

// startupPeers returns the peers to query at the start: the readers of the own
// zone, the best neighbours up to maxStartupPeers in total, and one more reader of
// each other zone.
func startupPeers(view *fleet.View) []string {
	self := view.Self()
	ids := relay.Readers(view.Members(), self.Zone)
	for _, source := range neighbours(view, ids) {
		if id := string(source); len(ids) < maxStartupPeers && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	coveredZones := make(map[string]bool)
	zoneOf := make(map[string]string)
	for _, m := range view.Members() {
		zoneOf[m.Id] = m.Zone
	}
	for _, id := range remoteReaders(view) {
		if !coveredZones[zoneOf[id]] && !slices.Contains(ids, id) {
			coveredZones[zoneOf[id]] = true
			ids = append(ids, id)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == self.Id })
}
