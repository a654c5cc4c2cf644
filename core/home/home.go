// Package home determines which node of a service is the home of an idempotency
// key: the only node that runs calls with that key.
//
// # Rosters
//
// A [Roster] lists the nodes of one service, with the times at which they joined
// and left. Rendezvous hashing divides the service's keys among them. All nodes of
// a service agree on the roster through one object that is stored in the platform:
//
//	r := home.New(homes)
//	switch d := r.Find(now, home.ParseKey(customer, "01932c07-9d2c-7c3a-8f4e-3b1d5a6c7e80")).(type) {
//	case home.Located:
//		send(d.ID)
//	case home.Refused:
//		refuse(d.Verdict)
//	}
//
// # Keys with a time
//
// A key that is a UUID of version 7 (RFC 9562) contains the time of its creation.
// Its home is computed from the roster in force at that time, so a node that joins
// later moves no key that may have been used. Calls with any other key run only if
// the home was the same during the whole of the last [idempotency.Retention].
// Otherwise the node that was the home at the start of that window answers from its
// records and runs no call.
//
// # Changes
//
// Next and Leave return the next roster. A change by Next takes effect in the
// future, when each node that has not received it has stopped running calls; see
// package fence. Leave is for a node that removes itself and takes effect at once,
// since that node no longer runs calls.
package home

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/objects"
)

const (
	// ClockMargin is the largest tolerated difference between the clocks of two
	// nodes.
	ClockMargin = 5 * time.Second
	// untimedWindow is how long an untimed key must have had the same home for calls
	// to run there.
	untimedWindow = idempotency.Retention
	// removedRetention is how long an entry stays in the roster after its removal.
	removedRetention = 2 * idempotency.Retention
)

// Key is an idempotency key of a customer.
type Key struct {
	Customer string
	Value    string
	// CreatedAt is the time in the key, or zero for an untimed key.
	CreatedAt time.Time
}

// Decision is Located or Refused.
type Decision interface {
	implementsDecision()
}

// Located is the decision for a key that has a home.
type Located struct {
	// ID is the id of the home.
	ID string
	// Moved is set when the home of an untimed key changed within the last
	// [idempotency.Retention]. The node then answers from its records and runs no call.
	Moved bool
}

// Refused is the decision for a key with which no node may run a call.
type Refused struct {
	// Verdict is MayHaveRun if the call may have run when it was sent before, and NotRun
	// otherwise.
	Verdict verdict.Verdict
}

// Roster holds the homes of one service. It is immutable and safe for concurrent
// use.
type Roster struct {
	homes objects.Homes
}

// New returns the roster of a stored object.
func New(homes objects.Homes) *Roster {
	homes.Entries = slices.Clone(homes.Entries)
	slices.SortFunc(homes.Entries, func(a, b objects.HomeEntry) int { return cmp.Compare(a.Id, b.Id) })
	return &Roster{homes: homes}
}

// ParseKey returns the key with its creation time, if the value contains one.
func ParseKey(customer, value string) Key {
	return Key{Customer: customer, Value: value, CreatedAt: uuidTime(value)}
}

// Homes returns the roster as an object to store.
func (r *Roster) Homes() objects.Homes {
	homes := r.homes
	homes.Entries = slices.Clone(homes.Entries)
	return homes
}

// Epoch returns the number of the roster, which increases by one with each change. A
// nil roster has epoch 0.
func (r *Roster) Epoch() uint64 {
	if r == nil {
		return 0
	}
	return r.homes.Epoch
}

// Voters returns the entries without a removal, ordered by id. An entry whose removal
// has not taken effect yet is left out too.
func (r *Roster) Voters() []objects.HomeEntry {
	var voters []objects.HomeEntry
	for _, e := range r.homes.Entries {
		if e.RemovedAt.IsZero() {
			voters = append(voters, e)
		}
	}
	return voters
}

// InForce returns the number of nodes that are homes of the keys created now.
func (r *Roster) InForce(now time.Time) int {
	n := 0
	for _, e := range r.homes.Entries {
		if !e.Since.After(now) && (e.RemovedAt.IsZero() || e.RemovedAt.After(now)) {
			n++
		}
	}
	return n
}

// IsVoter reports whether the node is in the roster without a removal.
func (r *Roster) IsVoter(id string) bool {
	i := r.index(id)
	return i >= 0 && r.homes.Entries[i].RemovedAt.IsZero()
}

// Has reports whether the roster has an entry for the node, removed or not.
func (r *Roster) Has(id string) bool { return r.index(id) >= 0 }

// Find returns the home of a key, or a refusal when the time in the key is too old or
// in the future or when the node with the key's records is gone.
func (r *Roster) Find(now time.Time, key Key) Decision {
	if key.CreatedAt.IsZero() {
		return r.findUntimed(now, key)
	}
	switch {
	case key.CreatedAt.After(now.Add(ClockMargin)):
		return Refused{Verdict: verdict.NotRun{Rule: "keyTimeInFuture", Detail: "the time in the idempotency key lies ahead of this node's clock"}}
	case key.CreatedAt.Before(now.Add(-idempotency.RetryWindow)):
		return Refused{Verdict: verdict.MayHaveRun{Rule: "keyTooOld", Detail: "the time in the idempotency key lies before the window of 10 minutes"}}
	}
	id, ok := r.holder(now, key.CreatedAt, key)
	if !ok {
		return Refused{Verdict: homeLost}
	}
	return Located{ID: id}
}

var homeLost = verdict.MayHaveRun{
	Rule:   "homeLost",
	Detail: "the node that kept the record of the idempotency key is gone; an earlier call may have run",
}

// findUntimed returns the home of a key without a time: the home at the start of
// untimedWindow, which is Moved if another node became the home since.
func (r *Roster) findUntimed(now time.Time, key Key) Decision {
	start := now.Add(-untimedWindow)
	first, ok := r.holder(now, start, key)
	if !ok {
		return Refused{Verdict: homeLost}
	}
	for _, e := range r.homes.Entries {
		for _, change := range [2]time.Time{e.Since, e.RemovedAt} {
			if change.IsZero() || !change.After(start) || change.After(now) {
				continue
			}
			id, ok := r.holder(now, change, key)
			if !ok {
				return Refused{Verdict: homeLost}
			}
			if id != first {
				return Located{ID: first, Moved: true}
			}
		}
	}
	return Located{ID: first}
}

// holder returns the id of the node that now holds the records of a key: the home of
// the key at the time at, or the node to which the records were handed over since. It
// returns false if a node was removed without handing them over.
func (r *Roster) holder(now, at time.Time, key Key) (string, bool) {
	for range r.homes.Entries {
		e := r.winner(at, key)
		switch {
		case e == nil:
			return "", false
		case e.RemovedAt.IsZero() || e.RemovedAt.After(now):
			return e.Id, true
		case !e.HandedOver:
			return "", false
		}
		at = e.RemovedAt
	}
	return "", false
}

// winner returns the entry with the highest score among those in force at a time, or
// nil if there is none.
func (r *Roster) winner(at time.Time, key Key) *objects.HomeEntry {
	var winner *objects.HomeEntry
	var highest uint64
	for i := range r.homes.Entries {
		e := &r.homes.Entries[i]
		if e.Since.After(at) || (!e.RemovedAt.IsZero() && !e.RemovedAt.After(at)) {
			continue
		}
		if s := score(e.Id, key); winner == nil || s > highest {
			winner, highest = e, s
		}
	}
	return winner
}

// Initial returns the first roster of a service. Its nodes are in force for keys of
// any time.
func Initial(service string, entries []objects.HomeEntry) *Roster {
	return New(objects.Homes{Service: service, Epoch: 1, Entries: entries})
}

// Change lists the nodes to add to a roster and to remove from it.
type Change struct {
	// Join lists new nodes by id and address.
	Join []objects.HomeEntry
	// Remove lists the ids of nodes that are gone.
	Remove []string
}

// Next returns the roster after a change. The change takes effect at the given time,
// or when the last earlier change does if that is later, so that changes take effect
// in the order of their epochs.
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

// Leave returns the roster after a node removed itself. It takes effect at once, since
// the node runs no calls with a key any more. HandedOver is set when all its records
// were handed over.
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

// successor returns the object of the next epoch, without entries whose removal is
// older than removedRetention.
func (r *Roster) successor(now time.Time) objects.Homes {
	next := r.Homes()
	next.Epoch++
	next.Entries = slices.DeleteFunc(next.Entries, func(e objects.HomeEntry) bool {
		return !e.RemovedAt.IsZero() && e.RemovedAt.Before(now.Add(-removedRetention))
	})
	return next
}

// index returns the index of a node's entry, or -1.
func (r *Roster) index(id string) int {
	i, ok := slices.BinarySearchFunc(r.homes.Entries, id, func(e objects.HomeEntry, id string) int { return cmp.Compare(e.Id, id) })
	if !ok {
		return -1
	}
	return i
}

// score returns the hash of a node's id and a key. Each part is preceded by its
// length, so that different parts never give the same input.
func score(id string, key Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [3]string{id, key.Customer, key.Value} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// uuidTime returns the time in a UUID of version 7, or the zero time.
func uuidTime(value string) time.Time {
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

func (Located) implementsDecision() {}
func (Refused) implementsDecision() {}
