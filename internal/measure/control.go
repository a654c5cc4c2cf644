package measure

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/wait"
)

// The size of the users' largest deployment, and their limits for a node of it:
// bytesTarget in B/s and coreShareTarget as a share of one core.
const (
	targetNodes          = 3800
	targetZones          = 24
	targetChangesPerDay  = 3200
	targetRestartsPerDay = 549
	secondsPerDay        = 86400
	bytesTarget          = 8000
	coreShareTarget      = 0.026
	settlePause          = 6 * time.Second
	idleDuration         = 6 * time.Second
	controlZones         = 4
	controlChanges       = 10
	controlRestarts      = 10
	restartSettle        = 4 * time.Second
	restartPause         = 200 * time.Millisecond
	controlCustomers     = 1000
	// platformReadLimit is the read limit of the platform, per second.
	platformReadLimit = 2000
)

// controlSize is the size of one measured fleet.
type controlSize struct {
	zones, perZone, customers int
}

// Each series varies one dimension: the nodes per zone, the number of zones, and
// the number of customers.
var (
	zoneSizes      = []controlSize{{4, 12, 1000}, {4, 25, 1000}, {4, 40, 1000}}
	zoneCounts     = []controlSize{{2, 12, 1000}, {4, 12, 1000}, {8, 12, 1000}}
	customerCounts = []controlSize{{4, 12, 1000}, {4, 12, 10000}, {4, 12, 40000}}
)

// controlSample is the control traffic and processor time of one fleet.
type controlSample struct {
	controlSize
	// Idle figures are per node and second: bytes, and seconds of processor time.
	idleBytes, idleCPU float64
	// Change figures are per node and change of the lists.
	changeBytes, changeCPU float64
	// Restart figures are per node and restart of any node in the fleet.
	restartBytes, restartCPU float64
	// Calls are calls of the whole fleet to the platform, per second and per
	// change.
	idleCalls, changeCalls float64
	// Busiest figures are those of the node that sent the most bytes: one that is
	// a zone reader, a representative and a status writer at once.
	busiestIdleBytes, busiestChangeBytes float64
	byMethod                             map[string]float64
}

// control measures the control traffic, processor time and platform calls of
// fleets of several sizes, and extrapolates them to an ordinary day at the users'
// target size.
func control(ctx context.Context, r *run) error {
	measured := make(map[controlSize]controlSample)
	series := func(sizes []controlSize) ([]controlSample, error) {
		var samples []controlSample
		for _, size := range sizes {
			s, ok := measured[size]
			if !ok {
				var err error
				if s, err = controlAt(ctx, r, size); err != nil {
					return nil, err
				}
				measured[size] = s
				r.addSampleFigures(s)
			}
			samples = append(samples, s)
		}
		return samples, nil
	}
	bySize, err := series(zoneSizes)
	if err != nil {
		return err
	}
	byCount, err := series(zoneCounts)
	if err != nil {
		return err
	}
	byCustomers, err := series(customerCounts)
	if err != nil {
		return err
	}
	extrapolation{run: r, bySize: bySize, byCount: byCount, byCustomers: byCustomers}.addDailyFigures()
	for _, s := range bySize {
		r.series = append(r.series, methodSeries(s))
	}
	return nil
}

func controlAt(ctx context.Context, r *run, size controlSize) (controlSample, error) {
	fleet, err := r.start(ctx, localfleet.Uniform(size.zones, r.count(size.perZone), r.count(size.customers)))
	if err != nil {
		return controlSample{}, err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.addViolations(monitor.Stop()...) }()
	n := len(fleet.Instances)
	s := controlSample{controlSize: size}
	wait.For(ctx, r.scaled(settlePause))

	before := currentUsage(fleet)
	wait.For(ctx, r.scaled(idleDuration))
	idle := currentUsage(fleet).since(before)
	s.idleBytes, s.idleCPU = idle.perNodeSecond(n)
	s.idleCalls = idle.calls / idle.seconds
	s.busiestIdleBytes = idle.busiest / idle.seconds
	s.byMethod = make(map[string]float64, len(idle.byMethod))
	for method, bytes := range idle.byMethod {
		s.byMethod[method] = bytes / float64(n) / idle.seconds
	}

	changes := r.count(controlChanges)
	change, err := changeCost(ctx, r, fleet, changes)
	if err != nil {
		return s, err
	}
	s.changeBytes, s.changeCPU = change.aboveIdle(s, n, changes)
	s.busiestChangeBytes = max(0, change.busiest-s.busiestIdleBytes*change.seconds) / float64(changes)
	s.changeCalls = max(0, change.calls-s.idleCalls*change.seconds) / float64(changes)

	restarts := r.count(controlRestarts)
	event, err := restartCost(ctx, r, fleet, restarts)
	if err != nil {
		return s, err
	}
	s.restartBytes, s.restartCPU = event.aboveIdle(s, n, restarts)
	return s, nil
}

func changeCost(ctx context.Context, r *run, fleet *localfleet.Fleet, changes int) (usage, error) {
	list := fleet.Shape.Customers
	before := currentUsage(fleet)
	for i := range changes {
		list.Customers[i%len(list.Customers)].KeyHashes = []string{newKeyHash(r.settings.Seed, i)}
		head, err := fleet.Apply(ctx, list, fleet.Shape.Plans)
		if err != nil {
			return usage{}, err
		}
		if err := fleet.WaitVersion(ctx, fleet.Running(), head.Version, inForceLimit); err != nil {
			r.addViolationf("version %d is not in force everywhere: %v", head.Version, err)
			return usage{}, err
		}
	}
	wait.For(ctx, r.scaled(time.Second))
	return currentUsage(fleet).since(before), nil
}

// restartCost kills and starts nodes one after the other. The result includes
// the cost of joining at the new nodes themselves.
func restartCost(ctx context.Context, r *run, fleet *localfleet.Fleet, restarts int) (usage, error) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	before := currentUsage(fleet)
	var lost usage
	for range restarts {
		i := fleet.Instances[random.IntN(len(fleet.Instances))]
		lost.bytes += float64(i.Node.ControlTraffic().BytesOut)
		fleet.KillNode(i)
		if err := fleet.StartNode(i); err != nil {
			return usage{}, err
		}
		wait.For(ctx, restartPause)
	}
	wait.For(ctx, r.scaled(restartSettle))
	if err := fleet.WaitReady(ctx, readyLimit); err != nil {
		return usage{}, err
	}
	after := currentUsage(fleet)
	after.bytes += lost.bytes
	return after.since(before), nil
}

func (r *run) addSampleFigures(s controlSample) {
	at := fmt.Sprintf("%dx%d.%dCustomers.", s.zones, s.perZone, s.customers)
	r.addFigure(at+"idleBytes", s.idleBytes, "B/s a node")
	r.addFigure(at+"busiestIdleBytes", s.busiestIdleBytes, "B/s")
	r.addFigure(at+"busiestBytesPerChange", s.busiestChangeBytes, "B")
	r.addFigure(at+"idleCore", 100*s.idleCPU, "% of a core a node")
	r.addFigure(at+"bytesPerChange", s.changeBytes, "B a node")
	r.addFigure(at+"cpuPerChange", 1e6*s.changeCPU, "us a node")
	r.addFigure(at+"bytesPerRestart", s.restartBytes, "B a node")
	r.addFigure(at+"cpuPerRestart", 1e6*s.restartCPU, "us a node")
	r.addFigure(at+"platformCallsIdle", s.idleCalls, "calls/s")
	r.addFigure(at+"platformCallsPerChange", s.changeCalls, "calls")
	for _, method := range slices.Sorted(maps.Keys(s.byMethod)) {
		r.addFigure(at+"idleBytes."+method, s.byMethod[method], "B/s a node")
	}
}

func newKeyHash(seed uint64, n int) string {
	return plans.HashKey(fmt.Sprintf("changed-%d-%d", seed, n))
}
