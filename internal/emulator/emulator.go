// Package emulator plays loads on the decisions of the product in virtual time.
//
// # What is played
//
// A [Site] and a [Pattern] are data. Play runs the packages that decide in a real
// node — choice of server, admission, budget of repeats, callers that come back —
// with the times of a real fleet and no network, clock or process:
//
//	site := emulator.Sites()["trinidad"]
//	r := emulator.Play(site, emulator.Patterns()[0], emulator.Without(emulator.Returns))
//	fmt.Println(r.Kinds[0].InTime)
//
// # What is left out
//
// Calls that servers make, processor time and links of nodes, faults of nodes, and
// what the nodes of a fleet know late of each other. So the figures are above those
// of real runs; what they show is the difference that a mechanism makes.
package emulator

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
	// length of a pattern; what is asked in it is played to its end.
	length = 20 * time.Second
	// offers is the number of nodes that are asked for room, as in a node.
	offers = 3
	// repeatRatio and repeatSlack bound repeats, as on the users' sites.
	repeatRatio = 0.2
	repeatSlack = 60
)

// Mechanism can be switched off.
type Mechanism string

// The mechanisms.
const (
	// Admission by rank and time left; without it first come, first served.
	Admission Mechanism = "admission"
	// Choice by load; without it at random.
	Choice Mechanism = "choice"
	// Returns recognises callers that come back.
	Returns Mechanism = "returns"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism { return []Mechanism{Admission, Choice, Returns} }

// Option changes how a pattern is played.
type Option func(*world)

// Without switches a mechanism off.
func Without(m Mechanism) Option { return func(w *world) { w.off[m] = true } }

// WithSeed sets the seed of all chance. The default is 1.
func WithSeed(seed uint64) Option {
	return func(w *world) { w.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Result is what became of the callers.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Worth is what the answers were worth, and Limit what they could be worth at
	// most with the servers' slots.
	Worth float64 `json:"worth"`
	Limit float64 `json:"limit"`
}

// KindResult counts the callers of one kind.
type KindResult struct {
	Name    string `json:"name"`
	Asked   int    `json:"asked"`
	InTime  int    `json:"inTime"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
}

type world struct {
	site    Site
	pattern Pattern
	off     map[Mechanism]bool
	random  *rand.Rand
	start   time.Time
	now     time.Time
	events  queue
	order   uint64
	// nodes stand beside one server each.
	nodes  []*node
	result Result
	// demand and slots hold, by second, what was asked of each kind and what the
	// servers of each service can run at once, at speed one.
	demand [][]float64
	slots  [][]float64
}

type node struct {
	entry   messages.Entry
	zone    int
	service int
	// index among the servers of the service.
	index   int
	speed   float64
	gone    bool
	gate    *gate.Gate
	waiting map[uint64]*request
	picker  pick.Picker
	returns refusals.Table
	budget  *budget.Budget
}

// request is one attempt of a caller.
type request struct {
	id       uint64
	caller   *caller
	at       *node
	target   time.Time
	deadline time.Time
	tried    []string
	room     time.Duration
	arrivals int
	done     func(r reply)
}

type caller struct {
	kind     int
	key      uint64
	at       *node
	first    time.Time
	attempts int
}

// reply is what a node says of an offer.
type reply struct {
	ran     bool
	shed    bool
	refused gate.Refused
	load    pick.Load
}

// Play plays a pattern.
func Play(site Site, p Pattern, opts ...Option) Result {
	w := &world{site: site, pattern: p, off: make(map[Mechanism]bool), random: rand.New(rand.NewPCG(1, 0))}
	for _, opt := range opts {
		opt(w)
	}
	w.start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	w.now = w.start
	w.build()
	for second := range int(length / time.Second) {
		w.at(time.Duration(second)*time.Second, w.measure)
	}
	for i := range site.Kinds {
		w.result.Kinds = append(w.result.Kinds, KindResult{Name: site.Kinds[i].Name})
		w.at(0, func() { w.arrive(i) })
	}
	for len(w.events) > 0 {
		e, _ := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.result.Limit = w.limit()
	return w.result
}

func (w *world) build() {
	bound := budget.Bound{Ratio: repeatRatio, Slack: repeatSlack, Window: 10 * time.Second}
	for i, s := range w.site.Services {
		for j, zone := range s.Places {
			name := fmt.Sprintf("%s-%d", s.Name, j)
			n := &node{
				entry: messages.Entry{Node: name, Server: name, Epoch: 1, Zone: w.site.Zones[zone].Name, Service: s.Name, Slots: s.Slots, State: messages.EntryStateReady},
				zone:  zone, service: i, index: j, speed: s.Speeds[j], gate: gate.New(), waiting: make(map[uint64]*request), budget: budget.New(bound),
			}
			n.gate.SetLimit(w.now, s.Slots)
			w.nodes = append(w.nodes, n)
		}
	}
}

// at does something a time from now.
func (w *world) at(after time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(after), order: w.order, do: do})
}

func (w *world) since() time.Duration { return w.now.Sub(w.start) }

// arrive has a caller of a kind ask, and the next one later.
func (w *world) arrive(kind int) {
	if w.since() >= length {
		return
	}
	k := w.site.Kinds[kind]
	c := &caller{kind: kind, key: w.random.Uint64(), first: w.now}
	c.at = w.nodeOf(w.zone())
	w.result.Kinds[kind].Asked++
	w.demand[len(w.demand)-1][kind]++
	w.ask(c)
	w.at(time.Duration(w.random.ExpFloat64()*float64(time.Second)/w.rate(k, kind)), func() { w.arrive(kind) })
}

func (w *world) rate(k Kind, kind int) float64 {
	rate := k.PerSecond * w.pattern.Load
	for _, e := range w.pattern.Events {
		if b, ok := e.(Burst); ok && b.Kind == kind && b.holds(w.since()) {
			rate *= b.Times
		}
	}
	return rate
}

// zone returns the zone of the next caller.
func (w *world) zone() int {
	x, zone := w.random.Float64(), 0
	for zone < len(w.site.Zones)-1 && x >= w.site.Zones[zone].Part {
		x -= w.site.Zones[zone].Part
		zone++
	}
	for _, e := range w.pattern.Events {
		if s, ok := e.(Shift); ok && s.holds(w.since()) && zone == s.From && w.random.Float64() < s.Part {
			return s.To
		}
	}
	return zone
}

// nodeOf returns a node of a zone.
func (w *world) nodeOf(zone int) *node {
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes[w.random.IntN(len(nodes))]
}

// ask begins an attempt of a caller.
func (w *world) ask(c *caller) {
	k := w.site.Kinds[c.kind]
	c.attempts++
	w.order++
	q := &request{id: w.order, caller: c, at: c.at, target: w.now.Add(k.Target), deadline: c.first.Add(k.Deadline)}
	if first, ok := c.at.returns.Match(c.key, q.deadline); ok && !w.off[Returns] {
		q.target = first.Target
	}
	c.at.budget.RecordFirst(w.now, k.Service)
	w.offer(q)
}

// ready returns the nodes whose servers of a service take requests.
func (w *world) ready(service string) []messages.Entry {
	var entries []messages.Entry
	for _, n := range w.nodes {
		if n.entry.Service == service && !n.gone {
			entries = append(entries, n.entry)
		}
	}
	return entries
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.entry.Node == name {
			return n
		}
	}
	return nil
}

// offer asks the next node, or refuses.
func (w *world) offer(q *request) {
	k := w.site.Kinds[q.caller.kind]
	ready := w.ready(k.Service)
	choice, ok := q.at.picker.Pick(w.now, ready, pick.Request{
		Zone: q.at.entry.Zone, Class: k.Name, TimeLeft: q.target.Sub(w.now), Tried: q.tried, Random: w.random.Float64,
	})
	if w.off[Choice] && ok {
		choice = pick.Choice{Entry: ready[w.random.IntN(len(ready))], NoAlternative: len(q.tried) == offers-1}
	}
	if !ok || choice.Full || len(q.tried) == offers || !w.now.Before(q.deadline) {
		if q.room == 0 {
			q.room = retryafter.Full
		}
		w.refuse(q)
		return
	}
	q.at.picker.Sent(choice.Entry)
	to := w.node(choice.Entry.Node)
	patient := choice.NoAlternative || len(q.tried) == offers-1
	hop := w.site.Hop
	if to == q.at {
		hop = 0
	}
	q.done = func(r reply) {
		w.at(hop, func() { w.replied(q, choice.Entry, patient, r) })
	}
	w.at(hop, func() { w.admit(q, to, patient) })
}

// replied goes on with what a node said.
func (w *world) replied(q *request, e messages.Entry, patient bool, r reply) {
	k := w.site.Kinds[q.caller.kind]
	q.at.picker.Answered(w.now, e, k.Name, r.load)
	if r.ran {
		w.answered(q.caller)
		return
	}
	q.tried = append(q.tried, e.Node)
	room := r.refused.RetryAfter
	if r.shed {
		q.arrivals++
		room = retryafter.Shed
	} else if room > 0 {
		q.at.picker.Refused(w.now, e, room)
	}
	if room > 0 && (q.room == 0 || room < q.room) {
		q.room = room
	}
	if patient || r.shed && (q.arrivals >= 2 || !q.at.budget.Take(w.now, k.Service, len(w.nodes))) {
		w.refuse(q)
		return
	}
	w.offer(q)
}

// admit has the server's node decide.
func (w *world) admit(q *request, n *node, patient bool) {
	k := w.site.Kinds[q.caller.kind]
	if n.gone {
		q.done(reply{refused: gate.Refused{Rule: gate.RuleClosed}, load: w.load(n, k)})
		return
	}
	r := gate.Request{ID: q.id, Class: k.Name, Rank: k.Rank, AllowLate: patient, Target: q.target, Deadline: q.deadline}
	if w.off[Admission] {
		// Everybody is in time and of one rank, so that only the queue's length and the
		// order of arrival count.
		r.Rank, r.Target = 0, w.now.Add(time.Hour)
	}
	switch out := n.gate.Offer(w.now, r).(type) {
	case gate.Started:
		w.run(q, n)
	case gate.Queued:
		n.waiting[q.id] = q
		w.at(out.Until.Sub(w.now), func() {
			if n.gate.Cancel(q.id) {
				delete(n.waiting, q.id)
				q.done(reply{load: w.load(n, k)})
			}
		})
	case gate.Refused:
		q.done(reply{refused: out, load: w.load(n, k)})
	}
	w.decide(n)
}

// decide goes on with what waited.
func (w *world) decide(n *node) {
	for _, d := range append([]gate.Decision(nil), n.gate.Decisions()...) {
		q := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		switch out := d.Outcome.(type) {
		case gate.Started:
			w.run(q, n)
		case gate.Refused:
			q.done(reply{refused: out, load: w.load(n, w.site.Kinds[q.caller.kind])})
		}
	}
}

// run has the server run a request that has a slot.
func (w *world) run(q *request, n *node) {
	k := w.site.Kinds[q.caller.kind]
	took := float64(k.Work) / n.speed * (0.6 + 0.8*w.random.Float64())
	for _, e := range w.pattern.Events {
		switch e := e.(type) {
		case Slow:
			if e.holds(w.since()) && e.Service == n.service && n.index < e.Servers {
				took *= e.Times
			}
		case Shed:
			if e.holds(w.since()) && e.Service == n.service && w.random.Float64() < e.Part {
				n.gate.Done(w.now, q.id, false)
				q.done(reply{shed: true, load: w.load(n, k)})
				w.at(0, func() { w.decide(n) })
				return
			}
		}
	}
	w.at(time.Duration(took), func() {
		n.gate.Done(w.now, q.id, true)
		q.done(reply{ran: true, load: w.load(n, k)})
		w.decide(n)
	})
}

func (w *world) load(n *node, k Kind) pick.Load {
	running, queued, limit := n.gate.Load()
	return pick.Load{Running: running, Queued: queued, Limit: limit, RunTime: n.gate.MeanRunTime(k.Name)}
}

// answered counts an answer.
func (w *world) answered(c *caller) {
	k, r := w.site.Kinds[c.kind], &w.result.Kinds[c.kind]
	switch took := w.now.Sub(c.first); {
	case took <= k.Target:
		r.InTime++
		w.result.Worth += k.Worth
	case took <= k.Deadline:
		r.Late++
		w.result.Worth += k.Late
	default:
		r.Refused++
	}
}

// refuse tells a caller when to come back, and counts it when it does not.
func (w *world) refuse(q *request) {
	c, k := q.caller, w.site.Kinds[q.caller.kind]
	q.at.returns.Add(w.now, refusals.Attempt{Key: c.key, Deadline: q.deadline, Target: q.target})
	left := q.deadline.Sub(w.now)
	if c.attempts > k.Retries || left <= 0 {
		w.result.Kinds[c.kind].Refused++
		return
	}
	w.at(retryafter.Spread(q.room, left, w.random.Float64()), func() { w.ask(c) })
}
