package member_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/schema/messages"
)

const (
	machineZones   = 3
	machinePerZone = 3
	// quiet is the time without failures in which the nodes must agree. It is longer
	// than the sum of a suspicion, a retry of failed members, a probe of a zone that
	// was cut off and a few comparisons.
	quiet = 90 * time.Second
)

// TestMachine runs nine nodes in three zones through random sequences of failures. The
// cluster checks after every event that records are replaced only by newer ones. Once
// the failures have ended, all nodes must agree on the members.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"))}
		m.fill(machineZones, machinePerZone)
		m.run(rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second}).Draw(t, "before"))
		t.Repeat(map[string]func(*rapid.T){
			"deliver":   m.deliverAny,
			"drop":      m.drop,
			"duplicate": m.duplicate,
			"pass":      m.pass,
			"cutLink":   m.cutLink,
			"cutZones":  m.cutZones,
			"split":     m.split,
			"healLink":  m.healLink,
			"kill":      m.kill,
			"restart":   m.restart,
			"pause":     m.pause,
			"resume":    m.resume,
			"state":     m.changeState,
		})
		m.settle(t)
	})
}

// machine is a cluster with the actions that rapid selects at random.
type machine struct {
	*cluster
	// cuts holds the pairs of nodes whose link was cut.
	cuts [][2]*node
}

func (m *machine) deliverAny(t *rapid.T) {
	if m.network.Len() == 0 {
		t.Skip("no packet")
	}
	m.deliver(rapid.IntRange(0, m.network.Len()-1).Draw(t, "packet"))
}

func (m *machine) drop(t *rapid.T) {
	if m.network.Len() == 0 {
		t.Skip("no packet")
	}
	m.network.Drop(rapid.IntRange(0, m.network.Len()-1).Draw(t, "packet"))
}

func (m *machine) duplicate(t *rapid.T) {
	if m.network.Len() == 0 {
		t.Skip("no packet")
	}
	m.network.Duplicate(rapid.IntRange(0, m.network.Len()-1).Draw(t, "packet"))
}

// pass lets time pass, with or without delivering the packets.
func (m *machine) pass(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{step, 500 * time.Millisecond, 2 * time.Second, 8 * time.Second}).Draw(t, "time")
	if rapid.Bool().Draw(t, "with delivery") {
		m.run(d)
		return
	}
	m.tick(d)
}

// draw returns a random live node.
func (m *machine) draw(t *rapid.T, label string) *node {
	alive := m.alive()
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, label)]
}

func (m *machine) cutLink(t *rapid.T) { m.cut(m.draw(t, "a"), m.draw(t, "b")) }

func (m *machine) cut(a, b *node) {
	m.network.Cut(a.self.Peer, b.self.Peer)
	m.cuts = append(m.cuts, [2]*node{a, b})
}

// cutZones cuts all links between two zones.
func (m *machine) cutZones(t *rapid.T) {
	a := rapid.IntRange(0, machineZones-1).Draw(t, "zone")
	b := rapid.IntRange(0, machineZones-1).Draw(t, "other zone")
	for _, x := range m.alive() {
		for _, y := range m.alive() {
			if x.self.Zone != y.self.Zone && x.self.Zone == zoneName(a) && y.self.Zone == zoneName(b) {
				m.cut(x, y)
			}
		}
	}
}

// split cuts all links between two random groups of nodes.
func (m *machine) split(t *rapid.T) {
	alive := m.alive()
	side := rapid.SliceOfN(rapid.Bool(), len(alive), len(alive)).Draw(t, "side")
	for i, x := range alive {
		for j, y := range alive {
			if side[i] && !side[j] {
				m.cut(x, y)
			}
		}
	}
}

func (m *machine) healLink(t *rapid.T) {
	if len(m.cuts) == 0 {
		t.Skip("no cut")
	}
	i := rapid.IntRange(0, len(m.cuts)-1).Draw(t, "cut")
	m.network.Heal(m.cuts[i][0].self.Peer, m.cuts[i][1].self.Peer)
	m.cuts = append(m.cuts[:i], m.cuts[i+1:]...)
}

func (m *machine) kill(t *rapid.T) {
	if len(m.alive()) < 3 {
		t.Skip("too few nodes")
	}
	m.draw(t, "node").isDead = true
}

// restart replaces a process by a new one at the same address, whose clock may
// be behind.
func (m *machine) restart(t *rapid.T) {
	old := m.draw(t, "node")
	old.isDead = true
	for z := range machineZones {
		for i := range machinePerZone {
			if address(z, i) == old.self.Peer {
				m.add(z, i, m.draw(t, "seed").self.Peer)
			}
		}
	}
}

func (m *machine) pause(t *rapid.T) { m.draw(t, "node").isPaused = true }

func (m *machine) resume(t *rapid.T) { m.draw(t, "node").isPaused = false }

func (m *machine) changeState(t *rapid.T) {
	n := m.draw(t, "node")
	if n.isPaused {
		t.Skip("paused")
	}
	m.setState(n, rapid.SampledFrom([]messages.MemberState{
		messages.MemberStateStarting, messages.MemberStateReady, messages.MemberStateLeaving,
	}).Draw(t, "state"))
}

// settle heals all links, resumes all nodes and checks that they agree on the actual
// members.
func (m *machine) settle(t *rapid.T) {
	m.network.HealAll()
	for _, n := range m.alive() {
		n.isPaused = false
	}
	// The nodes of a restarted fleet find each other by the addresses in the platform.
	var seeds = m.alive()
	for _, n := range m.alive() {
		n.table.AddSeeds([]netip.AddrPort{seeds[0].self.Peer, seeds[len(seeds)-1].self.Peer})
	}
	m.run(quiet)
	m.assertAgreed()
	m.assertCutOff(t)
}

// assertCutOff checks that no zone with a live node is announced as cut off.
func (m *machine) assertCutOff(t *rapid.T) {
	t.Helper()
	for _, n := range m.alive() {
		for _, zone := range n.table.Self().CutOff {
			if m.hasLiveNode(zone) {
				t.Fatalf("%s still has %s cut off", n.self.Id, zone)
			}
		}
	}
}
