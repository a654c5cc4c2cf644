package members

import (
	"context"
	"time"

	"github.com/apex/log"

	"lavenderdeal/core/fetchplan"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/roster"
)

// fetchIfNewer fetches a configuration in the background if its version is newer than the
// applied one. The given nodes have announced it; see [fetchplan.Plan.Announce].
func (m *Members) fetchIfNewer(version int, from ...messages.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetchIfNewerLocked(version, from...)
}

func (m *Members) fetchIfNewerLocked(version int, from ...messages.Entry) {
	if m.stopped || m.endpoint == nil || uint64(max(version, 0)) <= m.versions.Version() {
		return
	}
	names := make([]string, len(from))
	for i, e := range from {
		names[i] = e.Node
	}
	m.plan.Announce(time.Now(), uint64(version), names...)
	if m.fetching {
		m.wakeFetch()
		return
	}
	m.fetching = true
	m.group.Go(func() error { m.fetchLoop(); return nil })
}

// wakeFetch makes fetchLoop look at the plan again.
func (m *Members) wakeFetch() {
	select {
	case m.planChanged <- struct{}{}:
	default:
	}
}

// fetchLoop fetches the announced versions until there are none.
func (m *Members) fetchLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wake, isDone := m.fetchStep(time.Now())
		if isDone {
			return
		}
		timer.Reset(time.Until(wake))
		if wake.IsZero() {
			timer.Stop()
		}
		select {
		case <-m.planChanged:
		case <-timer.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// fetchStep starts what the plan says, and returns when to call it again.
func (m *Members) fetchStep(now time.Time) (wake time.Time, isDone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions, wake := m.plan.Step(now, fetchplan.State{
		InForce: m.versions.Version(), IsWatching: m.versions.IsWatching(), IsStoreDown: m.versions.IsStoreDown(),
		ReadTime: m.versions.ReadTime(),
	})
	if m.plan.IsDone() || m.stopped {
		m.fetching = false
		return wake, true
	}
	for _, a := range actions {
		m.group.Go(func() error {
			m.fetch(a)
			m.wakeFetch()
			return nil
		})
	}
	return wake, false
}

// fetch does what the plan says and tells it the outcome.
func (m *Members) fetch(a fetchplan.Action) {
	switch a := a.(type) {
	case fetchplan.AskChanges:
		_, digests := m.versions.Digests()
		isAnswered := m.ask(a.Node, a.Version, changesTimeout, "changesAsked", digests)
		m.mu.Lock()
		defer m.mu.Unlock()
		if isAnswered {
			m.plan.Answered(a.Node)
		} else {
			m.plan.Unanswered(time.Now(), a.Node)
		}
	case fetchplan.AskDocument:
		m.ask(a.Node, a.Version, documentTimeout, "versionAsked", nil)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.plan.DocumentEnded(time.Now())
	case fetchplan.ReadStore:
		err := m.versions.Refresh(m.ctx, a.Version, versions.Refreshing{SkipCopy: a.SkipCopy})
		m.mu.Lock()
		defer m.mu.Unlock()
		m.plan.ReadEnded(time.Now(), err != nil)
	}
}

// ask requests a version from a node and applies what it sends: the changes since the
// documents with the digests, or the document if there are none. It returns false if the
// node did not answer.
func (m *Members) ask(node string, version uint64, limit time.Duration, event string, digests []string) bool {
	m.mu.Lock()
	e, ok := m.roster.Get(node)
	m.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, limit)
	defer cancel()
	inForce := m.versions.Version()
	m.log.WriteLimited(event, log.Fields{"from": node, "version": version, "inForce": inForce})
	a, err := peer.Call[messages.VersionAnswer](ctx, m.endpoint, e.Peer, methodVersion, messages.VersionQuestion{Above: int(inForce), Digests: digests})
	if err != nil {
		m.log.WriteLimited("versionNotFetched", log.Fields{"from": node, "version": version, "inForce": inForce, "error": err})
		return false
	}
	m.versions.Offer(a, node)
	return true
}
