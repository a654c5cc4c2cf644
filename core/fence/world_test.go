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
	keys       []call
	runs       map[string]int
	nextID     int
}

type node struct {
	id        string
	clockSkew time.Duration
	group     int
	// cut is set when the node does not reach the platform.
	cut    bool
	dead   bool
	sealed bool
	fence  *fence.Fence
	table  idempotency.Table
	// held lists the calls that the node admitted but has not sent to its backend
	// server, because it is paused.
	held []held
}

type write struct {
	after   uint64
	roster  *home.Roster
	applyAt time.Time
	writer  *node
}

type call struct {
	key       home.Key
	firstSent time.Time
}

type held struct {
	key      home.Key
	deadline time.Time
}

const callTimeout = 30 * time.Second

var epoch0 = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{now: epoch0, platformUp: true, runs: make(map[string]int)}
	var entries []objects.HomeEntry
	for range rapid.IntRange(1, 5).Draw(t, "nodes") {
		n := w.add(t)
		entries = append(entries, objects.HomeEntry{Id: n.id})
	}
	w.platform = home.Initial("bookings", entries)
	for _, n := range w.nodes {
		w.read(n, 0)
	}
	return w
}

func (w *simulation) add(t *rapid.T) *node {
	w.nextID++
	n := &node{id: "n" + strconv.Itoa(w.nextID)}
	n.clockSkew = time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skewMillis")) * time.Millisecond
	n.fence = fence.New(n.id)
	w.nodes = append(w.nodes, n)
	return n
}

func (w *simulation) pickAlive(t *rapid.T) *node {
	var alive []*node
	for _, n := range w.nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		t.Skip("no live node")
	}
	return rapid.SampledFrom(alive).Draw(t, "node")
}

func (w *simulation) find(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *simulation) canReach(a, b *node) bool { return !a.dead && !b.dead && a.group == b.group }

func (w *simulation) local(n *node) time.Time { return w.now.Add(n.clockSkew) }

// advance moves the clock and applies the writes that are due.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	var left []write
	for _, wr := range w.writes {
		switch {
		case wr.applyAt.After(w.now):
			left = append(left, wr)
		case wr.after == w.platform.Epoch():
			w.platform = wr.roster
		}
	}
	w.writes = left
}

// read gives a node the platform's roster by a read that started earlier.
func (w *simulation) read(n *node, ago time.Duration) {
	if n.cut || !w.platformUp {
		return
	}
	n.fence.Adopt(w.platform)
	n.fence.RecordPlatformRead(w.local(n).Add(-ago), w.platform.Epoch())
}

// ask sends a query from a node to the nodes of its roster, and returns how many
// prepared the epoch.
func (w *simulation) ask(n *node, prepare uint64) int {
	prepared := 0
	if n.fence.Roster() == nil {
		return 0
	}
	for _, v := range n.fence.Roster().Voters() {
		peer := w.find(v.Id)
		if peer == nil || !w.canReach(n, peer) {
			continue
		}
		if prepare > 0 {
			peer.fence.Prepare(w.local(peer), prepare)
		}
		state := peer.fence.State(w.local(peer))
		if prepare > 0 && state.Prepared >= prepare && state.Epoch < prepare {
			prepared++
		}
		if peer == n {
			continue
		}
		if peer.fence.Roster() != nil {
			n.fence.Adopt(peer.fence.Roster())
		}
		n.fence.RecordAnswer(w.local(n), v.Id, state)
	}
	return prepared
}

// propose makes a node write a change, whether or not there is a reason for it.
func (w *simulation) propose(t *rapid.T, n *node, change home.Change) {
	if n.cut || !w.platformUp || n.sealed {
		return
	}
	w.read(n, 0)
	roster := n.fence.Roster()
	epoch := roster.Epoch() + 1
	delay := fence.EffectDelay(w.ask(n, epoch), len(roster.Voters()))
	next := roster.Next(w.local(n), w.local(n).Add(delay), change)
	w.write(t, n, next)
}

func (w *simulation) write(t *rapid.T, n *node, next *home.Roster) {
	late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 14}).Draw(t, "lateSeconds")) * time.Second
	w.writes = append(w.writes, write{after: next.Epoch() - 1, roster: next, applyAt: w.now.Add(late), writer: n})
	w.advance(0)
}

// leave makes a node hand its records over and write a roster without itself.
func (w *simulation) leave(t *rapid.T, n *node) {
	n.sealed = true
	if n.cut || !w.platformUp {
		return
	}
	w.read(n, 0)
	roster := n.fence.Roster()
	if !roster.IsVoter(n.id) {
		return
	}
	now := w.local(n)
	next := roster.Leave(now, n.id, true)
	for _, record := range n.table.Export(1 << 20) {
		at, ok := next.Find(now, home.ParseKey(record.Customer, record.Key)).(home.Located)
		if !ok {
			continue
		}
		to := w.find(at.ID)
		if !w.canReach(n, to) || !to.table.Import(w.local(to), record) {
			next = roster.Leave(now, n.id, false)
			break
		}
	}
	w.write(t, n, next)
}

// send sends a call from a caller through a node.
func (w *simulation) send(t *rapid.T, c call, through *node) {
	roster := through.fence.Roster()
	if roster == nil {
		return
	}
	at, ok := roster.Find(w.local(through), c.key).(home.Located)
	if !ok {
		return
	}
	target := w.find(at.ID)
	if !w.canReach(through, target) {
		return
	}
	w.serve(t, target, c)
}

// serve handles a call at its home.
func (w *simulation) serve(t *rapid.T, n *node, c call) {
	now := w.local(n)
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
		n.held = append(n.held, held{key: c.key, deadline: w.now.Add(callTimeout)})
		if !rapid.Bool().Draw(t, "paused") {
			w.resume(t, n)
		}
	case idempotency.Refused:
		if _, notRun := o.Verdict.(verdict.NotRun); notRun && w.runs[c.key.Value] > 0 {
			t.Fatalf("call %s ran and was refused as not run", c.key.Value)
		}
	}
}

// resume makes a paused node send its held calls to its backend server.
func (w *simulation) resume(t *rapid.T, n *node) {
	for _, h := range n.held {
		id := idempotency.ID{Customer: h.key.Customer, Key: h.key.Value}
		if w.now.After(h.deadline) {
			n.table.Release(id)
			continue
		}
		w.runs[h.key.Value]++
		if w.runs[h.key.Value] > 1 {
			t.Fatalf("call %s ran twice, the second time on %s", h.key.Value, n.id)
		}
		if rapid.Bool().Draw(t, "answered") {
			n.table.Finish(w.local(n), id, idempotency.Answer{Status: 200})
		} else {
			n.table.FinishUnknown(w.local(n), id)
		}
	}
	n.held = nil
}

// settle moves the clock while all live nodes follow the roster.
func (w *simulation) settle(steps int) {
	for range steps {
		w.advance(5 * time.Second)
		for _, n := range w.nodes {
			if !n.dead {
				w.ask(n, 0)
				w.read(n, 0)
			}
		}
	}
}

func timedKey(at time.Time, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, n)
}

// TestAKeyRunsAtMostOnce guards against a call that runs twice, or that ran and is
// refused as not run, while nodes join, leave, die, pause and lose each other or the
// platform.
func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "millis")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				w.settle(rapid.SampledFrom([]int{1, 2, 4, 8, 9, 10, 130, 700}).Draw(t, "steps"))
			},
			"ask": func(t *rapid.T) { w.ask(w.pickAlive(t), 0) },
			"read": func(t *rapid.T) {
				w.read(w.pickAlive(t), time.Duration(rapid.IntRange(0, 2000).Draw(t, "agoMillis"))*time.Millisecond)
			},
			"join": func(t *rapid.T) {
				proposer := w.pickAlive(t)
				w.propose(t, proposer, home.Change{Join: []objects.HomeEntry{{Id: w.add(t).id}}})
			},
			"remove": func(t *rapid.T) {
				proposer := w.pickAlive(t)
				w.propose(t, proposer, home.Change{Remove: []string{rapid.SampledFrom(w.nodes).Draw(t, "gone").id}})
			},
			"leave":     func(t *rapid.T) { w.leave(t, w.pickAlive(t)) },
			"kill":      func(t *rapid.T) { w.pickAlive(t).dead = true },
			"partition": func(t *rapid.T) { w.pickAlive(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
			"cut":       func(t *rapid.T) { n := w.pickAlive(t); n.cut = !n.cut },
			"outage":    func(*rapid.T) { w.platformUp = !w.platformUp },
			"resume":    func(t *rapid.T) { w.resume(t, w.pickAlive(t)) },
			"first": func(t *rapid.T) {
				c := call{firstSent: w.now, key: home.ParseKey("crew", "untimed-"+strconv.Itoa(len(w.keys)))}
				if rapid.Bool().Draw(t, "timed") {
					ahead := time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "aheadMillis")) * time.Millisecond
					c.key = home.ParseKey("crew", timedKey(w.now.Add(ahead), len(w.keys)))
				}
				w.keys = append(w.keys, c)
				w.send(t, c, w.pickAlive(t))
			},
			"again": func(t *rapid.T) {
				var open []call
				for _, c := range w.keys {
					if w.now.Sub(c.firstSent) <= idempotency.RetryWindow {
						open = append(open, c)
					}
				}
				if len(open) == 0 {
					t.Skip("no call")
				}
				c := rapid.SampledFrom(open).Draw(t, "call")
				for _, n := range w.nodes {
					if !n.dead {
						w.send(t, c, n)
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
		w := newSimulation(t)
		w.settle(2)
		late := w.add(t)
		inside := rapid.IntRange(1, len(w.nodes)-1).Draw(t, "cutOff")
		for _, n := range w.nodes[:inside] {
			n.group, n.cut = 1, true
		}
		joins := 0
		t.Repeat(map[string]func(*rapid.T){
			"settle": func(t *rapid.T) {
				w.settle(rapid.SampledFrom([]int{1, 2, 4, 8, 9, 10, 60, 590, 620, 640}).Draw(t, "steps"))
			},
			"ask": func(t *rapid.T) { w.ask(w.pickAlive(t), 0) },
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(0, 9000).Draw(t, "millis")) * time.Millisecond)
			},
			"change": func(t *rapid.T) {
				if joins > 4 {
					t.Skip("enough")
				}
				joins++
				change := home.Change{Join: []objects.HomeEntry{{Id: late.id}}}
				if rapid.Bool().Draw(t, "remove") {
					change = home.Change{Remove: []string{rapid.SampledFrom(w.nodes).Draw(t, "gone").id}}
				}
				w.propose(t, late, change)
				late = w.add(t)
			},
			"call": func(t *rapid.T) {
				c := call{firstSent: w.now, key: home.ParseKey("crew", timedKey(w.now, len(w.keys)))}
				w.keys = append(w.keys, c)
				for _, n := range w.nodes {
					w.send(t, c, n)
				}
			},
		})
	})
}
