package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/wait"
)

const (
	// restartZones is the number of zones and restartPerZone the number of nodes in each.
	restartZones   = 4
	restartPerZone = 30
	// slowPlatformDelay is the delay of each request to a slow platform.
	slowPlatformDelay = 200 * time.Millisecond
	// restartTarget is the users' limit on the time until all nodes of a fleet
	// that are started at once are ready.
	restartTarget = 30 * time.Second
)

// restart kills many nodes and starts them all at once: one zone, the whole
// fleet, the whole fleet with a slow platform, and one zone while the platform is
// down and the other zones still run.
func restart(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, localfleet.Uniform(restartZones, r.scaledCount(restartPerZone), controlCustomers))
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.addViolations(monitor.Stop()...) }()
	for _, situation := range []struct {
		name   string
		faults objectapi.Faults
		zones  int
	}{
		{"zone", objectapi.Faults{}, 1},
		{"fleet", objectapi.Faults{}, restartZones},
		{"fleetPlatformSlow", objectapi.Faults{Delay: slowPlatformDelay}, restartZones},
		{"zonePlatformOut", objectapi.Faults{Down: true}, 1},
	} {
		if err := r.restartZones(ctx, fleet, situation.name, situation.faults, situation.zones); err != nil {
			return err
		}
	}
	return nil
}

// restartZones kills all nodes of the first zones, starts them at once and adds figures
// of the time until each is ready and of the traffic until then. It returns an error
// if a node is not ready within readyLimit.
func (r *run) restartZones(ctx context.Context, fleet *localfleet.Fleet, name string, faults objectapi.Faults, zones int) error {
	var instances []*localfleet.Instance
	for _, i := range fleet.Running() {
		if i.Zone <= zones {
			instances = append(instances, i)
		}
	}
	for _, i := range instances {
		fleet.KillNode(i)
	}
	fleet.Store.SetFaults(faults)
	defer fleet.Store.SetFaults(objectapi.Faults{})
	calls := platformCalls(fleet.Store.Counts())
	start := time.Now()
	var group errgroup.Group
	for _, i := range instances {
		group.Go(func() error { return fleet.StartNode(i) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	ready, err := waitEachReady(ctx, instances, start)
	if err != nil {
		r.addViolationf("%s: %v", name, err)
		return err
	}
	bytes := 0.0
	for _, i := range instances {
		bytes += float64(i.Node.ControlTraffic().BytesOut)
	}
	elapsed := time.Since(start).Seconds()
	r.addFigure(name+".nodes", float64(len(instances)), "nodes")
	r.addFigure(name+".zones", float64(zones), "zones")
	r.addFigure(name+".readyP50", quantile(ready, 50), "ms")
	r.addMaxFigure(name+".readyMax", quantile(ready, 100), "ms", milliseconds(restartTarget))
	r.addFigure(name+".bytes", bytes/float64(len(instances)), "B a node")
	r.addMaxFigure(name+".platformCallsPerSecond", (platformCalls(fleet.Store.Counts())-calls)/elapsed, "calls/s", platformReadLimit)
	r.addFigure(name+".platformCallsPerNode", (platformCalls(fleet.Store.Counts())-calls)/float64(len(instances)), "calls a node")
	return fleet.WaitReady(ctx, readyLimit)
}

// waitEachReady returns the time from start until each node was ready, by index of the
// instance. It returns an error if a node is not ready within readyLimit.
func waitEachReady(ctx context.Context, instances []*localfleet.Instance, start time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ready := make([]time.Duration, len(instances))
	for missing := len(instances); missing > 0; {
		for n, i := range instances {
			if ready[n] == 0 && i.Node.Status().State == "ready" {
				ready[n] = time.Since(start)
				missing--
			}
		}
		wait.For(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return nil, errors.Newf("%d of %d nodes are not ready after %s", missing, len(instances), readyLimit)
		}
	}
	return ready, nil
}
