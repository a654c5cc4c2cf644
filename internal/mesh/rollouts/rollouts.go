// Package rollouts follows the operators' orders to move the requests of a service to
// servers of another version. It joins the decisions of core/rollout and core/exposure with
// the store, the other nodes and the requests of this one.
//
// # Parts
//
// The watching nodes read the orders from the store and tell them to all others. For each
// order one node decides, chosen by rendezvous hashing. Once a second it tells all nodes the
// step, and their answers carry the evidence. It writes the verdict into the order's status,
// on the condition that the order is as it was read. Any node can go on in its place, since
// all know the step and keep the evidence of their own servers.
//
// # Bounds
//
// Each node that sends requests keeps the share by itself, and the node beside a server
// refuses requests that its version must not get. So neither a late node nor one that is cut
// off exceeds the bound.
//
//	r := rollouts.New(own, fleet, client, log, rollouts.WithShare(0.1))
//	r.Handle(&mux)
//	group.Go(func() error { return r.Run(ctx, endpoint) })
package rollouts

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"lavenderdeal/core/exposure"
	"lavenderdeal/core/rollout"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/roster"
)

const (
	// safety is the part of the bound on the share that is used, and slackSafety that of the
	// requests in addition, of which each node may be ahead by a part of one.
	safety      = 0.7
	slackSafety = 0.4
	// tickInterval is the time between two steps.
	tickInterval = 1 * time.Second
	// recentSeconds is the length of the window for faults that begin late.
	recentSeconds = 5
	// tellTime is how long the verdict is repeated to all nodes.
	tellTime = 10 * time.Second
	// settleTime is how long after the deadline servers of other versions get nothing after
	// a completed roll-out, and those of the version of a withdrawn one.
	settleTime = 30 * time.Second
	// A version that appears beside another one later than startTime after the start of the
	// node gets nothing for holdTime, in which an order for it becomes known.
	startTime = 5 * time.Second
	holdTime  = 4 * time.Second
	// seenMargin is how long before an order a version is looked for: the servers of an entry
	// are recorded once a second, and later while other nodes or the store do not answer.
	seenMargin = 10 * time.Second
	// forgetTime is how long a version is remembered that no server has.
	forgetTime = 1 * time.Hour
	// defaultRollback is the time in which a bad version must get no more requests.
	defaultRollback = 5 * time.Second
	// staleDivisor is the part of that time after which a step is no longer followed.
	staleDivisor = 2

	methodRollout = "rollout"
)

// Fleet is what is known of the nodes.
type Fleet interface {
	// Entries returns the entries of all known nodes, sorted by node.
	Entries() []messages.Entry
	// Own returns this node's entry.
	Own() messages.Entry
	// IsReachable reports whether a node has answered lately.
	IsReachable(node string) bool
}

// Store is the platform's store.
type Store interface {
	Get(ctx context.Context, path string, timeout time.Duration) ([]byte, error)
	Put(ctx context.Context, path string, body []byte, timeout time.Duration) error
	// Era returns the highest era that the store has named, or 0 if it names none.
	Era() uint64
}

// Call sends what this node knows to another one.
type Call func(ctx context.Context, to netip.AddrPort, q messages.RolloutTell) (messages.RolloutTold, error)

// Rollouts is the node's view of the orders. It is safe for concurrent use. Lock order: mu
// is the only lock; nothing is called while it is held.
type Rollouts struct {
	fleet Fleet
	store Store
	log   *jsonlog.Log
	call  Call
	// node and service are those of this node.
	node, service string
	share, slack  float64
	// staleAfter is the age from which a step is not followed.
	staleAfter time.Duration
	// isWatching, hasService and running say whether this node watches the store, whether the
	// configuration has a service, and how many requests run on the own server.
	isWatching func() bool
	hasService func(service string) bool
	running    func() int
	started    time.Time
	// active is set while a service has an order or a version that is held.
	active atomic.Bool
	wake   chan struct{}

	mu     sync.Mutex
	orders map[string]*order
	// versions holds when each version of a service was first seen, and holds the versions
	// that get nothing yet since an order may become known, until when.
	versions map[string]map[string]time.Time
	// lastSeen holds when a server of each version of a service was last known.
	lastSeen map[string]map[string]time.Time
	// isListed is set once the orders were read from the store or from another node.
	isListed    bool
	lastRefresh time.Time
	// canWrite is set if the last call to the store was answered.
	canWrite bool
	decided  map[string]uint64
}

// order is the state of an order at this node.
type order struct {
	messages.RolloutOrder
	// seen is when the order was first seen by any node, and heard when its step was last
	// confirmed.
	seen, heard time.Time
	// finalAt is when this node learned of the verdict.
	finalAt time.Time
	share   *exposure.Share
	// plan is set at the node that decides.
	plan *rollout.Plan
	// facts are those of its last step.
	facts *rollout.Facts
	// verdict is the step that is to be written to the store, or nil.
	verdict *rollout.Step
	// isGood is set if the order before this one was completed for the same target.
	isGood bool
	// hasStatus is set once the store has a status of this order, and isLost while it lacks the
	// final one that it has held.
	hasStatus, isLost bool
	// statusTried is when this node last tried to write that the order is running, or a status
	// that the store has lost.
	statusTried time.Time
	// total and recent are the evidence of the own server, whose version is version.
	// recentAt is the second since the order that recent was filled for last.
	total      rollout.Tallies
	recent     [recentSeconds]rollout.Tallies
	recentAt   int64
	version    string
	lastFilter *filtered
}

// filtered caches the entries that Filter returned for one slice of ready ones.
type filtered struct {
	ready        []messages.Entry
	until        time.Time
	usual, tried []messages.Entry
}

// Option configures Rollouts.
type Option func(*Rollouts)

// WithShare sets the part of a service's requests that a version may get before it is known
// to be good. The default is a tenth.
func WithShare(share float64) Option { return func(r *Rollouts) { r.share = safety * share } }

// WithSlack sets how many requests a version may get beyond that part. The default is 0.
func WithSlack(requests float64) Option {
	return func(r *Rollouts) { r.slack = slackSafety * requests }
}

// WithRollback sets the time in which a bad version must get no more requests.
func WithRollback(d time.Duration) Option {
	return func(r *Rollouts) { r.staleAfter = d / staleDivisor }
}

// WithWatching sets the function that reports whether this node watches the store. The
// default is that it does.
func WithWatching(fn func() bool) Option { return func(r *Rollouts) { r.isWatching = fn } }

// WithServices sets the function that reports whether the configuration has a service. The
// default is that it has all.
func WithServices(fn func(string) bool) Option { return func(r *Rollouts) { r.hasService = fn } }

// WithRunning sets the function that returns the number of requests that run on the own
// server.
func WithRunning(fn func() int) Option { return func(r *Rollouts) { r.running = fn } }

// WithCall sets how other nodes are called, in place of the endpoint of Run.
func WithCall(fn Call) Option { return func(r *Rollouts) { r.call = fn } }

// New returns Rollouts without orders.
func New(f Fleet, s Store, l *jsonlog.Log, opts ...Option) *Rollouts {
	own := f.Own()
	r := &Rollouts{
		node: own.Node, service: own.Service, fleet: f, store: s, log: l, share: safety * 0.1, staleAfter: defaultRollback / staleDivisor,
		isWatching: func() bool { return true }, hasService: func(string) bool { return true }, running: func() int { return 0 },
		started: time.Now(), wake: make(chan struct{}, 1),
		orders: make(map[string]*order), versions: make(map[string]map[string]time.Time), lastSeen: make(map[string]map[string]time.Time), decided: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Handle registers the handler for messages of other nodes.
func (r *Rollouts) Handle(mux *peer.Mux) {
	peer.Handle(mux, methodRollout, func(_ context.Context, q messages.RolloutTell) (messages.RolloutTold, error) {
		return r.Answer(q), nil
	})
}

// Answer merges what another node tells and returns this node's evidence.
func (r *Rollouts) Answer(q messages.RolloutTell) messages.RolloutTold {
	var told messages.RolloutTold
	now := time.Now()
	r.mu.Lock()
	r.isListed = true
	for _, o := range q.Orders {
		if !r.mergeLocked(now, o, true) {
			if known := r.orders[o.Service]; known != nil && isLater(known.RolloutOrder, o) {
				told.Orders = append(told.Orders, known.message(now))
			}
		}
	}
	r.mu.Unlock()
	told.Evidence = r.evidence(now)
	if len(q.Orders) > 0 {
		told.Requests = r.requests(q.Orders[0])
	}
	return told
}

// requests returns how many requests callers have sent to this node since an order.
func (r *Rollouts) requests(of messages.RolloutOrder) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[of.Service]
	if o == nil || o.Id != of.Id {
		return 0
	}
	total, _ := o.share.Counts()
	return int(total)
}

// Choose counts a request of a class and returns true if it is for servers on trial.
func (r *Rollouts) Choose(service, class string) bool {
	if !r.active.Load() {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return false
	}
	o.share.SetLimit(max(r.share, o.Limit))
	return o.share.Next(class, r.weightLocked(now, o))
}

// weightLocked returns the part of the requests that the servers on trial get. It is zero
// if the node that decides has not been heard of lately.
func (r *Rollouts) weightLocked(now time.Time, o *order) float64 {
	if o.Phase != messages.RolloutOrderPhaseTrial || now.Sub(o.heard) > r.staleAfter {
		return 0
	}
	return o.Weight
}

// Filter returns the entries of the nodes that may get a request of a service: those on
// trial, or the others. The slice must not be modified.
func (r *Rollouts) Filter(service string, onTrial bool, ready []messages.Entry) []messages.Entry {
	if !r.active.Load() || len(ready) == 0 {
		return ready
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return r.withoutHeldLocked(now, service, ready)
	}
	c := o.lastFilter
	if c == nil || &c.ready[0] != &ready[0] || len(c.ready) != len(ready) || !now.Before(c.until) {
		c = &filtered{ready: ready, until: now.Add(tickInterval / 2)}
		for _, e := range ready {
			switch {
			case r.takesLocked(now, o, e.SoftwareVersion):
				c.usual = append(c.usual, e)
			case r.isOnTrialLocked(now, o, e.Node, e.SoftwareVersion):
				c.tried = append(c.tried, e)
			}
		}
		o.lastFilter = c
	}
	if onTrial {
		return c.tried
	}
	return c.usual
}

// withoutHeldLocked returns the entries without those of versions that have just appeared.
func (r *Rollouts) withoutHeldLocked(now time.Time, service string, ready []messages.Entry) []messages.Entry {
	isHeld := func(e messages.Entry) bool { return r.isHeldLocked(now, service, e.SoftwareVersion) }
	if !slices.ContainsFunc(ready, isHeld) {
		return ready
	}
	if rest := slices.DeleteFunc(slices.Clone(ready), isHeld); len(rest) > 0 {
		return rest
	}
	return ready
}

// isHeldLocked reports whether a version has appeared a moment ago.
func (r *Rollouts) isHeldLocked(now time.Time, service, version string) bool {
	first, ok := r.versions[service][version]
	return ok && first.Sub(r.started) > startTime && now.Sub(first) < holdTime
}

// takesLocked reports whether servers of a version get requests that are not for those on
// trial.
func (r *Rollouts) takesLocked(now time.Time, o *order, version string) bool {
	isTarget := version == o.Target
	if !isTarget && slices.Contains(o.Held, version) {
		return false
	}
	age := now.Sub(o.seen)
	switch o.Phase {
	case messages.RolloutOrderPhaseCutOver:
		return isTarget
	case messages.RolloutOrderPhaseCompleted:
		return isTarget || age > o.duration()+settleTime || o.isReleasedLater(version) && !r.isHeldLocked(now, o.Service, version)
	case messages.RolloutOrderPhaseWithdrawn:
		return !isTarget || age > o.duration()+settleTime
	case messages.RolloutOrderPhaseTrial:
		return !isTarget || r.isInForceLocked(o)
	default:
		return !isTarget
	}
}

// isReleasedLater reports whether a version is none of those that a completed order has
// replaced, as its servers appeared only after that.
func (o *order) isReleasedLater(version string) bool {
	return version != "" && len(o.Versions) > 0 && !slices.Contains(o.Versions, version)
}

// isOnTrialLocked reports whether the server beside a node gets the requests on trial.
func (r *Rollouts) isOnTrialLocked(now time.Time, o *order, node, version string) bool {
	return version == o.Target && r.weightLocked(now, o) > 0 && slices.Contains(o.Servers, node)
}

func (o *order) duration() time.Duration { return time.Duration(o.DurationMs) * time.Millisecond }

// isFinal reports whether the verdict is known.
func (o *order) isFinal() bool {
	return o.Phase != messages.RolloutOrderPhaseTrial && o.Phase != messages.RolloutOrderPhaseCutOver
}

// Refuses reports whether the own server gets no requests because of its version. The
// other nodes may not know it yet.
func (r *Rollouts) Refuses(version string) bool {
	if !r.active.Load() {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusesLocked(now, version)
}

func (r *Rollouts) refusesLocked(now time.Time, version string) bool {
	o := r.orders[r.service]
	return o != nil && !r.takesLocked(now, o, version) && !r.isOnTrialLocked(now, o, r.node, version)
}

// Observe counts a request that the own server has run.
func (r *Rollouts) Observe(run local.Run) {
	if !r.active.Load() {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[r.service]
	if o == nil || o.isFinal() {
		return
	}
	if o.version != run.Version {
		o.total, o.recent, o.version = nil, [recentSeconds]rollout.Tallies{}, run.Version
	}
	o.advance(now)
	for _, t := range []*rollout.Tallies{&o.total, &o.recent[o.recentAt%recentSeconds]} {
		if *t == nil {
			*t = make(rollout.Tallies)
		}
		tally := (*t)[run.Class]
		tally.Add(run.Took, run.Failed, run.Cold)
		(*t)[run.Class] = tally
	}
}

// advance empties the seconds of the recent window that have passed.
func (o *order) advance(now time.Time) {
	second := int64(now.Sub(o.seen) / time.Second)
	for ; o.recentAt < second; o.recentAt++ {
		o.recent[(o.recentAt+1)%recentSeconds] = nil
		if second-o.recentAt > 2*recentSeconds {
			o.recentAt = second - recentSeconds - 1
		}
	}
}

// evidence returns what the own server has run since the order for its service, or nil if
// there is none.
func (r *Rollouts) evidence(now time.Time) *messages.RolloutEvidence {
	ev := r.ranEvidence(now, r.fleet.Own())
	if ev != nil {
		// What began before the server refused requests is among those that run now.
		ev.Running = r.running()
	}
	return ev
}

// ranEvidence returns the evidence without the number of requests that run.
func (r *Rollouts) ranEvidence(now time.Time, own messages.Entry) *messages.RolloutEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[own.Service]
	if o == nil {
		return nil
	}
	o.advance(now)
	recent := make(rollout.Tallies)
	for _, t := range o.recent {
		recent.Merge(t)
	}
	return &messages.RolloutEvidence{
		Service: own.Service, Id: o.Id, Version: own.SoftwareVersion,
		Refusing: r.refusesLocked(now, own.SoftwareVersion), Total: encode(o.total), Recent: encode(recent),
	}
}

// encode returns the form of tallies that nodes exchange.
func encode(t rollout.Tallies) []messages.RolloutTally {
	var out []messages.RolloutTally
	for class, tally := range t {
		m := messages.RolloutTally{Class: class, Runs: tally.Runs, Failed: tally.Failed}
		for bucket, count := range tally.Times {
			if count > 0 {
				m.Buckets, m.Counts = append(m.Buckets, bucket), append(m.Counts, count)
			}
		}
		out = append(out, m)
	}
	return out
}

// decode returns the tallies that another node has sent.
func decode(list []messages.RolloutTally) rollout.Tallies {
	t := make(rollout.Tallies)
	for _, m := range list {
		tally := rollout.Tally{Runs: m.Runs, Failed: m.Failed}
		for i, bucket := range m.Buckets {
			if bucket >= 0 && bucket < rollout.Buckets && i < len(m.Counts) {
				tally.Times[bucket] += m.Counts[i]
			}
		}
		t[m.Class] = t[m.Class].Plus(tally)
	}
	return t
}

// Requests returns, by service, the requests of this node that were for servers on trial
// since the last order.
func (r *Rollouts) Requests() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]uint64, len(r.orders))
	for service, o := range r.orders {
		_, counts[service] = o.share.Counts()
	}
	return counts
}

// Decided returns how many orders this node has decided, by phase.
func (r *Rollouts) Decided() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]uint64, len(r.decided))
	for phase, n := range r.decided {
		counts[phase] = n
	}
	return counts
}

// PhaseNumber returns the phase of the last order for the own service: 0 for none, 1 for a
// trial, 2 for the cut-over, 3 for completed, 4 for rolled back and 5 for withdrawn.
func (r *Rollouts) PhaseNumber() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[r.service]
	if o == nil {
		return 0
	}
	return float64(1 + slices.Index([]messages.RolloutOrderPhase{
		messages.RolloutOrderPhaseTrial, messages.RolloutOrderPhaseCutOver, messages.RolloutOrderPhaseCompleted,
		messages.RolloutOrderPhaseRolledBack, messages.RolloutOrderPhaseWithdrawn,
	}, o.Phase))
}

// Orders returns the last order for each service, sorted by service.
func (r *Rollouts) Orders() []messages.RolloutOrder {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []messages.RolloutOrder
	for _, o := range r.orders {
		list = append(list, o.message(now))
	}
	slices.SortFunc(list, func(a, b messages.RolloutOrder) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// logOrder writes the state of an order to the log.
func (r *Rollouts) logOrder(kind string, o messages.RolloutOrder, more log.Fields) {
	f := log.Fields{
		"service": o.Service, "target": o.Target, "order": o.Id, "phase": o.Phase, "ageMs": o.AgeMs, "durationMs": o.DurationMs,
		"weight": o.Weight, "servers": o.Servers, "held": o.Held, "settled": o.Settled, "reason": o.Reason,
	}
	for name, value := range more {
		f[name] = value
	}
	r.log.WriteLimited(kind, f)
}
