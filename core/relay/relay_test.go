package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/relay"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/messages"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// members returns one member of the zone for each state.
func members(zone string, states ...messages.MemberState) []messages.Member {
	var all []messages.Member
	for i, state := range states {
		all = append(all, messages.Member{Id: fmt.Sprintf("%s%d", zone, i), Zone: zone, State: state})
	}
	return all
}

// TestReaders checks which nodes of a zone are selected. With too few readers, a zone
// would not get new versions from the platform.
func TestReaders(t *testing.T) {
	ready, suspect, failed, starting := messages.MemberStateReady, messages.MemberStateSuspect, messages.MemberStateFailed, messages.MemberStateStarting
	t.Run("a zone has two, of its own nodes", func(t *testing.T) {
		all := append(members("a", ready, ready, ready, ready), members("b", ready, ready, ready)...)
		readers := relay.Readers(all, "a")
		assertLen(t, readers, relay.ReaderCount)
		assertAllIn(t, readers, "a0", "a1", "a2", "a3")
	})
	t.Run("failed and leaving nodes are not chosen", func(t *testing.T) {
		assertAllIn(t, relay.Readers(members("a", failed, messages.MemberStateLeaving, ready), "a"), "a2")
	})
	t.Run("suspects are selected in addition to others", func(t *testing.T) {
		readers := relay.Readers(members("a", suspect, suspect, ready, ready, ready), "a")
		unsuspected := slices.DeleteFunc(slices.Clone(readers), func(id string) bool { return id == "a0" || id == "a1" })
		assertLen(t, unsuspected, relay.ReaderCount)
	})
	t.Run("starting nodes are selected when too few serve", func(t *testing.T) {
		assertLen(t, relay.Readers(members("a", starting, starting, starting), "a"), 2)
		readers := relay.Readers(members("a", starting, starting, ready), "a")
		assertLen(t, readers, 2)
		if readers[0] != "a2" {
			t.Errorf("first reader is %s, want a2, the only serving node", readers[0])
		}
	})
}

// TestSplit checks that the branches contain each node once, in order.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := make([]string, rapid.IntRange(0, 200).Draw(t, "nodes"))
		for i := range ids {
			ids[i] = fmt.Sprint("n", i)
		}
		branches := relay.Split(ids, relay.Fanout)
		if len(branches) > relay.Fanout {
			t.Fatalf("%d branches, want at most relay.Fanout", len(branches))
		}
		var all []string
		for _, b := range branches {
			all = append(append(all, b.Child), b.Descendants...)
		}
		if !slices.Equal(all, ids) {
			t.Fatalf("the branches have %v, want %v", all, ids)
		}
	})
}

// TestTreeReachesAll forwards a head along the tree with some nodes failed. All
// others must get it exactly once, in at most five hops.
func TestTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := make([]string, rapid.IntRange(1, 160).Draw(t, "nodes"))
		failed := make(map[string]bool)
		for i := range ids {
			ids[i] = fmt.Sprint("n", i)
			failed[ids[i]] = rapid.IntRange(0, 4).Draw(t, "failed") == 0
		}
		got := make(map[string]int)
		depth := walk(relay.Order("hash", ids), failed, got)
		for _, id := range ids {
			if want := 1; !failed[id] && got[id] != want {
				t.Fatalf("%s got the head %d times, want once", id, got[id])
			}
		}
		if depth > 5 {
			t.Fatalf("%d hops for %d nodes, want at most 5", depth, len(ids))
		}
	})
}

// walk forwards a head to a list of nodes, counts in got how often each received it, and
// returns the number of hops.
func walk(ids []string, failed map[string]bool, got map[string]int) int {
	depth := 0
	for _, b := range relay.Split(ids, relay.Fanout) {
		if failed[b.Child] {
			depth = max(depth, walk(b.Descendants, failed, got))
			continue
		}
		got[b.Child]++
		depth = max(depth, 1+walk(b.Descendants, failed, got))
	}
	return depth
}

// TestTree checks that a node forwards a head only when it has all chunks, because its
// children fetch them from it, and only once.
func TestTree(t *testing.T) {
	targets := []string{"n1", "n2"}
	t.Run("a head is forwarded when its chunks are complete", func(t *testing.T) {
		var tree relay.Tree
		assertLen(t, tree.AddTargets("h", targets), 0)
		assertLen(t, tree.MarkComplete("h"), 2)
	})
	t.Run("a complete head is forwarded at once", func(t *testing.T) {
		var tree relay.Tree
		assertLen(t, tree.MarkComplete("h"), 0)
		assertLen(t, tree.AddTargets("h", targets), 2)
	})
	t.Run("a head is forwarded once", func(t *testing.T) {
		var tree relay.Tree
		tree.MarkComplete("h")
		assertLen(t, tree.AddTargets("h", targets), 2)
		assertLen(t, tree.AddTargets("h", targets), 0)
		assertLen(t, tree.MarkComplete("h"), 0)
	})
	t.Run("heads are independent", func(t *testing.T) {
		var tree relay.Tree
		tree.MarkComplete("h")
		assertLen(t, tree.AddTargets("other", targets), 0)
	})
}

func assertLen(t *testing.T, ids []string, n int) {
	t.Helper()
	if len(ids) != n {
		t.Fatalf("got %v, want %d ids", ids, n)
	}
}

func assertAllIn(t *testing.T, ids []string, allowed ...string) {
	t.Helper()
	for _, id := range ids {
		if !slices.Contains(allowed, id) {
			t.Errorf("%s is not one of %v", id, allowed)
		}
	}
}
