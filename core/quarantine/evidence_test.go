package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pull lets a table get what another one knows.
func pull(now time.Time, to, from *Table) []Entry {
	return to.Merge(now, from.Missing(now, to.Summary(now)))
}

func wantRefused(t *testing.T, table *Table, now time.Time, want bool) {
	t.Helper()
	if _, ok := table.Check(now, poison); ok != want {
		t.Errorf("the poison is refused: %v, want %v", ok, want)
	}
}

// Guards against evidence that a process does not get from another one, or gets back after
// it has dropped it.
func TestMerge(t *testing.T) {
	poisoned := func() *Table {
		var table Table
		table.Crashed(begin, crash("a", 1, "x", poison))
		table.Crashed(begin.Add(time.Second), crash("b", 1, poison))
		return &table
	}
	now := begin.Add(2 * time.Second)
	t.Run("a new process refuses what the others refuse", func(t *testing.T) {
		var table Table
		wantQuarantined(t, pull(now, &table, poisoned()), poison)
		wantRefused(t, &table, begin.Add(time.Second+quarantineTime-1), true)
		wantRefused(t, &table, begin.Add(time.Second+quarantineTime), false)
	})
	t.Run("crashes of two tables decide together", func(t *testing.T) {
		var a, b Table
		a.Crashed(begin, crash("a", 1, "x", poison))
		b.Crashed(begin, crash("b", 1, poison, "y"))
		wantQuarantined(t, pull(now, &a, &b), poison)
	})
	t.Run("a process that has started again numbers its crashes anew", func(t *testing.T) {
		var table Table
		first, second := crash("a", 1, "x", poison), crash("a", 1, poison)
		first.Process, second.Process = 1, 2
		table.Crashed(begin, first)
		table.Crashed(now, second)
		if n := table.Evidence(now); n != 2 {
			t.Errorf("%d crashes count, want 2", n)
		}
	})
	t.Run("a lifted quarantine stays lifted", func(t *testing.T) {
		table, other := poisoned(), poisoned()
		table.Lift(now, poison)
		wantQuarantined(t, pull(now, table, other))
		wantRefused(t, table, now, false)
		if table.Digest(now) != other.Digest(now) {
			t.Error("the tables differ for good")
		}
		wantQuarantined(t, table.Crashed(now.Add(time.Second), crash("c", 1, poison)))
		wantQuarantined(t, table.Crashed(now.Add(2*time.Second), crash("b", 2, poison)), poison)
	})
	t.Run("what has expired does not return", func(t *testing.T) {
		table := poisoned()
		late := begin.Add(time.Second + quarantineTime - expiryMargin)
		if e := table.Missing(late, Summary{}); !e.IsEmpty() {
			t.Errorf("passed on %+v, want nothing", e)
		}
	})
	t.Run("a time far ahead is bounded", func(t *testing.T) {
		var table Table
		table.Merge(now, Evidence{Entries: []Entry{{Fingerprint: poison, Until: now.Add(1000 * time.Hour)}}})
		wantRefused(t, &table, now.Add(quarantineTime), false)
	})
}

// Guards against tables that never agree, although each gets what the other has and it lacks.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := begin
		var tables [3]Table
		for n := range rapid.IntRange(0, 3*maxCrashes/2).Draw(t, "crashes") {
			now = now.Add(time.Second)
			c := crash(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), uint64(n), fmt.Sprint("innocent", n))
			if rapid.IntRange(0, 9).Draw(t, "poisoned") == 0 {
				c.Suspects = append(c.Suspects, Suspect{Fingerprint: poison})
			}
			tables[rapid.IntRange(0, 2).Draw(t, "at")].Crashed(now, c)
		}
		for range 2 {
			for i := range tables {
				for j := range tables {
					pull(now, &tables[i], &tables[j])
				}
			}
		}
		for i := range tables {
			if got, want := tables[i].Digest(now), tables[0].Digest(now); got != want {
				t.Fatalf("table %d has digest %v, want %v", i, got, want)
			}
			for _, e := range tables[i].Entries(now) {
				if e.Fingerprint != poison {
					t.Fatalf("%s is quarantined", e.Fingerprint)
				}
			}
		}
	})
}
