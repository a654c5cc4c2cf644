// Package simulator simulates a fleet of mesh nodes and their backend servers under
// load, as a discrete-event simulation.
//
// # What is simulated
//
// A [Site] describes the deployment and a [Pattern] the load. [Simulate] runs the
// packages that make the decisions in a real node (see package mesh): load
// balancing, admission, retry budget and matching of callers' retries. Latencies
// are like those of a real fleet, but pass in virtual time, without a network,
// clock or processes:
//
//	site := simulator.Sites()["trinidad"]
//	r := simulator.Simulate(site, simulator.Patterns()[0], simulator.Without(simulator.RetryMatching))
//	fmt.Println(r.Kinds[0].InTime)
//
// # What is left out
//
// Backend servers make no calls of their own. Nodes use no processor time and no
// connections, do not fail, and learn of each other's changes at once. The figures
// are therefore better than those of real runs; they show the difference that a
// mechanism makes.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/refusals"
	"lavenderdeal/core/retryafter"
	"lavenderdeal/core/retrybudget"
	messages "lavenderdeal/schema/roster"
)

const (
	// patternDuration is how long callers arrive; the simulation runs until all of
	// their requests are finished.
	patternDuration = 20 * time.Second
	// maxOffers is the largest number of nodes that a request is offered to, as in a
	// real node.
	maxOffers = 3
	// repeatRatio and repeatSlack are the retry budget, as in the users' deployments:
	// in each 10 s, of the requests to a service that a server shed, at most
	// repeatRatio times the service's first requests plus repeatSlack are offered to
	// another server.
	repeatRatio = 0.2
	repeatSlack = 60
)

// Mechanism is a mechanism of the nodes that [Without] can disable.
type Mechanism string

// The mechanisms.
const (
	// Admission gives slots by the time left until the target latency and by rank.
	// Without it, requests get slots in the order of arrival.
	Admission Mechanism = "admission"
	// LoadBalancing chooses servers by load. Without it, they are chosen at random.
	LoadBalancing Mechanism = "choice"
	// RetryMatching recognises a retry of a refused caller and counts its target
	// latency from the first attempt. Without it, a retry counts as a new caller.
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

// Result holds the outcomes of one simulation.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Worth is the sum of Kind.Worth and Kind.LateWorth over all answers. Limit
	// estimates the highest sum that the servers' slots allow. Worth can exceed it
	// slightly, because the estimate ignores that run times vary and that requests can
	// wait for a slot of the next second.
	Worth float64 `json:"worth"`
	Limit float64 `json:"limit"`
}

// KindResult counts the callers of one kind by outcome. A caller counts once,
// however often it retries.
type KindResult struct {
	Name string `json:"name"`
	// Callers is the sum of InTime, Late and Refused.
	Callers int `json:"asked"`
	// InTime counts answers within Kind.Target of the first attempt.
	InTime int `json:"inTime"`
	// Late counts answers after Kind.Target but within Kind.Deadline.
	Late int `json:"late"`
	// Refused counts callers without an answer within Kind.Deadline.
	Refused int `json:"refused"`
}

type simulation struct {
	site     Site
	pattern  Pattern
	disabled map[Mechanism]bool
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventQueue
	// lastID is the last request id or event sequence number that was used.
	lastID uint64
	// nodes holds the nodes. Each has one backend server.
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
	index int
	speed float64
	// down is set while the server is unavailable.
	down bool
	gate *gate.Gate
	// waiting holds the requests in the gate's queue by id.
	waiting         map[uint64]*request
	picker          pick.Picker
	refusedAttempts refusals.Table
	budget          *retrybudget.Budget
}

// request is one attempt of a caller.
type request struct {
	id     uint64
	caller *caller
	// callerNode is the node that received the attempt and offers it to others.
	callerNode *node
	target     time.Time
	deadline   time.Time
	// tried holds the names of the nodes that did not run the request.
	tried []string
	// retryAfter is the shortest Retry-After in their replies, or 0 if none had one.
	retryAfter time.Duration
	// shedCount is how many servers have shed the request.
	shedCount int
	// done receives the reply to the current offer.
	done func(r reply)
}

type caller struct {
	// kind is the index in Site.Kinds.
	kind int
	// key is the same for all attempts of the caller.
	key uint64
	// callerNode is the node to which the caller sends all of its attempts.
	callerNode *node
	// first is the time of the first attempt.
	first    time.Time
	attempts int
}

// reply describes how a node handled an offer.
type reply struct {
	// ran is set if the server ran the request.
	ran bool
	// shed is set if the server rejected the request although it had a free slot.
	shed    bool
	refused gate.Refused
	load    pick.Load
}

// Simulate runs a pattern on a site. Equal seeds give equal results. Every zone of
// the site must have a server, and every kind a service of the site; otherwise
// Simulate panics.
func Simulate(site Site, p Pattern, opts ...Option) Result {
	sim := &simulation{site: site, pattern: p, disabled: make(map[Mechanism]bool), random: rand.New(rand.NewPCG(1, 0))}
	for _, opt := range opts {
		opt(sim)
	}
	sim.start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	sim.now = sim.start
	sim.createNodes()
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

// createNodes creates a node for each server of the site.
func (sim *simulation) createNodes() {
	bound := retrybudget.Bound{Ratio: repeatRatio, Slack: repeatSlack, Window: 10 * time.Second}
	for i, s := range sim.site.Services {
		for j, zone := range s.ServerZones {
			name := fmt.Sprintf("%s-%d", s.Name, j)
			n := &node{
				entry: messages.Entry{Node: name, Server: name, Epoch: 1, Zone: sim.site.Zones[zone].Name, Service: s.Name, Slots: s.Slots, State: messages.EntryStateReady},
				zone:  zone, service: i, index: j, speed: s.Speeds[j], gate: gate.New(), waiting: make(map[uint64]*request), budget: retrybudget.New(bound),
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

// elapsed returns the virtual time since the start of the pattern.
func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

// arrive makes the first attempt of a new caller of a kind, and schedules the
// arrival of the next one.
func (sim *simulation) arrive(kind int) {
	if sim.elapsed() >= patternDuration {
		return
	}
	k := sim.site.Kinds[kind]
	c := &caller{kind: kind, key: sim.random.Uint64(), first: sim.now}
	c.callerNode = sim.randomNode(sim.callerZone())
	sim.result.Kinds[kind].Callers++
	sim.demand[len(sim.demand)-1][kind]++
	sim.attempt(c)
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(time.Second)/sim.rate(k, kind)), func() { sim.arrive(kind) })
}

// rate returns the current rate of new callers of a kind, in callers per second.
func (sim *simulation) rate(k Kind, kind int) float64 {
	rate := k.PerSecond * sim.pattern.Load
	for _, e := range sim.pattern.Events {
		if b, ok := e.(Burst); ok && b.Kind == kind && b.contains(sim.elapsed()) {
			rate *= b.Factor
		}
	}
	return rate
}

// callerZone returns a random zone for the next caller, by the zones' shares.
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

// attempt starts the next attempt of a caller.
func (sim *simulation) attempt(c *caller) {
	k := sim.site.Kinds[c.kind]
	c.attempts++
	sim.lastID++
	q := &request{id: sim.lastID, caller: c, callerNode: c.callerNode, target: sim.now.Add(k.Target), deadline: c.first.Add(k.Deadline)}
	if first, ok := c.callerNode.refusedAttempts.Match(c.key, q.deadline); ok && !sim.disabled[RetryMatching] {
		q.target = first.Target
	}
	c.callerNode.budget.RecordFirst(sim.now, k.Service)
	sim.offer(q)
}

// readyEntries returns the roster entries of a service's nodes whose servers are up.
func (sim *simulation) readyEntries(service string) []messages.Entry {
	var entries []messages.Entry
	for _, n := range sim.nodes {
		if n.entry.Service == service && !n.down {
			entries = append(entries, n.entry)
		}
	}
	return entries
}

// node returns the node with a name, or nil if there is none.
func (sim *simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.entry.Node == name {
			return n
		}
	}
	return nil
}

// offer offers a request to the next node. It refuses the request if there is none,
// after maxOffers offers, and after the deadline.
func (sim *simulation) offer(q *request) {
	k := sim.site.Kinds[q.caller.kind]
	ready := sim.readyEntries(k.Service)
	choice, ok := q.callerNode.picker.Pick(sim.now, ready, pick.Request{
		Zone: q.callerNode.entry.Zone, Class: k.Name, TimeLeft: q.target.Sub(sim.now), Tried: q.tried, Random: sim.random.Float64,
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
	q.callerNode.picker.Sent(choice.Entry)
	to := sim.node(choice.Entry.Node)
	// The last node may run the request although it will miss its target.
	allowLate := choice.NoAlternative || len(q.tried) == maxOffers-1
	hop := sim.site.Hop
	if to == q.callerNode {
		hop = 0
	}
	q.done = func(r reply) {
		sim.schedule(hop, func() { sim.handleReply(q, choice.Entry, allowLate, r) })
	}
	sim.schedule(hop, func() { sim.admit(q, to, allowLate) })
}

// handleReply handles a node's reply to an offer: it records an answer, or else offers
// the request to the next node. It refuses the request after its last offer, after the
// second shed, and after the first shed if the retry budget is used up.
func (sim *simulation) handleReply(q *request, e messages.Entry, allowLate bool, r reply) {
	k := sim.site.Kinds[q.caller.kind]
	q.callerNode.picker.Answered(sim.now, e, k.Name, r.load)
	if r.ran {
		q.callerNode.picker.Accepted(sim.now, e)
		sim.recordAnswer(q.caller)
		return
	}
	q.tried = append(q.tried, e.Node)
	retryAfter := r.refused.RetryAfter
	if r.shed {
		q.shedCount++
		retryAfter = retryafter.Shed
	} else if retryAfter > 0 {
		q.callerNode.picker.Refused(sim.now, e, retryAfter)
	}
	if retryAfter > 0 && (q.retryAfter == 0 || retryAfter < q.retryAfter) {
		q.retryAfter = retryAfter
	}
	if allowLate || r.shed && (q.shedCount >= 2 || !q.callerNode.budget.Take(sim.now, k.Service, len(sim.nodes))) {
		sim.refuse(q)
		return
	}
	sim.offer(q)
}

// admit passes a request to the gate of the server's node, which starts, queues or
// refuses it.
func (sim *simulation) admit(q *request, n *node, allowLate bool) {
	k := sim.site.Kinds[q.caller.kind]
	if n.down {
		q.done(reply{refused: gate.Refused{Rule: gate.RuleClosed}, load: sim.load(n, k)})
		return
	}
	r := gate.Request{ID: q.id, Class: k.Name, Rank: k.Rank, AllowLate: allowLate, Target: q.target, Deadline: q.deadline}
	if sim.disabled[Admission] {
		// All requests get the same rank and a distant target, so that only the length
		// of the queue and the order of arrival matter.
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
	sim.applyDecisions(n)
}

// applyDecisions runs or refuses queued requests as the node's gate decided.
func (sim *simulation) applyDecisions(n *node) {
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

// run runs a request that got a slot on the server. The run time is uniformly
// distributed between 0.6 and 1.4 times the mean.
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
				sim.schedule(0, func() { sim.applyDecisions(n) })
				return
			}
		}
	}
	sim.schedule(time.Duration(took), func() {
		n.gate.Done(sim.now, q.id, true)
		q.done(reply{ran: true, load: sim.load(n, k)})
		sim.applyDecisions(n)
	})
}

// load returns the load that a node reports in a reply to a request of a kind.
func (sim *simulation) load(n *node, k Kind) pick.Load {
	running, queued, limit := n.gate.Load()
	return pick.Load{Running: running, Queued: queued, Limit: limit, RunTime: n.gate.MeanRunTime(k.Name)}
}

// recordAnswer counts an answer by the time since the caller's first attempt, and adds
// its worth to the result.
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
	q.callerNode.refusedAttempts.Add(sim.now, refusals.Attempt{Key: c.key, Deadline: q.deadline, Target: q.target})
	left := q.deadline.Sub(sim.now)
	if c.attempts > k.Retries || left <= 0 {
		sim.result.Kinds[c.kind].Refused++
		return
	}
	sim.schedule(retryafter.Spread(q.retryAfter, left, sim.random.Float64()), func() { sim.attempt(c) })
}
