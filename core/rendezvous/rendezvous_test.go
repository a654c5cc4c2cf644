package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func ExampleTop() {
	ids := []string{"a", "b", "c", "d"}
	top := rendezvous.Top("reader/catania", ids, 2)
	fmt.Println(len(top), slices.Contains(ids, top[0]))
	// Output: 2 true
}

// TestTop checks that the selection depends only on the set of ids, and that removing an id
// keeps the other selected ones.
func TestTop(t *testing.T) {
	t.Run("order of ids does not matter", rapid.MakeCheck(func(t *rapid.T) {
		ids, key, n := drawIDs(t), rapid.String().Draw(t, "key"), rapid.IntRange(0, 5).Draw(t, "n")
		other := rapid.Permutation(ids).Draw(t, "other order")
		assertEqual(t, rendezvous.Top(key, other, n), rendezvous.Top(key, ids, n))
	}))
	t.Run("agrees with a full sort", rapid.MakeCheck(func(t *rapid.T) {
		ids, key, n := drawIDs(t), rapid.String().Draw(t, "key"), rapid.IntRange(0, 5).Draw(t, "n")
		sorted := slices.Clone(ids)
		slices.Sort(sorted)
		slices.SortStableFunc(sorted, func(a, b string) int {
			if rendezvous.Score(key, a) > rendezvous.Score(key, b) {
				return -1
			}
			return 1
		})
		assertEqual(t, rendezvous.Top(key, ids, n), sorted[:min(n, len(sorted))])
	}))
	t.Run("removing an id reassigns only its own keys", rapid.MakeCheck(func(t *rapid.T) {
		ids, key := drawIDs(t), rapid.String().Draw(t, "key")
		before := rendezvous.Top(key, ids, 2)
		gone := rapid.SampledFrom(ids).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == gone })
		after := rendezvous.Top(key, rest, 2)
		for _, id := range before {
			if id != gone && !slices.Contains(after, id) {
				t.Fatalf("%s is no longer selected after %s was removed: %v, then %v", id, gone, before, after)
			}
		}
	}))
}

// TestTopSpreadsKeys checks that each id is selected for about the same number of keys.
func TestTopSpreadsKeys(t *testing.T) {
	const ids, keys = 10, 10000
	wins := make(map[string]int)
	all := make([]string, ids)
	for i := range all {
		all[i] = fmt.Sprintf("node-%d", i)
	}
	for k := range keys {
		wins[rendezvous.Top(fmt.Sprintf("zone-%d", k), all, 1)[0]]++
	}
	for _, id := range all {
		// With uniform scores, ten standard deviations are 300 keys.
		if n := wins[id]; n < keys/ids-300 || n > keys/ids+300 {
			t.Errorf("%s is selected for %d of %d keys, want within 300 of an equal share", id, n, keys)
		}
	}
}

func drawIDs(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 20, rapid.ID[string]).Draw(t, "ids")
}

func assertEqual(t *rapid.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
