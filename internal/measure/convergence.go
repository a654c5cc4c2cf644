package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/standin/partition"
	"lavenderdeal/internal/trial"
	"lavenderdeal/internal/wait"
)

const (
	// inForceTarget is the users' target for a change to be in force.
	inForceTarget = 4 * time.Second
	inForceLimit  = 20 * time.Second
	changePause   = 300 * time.Millisecond
	churnPause    = 250 * time.Millisecond
	cutDuration   = 3 * time.Second
	changesCalm   = 20
	changesOther  = 10
)

// convergence measures the time from the platform's acceptance of a change
// until each node has it in force.
func convergence(ctx context.Context, r *run) error {
	shape := trial.Uniform(4, r.count(12), 1000)
	fleet, err := r.start(ctx, shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	c := convergenceRun{run: r, fleet: fleet, monitor: monitor, random: rand.New(rand.NewPCG(r.settings.Seed, 0))}
	err = c.all(ctx)
	r.promise(monitor.Stop()...)
	return err
}

type convergenceRun struct {
	*run
	fleet   *trial.Fleet
	monitor *trial.Monitor
	random  *rand.Rand
	changes int
}

func (c *convergenceRun) all(ctx context.Context) error {
	for _, step := range []func(context.Context) error{c.calm, c.churn, c.platformOut, c.partition, c.herd} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *convergenceRun) calm(ctx context.Context) error {
	return c.changeOften(ctx, "calm", c.count(changesCalm))
}

// churn changes the plans while nodes are killed and started again.
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
	err := c.changeOften(ctx, "churn", c.count(changesOther))
	stop()
	if churnErr := group.Wait(); err == nil {
		err = churnErr
	}
	if err != nil {
		return err
	}
	return c.fleet.WaitReady(ctx, readyLimit)
}

// platformOut cuts one zone off from the platform alone: its changes come
// through the other zones.
func (c *convergenceRun) platformOut(ctx context.Context) error {
	c.fleet.Network.Cut(1, partition.PlatformZone)
	defer c.fleet.Network.Heal()
	wait.For(ctx, c.scaled(cutDuration))
	return c.changeOften(ctx, "platformOut", c.count(changesOther))
}

// partition cuts one zone off from everything, changes the plans and measures
// from the healing.
func (c *convergenceRun) partition(ctx context.Context) error {
	var durations []time.Duration
	for range c.count(3) {
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
				durations = append(durations, c.monitor.Reached(version, healed)[i.Node.ID()])
			}
		}
	}
	c.report("partition", durations)
	return nil
}

// herd kills every node of a zone at once, changes the plans and starts them.
func (c *convergenceRun) herd(ctx context.Context) error {
	var zone []*trial.Instance
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
		durations = append(durations, c.monitor.Reached(version, start)[i.Node.ID()])
	}
	c.report("herd", durations)
	return nil
}

// changeOften changes the plans several times and reports the time until they
// are in force on every node that runs all the while.
func (c *convergenceRun) changeOften(ctx context.Context, situation string, n int) error {
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
		for id, took := range c.monitor.Reached(version, start) {
			if before[id] {
				durations = append(durations, took)
			}
		}
	}
	c.report(situation, durations)
	return nil
}

// waitInForce waits until the version is in force everywhere. A version that is
// not, is a broken promise.
func (c *convergenceRun) waitInForce(ctx context.Context, situation string, version uint64) error {
	if err := c.fleet.WaitVersion(ctx, c.fleet.Running(), version, inForceLimit); err != nil {
		c.promisef("%s: version %d is not in force everywhere: %v", situation, version, err)
		return err
	}
	// The monitor looks at the nodes at its own pace.
	wait.For(ctx, 20*time.Millisecond)
	return nil
}

// change moves one customer to the same plan under another key.
func (c *convergenceRun) change(ctx context.Context) (version uint64, start time.Time, err error) {
	list := c.fleet.Shape.Customers
	c.changes++
	changed := &list.Customers[c.random.IntN(len(list.Customers))]
	changed.KeyHashes = []string{newKeyHash(c.settings.Seed, c.changes)}
	head, err := c.fleet.Apply(ctx, list, c.fleet.Shape.Plans)
	return head.Version, time.Now(), err
}

func (c *convergenceRun) report(situation string, durations []time.Duration) {
	target := millis(inForceTarget)
	c.figure(situation+".p50", quantile(durations, 50), "ms")
	c.atMost(situation+".p99", quantile(durations, 99), "ms", target)
	c.figure(situation+".max", quantile(durations, 100), "ms")
	c.series = append(c.series, distribution("convergence", situation, durations))
}

// distribution is the share of nodes that have a change in force over time.
func distribution(plot, name string, durations []time.Duration) Series {
	s := Series{Plot: plot, Name: name, XUnit: "ms", YUnit: "percent"}
	for percent := 1.0; percent <= 100; percent++ {
		s.X = append(s.X, quantile(durations, percent))
		s.Y = append(s.Y, percent)
	}
	return s
}

func nodeIDs(fleet *trial.Fleet) map[string]bool {
	ids := make(map[string]bool)
	for _, i := range fleet.Running() {
		ids[i.Node.ID()] = true
	}
	return ids
}
