// Package quota decides on a node which requests of client accounts with a limit may run
// without an answer of the account's home, and which are refused without asking it.
//
//	var n quota.Node
//	if after, ok := n.Closed(now, "depot"); ok {
//		refuse(after)
//	}
//	n.Answered(now, "depot", grant)
//
// # Unasked requests
//
// If no home answers in time, a node lets requests through at a part of the rate that an
// equal share of all nodes would be: [UnaskedPart]. One whose answers are only late has the
// whole share, unless the account has used up its limit. They are reported to the home later,
// so they count as well once a home answers.
//
// What no home has been told of is bounded for all nodes together by a part of what a window
// may exceed the limit by, so that any number of nodes may be cut off. That part is dealt
// out in whole requests, see [Unasked]: of an account with a low limit, only a few nodes have one.
package quota

import (
	"maps"
	"slices"
	"time"

	"lavenderdeal/core/quotahome"
)

const (
	// UnaskedPart is the part of a node's equal share of the rate that it may use unasked.
	// Nodes that are cut off use it in addition to what the homes grant.
	UnaskedPart = 0.3
	// A node is in touch for touchTime after an answer. Then it may use its whole share, and
	// two requests at once, for an account that was not refused for openTime.
	touchTime    = 1 * time.Second
	openTime     = 2 * time.Second
	touchUnasked = 2
	// cutPart is the part of what homes leave of the margin of a window that all nodes
	// together may send without any home being told of it, and touchPart that for nodes in
	// touch, of which not all are cut off within touchTime.
	cutPart   = 0.8
	touchPart = 2
	// minNodes is the least number of nodes that the rate is shared by. A node that has
	// just started knows few.
	minNodes = 20
	// backTime is how long after a request was let through its token is given back. Tokens
	// that come back later could add up to more than the limit of one window.
	backTime = 500 * time.Millisecond
	// forgetTime is how long the state of an unused account is kept.
	forgetTime = 1 * time.Minute
)

// Unasked is what a node may send of an account without an answer of its home.
type Unasked struct {
	// Share is an equal share of the rate, in requests per second.
	Share float64
	// MostCut is the number of requests in Window that no home has been told of, and
	// MostInTouch that for a node that homes answer.
	MostCut, MostInTouch int
	Window               time.Duration
}

// NewUnasked returns what a node may send unasked. The node has a rank among all nodes, from 0,
// that differs by account.
func NewUnasked(l quotahome.Limit, b quotahome.Bounds, nodes, rank int) Unasked {
	nodes = max(nodes, minNodes)
	deal := func(part float64) int { return max(0, (int(b.Spare(l)*part)-rank+nodes-1)/nodes) }
	return Unasked{Share: l.Rate / float64(nodes), MostCut: deal(cutPart), MostInTouch: deal(touchPart), Window: b.Window}
}

// Node holds what one node knows of the accounts. The zero value is ready to use. It is not
// safe for concurrent use.
type Node struct {
	accounts map[string]*account
	// answered is when a home last answered.
	answered time.Time
}

type account struct {
	// used is when the account was last used.
	used time.Time
	// refused is when a home last refused a request.
	refused time.Time
	// closed is until when requests are refused without asking, and room when there is
	// room for them.
	closed, room time.Time
	// unasked is the number of requests that may run unasked at the time updated.
	unasked float64
	updated time.Time
	// owed are the times of the unasked requests that no home is known to count.
	owed []time.Time
	// spent and back are reported to the home with the next question.
	// The first that comes back was let through at backTaken.
	spent, back int
	backTaken   time.Time
	// excess is the part of the requests that are beyond the limit, and turn what of it has
	// not been attributed to a request yet.
	excess, turn float64
}

func (n *Node) get(name string) *account {
	if n.accounts == nil {
		n.accounts = make(map[string]*account)
	}
	a := n.accounts[name]
	if a == nil {
		a = &account{unasked: 1}
		n.accounts[name] = a
	}
	return a
}

// Closed returns true if a request is refused without asking, and the time after which
// there is room.
func (n *Node) Closed(now time.Time, name string) (time.Duration, bool) {
	a, ok := n.accounts[name]
	if !ok || !now.Before(a.closed) {
		return 0, false
	}
	return max(a.room.Sub(now), a.closed.Sub(now)), true
}

// Answered records the answer of a home.
func (n *Node) Answered(now time.Time, name string, g quotahome.Grant) {
	a := n.get(name)
	n.answered, a.used = now, now
	if g.Closed > 0 {
		a.refused = now
	}
	a.closed, a.room = now.Add(g.Closed), now.Add(g.RetryAfter)
	a.excess = g.Excess
}

// TakeExcess reports whether a request that may run is one of those that the account sends
// beyond its limit. Such requests are to run only where nothing else waits.
func (n *Node) TakeExcess(name string) bool {
	a := n.get(name)
	if a.turn += a.excess; a.turn < 1 {
		return false
	}
	a.turn--
	return true
}

// TakeUnasked reports whether a request may run without an answer. Later, either Spent or
// Confirmed must be called for it.
func (n *Node) TakeUnasked(now time.Time, name string, u Unasked) bool {
	a := n.get(name)
	a.used = now
	part, most, mostOwed := UnaskedPart, 1.0, u.MostCut
	if now.Sub(n.answered) < touchTime && now.Sub(a.refused) > openTime {
		part, most, mostOwed = 1, touchUnasked, u.MostInTouch
	}
	if !a.updated.IsZero() {
		a.unasked += part * u.Share * max(0, now.Sub(a.updated)).Seconds()
	}
	a.unasked, a.updated = min(most, a.unasked), now
	a.owed = slices.DeleteFunc(a.owed, func(at time.Time) bool { return now.Sub(at) > u.Window })
	if a.unasked < 1 || len(a.owed) >= mostOwed {
		return false
	}
	a.unasked--
	a.owed = append(a.owed, now)
	return true
}

// Confirmed records that the home has let an unasked request through after all.
func (n *Node) Confirmed(name string) {
	n.get(name).unasked++
	n.Delivered(name, 1)
}

// Spent records that an unasked request was sent, for the next question.
func (n *Node) Spent(name string) { n.get(name).spent++ }

// Back records that a request that was let through at a time has not run, for the next
// question. It returns false if that is too long ago.
func (n *Node) Back(now time.Time, name string, taken time.Time) bool {
	if now.Sub(taken) > backTime {
		return false
	}
	a := n.get(name)
	if a.back == 0 || taken.Before(a.backTaken) {
		a.backTaken = taken
	}
	a.back++
	return true
}

// Report is what the home must be told about an account.
type Report struct {
	// Spent is the number of requests that were sent unasked.
	Spent int
	// Back is the number of requests that were let through and have not run, the first of
	// them BackAge ago.
	Back    int
	BackAge time.Duration
}

// Report returns what the home must be told about an account, and forgets it. Once that has
// been sent, Delivered or Undelivered must be called for what was spent.
func (n *Node) Report(now time.Time, name string) Report {
	a, ok := n.accounts[name]
	if !ok {
		return Report{}
	}
	r := Report{Spent: a.spent, Back: a.back}
	if a.back > 0 {
		r.BackAge = max(0, now.Sub(a.backTaken))
	}
	a.spent, a.back = 0, 0
	return r
}

// Delivered records that a home counts a number of unasked requests.
func (n *Node) Delivered(name string, spent int) {
	a := n.get(name)
	a.owed = slices.Delete(a.owed, 0, min(spent, len(a.owed)))
}

// Undelivered records that no home may have been told of a number of unasked requests. They are
// reported again.
func (n *Node) Undelivered(name string, spent int) { n.get(name).spent += spent }

// Forget drops the accounts that were not used for a minute.
func (n *Node) Forget(now time.Time) {
	maps.DeleteFunc(n.accounts, func(_ string, a *account) bool { return now.Sub(a.used) > forgetTime })
}

// Len returns the number of accounts that are kept.
func (n *Node) Len() int { return len(n.accounts) }
