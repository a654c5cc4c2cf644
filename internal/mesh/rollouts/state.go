package rollouts

import (
	"slices"
	"strings"
	"time"

	"lavenderdeal/core/exposure"
	messages "lavenderdeal/schema/roster"
)

// The ranks of the states of one order, in the order in which they supersede each other.
const (
	rankTrial = iota
	rankCutOver
	// rankBad is a verdict that the store may not hold yet. It binds at once.
	rankBad
	rankSettled
	rankWithdrawn
)

func rank(o messages.RolloutOrder) int {
	switch {
	case o.Phase == messages.RolloutOrderPhaseWithdrawn:
		return rankWithdrawn
	case o.Settled:
		return rankSettled
	case o.Phase == messages.RolloutOrderPhaseTrial:
		return rankTrial
	case o.Phase == messages.RolloutOrderPhaseCutOver:
		return rankCutOver
	}
	return rankBad
}

// isLater reports whether a supersedes b, a state of an order for the same service. The
// first verdict that the store holds stays. An order that was withdrawn may come back if the
// store does so from an older copy.
func isLater(a, b messages.RolloutOrder) bool {
	if a.Id != b.Id || rank(b) == rankWithdrawn && rank(a) != rankWithdrawn {
		return isNewer(a, b)
	}
	return rank(a) > rank(b)
}

// isNewer reports whether a was seen at a later state of the store than b. Revisions are
// given out again when the store comes back from an older copy.
func isNewer(a, b messages.RolloutOrder) bool {
	if a.Era != b.Era {
		return a.Era > b.Era
	}
	return a.Revision > b.Revision
}

// mergeLocked merges the state of an order that the store or another node has, and returns
// whether it supersedes the known one. Steps of the same rank replace each other; the store
// holds none.
func (r *Rollouts) mergeLocked(now time.Time, o messages.RolloutOrder, hasStep bool) bool {
	if o.Service == "" || o.Target == "" || o.DurationMs <= 0 {
		return false
	}
	seen := now.Add(-time.Duration(max(0, o.AgeMs)) * time.Millisecond)
	known := r.orders[o.Service]
	if known == nil || known.Id != o.Id {
		if known != nil && !isLater(o, known.RolloutOrder) {
			return false
		}
		created := &order{RolloutOrder: o, seen: seen, heard: now, share: exposure.New(r.share, r.node+"/"+o.Id)}
		created.Held = union(created.Held, heldBy(known, o.Target))
		created.isGood = known != nil && known.Target == o.Target && known.Phase == messages.RolloutOrderPhaseCompleted && known.Settled
		r.orders[o.Service] = created
		if created.isFinal() {
			created.finalAt = now
		}
		r.setActiveLocked()
		r.wakeUp()
		return true
	}
	isLater := isLater(o, known.RolloutOrder)
	if isNewer(o, known.RolloutOrder) {
		known.Revision, known.Era = o.Revision, o.Era
	}
	known.Held = union(known.Held, o.Held)
	if seen.Before(known.seen) {
		known.seen = seen
	}
	switch {
	case isLater:
		revision, era, held := known.Revision, known.Era, known.Held
		if known.Phase == messages.RolloutOrderPhaseWithdrawn {
			known.plan, known.facts, known.verdict = nil, nil, nil
		}
		known.RolloutOrder = o
		known.Revision, known.Era, known.Held = revision, era, held
		known.heard, known.lastFilter = now, nil
		if known.isFinal() {
			known.finalAt = now
		}
		r.wakeUp()
		return true
	case hasStep && rank(o) == rank(known.RolloutOrder):
		known.heard = now
		if rank(o) < rankBad {
			known.Weight, known.Limit, known.Servers, known.lastFilter = o.Weight, o.Limit, o.Servers, nil
		}
	}
	return false
}

// heldBy returns the versions that get nothing because of an order that another one
// replaces: they are not known to be good.
func heldBy(replaced *order, target string) []string {
	if replaced == nil {
		return nil
	}
	held := replaced.Held
	switch replaced.Phase {
	case messages.RolloutOrderPhaseTrial, messages.RolloutOrderPhaseRolledBack, messages.RolloutOrderPhaseWithdrawn:
		held = union(held, []string{replaced.Target})
	}
	return slices.DeleteFunc(slices.Clone(held), func(v string) bool { return v == target })
}

func union(a, b []string) []string {
	out := slices.Clone(a)
	for _, v := range b {
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// setActiveLocked sets whether requests are checked at all.
func (r *Rollouts) setActiveLocked() {
	now := time.Now()
	active := len(r.orders) > 0
	for service, versions := range r.versions {
		for version := range versions {
			active = active || r.isHeldLocked(now, service, version)
		}
	}
	r.active.Store(active)
}

// message returns the order as it is told to other nodes.
func (o *order) message(now time.Time) messages.RolloutOrder {
	m := o.RolloutOrder
	m.AgeMs = int(now.Sub(o.seen).Milliseconds())
	return m
}

// wakeUp makes the loop of Run act at once.
func (r *Rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
