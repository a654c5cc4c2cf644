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

// The users' target size, which is that of their largest deployment, their limits for it,
// and the parameters of the benchmark.
const (
	targetNodes          = 3800
	targetZones          = 24
	targetChangesPerDay  = 3200
	targetRestartsPerDay = 549
	secondsPerDay        = 86400
	// bytesTarget is the limit on the control traffic that a node sends, in B/s.
	bytesTarget = 8000
	// coreShareTarget is the limit on the processor time of a node for control traffic,
	// as a share of one core.
	coreShareTarget = 0.026
	// settlePause is the time from the start of a fleet to the measurement of its idle
	// traffic.
	settlePause = 6 * time.Second
	// idleDuration is the time over which idle traffic is measured.
	idleDuration = 6 * time.Second
	// controlZones is the number of zones of a fleet in which it is not varied.
	controlZones = 4
	// controlChanges and controlRestarts are the numbers of changes and restarts over
	// which their cost is averaged.
	controlChanges  = 10
	controlRestarts = 10
	// restartSettle is the time after the last restart during which traffic still counts
	// as caused by the restarts.
	restartSettle = 4 * time.Second
	// restartPause is the time between two restarts.
	restartPause = 200 * time.Millisecond
	// controlCustomers is the number of customers of a fleet in which it is not varied.
	controlCustomers = 1000
	// platformReadLimit is the platform's rate limit for reads of all nodes together,
	// in calls per second.
	platformReadLimit = 2000
)

// controlSize is the size of one measured fleet: the number of zones, of nodes in each
// zone, and of customers.
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
	// idleBytes and idleCPU are the bytes sent and the seconds of processor time of a
	// node of the idle fleet, per second.
	idleBytes, idleCPU float64
	// changeBytes and changeCPU are those of a node for one change of the list of
	// customers, above the idle fleet.
	changeBytes, changeCPU float64
	// restartBytes and restartCPU are those of a node for one restart of any node in the
	// fleet, above the idle fleet.
	restartBytes, restartCPU float64
	// idleCalls and changeCalls are calls of the whole fleet to the platform: of the
	// idle fleet per second, and above that for one change.
	idleCalls, changeCalls float64
	// busiestIdleBytes and busiestChangeBytes are the bytes sent by the node that sent
	// the most, per second and for one change. This is a node that reads from the
	// platform for its zone, represents its zone towards other zones and writes the
	// zone's status.
	busiestIdleBytes, busiestChangeBytes float64
	// byMethod is idleBytes by the method of the message.
	byMethod map[string]float64
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

// controlAt measures a fleet of one size.
func controlAt(ctx context.Context, r *run, size controlSize) (controlSample, error) {
	fleet, err := r.start(ctx, localfleet.Uniform(size.zones, r.scaledCount(size.perZone), r.scaledCount(size.customers)))
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

	changes := r.scaledCount(controlChanges)
	changeUsage, err := changeCost(ctx, r, fleet, changes)
	if err != nil {
		return s, err
	}
	s.changeBytes, s.changeCPU = changeUsage.aboveIdle(s, n, changes)
	s.busiestChangeBytes = max(0, changeUsage.busiest-s.busiestIdleBytes*changeUsage.seconds) / float64(changes)
	s.changeCalls = max(0, changeUsage.calls-s.idleCalls*changeUsage.seconds) / float64(changes)

	restarts := r.scaledCount(controlRestarts)
	restartUsage, err := restartCost(ctx, r, fleet, restarts)
	if err != nil {
		return s, err
	}
	s.restartBytes, s.restartCPU = restartUsage.aboveIdle(s, n, restarts)
	return s, nil
}

// changeCost replaces the keys of one customer after the other, each time waiting until
// the change is in force on every node. It returns the usage of all changes together.
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

// restartCost kills and starts random nodes one after the other. It returns the usage
// of all restarts together, which includes that of the new nodes themselves while they
// join the fleet.
func restartCost(ctx context.Context, r *run, fleet *localfleet.Fleet, restarts int) (usage, error) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	before := currentUsage(fleet)
	// lost counts the bytes sent by killed nodes, whose own counters are lost.
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

// newKeyHash returns the hash of a new key, which is derived from the seed and n.
func newKeyHash(seed uint64, n int) string {
	return plans.HashKey(fmt.Sprintf("changed-%d-%d", seed, n))
}
