package member_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"lavenderdeal/core/member"
	"lavenderdeal/internal/fakenet"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/messages"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const step = 50 * time.Millisecond

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster simulates several tables that exchange messages through a queue, in
// virtual time.
type cluster struct {
	t       fataler
	rng     *rand.Rand
	now     time.Time
	nodes   []*node
	network fakenet.Network[packet]
	calls   []*call
	// onSend is called with each message that a node sends, if it is not nil.
	onSend func(from *node, message any)
	// created is the number of processes started so far.
	created int
	// isUnchecked skips the checks after every event, for large fleets.
	isUnchecked bool
}

// node is one process. A message to a dead node is lost, one to a paused node stays
// queued.
type node struct {
	table    *member.Table
	self     messages.Member
	isDead   bool
	isPaused bool
	// seen holds the table's records by id at the revision checked.
	seen    map[string]messages.Member
	checked uint64
	reports []member.Changed
}

// call is a pending Send. If it is the probe that a peer requested by a ProbeFor,
// relays is the peer's call, which is answered when the probe ends.
type call struct {
	from     *node
	send     member.Send
	deadline time.Time
	isDone   bool
	relays   *call
}

// packet is the request of a call, or its answer if that is not nil.
type packet struct {
	call   *call
	answer member.Answer
}

func newCluster(t fataler, seed uint64) *cluster {
	return &cluster{t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: start}
}

func address(zone, i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|uint32(zone)<<16|uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7000)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// add starts a process at the i-th address of a zone.
func (c *cluster) add(zone, i int, seeds ...netip.AddrPort) *node {
	c.created++
	at := address(zone, i)
	self := messages.Member{
		Id: fmt.Sprintf("%016x", uint64(c.created)*0x9e3779b97f4a7c15), Zone: zoneName(zone), Region: "tt-north", Service: "tours",
		Peer: at, Call: netip.AddrPortFrom(at.Addr(), 7001), Slots: 12, Incarnation: 1,
		Epoch: uint64(c.now.UnixMilli()), State: messages.MemberStateStarting,
	}
	n := &node{self: self, seen: make(map[string]messages.Member)}
	n.table = member.New(c.now, self, rand.New(rand.NewPCG(c.rng.Uint64(), 1)))
	n.table.AddSeeds(seeds)
	c.nodes = append(c.nodes, n)
	return n
}

// fill starts zones of ready nodes that all have the same seed.
func (c *cluster) fill(zones, perZone int) {
	seed := address(0, 0)
	for z := range zones {
		for i := range perZone {
			c.setState(c.add(z, i, seed), messages.MemberStateReady)
		}
	}
}

func (c *cluster) setState(n *node, state messages.MemberState) {
	c.applyEffects(n, n.table.SetState(c.now, state))
}

// at returns the live node at an address, or nil if there is none.
func (c *cluster) at(addr netip.AddrPort) *node {
	for _, n := range c.nodes {
		if n.self.Peer == addr && !n.isDead {
			return n
		}
	}
	return nil
}

func (c *cluster) alive() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.isDead })
}

func (c *cluster) applyEffects(n *node, effects []member.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case member.Send:
			c.open(n, e, nil)
		case member.Changed:
			n.reports = append(n.reports, e)
		}
	}
	c.check(n)
}

// open sends a node's request and adds it to the pending calls.
func (c *cluster) open(n *node, send member.Send, relays *call) {
	opened := &call{from: n, send: send, deadline: c.now.Add(send.Timeout), relays: relays}
	c.calls = append(c.calls, opened)
	if c.onSend != nil {
		c.onSend(n, send.Request)
	}
	c.network.Send(n.self.Peer, send.To, packet{call: opened})
}

// deliver delivers the packet at index i of the queue.
func (c *cluster) deliver(i int) {
	p, ok := c.network.Take(i)
	if !ok {
		return
	}
	to := c.at(p.To)
	if to == nil {
		return
	}
	if to.isPaused {
		c.network.Send(p.From, p.To, p.Message)
		return
	}
	if p.Message.answer != nil {
		c.finish(p.Message.call, to, p.Message.answer)
		return
	}
	c.serve(to, p.Message.call)
}

func (c *cluster) serve(to *node, asked *call) {
	if q, ok := asked.send.Request.(member.ProbeFor); ok {
		c.open(to, to.table.Relay(c.now, q), asked)
		return
	}
	answer, effects := to.table.Serve(c.now, asked.send.Request)
	c.answer(to, asked, answer)
	c.applyEffects(to, effects)
}

func (c *cluster) answer(n *node, asked *call, answer member.Answer) {
	if c.onSend != nil {
		c.onSend(n, answer)
	}
	c.network.Send(n.self.Peer, asked.from.self.Peer, packet{call: asked, answer: answer})
}

func (c *cluster) finish(done *call, n *node, answer member.Answer) {
	if done.isDone || done.from != n {
		return
	}
	done.isDone = true
	c.applyEffects(n, n.table.HandleAnswer(c.now, done.send, answer))
	if done.relays != nil {
		ack, ok := answer.(member.Ack)
		target := done.relays.send.Request.(member.ProbeFor).Target
		c.answer(n, done.relays, member.Reached{Reached: ok && ack.From == target})
	}
}

// tick advances the time, times out calls and ticks every running node.
func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	before := c.calls
	c.calls = nil
	var open []*call
	for _, each := range before {
		switch {
		case each.isDone || each.from.isDead:
		case each.from.isPaused || c.now.Before(each.deadline):
			open = append(open, each)
		default:
			c.timeOut(each)
		}
	}
	// Timeouts may have started other calls.
	c.calls = append(open, c.calls...)
	for _, n := range c.alive() {
		if !n.isPaused {
			c.applyEffects(n, n.table.Tick(c.now))
		}
	}
}

func (c *cluster) timeOut(lost *call) {
	lost.isDone = true
	c.applyEffects(lost.from, lost.from.table.HandleTimeout(c.now, lost.send))
	if lost.relays != nil {
		c.answer(lost.from, lost.relays, member.Reached{})
	}
}

// run advances the time in small steps. Each packet arrives in the step after it was
// sent.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		for range c.network.Len() {
			c.deliver(0)
		}
		c.tick(step)
	}
}

// runFast advances the time in long steps. Packets arrive without delay.
func (c *cluster) runFast(d, step time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		for c.network.Len() > 0 {
			c.deliver(0)
		}
		c.tick(step)
	}
}

// runUntil runs until a condition holds and returns the elapsed time.
func (c *cluster) runUntil(limit time.Duration, holds func() bool) time.Duration {
	c.t.Helper()
	began := c.now
	for !holds() {
		if c.now.Sub(began) > limit {
			c.t.Fatalf("condition not met within %s", limit)
		}
		c.run(step)
	}
	return c.now.Sub(began)
}

// check compares a node's records with those after the previous event.
func (c *cluster) check(n *node) {
	c.t.Helper()
	if c.isUnchecked || n.checked == n.table.Revision() {
		return
	}
	n.checked = n.table.Revision()
	seen := make(map[string]messages.Member, len(n.seen))
	for _, m := range n.table.Members() {
		seen[m.Id] = m
		if before, ok := n.seen[m.Id]; ok {
			assertMonotonic(c.t, n.self.Id, before, m)
		}
	}
	for id, before := range n.seen {
		if _, ok := seen[id]; !ok && before.Health != member.Failed {
			c.t.Fatalf("%s removed %s, which has not failed", n.self.Id, id)
		}
	}
	n.seen = seen
}

// assertMonotonic checks that an observer's record of a member was replaced only by a
// newer one.
func assertMonotonic(t fataler, observer string, before, after messages.Member) {
	t.Helper()
	switch {
	case after.Incarnation < before.Incarnation:
		t.Fatalf("%s replaced incarnation %d by %d of %s", observer, before.Incarnation, after.Incarnation, after.Id)
	case after.Incarnation == before.Incarnation && after.Health < before.Health:
		t.Fatalf("%s lowered health %d of %s without a higher incarnation", observer, before.Health, after.Id)
	case before.State == messages.MemberStateLeaving && isServing(after):
		t.Fatalf("%s has %s as %s after leaving", observer, after.Id, after.State)
	case after.Health == member.Failed && isServing(after):
		t.Fatalf("%s has the failed %s as %s", observer, after.Id, after.State)
	}
}

func isServing(m messages.Member) bool {
	return m.State == messages.MemberStateReady || m.State == messages.MemberStateSuspect
}

// assertAgreed checks that the records of every node match the actual members.
func (c *cluster) assertAgreed() {
	c.t.Helper()
	if problem := c.disagreement(); problem != "" {
		c.t.Fatalf("%s", problem)
	}
}

// disagreement describes the first difference between the nodes' records and the
// actual members. It returns an empty string if there is none.
func (c *cluster) disagreement() string {
	alive := c.alive()
	for _, n := range alive {
		known := make(map[string]messages.Member)
		for _, m := range n.table.Members() {
			if m.State != messages.MemberStateFailed && c.hasLiveNode(m.Zone) {
				known[m.Id] = m
			}
		}
		live := 0
		for _, other := range alive {
			if other.table.IsSuperseded() {
				continue
			}
			live++
			truth := other.table.Self()
			m, ok := known[truth.Id]
			if !ok || m.State != truth.State || m.Incarnation != truth.Incarnation {
				return fmt.Sprintf("%s has %s as %+v, want %+v\nreports: %+v\nreports of the member: %+v",
					n.self.Id, truth.Id, n.seen[truth.Id], truth, n.reports, other.reports)
			}
		}
		if len(known) != live {
			return fmt.Sprintf("%s has %d live members, want %d\nmembers: %+v\nreports: %+v",
				n.self.Id, len(known), live, known, n.reports)
		}
	}
	return ""
}

// hasLiveNode reports whether a zone has a live node. Without one, other nodes can't
// distinguish its members from those of a zone that is cut off.
func (c *cluster) hasLiveNode(zone string) bool {
	return slices.ContainsFunc(c.alive(), func(n *node) bool { return n.self.Zone == zone })
}

// isAgreed reports whether there is no disagreement. It compares digests first,
// which is cheaper.
func (c *cluster) isAgreed() bool {
	alive := c.alive()
	for _, n := range alive {
		if n.table.Digest() != alive[0].table.Digest() {
			return false
		}
	}
	return c.disagreement() == ""
}
