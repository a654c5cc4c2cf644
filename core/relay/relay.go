// Package relay selects the nodes that read new versions of the plans from the platform
// for an availability zone, and builds the tree along which a new version is distributed
// within the zone.
//
// A version is identified by the hash of its head, which lists the chunks of the version
// (see lavenderdeal/core/follow).
//
// # Readers
//
// [Readers] selects a few nodes of a zone by rendezvous hashing, so that all nodes
// with the same view select the same ones without communication. Nodes with
// different views may select different readers; an additional reader is harmless.
//
// # Distribution tree
//
// A reader divides the list of the zone's nodes among a few children, and each
// child does the same with its part. The part is included in the message, so that
// the views need not agree. If a child fails, its parent takes over the child's
// part:
//
//	for _, branch := range relay.Split(ids, relay.Fanout) {
//		if send(branch.Child, branch.Descendants) != nil {
//			retry = append(retry, relay.Split(branch.Descendants, relay.Fanout)...)
//		}
//	}
//
// A [Tree] records which versions the node has forwarded.
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
	// maxRemembered is the maximum number of heads in a Tree. The oldest one is dropped.
	maxRemembered = 16
)

// Branch is a child and the nodes to which it forwards a version, by id.
type Branch struct {
	Child string
	// Descendants does not include the child.
	Descendants []string
}

// Split divides a list of nodes into at most fanout branches of about equal size. It
// returns none for an empty list.
func Split(ids []string, fanout int) []Branch {
	branches := make([]Branch, 0, fanout)
	for n := fanout; n > 0 && len(ids) > 0; n-- {
		size := (len(ids) + n - 1) / n
		branches = append(branches, Branch{Child: ids[0], Descendants: ids[1:size:size]})
		ids = ids[size:]
	}
	return branches
}

// Readers returns the ids of the nodes that read the platform for a zone, highest
// score first. Suspects do not count towards ReaderCount, so they are selected
// only in addition to other nodes. Starting nodes are selected if too few nodes are
// serving.
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

// withoutSuspects truncates the list after ReaderCount nodes, not counting suspects.
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

// Order returns the nodes in the order in which they are passed to Split for the version
// with this hash. It is the same for all readers, and differs from version to version.
func Order(hash string, ids []string) []string { return rendezvous.Top(hash, ids, len(ids)) }

// Tree records which heads a node has forwarded, and the nodes to which it has to
// forward others. The zero value is ready for use. It is not safe for concurrent
// use.
type Tree struct {
	heads []headState
}

type headState struct {
	hash string
	// isComplete is set when the node has all chunks of the head.
	isComplete bool
	// isSent is set when the head was forwarded.
	isSent bool
	// targets holds the nodes to which the head has to be forwarded.
	targets []string
}

// AddTargets records the nodes to which a head has to be forwarded, unless some are
// recorded already. It returns the nodes to which the head must be sent now.
func (t *Tree) AddTargets(hash string, targets []string) []string {
	h := t.find(hash)
	if len(h.targets) == 0 {
		h.targets = slices.Clone(targets)
	}
	return h.due()
}

// MarkComplete records that the node has all chunks of a head. It returns the nodes to
// which the head must be sent now.
func (t *Tree) MarkComplete(hash string) []string {
	h := t.find(hash)
	h.isComplete = true
	return h.due()
}

// due returns the targets the first time that the head is complete and has targets, and
// nil otherwise.
func (h *headState) due() []string {
	if !h.isComplete || h.isSent || len(h.targets) == 0 {
		return nil
	}
	h.isSent = true
	return h.targets
}

// find returns the state of a head and adds it if it is missing.
func (t *Tree) find(hash string) *headState {
	for i := range t.heads {
		if t.heads[i].hash == hash {
			return &t.heads[i]
		}
	}
	if len(t.heads) >= maxRemembered {
		t.heads = slices.Delete(t.heads, 0, 1)
	}
	t.heads = append(t.heads, headState{hash: hash})
	return &t.heads[len(t.heads)-1]
}
