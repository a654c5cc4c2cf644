package chunk_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/chunk"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/lists"
)

// maxValue is the platform's size limit for a value in bytes.
const maxValue = 1 << 20

func TestMain(m *testing.M) { proptest.Main(m) }

func customers(n int) lists.CustomerList {
	list := lists.CustomerList{}
	for i := range n {
		list.Customers = append(list.Customers, lists.Customer{Name: fmt.Sprintf("c%d", i), Plan: "p", KeyHashes: []string{"k"}})
	}
	return list
}

func split(t interface{ Fatal(...any) }, list lists.CustomerList, previous int) []chunk.Chunk {
	chunks, err := chunk.SplitCustomers(list, previous)
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

// TestSplitCustomers checks that the chunks contain the whole list and that a change of one
// customer changes one chunk. Otherwise each change would be sent to all nodes in full.
func TestSplitCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := customers(rapid.IntRange(1, 2000).Draw(t, "customers"))
		chunks := split(t, list, rapid.SampledFrom([]int{0, 1, 2, 64}).Draw(t, "previous"))

		// The order of the list does not matter.
		shuffled := lists.CustomerList{Customers: slices.Clone(list.Customers)}
		slices.Reverse(shuffled.Customers)
		if !slices.Equal(chunk.Hashes(chunks), chunk.Hashes(split(t, shuffled, len(chunks)))) {
			t.Fatal("the order of the list changed the chunks")
		}

		// The chunks contain the whole list.
		names := make(map[string]bool)
		for _, c := range chunks {
			var part lists.CustomerList
			if err := json.Unmarshal(c.Data, &part); err != nil {
				t.Fatal(err)
			}
			for _, customer := range part.Customers {
				names[customer.Name] = true
			}
		}
		if len(names) != len(list.Customers) {
			t.Fatalf("%d customers in the chunks, want %d", len(names), len(list.Customers))
		}

		// A change of one customer changes one chunk.
		i := rapid.IntRange(0, len(list.Customers)-1).Draw(t, "changed")
		list.Customers[i].Plan = "q"
		if n := countDifferent(chunks, split(t, list, len(chunks))); n != 1 {
			t.Fatalf("%d chunks changed, want 1", n)
		}
	})
}

// TestBuckets checks that the number of buckets does not oscillate while the length of a
// list varies, since each change of the number replaces all chunks.
func TestBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1_000_000).Draw(t, "entries")
		buckets := chunk.BucketCount(n, rapid.SampledFrom([]int{0, 1, 16, 4096}).Draw(t, "previous"))
		if buckets < 1 || buckets&(buckets-1) != 0 {
			t.Fatalf("%d buckets, want a power of two", buckets)
		}
		if again := chunk.BucketCount(n, buckets); again != buckets {
			t.Fatalf("%d buckets became %d without a change", buckets, again)
		}
		// Hysteresis: growing by a quarter and shrinking back changes the number at
		// most once.
		more := chunk.BucketCount(n+n/4, buckets)
		if back := chunk.BucketCount(n, more); back != more {
			t.Fatalf("%d buckets, %d after growth and %d after shrinking again", buckets, more, back)
		}
	})
}

// TestSplitPlans checks that the chunks of large plans are within the platform's size
// limit, and that a change of one plan changes one chunk.
func TestSplitPlans(t *testing.T) {
	t.Run("many long plans", func(t *testing.T) {
		list := lists.PlanList{}
		for i := range 500 {
			list.Services = append(list.Services, lists.Service{Name: fmt.Sprintf("service-%d", i)})
		}
		for i := range 200 {
			plan := lists.Plan{Name: fmt.Sprintf("plan-%d", i)}
			for _, s := range list.Services {
				plan.Uses = append(plan.Uses, lists.Use{Service: s.Name, Priority: "normal", PathPrefixes: []string{"/some/path"}})
			}
			list.Plans = append(list.Plans, plan)
		}
		chunks, err := chunk.SplitPlans(list, 0)
		if err != nil {
			t.Fatal(err)
		}
		assertSizes(t, chunks)
		list.Plans[7].Uses[3].Priority = "bulk"
		changed, err := chunk.SplitPlans(list, len(chunks))
		if err != nil {
			t.Fatal(err)
		}
		if n := countDifferent(chunks, changed); n != 1 {
			t.Errorf("%d of %d chunks changed, want 1", n, len(chunks))
		}
	})
	t.Run("few plans with long paths", func(t *testing.T) {
		list := lists.PlanList{}
		for i := range 20 {
			plan := lists.Plan{Name: fmt.Sprintf("plan-%d", i), Uses: []lists.Use{{Service: "s", Priority: "normal"}}}
			for range 64 {
				plan.Uses[0].PathPrefixes = append(plan.Uses[0].PathPrefixes, fmt.Sprintf("/%04000d", i))
			}
			list.Plans = append(list.Plans, plan)
		}
		chunks, err := chunk.SplitPlans(list, 0)
		if err != nil {
			t.Fatal(err)
		}
		assertSizes(t, chunks)
	})
}

func countDifferent(a, b []chunk.Chunk) int {
	if len(a) != len(b) {
		return max(len(a), len(b))
	}
	n := 0
	for i := range a {
		if a[i].Hash != b[i].Hash {
			n++
		}
	}
	return n
}

func assertSizes(t *testing.T, chunks []chunk.Chunk) {
	t.Helper()
	for _, c := range chunks {
		if len(c.Data) > maxValue {
			t.Errorf("chunk of %d bytes, want at most %d", len(c.Data), maxValue)
		}
	}
}
