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
	// memoryTarget is the users' limit for a node, in MB.
	memoryTarget    = 256.0
	megabyte        = 1 << 20
	targetCustomers = 100000
	memoryNodes     = 4
	memorySettle    = 3 * time.Second
)

var (
	memoryCustomers = []int{1000, 10000, 50000}
	memoryPerZone   = []int{6, 12, 25, 40}
)

// memory measures the heap of a node for several numbers of customers and of
// members, and extrapolates to the users' target size.
func memory(ctx context.Context, r *run) error {
	var x, y []float64
	for _, n := range memoryCustomers {
		mb, err := heapPerNode(ctx, r, 2, memoryNodes/2, r.count(n))
		if err != nil {
			return err
		}
		r.addFigure(fmt.Sprintf("customers%d", n), mb, "MB a node")
		x, y = append(x, float64(n)), append(y, mb)
	}
	byCustomers := fit(x, y)
	x, y = nil, nil
	for _, n := range memoryPerZone {
		mb, err := heapPerNode(ctx, r, controlZones, r.count(n), controlCustomers)
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

// heapPerNode returns the live heap and stack memory of the process, the
// stand-ins included, divided by the number of nodes, in MB.
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

func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
