package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const poison = "poison"

// crash returns a crash of a server while calls with the fingerprints were running.
func crash(server string, sequence uint64, fingerprints ...string) Crash {
	c := Crash{Server: server, Sequence: sequence}
	for _, f := range fingerprints {
		c.Suspects = append(c.Suspects, Suspect{Fingerprint: f})
	}
	return c
}

func wantQuarantined(t *testing.T, got []Entry, want ...string) {
	t.Helper()
	var names []string
	for _, e := range got {
		names = append(names, e.Fingerprint)
	}
	if !slices.Equal(names, want) {
		t.Errorf("quarantined %v, want %v", names, want)
	}
}

// Guards against a call that crashes servers and is not quarantined, and against the
// quarantine of calls that merely ran at the same time.
func TestCrashed(t *testing.T) {
	t.Run("two servers", func(t *testing.T) {
		var table Table
		wantQuarantined(t, table.Crashed(begin, crash("a", 1, "x", poison, "y")))
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "z", poison)), poison)
		e, ok := table.Check(begin, poison)
		if !ok || !slices.Equal(e.Servers, []string{"a", "b"}) {
			t.Errorf("entry %+v, found %v; want servers a and b", e, ok)
		}
	})
	t.Run("one server twice", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, poison))
		wantQuarantined(t, table.Crashed(begin, crash("a", 2, poison)))
	})
	t.Run("one crash reported twice", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, "x", poison))
		table.Crashed(begin, crash("b", 1, "x", poison))
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "x", poison)))
	})
	t.Run("an innocent call that is answered elsewhere", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, "x", poison))
		table.Answered("x")
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "x", poison)), poison)
	})
	t.Run("a common call runs with it both times", func(t *testing.T) {
		var table Table
		c := crash("a", 1, "x", poison)
		c.Suspects[0].Answered = 1000
		table.Crashed(begin, c)
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "x", poison)), poison)
	})
	t.Run("crashes with other causes while common calls run", func(t *testing.T) {
		var table Table
		for range 1000 {
			table.Answered("x")
		}
		table.Crashed(begin, crash("a", 1, "x"))
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "x")))
	})
	t.Run("the third crash decides between equals", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, "x", poison))
		wantQuarantined(t, table.Crashed(begin, crash("b", 1, "x", poison)))
		wantQuarantined(t, table.Crashed(begin, crash("c", 1, poison)), poison)
	})
	t.Run("after three crashes all equals are quarantined", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, "x", poison))
		table.Crashed(begin, crash("b", 1, "x", poison))
		wantQuarantined(t, table.Crashed(begin, crash("c", 1, "x", poison)), "x", poison)
	})
	t.Run("old crashes do not count", func(t *testing.T) {
		var table Table
		table.Crashed(begin, crash("a", 1, poison))
		wantQuarantined(t, table.Crashed(begin.Add(crashTTL), crash("b", 1, poison)))
	})
}

// Guards against a quarantine that does not end, and against old crashes that start it
// again after an operator lifted it.
func TestEnd(t *testing.T) {
	quarantined := func() *Table {
		var table Table
		table.Crashed(begin, crash("a", 1, poison))
		table.Crashed(begin, crash("b", 1, poison))
		return &table
	}
	t.Run("by time", func(t *testing.T) {
		table := quarantined()
		if _, ok := table.Check(begin.Add(quarantineTime-1), poison); !ok {
			t.Error("lifted early")
		}
		if _, ok := table.Check(begin.Add(quarantineTime), poison); ok {
			t.Error("not lifted by time")
		}
	})
	t.Run("by the operator", func(t *testing.T) {
		table := quarantined()
		if !table.Lift(begin, poison) || table.Lift(begin, poison) {
			t.Error("want lifted once")
		}
		if _, ok := table.Check(begin, poison); ok {
			t.Error("still quarantined")
		}
		wantQuarantined(t, table.Crashed(begin, crash("c", 1, poison)))
	})
}

// Guards against retries of a call that are not recognised, and against different calls
// with the same fingerprint.
func TestFingerprint(t *testing.T) {
	request := Request{Customer: "a", Service: "bookings", Method: "POST", URI: "/x?y=1", Body: []byte("body"), Length: 4}
	again := request
	if Fingerprint(request) != Fingerprint(again) {
		t.Error("the same call has two fingerprints")
	}
	for i, change := range []func(*Request){
		func(r *Request) { r.Customer = "b" },
		func(r *Request) { r.Service = "other" },
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.URI = "/x?y=2" },
		func(r *Request) { r.Body = []byte("ydob") },
		func(r *Request) { r.Length = 5 },
	} {
		other := request
		change(&other)
		if Fingerprint(other) == Fingerprint(request) {
			t.Errorf("change %d gives the same fingerprint", i)
		}
	}
}

// TestTableMachine simulates servers that crash only because of the poison call, while
// innocent calls run that are sent once and sometimes answered. It checks that the
// poison is quarantined once two servers have crashed, and nothing else ever is.
func TestTableMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now := begin
		sequence := uint64(0)
		servers := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				if _, ok := table.Check(now, poison); ok {
					t.Skip("refused")
				}
				sequence++
				var running []string
				for i := range rapid.IntRange(0, 4).Draw(t, "beside") {
					running = append(running, fmt.Sprint("innocent", sequence, "-", i))
				}
				at := rapid.IntRange(0, len(running)).Draw(t, "at")
				running = slices.Insert(running, at, poison)
				server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
				servers[server] = true
				table.Crashed(now, crash(server, sequence, running...))
				if _, ok := table.Check(now, poison); len(servers) >= minServers && !ok {
					t.Fatalf("%d servers have crashed and the poison is not quarantined", len(servers))
				}
			},
			"answer": func(t *rapid.T) {
				table.Answered(fmt.Sprint("innocent", rapid.IntRange(1, 5).Draw(t, "n"), "-0"))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, e := range table.Entries(now) {
					if e.Fingerprint != poison {
						t.Fatalf("%s is quarantined", e.Fingerprint)
					}
				}
			},
		})
	})
}
