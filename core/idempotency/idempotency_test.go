package idempotency_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func id(n int) idempotency.ID { return idempotency.ID{Customer: "crew", Key: fmt.Sprint(n)} }

func assertRule(t interface{ Fatalf(string, ...any) }, o idempotency.Outcome, want verdict.Verdict) {
	refused, ok := o.(idempotency.Refused)
	if !ok || refused.Verdict.String() != want.String() || verdict.Rule(refused.Verdict) != verdict.Rule(want) {
		t.Fatalf("got %#v, want %v %s", o, want, verdict.Rule(want))
	}
}

// Guards against a table that outgrows its bounds, or that drops records within
// Retention to stay below them, after which a resent call would run again.
func TestBounds(t *testing.T) {
	t.Run("a full table refuses new keys and keeps the old ones", func(t *testing.T) {
		var table idempotency.Table
		for n := range idempotency.MaxRecords {
			table.Begin(start, id(n), "")
			table.Finish(start, id(n), idempotency.Answer{Status: 201})
		}
		assertRule(t, table.Begin(start, id(-1), ""), verdict.NotRun{Rule: "keyTableFull"})
		if _, ok := table.Begin(start, id(0), "").(idempotency.Replay); !ok {
			t.Fatal("the first answer was dropped")
		}
		if _, ok := table.Begin(start.Add(idempotency.Retention), id(-1), "").(idempotency.Run); !ok {
			t.Fatal("the table is full of records that have expired")
		}
	})
	t.Run("the oldest bodies make room, their records stay", func(t *testing.T) {
		var table idempotency.Table
		n := idempotency.MaxBodyBytes/idempotency.MaxAnswerBody + 1
		for i := range n {
			table.Begin(start, id(i), "")
			table.Finish(start, id(i), idempotency.Answer{Status: 201, Body: make([]byte, idempotency.MaxAnswerBody)})
		}
		if got := table.BodyBytes(); got > idempotency.MaxBodyBytes {
			t.Fatalf("%d bytes of bodies, want at most %d", got, idempotency.MaxBodyBytes)
		}
		assertRule(t, table.Begin(start, id(0), ""), verdict.MayHaveRun{Rule: "answerDropped"})
		if _, ok := table.Begin(start, id(1), "").(idempotency.Replay); !ok {
			t.Fatal("the second answer was dropped too")
		}
	})
}

// model is the expected record of one key.
type model struct {
	content string
	running bool
	status  int
	endedAt time.Time
}

// TestTable compares the table with a model while calls begin, end and are handed over
// in any order. It guards against a call that runs twice within Retention.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table idempotency.Table
		now := start
		known := make(map[idempotency.ID]*model)
		draw := func(t *rapid.T) idempotency.ID { return id(rapid.IntRange(0, 4).Draw(t, "key")) }
		end := func(t *rapid.T, status int) idempotency.ID {
			key := draw(t)
			if m := known[key]; m != nil && m.running {
				m.running, m.status, m.endedAt = false, status, now
				return key
			}
			t.Skip("not running")
			return key
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "minutes")) * time.Minute)
			},
			"begin": func(t *rapid.T) {
				key, content := draw(t), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")
				m := known[key]
				outcome := table.Begin(now, key, content)
				switch {
				case m == nil || (!m.running && now.Sub(m.endedAt) >= idempotency.Retention):
					if _, ok := outcome.(idempotency.Run); !ok {
						t.Fatalf("new key: got %#v, want Run", outcome)
					}
					known[key] = &model{content: content, running: true}
				case m.content != content:
					assertRule(t, outcome, verdict.NotRun{Rule: "keyReused"})
				case m.running:
					if _, ok := outcome.(idempotency.Wait); !ok {
						t.Fatalf("running: got %#v, want Wait", outcome)
					}
				case m.status == 0:
					assertRule(t, outcome, verdict.MayHaveRun{Rule: "outcomeUnknown"})
				default:
					if o, ok := outcome.(idempotency.Replay); !ok || o.Answer.Status != m.status {
						t.Fatalf("answered %d: got %#v, want Replay", m.status, outcome)
					}
				}
			},
			"finish": func(t *rapid.T) {
				status := rapid.IntRange(200, 599).Draw(t, "status")
				table.Finish(now, end(t, status), idempotency.Answer{Status: status, Body: []byte("ok")})
			},
			"lose": func(t *rapid.T) { table.FinishUnknown(now, end(t, 0)) },
			"release": func(t *rapid.T) {
				key := end(t, 0)
				delete(known, key)
				table.Release(key)
			},
			"handOver": func(t *rapid.T) {
				var next idempotency.Table
				exported := table.Export(1 << 20)
				slices.Reverse(exported)
				for _, r := range exported {
					if !next.Import(now, r) {
						t.Fatal("Import: got false, want true")
					}
				}
				for key, m := range known {
					if m.running {
						m.running, m.endedAt = false, now
					} else if next.Has(now, key) {
						m.endedAt = now
					}
				}
				table = next
			},
		})
	})
}
