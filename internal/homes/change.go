package homes

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fence"
	"lavenderdeal/core/home"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

// syncPlatform reads the roster from the platform if a read is due on this node,
// and writes a change of the roster if one is due.
func (l *Loop) syncPlatform(ctx context.Context) {
	if !l.shouldRead(time.Now()) {
		return
	}
	found, err := l.readPlatform(ctx)
	if err != nil || !l.isProposer() {
		return
	}
	roster := l.roster()
	switch {
	case roster == nil:
		l.writeInitial(ctx)
	case found.epoch < roster.Epoch():
		// The platform lost the roster or was restored to an older one.
		l.write(ctx, roster, found.revision)
	default:
		l.propose(ctx, roster, found.revision)
	}
}

// roster returns the roster of the node's own service, or nil.
func (l *Loop) roster() *home.Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence.Roster()
}

// shouldRead reports whether a read of the platform is due, and if so sets the time
// of the last read to now.
func (l *Loop) shouldRead(now time.Time) bool {
	proposer := l.isProposer()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	since := now.Sub(l.lastRead)
	state := l.fence.State(now)
	var due bool
	switch {
	case l.fence.Roster() == nil:
		due = since >= unconfirmedPeriod
	case proposer:
		due = since >= platformPeriod || l.changeLocked(now) != nil
	case !l.fence.ConfirmedByPeers(now, 2*period):
		due = since >= 2*period
	default:
		due = (state.PlatformAge < 0 || state.PlatformAge > platformFallbackAge) && since >= platformFallbackAge
	}
	if due {
		l.lastRead = now
	}
	return due
}

// storedRoster is the epoch and revision of the roster on the platform. It is the
// zero value when the platform has none.
type storedRoster struct {
	epoch    uint64
	revision platform.Revision
}

// readPlatform reads the roster from the platform and adopts it if it is newer. A
// platform without a roster is not an error.
func (l *Loop) readPlatform(ctx context.Context) (storedRoster, error) {
	startedAt := time.Now()
	object, err := l.Platform.Get(ctx, l.objectKey())
	if errors.Is(err, platform.ErrNotFound) {
		return storedRoster{}, nil
	}
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
		return storedRoster{}, err
	}
	roster, ok := l.decodeAndAdopt(object.Value)
	if !ok {
		return storedRoster{}, errors.New("the roster of homes in the platform is malformed or belongs to another service")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence.RecordPlatformRead(startedAt, roster.Epoch())
	return storedRoster{epoch: roster.Epoch(), revision: object.Revision}, nil
}

func (l *Loop) objectKey() string { return objectPrefix + l.self.Service }

// isProposer reports whether this node writes roster changes for its service. The
// proposer is the live voter with the lowest id, or the ready node with the lowest
// id if no voter is alive. Two proposers at once are safe because writes are
// conditional.
func (l *Loop) isProposer() bool {
	view := l.View.Load()
	roster := l.roster()
	first, firstVoter := "", ""
	for _, m := range view.Members() {
		if m.Service != l.self.Service || !isAlive(m.State) {
			continue
		}
		if first == "" && m.State == messages.MemberStateReady {
			first = m.Id
		}
		if firstVoter == "" && roster != nil && roster.IsVoter(m.Id) {
			firstVoter = m.Id
		}
	}
	if firstVoter != "" {
		return firstVoter == l.self.Id
	}
	return first == l.self.Id
}

// writeInitial creates the roster of a service that has none.
func (l *Loop) writeInitial(ctx context.Context) {
	entries, settled := l.settledEntries(time.Now())
	if !settled {
		return
	}
	if _, all := l.queryAll(ctx, 0); !all || l.roster() != nil {
		// A node that does not answer may have a roster.
		return
	}
	l.write(ctx, home.Initial(l.self.Service, entries), 0)
}

// settledEntries returns the ready nodes of the service, and whether this set was
// unchanged and no node was starting for settleTime. Without this wait a node that
// becomes ready a little later would be missing from the first roster and become a
// home only after fence.ChangeDelay at the earliest.
func (l *Loop) settledEntries(now time.Time) (entries []objects.HomeEntry, settled bool) {
	starting := false
	for _, m := range l.View.Load().Members() {
		if m.Service != l.self.Service {
			continue
		}
		switch m.State {
		case messages.MemberStateReady:
			entries = append(entries, objects.HomeEntry{Id: m.Id, Peer: m.Peer})
		case messages.MemberStateStarting:
			starting = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if starting || !slices.Equal(entries, l.candidates) {
		l.candidates, l.candidatesSince = entries, now
	}
	return entries, now.Sub(l.candidatesSince) >= settleTime
}

// propose writes the roster change that the membership requires, if any. It first
// asks the voters to prepare the change: if more than half of them do, the change can
// take effect earlier.
func (l *Loop) propose(ctx context.Context, roster *home.Roster, revision platform.Revision) {
	l.mu.Lock()
	change := l.changeLocked(time.Now())
	l.mu.Unlock()
	if change == nil {
		return
	}
	epoch := roster.Epoch() + 1
	prepared, _ := l.queryAll(ctx, epoch)
	l.mu.Lock()
	voters := roster.Voters()
	if roster.IsVoter(l.self.Id) && l.fence.Prepare(time.Now(), epoch) {
		prepared++
	}
	prepared += l.countReplacedLocked(voters)
	l.mu.Unlock()
	delay := fence.EffectDelay(prepared, len(voters))
	if delay == fence.NoMajorityDelay {
		l.Metrics.Add("homesChangedWithoutMajority", 1)
	}
	now := time.Now()
	next := roster.Next(now, now.Add(delay), *change)
	l.Ring.Add(explain.Record{
		At:      now,
		Kind:    "homesProposed",
		Subject: l.self.Service,
		Detail: "epoch " + strconv.FormatUint(epoch, 10) + ": " + strconv.Itoa(len(change.Join)) + " join, " +
			strconv.Itoa(len(change.Remove)) + " are gone; " + strconv.Itoa(prepared) + " of " + strconv.Itoa(len(voters)) +
			" homes agreed; in force in " + delay.String(),
	})
	if time.Since(now) < maxWriteDelay {
		l.write(ctx, next, revision)
	}
}

// countReplacedLocked returns the number of voters whose address is now used by
// another process. The caller holds mu.
func (l *Loop) countReplacedLocked(voters []objects.HomeEntry) int {
	n := 0
	for _, v := range voters {
		if l.replaced[v.Id] {
			n++
		}
	}
	return n
}

// changeLocked returns the roster change that the membership requires, or nil. The
// caller holds mu.
func (l *Loop) changeLocked(now time.Time) *home.Change {
	roster := l.fence.Roster()
	if roster == nil {
		return nil
	}
	members := make(map[string]messages.Member)
	var change home.Change
	for _, m := range l.View.Load().Members() {
		members[m.Id] = m
		if m.Service == l.self.Service && m.State == messages.MemberStateReady && !roster.Has(m.Id) {
			change.Join = append(change.Join, objects.HomeEntry{Id: m.Id, Peer: m.Peer})
		}
	}
	for _, v := range roster.Voters() {
		m, ok := members[v.Id]
		if ok && m.State != messages.MemberStateFailed && !l.replaced[v.Id] {
			delete(l.absentSince, v.Id)
			continue
		}
		if _, ok := l.absentSince[v.Id]; !ok {
			l.absentSince[v.Id] = now
		}
		if now.Sub(l.absentSince[v.Id]) >= absenceTimeout {
			change.Remove = append(change.Remove, v.Id)
		}
	}
	if len(change.Join) == 0 && len(change.Remove) == 0 {
		return nil
	}
	return &change
}

// write writes a roster to the platform and adopts it on success. It returns false if
// the stored roster no longer has the revision or the write failed. If the write took
// effect but its answer was lost, the next read adopts the roster.
func (l *Loop) write(ctx context.Context, roster *home.Roster, revision platform.Revision) bool {
	value, err := json.Marshal(roster.Homes())
	if err != nil {
		return false
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := l.Platform.Put(ctx, l.objectKey(), value, revision); err != nil {
		if !isConflict(err) {
			l.Metrics.Add("platformErrors", 1)
		}
		return false
	}
	l.adopt(roster)
	l.mu.Lock()
	l.fence.RecordPlatformRead(startedAt, roster.Epoch())
	l.mu.Unlock()
	return true
}
