package simulator

import (
	"slices"
	"time"
)

// updateServers marks servers as down or up for the second that begins. For that
// second it appends the slots of each service to slots, and no callers yet to demand.
func (sim *simulation) updateServers() {
	for _, n := range sim.nodes {
		n.down = false
		for _, e := range sim.pattern.Events {
			if g, ok := e.(Outage); ok && g.contains(sim.elapsed()) && g.Service == n.service && n.index < g.Servers {
				n.down = true
			}
		}
	}
	slots := make([]float64, len(sim.site.Services))
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		speed := n.speed
		for _, e := range sim.pattern.Events {
			if s, ok := e.(Slow); ok && s.contains(sim.elapsed()) && s.Service == n.service && n.index < s.Servers {
				speed /= s.Factor
			}
		}
		slots[n.service] += float64(sim.site.Services[n.service].Slots) * speed
	}
	sim.demand, sim.slots = append(sim.demand, make([]float64, len(sim.site.Kinds))), append(sim.slots, slots)
}

// maxWorth estimates the highest total worth: in each second, the slots go to the
// kinds with the highest worth per run time, and no answer is late. It considers each
// second on its own and takes every run time as the mean.
func (sim *simulation) maxWorth() float64 {
	order := make([]int, len(sim.site.Kinds))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return sim.site.Kinds[i].Worth / sim.site.Kinds[i].Work.Seconds() }
	slices.SortFunc(order, func(a, b int) int {
		if density(a) > density(b) {
			return -1
		}
		return 1
	})
	total := 0.0
	for second, slots := range sim.slots {
		left := slices.Clone(slots)
		for _, i := range order {
			k := sim.site.Kinds[i]
			service := slices.IndexFunc(sim.site.Services, func(s Service) bool { return s.Name == k.Service })
			served := min(sim.demand[second][i], left[service]/k.Work.Seconds())
			left[service] -= served * k.Work.Seconds()
			total += served * k.Worth
		}
	}
	return total
}

// event is a function that runs at a virtual time. Events with the same time run in
// the order of seq.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// eventQueue is a heap of events, earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
