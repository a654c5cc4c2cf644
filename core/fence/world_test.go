package fence_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/fence"
	"lavenderdeal/core/home"
	"lavenderdeal/core/once"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/objects"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// world is several homes of one service, the platform and callers that send the
// same calls again through any node.
type world struct {
	now      time.Time
	nodes    []*node
	platform *home.Roster
	// writes are on their way to the platform.
	writes []write
	up     bool
	keys   []call
	runs   map[string]int
	nextID int
}

type node struct {
	id    string
	skew  time.Duration
	group int
	// cut says that the node does not reach the platform.
	cut    bool
	dead   bool
	sealed bool
	fence  *fence.Fence
	table  once.Table
	// held are calls that were let run and not sent yet, since the node is
	// paused.
	held []held
}

type write struct {
	after  uint64
	roster *home.Roster
	landAt time.Time
	writer *node
}

type call struct {
	key  home.Key
	born time.Time
}

type held struct {
	key      home.Key
	deadline time.Time
}

const callTimeout = 30 * time.Second

var epoch0 = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newWorld(t *rapid.T) *world {
	w := &world{now: epoch0, up: true, runs: make(map[string]int)}
	var entries []objects.HomeEntry
	for range rapid.IntRange(1, 5).Draw(t, "nodes") {
		n := w.add(t)
		entries = append(entries, objects.HomeEntry{Id: n.id})
	}
	w.platform = home.First("bookings", entries)
	for _, n := range w.nodes {
		w.read(n, 0)
	}
	return w
}

func (w *world) add(t *rapid.T) *node {
	w.nextID++
	n := &node{id: "n" + strconv.Itoa(w.nextID)}
	n.skew = time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skewMillis")) * time.Millisecond
	n.fence = fence.New(n.id)
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) pick(t *rapid.T) *node {
	var alive []*node
	for _, n := range w.nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		t.Skip("nobody lives")
	}
	return rapid.SampledFrom(alive).Draw(t, "node")
}

func (w *world) find(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) reach(a, b *node) bool { return !a.dead && !b.dead && a.group == b.group }

func (w *world) local(n *node) time.Time { return w.now.Add(n.skew) }

// advance lets time pass and lands the writes that are due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	var left []write
	for _, wr := range w.writes {
		switch {
		case wr.landAt.After(w.now):
			left = append(left, wr)
		case wr.after == w.platform.Epoch():
			w.platform = wr.roster
		}
	}
	w.writes = left
}

// read lets a node see the platform by a read that started earlier.
func (w *world) read(n *node, ago time.Duration) {
	if n.cut || !w.up {
		return
	}
	n.fence.Adopt(w.platform)
	n.fence.PlatformRead(w.local(n).Add(-ago), w.platform.Epoch())
}

// ask lets a node ask its roster's nodes. It returns how many prepared the
// epoch.
func (w *world) ask(n *node, prepare uint64) int {
	prepared := 0
	if n.fence.Roster() == nil {
		return 0
	}
	for _, v := range n.fence.Roster().Voters() {
		peer := w.find(v.Id)
		if peer == nil || !w.reach(n, peer) {
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
		n.fence.Answered(w.local(n), v.Id, state)
	}
	return prepared
}

// propose lets a node write a change, whether or not it is called for.
func (w *world) propose(t *rapid.T, n *node, change home.Change) {
	if n.cut || !w.up || n.sealed {
		return
	}
	w.read(n, 0)
	roster := n.fence.Roster()
	epoch := roster.Epoch() + 1
	delay := fence.Delay(w.ask(n, epoch), len(roster.Voters()))
	next := roster.Next(w.local(n), w.local(n).Add(delay), change)
	w.write(t, n, next)
}

func (w *world) write(t *rapid.T, n *node, next *home.Roster) {
	late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 14}).Draw(t, "lateSeconds")) * time.Second
	w.writes = append(w.writes, write{after: next.Epoch() - 1, roster: next, landAt: w.now.Add(late), writer: n})
	w.advance(0)
}

// leave lets a node hand its records over and write itself out of the roster.
func (w *world) leave(t *rapid.T, n *node) {
	n.sealed = true
	if n.cut || !w.up {
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
		at, ok := next.Find(now, home.ParseKey(record.Customer, record.Key)).(home.At)
		if !ok {
			continue
		}
		to := w.find(at.ID)
		if !w.reach(n, to) || !to.table.Import(w.local(to), record) {
			next = roster.Leave(now, n.id, false)
			break
		}
	}
	w.write(t, n, next)
}

// send lets a caller send a call through a node.
func (w *world) send(t *rapid.T, c call, through *node) {
	roster := through.fence.Roster()
	if roster == nil {
		return
	}
	at, ok := roster.Find(w.local(through), c.key).(home.At)
	if !ok {
		return
	}
	target := w.find(at.ID)
	if !w.reach(through, target) {
		return
	}
	w.serve(t, target, c)
}

// serve is what a home does with a call.
func (w *world) serve(t *rapid.T, n *node, c call) {
	now := w.local(n)
	roster := n.fence.Roster()
	if roster == nil {
		return
	}
	at, ok := roster.Find(now, c.key).(home.At)
	if !ok || at.ID != n.id || !n.fence.Confirmed(now) {
		return
	}
	id := once.ID{Customer: c.key.Customer, Key: c.key.Value}
	if (at.Moved || n.sealed) && !n.table.Has(now, id) {
		return
	}
	switch o := n.table.Begin(now, id, "").(type) {
	case once.Run:
		n.held = append(n.held, held{key: c.key, deadline: w.now.Add(callTimeout)})
		if !rapid.Bool().Draw(t, "paused") {
			w.resume(t, n)
		}
	case once.Refused:
		if _, notRun := o.Verdict.(verdict.NotRun); notRun && w.runs[c.key.Value] > 0 {
			t.Fatalf("call %s ran and was refused as not run", c.key.Value)
		}
	}
}

// resume lets a paused node send what it holds to its backend server.
func (w *world) resume(t *rapid.T, n *node) {
	for _, h := range n.held {
		id := once.ID{Customer: h.key.Customer, Key: h.key.Value}
		if w.now.After(h.deadline) {
			n.table.Release(id)
			continue
		}
		w.runs[h.key.Value]++
		if w.runs[h.key.Value] > 1 {
			t.Fatalf("call %s ran twice, at last on %s", h.key.Value, n.id)
		}
		if rapid.Bool().Draw(t, "answered") {
			n.table.Finish(w.local(n), id, once.Answer{Status: 200})
		} else {
			n.table.Lose(w.local(n), id)
		}
	}
	n.held = nil
}

// settle lets time pass while all nodes follow the roster.
func (w *world) settle(steps int) {
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

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "millis")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				w.settle(rapid.SampledFrom([]int{1, 2, 4, 8, 9, 10, 130, 700}).Draw(t, "steps"))
			},
			"ask": func(t *rapid.T) { w.ask(w.pick(t), 0) },
			"read": func(t *rapid.T) {
				w.read(w.pick(t), time.Duration(rapid.IntRange(0, 2000).Draw(t, "agoMillis"))*time.Millisecond)
			},
			"join": func(t *rapid.T) {
				proposer := w.pick(t)
				w.propose(t, proposer, home.Change{Join: []objects.HomeEntry{{Id: w.add(t).id}}})
			},
			"remove": func(t *rapid.T) {
				proposer := w.pick(t)
				w.propose(t, proposer, home.Change{Remove: []string{rapid.SampledFrom(w.nodes).Draw(t, "gone").id}})
			},
			"leave":     func(t *rapid.T) { w.leave(t, w.pick(t)) },
			"kill":      func(t *rapid.T) { w.pick(t).dead = true },
			"partition": func(t *rapid.T) { w.pick(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
			"cut":       func(t *rapid.T) { n := w.pick(t); n.cut = !n.cut },
			"outage":    func(*rapid.T) { w.up = !w.up },
			"resume":    func(t *rapid.T) { w.resume(t, w.pick(t)) },
			"first": func(t *rapid.T) {
				c := call{born: w.now, key: home.ParseKey("crew", "untimed-"+strconv.Itoa(len(w.keys)))}
				if rapid.Bool().Draw(t, "timed") {
					ahead := time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "aheadMillis")) * time.Millisecond
					c.key = home.ParseKey("crew", timedKey(w.now.Add(ahead), len(w.keys)))
				}
				w.keys = append(w.keys, c)
				w.send(t, c, w.pick(t))
			},
			"again": func(t *rapid.T) {
				var open []call
				for _, c := range w.keys {
					if w.now.Sub(c.born) <= once.Window {
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

// TestAKeyRunsAtMostOnceAcrossAPartition cuts some homes off from the others
// and from the platform. They go on among themselves while they may.
func TestAKeyRunsAtMostOnceAcrossAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
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
			"ask": func(t *rapid.T) { w.ask(w.pick(t), 0) },
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
				c := call{born: w.now, key: home.ParseKey("crew", timedKey(w.now, len(w.keys)))}
				w.keys = append(w.keys, c)
				for _, n := range w.nodes {
					w.send(t, c, n)
				}
			},
		})
	})
}
