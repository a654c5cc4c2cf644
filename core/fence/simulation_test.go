package fence_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/fence"
	"lavenderdeal/core/home"
	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/objects"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// simulation holds several homes of one service, the platform, and callers that
// resend the same calls through any node.
type simulation struct {
	now      time.Time
	nodes    []*node
	platform *home.Roster
	// writes were sent to the platform and have not taken effect.
	writes     []write
	platformUp bool
	// calls are all calls that were sent, and runs counts the runs of each by key.
	calls  []call
	runs   map[string]int
	nextID int
}

type node struct {
	id        string
	clockSkew time.Duration
	// group is the partition of the node. Only nodes of one group reach each other.
	group int
	// platformCut is set when the node does not reach the platform.
	platformCut bool
	dead        bool
	// sealed is set when the node has begun to leave: it records no new key.
	sealed bool
	fence  *fence.Fence
	table  idempotency.Table
	// held lists the calls that the node admitted but has not sent to its backend
	// server, because it is paused.
	held []held
}

type write struct {
	// after is the epoch that the write replaces. Otherwise it has no effect.
	after   uint64
	roster  *home.Roster
	applyAt time.Time
	writer  *node
}

type call struct {
	key       home.Key
	firstSent time.Time
}

// held is a call that was admitted and has not been sent to the backend server.
type held struct {
	key      home.Key
	deadline time.Time
}

const callTimeout = 30 * time.Second

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: start, platformUp: true, runs: make(map[string]int)}
	var entries []objects.HomeEntry
	for range rapid.IntRange(1, 5).Draw(t, "nodes") {
		n := sim.add(t)
		entries = append(entries, objects.HomeEntry{Id: n.id})
	}
	sim.platform = home.Initial("bookings", entries)
	for _, n := range sim.nodes {
		sim.read(n, 0)
	}
	return sim
}

func (sim *simulation) add(t *rapid.T) *node {
	sim.nextID++
	n := &node{id: "n" + strconv.Itoa(sim.nextID)}
	n.clockSkew = time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skewMillis")) * time.Millisecond
	n.fence = fence.New(n.id)
	sim.nodes = append(sim.nodes, n)
	return n
}

func (sim *simulation) pickAlive(t *rapid.T) *node {
	var alive []*node
	for _, n := range sim.nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		t.Skip("no live node")
	}
	return rapid.SampledFrom(alive).Draw(t, "node")
}

func (sim *simulation) find(id string) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (sim *simulation) canReach(a, b *node) bool { return !a.dead && !b.dead && a.group == b.group }

// local returns the time on a node's clock.
func (sim *simulation) local(n *node) time.Time { return sim.now.Add(n.clockSkew) }

// advance moves the clock and applies the writes that are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	var left []write
	for _, wr := range sim.writes {
		switch {
		case wr.applyAt.After(sim.now):
			left = append(left, wr)
		case wr.after == sim.platform.Epoch():
			sim.platform = wr.roster
		}
	}
	sim.writes = left
}

// read gives a node the platform's roster by a read that started earlier.
func (sim *simulation) read(n *node, ago time.Duration) {
	if n.platformCut || !sim.platformUp {
		return
	}
	n.fence.Adopt(sim.platform)
	n.fence.RecordPlatformRead(sim.local(n).Add(-ago), sim.platform.Epoch())
}

// ask sends a query from a node to the nodes of its roster, and returns how many
// prepared the epoch.
func (sim *simulation) ask(n *node, prepare uint64) int {
	prepared := 0
	if n.fence.Roster() == nil {
		return 0
	}
	for _, v := range n.fence.Roster().Voters() {
		peer := sim.find(v.Id)
		if peer == nil || !sim.canReach(n, peer) {
			continue
		}
		if prepare > 0 {
			peer.fence.Prepare(sim.local(peer), prepare)
		}
		state := peer.fence.State(sim.local(peer))
		if prepare > 0 && state.Prepared >= prepare && state.Epoch < prepare {
			prepared++
		}
		if peer == n {
			continue
		}
		if peer.fence.Roster() != nil {
			n.fence.Adopt(peer.fence.Roster())
		}
		n.fence.RecordAnswer(sim.local(n), v.Id, state)
	}
	return prepared
}

// propose makes a node write a change, whether or not there is a reason for it.
func (sim *simulation) propose(t *rapid.T, n *node, change home.Change) {
	if n.platformCut || !sim.platformUp || n.sealed {
		return
	}
	sim.read(n, 0)
	roster := n.fence.Roster()
	epoch := roster.Epoch() + 1
	delay := fence.EffectDelay(sim.ask(n, epoch), len(roster.Voters()))
	next := roster.Next(sim.local(n), sim.local(n).Add(delay), change)
	sim.write(t, n, next)
}

// write sends a roster to the platform, where it takes effect up to 14 seconds later.
func (sim *simulation) write(t *rapid.T, n *node, next *home.Roster) {
	late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 14}).Draw(t, "lateSeconds")) * time.Second
	sim.writes = append(sim.writes, write{after: next.Epoch() - 1, roster: next, applyAt: sim.now.Add(late), writer: n})
	sim.advance(0)
}

// leave makes a node hand its records over and write a roster without itself.
func (sim *simulation) leave(t *rapid.T, n *node) {
	n.sealed = true
	if n.platformCut || !sim.platformUp {
		return
	}
	sim.read(n, 0)
	roster := n.fence.Roster()
	if !roster.IsVoter(n.id) {
		return
	}
	now := sim.local(n)
	next := roster.Leave(now, n.id, true)
	for _, record := range n.table.Export(1 << 20) {
		at, ok := next.Find(now, home.ParseKey(record.Customer, record.Key)).(home.Located)
		if !ok {
			continue
		}
		to := sim.find(at.ID)
		if !sim.canReach(n, to) || !to.table.Import(sim.local(to), record) {
			next = roster.Leave(now, n.id, false)
			break
		}
	}
	sim.write(t, n, next)
}

// send sends a call from a caller through a node.
func (sim *simulation) send(t *rapid.T, c call, through *node) {
	roster := through.fence.Roster()
	if roster == nil {
		return
	}
	at, ok := roster.Find(sim.local(through), c.key).(home.Located)
	if !ok {
		return
	}
	target := sim.find(at.ID)
	if !sim.canReach(through, target) {
		return
	}
	sim.serve(t, target, c)
}

// serve handles a call at its home.
func (sim *simulation) serve(t *rapid.T, n *node, c call) {
	now := sim.local(n)
	roster := n.fence.Roster()
	if roster == nil {
		return
	}
	at, ok := roster.Find(now, c.key).(home.Located)
	if !ok || at.ID != n.id || !n.fence.Confirmed(now) {
		return
	}
	id := idempotency.ID{Customer: c.key.Customer, Key: c.key.Value}
	if (at.Moved || n.sealed) && !n.table.Has(now, id) {
		return
	}
	switch o := n.table.Begin(now, id, "").(type) {
	case idempotency.Run:
		n.held = append(n.held, held{key: c.key, deadline: sim.now.Add(callTimeout)})
		if !rapid.Bool().Draw(t, "paused") {
			sim.resume(t, n)
		}
	case idempotency.Refused:
		if _, notRun := o.Verdict.(verdict.NotRun); notRun && sim.runs[c.key.Value] > 0 {
			t.Fatalf("call %s ran and was refused as not run", c.key.Value)
		}
	}
}

// resume makes a paused node send its held calls to its backend server.
func (sim *simulation) resume(t *rapid.T, n *node) {
	for _, h := range n.held {
		id := idempotency.ID{Customer: h.key.Customer, Key: h.key.Value}
		if sim.now.After(h.deadline) {
			n.table.Release(id)
			continue
		}
		sim.runs[h.key.Value]++
		if sim.runs[h.key.Value] > 1 {
			t.Fatalf("call %s ran twice, the second time on %s", h.key.Value, n.id)
		}
		if rapid.Bool().Draw(t, "answered") {
			n.table.Finish(sim.local(n), id, idempotency.Answer{Status: 200})
		} else {
			n.table.FinishUnknown(sim.local(n), id)
		}
	}
	n.held = nil
}

// settle moves the clock while all live nodes follow the roster.
func (sim *simulation) settle(steps int) {
	for range steps {
		sim.advance(5 * time.Second)
		for _, n := range sim.nodes {
			if !n.dead {
				sim.ask(n, 0)
				sim.read(n, 0)
			}
		}
	}
}

// timedKey returns a UUID of version 7 with the given time.
func timedKey(at time.Time, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, n)
}

// TestAKeyRunsAtMostOnce guards against a call that runs twice, or that ran and is
// refused as not run, while nodes join, leave, die, pause and lose each other or the
// platform.
func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "millis")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				sim.settle(rapid.SampledFrom([]int{1, 2, 4, 8, 9, 10, 130, 700}).Draw(t, "steps"))
			},
			"ask": func(t *rapid.T) { sim.ask(sim.pickAlive(t), 0) },
			"read": func(t *rapid.T) {
				sim.read(sim.pickAlive(t), time.Duration(rapid.IntRange(0, 2000).Draw(t, "agoMillis"))*time.Millisecond)
			},
			"join": func(t *rapid.T) {
				proposer := sim.pickAlive(t)
				sim.propose(t, proposer, home.Change{Join: []objects.HomeEntry{{Id: sim.add(t).id}}})
			},
			"remove": func(t *rapid.T) {
				proposer := sim.pickAlive(t)
				sim.propose(t, proposer, home.Change{Remove: []string{rapid.SampledFrom(sim.nodes).Draw(t, "gone").id}})
			},
			"leave":     func(t *rapid.T) { sim.leave(t, sim.pickAlive(t)) },
			"kill":      func(t *rapid.T) { sim.pickAlive(t).dead = true },
			"partition": func(t *rapid.T) { sim.pickAlive(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
			"cut":       func(t *rapid.T) { n := sim.pickAlive(t); n.platformCut = !n.platformCut },
			"outage":    func(*rapid.T) { sim.platformUp = !sim.platformUp },
			"resume":    func(t *rapid.T) { sim.resume(t, sim.pickAlive(t)) },
			"first": func(t *rapid.T) {
				c := call{firstSent: sim.now, key: home.ParseKey("crew", "untimed-"+strconv.Itoa(len(sim.calls)))}
				if rapid.Bool().Draw(t, "timed") {
					ahead := time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "aheadMillis")) * time.Millisecond
					c.key = home.ParseKey("crew", timedKey(sim.now.Add(ahead), len(sim.calls)))
				}
				sim.calls = append(sim.calls, c)
				sim.send(t, c, sim.pickAlive(t))
			},
			"again": func(t *rapid.T) {
				var open []call
				for _, c := range sim.calls {
					if sim.now.Sub(c.firstSent) <= idempotency.RetryWindow {
						open = append(open, c)
					}
				}
				if len(open) == 0 {
					t.Skip("no call")
				}
				c := rapid.SampledFrom(open).Draw(t, "call")
				for _, n := range sim.nodes {
					if !n.dead {
						sim.send(t, c, n)
					}
				}
			},
		})
	})
}

// TestAKeyRunsAtMostOnceAcrossAPartition cuts some homes off from the others and
// from the platform, while the other side changes the roster. Guards against a key
// that runs on both sides, since the homes that are cut off still confirm each other
// for a while.
func TestAKeyRunsAtMostOnceAcrossAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.settle(2)
		newcomer := sim.add(t)
		cutOff := rapid.IntRange(1, len(sim.nodes)-1).Draw(t, "cutOff")
		for _, n := range sim.nodes[:cutOff] {
			n.group, n.platformCut = 1, true
		}
		joins := 0
		t.Repeat(map[string]func(*rapid.T){
			"settle": func(t *rapid.T) {
				sim.settle(rapid.SampledFrom([]int{1, 2, 4, 8, 9, 10, 60, 590, 620, 640}).Draw(t, "steps"))
			},
			"ask": func(t *rapid.T) { sim.ask(sim.pickAlive(t), 0) },
			"wait": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(0, 9000).Draw(t, "millis")) * time.Millisecond)
			},
			"change": func(t *rapid.T) {
				if joins > 4 {
					t.Skip("enough")
				}
				joins++
				change := home.Change{Join: []objects.HomeEntry{{Id: newcomer.id}}}
				if rapid.Bool().Draw(t, "remove") {
					change = home.Change{Remove: []string{rapid.SampledFrom(sim.nodes).Draw(t, "gone").id}}
				}
				sim.propose(t, newcomer, change)
				newcomer = sim.add(t)
			},
			"call": func(t *rapid.T) {
				c := call{firstSent: sim.now, key: home.ParseKey("crew", timedKey(sim.now, len(sim.calls)))}
				sim.calls = append(sim.calls, c)
				for _, n := range sim.nodes {
					sim.send(t, c, n)
				}
			},
		})
	})
}
