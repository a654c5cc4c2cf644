package measure

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/trial"
)

// The size that decides, from the users' letter.
const (
	letterNodes      = 3800
	letterZones      = 24
	letterChanges    = 3200
	letterRestarts   = 549
	daySeconds       = 86400
	bytesTarget      = 8000
	coreShareTarget  = 0.026
	settlePause      = 5 * time.Second
	idleDuration     = 10 * time.Second
	controlZones     = 4
	controlChanges   = 10
	controlRestarts  = 10
	restartPause     = 200 * time.Millisecond
	controlCustomers = 1000
	// platformReadLimit is how many reads a second the platform takes.
	platformReadLimit = 2000
)

// controlSize is the size of one fleet that is measured.
type controlSize struct {
	zones, perZone int
}

// The first series grows the zones, the second their number.
var (
	zoneSizes  = []controlSize{{4, 12}, {4, 25}, {4, 50}}
	zoneCounts = []controlSize{{2, 12}, {4, 12}, {8, 12}}
)

// controlSample is what one fleet spent.
type controlSample struct {
	controlSize
	// Idle figures are for a node and a second.
	idleBytes, idleCPU float64
	// Change figures are for a node and a change.
	changeBytes, changeCPU float64
	// Event figures are for a node and a restart of some node.
	eventBytes, eventCPU float64
	// Calls are calls to the platform, a second and a change.
	idleCalls, changeCalls float64
	byMethod               map[string]float64
}

// control measures what a node spends on control, at several sizes, and works
// out the ordinary day of the letter.
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
				r.sampleFigures(s)
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
	r.ordinaryDay(bySize, byCount)
	return nil
}

func controlAt(ctx context.Context, r *run, size controlSize) (controlSample, error) {
	fleet, err := r.start(ctx, trial.Uniform(size.zones, r.count(size.perZone), controlCustomers))
	if err != nil {
		return controlSample{}, err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.promise(monitor.Stop()...) }()
	n := len(fleet.Instances)
	s := controlSample{controlSize: size}
	pause(ctx, r.scaled(settlePause))

	before := spent(fleet)
	pause(ctx, r.scaled(idleDuration))
	idle := spent(fleet).since(before)
	s.idleBytes, s.idleCPU = idle.perNodeSecond(n)
	s.idleCalls = idle.calls / idle.seconds
	s.byMethod = make(map[string]float64, len(idle.byMethod))
	for method, bytes := range idle.byMethod {
		s.byMethod[method] = bytes / float64(n) / idle.seconds
	}

	changes := r.count(controlChanges)
	change, err := changeCost(ctx, r, fleet, changes)
	if err != nil {
		return s, err
	}
	s.changeBytes, s.changeCPU = change.beyond(s, n, changes)
	s.changeCalls = max(0, change.calls-s.idleCalls*change.seconds) / float64(changes)

	restarts := r.count(controlRestarts)
	event, err := restartCost(ctx, r, fleet, restarts)
	if err != nil {
		return s, err
	}
	s.eventBytes, s.eventCPU = event.beyond(s, n, restarts)
	return s, nil
}

func changeCost(ctx context.Context, r *run, fleet *trial.Fleet, changes int) (spending, error) {
	list := fleet.Shape.Customers
	before := spent(fleet)
	for i := range changes {
		list.Customers[i%len(list.Customers)].KeyHashes = []string{newKeyHash(r.settings.Seed, i)}
		head, err := fleet.Apply(ctx, list, fleet.Shape.Plans)
		if err != nil {
			return spending{}, err
		}
		if err := fleet.WaitVersion(ctx, fleet.Running(), head.Version, inForceLimit); err != nil {
			r.promisef("version %d is not in force everywhere: %v", head.Version, err)
			return spending{}, err
		}
	}
	pause(ctx, r.scaled(time.Second))
	return spent(fleet).since(before), nil
}

// restartCost kills and starts nodes one after the other. What the new nodes
// themselves spend to join counts too.
func restartCost(ctx context.Context, r *run, fleet *trial.Fleet, restarts int) (spending, error) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	before := spent(fleet)
	var lost spending
	for range restarts {
		i := fleet.Instances[random.IntN(len(fleet.Instances))]
		lost.bytes += float64(i.Node.ControlTraffic().BytesOut)
		fleet.KillNode(i)
		if err := fleet.StartNode(i); err != nil {
			return spending{}, err
		}
		pause(ctx, restartPause)
	}
	pause(ctx, r.scaled(settlePause))
	if err := fleet.WaitReady(ctx, readyLimit); err != nil {
		return spending{}, err
	}
	after := spent(fleet)
	after.bytes += lost.bytes
	return after.since(before), nil
}

// spending is what a fleet spent until now or between two moments.
type spending struct {
	at       time.Time
	seconds  float64
	bytes    float64
	cpu      float64
	calls    float64
	byMethod map[string]float64
}

func spent(fleet *trial.Fleet) spending {
	s := spending{at: time.Now(), cpu: processCPU().Seconds(), byMethod: make(map[string]float64)}
	for _, i := range fleet.Running() {
		traffic := i.Node.ControlTraffic()
		s.bytes += float64(traffic.BytesOut)
		for method, n := range traffic.ByMethod {
			s.byMethod[method] += float64(n)
		}
	}
	s.calls = platformCalls(fleet.Store.Counts())
	return s
}

func (s spending) since(before spending) spending {
	d := spending{
		seconds:  s.at.Sub(before.at).Seconds(),
		bytes:    s.bytes - before.bytes,
		cpu:      s.cpu - before.cpu,
		calls:    s.calls - before.calls,
		byMethod: make(map[string]float64),
	}
	for method, n := range s.byMethod {
		d.byMethod[method] = n - before.byMethod[method]
	}
	return d
}

func (s spending) perNodeSecond(nodes int) (bytes, cpu float64) {
	return s.bytes / float64(nodes) / s.seconds, s.cpu / float64(nodes) / s.seconds
}

// beyond returns what was spent beyond the idle fleet, for a node and an event.
func (s spending) beyond(idle controlSample, nodes, events int) (bytes, cpu float64) {
	bytes = s.bytes/float64(nodes) - idle.idleBytes*s.seconds
	cpu = s.cpu/float64(nodes) - idle.idleCPU*s.seconds
	return max(0, bytes) / float64(events), max(0, cpu) / float64(events)
}

func platformCalls(c objectapi.Counts) float64 { return float64(c.Reads + c.Writes) }

func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (r *run) sampleFigures(s controlSample) {
	at := fmt.Sprintf("%dx%d.", s.zones, s.perZone)
	r.figure(at+"idleBytes", s.idleBytes, "B/s a node")
	r.figure(at+"idleCore", 100*s.idleCPU, "% of a core a node")
	r.figure(at+"bytesPerChange", s.changeBytes, "B a node")
	r.figure(at+"cpuPerChange", 1e6*s.changeCPU, "us a node")
	r.figure(at+"bytesPerRestart", s.eventBytes, "B a node")
	r.figure(at+"cpuPerRestart", 1e6*s.eventCPU, "us a node")
	r.figure(at+"platformCallsIdle", s.idleCalls, "calls/s")
	r.figure(at+"platformCallsPerChange", s.changeCalls, "calls")
	for _, method := range slices.Sorted(maps.Keys(s.byMethod)) {
		r.figure(at+"idleBytes."+method, s.byMethod[method], "B/s a node")
	}
}

// ordinaryDay extrapolates the samples to the size of the letter.
func (r *run) ordinaryDay(bySize, byCount []controlSample) {
	at := func(name, unit string, value func(controlSample) float64) float64 {
		size := fitSamples(bySize, func(s controlSample) float64 { return float64(s.perZone) }, value)
		count := fitSamples(byCount, func(s controlSample) float64 { return float64(s.zones) }, value)
		atLetter := size.at(letterNodes/letterZones) + max(0, count.slope)*(letterZones-controlZones)
		r.figure("slope."+name+".zoneSize", size.slope, unit+" for each node of a zone")
		r.figure("slope."+name+".zones", count.slope, unit+" for each zone")
		r.figure("slope."+name+".spread", max(size.spread, count.spread), unit)
		r.figure("letter."+name, atLetter, unit)
		return atLetter
	}
	changes, restarts := float64(letterChanges)/daySeconds, float64(letterRestarts)/daySeconds
	bytes := at("idleBytes", "B/s a node", func(s controlSample) float64 { return s.idleBytes }) +
		changes*at("bytesPerChange", "B a node", func(s controlSample) float64 { return s.changeBytes }) +
		restarts*at("bytesPerRestart", "B a node", func(s controlSample) float64 { return s.eventBytes })
	core := at("idleCore", "% of a core a node", func(s controlSample) float64 { return 100 * s.idleCPU }) +
		changes*at("corePerChange", "% s a node", func(s controlSample) float64 { return 100 * s.changeCPU }) +
		restarts*at("corePerRestart", "% s a node", func(s controlSample) float64 { return 100 * s.eventCPU })
	calls := at("platformCallsIdle", "calls/s", func(s controlSample) float64 { return s.idleCalls }) +
		changes*at("platformCallsPerChange", "calls", func(s controlSample) float64 { return s.changeCalls })
	r.atMost("ordinaryDay.bytes", bytes, "B/s a node", bytesTarget)
	r.atMost("ordinaryDay.core", core, "% of a core a node", 100*coreShareTarget)
	r.atMost("ordinaryDay.platformCalls", calls, "calls/s", platformReadLimit)
	for _, s := range bySize {
		r.series = append(r.series, methodSeries(s))
	}
}

func methodSeries(s controlSample) Series {
	series := Series{Plot: "control bytes by kind", Name: fmt.Sprintf("%d zones of %d", s.zones, s.perZone), XUnit: "kind", YUnit: "B/s a node"}
	for i, method := range slices.Sorted(maps.Keys(s.byMethod)) {
		series.Labels = append(series.Labels, method)
		series.X = append(series.X, float64(i))
		series.Y = append(series.Y, s.byMethod[method])
	}
	return series
}

func fitSamples(samples []controlSample, size, value func(controlSample) float64) line {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, size(s)), append(y, value(s))
	}
	return fit(x, y)
}

func newKeyHash(seed uint64, n int) string {
	return plans.HashKey(fmt.Sprintf("changed-%d-%d", seed, n))
}
