package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/partition"
	"lavenderdeal/internal/wait"
)

const (
	// inForceTarget is the users' limit on the time until a change is in force.
	inForceTarget = 4 * time.Second
	// inForceLimit is the time after which a benchmark gives up waiting for it.
	inForceLimit = 20 * time.Second
	// changePause is the least time between two changes.
	changePause = 300 * time.Millisecond
	// churnPause is the time between two restarts during the churn.
	churnPause = 250 * time.Millisecond
	// cutDuration is the time from a cut to the first change or, in a partition from all
	// other zones, from the change to the end of the partition.
	cutDuration          = 3 * time.Second
	changesWithoutFaults = 20
	changesDuringFaults  = 10
)

// convergence measures the time from the platform's acceptance of a change
// until it is in force on each node.
func convergence(ctx context.Context, r *run) error {
	shape := localfleet.Uniform(4, r.scaledCount(12), 1000)
	fleet, err := r.start(ctx, shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	c := convergenceRun{run: r, fleet: fleet, monitor: monitor, random: rand.New(rand.NewPCG(r.settings.Seed, 0))}
	err = c.runSteps(ctx)
	r.addViolations(monitor.Stop()...)
	return err
}

// convergenceRun is the state of the benchmark "convergence".
type convergenceRun struct {
	*run
	fleet   *localfleet.Fleet
	monitor *localfleet.Monitor
	random  *rand.Rand
	// changes is the number of changes made so far.
	changes int
}

func (c *convergenceRun) runSteps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{c.withoutFaults, c.churn, c.platformOutage, c.partition, c.herd} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// withoutFaults measures changes in a fleet without faults.
func (c *convergenceRun) withoutFaults(ctx context.Context) error {
	return c.applyChanges(ctx, "calm", c.scaledCount(changesWithoutFaults))
}

// churn measures changes while random nodes are killed and restarted.
func (c *convergenceRun) churn(ctx context.Context) error {
	churnCtx, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		for churnCtx.Err() == nil {
			instances := c.fleet.Instances
			i := instances[c.random.IntN(len(instances))]
			c.fleet.KillNode(i)
			if err := c.fleet.StartNode(i); err != nil {
				return err
			}
			wait.For(churnCtx, churnPause)
		}
		return nil
	})
	err := c.applyChanges(ctx, "churn", c.scaledCount(changesDuringFaults))
	stop()
	if churnErr := group.Wait(); err == nil {
		err = churnErr
	}
	if err != nil {
		return err
	}
	return c.fleet.WaitReady(ctx, readyLimit)
}

// platformOutage measures changes while one zone cannot reach the platform and gets
// the changes through the other zones.
func (c *convergenceRun) platformOutage(ctx context.Context) error {
	c.fleet.Network.Cut(1, partition.PlatformZone)
	defer c.fleet.Network.Heal()
	wait.For(ctx, c.scaled(cutDuration))
	return c.applyChanges(ctx, "platformOut", c.scaledCount(changesDuringFaults))
}

// partition cuts one zone off from the other zones and the platform, makes a
// change and measures the convergence of that zone from the end of the partition.
func (c *convergenceRun) partition(ctx context.Context) error {
	var durations []time.Duration
	for range c.scaledCount(3) {
		for other := range len(c.fleet.Shape.Zones) {
			c.fleet.Network.Cut(len(c.fleet.Shape.Zones), other)
		}
		version, _, err := c.change(ctx)
		if err != nil {
			return err
		}
		wait.For(ctx, c.scaled(cutDuration))
		c.fleet.Network.Heal()
		healed := time.Now()
		if err := c.waitInForce(ctx, "partition", version); err != nil {
			return err
		}
		for _, i := range c.fleet.Running() {
			if i.Zone == len(c.fleet.Shape.Zones) {
				durations = append(durations, c.monitor.ConvergenceTimes(version, healed)[i.Node.ID()])
			}
		}
	}
	c.addTimes("partition", durations)
	return nil
}

// herd kills every node of a zone at once, makes a change, starts all of them at
// once and measures their convergence from the start.
func (c *convergenceRun) herd(ctx context.Context) error {
	var zone []*localfleet.Instance
	for _, i := range c.fleet.Running() {
		if i.Zone == 2 {
			zone = append(zone, i)
			c.fleet.KillNode(i)
		}
	}
	version, _, err := c.change(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for _, i := range zone {
		if err := c.fleet.StartNode(i); err != nil {
			return err
		}
	}
	if err := c.waitInForce(ctx, "herd", version); err != nil {
		return err
	}
	var durations []time.Duration
	for _, i := range zone {
		durations = append(durations, c.monitor.ConvergenceTimes(version, start)[i.Node.ID()])
	}
	c.addTimes("herd", durations)
	return nil
}

// applyChanges makes several changes one after the other and reports the time
// until each is in force on the nodes that ran throughout.
func (c *convergenceRun) applyChanges(ctx context.Context, situation string, n int) error {
	var durations []time.Duration
	for range n {
		before := nodeIDs(c.fleet)
		version, start, err := c.change(ctx)
		if err != nil {
			return err
		}
		wait.For(ctx, changePause)
		if err := c.waitInForce(ctx, situation, version); err != nil {
			return err
		}
		for id, took := range c.monitor.ConvergenceTimes(version, start) {
			if before[id] {
				durations = append(durations, took)
			}
		}
	}
	c.addTimes(situation, durations)
	return nil
}

// waitInForce waits until the version is in force on every running node. It adds
// a violation if that takes longer than inForceLimit.
func (c *convergenceRun) waitInForce(ctx context.Context, situation string, version uint64) error {
	if err := c.fleet.WaitVersion(ctx, c.fleet.Running(), version, inForceLimit); err != nil {
		c.addViolationf("%s: version %d is not in force everywhere: %v", situation, version, err)
		return err
	}
	// Wait until the monitor, which samples the nodes every 2 ms, has seen the version.
	wait.For(ctx, 20*time.Millisecond)
	return nil
}

// change replaces the key of one random customer. It returns the new version of the
// lists and the time at which the platform accepted it.
func (c *convergenceRun) change(ctx context.Context) (version uint64, start time.Time, err error) {
	list := c.fleet.Shape.Customers
	c.changes++
	changed := &list.Customers[c.random.IntN(len(list.Customers))]
	changed.KeyHashes = []string{newKeyHash(c.settings.Seed, c.changes)}
	head, err := c.fleet.Apply(ctx, list, c.fleet.Shape.Plans)
	return head.Version, time.Now(), err
}

// addTimes adds the figures and the plot of the times until changes were in force on
// the nodes.
func (c *convergenceRun) addTimes(situation string, durations []time.Duration) {
	target := milliseconds(inForceTarget)
	c.addFigure(situation+".p50", quantile(durations, 50), "ms")
	c.addMaxFigure(situation+".p99", quantile(durations, 99), "ms", target)
	c.addFigure(situation+".max", quantile(durations, 100), "ms")
	c.series = append(c.series, distribution("convergence", situation, durations))
}

// distribution returns the cumulative distribution of durations as a line of a plot.
func distribution(plot, name string, durations []time.Duration) Series {
	s := Series{Plot: plot, Name: name, XUnit: "ms", YUnit: "percent"}
	for percent := 1.0; percent <= 100; percent++ {
		s.X = append(s.X, quantile(durations, percent))
		s.Y = append(s.Y, percent)
	}
	return s
}

// nodeIDs returns the ids of the running nodes.
func nodeIDs(fleet *localfleet.Fleet) map[string]bool {
	ids := make(map[string]bool)
	for _, i := range fleet.Running() {
		ids[i.Node.ID()] = true
	}
	return ids
}
