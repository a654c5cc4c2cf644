package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/trial"
	"lavenderdeal/internal/wait"
)

const (
	restartZones   = 4
	restartPerZone = 30
	slowPlatform   = 200 * time.Millisecond
	// restartTarget is the longest time until a fleet that starts at once is
	// ready.
	restartTarget = 30 * time.Second
)

// restart kills every node of a fleet and starts all at once: with the platform
// well, slow, and out while another zone still runs.
func restart(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, trial.Uniform(restartZones, r.count(restartPerZone), controlCustomers))
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.promise(monitor.Stop()...) }()
	for _, situation := range []struct {
		name   string
		faults objectapi.Faults
		zones  int
	}{
		{"zone", objectapi.Faults{}, 1},
		{"fleet", objectapi.Faults{}, restartZones},
		{"fleetPlatformSlow", objectapi.Faults{Delay: slowPlatform}, restartZones},
		{"zonePlatformOut", objectapi.Faults{Down: true}, 1},
	} {
		if err := r.restartZones(ctx, fleet, situation.name, situation.faults, situation.zones); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) restartZones(ctx context.Context, fleet *trial.Fleet, name string, faults objectapi.Faults, zones int) error {
	var herd []*trial.Instance
	for _, i := range fleet.Running() {
		if i.Zone <= zones {
			herd = append(herd, i)
		}
	}
	for _, i := range herd {
		fleet.KillNode(i)
	}
	fleet.Store.SetFaults(faults)
	defer fleet.Store.SetFaults(objectapi.Faults{})
	calls := platformCalls(fleet.Store.Counts())
	start := time.Now()
	var group errgroup.Group
	for _, i := range herd {
		group.Go(func() error { return fleet.StartNode(i) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	ready, err := waitEachReady(ctx, herd, start)
	if err != nil {
		r.promisef("%s: %v", name, err)
		return err
	}
	bytes := 0.0
	for _, i := range herd {
		bytes += float64(i.Node.ControlTraffic().BytesOut)
	}
	elapsed := time.Since(start).Seconds()
	r.figure(name+".nodes", float64(len(herd)), "nodes")
	r.figure(name+".zones", float64(zones), "zones")
	r.figure(name+".readyP50", quantile(ready, 50), "ms")
	r.atMost(name+".readyMax", quantile(ready, 100), "ms", millis(restartTarget))
	r.figure(name+".bytes", bytes/float64(len(herd)), "B a node")
	r.atMost(name+".platformCallsPerSecond", (platformCalls(fleet.Store.Counts())-calls)/elapsed, "calls/s", platformReadLimit)
	r.figure(name+".platformCallsPerNode", (platformCalls(fleet.Store.Counts())-calls)/float64(len(herd)), "calls a node")
	return fleet.WaitReady(ctx, readyLimit)
}

// waitEachReady returns how long after start each node was ready.
func waitEachReady(ctx context.Context, herd []*trial.Instance, start time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ready := make([]time.Duration, len(herd))
	for missing := len(herd); missing > 0; {
		for n, i := range herd {
			if ready[n] == 0 && i.Node.Status().State == "ready" {
				ready[n] = time.Since(start)
				missing--
			}
		}
		wait.For(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return nil, errors.Newf("%d of %d nodes are not ready after %s", missing, len(herd), readyLimit)
		}
	}
	return ready, nil
}
