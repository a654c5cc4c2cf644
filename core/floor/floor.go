// Package floor decides when a node that starts with nothing knows the oldest
// version that it may serve.
//
// # The rule
//
// A node must not serve an older version than its predecessor did. It waits
// until it knows a floor:
//
//   - from the platform: the platform answered this node, or a ready peer whose
//     own knowledge of the platform is fresh;
//   - from peers, while the platform is out: the highest version among the ready
//     peers that it can reach.
//
// In both cases all peers that were asked have answered or failed first, and
// the floor is never below what any of them has: a platform that was restored
// from a backup must not take a new node back. With neither source the floor
// stays unknown and the node refuses calls.
//
//	var g floor.Gate
//	g.Ask(now, "n1", "n2")
//	g.PlatformAnswered(7)
//	g.Peer("n1", floor.Answer{Number: 8, Ready: true})
//	known, ok := g.Known(now)
package floor

import (
	"fmt"
	"time"
)

// AskTimeout is how long a peer has to answer.
const AskTimeout = 1 * time.Second

// Answer is what a peer says of the version that it holds.
type Answer struct {
	Number uint64
	// Ready says that the peer itself knew its floor.
	Ready bool
	// PlatformFresh says that the peer is a reader whose watch on the platform
	// works.
	PlatformFresh bool
	// PlatformLost says that the peer is a reader whose watch fails.
	PlatformLost bool
}

// Known is a floor and where it comes from.
type Known struct {
	Number uint64
	// Source says in words where the floor comes from.
	Source string
}

// Gate collects the answers of one start. The zero value knows nothing. It is
// not safe for use by several goroutines at once.
type Gate struct {
	platform platformState
	fromSelf uint64
	open     map[string]time.Time
	answers  map[string]Answer
}

type platformState uint8

const (
	platformUnknown platformState = iota
	platformAnswered
	platformEmpty
	platformLost
)

// Ask notes that peers are being asked.
func (g *Gate) Ask(now time.Time, ids ...string) {
	if g.open == nil {
		g.open = make(map[string]time.Time)
	}
	for _, id := range ids {
		g.open[id] = now.Add(AskTimeout)
	}
}

// Peer notes the answer of a peer.
func (g *Gate) Peer(id string, a Answer) {
	delete(g.open, id)
	if g.answers == nil {
		g.answers = make(map[string]Answer)
	}
	g.answers[id] = a
}

// PeerFailed notes that a peer did not answer.
func (g *Gate) PeerFailed(id string) {
	delete(g.open, id)
}

// PlatformAnswered notes the number of the head in the platform, 0 when there
// is no head.
func (g *Gate) PlatformAnswered(number uint64) {
	g.platform, g.fromSelf = platformAnswered, number
	if number == 0 {
		g.platform = platformEmpty
	}
}

// PlatformLost notes that the platform does not answer this node.
func (g *Gate) PlatformLost() {
	if g.platform == platformUnknown {
		g.platform = platformLost
	}
}

// Known returns the floor, or false while it is not known.
func (g *Gate) Known(now time.Time) (Known, bool) {
	if g.waits(now) {
		return Known{}, false
	}
	highest, ready, fresh := g.peers()
	switch {
	case g.platform == platformAnswered:
		return Known{Number: max(highest, g.fromSelf), Source: "platform"}, true
	case fresh != "":
		return Known{Number: highest, Source: "platform, by reader " + fresh}, true
	case g.isPlatformLost() && ready > 0:
		return Known{Number: highest, Source: fmt.Sprintf("%d peers, the platform is out", ready)}, true
	}
	return Known{}, false
}

// Highest returns the highest version among the peers that answered.
func (g *Gate) Highest() uint64 {
	highest, _, _ := g.peers()
	return highest
}

// Reason says why the floor is not known.
func (g *Gate) Reason(now time.Time) string {
	_, ready, _ := g.peers()
	switch {
	case g.waits(now):
		return fmt.Sprintf("waits for %d peers", len(g.open))
	case g.platform == platformEmpty && ready == 0:
		return "the platform has no version and no peer has one"
	case g.isPlatformLost():
		return "the platform is out and no ready peer answers"
	}
	return "no answer of the platform or of a reader yet"
}

// waits says whether a peer may still answer.
func (g *Gate) waits(now time.Time) bool {
	for id, deadline := range g.open {
		if now.Before(deadline) {
			return true
		}
		delete(g.open, id)
	}
	return false
}

// peers returns the highest version among the peers that answered, how many
// ready ones have a version, and one with fresh knowledge of the platform.
func (g *Gate) peers() (highest uint64, ready int, fresh string) {
	for id, a := range g.answers {
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

// isPlatformLost says whether this node or a reader found the platform out. An
// empty platform counts as out when peers have a version: it was restored.
func (g *Gate) isPlatformLost() bool {
	if g.platform == platformLost || g.platform == platformEmpty {
		return true
	}
	for _, a := range g.answers {
		if a.PlatformLost {
			return true
		}
	}
	return false
}
