package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/fleet"
	"lavenderdeal/core/outlier"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/messages"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const service = "bookings"

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(zone string, i int) messages.Member {
	region := "sicily"
	if zone == "abroad" {
		region = "tt-north"
	}
	return messages.Member{
		Id: fmt.Sprint(zone, i), Zone: zone, Region: region, Service: service,
		Slots: 10, State: messages.MemberStateReady,
	}
}

// view returns the view that a node in catania has of n servers in each zone.
func view(n int, zones ...string) *fleet.View {
	self := messages.Member{Id: "self", Zone: "catania", Region: "sicily", Service: "other", State: messages.MemberStateReady}
	members := []messages.Member{self}
	for _, zone := range zones {
		for i := range n {
			members = append(members, member(zone, i))
		}
	}
	return fleet.NewView(self, members)
}

// pickMany picks servers for n calls, which stay outstanding, and counts the calls
// by zone and by server id.
func pickMany(c *Picker, now time.Time, v *fleet.View, n int) (zones, ids map[string]int) {
	zones, ids = map[string]int{}, map[string]int{}
	for i := range n {
		random := float64(i%97) / 97
		m, ok := c.Pick(now, v, Request{Service: service, Random: [2]float64{random, random}})
		if !ok {
			continue
		}
		c.Sent(now, m.Id)
		zones[m.Zone]++
		ids[m.Id]++
	}
	return zones, ids
}

func answer(c *Picker, now time.Time, id string, n int) {
	for range n {
		c.Ended(now, id, CallResult{Load: &messages.Load{Slots: 10}, Outcome: outlier.Answered{}})
	}
}

func fail(c *Picker, now time.Time, id string, n int) {
	for range n {
		c.Sent(now, id)
		c.Ended(now, id, CallResult{Outcome: outlier.Failed{}})
	}
}

// Guards against calls that leave their zone without an overload, that do not leave it
// during one, or that alternate between zones at a constant load.
func TestZones(t *testing.T) {
	t.Run("own zone first", func(t *testing.T) {
		var c Picker
		zones, _ := pickMany(&c, begin, view(2, "catania", "palermo"), 20)
		if zones["catania"] != 20 {
			t.Errorf("picked %v, want all in catania", zones)
		}
	})
	t.Run("spills over while the own zone is overloaded", func(t *testing.T) {
		var c Picker
		zones, _ := pickMany(&c, begin, view(2, "catania", "palermo", "agrigento"), 60)
		if zones["catania"] < 20 || zones["catania"] == 60 {
			t.Errorf("picked %v, want 20 or more in catania and the rest elsewhere", zones)
		}
	})
	t.Run("hysteresis", func(t *testing.T) {
		var c Picker
		v := view(1, "catania", "palermo")
		_, ids := pickMany(&c, begin, v, 40)
		answer(&c, begin, "catania0", ids["catania0"]-9)
		pickMany(&c, begin, v, 1)
		if !c.pools[service].spilling {
			t.Error("calls stopped spilling at a load between the two bounds")
		}
		answer(&c, begin, "catania0", 10)
		if zones, _ := pickMany(&c, begin, v, 1); zones["catania"] != 1 || c.pools[service].spilling {
			t.Errorf("picked %v, want catania again", zones)
		}
	})
	t.Run("other regions last", func(t *testing.T) {
		var c Picker
		zones, _ := pickMany(&c, begin, view(1, "palermo", "abroad"), 100)
		if zones["palermo"] != 100 {
			t.Errorf("picked %v, want all in palermo", zones)
		}
		zones, _ = pickMany(&c, begin, view(1, "abroad"), 1)
		if zones["abroad"] != 1 {
			t.Errorf("picked %v, want the server of the other region", zones)
		}
	})
}

// Guards against a new server that gets its full share of calls before it is warm.
func TestSlowStart(t *testing.T) {
	var c Picker
	old := view(2, "catania")
	pickMany(&c, begin, old, 1)
	later := begin.Add(time.Minute)
	grown := view(3, "catania")
	_, ids := pickMany(&c, later, grown, 20)
	if ids["catania2"] > 2 {
		t.Errorf("the new server got %d of 20 calls, want 2 at most", ids["catania2"])
	}
	_, ids = pickMany(&c, later.Add(slowStartTime), grown, 20)
	if ids["catania2"] < 8 {
		t.Errorf("the warm server got %d of 20 calls, want at least 8", ids["catania2"])
	}
}

// Guards against more calls to a server that has just refused one because of overload,
// and against its ejection for that.
func TestOverload(t *testing.T) {
	var c Picker
	v := view(2, "catania")
	pickMany(&c, begin, v, 0)
	m, _ := c.Pick(begin, v, Request{Service: service})
	c.Sent(begin, m.Id)
	c.Ended(begin, m.Id, CallResult{Outcome: outlier.Answered{}, Overloaded: true, RetryAfter: time.Second})
	if _, ids := pickMany(&c, begin, v, 5); ids[m.Id] > 0 {
		t.Errorf("the server that refused got %d of 5 calls", ids[m.Id])
	}
	if len(c.Changes()) > 0 {
		t.Error("a refusal because of overload ejected the server")
	}
}

// Guards against calls to a server whose calls fail, and against ejecting so many
// servers that the others cannot take the load.
func TestEjection(t *testing.T) {
	t.Run("failed calls eject", func(t *testing.T) {
		var c Picker
		v := view(3, "catania")
		pickMany(&c, begin, v, 1)
		fail(&c, begin, "catania1", 10)
		changes := c.Changes()
		if len(changes) != 1 || !changes[0].Ejected || changes[0].ID != "catania1" {
			t.Fatalf("changes %v, want catania1 ejected once", changes)
		}
		if _, ids := pickMany(&c, begin, v, 10); ids["catania1"] > 0 {
			t.Error("an ejected server was picked")
		}
	})
	t.Run("a third at most", func(t *testing.T) {
		var c Picker
		pickMany(&c, begin, view(3, "catania", "palermo"), 1)
		for i := range 3 {
			fail(&c, begin, fmt.Sprint("catania", i), 10)
			fail(&c, begin, fmt.Sprint("palermo", i), 10)
		}
		if out := c.Ejected(begin); len(out) != 2 {
			t.Errorf("%v are ejected, want 2 of 6", out)
		}
	})
	t.Run("never the only one", func(t *testing.T) {
		var c Picker
		v := view(1, "catania")
		pickMany(&c, begin, v, 1)
		fail(&c, begin, "catania0", 100)
		if _, ids := pickMany(&c, begin, v, 1); ids["catania0"] != 1 {
			t.Error("the only server was not picked")
		}
	})
}

// TestAdoptedScore checks that the algorithm in use has no higher latency than the power
// of two choices, which compares two random servers by own calls plus reported load, in
// every fleet with slow servers.
func TestAdoptedScore(t *testing.T) {
	plain, adopted := twoChoicesAlgorithm, adoptedAlgorithm
	for _, f := range fleetSims {
		if f.sim.slow == 0 {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			plainMean, plainP99 := f.sim.run(plain)
			mean, p99 := f.sim.run(adopted)
			if mean > plainMean || p99 > plainP99 {
				t.Errorf("mean %s, p99 %s; two choices have %s, %s", mean, p99, plainMean, plainP99)
			}
		})
	}
}

// machine is a state machine that checks the invariants of the picker after each
// step.
type machine struct {
	c     Picker
	now   time.Time
	view  *fleet.View
	calls []string
}

func (m *machine) drawView(t *rapid.T) {
	zones := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"catania", "palermo", "abroad"}), rapid.ID[string]).Draw(t, "zones")
	m.view = view(rapid.IntRange(1, 4).Draw(t, "servers"), zones...)
}

func (m *machine) pick(t *rapid.T) {
	servers := m.view.Servers(service)
	var tried []string
	for _, s := range servers {
		if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
			tried = append(tried, s.Id)
		}
	}
	random := rapid.Float64Range(0, 0.999)
	r := Request{Service: service, Tried: tried, Random: [2]float64{random.Draw(t, "r0"), random.Draw(t, "r1")}}
	got, ok := m.c.Pick(m.now, m.view, r)
	if ok != (len(tried) < len(servers)) {
		t.Fatalf("picked %v with %d of %d servers tried", ok, len(tried), len(servers))
	}
	if !ok {
		return
	}
	if slices.Contains(tried, got.Id) || !slices.ContainsFunc(servers, func(s messages.Member) bool { return s.Id == got.Id }) {
		t.Fatalf("picked %s of %d servers, tried %v", got.Id, len(servers), tried)
	}
	if slices.Contains(m.c.Ejected(m.now), got.Id) {
		for _, s := range servers {
			if !slices.Contains(tried, s.Id) && !slices.Contains(m.c.Ejected(m.now), s.Id) {
				t.Fatalf("picked %s, which is ejected, and %s is not", got.Id, s.Id)
			}
		}
	}
	m.c.Sent(m.now, got.Id)
	m.calls = append(m.calls, got.Id)
}

func (m *machine) end(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call")
	}
	id := m.calls[0]
	m.calls = m.calls[1:]
	failing := rapid.Bool().Draw(t, "failing")
	e := CallResult{Outcome: outlier.Answered{}, Load: &messages.Load{Running: rapid.IntRange(0, 30).Draw(t, "running"), Slots: 10}}
	if failing {
		e = CallResult{Outcome: outlier.Failed{}}
	}
	m.c.Ended(m.now, id, e)
}

// check fails if a change left more than a third of the servers ejected, more than one
// of two, or the only one.
func (m *machine) check(t *rapid.T) {
	for range m.c.Changes() {
		p := m.c.pools[service]
		if p == nil || p.view != m.view {
			continue
		}
		out, n := 0, len(m.view.Servers(service))
		for _, s := range m.view.Servers(service) {
			if slices.Contains(m.c.Ejected(m.now), s.Id) {
				out++
			}
		}
		if out > max(n/3, min(n-1, 1)) {
			t.Fatalf("%d of %d servers are ejected", out, n)
		}
	}
}

// TestChooserMachine picks servers while the view changes and calls fail. It guards
// against picking a server that was tried, left or is ejected, and against too many
// ejections.
func TestChooserMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: begin}
		m.drawView(t)
		t.Repeat(map[string]func(*rapid.T){
			"view":  m.drawView,
			"pick":  m.pick,
			"pick2": m.pick,
			"pick3": m.pick,
			"end":   m.end,
			"end2":  m.end,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

func BenchmarkPick(b *testing.B) {
	var c Picker
	v := view(8, "catania", "palermo", "agrigento")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		random := float64(i%97) / 97
		m, _ := c.Pick(begin, v, Request{Service: service, Random: [2]float64{random, random}})
		c.Sent(begin, m.Id)
		c.Ended(begin, m.Id, CallResult{Load: &messages.Load{Running: 5, Slots: 10}, Outcome: outlier.Answered{}})
	}
}
