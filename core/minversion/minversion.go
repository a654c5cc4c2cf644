// Package minversion determines the minimum version of the plans that a node which starts
// without state may put in force.
//
// # Rule
//
// A node must not use an older version than its previous process did. It waits until the
// minimum version is determined by one of two sources:
//
//   - The platform: it responded to this node, or to a ready peer that is a reader (a
//     node that watches the platform for its zone) and whose watch works.
//   - The peers, while the platform is unreachable: the highest version among the
//     ready peers that responded.
//
// In both cases it first waits until every queried peer has responded, failed or timed
// out. The minimum version is never below the version of any peer that responded, so
// that a platform restored from a backup cannot roll back a new node. With neither source
// the minimum version stays unknown and the node refuses calls.
//
//	var r minversion.Resolver
//	r.PeersQueried(now, "n1", "n2")
//	r.PlatformAnswered(7)
//	r.PeerAnswered("n1", minversion.Answer{Number: 8, Ready: true})
//	result, ok := r.Result(now)
package minversion

import (
	"fmt"
	"time"
)

// PeerTimeout is how long to wait for the answer of a peer.
const PeerTimeout = 1 * time.Second

// Answer is the state that a peer reports.
type Answer struct {
	// Number is the version that the peer holds, or 0 if it holds none.
	Number uint64
	// Ready is set if the peer has determined its own minimum version.
	Ready bool
	// PlatformFresh is set if the peer is a reader whose watch on the platform
	// works.
	PlatformFresh bool
	// PlatformUnreachable is set if the peer is a reader whose watch on the platform
	// fails.
	PlatformUnreachable bool
}

// Result is the minimum version and its source.
type Result struct {
	// Number is the minimum version.
	Number uint64
	// Source is a human-readable description of the source.
	Source string
}

// Resolver collects the answers during the start of a node. The zero value is ready
// to use. It is not safe for concurrent use.
type Resolver struct {
	platform platformState
	// platformVersion is the version of the head in the platform, or 0.
	platformVersion uint64
	// deadlines holds the time at which each pending query of a peer times out.
	deadlines map[string]time.Time
	answers   map[string]Answer
}

// platformState is how the platform has responded to this node.
type platformState uint8

const (
	platformUnknown platformState = iota
	platformAnswered
	platformEmpty
	platformUnreachable
)

// PeersQueried records that queries to peers were sent.
func (r *Resolver) PeersQueried(now time.Time, ids ...string) {
	if r.deadlines == nil {
		r.deadlines = make(map[string]time.Time)
	}
	for _, id := range ids {
		r.deadlines[id] = now.Add(PeerTimeout)
	}
}

// PeerAnswered records the answer of a peer.
func (r *Resolver) PeerAnswered(id string, a Answer) {
	delete(r.deadlines, id)
	if r.answers == nil {
		r.answers = make(map[string]Answer)
	}
	r.answers[id] = a
}

// PeerFailed records that a query to a peer failed.
func (r *Resolver) PeerFailed(id string) {
	delete(r.deadlines, id)
}

// PlatformAnswered records the version of the head in the platform, or 0 if there
// is no head.
func (r *Resolver) PlatformAnswered(number uint64) {
	r.platform, r.platformVersion = platformAnswered, number
	if number == 0 {
		r.platform = platformEmpty
	}
}

// PlatformUnreachable records that the platform does not respond to this node. It
// has no effect after PlatformAnswered.
func (r *Resolver) PlatformUnreachable() {
	if r.platform == platformUnknown {
		r.platform = platformUnreachable
	}
}

// Result returns the minimum version, or false while it is not determined.
func (r *Resolver) Result(now time.Time) (Result, bool) {
	if r.isWaiting(now) {
		return Result{}, false
	}
	highest, ready, fresh := r.summarizePeers()
	switch {
	case r.platform == platformAnswered:
		return Result{Number: max(highest, r.platformVersion), Source: "platform"}, true
	case fresh != "":
		return Result{Number: highest, Source: "platform, by reader " + fresh}, true
	case r.isPlatformUnreachable() && ready > 0:
		return Result{Number: highest, Source: fmt.Sprintf("%d peers, the platform is out", ready)}, true
	}
	return Result{}, false
}

// Highest returns the highest version among the peers that answered.
func (r *Resolver) Highest() uint64 {
	highest, _, _ := r.summarizePeers()
	return highest
}

// PendingReason returns why the minimum version is not determined yet. It is meaningful
// only while Result returns false.
func (r *Resolver) PendingReason(now time.Time) string {
	_, ready, _ := r.summarizePeers()
	switch {
	case r.isWaiting(now):
		return fmt.Sprintf("waits for %d peers", len(r.deadlines))
	case r.platform == platformEmpty && ready == 0:
		return "the platform has no version and no peer has one"
	case r.isPlatformUnreachable():
		return "the platform is out and no ready peer answers"
	}
	return "no answer of the platform or of a reader yet"
}

// isWaiting reports whether a queried peer may still answer. It drops the queries
// that have timed out.
func (r *Resolver) isWaiting(now time.Time) bool {
	for id, deadline := range r.deadlines {
		if now.Before(deadline) {
			return true
		}
		delete(r.deadlines, id)
	}
	return false
}

// summarizePeers returns the highest version among the peers that answered, the number
// of ready peers with a version, and the lowest id of such a peer whose watch on the
// platform works, or "".
func (r *Resolver) summarizePeers() (highest uint64, ready int, fresh string) {
	for id, a := range r.answers {
		highest = max(highest, a.Number)
		if a.Number == 0 || !a.Ready {
			continue
		}
		ready++
		if a.PlatformFresh && (fresh == "" || id < fresh) {
			fresh = id
		}
	}
	return highest, ready, fresh
}

// isPlatformUnreachable reports whether the platform is unreachable for this node
// or a reader. An empty platform counts as unreachable too: if peers have a
// version, it was emptied by a restore.
func (r *Resolver) isPlatformUnreachable() bool {
	if r.platform == platformUnreachable || r.platform == platformEmpty {
		return true
	}
	for _, a := range r.answers {
		if a.PlatformUnreachable {
			return true
		}
	}
	return false
}
