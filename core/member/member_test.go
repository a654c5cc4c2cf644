package member_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"lavenderdeal/core/member"
	"lavenderdeal/schema/messages"
)

const (
	// stateLimit is the time in which a new state must reach the whole fleet.
	stateLimit = 3 * time.Second
	// zoneLimit is the time in which a change must reach all zones.
	zoneLimit = 2 * time.Second
	// startLimit is the time in which the nodes of a new fleet must agree.
	startLimit = time.Minute
)

// newFleet returns a cluster of ready nodes that agree on the members.
func newFleet(t *testing.T, zones, perZone int) *cluster {
	t.Helper()
	c := newCluster(t, 1)
	c.isUnchecked = zones*perZone > 50
	c.fill(zones, perZone)
	took := c.runUntil(startLimit, c.isAgreed)
	t.Logf("%d nodes agree after %s", zones*perZone, took)
	c.run(30 * time.Second)
	c.assertAgreed()
	return c
}

// TestAnnounce checks that an announced state reaches all nodes of 24 zones in time.
// Until then, other nodes send calls to a node that is leaving, or none to one that is
// ready.
func TestAnnounce(t *testing.T) {
	c := newFleet(t, 24, 10)
	t.Run("leaving", func(t *testing.T) {
		c.setState(c.nodes[57], messages.MemberStateLeaving)
		t.Logf("all nodes agree after %s", c.runUntil(stateLimit, c.isAgreed))
	})
	t.Run("ready", func(t *testing.T) {
		n := c.add(3, 100, address(3, 1))
		c.runUntil(startLimit, c.isAgreed)
		c.setState(n, messages.MemberStateReady)
		t.Logf("all nodes agree after %s", c.runUntil(stateLimit, c.isAgreed))
	})
	t.Run("ten of one zone leave at once", func(t *testing.T) {
		for _, n := range c.nodes[80:90] {
			c.setState(n, messages.MemberStateLeaving)
		}
		t.Logf("all nodes agree after %s", c.runUntil(stateLimit, c.isAgreed))
	})
	t.Run("leaving is the last state", func(t *testing.T) {
		c.setState(c.nodes[57], messages.MemberStateReady)
		assertState(t, c.nodes[0], c.nodes[57].self.Id, messages.MemberStateLeaving)
		if state := c.nodes[57].table.Self().State; state != messages.MemberStateLeaving {
			t.Fatalf("state %s after leaving", state)
		}
	})
}

// TestFewZones checks that changes are pushed to other zones: with few zones, the
// periodic probes between zones alone would be too slow.
func TestFewZones(t *testing.T) {
	c := newFleet(t, 3, 10)
	for i := range 10 {
		c.setState(c.nodes[10+i], messages.MemberStateLeaving)
		c.runUntil(zoneLimit, c.isAgreed)
	}
}

// TestFailure checks that dead members fail on every node, and that a member stays that
// only one node cannot reach.
func TestFailure(t *testing.T) {
	c := newFleet(t, 3, 10)
	t.Run("a dead member fails everywhere", func(t *testing.T) {
		c.nodes[4].isDead = true
		took := c.runUntil(30*time.Second, func() bool { return c.disagreement() == "" })
		t.Logf("after %s", took)
		assertState(t, c.nodes[25], c.nodes[4].self.Id, messages.MemberStateFailed)
	})
	t.Run("a new process at the address supersedes the old one at once", func(t *testing.T) {
		old := c.nodes[5]
		old.isDead = true
		c.add(0, 5, address(0, 1))
		took := c.runUntil(stateLimit, c.isAgreed)
		t.Logf("after %s", took)
		assertState(t, c.nodes[25], old.self.Id, messages.MemberStateFailed)
	})
	t.Run("a member that one node cannot reach stays", func(t *testing.T) {
		c.nodes[0].reports, c.nodes[1].reports = nil, nil
		c.network.Cut(c.nodes[0].self.Peer, c.nodes[1].self.Peer)
		c.run(time.Minute)
		c.assertAgreed()
		assertReported(t, c.nodes[0], "memberSuspect", false)
		assertReported(t, c.nodes[1], "memberSuspect", false)
		c.network.HealAll()
	})
	t.Run("a leaving member that dies takes no calls", func(t *testing.T) {
		c.setState(c.nodes[6], messages.MemberStateLeaving)
		c.runUntil(stateLimit, c.isAgreed)
		c.nodes[6].isDead = true
		c.runUntil(30*time.Second, c.isAgreed)
	})
	t.Run("tombstones expire", func(t *testing.T) {
		n := c.nodes[0]
		for range 40 {
			c.now = c.now.Add(2 * time.Second)
			n.table.Tick(c.now)
		}
		before, digest := len(n.table.Members()), n.table.Digest()
		for range int(member.TombstoneTTL / (2 * time.Second)) {
			c.now = c.now.Add(2 * time.Second)
			n.table.Tick(c.now)
		}
		if after := len(n.table.Members()); after >= before {
			t.Fatalf("%d members after the tombstones expired, want fewer than %d", after, before)
		}
		if n.table.Digest() != digest {
			t.Fatal("a node without a tombstone differs from one that still has it")
		}
	})
}

// TestPause pauses a node until the others consider it failed. The resumed node must
// refute that, and must not suspect others because of answers that it missed.
func TestPause(t *testing.T) {
	c := newFleet(t, 2, 8)
	n := c.nodes[3]
	n.isPaused = true
	c.run(40 * time.Second)
	assertState(t, c.nodes[12], n.self.Id, messages.MemberStateFailed)
	n.isPaused = false
	n.reports = nil
	c.tick(step)
	if !n.table.IsStale() {
		t.Fatal("not stale after a pause")
	}
	took := c.runUntil(10*time.Second, c.isAgreed)
	t.Logf("agreed %s after the pause", took)
	if n.table.IsStale() {
		t.Fatal("still stale after a comparison")
	}
	assertReported(t, n, "resumedAfterPause", true)
	assertReported(t, n, "refuted", true)
	assertReported(t, n, "memberFailed", false)
	assertReported(t, n, "memberSuspect", false)
}

// TestOldSuspicion pauses a node that suspects another. The suspicion timer from before
// the pause must not fail the member, even after another node has answered.
func TestOldSuspicion(t *testing.T) {
	c := newFleet(t, 1, 5)
	n, dead := c.nodes[0], c.nodes[1]
	dead.isDead = true
	c.runUntil(20*time.Second, func() bool { return stateOf(n, dead.self.Id) == messages.MemberStateSuspect })
	c.now = c.now.Add(time.Minute)
	effects := n.table.Tick(c.now)
	assertState(t, n, dead.self.Id, messages.MemberStateSuspect)
	for _, effect := range effects {
		if send, ok := effect.(member.Send); ok {
			n.table.HandleAnswer(c.now, send, member.Ack{From: c.at(send.To).self.Id, Digest: n.table.Digest()})
			break
		}
	}
	if n.table.IsStale() {
		t.Fatal("still stale after a comparison")
	}
	n.table.Tick(c.now.Add(step))
	assertState(t, n, dead.self.Id, messages.MemberStateSuspect)
}

// TestPartitionedZone checks that the halves of a partitioned zone merge again
// although the only seed is dead.
func TestPartitionedZone(t *testing.T) {
	c := newFleet(t, 1, 7)
	c.nodes[0].isDead = true
	c.run(30 * time.Second)
	for _, a := range c.nodes[1:4] {
		for _, b := range c.nodes[4:] {
			c.network.Cut(a.self.Peer, b.self.Peer)
		}
	}
	c.run(time.Minute)
	assertState(t, c.nodes[1], c.nodes[5].self.Id, messages.MemberStateFailed)
	c.network.HealAll()
	t.Logf("agreed %s after healing", c.runUntil(30*time.Second, c.isAgreed))
}

// TestOneAddress checks which of two processes at one address is alive.
func TestOneAddress(t *testing.T) {
	t.Run("the later process stays", func(t *testing.T) {
		c := newFleet(t, 2, 4)
		old := c.nodes[2]
		old.isPaused = true
		c.run(time.Second)
		newer := c.add(0, 2, address(0, 0))
		c.nodes = moveToFront(c.nodes, newer)
		c.run(5 * time.Second)
		old.isPaused = false
		c.run(20 * time.Second)
		assertState(t, c.nodes[5], old.self.Id, messages.MemberStateFailed)
		assertState(t, c.nodes[5], newer.self.Id, messages.MemberStateStarting)
		assertClaimsSettled(t, newer, old)
	})
	t.Run("the order in which records come does not matter", func(t *testing.T) {
		older, newer := memberAt(500), memberAt(501)
		newer.Peer, newer.Epoch = older.Peer, older.Epoch+1
		for _, order := range [][]messages.Member{{older, newer}, {newer, older}} {
			table := bigTable(1)
			for _, m := range order {
				table.Serve(start, member.Probe{From: "other", Members: []messages.Member{m}})
			}
			n := &node{table: table}
			assertState(t, n, older.Id, messages.MemberStateFailed)
			assertState(t, n, newer.Id, messages.MemberStateReady)
		}
	})
	t.Run("an older process that is ready is superseded", func(t *testing.T) {
		older, newer := tableAt(10, messages.MemberStateReady), tableAt(20, messages.MemberStateReady)
		exchangeRecords(older, newer)
		if !older.IsSuperseded() || newer.IsSuperseded() {
			t.Fatal("the older process is not superseded, or the newer one is")
		}
	})
	t.Run("two that start raise their claims once", func(t *testing.T) {
		a, b := tableAt(10, messages.MemberStateStarting), tableAt(20, messages.MemberStateStarting)
		exchangeRecords(a, b)
		if a.IsSuperseded() == b.IsSuperseded() {
			t.Fatalf("want exactly one process superseded, both have %v", a.IsSuperseded())
		}
	})
	t.Run("a later process whose clock is behind", func(t *testing.T) {
		c := newFleet(t, 2, 4)
		old := c.nodes[2]
		old.isDead = true
		c.now = c.now.Add(-time.Hour)
		newer := c.add(0, 2, address(0, 0))
		c.now = c.now.Add(time.Hour)
		c.runUntil(20*time.Second, c.isAgreed)
		if newer.table.Self().Epoch <= old.self.Epoch {
			t.Fatalf("epoch %d is not above that of the previous process", newer.table.Self().Epoch)
		}
		assertState(t, c.nodes[5], old.self.Id, messages.MemberStateFailed)
	})
}

// TestCutOff cuts all links of a zone. Neither side may consider members of the other
// one failed, and after healing no node may transfer all members again.
func TestCutOff(t *testing.T) {
	c := newFleet(t, 3, 8)
	cutZone(c, 2)
	c.runUntil(15*time.Second, func() bool { return slices.Equal(c.nodes[1].table.CutOff(), []string{zoneName(2)}) })
	c.run(2 * time.Minute)
	t.Run("its members keep their state", func(t *testing.T) {
		for _, n := range c.nodes[16:] {
			assertState(t, c.nodes[1], n.self.Id, messages.MemberStateReady)
			assertState(t, n, c.nodes[1].self.Id, messages.MemberStateReady)
		}
	})
	t.Run("every node reports the whole zone", func(t *testing.T) {
		for _, n := range c.nodes[:16] {
			assertCutOff(t, n, zoneName(2))
		}
		for _, n := range c.nodes[16:] {
			assertCutOff(t, n, zoneName(0), zoneName(1))
		}
	})
	t.Run("healing transfers only records that differ", func(t *testing.T) {
		c.nodes[20].isDead = true
		c.setState(c.nodes[3], messages.MemberStateLeaving)
		c.run(30 * time.Second)
		joins := countJoins(c)
		c.network.HealAll()
		took := c.runUntil(10*time.Second, c.isAgreed)
		t.Logf("agreed %s after healing", took)
		c.runUntil(10*time.Second, func() bool { return len(c.nodes[1].table.CutOff()) == 0 })
		if *joins > 0 {
			t.Fatalf("%d joins after healing, want none", *joins)
		}
	})
}

// TestLostZone checks when the members of a zone whose nodes have all died are failed.
func TestLostZone(t *testing.T) {
	c := newFleet(t, 2, 3)
	ended, kept := c.nodes[3], c.nodes[4]
	c.setState(ended, messages.MemberStateLeaving)
	c.runUntil(stateLimit, c.isAgreed)
	for _, n := range c.nodes[3:] {
		n.isDead = true
	}
	c.run(time.Minute)
	assertState(t, c.nodes[0], ended.self.Id, messages.MemberStateLeaving)
	t.Run("leaving members have failed after ten minutes", func(t *testing.T) {
		c.run(10 * time.Minute)
		assertState(t, c.nodes[0], ended.self.Id, messages.MemberStateFailed)
		assertState(t, c.nodes[0], kept.self.Id, messages.MemberStateReady)
	})
	t.Run("all members have failed after a day", func(t *testing.T) {
		c.runFast(24*time.Hour, 2*time.Second)
		assertState(t, c.nodes[0], kept.self.Id, messages.MemberStateFailed)
	})
}

// TestRepairAroundCut checks that a change reaches a zone through a third one when the
// links between the two zones are cut.
func TestRepairAroundCut(t *testing.T) {
	c := newFleet(t, 3, 4)
	for _, a := range c.nodes[:4] {
		for _, b := range c.nodes[8:] {
			c.network.Cut(a.self.Peer, b.self.Peer)
		}
	}
	c.run(30 * time.Second)
	c.setState(c.nodes[1], messages.MemberStateLeaving)
	took := c.runUntil(15*time.Second, func() bool {
		return stateOf(c.nodes[10], c.nodes[1].self.Id) == messages.MemberStateLeaving
	})
	t.Logf("received through the third zone after %s", took)
}

// TestMassRestart checks that nodes find each other when all nodes of a zone or of the
// fleet restart at once, so that their seeds are joining too.
func TestMassRestart(t *testing.T) {
	t.Run("all nodes of a zone restart at once", func(t *testing.T) {
		c := newFleet(t, 3, 30)
		for _, n := range c.nodes[:30] {
			n.isDead = true
		}
		for i := range 30 {
			c.setState(c.add(0, i, address(0, 0), address(0, 1), address(1, 0)), messages.MemberStateReady)
		}
		t.Logf("agreed after %s", c.runUntil(startLimit, c.isAgreed))
	})
	t.Run("all nodes of the fleet restart at once", func(t *testing.T) {
		c := newFleet(t, 4, 20)
		for _, n := range c.nodes {
			n.isDead = true
		}
		c.fill(4, 20)
		t.Logf("agreed after %s", c.runUntil(startLimit, c.isAgreed))
	})
}

// TestJoin checks the limit of concurrent joins and the pages of members, and that a node
// that finds no peer reports it and still joins later.
func TestJoin(t *testing.T) {
	t.Run("joins above the limit are refused", func(t *testing.T) {
		table := bigTable(600)
		refused := 0
		for i := range 20 {
			answer, _ := table.Serve(start, member.Join{Member: memberAt(9000 + i)})
			a := answer.(member.JoinAnswer)
			if a.RetryMillis > 0 {
				refused++
				if len(a.Others) == 0 || len(a.Members) > 0 {
					t.Fatalf("refused with %d members and %d other addresses, want no member and some addresses", len(a.Members), len(a.Others))
				}
			}
		}
		if refused != 12 {
			t.Fatalf("%d of 20 were refused, 8 are served at once", refused)
		}
	})
	t.Run("pages contain each member once", func(t *testing.T) {
		table := bigTable(600)
		seen := make(map[string]int)
		after := ""
		for {
			answer, _ := table.Serve(start, member.Join{Member: memberAt(9000), After: after})
			a := answer.(member.JoinAnswer)
			for _, m := range a.Members {
				seen[m.Id]++
			}
			if after = a.Next; after == "" {
				break
			}
		}
		if len(seen) != 602 {
			t.Fatalf("%d members, want 602", len(seen))
		}
	})
	t.Run("no node answers", func(t *testing.T) {
		c := newCluster(t, 1)
		n := c.add(0, 0, address(0, 1))
		c.run(time.Minute)
		assertReported(t, n, "noPeer", true)
		other := c.add(0, 1)
		c.runUntil(20*time.Second, c.isAgreed)
		_ = other
		assertReported(t, n, "joined", true)
	})
}

// TestMalformedRecords checks that a record with an invalid field is counted and does not
// change the table.
func TestMalformedRecords(t *testing.T) {
	table := bigTable(1)
	before := table.Digest()
	good := memberAt(500)
	for _, corrupt := range []func(*messages.Member){
		func(m *messages.Member) { m.Id = "" },
		func(m *messages.Member) { m.Zone = string(make([]byte, 200)) },
		func(m *messages.Member) { m.State = "asleep" },
		func(m *messages.Member) { m.State = messages.MemberStateFailed },
		func(m *messages.Member) { m.Health = 9 },
		func(m *messages.Member) { m.Peer = netip.AddrPort{} },
		func(m *messages.Member) { m.Slots = -1 },
		func(m *messages.Member) { m.Incarnation = math.MaxUint64 },
		func(m *messages.Member) { m.Epoch = math.MaxUint64 },
	} {
		bad := good
		corrupt(&bad)
		table.Serve(start, member.Probe{From: "other", Members: []messages.Member{bad}})
	}
	if table.Digest() != before || table.Malformed() != 9 {
		t.Fatalf("%d of 9 malformed records were refused", table.Malformed())
	}
}

// tableAt returns the table of a process with the given epoch. All processes have the
// same address.
func tableAt(epoch uint64, state messages.MemberState) *member.Table {
	self := memberAt(0)
	self.Id = fmt.Sprintf("started-at-%d", epoch)
	self.Epoch = epoch
	self.State = state
	return member.New(start, self, rand.New(rand.NewPCG(1, 1)))
}

// exchangeRecords sends the records of two nodes to each other many times.
func exchangeRecords(a, b *member.Table) {
	for range 20 {
		ofA, ofB := a.Self(), b.Self()
		if !a.IsSuperseded() {
			b.Serve(start, member.Probe{From: "other", Members: []messages.Member{ofA}})
		}
		if !b.IsSuperseded() {
			a.Serve(start, member.Probe{From: "other", Members: []messages.Member{ofB}})
		}
	}
}

// bigTable returns the table of memberAt(0) with n other members.
func bigTable(n int) *member.Table {
	table := member.New(start, memberAt(0), rand.New(rand.NewPCG(1, 1)))
	var members []messages.Member
	for i := 1; i <= n; i++ {
		members = append(members, memberAt(i))
	}
	table.Serve(start, member.Probe{From: "other", Members: members})
	return table
}

// memberAt returns the record of the i-th ready member. The members are spread over four
// zones.
func memberAt(i int) messages.Member {
	c := newCluster(nil, 1)
	c.created = i
	m := c.add(i%4, i).self
	m.State = messages.MemberStateReady
	return m
}

func cutZone(c *cluster, zone int) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a.self.Zone == zoneName(zone) && b.self.Zone != a.self.Zone {
				c.network.Cut(a.self.Peer, b.self.Peer)
			}
		}
	}
}

func countJoins(c *cluster) *int {
	joins := new(int)
	c.onSend = func(_ *node, message any) {
		if _, ok := message.(member.Join); ok {
			*joins++
		}
	}
	return joins
}

func moveToFront(nodes []*node, n *node) []*node {
	rest := slices.DeleteFunc(nodes, func(other *node) bool { return other == n })
	return append([]*node{n}, rest...)
}

func stateOf(observer *node, id string) messages.MemberState {
	for _, m := range observer.table.Members() {
		if m.Id == id {
			return m.State
		}
	}
	return ""
}

func assertState(t *testing.T, observer *node, id string, want messages.MemberState) {
	t.Helper()
	if state := stateOf(observer, id); state != want {
		t.Fatalf("%s has %s as %q, want %q", observer.self.Id, id, state, want)
	}
}

func assertReported(t *testing.T, n *node, kind string, want bool) {
	t.Helper()
	reported := slices.ContainsFunc(n.reports, func(r member.Changed) bool { return r.Kind == kind })
	if reported != want {
		t.Fatalf("%s reported: %v, want %v; all: %+v", kind, reported, want, n.reports)
	}
}

func assertCutOff(t *testing.T, n *node, zones ...string) {
	t.Helper()
	if cutOff := n.table.CutOff(); !slices.Equal(cutOff, zones) {
		t.Fatalf("%s has %v cut off, want %v", n.self.Id, cutOff, zones)
	}
}

// assertClaimsSettled checks that two processes at one address do not keep raising
// their claims.
func assertClaimsSettled(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		if incarnation := n.table.Self().Incarnation; incarnation > 10 {
			t.Fatalf("%s has incarnation %d, want at most 10", n.self.Id, incarnation)
		}
	}
}
