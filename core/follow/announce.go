package follow

import (
	"encoding/json"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

// Announcement returns the message by which a node offers a head to another
// one. When the base has as many chunks, the message carries what changed since,
// which is far shorter than a head that names every chunk.
func Announcement(from string, head, base Head) messages.Announce {
	a := messages.Announce{From: from, Version: head.Version, Hash: head.Hash}
	if base.Version == 0 || len(base.CustomerChunks) != len(head.CustomerChunks) || len(base.PlanChunks) != len(head.PlanChunks) {
		return a
	}
	a.CustomerEdits = edits(base.CustomerChunks, head.CustomerChunks)
	a.PlanEdits = edits(base.PlanChunks, head.PlanChunks)
	a.Base, a.Operation, a.Author, a.Reason = base.Hash, head.Operation, head.Author, head.Reason
	a.ChangedAt = head.ChangedAt.Format(time.RFC3339Nano)
	if 2*(len(a.CustomerEdits)+len(a.PlanEdits)) > len(head.CustomerChunks)+len(head.PlanChunks) {
		a.CustomerEdits, a.PlanEdits, a.Base = nil, nil, ""
	}
	if _, ok := Patch(base, a); !ok {
		// The head was not written the way this release writes it.
		a.CustomerEdits, a.PlanEdits, a.Base = nil, nil, ""
	}
	return a
}

// Patch rebuilds the announced head from the one held, byte for byte. It
// returns false when the result does not match the announced hash; the head
// must be asked for then.
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
		CustomerChunks: patched(held.CustomerChunks, a.CustomerEdits),
		PlanChunks:     patched(held.PlanChunks, a.PlanEdits),
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, false
	}
	return raw, chunk.Of(raw).Hash == a.Hash
}

func edits(base, next []string) []messages.Edit {
	var found []messages.Edit
	for i := range next {
		if base[i] != next[i] {
			found = append(found, messages.Edit{Index: i, Hash: next[i]})
		}
	}
	return found
}

func patched(base []string, edits []messages.Edit) []string {
	next := append([]string{}, base...)
	for _, e := range edits {
		if e.Index >= 0 && e.Index < len(next) {
			next[e.Index] = e.Hash
		}
	}
	return next
}
