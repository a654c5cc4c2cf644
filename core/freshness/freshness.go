// Package freshness decides whether a node's version of the configuration is known to be
// recent enough to accept API keys, which a later version may have taken away.
//
// A node learns from the store, or from another node, that a version was the newest one at
// a time. It accepts keys while its version in force is as high and that time is recent:
//
//	f := freshness.New(bound)
//	f.Record(version, startedAt)
//	if !f.Allows(now, inForce) {
//		refuse("keysNotCurrent")
//	}
//
// All times are of a clock of this node that is never set and counts the time for which the
// machine is suspended. What another node says has an age; it counts from when that node was
// asked, so a slow or late answer makes it older, never younger.
package freshness

import "time"

const (
	// allowedPart is the part of the bound for which a version counts as recent. The rest
	// is for clocks that differ in speed and for requests that were sent a moment before.
	allowedPart = 0.85
	// askPart is the part of the bound after which other nodes are asked, and readPart that
	// after which the store is read by nodes that usually do not.
	askPart  = 0.24
	readPart = 0.6
)

// Fence holds when the version in force was last known to be the newest. It is not safe for
// concurrent use.
type Fence struct {
	bound time.Duration
	// current is the latest time at which the version in force was the newest, or zero.
	current time.Time
	// pending says that a version that is not in force was the newest at a time.
	pending statement
}

type statement struct {
	version uint64
	at      time.Time
}

// New returns a fence for a node that must refuse a key within a time after the version that
// took it away was acknowledged.
func New(bound time.Duration) *Fence { return &Fence{bound: bound} }

// Record records that a version was the newest at a time. In force is the version that the
// node has applied.
func (f *Fence) Record(version uint64, at time.Time, inForce uint64) {
	s := statement{version, at}
	if version > inForce {
		// Of two versions that are not in force, the higher one will be sooner.
		if s.version >= f.pending.version && s.at.After(f.pending.at) || f.pending.version <= inForce {
			f.promote(inForce)
			f.pending = s
		}
		return
	}
	if s.at.After(f.current) {
		f.current = s.at
	}
}

// promote takes over what is known of a version that is now in force.
func (f *Fence) promote(inForce uint64) {
	if f.pending.version <= inForce && f.pending.at.After(f.current) {
		f.current = f.pending.at
	}
}

// Age returns the time since the version in force was known to be the newest, or false if
// that is not known.
func (f *Fence) Age(now time.Time, inForce uint64) (time.Duration, bool) {
	f.promote(inForce)
	if f.current.IsZero() || now.Before(f.current) || inForce == 0 {
		return 0, false
	}
	return now.Sub(f.current), true
}

// Allows reports whether API keys may be accepted.
func (f *Fence) Allows(now time.Time, inForce uint64) bool {
	age, ok := f.Age(now, inForce)
	return ok && age < part(f.bound, allowedPart)
}

// ShouldAsk reports whether the node should ask another one, or read the store if it does so
// for its zone.
func (f *Fence) ShouldAsk(now time.Time, inForce uint64) bool {
	age, ok := f.Age(now, inForce)
	return !ok || age >= part(f.bound, askPart)
}

// ShouldRead reports whether the node should read the store although others do so for it.
func (f *Fence) ShouldRead(now time.Time, inForce uint64) bool {
	age, ok := f.Age(now, inForce)
	return !ok || age >= part(f.bound, readPart)
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }
