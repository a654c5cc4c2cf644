package follow_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/follow"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/relay"
	"lavenderdeal/internal/fakenet"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	zones        = 2
	nodesPerZone = 3
	customers    = 4
	// quietRounds is the number of rounds without faults at the end of a run. It
	// covers the longest backoff of a node.
	quietRounds = 80
	quietRound  = 200 * time.Millisecond
)

// packet is a message between two nodes or between a node and the platform.
type packet struct {
	kind kind
	// number is the version that the sender holds.
	number   uint64
	raw      []byte
	hashes   []string
	chunks   [][]byte
	announce messages.Announce
}

type kind uint8

const (
	headRequest kind = iota
	headResponse
	chunksRequest
	chunksResponse
	announcement
	versionReport
)

// process is one run of a node, until it is restarted.
type process struct {
	id      follow.Source
	addr    netip.AddrPort
	zone    int
	machine follow.Machine
	tree    relay.Tree
	reader  bool
	paused  bool
	// applied is the version in force, and number its number or 0.
	applied *plans.Version
	number  uint64
}

// published is one published head and its expected content.
type published struct {
	raw    []byte
	number uint64
	valid  bool
	// planOf holds the plan of each customer by name.
	planOf map[string]string
}

// operator changes the lists: it reads the head, then writes the next version.
type operator struct {
	// read is the head that it has read, at this revision of the platform.
	read     *published
	revision int
}

// cluster simulates several nodes, operators and a platform that exchange messages
// over a fake network.
type cluster struct {
	now     time.Time
	network fakenet.Network[packet]
	nodes   []*process
	// published holds all published heads by their hashes.
	published map[string]*published
	chunks    map[string][]byte
	// head is the platform's head at this revision.
	head         *published
	revision     int
	history      []*published
	operators    [2]operator
	platformDown bool
	// serial numbers the operations.
	serial int
}

var platformAddr = netip.MustParseAddrPort("10.0.9.9:1")

func newCluster() *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0), published: map[string]*published{}, chunks: map[string][]byte{}}
	for i := range zones * nodesPerZone {
		c.nodes = append(c.nodes, c.newProcess(i))
	}
	return c
}

func (c *cluster) newProcess(i int) *process {
	p := &process{
		id: follow.Source(fmt.Sprintf("n%d", i)), addr: addrOf(i), zone: i / nodesPerZone,
		reader: i%nodesPerZone == 0,
	}
	p.machine.Rand = rand.New(rand.NewPCG(uint64(i), 1))
	return p
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

func (c *cluster) addrOf(id follow.Source) netip.AddrPort {
	if id == follow.Platform {
		return platformAddr
	}
	for _, p := range c.nodes {
		if p.id == id {
			return p.addr
		}
	}
	panic("no node " + string(id))
}

func (c *cluster) sourceOf(addr netip.AddrPort) follow.Source {
	for _, p := range c.nodes {
		if p.addr == addr {
			return p.id
		}
	}
	return follow.Platform
}

// step passes an event to a node and executes the effects.
func (c *cluster) step(t *rapid.T, p *process, e follow.Event) {
	for _, effect := range slices.Clone(p.machine.Step(c.now, e)) {
		switch e := effect.(type) {
		case follow.FetchHead:
			c.network.Send(p.addr, c.addrOf(e.From), packet{kind: headRequest, number: p.machine.Held().Version})
		case follow.FetchChunks:
			c.network.Send(p.addr, c.addrOf(e.From), packet{kind: chunksRequest, hashes: e.Hashes})
		case follow.Announce:
			if p.reader {
				p.tree.AddTargets(e.Head.Hash, c.others(p))
			}
			c.forward(p, p.tree.MarkComplete(e.Head.Hash), e.Head, e.Base)
		case follow.Apply:
			if e.Version.Number() <= p.number {
				t.Fatalf("%s went from version %d to %d", p.id, p.number, e.Version.Number())
			}
			p.applied, p.number = e.Version, e.Version.Number()
		}
	}
}

func (c *cluster) others(p *process) []string {
	var ids []string
	for _, o := range c.nodes {
		if o.zone == p.zone && o != p {
			ids = append(ids, string(o.id))
		}
	}
	return ids
}

// forward announces a head along the distribution tree.
func (c *cluster) forward(p *process, ids []string, head, base follow.Head) {
	for _, branch := range relay.Split(ids, 1) {
		a := follow.Announcement(string(p.id), head, base)
		a.Forward = branch.Descendants
		c.network.Send(p.addr, c.addrOf(follow.Source(branch.Child)), packet{kind: announcement, announce: a})
	}
}

// deliver takes a packet from the network and passes it to its receiver.
func (c *cluster) deliver(t *rapid.T, at int) {
	got, ok := c.network.Take(at)
	if !ok {
		return
	}
	if got.To == platformAddr {
		c.answerFromPlatform(got)
		return
	}
	p := c.nodes[slices.IndexFunc(c.nodes, func(p *process) bool { return p.addr == got.To })]
	if p.paused {
		c.network.Send(got.From, got.To, got.Message)
		return
	}
	c.receive(t, p, got)
}

func (c *cluster) answerFromPlatform(got fakenet.Packet[packet]) {
	if c.platformDown {
		return
	}
	switch got.Message.kind {
	case headRequest:
		answer := packet{kind: headResponse}
		if c.head != nil {
			answer.raw = c.head.raw
		}
		c.network.Send(platformAddr, got.From, answer)
	case chunksRequest:
		c.network.Send(platformAddr, got.From, packet{kind: chunksResponse, chunks: pick(c.chunks, got.Message.hashes)})
	}
}

func (c *cluster) receive(t *rapid.T, p *process, got fakenet.Packet[packet]) {
	from, m := c.sourceOf(got.From), got.Message
	held := p.machine.Held()
	switch m.kind {
	case headRequest:
		answer := packet{kind: headResponse}
		if held.Version > m.number {
			answer.raw = held.Raw
		}
		c.network.Send(p.addr, got.From, answer)
	case headResponse:
		switch {
		case len(m.raw) > 0:
			c.step(t, p, follow.HeadReceived{From: from, Raw: m.raw})
		case from == follow.Platform:
			c.step(t, p, follow.PlatformEmpty{})
			c.step(t, p, follow.HeadFailed{From: from})
		default:
			c.step(t, p, follow.HeadFailed{From: from})
		}
	case chunksRequest:
		c.network.Send(p.addr, got.From, packet{kind: chunksResponse, chunks: pick(p.machine.Chunks(), m.hashes)})
	case chunksResponse:
		c.step(t, p, follow.ChunksReceived{From: from, Chunks: m.chunks})
	case announcement:
		c.receiveAnnouncement(t, p, from, m.announce)
	case versionReport:
		c.step(t, p, follow.VersionReported{Number: m.number})
	}
}

func (c *cluster) receiveAnnouncement(t *rapid.T, p *process, from follow.Source, a messages.Announce) {
	held := p.machine.Held()
	due := p.tree.AddTargets(a.Hash, a.Forward)
	if a.Hash == held.Hash {
		c.forward(p, due, held, follow.Head{})
		return
	}
	if raw, ok := follow.Patch(held, a); ok {
		c.step(t, p, follow.HeadReceived{From: from, Raw: raw})
		return
	}
	c.step(t, p, follow.VersionReported{From: from, Number: a.Version})
}

// pick returns the chunks with the given hashes that exist.
func pick(chunks map[string][]byte, hashes []string) [][]byte {
	var found [][]byte
	for _, h := range hashes {
		if data, ok := chunks[h]; ok {
			found = append(found, data)
		}
	}
	return found
}

// publish writes the version after the one that the operator read, unless the head
// was written since. An invalid version uses a service that is not listed.
func (c *cluster) publish(o *operator, plan string, valid bool) {
	number := uint64(1)
	if o.read != nil {
		number = o.read.number + 1
	}
	head := objects.Head{Version: number, Operation: fmt.Sprintf("op%d", c.serial), ChangedAt: c.now.UTC()}
	c.serial++
	p := &published{number: number, valid: valid, planOf: map[string]string{}}
	for i := range customers {
		name := fmt.Sprintf("c%d", i)
		p.planOf[name] = "gold"
		if i == c.serial%customers {
			p.planOf[name] = plan
		}
		head.CustomerChunks = append(head.CustomerChunks, c.put(lists.CustomerList{Customers: []lists.Customer{
			{Name: name, Plan: p.planOf[name], KeyHashes: []string{plans.HashKey(name)}},
		}}))
	}
	uses := []lists.Use{{Service: "s", Priority: lists.UsePriorityHigh}}
	list := lists.PlanList{
		Services: []lists.Service{{Name: "s", Timeout: units.Duration(time.Second)}},
		Plans:    []lists.Plan{{Name: "gold", Uses: uses}, {Name: "silver", Uses: uses}},
	}
	if !valid {
		list.Services = []lists.Service{}
	}
	head.PlanChunks = []string{c.put(list)}
	if o.revision != c.revision {
		return
	}
	p.raw = mustMarshal(head)
	c.published[chunk.New(p.raw).Hash] = p
	c.head = p
	c.revision++
	c.history = append(c.history, p)
}

// put stores a list as a chunk of the platform and returns its hash.
func (c *cluster) put(list any) string {
	data := chunk.New(mustMarshal(list))
	c.chunks[data.Hash] = data.Data
	return data.Hash
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// updateView passes the other nodes to a node. A reader also requests the head from
// the platform.
func (c *cluster) updateView(t *rapid.T, p *process) {
	var sameZone, otherReaders []follow.Source
	for _, o := range c.nodes {
		switch {
		case o == p:
		case o.zone == p.zone:
			sameZone = append(sameZone, o.id)
		case o.reader:
			otherReaders = append(otherReaders, o.id)
		}
	}
	c.step(t, p, follow.PeersChanged{Peers: append(sameZone, otherReaders...), IsReader: p.reader})
	if p.reader {
		c.network.Send(p.addr, platformAddr, packet{kind: headRequest})
	}
}

// check verifies the invariants after every step.
func (c *cluster) check(t *rapid.T) {
	for _, p := range c.nodes {
		held := p.machine.Held()
		if held.Version != p.number {
			t.Fatalf("%s holds version %d and has version %d in force", p.id, held.Version, p.number)
		}
		if p.number > 0 {
			c.checkContent(t, p, held.Hash)
		}
	}
}

// checkContent verifies that the version in force is exactly one valid published
// version.
func (c *cluster) checkContent(t *rapid.T, p *process, hash string) {
	want, ok := c.published[hash]
	if !ok {
		t.Fatalf("%s has a head that was not published", p.id)
	}
	if !want.valid {
		t.Fatalf("%s has the invalid version %d in force", p.id, want.number)
	}
	if n, _, _ := p.applied.Sizes(); n != len(want.planOf) || p.applied.Number() != want.number {
		t.Fatalf("%s has version %d with %d customers, want %d with %d", p.id, p.applied.Number(), n, want.number, len(want.planOf))
	}
	for name, plan := range want.planOf {
		allowed, ok := p.applied.DecideFor(name, plans.Request{Service: "s", Method: "GET", Path: "/"}).(plans.Allowed)
		if !ok || allowed.Plan != plan {
			t.Fatalf("%s has %+v for customer %s in version %d, want plan %s", p.id, allowed, name, want.number, plan)
		}
	}
}

// settle removes all faults and runs the rounds without faults.
func (c *cluster) settle(t *rapid.T) {
	c.network.HealAll()
	c.platformDown = false
	for _, p := range c.nodes {
		p.paused = false
	}
	for round := range quietRounds {
		for i, p := range c.nodes {
			c.updateView(t, p)
			c.step(t, p, follow.Tick{})
			next := c.nodes[(i+1+round%(len(c.nodes)-1))%len(c.nodes)]
			c.network.Send(p.addr, next.addr, packet{kind: versionReport, number: p.number})
		}
		for c.network.Len() > 0 {
			c.deliver(t, 0)
		}
		c.now = c.now.Add(quietRound)
		c.check(t)
	}
}

// checkNewest verifies that all nodes have the newest valid version.
func (c *cluster) checkNewest(t *rapid.T) {
	newest := uint64(0)
	if c.head != nil && c.head.valid {
		newest = c.head.number
	}
	for _, p := range c.nodes {
		newest = max(newest, p.number)
	}
	for _, p := range c.nodes {
		if p.number != newest {
			t.Fatalf("%s has version %d after all faults ended, want %d", p.id, p.number, newest)
		}
	}
}

// TestCluster runs nodes, operators and the platform through random faults: lost, repeated
// and corrupted messages, cuts, restarts, a platform that is down or restored from a
// backup. No node may go back to an older version or put one in force that was not
// published as a whole. After the faults all nodes must have the newest valid version.
func TestCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		t.Repeat(c.actions())
		c.settle(t)
		c.checkNewest(t)
	})
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	faults := c.faults()
	maps.Copy(faults, map[string]func(*rapid.T){
		"": c.check,
		"operatorReads": func(t *rapid.T) {
			o := c.operator(t)
			o.read, o.revision = c.head, c.revision
		},
		"operatorWrites": func(t *rapid.T) {
			plan := rapid.SampledFrom([]string{"gold", "silver"}).Draw(t, "plan")
			c.publish(c.operator(t), plan, true)
		},
		"operatorWritesInvalid": func(t *rapid.T) { c.publish(c.operator(t), "gold", false) },
		"change": func(t *rapid.T) {
			// An operator that reads and writes without a concurrent write.
			o := operator{read: c.head, revision: c.revision}
			c.publish(&o, rapid.SampledFrom([]string{"gold", "silver"}).Draw(t, "plan"), rapid.IntRange(0, 3).Draw(t, "valid") > 0)
		},
		"deliver": func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "packets") {
				if c.network.Len() == 0 {
					return
				}
				c.deliver(t, c.packet(t))
			}
		},
		"look": func(t *rapid.T) { c.updateView(t, c.running(t)) },
		"pass time": func(t *rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "millis")) * time.Millisecond)
			for _, p := range c.nodes {
				if !p.paused {
					c.step(t, p, follow.Tick{})
				}
			}
		},
		"gossip": func(t *rapid.T) {
			from, to := c.node(t), c.node(t)
			c.network.Send(from.addr, to.addr, packet{kind: versionReport, number: from.number})
		},
	})
	return faults
}

func (c *cluster) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"drop": func(t *rapid.T) {
			if c.network.Len() > 0 {
				c.network.Drop(c.packet(t))
			}
		},
		"dropAll": func(*rapid.T) {
			for c.network.Len() > 0 {
				c.network.Drop(0)
			}
		},
		"duplicate": func(t *rapid.T) {
			if c.network.Len() > 0 {
				c.network.Duplicate(c.packet(t))
			}
		},
		"corrupt": c.corrupt,
		"cut": func(t *rapid.T) {
			c.network.Cut(c.node(t).addr, rapid.SampledFrom([]netip.AddrPort{platformAddr, c.node(t).addr}).Draw(t, "other"))
		},
		"cutZone": func(t *rapid.T) {
			zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
			for _, a := range c.nodes {
				for _, b := range c.nodes {
					if a.zone == zone && b.zone != zone {
						c.network.Cut(a.addr, b.addr)
					}
				}
			}
		},
		"heal":          func(*rapid.T) { c.network.HealAll() },
		"platformUpOut": func(*rapid.T) { c.platformDown = !c.platformDown },
		"pause":         func(t *rapid.T) { p := c.node(t); p.paused = !p.paused },
		"restart":       func(t *rapid.T) { c.restart(rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")) },
		"restartZone": func(t *rapid.T) {
			zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
			for i := range nodesPerZone {
				c.restart(zone*nodesPerZone + i)
			}
		},
		"restoreStore": func(t *rapid.T) {
			if len(c.history) > 0 {
				c.head = c.history[rapid.IntRange(0, len(c.history)-1).Draw(t, "backup")]
				c.revision++
			}
		},
	}
}

func (c *cluster) restart(i int) { c.nodes[i] = c.newProcess(i) }

// corrupt changes the content of a head, chunks or an announcement in transit.
func (c *cluster) corrupt(t *rapid.T) {
	if c.network.Len() == 0 {
		return
	}
	got, ok := c.network.Take(c.packet(t))
	if !ok {
		return
	}
	m := got.Message
	if len(m.raw) > 0 {
		m.raw = append([]byte("{"), m.raw...)
	}
	if len(m.chunks) > 0 {
		m.chunks = slices.Clone(m.chunks)
		m.chunks[0] = []byte(`{"customers":[]}`)
	}
	if len(m.announce.CustomerEdits) > 0 {
		m.announce.CustomerEdits = nil
	}
	c.network.Send(got.From, got.To, m)
}

func (c *cluster) node(t *rapid.T) *process {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
}

func (c *cluster) running(t *rapid.T) *process {
	p := c.node(t)
	if p.paused {
		t.Skip("paused")
	}
	return p
}

func (c *cluster) operator(t *rapid.T) *operator {
	return &c.operators[rapid.IntRange(0, len(c.operators)-1).Draw(t, "operator")]
}

func (c *cluster) packet(t *rapid.T) int {
	return rapid.IntRange(0, c.network.Len()-1).Draw(t, "packet")
}
