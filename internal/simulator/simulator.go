// Package simulator runs a discrete-event simulation of a fleet under load.
//
// # What is simulated
//
// A [Site] describes the deployment and a [Pattern] the load. [Simulate] runs the
// packages that make the decisions in a real node — load balancing, admission,
// retry budget, matching of callers' retries — with the latencies of a real fleet
// in virtual time, without network, clock or processes:
//
//	site := simulator.Sites()["trinidad"]
//	r := simulator.Simulate(site, simulator.Patterns()[0], simulator.Without(simulator.RetryMatching))
//	fmt.Println(r.Kinds[0].InTime)
//
// # What is left out
//
// The simulation has no calls made by servers, no processor time or connections
// of nodes, no node failures, and no delay until nodes learn of each other's
// changes. Its figures are therefore better than those of real runs; they show the
// difference that a mechanism makes.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderdeal/core/budget"
	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/refusals"
	"lavenderdeal/core/retryafter"
	messages "lavenderdeal/schema/roster"
)

const (
	// patternDuration is how long callers arrive; the simulation runs until all of
	// their requests are finished.
	patternDuration = 20 * time.Second
	// maxOffers is the number of servers that a request is offered to, as in a node.
	maxOffers = 3
	// repeatRatio and repeatSlack bound retries, as in the users' deployments.
	repeatRatio = 0.2
	repeatSlack = 60
)

// Mechanism is a mechanism that can be disabled.
type Mechanism string

// The mechanisms.
const (
	// Admission is by rank and time left; without it, in order of arrival.
	Admission Mechanism = "admission"
	// LoadBalancing chooses servers by load; without it, at random.
	LoadBalancing Mechanism = "choice"
	// RetryMatching recognises retries of refused callers.
	RetryMatching Mechanism = "returns"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism { return []Mechanism{Admission, LoadBalancing, RetryMatching} }

// Option configures a simulation.
type Option func(*simulation)

// Without disables a mechanism.
func Without(m Mechanism) Option { return func(sim *simulation) { sim.disabled[m] = true } }

// WithSeed sets the seed of all random choices. The default is 1.
func WithSeed(seed uint64) Option {
	return func(sim *simulation) { sim.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Result counts the outcomes of the callers.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Worth is the total worth of the answers, and Limit the highest total that
	// the servers' slots allow.
	Worth float64 `json:"worth"`
	Limit float64 `json:"limit"`
}

// KindResult counts the callers of one kind.
type KindResult struct {
	Name    string `json:"name"`
	Callers int    `json:"asked"`
	InTime  int    `json:"inTime"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
}

type simulation struct {
	site     Site
	pattern  Pattern
	disabled map[Mechanism]bool
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventQueue
	lastID   uint64
	// nodes have one server each.
	nodes  []*node
	result Result
	// demand holds the number of callers by second and kind. slots holds the slots
	// of all servers by second and service, scaled by the servers' speeds.
	demand [][]float64
	slots  [][]float64
}

type node struct {
	entry   messages.Entry
	zone    int
	service int
	// index is the position among the servers of the service.
	index   int
	speed   float64
	down    bool
	gate    *gate.Gate
	waiting map[uint64]*request
	picker  pick.Picker
	returns refusals.Table
	budget  *budget.Budget
}

// request is one attempt of a caller.
type request struct {
	id         uint64
	caller     *caller
	at         *node
	target     time.Time
	deadline   time.Time
	tried      []string
	retryAfter time.Duration
	shedCount  int
	done       func(r reply)
}

type caller struct {
	kind     int
	key      uint64
	at       *node
	first    time.Time
	attempts int
}

// reply is a node's answer to an offer.
type reply struct {
	ran     bool
	shed    bool
	refused gate.Refused
	load    pick.Load
}

// Simulate runs a pattern on a site. Equal seeds give equal results.
func Simulate(site Site, p Pattern, opts ...Option) Result {
	sim := &simulation{site: site, pattern: p, disabled: make(map[Mechanism]bool), random: rand.New(rand.NewPCG(1, 0))}
	for _, opt := range opts {
		opt(sim)
	}
	sim.start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	sim.now = sim.start
	sim.build()
	for second := range int(patternDuration / time.Second) {
		sim.schedule(time.Duration(second)*time.Second, sim.updateServers)
	}
	for i := range site.Kinds {
		sim.result.Kinds = append(sim.result.Kinds, KindResult{Name: site.Kinds[i].Name})
		sim.schedule(0, func() { sim.arrive(i) })
	}
	for len(sim.events) > 0 {
		e, _ := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.result.Limit = sim.maxWorth()
	return sim.result
}

func (sim *simulation) build() {
	bound := budget.Bound{Ratio: repeatRatio, Slack: repeatSlack, Window: 10 * time.Second}
	for i, s := range sim.site.Services {
		for j, zone := range s.ServerZones {
			name := fmt.Sprintf("%s-%d", s.Name, j)
			n := &node{
				entry: messages.Entry{Node: name, Server: name, Epoch: 1, Zone: sim.site.Zones[zone].Name, Service: s.Name, Slots: s.Slots, State: messages.EntryStateReady},
				zone:  zone, service: i, index: j, speed: s.Speeds[j], gate: gate.New(), waiting: make(map[uint64]*request), budget: budget.New(bound),
			}
			n.gate.SetLimit(sim.now, s.Slots)
			sim.nodes = append(sim.nodes, n)
		}
	}
}

// schedule schedules a function to run after a time.
func (sim *simulation) schedule(after time.Duration, do func()) {
	sim.lastID++
	heap.Push(&sim.events, event{at: sim.now.Add(after), seq: sim.lastID, do: do})
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

// arrive makes the first attempt of a new caller of a kind, and schedules the
// arrival of the next one.
func (sim *simulation) arrive(kind int) {
	if sim.elapsed() >= patternDuration {
		return
	}
	k := sim.site.Kinds[kind]
	c := &caller{kind: kind, key: sim.random.Uint64(), first: sim.now}
	c.at = sim.randomNode(sim.callerZone())
	sim.result.Kinds[kind].Callers++
	sim.demand[len(sim.demand)-1][kind]++
	sim.attempt(c)
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(time.Second)/sim.rate(k, kind)), func() { sim.arrive(kind) })
}

func (sim *simulation) rate(k Kind, kind int) float64 {
	rate := k.PerSecond * sim.pattern.Load
	for _, e := range sim.pattern.Events {
		if b, ok := e.(Burst); ok && b.Kind == kind && b.contains(sim.elapsed()) {
			rate *= b.Factor
		}
	}
	return rate
}

// callerZone returns the zone of the next caller.
func (sim *simulation) callerZone() int {
	x, zone := sim.random.Float64(), 0
	for zone < len(sim.site.Zones)-1 && x >= sim.site.Zones[zone].CallerShare {
		x -= sim.site.Zones[zone].CallerShare
		zone++
	}
	for _, e := range sim.pattern.Events {
		if s, ok := e.(Shift); ok && s.contains(sim.elapsed()) && zone == s.From && sim.random.Float64() < s.Share {
			return s.To
		}
	}
	return zone
}

// randomNode returns a random node of a zone.
func (sim *simulation) randomNode(zone int) *node {
	var nodes []*node
	for _, n := range sim.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes[sim.random.IntN(len(nodes))]
}

// attempt starts an attempt of a caller.
func (sim *simulation) attempt(c *caller) {
	k := sim.site.Kinds[c.kind]
	c.attempts++
	sim.lastID++
	q := &request{id: sim.lastID, caller: c, at: c.at, target: sim.now.Add(k.Target), deadline: c.first.Add(k.Deadline)}
	if first, ok := c.at.returns.Match(c.key, q.deadline); ok && !sim.disabled[RetryMatching] {
		q.target = first.Target
	}
	c.at.budget.RecordFirst(sim.now, k.Service)
	sim.offer(q)
}

// readyEntries returns the nodes of a service whose servers are up.
func (sim *simulation) readyEntries(service string) []messages.Entry {
	var entries []messages.Entry
	for _, n := range sim.nodes {
		if n.entry.Service == service && !n.down {
			entries = append(entries, n.entry)
		}
	}
	return entries
}

func (sim *simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.entry.Node == name {
			return n
		}
	}
	return nil
}

// offer offers a request to the next node, or refuses it if there is none.
func (sim *simulation) offer(q *request) {
	k := sim.site.Kinds[q.caller.kind]
	ready := sim.readyEntries(k.Service)
	choice, ok := q.at.picker.Pick(sim.now, ready, pick.Request{
		Zone: q.at.entry.Zone, Class: k.Name, TimeLeft: q.target.Sub(sim.now), Tried: q.tried, Random: sim.random.Float64,
	})
	if sim.disabled[LoadBalancing] && ok {
		choice = pick.Choice{Entry: ready[sim.random.IntN(len(ready))], NoAlternative: len(q.tried) == maxOffers-1}
	}
	if !ok || choice.Full || len(q.tried) == maxOffers || !sim.now.Before(q.deadline) {
		if q.retryAfter == 0 {
			q.retryAfter = retryafter.Full
		}
		sim.refuse(q)
		return
	}
	q.at.picker.Sent(choice.Entry)
	to := sim.node(choice.Entry.Node)
	allowLate := choice.NoAlternative || len(q.tried) == maxOffers-1
	hop := sim.site.Hop
	if to == q.at {
		hop = 0
	}
	q.done = func(r reply) {
		sim.schedule(hop, func() { sim.handleReply(q, choice.Entry, allowLate, r) })
	}
	sim.schedule(hop, func() { sim.admit(q, to, allowLate) })
}

// handleReply handles a node's reply to an offer: it records an answer, or offers
// the request to the next node or refuses it.
func (sim *simulation) handleReply(q *request, e messages.Entry, allowLate bool, r reply) {
	k := sim.site.Kinds[q.caller.kind]
	q.at.picker.Answered(sim.now, e, k.Name, r.load)
	if r.ran {
		sim.recordAnswer(q.caller)
		return
	}
	q.tried = append(q.tried, e.Node)
	retryAfter := r.refused.RetryAfter
	if r.shed {
		q.shedCount++
		retryAfter = retryafter.Shed
	} else if retryAfter > 0 {
		q.at.picker.Refused(sim.now, e, retryAfter)
	}
	if retryAfter > 0 && (q.retryAfter == 0 || retryAfter < q.retryAfter) {
		q.retryAfter = retryAfter
	}
	if allowLate || r.shed && (q.shedCount >= 2 || !q.at.budget.Take(sim.now, k.Service, len(sim.nodes))) {
		sim.refuse(q)
		return
	}
	sim.offer(q)
}

// admit offers a request to the gate of the server's node.
func (sim *simulation) admit(q *request, n *node, allowLate bool) {
	k := sim.site.Kinds[q.caller.kind]
	if n.down {
		q.done(reply{refused: gate.Refused{Rule: gate.RuleClosed}, load: sim.load(n, k)})
		return
	}
	r := gate.Request{ID: q.id, Class: k.Name, Rank: k.Rank, AllowLate: allowLate, Target: q.target, Deadline: q.deadline}
	if sim.disabled[Admission] {
		// All requests are in time and of the same rank, so that only the length of the
		// queue and the order of arrival matter.
		r.Rank, r.Target = 0, sim.now.Add(time.Hour)
	}
	switch out := n.gate.Offer(sim.now, r).(type) {
	case gate.Started:
		sim.run(q, n)
	case gate.Queued:
		n.waiting[q.id] = q
		sim.schedule(out.Until.Sub(sim.now), func() {
			if n.gate.Cancel(q.id) {
				delete(n.waiting, q.id)
				q.done(reply{load: sim.load(n, k)})
			}
		})
	case gate.Refused:
		q.done(reply{refused: out, load: sim.load(n, k)})
	}
	sim.decide(n)
}

// decide applies the gate's decisions on queued requests.
func (sim *simulation) decide(n *node) {
	for _, d := range append([]gate.Decision(nil), n.gate.Decisions()...) {
		q := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		switch out := d.Outcome.(type) {
		case gate.Started:
			sim.run(q, n)
		case gate.Refused:
			q.done(reply{refused: out, load: sim.load(n, sim.site.Kinds[q.caller.kind])})
		}
	}
}

// run runs a request that has a slot on the server.
func (sim *simulation) run(q *request, n *node) {
	k := sim.site.Kinds[q.caller.kind]
	took := float64(k.Work) / n.speed * (0.6 + 0.8*sim.random.Float64())
	for _, e := range sim.pattern.Events {
		switch e := e.(type) {
		case Slow:
			if e.contains(sim.elapsed()) && e.Service == n.service && n.index < e.Servers {
				took *= e.Factor
			}
		case Shed:
			if e.contains(sim.elapsed()) && e.Service == n.service && sim.random.Float64() < e.Share {
				n.gate.Done(sim.now, q.id, false)
				q.done(reply{shed: true, load: sim.load(n, k)})
				sim.schedule(0, func() { sim.decide(n) })
				return
			}
		}
	}
	sim.schedule(time.Duration(took), func() {
		n.gate.Done(sim.now, q.id, true)
		q.done(reply{ran: true, load: sim.load(n, k)})
		sim.decide(n)
	})
}

func (sim *simulation) load(n *node, k Kind) pick.Load {
	running, queued, limit := n.gate.Load()
	return pick.Load{Running: running, Queued: queued, Limit: limit, RunTime: n.gate.MeanRunTime(k.Name)}
}

// recordAnswer counts an answer by the time it took, and adds its worth.
func (sim *simulation) recordAnswer(c *caller) {
	k, r := sim.site.Kinds[c.kind], &sim.result.Kinds[c.kind]
	switch took := sim.now.Sub(c.first); {
	case took <= k.Target:
		r.InTime++
		sim.result.Worth += k.Worth
	case took <= k.Deadline:
		r.Late++
		sim.result.Worth += k.LateWorth
	default:
		r.Refused++
	}
}

// refuse refuses an attempt. It schedules the caller's next attempt, or counts the
// caller as refused if there is none.
func (sim *simulation) refuse(q *request) {
	c, k := q.caller, sim.site.Kinds[q.caller.kind]
	q.at.returns.Add(sim.now, refusals.Attempt{Key: c.key, Deadline: q.deadline, Target: q.target})
	left := q.deadline.Sub(sim.now)
	if c.attempts > k.Retries || left <= 0 {
		sim.result.Kinds[c.kind].Refused++
		return
	}
	sim.schedule(retryafter.Spread(q.retryAfter, left, sim.random.Float64()), func() { sim.attempt(c) })
}
