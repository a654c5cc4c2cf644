package jsonlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"lavenderdeal/internal/jsonlog"
)

// TestLines guards against lines that a log reader cannot parse, and against a busy
// kind of line that floods the log or loses lines without counting them.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	l := jsonlog.New(&out, "n1")
	l.WriteLimited("refused", log.Fields{"request": "r1", "error": errors.New("no room")})
	for range 1000 {
		l.WriteLimited("served", log.Fields{"request": "r2"})
	}
	l.Close(time.Second)
	written := strings.Split(strings.TrimSpace(out.String()), "\n")
	t.Run("each is one JSON object with its kind, node and time", func(t *testing.T) {
		var record map[string]any
		if err := json.Unmarshal([]byte(written[0]), &record); err != nil {
			t.Fatal(err)
		}
		if record["kind"] != "refused" || record["node"] != "n1" || record["error"] != "no room" || record["at"] == nil {
			t.Fatalf("record %v, want kind refused, node n1, error no room and a time", record)
		}
	})
	t.Run("each kind is rate-limited", func(t *testing.T) {
		if len(written) > 100 {
			t.Fatalf("%d lines, want at most 100", len(written))
		}
	})
	t.Run("dropped lines are counted", func(t *testing.T) {
		if got := l.Totals()["served"]; got != 1000 {
			t.Fatalf("total %d, want 1000", got)
		}
	})
	t.Run("writing after Close is ignored", func(t *testing.T) {
		l.Write("late", nil)
	})
}

// TestFullOutput writes to an output that blocks. The log must drop lines instead of
// blocking Write or Close.
func TestFullOutput(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	l := jsonlog.New(w, "n1")
	started := time.Now()
	for range 10_000 {
		l.Write("served", log.Fields{"request": "r"})
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("10,000 lines took %s, want at most 1s", took)
	}
	started = time.Now()
	l.Close(50 * time.Millisecond)
	if took := time.Since(started); took > time.Second {
		t.Fatalf("Close took %s, want at most 1s", took)
	}
}
