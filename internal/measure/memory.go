package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/wait"
)

const (
	// memoryTarget is the users' limit on the memory of a node, in megabytes.
	memoryTarget = 256.0
	// megabyte is the unit of the memory figures, in bytes.
	megabyte = 1 << 20
	// targetCustomers is the number of customers at the users' target size.
	targetCustomers = 100000
	// memoryNodes is the number of nodes of a fleet in which the number of customers is
	// varied.
	memoryNodes = 4
	// memorySettle is the time from the start of a fleet to its measurement.
	memorySettle = 3 * time.Second
)

var (
	// memoryCustomers are the measured numbers of customers.
	memoryCustomers = []int{1000, 10000, 50000}
	// memoryPerZone are the measured numbers of nodes in each of controlZones zones.
	memoryPerZone = []int{6, 12, 25, 40}
)

// memory measures the memory of a node for several numbers of customers and of members,
// which are the nodes of the fleet, and extrapolates to the users' target size (figure
// "letter").
func memory(ctx context.Context, r *run) error {
	var x, y []float64
	for _, n := range memoryCustomers {
		mb, err := heapPerNode(ctx, r, 2, memoryNodes/2, r.scaledCount(n))
		if err != nil {
			return err
		}
		r.addFigure(fmt.Sprintf("customers%d", n), mb, "MB a node")
		x, y = append(x, float64(n)), append(y, mb)
	}
	byCustomers := fit(x, y)
	x, y = nil, nil
	for _, n := range memoryPerZone {
		mb, err := heapPerNode(ctx, r, controlZones, r.scaledCount(n), controlCustomers)
		if err != nil {
			return err
		}
		r.addFigure(fmt.Sprintf("members%d", n*controlZones), mb, "MB a node")
		x, y = append(x, float64(n*controlZones)), append(y, mb)
	}
	byMembers := fit(x, y)
	r.addFigure("slope.customers", byCustomers.slope*1000, "MB for 1000 customers")
	r.addFigure("slope.members", byMembers.slope*1000, "MB for 1000 members")
	r.addFigure("slope.spread", max(byCustomers.spread, byMembers.spread), "MB")
	atTarget := byMembers.at(targetNodes) + byCustomers.slope*(targetCustomers-controlCustomers)
	r.addMaxFigure("letter", atTarget, "MB a node", memoryTarget)
	return nil
}

// heapPerNode starts a fleet and returns the live heap and stack memory that it adds to
// the process, divided by the number of nodes, in megabytes. The result includes the
// fakes of the platform and the backend servers.
func heapPerNode(ctx context.Context, r *run, zones, perZone, customers int) (float64, error) {
	before := liveHeap()
	fleet, err := r.start(ctx, localfleet.Uniform(zones, perZone, customers))
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	wait.For(ctx, r.scaled(memorySettle))
	return (liveHeap() - before) / float64(len(fleet.Instances)) / megabyte, nil
}

// liveHeap returns the live heap and the stacks of the process, in bytes. It collects
// garbage twice, because objects in a sync.Pool survive the first collection.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
