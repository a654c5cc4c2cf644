package rollouts

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lavenderdeal/core/rollout"
	"lavenderdeal/io/view"
	messages "lavenderdeal/schema/roster"
)

// View returns the state of the last order for a service, or for all if it is empty, sorted by
// service.
func (r *Rollouts) View(service string) []view.Rollout {
	entries := r.fleet.Entries()
	now := time.Now()
	list := []view.Rollout{}
	r.mu.Lock()
	for name, o := range r.orders {
		if service == "" || name == service {
			list = append(list, o.view(now))
		}
	}
	r.mu.Unlock()
	slices.SortFunc(list, func(a, b view.Rollout) int { return strings.Compare(a.Service, b.Service) })
	for i := range list {
		list[i].Decider = r.decider(list[i].Service, entries).Node
	}
	return list
}

func (o *order) view(now time.Time) view.Rollout {
	m := o.message(now)
	v := view.Rollout{
		Service: m.Service, Order: m.Id, Target: m.Target, Phase: string(m.Phase), Reason: m.Reason, Settled: m.Settled,
		AgeMs: m.AgeMs, DurationMs: m.DurationMs, Held: m.Held,
	}
	if m.Phase == messages.RolloutOrderPhaseTrial {
		v.OnTrial, v.Weight = m.Servers, m.Weight
	}
	v.Requests, v.ForTrial = o.share.Counts()
	if o.facts != nil {
		v.Evidence = evidenceView(*o.facts)
		if o.plan != nil {
			v.Evidence.Suspect = o.plan.Suspect()
		}
	}
	return v
}

func evidenceView(f rollout.Facts) *view.Evidence {
	after := make(rollout.Tallies)
	for _, t := range f.Total.New {
		after.Merge(t)
	}
	classes := maps.Clone(after)
	classes.Merge(f.Total.Old)
	e := &view.Evidence{OldServers: len(f.Old), NewServers: len(f.New), Routes: []view.Route{}}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		e.Routes = append(e.Routes, view.Route{Route: class, Old: tallyView(f.Total.Old[class]), New: tallyView(after[class])})
	}
	return e
}

func tallyView(t rollout.Tally) view.Tally {
	return view.Tally{Runs: t.Runs, Failed: t.Failed, MedianMs: float64(t.Median().Microseconds()) / 1000}
}
