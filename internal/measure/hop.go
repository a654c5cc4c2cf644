package measure

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/forwarder"
	"lavenderdeal/internal/standin/partition"
)

const (
	// hopRate is the rate of the calls whose latency is measured, in calls per second.
	hopRate = 300.0
	// hopDuration is half of the time for which each of the three paths is measured,
	// over all hopRounds rounds.
	hopDuration = 5 * time.Second
	hopRounds   = 4
	// hopTarget is the users' limit on the 99th percentile of the latency that
	// two nodes add to a call.
	hopTarget = 700 * time.Microsecond
	// hopWorkers is the number of concurrent calls and closedLoopDuration the duration
	// of the closed-loop load of each path.
	hopWorkers         = 32
	closedLoopDuration = 4 * time.Second
)

// hop compares calls through two nodes with calls through two plain HTTP proxies and
// with direct calls to the backend server. The three alternate within one run, so that
// they all have the same conditions.
func hop(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, hopShape())
	if err != nil {
		return err
	}
	defer fleet.Close()
	entry, server := fleet.Instances[0], fleet.Instances[1]
	class := load.Class{
		Name: "hop", Customer: "crew-catania", Priority: "urgent", Key: localfleet.Key("crew-catania"),
		Service: "availability", Method: http.MethodGet, Path: "/stock", Rate: hopRate,
	}
	direct := class
	direct.Name, direct.Direct = "direct", true
	forwarders, closeForwarders, err := startForwarders(server.Config.Server.Address)
	if err != nil {
		return err
	}
	defer closeForwarders()
	var viaNodes, directRounds, viaForwarders []*load.ClassReport
	for range hopRounds {
		d := r.scaled(hopDuration / hopRounds * 2)
		viaForwarders = append(viaForwarders, r.hopRound(ctx, fleet, direct, forwarders, d))
		directRounds = append(directRounds, r.hopRound(ctx, fleet, direct, server.Config.Server.Address, d))
		viaNodes = append(viaNodes, r.hopRound(ctx, fleet, class, entry.Node.Addresses().Caller, d))
	}
	directP50, directP99 := medianQuantile(directRounds, 50), medianQuantile(directRounds, 99)
	nodesP50, nodesP99 := medianQuantile(viaNodes, 50), medianQuantile(viaNodes, 99)
	r.addFigure("direct.p50", directP50, "ms")
	r.addFigure("direct.p99", directP99, "ms")
	r.addFigure("forwarders.p50", medianQuantile(viaForwarders, 50), "ms")
	r.addFigure("forwarders.p99", medianQuantile(viaForwarders, 99), "ms")
	r.addFigure("nodes.p50", nodesP50, "ms")
	r.addFigure("nodes.p99", nodesP99, "ms")
	r.addFigure("added.p50", nodesP50-directP50, "ms")
	r.addMaxFigure("added.p99", nodesP99-directP99, "ms", milliseconds(hopTarget))
	r.addFigure("addedToForwarders.p50", nodesP50-medianQuantile(viaForwarders, 50), "ms")
	r.addFigure("addedToForwarders.p99", nodesP99-medianQuantile(viaForwarders, 99), "ms")
	return r.hopCost(ctx, fleet, class, direct)
}

// startForwarders starts a chain of two plain HTTP proxies in front of a server and
// returns the address of the first. Calls through the chain take as many connections as
// calls through two nodes.
func startForwarders(server netip.AddrPort) (first netip.AddrPort, closeAll func(), err error) {
	inner, err := httpserver.Start(partition.Addr(partition.PlatformZone, 1), forwarder.New(server))
	if err != nil {
		return first, nil, err
	}
	outer, err := httpserver.Start(partition.Addr(partition.PlatformZone, 2), forwarder.New(inner.Addr()))
	if err != nil {
		_ = inner.Close()
		return first, nil, err
	}
	return outer.Addr(), func() { _, _ = outer.Close(), inner.Close() }, nil
}

// hopShape returns a deployment of two nodes, of which only the second has a
// server of the called service, so that calls to the first take two nodes.
func hopShape() localfleet.Shape {
	shape := localfleet.Coni()
	shape.Zones = shape.Zones[:1]
	shape.Services = []localfleet.Service{
		{Name: "bookings", ServersPerZone: []int{1}, Slots: 64, Connections: 130},
		{Name: "availability", ServersPerZone: []int{1}, Slots: 64, Connections: 130},
	}
	return shape
}

// hopRound sends the calls of a class to one address for a duration and returns their
// results.
func (r *run) hopRound(ctx context.Context, fleet *localfleet.Fleet, class load.Class, target netip.AddrPort, d time.Duration) *load.ClassReport {
	report := load.Run(ctx, load.Plan{Targets: []netip.AddrPort{target}, Classes: []load.Class{class}, Duration: d, Seed: r.settings.Seed})
	r.verify(fleet, report)
	return report.Classes[class.Name]
}

// hopCost measures the processor time and allocations that two nodes add to a
// call, under closed-loop load.
func (r *run) hopCost(ctx context.Context, fleet *localfleet.Fleet, class, direct load.Class) error {
	entry, server := fleet.Instances[0], fleet.Instances[1]
	directCost, err := closedLoop(ctx, direct, server.Config.Server.Address, r.scaled(closedLoopDuration))
	if err != nil {
		return err
	}
	nodesCost, err := closedLoop(ctx, class, entry.Node.Addresses().Caller, r.scaled(closedLoopDuration))
	if err != nil {
		return err
	}
	cpu := nodesCost.cpu - directCost.cpu
	r.addFigure("cpuPerCall", 1e6*cpu, "us in two nodes")
	r.addFigure("callsPerCore", 1/cpu, "calls/s")
	r.addFigure("allocationsPerCall", nodesCost.allocations-directCost.allocations, "allocations in two nodes")
	r.addFigure("bytesAllocatedPerCall", nodesCost.allocated-directCost.allocated, "B in two nodes")
	return nil
}

// callCost is the cost of one call in the whole process: seconds of processor
// time, allocations and bytes allocated.
type callCost struct {
	cpu, allocations, allocated float64
}

// closedLoop sends calls from hopWorkers workers, each of which waits for an answer
// before its next call, and returns the mean cost of a call. It returns an error if no
// call was answered.
func closedLoop(ctx context.Context, class load.Class, target netip.AddrPort, d time.Duration) (callCost, error) {
	client := httpclient.New("hop", httpclient.WithMaxConnections(hopWorkers))
	defer client.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processCPU()
	calls := load.RunClosedLoop(ctx, client, class, target, hopWorkers, d)
	cpu = processCPU() - cpu
	runtime.ReadMemStats(&after)
	if calls == 0 {
		return callCost{}, errors.New("closed-loop load: no call was answered")
	}
	n := float64(calls)
	return callCost{
		cpu:         cpu.Seconds() / n,
		allocations: float64(after.Mallocs-before.Mallocs) / n,
		allocated:   float64(after.TotalAlloc-before.TotalAlloc) / n,
	}, nil
}

// medianQuantile returns the median of the rounds' percentiles, in
// milliseconds.
func medianQuantile(rounds []*load.ClassReport, percent float64) float64 {
	var values []time.Duration
	for _, round := range rounds {
		values = append(values, round.Percentile(percent))
	}
	return quantile(values, 50)
}
