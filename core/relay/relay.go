// Package relay decides who reads the platform for an availability zone and how
// a new version travels inside it.
//
// # Readers
//
// [Readers] picks a few nodes of a zone by rendezvous hashing, so that all nodes
// with the same view agree without a message. Nodes with different views may
// pick different readers; one too many does no harm.
//
// # The tree
//
// A reader hands the whole list of the zone's nodes to a few children, each with
// a part of the list, and each child does the same with its part. A part
// travels with the message, so that views need not agree. When a child fails,
// its parent takes over the child's part:
//
//	for _, branch := range relay.Split(ids, relay.Fanout) {
//		if send(branch.Child, branch.Rest) != nil {
//			retry = append(retry, relay.Split(branch.Rest, relay.Fanout)...)
//		}
//	}
//
// A [Tree] remembers what it has passed on.
package relay

import (
	"slices"

	"lavenderdeal/core/fleet"
	"lavenderdeal/core/rendezvous"
	"lavenderdeal/schema/messages"
)

const (
	// ReaderCount is the number of readers of a zone.
	ReaderCount = 2
	// Fanout is the number of children of a node of the tree.
	Fanout = 4
	// maxRemembered bounds the heads that a tree remembers.
	maxRemembered = 16
)

// Branch is one child with the nodes that it passes a version on to.
type Branch struct {
	Child string
	Rest  []string
}

// Split cuts a list of nodes into at most fanout branches of about equal size.
func Split(ids []string, fanout int) []Branch {
	branches := make([]Branch, 0, fanout)
	for n := fanout; n > 0 && len(ids) > 0; n-- {
		size := (len(ids) + n - 1) / n
		branches = append(branches, Branch{Child: ids[0], Rest: ids[1:size:size]})
		ids = ids[size:]
	}
	return branches
}

// Readers returns the ids of the nodes that read the platform for a zone, the
// first one first. A suspect is counted only beside enough others. Nodes that
// start are taken when too few nodes serve.
func Readers(members []messages.Member, zone string) []string {
	var serving, starting []string
	suspects := make(map[string]bool)
	for _, m := range members {
		switch {
		case m.Zone != zone:
		case fleet.IsServing(m.State):
			serving = append(serving, m.Id)
			suspects[m.Id] = m.State == messages.MemberStateSuspect
		case m.State == messages.MemberStateStarting:
			starting = append(starting, m.Id)
		}
	}
	readers := withoutSuspects(rendezvous.Top("readers/"+zone, serving, len(serving)), suspects)
	if missing := ReaderCount - len(readers); missing > 0 {
		readers = append(readers, rendezvous.Top("readers/"+zone, starting, missing)...)
	}
	return readers
}

// withoutSuspects cuts the list behind the last reader that is needed, not
// counting suspects.
func withoutSuspects(ids []string, suspects map[string]bool) []string {
	n := 0
	for i, id := range ids {
		if suspects[id] {
			continue
		}
		if n++; n == ReaderCount {
			return ids[:i+1]
		}
	}
	return ids
}

// Order returns the nodes in the order in which a version travels, the same for
// all readers.
func Order(hash string, ids []string) []string { return rendezvous.Top(hash, ids, len(ids)) }

// Tree remembers which heads a node has passed on, and to whom it was asked to
// pass others on. The zero value is ready for use. It is not safe for use by
// several goroutines at once.
type Tree struct {
	heads []passed
}

type passed struct {
	hash string
	// complete says that the chunks of the head are here.
	complete bool
	// sent says that the head was passed on.
	sent bool
	rest []string
}

// Asked notes that the node was asked to pass a head on to others. It returns
// the nodes to send to now.
func (t *Tree) Asked(hash string, rest []string) []string {
	p := t.find(hash)
	if len(p.rest) == 0 {
		p.rest = slices.Clone(rest)
	}
	return p.due()
}

// Complete notes that the chunks of a head are here. It returns the nodes to
// send to now.
func (t *Tree) Complete(hash string) []string {
	p := t.find(hash)
	p.complete = true
	return p.due()
}

// due returns the nodes to send to, once.
func (p *passed) due() []string {
	if !p.complete || p.sent || len(p.rest) == 0 {
		return nil
	}
	p.sent = true
	return p.rest
}

func (t *Tree) find(hash string) *passed {
	for i := range t.heads {
		if t.heads[i].hash == hash {
			return &t.heads[i]
		}
	}
	if len(t.heads) >= maxRemembered {
		t.heads = slices.Delete(t.heads, 0, 1)
	}
	t.heads = append(t.heads, passed{hash: hash})
	return &t.heads[len(t.heads)-1]
}
