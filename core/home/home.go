// Package home says which node of a service is the home of an idempotency key:
// the only node that runs calls with it.
//
// # Rosters
//
// A [Roster] lists the nodes of one service among which its keys are divided by
// rendezvous hashing, with the times at which nodes came and went. All nodes of
// a service agree on it through one object in the platform:
//
//	r := home.New(homes)
//	switch d := r.Find(now, home.ParseKey(customer, "01932c07-9d2c-7c3a-8f4e-3b1d5a6c7e80")).(type) {
//	case home.At:
//		send(d.ID)
//	case home.Refused:
//		refuse(d.Verdict)
//	}
//
// # Keys with a time
//
// A key that is a UUID of version 7 (RFC 9562) says when it was made. Its home
// is computed from the roster as it stood then, so a node that joins later moves
// no key that may have been used. For any other key the home must have been the
// same during the whole window; if it was not, the node that was the home at the
// start of the window answers from its records and runs nothing.
//
// # Changes
//
// Add and Remove return the next roster. A change takes effect in the future,
// after the time by which each node that has not heard of it stopped running
// calls; see package fence. A node that leaves by itself takes effect at once,
// since it has stopped.
package home

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/core/once"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/objects"
)

const (
	// ClockMargin is the largest difference between two clocks that is allowed
	// for.
	ClockMargin = 5 * time.Second
	// lookBack is how long an untimed key must have had the same home.
	lookBack = once.Keep
	// forgetAfter is how long an entry stays in the roster after its removal.
	forgetAfter = 2 * once.Keep
)

// Key is an idempotency key of a customer.
type Key struct {
	Customer string
	Value    string
	// At is when the key was made, or zero when it does not say.
	At time.Time
}

// Decision is At or Refused.
type Decision interface {
	implementsDecision()
}

// At names the home.
type At struct {
	ID string
	// Moved says that the home changed within the window. The node answers from
	// its records only.
	Moved bool
}

// Refused says that no node may run the call.
type Refused struct {
	Verdict verdict.Verdict
}

// Roster is the homes of one service. It never changes after it was built and is
// safe for use by several goroutines at once.
type Roster struct {
	homes objects.Homes
}

// New returns the roster that the object describes.
func New(homes objects.Homes) *Roster {
	homes.Entries = slices.Clone(homes.Entries)
	slices.SortFunc(homes.Entries, func(a, b objects.HomeEntry) int { return cmp.Compare(a.Id, b.Id) })
	return &Roster{homes: homes}
}

// ParseKey reads the time out of a key, if it has one.
func ParseKey(customer, value string) Key {
	return Key{Customer: customer, Value: value, At: timeOf(value)}
}

// Homes returns the object that describes the roster.
func (r *Roster) Homes() objects.Homes {
	homes := r.homes
	homes.Entries = slices.Clone(homes.Entries)
	return homes
}

// Epoch returns the number of the roster, which rises with each change. A nil
// roster has 0.
func (r *Roster) Epoch() uint64 {
	if r == nil {
		return 0
	}
	return r.homes.Epoch
}

// Voters returns the entries that were not removed, whether or not the removal
// has taken effect, in order of ids.
func (r *Roster) Voters() []objects.HomeEntry {
	var voters []objects.HomeEntry
	for _, e := range r.homes.Entries {
		if e.RemovedAt.IsZero() {
			voters = append(voters, e)
		}
	}
	return voters
}

// IsVoter says whether the node is in the roster and was not removed.
func (r *Roster) IsVoter(id string) bool {
	i := r.index(id)
	return i >= 0 && r.homes.Entries[i].RemovedAt.IsZero()
}

// Has says whether the node is or was in the roster.
func (r *Roster) Has(id string) bool { return r.index(id) >= 0 }

// Find returns the home of a key.
func (r *Roster) Find(now time.Time, key Key) Decision {
	if key.At.IsZero() {
		return r.findUntimed(now, key)
	}
	switch {
	case key.At.After(now.Add(ClockMargin)):
		return Refused{Verdict: verdict.NotRun{Rule: "keyTimeInFuture", Detail: "the time in the idempotency key lies ahead of this node's clock"}}
	case key.At.Before(now.Add(-once.Window)):
		return Refused{Verdict: verdict.MayHaveRun{Rule: "keyTooOld", Detail: "the time in the idempotency key lies before the window of 10 minutes"}}
	}
	id, ok := r.at(now, key.At, key)
	if !ok {
		return Refused{Verdict: lost}
	}
	return At{ID: id}
}

var lost = verdict.MayHaveRun{
	Rule:   "homeLost",
	Detail: "the node that kept the record of the idempotency key is gone; an earlier call may have run",
}

func (r *Roster) findUntimed(now time.Time, key Key) Decision {
	start := now.Add(-lookBack)
	first, ok := r.at(now, start, key)
	if !ok {
		return Refused{Verdict: lost}
	}
	for _, e := range r.homes.Entries {
		for _, change := range [2]time.Time{e.Since, e.RemovedAt} {
			if change.IsZero() || !change.After(start) || change.After(now) {
				continue
			}
			id, ok := r.at(now, change, key)
			if !ok {
				return Refused{Verdict: lost}
			}
			if id != first {
				return At{ID: first, Moved: true}
			}
		}
	}
	return At{ID: first}
}

// at returns the node that has the records of a key whose home was chosen at a
// time. It returns false when that node is gone without having handed them over.
func (r *Roster) at(now, chosen time.Time, key Key) (string, bool) {
	for range r.homes.Entries {
		e := r.best(chosen, key)
		switch {
		case e == nil:
			return "", false
		case e.RemovedAt.IsZero() || e.RemovedAt.After(now):
			return e.Id, true
		case !e.HandedOver:
			return "", false
		}
		chosen = e.RemovedAt
	}
	return "", false
}

// best returns the entry with the highest score among those in force at a time.
func (r *Roster) best(at time.Time, key Key) *objects.HomeEntry {
	var best *objects.HomeEntry
	var highest uint64
	for i := range r.homes.Entries {
		e := &r.homes.Entries[i]
		if e.Since.After(at) || (!e.RemovedAt.IsZero() && !e.RemovedAt.After(at)) {
			continue
		}
		if s := score(e.Id, key); best == nil || s > highest {
			best, highest = e, s
		}
	}
	return best
}

// First returns the first roster of a service. Its nodes take keys of any time.
func First(service string, entries []objects.HomeEntry) *Roster {
	return New(objects.Homes{Service: service, Epoch: 1, Entries: entries})
}

// Change is what the next roster differs by.
type Change struct {
	// Join lists new nodes by id and address.
	Join []objects.HomeEntry
	// Remove lists the ids of nodes that are gone.
	Remove []string
}

// Next returns the roster after a change that takes effect at a time, or later
// when an earlier change takes effect later. The order in which changes take
// effect is the order of their epochs.
func (r *Roster) Next(now, effect time.Time, change Change) *Roster {
	for _, e := range r.homes.Entries {
		effect = latest(effect, e.Since, e.RemovedAt)
	}
	next := r.successor(now)
	for _, e := range change.Join {
		if r.index(e.Id) < 0 {
			e.Since, e.RemovedAt, e.HandedOver = effect, time.Time{}, false
			next.Entries = append(next.Entries, e)
		}
	}
	for i := range next.Entries {
		e := &next.Entries[i]
		if e.RemovedAt.IsZero() && slices.Contains(change.Remove, e.Id) {
			e.RemovedAt = effect
		}
	}
	return New(next)
}

// Leave returns the roster after a node left by itself, which takes effect at
// once: the node runs no call with a key any more.
func (r *Roster) Leave(now time.Time, id string, handedOver bool) *Roster {
	next := r.successor(now)
	for i := range next.Entries {
		e := &next.Entries[i]
		if e.Id == id && (e.RemovedAt.IsZero() || e.RemovedAt.After(now)) {
			e.RemovedAt, e.HandedOver = now, handedOver
		}
	}
	return New(next)
}

func (r *Roster) successor(now time.Time) objects.Homes {
	next := r.Homes()
	next.Epoch++
	next.Entries = slices.DeleteFunc(next.Entries, func(e objects.HomeEntry) bool {
		return !e.RemovedAt.IsZero() && e.RemovedAt.Before(now.Add(-forgetAfter))
	})
	return next
}

func (r *Roster) index(id string) int {
	i, ok := slices.BinarySearchFunc(r.homes.Entries, id, func(e objects.HomeEntry, id string) int { return cmp.Compare(e.Id, id) })
	if !ok {
		return -1
	}
	return i
}

func score(id string, key Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [3]string{id, key.Customer, key.Value} {
		var frame [4]byte
		binary.BigEndian.PutUint32(frame[:], uint32(len(part)))
		_, _ = d.Write(frame[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// timeOf returns the time in a UUID of version 7, or the zero time.
func timeOf(value string) time.Time {
	const (
		length         = 36
		versionAt      = 14
		variantAt      = 19
		timestampBytes = 6
	)
	if len(value) != length || value[versionAt] != '7' || !strings.ContainsRune("89abAB", rune(value[variantAt])) {
		return time.Time{}
	}
	for _, dash := range [...]int{8, 13, 18, 23} {
		if value[dash] != '-' {
			return time.Time{}
		}
	}
	digits, err := hex.DecodeString(strings.ReplaceAll(value, "-", ""))
	if err != nil || len(digits) != 16 {
		return time.Time{}
	}
	var millis [8]byte
	copy(millis[8-timestampBytes:], digits[:timestampBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:])))
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}

func (At) implementsDecision()      {}
func (Refused) implementsDecision() {}
