package mesh

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lavenderdeal/core/pick"
	"lavenderdeal/io/view"
	messages "lavenderdeal/schema/roster"
)

// maxClassesShown bounds the routes whose usual running times are shown for one server.
const maxClassesShown = 20

// maxBeliefs bounds the number of servers that are read at once, which holds up requests.
const maxBeliefs = 100

// view returns what the node shows to its operators.
func (n *Node) view(f view.Filter) view.View {
	own, load := n.members.Own(), n.local.Load("")
	v := view.View{
		Node: own.Node, Zone: own.Zone, Service: own.Service, Version: n.versions.Version(),
		Rollouts: []view.Rollout{}, Accounts: n.accountsView(f.Account), Servers: n.serversView(f.Service),
		Own: view.Own{
			Server: own.Server, State: string(own.State), Slots: load.Limit, Running: load.Running, Queued: load.Queued,
			Failing: load.FailureRate, RateLimit: n.local.RateLimit(), EjectedForMs: milliseconds(n.local.EjectedFor()),
		},
	}
	if n.rollouts != nil {
		v.Rollouts = n.rollouts.View(f.Service)
	}
	return v
}

// accountsView returns the accounts that have sent requests here or have their home here.
func (n *Node) accountsView(only string) []view.Account {
	byName := make(map[string]*view.Account)
	account := func(name string) *view.Account {
		if byName[name] == nil {
			byName[name] = &view.Account{Account: name}
		}
		return byName[name]
	}
	o := n.proxy.AccountOutcomes()
	for _, c := range []struct {
		counts map[string]uint64
		field  func(*view.Account) *uint64
	}{
		{o.Served, func(a *view.Account) *uint64 { return &a.Served }},
		{o.Refused, func(a *view.Account) *uint64 { return &a.Refused }},
		{o.Failed, func(a *view.Account) *uint64 { return &a.Failed }},
		{o.OverLimit, func(a *view.Account) *uint64 { return &a.OverLimit }},
		{o.Floods, func(a *view.Account) *uint64 { return &a.Floods }},
	} {
		for name, count := range c.counts {
			*c.field(account(name)) = count
		}
	}
	if n.quota != nil {
		for name, r := range n.quota.Reports(only) {
			account(name).Home = &view.Home{Room: r.Tokens, Rate: r.Rate, Demand: r.Demand, Lent: r.Lent, Borrowed: r.Borrowed, Excess: r.Excess}
		}
	}
	list := []view.Account{}
	for name, a := range byName {
		if only != "" && name != only {
			continue
		}
		a.Rate, a.Burst = n.limitOf(name)
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b view.Account) int { return strings.Compare(a.Account, b.Account) })
	return list
}

// limitOf returns the limit of an account in the configuration in force, or zeros.
func (n *Node) limitOf(name string) (rate, burst float64) {
	table := n.versions.Table()
	if table == nil || table.Accounts() == nil {
		return 0, 0
	}
	if a, ok := table.Accounts().ByName(name); ok {
		return a.Rate, a.Burst
	}
	return 0, 0
}

// serversView returns what the node believes of the servers of a service, or of all.
func (n *Node) serversView(service string) []view.Server {
	entries := slices.DeleteFunc(slices.Clone(n.members.Entries()), func(e messages.Entry) bool { return service != "" && e.Service != service })
	now := time.Now()
	list := make([]view.Server, 0, len(entries))
	var beliefs []pick.Belief
	for some := range slices.Chunk(entries, maxBeliefs) {
		beliefs = append(beliefs, n.proxy.Beliefs(some)...)
	}
	for i, b := range beliefs {
		e := entries[i]
		s := view.Server{
			Node: e.Node, Zone: e.Zone, Service: e.Service, State: string(e.State), Slots: e.Slots, SoftwareVersion: e.SoftwareVersion,
			Reachable: e.Node == n.members.Own().Node || n.members.IsReachable(e.Node), AgeMs: -1,
			Running: b.Load.Running, Queued: b.Load.Queued, Failing: b.Load.FailureRate, Outstanding: b.Outstanding,
			FullForMs: milliseconds(b.FullUntil.Sub(now)), ExcludedForMs: milliseconds(b.ExcludedUntil.Sub(now)), UsualMs: usualView(b),
		}
		if !b.ReportedAt.IsZero() {
			s.AgeMs = milliseconds(now.Sub(b.ReportedAt))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b view.Server) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Node, b.Node))
	})
	return list
}

func usualView(b pick.Belief) map[string]float64 {
	usual := make(map[string]float64)
	for _, class := range slices.Sorted(maps.Keys(b.RunTimes)) {
		if len(usual) < maxClassesShown {
			usual[class] = float64(b.RunTimes[class].Microseconds()) / 1000
		}
	}
	return usual
}

func milliseconds(d time.Duration) int { return int(max(0, d).Milliseconds()) }
