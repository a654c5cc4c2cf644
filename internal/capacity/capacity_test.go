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
	update    = flag.Bool("update", false, "write the computed tables into the page")
	documents = filepath.Join("..", "..", "docs")
)

// TestPage compares the tables of the page with those computed from the measured
// figures. With -update it writes them into the page.
func TestPage(t *testing.T) {
	figures, err := Read(os.DirFS(filepath.Join(documents, "measured")))
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Tables(figures)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(documents, "CAPACITY.md")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), begin)
	current, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("%s has no markers of the computed part", file)
	}
	if *update {
		if err := os.WriteFile(file, []byte(before+begin+tables+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if current != tables {
		t.Errorf("the page differs from the measured figures; want:\n%s", tables)
	}
}

func TestMissingFigure(t *testing.T) {
	if _, err := Tables(Figures{"hop.cpuPerCall": 1}); err == nil || !strings.Contains(err.Error(), "memory.letter") {
		t.Errorf("error %v, want the missing figures", err)
	}
}

func TestOverLimit(t *testing.T) {
	if got := formatLimited(9, 8, "B/s"); !strings.Contains(got, "over") {
		t.Errorf("got %q, want it marked as over the limit", got)
	}
}
