package roster_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/roster"
	messages "lavenderdeal/schema/roster"
)

func entry(node string, epoch, sequence int) messages.Entry {
	return messages.Entry{Node: node, Epoch: epoch, Sequence: sequence, Service: "depot", State: messages.EntryStateReady, Call: address(node)}
}

func address(node string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, node[len(node)-1]}), 80)
}

func ExampleRoster() {
	r := roster.New(entry("n1", 1, 0))
	r.Merge([]messages.Entry{entry("n2", 5, 3), entry("n2", 5, 2)})
	for _, e := range r.Ready("depot") {
		fmt.Println(e.Node, e.Sequence)
	}
	// Output:
	// n1 0
	// n2 3
}

// TestMergeOrder merges the same entries into two rosters in different orders. If the
// results differed, the nodes would never agree.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) messages.Entry {
			return entry(rapid.SampledFrom([]string{"n2", "n3", "n4"}).Draw(t, "node"), rapid.IntRange(1, 3).Draw(t, "epoch"), rapid.IntRange(0, 3).Draw(t, "sequence"))
		}), 0, 20).Draw(t, "entries")
		a, b := roster.New(entry("n1", 1, 0)), roster.New(entry("n1", 1, 0))
		a.Merge(entries)
		for _, i := range rapid.Permutation(indexes(len(entries))).Draw(t, "order") {
			b.Merge(entries[i : i+1])
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("digests differ: %v and %v", a.All(), b.All())
		}
		if newer := a.NewerThan(b.All()); len(newer) > 0 {
			t.Fatalf("NewerThan returned %v for equal rosters", newer)
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestOwnEntry checks that a node's own entry stays the newest one of the node. A restarted
// node whose clock jumped back would otherwise be ignored by the others.
func TestOwnEntry(t *testing.T) {
	r := roster.New(entry("n1", 5, 0))
	t.Run("the epoch is raised above that of an earlier process", func(t *testing.T) {
		changed := r.Merge([]messages.Entry{entry("n1", 9, 4)})
		if len(changed) != 1 || changed[0].Epoch != 10 || r.Own().Epoch != 10 {
			t.Fatalf("changed %v, own %v", changed, r.Own())
		}
	})
	t.Run("it is not removed", func(t *testing.T) {
		if r.Remove("n1") {
			t.Fatal("the node's own entry was removed")
		}
	})
	t.Run("each change is newer", func(t *testing.T) {
		before := r.Own()
		after := r.Update(func(e *messages.Entry) { e.State = messages.EntryStateLeaving })
		if after.Sequence <= before.Sequence || len(r.Ready("depot")) != 0 {
			t.Fatalf("before %v, after %v", before, after)
		}
	})
}

// TestFinishing checks that a stopping or leaving server is used as long as its service
// has no other one, for example when the nodes of three servers are restarted while one
// of the servers leaves.
func TestFinishing(t *testing.T) {
	finishing := func(node string, state messages.EntryState) messages.Entry {
		e := entry(node, 1, 1)
		e.Server, e.State = "i-"+node, state
		return e
	}
	r := roster.New(messages.Entry{Node: "n1", Service: "other", State: messages.EntryStateReady})
	r.Merge([]messages.Entry{finishing("n2", messages.EntryStateStopping), finishing("n3", messages.EntryStateLeaving), finishing("n4", messages.EntryStateWaiting)})
	t.Run("used without a ready node", func(t *testing.T) {
		if got := r.Ready("depot"); len(got) != 2 {
			t.Fatalf("got %v, want n2 and n3", got)
		}
	})
	t.Run("not used with a ready node", func(t *testing.T) {
		r.Merge([]messages.Entry{entry("n5", 1, 1)})
		if got := r.Ready("depot"); len(got) != 1 || got[0].Node != "n5" {
			t.Fatalf("got %v, want only n5", got)
		}
	})
}

// TestAddressUsedAgain checks that the entry of a terminated instance is removed when
// another instance reuses its address, in either order of arrival.
func TestAddressUsedAgain(t *testing.T) {
	old, next := entry("n2", 1, 7), entry("n3", 2, 0)
	next.Call = old.Call
	for name, order := range map[string][]messages.Entry{"old first": {old, next}, "new first": {next, old}} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(entry("n1", 1, 0))
			for _, e := range order {
				r.Merge([]messages.Entry{e})
			}
			if contains(r, "n2") || !contains(r, "n3") {
				t.Fatalf("got %v, want n3 and not n2", r.All())
			}
		})
	}
}

func contains(r *roster.Roster, node string) bool {
	_, ok := r.Get(node)
	return ok
}
