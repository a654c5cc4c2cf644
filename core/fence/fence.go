// Package fence implements fencing for the homes of idempotency keys: it decides
// whether a node may run calls with a key now, so that no key ever has two homes. The
// roster of the nodes that are homes is stored in the platform; see package home.
//
// # Confirmation
//
// A home runs such calls only if its roster was confirmed as the newest one within
// [ConfirmationTTL]. A read of the platform confirms the roster, and so do more
// than half of the roster's nodes. A change of the roster takes effect only after
// all confirmations of the previous roster have expired:
//
//	f := fence.New(id)
//	f.Adopt(roster)
//	f.RecordPlatformRead(startedAt, roster.Epoch())
//	f.RecordAnswer(sentAt, from, state)
//	if !f.Confirmed(now) {
//		refuse("homeFenced")
//	}
//
// # Changes
//
// A node that writes a change first sends the epoch that it will write to the
// roster's nodes, which then confirm no older epoch. If more than half of them have
// prepared the epoch, the change takes effect after [ChangeDelay]. Otherwise a
// partition may hold a majority of the roster, whose nodes confirm each other for
// [PeerOnlyLimit] after their last confirmation by the platform. The change then
// takes effect after [NoMajorityDelay].
package fence

import (
	"slices"
	"time"

	"lavenderdeal/core/home"
)

const (
	// ConfirmationTTL is how long a confirmation is valid.
	ConfirmationTTL = 10 * time.Second
	// WriteTimeout is the longest time from the start of a write to the platform
	// until it takes effect. A write never takes effect later.
	WriteTimeout = 15 * time.Second
	// ChangeDelay is the usual time from the write of a change until it takes effect. It
	// is longer than the sum of a confirmation, a write, the clock difference of two nodes
	// and the margin for keys with a time in the future.
	ChangeDelay = ConfirmationTTL + WriteTimeout + 3*home.ClockMargin
	// PeerOnlyLimit is how long nodes may confirm each other without a confirmation
	// by the platform.
	PeerOnlyLimit = 50 * time.Minute
	// NoMajorityDelay replaces ChangeDelay if a partition may hold a majority of the roster.
	// It is longer than the sum of PeerOnlyLimit and ChangeDelay.
	NoMajorityDelay = PeerOnlyLimit + 2*ChangeDelay
)

// State describes a node's roster to the other nodes.
type State struct {
	// Epoch is the epoch of the roster, or 0 without one.
	Epoch uint64
	// Prepared is the highest epoch that any node has announced to write, or 0.
	Prepared uint64
	// PlatformAge is the time since the newest confirmation by the platform that the
	// node knows of. It is negative if there is none.
	PlatformAge time.Duration
}

// Fence holds the roster of one node and its confirmations. The zero value has no
// roster and is never confirmed. It is not safe for concurrent use.
type Fence struct {
	id     string
	roster *home.Roster
	// answeredAt holds, by node id, when the last query was sent whose answer confirmed
	// the roster.
	answeredAt map[string]time.Time
	// platformReadAt is when the last read of the platform that confirmed the roster
	// started.
	platformReadAt time.Time
	// previousConfirmedAt is when the previous roster was last confirmed. It also counts as a
	// confirmation of this roster, which was written later.
	previousConfirmedAt time.Time
	// newestPlatformAt is the newest confirmation by the platform that the node knows of,
	// received by itself or by another node.
	newestPlatformAt time.Time
	// prepared is State.Prepared, and preparedAt when it was last announced.
	prepared   uint64
	preparedAt time.Time
}

// New returns a fence without a roster for the node with the given id.
func New(id string) *Fence { return &Fence{id: id} }

// Roster returns the newest roster that was adopted, or nil.
func (f *Fence) Roster() *home.Roster { return f.roster }

// Adopt replaces the roster and drops its confirmations. It returns false if r is
// not newer.
func (f *Fence) Adopt(r *home.Roster) bool {
	if r.Epoch() <= f.roster.Epoch() {
		return false
	}
	f.previousConfirmedAt = f.confirmedAt()
	f.roster = r
	f.answeredAt = make(map[string]time.Time)
	f.platformReadAt = time.Time{}
	return true
}

// RecordPlatformRead records that a read of the platform that started at startedAt
// returned a roster of this epoch. Other epochs than the current one are ignored.
func (f *Fence) RecordPlatformRead(startedAt time.Time, epoch uint64) {
	if f.roster == nil || epoch != f.roster.Epoch() {
		return
	}
	f.platformReadAt = startedAt
	f.newestPlatformAt = later(f.newestPlatformAt, startedAt)
	if f.prepared > epoch && elapsed(startedAt, f.preparedAt) > WriteTimeout {
		// The announced write did not take effect in time and never will.
		f.prepared = 0
	}
}

// RecordAnswer records the state that another node returned to a query sent at
// sentAt. It is ignored if the node has another epoch or has prepared a later one.
func (f *Fence) RecordAnswer(sentAt time.Time, from string, s State) {
	if f.roster == nil || s.Epoch != f.roster.Epoch() || s.Prepared > s.Epoch {
		return
	}
	f.answeredAt[from] = later(f.answeredAt[from], sentAt)
	if s.PlatformAge >= 0 {
		f.newestPlatformAt = later(f.newestPlatformAt, sentAt.Add(-s.PlatformAge))
	}
}

// Prepare records that a node will write the epoch. From then on this node confirms
// no older one, until a read of the platform shows that the write failed. It returns
// false if the roster already has that epoch or a later one.
func (f *Fence) Prepare(now time.Time, epoch uint64) bool {
	if epoch <= f.roster.Epoch() {
		return false
	}
	f.prepared = max(f.prepared, epoch)
	f.preparedAt = now
	return true
}

// State returns the state that the node sends to the others.
func (f *Fence) State(now time.Time) State {
	s := State{Epoch: f.roster.Epoch(), Prepared: f.prepared, PlatformAge: -1}
	if !f.newestPlatformAt.IsZero() {
		s.PlatformAge = max(0, elapsed(now, f.newestPlatformAt))
	}
	return s
}

// Confirmed reports whether the node may run calls with a key.
func (f *Fence) Confirmed(now time.Time) bool {
	return isWithin(now, f.platformAt(), ConfirmationTTL) || f.ConfirmedByPeers(now, ConfirmationTTL)
}

// ConfirmedByPeers reports whether more than half of the roster's nodes confirmed it
// within the given time before now, and the platform within PeerOnlyLimit.
func (f *Fence) ConfirmedByPeers(now time.Time, within time.Duration) bool {
	if !isWithin(now, f.newestPlatformAt, PeerOnlyLimit) {
		return false
	}
	confirmed, always := f.majorityAt()
	return always || isWithin(now, confirmed, within)
}

// majorityAt returns the newest time at or after which more than half of the roster's
// nodes confirmed it. The result always is set if the node alone is a majority.
func (f *Fence) majorityAt() (at time.Time, always bool) {
	if f.roster == nil {
		return time.Time{}, false
	}
	voters := f.roster.Voters()
	var times []time.Time
	ownVote := 0
	for _, v := range voters {
		if v.Id == f.id && f.prepared <= f.roster.Epoch() {
			ownVote = 1
		} else if answered, ok := f.answeredAt[v.Id]; ok {
			times = append(times, answered)
		}
	}
	needed := len(voters)/2 + 1 - ownVote
	switch {
	case needed <= 0:
		return time.Time{}, len(voters) > 0
	case needed > len(times):
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], false
}

// confirmedAt returns when the roster was last confirmed.
func (f *Fence) confirmedAt() time.Time {
	confirmed, _ := f.majorityAt()
	return later(f.platformAt(), confirmed)
}

// platformAt returns when the platform last confirmed the roster, or when the
// previous roster was last confirmed, whichever is later.
func (f *Fence) platformAt() time.Time { return later(f.platformReadAt, f.previousConfirmedAt) }

// IsMajority reports whether n is more than half of voters.
func IsMajority(n, voters int) bool { return 2*n > voters }

// EffectDelay returns how long after its write a change takes effect. The argument
// prepared is the number of the roster's nodes that prepared it or are known to be
// gone.
func EffectDelay(prepared, voters int) time.Duration {
	if voters > 0 && !IsMajority(prepared, voters) {
		return NoMajorityDelay
	}
	return ChangeDelay
}

// isWithin reports whether then is set and less than d before now.
func isWithin(now, then time.Time, d time.Duration) bool {
	return !then.IsZero() && elapsed(now, then) < d
}

// elapsed returns the time from then to now by the monotonic or the wall clock,
// whichever advanced more. The monotonic clock covers a stopped process, the wall
// clock a suspended instance.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
