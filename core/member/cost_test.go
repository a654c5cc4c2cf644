package member_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lavenderdeal/core/member"
	"lavenderdeal/schema/messages"
)

const (
	// envelope is the overhead of JSON-RPC and the frame per message, in bytes.
	envelope = len(`{"id":100,"jsonrpc":"2.0","method":"probe","params":}`) + 4
	// maxBytes is the limit of the control traffic that a node sends, in bytes per
	// second.
	maxBytes = 8 << 10
	// restartPeriod is the average time between restarts in a fleet of 3,800 nodes
	// with 549 restarts a day.
	restartPeriod = 24 * time.Hour / 549
	// fleetSize is the number of members in BenchmarkTick.
	fleetSize = 3800
)

// traffic counts the bytes of the encoded messages, by sender and by type.
type traffic struct {
	sent   map[*node]int
	byType map[string]int
}

func (c *cluster) measure() *traffic {
	t := &traffic{sent: make(map[*node]int), byType: make(map[string]int)}
	c.onSend = func(from *node, message any) {
		data, err := json.Marshal(message)
		if err != nil {
			c.t.Fatalf("%v", err)
		}
		t.sent[from] += len(data) + envelope
		t.byType[fmt.Sprintf("%T", message)] += len(data) + envelope
	}
	return t
}

func (t *traffic) total() int {
	sum := 0
	for _, n := range t.sent {
		sum += n
	}
	return sum
}

func (t *traffic) busiest() int {
	most := 0
	for _, n := range t.sent {
		most = max(most, n)
	}
	return most
}

// TestCost checks that a node's control traffic stays within maxBytes, both when idle
// and at the average rate of restarts. It counts the bytes of the encoded messages,
// without compression and without the handshakes of new connections.
func TestCost(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 50}, {1, 100}, {1, 200}, {24, 10}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			if testing.Short() && size.zones*size.perZone > 100 {
				t.Skip("long")
			}
			c := newCluster(t, 7)
			c.isUnchecked = true
			c.fill(size.zones, size.perZone)
			c.runUntil(60*time.Second, c.isAgreed)
			c.run(40 * time.Second)
			measureCost(t, c)
		})
	}
}

// measureCost measures the traffic of an idle fleet and that of some restarts.
func measureCost(t *testing.T, c *cluster) {
	const idle = 10 * time.Second
	nodes := float64(len(c.nodes))
	quiet := c.measure()
	c.run(idle)
	idleBytes := float64(quiet.total()) / idle.Seconds() / nodes
	busiest := float64(quiet.busiest()) / idle.Seconds()

	const restarts = 3
	busy := c.measure()
	for range restarts {
		c.restartGracefully()
	}
	// perRestart is the virtual time that one restartGracefully takes.
	const perRestart = 13 * time.Second
	bytes := (float64(busy.total())/nodes - idleBytes*restarts*perRestart.Seconds()) / restarts
	day := idleBytes + bytes/restartPeriod.Seconds()
	t.Logf("idle: %.0f B/s a node, busiest %.0f B/s; %v", idleBytes, busiest, quiet.byType)
	t.Logf("restart: %.0f B a node; a day with 549 restarts: %.0f B/s a node; %v", bytes, day, busy.byType)
	if day > maxBytes || busiest > maxBytes {
		t.Errorf("%.0f B/s a node, busiest %.0f, want at most %d", day, busiest, maxBytes)
	}
}

// restartGracefully replaces a random node by a new process at its address.
func (c *cluster) restartGracefully() {
	alive := c.alive()
	old := alive[c.rng.IntN(len(alive))]
	c.setState(old, messages.MemberStateLeaving)
	c.run(3 * time.Second)
	old.isDead = true
	zone, i := placeOf(old)
	seed := c.alive()[0]
	n := c.add(zone, i, seed.self.Peer)
	c.run(time.Second)
	c.setState(n, messages.MemberStateReady)
	c.run(9 * time.Second)
}

func placeOf(n *node) (zone, i int) {
	ip := n.self.Peer.Addr().As4()
	return int(ip[1]), int(ip[2])<<8 | int(ip[3])
}

// BenchmarkTick measures the processor time of one node's table per second of virtual
// time, in a zone of 160 members of a fleet of 3,800.
func BenchmarkTick(b *testing.B) {
	c := newCluster(b, 1)
	c.isUnchecked = true
	n := c.add(0, 0)
	var members []messages.Member
	ids := make(map[netip.AddrPort]string)
	for i := 1; i < fleetSize; i++ {
		m := n.self
		m.Id = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		m.Zone = zoneName(i % 24)
		m.Peer = address(i%24, i)
		m.State = messages.MemberStateReady
		members = append(members, m)
		ids[m.Peer] = m.Id
	}
	n.table.Serve(c.now, member.Probe{From: "other", Members: members})
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			c.now = c.now.Add(100 * time.Millisecond)
			for _, effect := range n.table.Tick(c.now) {
				if send, ok := effect.(member.Send); ok {
					answer := member.Ack{From: ids[send.To], Digest: n.table.Digest()}
					n.table.HandleAnswer(c.now, send, answer)
				}
			}
		}
	}
}
