package capacity

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	begin = "<!-- computed: go test ./internal/capacity -update -->\n"
	end   = "<!-- end of what is computed -->\n"
)

var (
	update        = flag.Bool("update", false, "write the computed tables into docs/CAPACITY.md")
	docsDirectory = filepath.Join("..", "..", "docs")
)

// TestPage guards against tables in docs/CAPACITY.md that differ from the measured
// figures, because they were edited by hand or not updated after a measurement. With
// -update it writes the computed tables into the page instead.
func TestPage(t *testing.T) {
	figures, err := Read(os.DirFS(filepath.Join(docsDirectory, "measured")))
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Tables(figures)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(docsDirectory, "CAPACITY.md")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), begin)
	current, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("%s lacks the marker line before or after the computed tables", file)
	}
	if *update {
		if err := os.WriteFile(file, []byte(before+begin+tables+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if current != tables {
		t.Errorf("the tables in docs/CAPACITY.md differ from those computed from docs/measured; run with -update to write these:\n%s", tables)
	}
}

// TestMissingFigure guards against tables in which a figure that was not measured counts
// as 0.
func TestMissingFigure(t *testing.T) {
	if _, err := Tables(Figures{"hop.cpuPerCall": 1}); err == nil || !strings.Contains(err.Error(), "memory.letter") {
		t.Errorf("Tables returned error %v, want one that names the missing figure memory.letter", err)
	}
}

// TestOverLimit guards against a figure above its limit that looks like one below it.
func TestOverLimit(t *testing.T) {
	if got := formatLimited(9, 8, "B/s"); !strings.Contains(got, "over") {
		t.Errorf("9 B/s with a limit of 8 B/s is formatted as %q, want it marked as over the limit", got)
	}
}
