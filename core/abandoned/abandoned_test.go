package abandoned_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderdeal/core/abandoned"
)

var now = time.Unix(1_000_000, 0)

func assertHas(t *testing.T, table *abandoned.Table, at time.Time, id string, want bool) {
	t.Helper()
	if got := table.Has(at, id); got != want {
		t.Fatalf("Has(%s) returns %v at %s, want %v", id, got, at.Sub(now), want)
	}
}

func TestTable(t *testing.T) {
	t.Run("a request is kept until its deadline", func(t *testing.T) {
		var table abandoned.Table
		assertHas(t, &table, now, "a", false)
		table.Add(now, "a", now.Add(time.Second))
		assertHas(t, &table, now, "a", true)
		assertHas(t, &table, now.Add(time.Second), "a", false)
	})
	t.Run("a request that is run again", func(t *testing.T) {
		var table abandoned.Table
		table.Add(now, "a", now.Add(time.Second))
		table.Remove("a")
		assertHas(t, &table, now, "a", false)
		table.Add(now, "a", now.Add(time.Second))
		assertHas(t, &table, now, "a", true)
	})
	t.Run("the deadline has passed", func(t *testing.T) {
		var table abandoned.Table
		table.Add(now, "a", now)
		if n := table.Len(); n != 0 {
			t.Fatalf("%d requests are kept, want none", n)
		}
	})
}

// Guards against a table that grows without bound.
func TestBound(t *testing.T) {
	const requests, maxKept = 10_000, 1024
	var table abandoned.Table
	for i := range requests {
		table.Add(now, fmt.Sprint(i), now.Add(time.Second))
		if n := table.Len(); n > maxKept {
			t.Fatalf("%d requests are kept, want at most %d", n, maxKept)
		}
	}
	assertHas(t, &table, now, fmt.Sprint(requests-1), true)
	assertHas(t, &table, now, "0", false)
	later := now.Add(2 * time.Second)
	table.Add(later, "last", later.Add(time.Second))
	if n := table.Len(); n != 1 {
		t.Fatalf("%d requests are kept after their deadlines, want 1", n)
	}
}
