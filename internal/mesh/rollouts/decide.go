package rollouts

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/core/rollout"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/roster"
)

const (
	// peerTimeout bounds a call to another node, which is milliseconds away.
	peerTimeout = 600 * time.Millisecond
	// statusInterval is the time between two attempts to write that an order is running.
	statusInterval = 5 * time.Second
	// storeCheckTime is the last part of an order's time, in which the store is read in each
	// step.
	storeCheckTime = 8 * time.Second
)

// The phases as nodes tell them.
var phases = map[rollout.Phase]messages.RolloutOrderPhase{
	rollout.Trial:      messages.RolloutOrderPhaseTrial,
	rollout.CutOver:    messages.RolloutOrderPhaseCutOver,
	rollout.Completed:  messages.RolloutOrderPhaseCompleted,
	rollout.RolledBack: messages.RolloutOrderPhaseRolledBack,
}

// Run follows the orders until ctx ends. It always returns nil.
func (r *Rollouts) Run(ctx context.Context, endpoint *peer.Endpoint) error {
	if r.call == nil {
		r.call = func(ctx context.Context, to netip.AddrPort, q messages.RolloutTell) (messages.RolloutTold, error) {
			return peer.Call[messages.RolloutTold](ctx, endpoint, to, methodRollout, q)
		}
	}
	var group errgroup.Group
	group.Go(func() error { r.follow(ctx); return nil })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		case <-r.wake:
		}
		r.tick(ctx)
	}
}

// tick decides on the orders for which this node is responsible, and finds out what has
// become of the others if nobody seems to decide on them.
func (r *Rollouts) tick(ctx context.Context) {
	entries := r.fleet.Entries()
	now := time.Now()
	r.mu.Lock()
	hasAppeared := r.recordVersionsLocked(now, entries)
	var open []string
	for service, o := range r.orders {
		if !o.isFinal() || !o.Settled || now.Sub(o.finalAt) < tellTime {
			open = append(open, service)
		}
	}
	needsList := !r.isListed && len(entries) > 1
	hasLost := false
	for _, o := range r.orders {
		hasLost = hasLost || o.isLost && now.Sub(o.statusTried) > statusInterval
	}
	r.mu.Unlock()
	switch {
	case (hasAppeared || hasLost) && r.isWatching():
		// An order for the version is likely, and the watch may hang. A status that was lost
		// could not be written.
		r.refresh(ctx)
	case needsList && !r.isWatching():
		r.readFirst(ctx)
	}
	// A node that does not answer holds up a round, which must not delay those of other
	// services.
	var rounds errgroup.Group
	defer func() { _ = rounds.Wait() }()
	for _, service := range open {
		decider := r.decider(service, entries)
		if decider.Node == r.node {
			rounds.Go(func() error { r.round(ctx, service, entries); return nil })
			continue
		}
		r.mu.Lock()
		o := r.orders[service]
		isLost := (!o.isFinal() || !o.Settled) && now.Sub(o.heard) > r.staleAfter && now.Sub(r.lastRefresh) > r.staleAfter
		r.mu.Unlock()
		if isLost {
			r.refresh(ctx)
			r.remind(ctx, service, decider)
		}
	}
}

// remind tells the node that is to decide on an order of it. It may not know the order, if
// the store has gone away just after others have read it there.
func (r *Rollouts) remind(ctx context.Context, service string, decider messages.Entry) {
	now := time.Now()
	r.mu.Lock()
	q := messages.RolloutTell{Orders: []messages.RolloutOrder{r.orders[service].message(now)}}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	told, err := r.call(ctx, decider.Peer, q)
	if err != nil {
		r.log.WriteLimited("notTold", log.Fields{"peer": decider.Node, "method": methodRollout, "error": err})
		return
	}
	r.merge(told.Orders)
}

// recordVersionsLocked records when each version of a service was first seen. It reports
// whether one has appeared for which there is no order.
func (r *Rollouts) recordVersionsLocked(now time.Time, entries []messages.Entry) (hasAppeared bool) {
	for _, e := range entries {
		if e.Server != "" {
			if r.lastSeen[e.Service] == nil {
				r.lastSeen[e.Service] = make(map[string]time.Time)
			}
			r.lastSeen[e.Service][e.SoftwareVersion] = now
		}
		if e.SoftwareVersion == "" {
			continue
		}
		if r.versions[e.Service] == nil {
			r.versions[e.Service] = make(map[string]time.Time)
		}
		if _, ok := r.versions[e.Service][e.SoftwareVersion]; !ok {
			r.versions[e.Service][e.SoftwareVersion] = now
			o := r.orders[e.Service]
			isOrdered := o != nil && o.Target == e.SoftwareVersion
			hasAppeared = hasAppeared || r.isHeldLocked(now, e.Service, e.SoftwareVersion) && !isOrdered
		}
	}
	for service, seen := range r.lastSeen {
		for version, at := range seen {
			if now.Sub(at) > forgetTime {
				delete(seen, version)
				delete(r.versions[service], version)
			}
		}
	}
	r.setActiveLocked()
	return hasAppeared
}

// hadOthersLocked reports whether servers of another version than the target were known since
// the order, or shortly before.
func (r *Rollouts) hadOthersLocked(o *order) bool {
	if o.isGood {
		return false
	}
	for version, at := range r.lastSeen[o.Service] {
		if version != o.Target && at.After(o.seen.Add(-seenMargin)) {
			return true
		}
	}
	return false
}

// isInForceLocked reports whether the target has been the only version since long before the
// order, or was found good before, so that its servers go on to get all requests.
func (r *Rollouts) isInForceLocked(o *order) bool {
	if o.isGood {
		return true
	}
	first, ok := r.versions[o.Service][o.Target]
	return ok && o.seen.Sub(r.started) > seenMargin && o.seen.Sub(first) > seenMargin && !r.hadOthersLocked(o)
}

// decider returns the entry of the node that decides on the order for a service. Nodes may
// disagree for a while: the share holds all the same, and the store takes one verdict.
func (r *Rollouts) decider(service string, entries []messages.Entry) messages.Entry {
	byName := make(map[string]messages.Entry)
	for _, e := range entries {
		if e.Node == r.node || e.State != messages.EntryStateStopping && r.fleet.IsReachable(e.Node) {
			byName[e.Node] = e
		}
	}
	top := rendezvous.Top("rollout/"+service, slices.Collect(maps.Keys(byName)), 1)
	if len(top) == 0 {
		return messages.Entry{Node: r.node}
	}
	return byName[top[0]]
}

// round tells all nodes what is known of an order, and decides on the next step by their
// evidence.
func (r *Rollouts) round(ctx context.Context, service string, entries []messages.Entry) {
	r.mu.Lock()
	o := r.orders[service]
	id, verdict := o.Id, o.verdict
	now := time.Now()
	needsStatus := !o.hasStatus && !o.isFinal() && now.Sub(o.statusTried) > statusInterval
	if needsStatus {
		o.statusTried = now
	}
	// Whether the store answers matters before the cut-over begins, and for its end.
	endsSoon := o.Phase == messages.RolloutOrderPhaseTrial && now.Sub(o.seen) > o.duration()-storeCheckTime ||
		o.Phase == messages.RolloutOrderPhaseCutOver && !r.canWrite
	o.heard = now
	r.mu.Unlock()
	evidence, requests := r.tellAll(ctx, service, entries)
	switch {
	case needsStatus:
		r.writeStatus(ctx, service, id, rollout.Step{Phase: rollout.Trial})
	case endsSoon:
		r.refresh(ctx)
	}
	now = time.Now()
	hasService := r.hasService(service)
	r.mu.Lock()
	if r.orders[service] != o || o.Id != id || rank(o.RolloutOrder) >= rankSettled {
		r.mu.Unlock()
		return
	}
	if verdict == nil || verdict.Phase == rollout.Completed {
		// What the store does not hold yet does not bind, and faults may show meanwhile.
		f := facts(o, entries, evidence)
		f.Requests, f.IsUnknown = requests, !hasService
		verdict = r.nextLocked(now, o, f)
	}
	r.mu.Unlock()
	if verdict != nil {
		r.settle(ctx, service, id, *verdict, entries)
	}
}

// nextLocked decides on the next step. It returns the verdict, or nil if there is none yet.
func (r *Rollouts) nextLocked(now time.Time, o *order, f rollout.Facts) *rollout.Step {
	if o.plan == nil {
		phase := rollout.Trial
		for p, name := range phases {
			if name == o.Phase {
				phase = p
			}
		}
		o.plan = rollout.Resume(rollout.Order{Target: o.Target, Duration: o.duration()}, r.share, phase, rollout.WithSlack(r.slack))
	}
	// A write that has failed is tried again.
	f.Age, f.CanWrite = now.Sub(o.seen), r.canWrite || o.verdict != nil
	f.HadOld = r.hadOthersLocked(o)
	step := o.plan.Next(f)
	o.facts = &f
	step.Reason = cmp.Or(step.Reason, o.Reason)
	before := o.Phase
	o.verdict = nil
	if step.Phase == rollout.Completed {
		// It binds once the store holds it.
		o.verdict = &step
		return o.verdict
	}
	o.Phase, o.Weight, o.Limit, o.Servers, o.Reason, o.lastFilter = phases[step.Phase], step.Weight, step.Limit, step.Servers, step.Reason, nil
	r.logOrder("rolloutStep", o.message(now), fieldsOf(f))
	if o.Phase != before {
		// Tell the nodes at once.
		r.wakeUp()
	}
	if step.Phase == rollout.RolledBack {
		o.finalAt = now
		o.verdict = &step
	}
	return o.verdict
}

// facts returns what the entries and the evidence of the nodes say.
func facts(o *order, entries []messages.Entry, evidence map[string]messages.RolloutEvidence) rollout.Facts {
	newWindow := func() rollout.Window {
		return rollout.Window{Old: make(rollout.Tallies), New: make(map[string]rollout.Tallies)}
	}
	f := rollout.Facts{Total: newWindow(), Recent: newWindow(), OldIdle: true}
	for _, e := range entries {
		if e.Service != o.Service {
			continue
		}
		ev, ok := evidence[e.Node]
		ok = ok && ev.Id == o.Id
		isNew := e.SoftwareVersion == o.Target
		if e.State == messages.EntryStateReady {
			s := rollout.Server{Node: e.Node, Slots: e.Slots, Reports: ok}
			if isNew {
				f.New = append(f.New, s)
			} else {
				f.Old = append(f.Old, s)
			}
		}
		if !isNew && e.Server != "" && e.State != messages.EntryStateWaiting && (!ok || !ev.Refusing || ev.Running > 0) {
			f.OldIdle = false
		}
		if !ok || ev.Version != e.SoftwareVersion {
			continue
		}
		total, recent := decode(ev.Total), decode(ev.Recent)
		if isNew {
			f.Total.New[e.Node], f.Recent.New[e.Node] = total, recent
			continue
		}
		f.Total.Old.Merge(total)
		f.Recent.Old.Merge(recent)
	}
	return f
}

// fieldsOf returns the evidence for the log.
func fieldsOf(f rollout.Facts) log.Fields {
	all := make(rollout.Tallies)
	for _, t := range f.Total.New {
		all.Merge(t)
	}
	return log.Fields{
		"oldServers": len(f.Old), "newServers": len(f.New), "oldRuns": f.Total.Old.Runs(), "oldFailed": f.Total.Old.Failed(),
		"newRuns": all.Runs(), "newFailed": all.Failed(), "oldIdle": f.OldIdle,
	}
}

// settle makes a verdict known and writes it to the store. That a version is bad binds
// before the store holds it; that it is good does not.
func (r *Rollouts) settle(ctx context.Context, service, id string, verdict rollout.Step, entries []messages.Entry) {
	if verdict.Phase == rollout.RolledBack {
		var group errgroup.Group
		group.Go(func() error { _, _ = r.tellAll(ctx, service, entries); return nil })
		defer func() { _ = group.Wait() }()
	}
	if !r.writeStatus(ctx, service, id, verdict) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	o := r.orders[service]
	if o == nil || o.Id != id || rank(o.RolloutOrder) >= rankSettled {
		r.mu.Unlock()
		return
	}
	o.Phase, o.Reason, o.Settled, o.Weight, o.Servers = phases[verdict.Phase], verdict.Reason, true, 0, nil
	o.finalAt, o.lastFilter = now, nil
	r.decided[string(o.Phase)]++
	m := o.message(now)
	r.mu.Unlock()
	r.logOrder("rolloutDecided", m, nil)
	r.wakeUp()
}

// tellAll tells all other nodes what this one knows of an order, and returns the evidence of
// the nodes of its service, this one included, and the number of requests since the order at
// all nodes that have answered.
func (r *Rollouts) tellAll(ctx context.Context, service string, entries []messages.Entry) (evidence map[string]messages.RolloutEvidence, requests int) {
	now := time.Now()
	r.mu.Lock()
	o := r.orders[service]
	q := messages.RolloutTell{Orders: []messages.RolloutOrder{o.message(now)}}
	r.mu.Unlock()
	evidence, requests = make(map[string]messages.RolloutEvidence), r.requests(q.Orders[0])
	if own := r.evidence(now); own != nil && own.Service == service {
		evidence[r.node] = *own
	}
	var mu sync.Mutex
	var group errgroup.Group
	for _, e := range entries {
		if e.Node == r.node {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			told, err := r.call(ctx, e.Peer, q)
			if err != nil {
				r.log.WriteLimited("notTold", log.Fields{"peer": e.Node, "method": methodRollout, "error": err})
				return nil
			}
			mu.Lock()
			requests += max(0, told.Requests)
			if told.Evidence != nil && told.Evidence.Service == service {
				evidence[e.Node] = *told.Evidence
			}
			mu.Unlock()
			r.merge(told.Orders)
			return nil
		})
	}
	_ = group.Wait()
	return evidence, requests
}

// merge merges what another node knows.
func (r *Rollouts) merge(list []messages.RolloutOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range list {
		r.mergeLocked(time.Now(), o, true)
	}
}
