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

// visitPlatform reads the roster when that is this node's turn, and writes a
// change when one is due.
func (l *Loop) visitPlatform(ctx context.Context) {
	if !l.shouldRead(time.Now()) {
		return
	}
	found, err := l.read(ctx)
	if err != nil || !l.isProposer() {
		return
	}
	roster := l.roster()
	switch {
	case roster == nil:
		l.writeFirst(ctx)
	case found.epoch < roster.Epoch():
		// The platform lost the roster or went back to an older one.
		l.write(ctx, roster, found.revision)
	default:
		l.propose(ctx, roster, found.revision)
	}
}

func (l *Loop) roster() *home.Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence.Roster()
}

func (l *Loop) shouldRead(now time.Time) bool {
	proposer := l.isProposer()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left {
		return false
	}
	since := now.Sub(l.readAt)
	state := l.fence.State(now)
	var due bool
	switch {
	case l.fence.Roster() == nil:
		due = since >= eagerPeriod
	case proposer:
		due = since >= platformPeriod || l.changeLocked(now) != nil
	case !l.fence.ConfirmedByPeers(now, 2*period):
		due = since >= 2*period
	default:
		due = (state.PlatformAge < 0 || state.PlatformAge > platformPatience) && since >= platformPatience
	}
	if due {
		l.readAt = now
	}
	return due
}

// stored is the roster as the platform has it; the zero value when it has none.
type stored struct {
	epoch    uint64
	revision platform.Revision
}

// read takes in what the platform has.
func (l *Loop) read(ctx context.Context) (stored, error) {
	startedAt := time.Now()
	object, err := l.Platform.Get(ctx, l.objectKey())
	if errors.Is(err, platform.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
		return stored{}, err
	}
	roster, ok := l.learn(object.Value)
	if !ok {
		return stored{}, errors.New("the roster of homes in the platform is malformed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence.RecordPlatformRead(startedAt, roster.Epoch())
	return stored{epoch: roster.Epoch(), revision: object.Revision}, nil
}

func (l *Loop) objectKey() string { return objectPrefix + l.self.Service }

// isProposer says whether this node writes changes for its service: the first by
// id among the roster's nodes that live, or among all when none of them does.
// Two at once do no harm, since writes are conditional.
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

// writeFirst creates the roster of a service that has none.
func (l *Loop) writeFirst(ctx context.Context) {
	entries, settled := l.settledEntries(time.Now())
	if !settled {
		return
	}
	if _, all := l.askAll(ctx, 0); !all || l.roster() != nil {
		// A node that does not answer may know of a roster.
		return
	}
	l.write(ctx, home.Initial(l.self.Service, entries), 0)
}

// settledEntries returns the ready nodes of the service, and whether none came,
// went or was about to come for a while. A node that is too late for the first
// roster waits for the delay of a change.
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
	if starting || !slices.Equal(entries, l.first) {
		l.first, l.firstAt = entries, now
	}
	return entries, now.Sub(l.firstAt) >= settle
}

// propose writes the change that the membership calls for, if any.
func (l *Loop) propose(ctx context.Context, roster *home.Roster, revision platform.Revision) {
	l.mu.Lock()
	change := l.changeLocked(time.Now())
	l.mu.Unlock()
	if change == nil {
		return
	}
	epoch := roster.Epoch() + 1
	prepared, _ := l.askAll(ctx, epoch)
	l.mu.Lock()
	voters := roster.Voters()
	if roster.IsVoter(l.self.Id) && l.fence.Prepare(time.Now(), epoch) {
		prepared++
	}
	prepared += l.countReplacedLocked(voters)
	l.mu.Unlock()
	delay := fence.EffectDelay(prepared, len(voters))
	if delay == fence.OrphanDelay {
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
	if time.Since(now) < writeStart {
		l.write(ctx, next, revision)
	}
}

// countReplacedLocked counts the voters whose address another process has. The
// caller holds mu.
func (l *Loop) countReplacedLocked(voters []objects.HomeEntry) int {
	n := 0
	for _, v := range voters {
		if l.replaced[v.Id] {
			n++
		}
	}
	return n
}

// changeLocked returns the change that the membership calls for, or nil. The
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
			delete(l.absent, v.Id)
			continue
		}
		if _, ok := l.absent[v.Id]; !ok {
			l.absent[v.Id] = now
		}
		if now.Sub(l.absent[v.Id]) >= absence {
			change.Remove = append(change.Remove, v.Id)
		}
	}
	if len(change.Join) == 0 && len(change.Remove) == 0 {
		return nil
	}
	return &change
}

// write puts a roster into the platform and takes it over when that succeeded. A
// write whose answer was lost shows at the next read.
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
