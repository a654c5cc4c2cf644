// Package fence decides whether a home may run calls with an idempotency key
// now, so that no key ever has two homes.
//
// # Confirmation
//
// A home runs such calls only while it knows that its roster is the newest one,
// or was within [Limit]. It is confirmed by a read of the platform, or by more
// than half of the roster's nodes. A change of the roster takes effect later
// than any confirmation of the roster before it ends:
//
//	f := fence.New(id)
//	f.Adopt(roster)
//	f.PlatformRead(startedAt, roster.Epoch())
//	f.Answered(sentAt, from, state)
//	if !f.Confirmed(now) {
//		refuse("homeFenced")
//	}
//
// # Changes
//
// A node that writes a change asks the roster's nodes first, with the epoch that
// it will write. From then on they confirm no older epoch. When more than half
// of them have said so, the change takes effect after [ChangeDelay]. Without
// them a part of the roster may be cut off and go on among itself; it does so
// for [PeerOnlyLimit] after it last heard from the platform, and the change
// takes effect after [OrphanDelay].
package fence

import (
	"slices"
	"time"

	"lavenderdeal/core/home"
)

const (
	// Limit is how long a confirmation lasts.
	Limit = 10 * time.Second
	// WriteLimit is the time within which a write to the platform takes effect
	// or never does.
	WriteLimit = 15 * time.Second
	// ChangeDelay is longer than a confirmation, a write, the difference of two
	// clocks and the margin for keys of the future together.
	ChangeDelay = Limit + WriteLimit + 3*home.ClockMargin
	// PeerOnlyLimit is how long nodes confirm each other without the platform.
	PeerOnlyLimit = 50 * time.Minute
	// OrphanDelay is longer than PeerOnlyLimit and ChangeDelay together.
	OrphanDelay = PeerOnlyLimit + 2*ChangeDelay
)

// State is what a node tells others of its roster.
type State struct {
	Epoch uint64
	// Prepared is the highest epoch that somebody said will be written, or 0.
	Prepared uint64
	// PlatformAge is the time since the platform last confirmed the epoch.
	// Negative when it never did.
	PlatformAge time.Duration
}

// Fence is the state of one node. The caller serializes all calls. The zero
// value has no roster and is never confirmed.
type Fence struct {
	id       string
	roster   *home.Roster
	answers  map[string]time.Time
	platform time.Time
	// carried is when the roster before this one was confirmed last. This one
	// was written later, and so was any that follows it.
	carried time.Time
	// platformOf is the newest confirmation by the platform that the node knows
	// of, its own or another node's.
	platformOf time.Time
	prepared   uint64
	preparedAt time.Time
}

// New returns the fence of a node.
func New(id string) *Fence { return &Fence{id: id} }

// Roster returns the newest roster that the node knows, or nil.
func (f *Fence) Roster() *home.Roster { return f.roster }

// Adopt takes over a roster. It returns false for one that is not newer.
func (f *Fence) Adopt(r *home.Roster) bool {
	if r.Epoch() <= f.roster.Epoch() {
		return false
	}
	f.carried = f.confirmedAt()
	f.roster = r
	f.answers = make(map[string]time.Time)
	f.platform = time.Time{}
	return true
}

// PlatformRead takes in that the platform had a roster of this epoch, by a read
// that started at a time.
func (f *Fence) PlatformRead(startedAt time.Time, epoch uint64) {
	if f.roster == nil || epoch != f.roster.Epoch() {
		return
	}
	f.platform = startedAt
	f.platformOf = newer(f.platformOf, startedAt)
	if f.prepared > epoch && elapsed(startedAt, f.preparedAt) > WriteLimit {
		// Whoever announced the change gave it up.
		f.prepared = 0
	}
}

// Answered takes in the state of another node, asked at a time.
func (f *Fence) Answered(sentAt time.Time, from string, s State) {
	if f.roster == nil || s.Epoch != f.roster.Epoch() || s.Prepared > s.Epoch {
		return
	}
	f.answers[from] = newer(f.answers[from], sentAt)
	if s.PlatformAge >= 0 {
		f.platformOf = newer(f.platformOf, sentAt.Add(-s.PlatformAge))
	}
}

// Prepare takes in that somebody will write an epoch. It returns false when the
// node knows that epoch already.
func (f *Fence) Prepare(now time.Time, epoch uint64) bool {
	if epoch <= f.roster.Epoch() {
		return false
	}
	f.prepared = max(f.prepared, epoch)
	f.preparedAt = now
	return true
}

// State returns what the node tells others.
func (f *Fence) State(now time.Time) State {
	s := State{Epoch: f.roster.Epoch(), Prepared: f.prepared, PlatformAge: -1}
	if !f.platformOf.IsZero() {
		s.PlatformAge = max(0, elapsed(now, f.platformOf))
	}
	return s
}

// Confirmed says whether the node may run calls with a key.
func (f *Fence) Confirmed(now time.Time) bool {
	return isWithin(now, f.byPlatform(), Limit) || f.ByPeers(now, Limit)
}

// ByPeers says whether more than half of the roster confirmed it within a time.
func (f *Fence) ByPeers(now time.Time, within time.Duration) bool {
	if !isWithin(now, f.platformOf, PeerOnlyLimit) {
		return false
	}
	confirmed, always := f.byPeers()
	return always || isWithin(now, confirmed, within)
}

// byPeers returns the newest time at which more than half of the roster had
// confirmed it, or always when the node itself is more than half.
func (f *Fence) byPeers() (at time.Time, always bool) {
	if f.roster == nil {
		return time.Time{}, false
	}
	voters := f.roster.Voters()
	var times []time.Time
	own := 0
	for _, v := range voters {
		if v.Id == f.id && f.prepared <= f.roster.Epoch() {
			own = 1
		} else if answered, ok := f.answers[v.Id]; ok {
			times = append(times, answered)
		}
	}
	needed := len(voters)/2 + 1 - own
	switch {
	case needed <= 0:
		return time.Time{}, len(voters) > 0
	case needed > len(times):
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], false
}

// confirmedAt returns when the roster was confirmed last.
func (f *Fence) confirmedAt() time.Time {
	confirmed, _ := f.byPeers()
	return newer(f.byPlatform(), confirmed)
}

// byPlatform returns when the platform confirmed the roster, or when the one
// before it was confirmed.
func (f *Fence) byPlatform() time.Time { return newer(f.platform, f.carried) }

// IsMajority says whether n of a number of voters are more than half.
func IsMajority(n, voters int) bool { return 2*n > voters }

// Delay returns how far ahead a change takes effect, given how many of the
// roster's nodes prepared it or are known to be gone.
func Delay(prepared, voters int) time.Duration {
	if voters > 0 && !IsMajority(prepared, voters) {
		return OrphanDelay
	}
	return ChangeDelay
}

// isWithin says whether a time is known and less than d ago.
func isWithin(now, then time.Time, d time.Duration) bool {
	return !then.IsZero() && elapsed(now, then) < d
}

// elapsed returns the time between two times. A process that was stopped sees it
// by the monotonic clock, and an instance that was suspended by the wall clock.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

func newer(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
