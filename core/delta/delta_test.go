package delta_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/delta"
	messages "lavenderdeal/schema/roster"
)

func ExampleBetween() {
	d := delta.Between([]byte(`{"rows":[["/stock/","availability"],["/photos/","fieldwork"]]}`),
		[]byte(`{"rows":[["/stock/","availability"],["/permits/","fieldwork"]]}`))
	for _, p := range d.Parts {
		fmt.Printf("%d+%d %q\n", p.At, p.Length, p.Text)
	}
	// Output:
	// 0+35 ""
	// 0+0 ",[\"/permits/\",\"fieldwork\"]]}"
}

// document returns a JSON document with rows.
func document(version int, rows []string) []byte {
	return fmt.Appendf(nil, `{"version":"%08x","routes":{"columns":["name","path"],"rows":[%s]}}`, version, strings.Join(rows, ","))
}

// row returns a row of about the length of a route's.
func row(n int) string {
	return fmt.Sprintf(`["r-%d","depot%d.example","/path%d/","safe",1000,500,2,"availability"]`, n, n, n)
}

func assertApplies(t interface{ Fatalf(string, ...any) }, d messages.Delta, before, after []byte) {
	got, err := delta.Apply(before, d)
	if err != nil || !bytes.Equal(got, after) {
		t.Fatalf("got %q, error %v, want %q", got, err, after)
	}
}

func TestApply(t *testing.T) {
	t.Run("any two documents", rapid.MakeCheck(func(t *rapid.T) {
		text := rapid.StringMatching(`[ab\[\],{}]{0,200}`)
		before, after := []byte(text.Draw(t, "before")), []byte(text.Draw(t, "after"))
		assertApplies(t, delta.Between(before, after), before, after)
	}))
	t.Run("documents with some rows changed", rapid.MakeCheck(func(t *rapid.T) {
		var rows []string
		for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
			rows = append(rows, row(i))
		}
		before := document(7, rows)
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			i := rapid.IntRange(0, len(rows)).Draw(t, "at")
			if rapid.Bool().Draw(t, "insert") || i == len(rows) {
				rows = append(rows[:i], append([]string{row(1000 + i)}, rows[i:]...)...)
			} else {
				rows = append(rows[:i], rows[i+1:]...)
			}
		}
		after := document(8, rows)
		assertApplies(t, delta.Between(before, after), before, after)
	}))
	t.Run("one changed row of many gives a short delta", func(t *testing.T) {
		var rows []string
		for i := range 1400 {
			rows = append(rows, row(i))
		}
		before := document(7, rows)
		rows[700] = row(5000)
		after := document(8, append(rows, row(5001)))
		d := delta.Between(before, after)
		assertApplies(t, d, before, after)
		if n := delta.Size(d); n > 1000 {
			t.Fatalf("the delta has %d bytes for a document of %d", n, len(after))
		}
	})
}

// Checks that a damaged delta, or one for another document, is an error.
func TestDamagedDeltas(t *testing.T) {
	before, after := document(7, []string{row(1), row(2), row(3)}), document(8, []string{row(1), row(4), row(3)})
	for name, damage := range map[string]func(*messages.Delta){
		"another base":       func(d *messages.Delta) { d.Before = delta.Digest(after) },
		"another result":     func(d *messages.Delta) { d.After = delta.Digest(before) },
		"a part is missing":  func(d *messages.Delta) { d.Parts = d.Parts[1:] },
		"a part is doubled":  func(d *messages.Delta) { d.Parts = append(d.Parts, d.Parts[0]) },
		"parts are swapped":  func(d *messages.Delta) { d.Parts[0], d.Parts[1] = d.Parts[1], d.Parts[0] },
		"text is changed":    func(d *messages.Delta) { d.Parts[0].Text = "forged" },
		"range is outside":   func(d *messages.Delta) { d.Parts = []messages.DeltaPart{{At: len(before) - 1, Length: 2}} },
		"offset is negative": func(d *messages.Delta) { d.Parts = []messages.DeltaPart{{At: -1, Length: 2}} },
		"range overflows":    func(d *messages.Delta) { d.Parts = []messages.DeltaPart{{At: 1, Length: int(^uint(0) >> 1)}} },
		"range is empty":     func(d *messages.Delta) { d.Parts = append(d.Parts, messages.DeltaPart{}) },
	} {
		t.Run(name, func(t *testing.T) {
			d := delta.Between(before, after)
			if len(d.Parts) < 2 {
				t.Fatalf("the delta has %d parts, want several", len(d.Parts))
			}
			damage(&d)
			if got, err := delta.Apply(before, d); err == nil {
				t.Fatalf("got %q, want an error", got)
			}
		})
	}
	t.Run("too long", func(t *testing.T) {
		long := bytes.Repeat([]byte("x"), 1<<20)
		d := delta.Between(long, long)
		for range 20 {
			d.Parts = append(d.Parts, d.Parts[0])
		}
		if _, err := delta.Apply(long, d); err == nil || !strings.Contains(err.Error(), "more than") {
			t.Fatalf("error %v, want one about the length", err)
		}
	})
}

// Checks that a history leads from any document that it has to the present one, and that it
// stays bounded.
func TestHistory(t *testing.T) {
	t.Run("from each document that it has", rapid.MakeCheck(func(t *rapid.T) {
		var h delta.History
		documents := [][]byte{document(0, nil)}
		for i := range rapid.IntRange(1, 100).Draw(t, "versions") {
			rows := []string{row(rapid.IntRange(0, 5).Draw(t, "row"))}
			documents = append(documents, document(i+1, rows))
			h.Add(documents[i], documents[i+1])
		}
		last := documents[len(documents)-1]
		from := rapid.IntRange(0, len(documents)-2).Draw(t, "from")
		links, ok := h.Since(delta.Digest(documents[from]))
		if want := from >= len(documents)-1-64; ok != want {
			t.Fatalf("from document %d of %d: found %v, want %v", from, len(documents), ok, want)
		}
		got := documents[from]
		for _, d := range links {
			var err error
			if got, err = delta.Apply(got, d); err != nil {
				t.Fatal(err)
			}
		}
		if ok && !bytes.Equal(got, last) {
			t.Fatalf("got %q, want %q", got, last)
		}
	}))
	t.Run("between nodes that skipped different documents", rapid.MakeCheck(func(t *rapid.T) {
		var theirs, ours delta.History
		var has, wants []byte
		hasVersion, wantsVersion := 0, 0
		rows := []string{row(1)}
		for i := range 12 {
			rows = append(rows, row(100+i))
			next := document(i, rows)
			if i == 0 || rapid.Bool().Draw(t, "theirs") {
				theirs.Add(wants, next)
				wants, wantsVersion = next, i
			}
			if i == 0 || i < 8 && rapid.Bool().Draw(t, "ours") {
				ours.Add(has, next)
				has, hasVersion = next, i
			}
		}
		links, ok := theirs.Since(ours.Digests()...)
		if !ok {
			// The first document is common to both. A node that is not ahead has no deltas.
			if len(ours.Digests()) < 8 && wantsVersion > hasVersion {
				t.Fatalf("no document of %v is known", ours.Digests())
			}
			return
		}
		got, err := ours.Restore(has, links[0].Before)
		for _, d := range links {
			if err == nil {
				got, err = delta.Apply(got, d)
			}
		}
		if err != nil || !bytes.Equal(got, wants) {
			t.Fatalf("got %q, error %v, want %q", got, err, wants)
		}
	}))
	t.Run("a document that is not known cannot be restored", func(t *testing.T) {
		var h delta.History
		h.Add(nil, document(1, nil))
		if _, err := h.Restore(document(1, nil), "other"); err == nil {
			t.Fatal("a document was restored that was never added")
		}
	})
	t.Run("a gap ends it", func(t *testing.T) {
		var h delta.History
		a, b, c := document(1, nil), document(2, nil), document(3, nil)
		h.Add(a, b)
		h.Add(a, c)
		if _, ok := h.Since(delta.Digest(b)); ok {
			t.Fatal("the history leads from a document that was skipped")
		}
		if links, ok := h.Since(delta.Digest(a)); !ok || len(links) != 1 {
			t.Fatalf("got %v, %v, want the last delta", links, ok)
		}
	})
	t.Run("a long delta is not kept", func(t *testing.T) {
		var h delta.History
		a, b := document(1, nil), bytes.Repeat([]byte("x"), 1<<20)
		h.Add(a, b)
		if _, ok := h.Since(delta.Digest(a)); ok {
			t.Fatal("a delta of a megabyte is kept")
		}
	})
}

// A node has 0.16 to 0.8 of a processor for all its work.
func TestLargeDocuments(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, more int
	}{{"one more row", 2500, 1}, {"many more rows", 1100, 1400}} {
		t.Run(c.name+" are compared with memory for a few documents", func(t *testing.T) {
			const documents = 4
			before, after := configuration(1, c.before), configuration(2, c.before+c.more)
			var earlier, later runtime.MemStats
			runtime.ReadMemStats(&earlier)
			d := delta.Between(before, after)
			runtime.ReadMemStats(&later)
			assertApplies(t, d, before, after)
			if n, limit := later.TotalAlloc-earlier.TotalAlloc, uint64(documents*len(after)); n > limit {
				t.Fatalf("took %d bytes, want at most %d", n, limit)
			}
		})
	}
	t.Run("a change that makes the document large is kept, with those before and after it", func(t *testing.T) {
		documents := [][]byte{configuration(1, 1100), configuration(2, 1101), configuration(3, 2700), configuration(4, 2701)}
		var h delta.History
		h.Add(nil, documents[0])
		for i, next := range documents[1:] {
			h.Add(documents[i], next)
		}
		for i, document := range documents[:3] {
			deltas, ok := h.Since(delta.Digest(document))
			if !ok {
				t.Fatalf("no deltas from document %d", i)
			}
			for _, d := range deltas {
				var err error
				if document, err = delta.Apply(document, d); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(document, documents[3]) {
				t.Fatalf("the deltas from document %d do not lead to the last one", i)
			}
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`[["a"],["b"]]`), 0, 5, "x")
	f.Fuzz(func(t *testing.T, before []byte, at, length int, text string) {
		d := messages.Delta{Before: delta.Digest(before), After: delta.Digest([]byte(text)), Parts: []messages.DeltaPart{{At: at, Length: length}, {Text: text}}}
		if got, err := delta.Apply(before, d); err == nil && string(got) != text {
			t.Fatalf("got %q, want %q or an error", got, text)
		}
	})
}
