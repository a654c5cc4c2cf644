package follow

import (
	"encoding/json"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

// Announcement returns the message by which the node from announces a head to a peer. If
// the base has the same number of chunks and at most half of them differ, the message
// lists the chunks that changed, so that a peer that holds the base rebuilds the head by
// [Patch]. This is far shorter than a head, which lists every chunk. Otherwise the
// message has no Base, and the peer fetches the head.
func Announcement(from string, head, base Head) messages.Announce {
	a := messages.Announce{From: from, Version: head.Version, Hash: head.Hash}
	if base.Version == 0 || len(base.CustomerChunks) != len(head.CustomerChunks) || len(base.PlanChunks) != len(head.PlanChunks) {
		return a
	}
	a.CustomerEdits = diffChunks(base.CustomerChunks, head.CustomerChunks)
	a.PlanEdits = diffChunks(base.PlanChunks, head.PlanChunks)
	a.Base, a.Operation, a.Author, a.Reason = base.Hash, head.Operation, head.Author, head.Reason
	a.ChangedAt = head.ChangedAt.Format(time.RFC3339Nano)
	if 2*(len(a.CustomerEdits)+len(a.PlanEdits)) > len(head.CustomerChunks)+len(head.PlanChunks) {
		a.CustomerEdits, a.PlanEdits, a.Base = nil, nil, ""
	}
	if _, ok := Patch(base, a); !ok {
		// Encoding the head with this release yields other bytes, so a receiver
		// could not rebuild it.
		a.CustomerEdits, a.PlanEdits, a.Base = nil, nil, ""
	}
	return a
}

// Patch rebuilds the announced head, byte for byte, from the held one. It returns
// false if the edits are for another base or the result does not match the
// announced hash. The receiver must then fetch the head.
func Patch(held Head, a messages.Announce) ([]byte, bool) {
	if a.Base == "" || a.Base != held.Hash {
		return nil, false
	}
	changedAt, err := time.Parse(time.RFC3339Nano, a.ChangedAt)
	if err != nil {
		return nil, false
	}
	head := objects.Head{
		Version: a.Version, Operation: a.Operation, Author: a.Author, Reason: a.Reason, ChangedAt: changedAt,
		CustomerChunks: applyEdits(held.CustomerChunks, a.CustomerEdits),
		PlanChunks:     applyEdits(held.PlanChunks, a.PlanEdits),
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, false
	}
	return raw, chunk.New(raw).Hash == a.Hash
}

// diffChunks returns the positions at which two lists of the same length differ.
func diffChunks(base, next []string) []messages.Edit {
	var changed []messages.Edit
	for i := range next {
		if base[i] != next[i] {
			changed = append(changed, messages.Edit{Index: i, Hash: next[i]})
		}
	}
	return changed
}

// applyEdits returns a copy of base with the edits applied. It ignores positions outside
// the list, since Patch checks the hash of the result.
func applyEdits(base []string, edits []messages.Edit) []string {
	next := append([]string{}, base...)
	for _, e := range edits {
		if e.Index >= 0 && e.Index < len(next) {
			next[e.Index] = e.Hash
		}
	}
	return next
}
