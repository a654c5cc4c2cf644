// Package roster merges the state entries that the nodes of a mesh publish about
// themselves: which service a node's backend server belongs to, and whether it takes
// requests.
//
// # Roster
//
// Each node owns one entry. A [Roster] holds the newest known entry of each node,
// independently of the order in which entries arrive:
//
//	r := roster.New(own)
//	changed := r.Merge(entries)
//	r.Update(func(e *messages.Entry) { e.State = messages.EntryStateReady })
//
// # Order
//
// Entries of a node are ordered by its epoch, which is the time of its start, then by
// the sequence, which counts the changes since.
// The epoch comes from a clock that may jump back between two starts. So a node
// that receives its own entry with a higher epoch raises its epoch above it, and
// the entry that the node publishes itself is eventually the newest.
package roster

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	messages "lavenderdeal/schema/roster"
)

// Roster holds the entries of all known nodes. It is not safe for concurrent use.
type Roster struct {
	own     string
	entries map[string]messages.Entry
	// ready caches the result of Ready by service. Its slices are replaced, never
	// modified.
	ready        map[string][]messages.Entry
	isReadyStale bool
}

// New returns a roster that contains only the node's own entry.
func New(own messages.Entry) *Roster {
	return &Roster{own: own.Node, entries: map[string]messages.Entry{own.Node: own}, isReadyStale: true}
}

// Own returns the node's own entry.
func (r *Roster) Own() messages.Entry { return r.entries[r.own] }

// Update applies change to the node's own entry, increments its sequence and
// returns it.
func (r *Roster) Update(change func(*messages.Entry)) messages.Entry {
	e := r.entries[r.own]
	change(&e)
	e.Sequence++
	r.put(e)
	return e
}

// Merge stores the entries that are newer than the known ones and returns them. If
// an entry of this node itself is newer than its own, the node raises its epoch
// above that entry's, and its own entry is returned too.
func (r *Roster) Merge(entries []messages.Entry) []messages.Entry {
	var changed []messages.Entry
	for _, e := range entries {
		if e.Node == "" {
			continue
		}
		if e.Node == r.own {
			if own := r.entries[r.own]; isNewer(e, own) {
				own.Epoch = e.Epoch + 1
				r.put(own)
				changed = append(changed, own)
			}
			continue
		}
		if known, ok := r.entries[e.Node]; ok && !isNewer(e, known) {
			continue
		}
		if !r.evict(e) {
			continue
		}
		r.put(e)
		changed = append(changed, e)
	}
	return changed
}

// Remove removes the entry of a node. It returns false if there is none, and for
// the node itself.
func (r *Roster) Remove(node string) bool {
	if _, ok := r.entries[node]; !ok || node == r.own {
		return false
	}
	delete(r.entries, node)
	r.isReadyStale = true
	return true
}

// Ready returns the entries of the nodes that are ready to take requests of a
// service, sorted by node. If there are none, it returns those whose servers are
// stopping or leaving: these still take requests for some seconds and refuse later
// ones. The caller must not modify the slice.
func (r *Roster) Ready(service string) []messages.Entry {
	if r.isReadyStale {
		r.ready = make(map[string][]messages.Entry)
		finishing := make(map[string][]messages.Entry)
		for _, e := range r.All() {
			switch e.State {
			case messages.EntryStateReady:
				r.ready[e.Service] = append(r.ready[e.Service], e)
			case messages.EntryStateStopping, messages.EntryStateLeaving:
				if e.Server != "" {
					finishing[e.Service] = append(finishing[e.Service], e)
				}
			}
		}
		for name, entries := range finishing {
			if len(r.ready[name]) == 0 {
				r.ready[name] = entries
			}
		}
		r.isReadyStale = false
	}
	return r.ready[service]
}

// All returns all entries, sorted by node.
func (r *Roster) All() []messages.Entry {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b messages.Entry) int {
		return strings.Compare(a.Node, b.Node)
	})
}

// Others returns the entries of the other nodes, sorted by node.
func (r *Roster) Others() []messages.Entry {
	return slices.DeleteFunc(r.All(), func(e messages.Entry) bool { return e.Node == r.own })
}

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }

// Digest returns a hash of the nodes, epochs and sequences of all entries. Rosters
// with the same entries have the same digest.
func (r *Roster) Digest() string {
	var sum uint64
	var buf []byte
	for _, e := range r.entries {
		buf = append(buf[:0], e.Node...)
		buf = binary.BigEndian.AppendUint64(buf, uint64(e.Epoch))
		buf = binary.BigEndian.AppendUint64(buf, uint64(e.Sequence))
		sum ^= xxhash.Sum64(buf)
	}
	return strconv.FormatUint(sum, 16)
}

// evict removes the entry of an older node that has the call address of e, since the
// address of a terminated instance is reused by another one. It returns false if the
// other node is the newer one, or if the address is this node's own.
func (r *Roster) evict(e messages.Entry) bool {
	for _, other := range r.entries {
		if other.Node == e.Node || other.Call != e.Call {
			continue
		}
		if other.Epoch > e.Epoch || other.Node == r.own {
			return false
		}
		delete(r.entries, other.Node)
	}
	return true
}

func (r *Roster) put(e messages.Entry) {
	r.entries[e.Node] = e
	r.isReadyStale = true
}

// isNewer reports whether a is newer than b, an entry of the same node.
func isNewer(a, b messages.Entry) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Sequence > b.Sequence
}

// Get returns the entry of a node. It returns false if there is none.
func (r *Roster) Get(node string) (messages.Entry, bool) {
	e, ok := r.entries[node]
	return e, ok
}

// NewerThan returns the entries that are newer than the given ones or missing from
// them.
func (r *Roster) NewerThan(entries []messages.Entry) []messages.Entry {
	theirs := make(map[string]messages.Entry, len(entries))
	for _, e := range entries {
		theirs[e.Node] = e
	}
	var newer []messages.Entry
	for _, e := range r.All() {
		if known, ok := theirs[e.Node]; !ok || isNewer(e, known) {
			newer = append(newer, e)
		}
	}
	return newer
}
