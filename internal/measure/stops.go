package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/trial"
	"lavenderdeal/internal/wait"
)

const (
	// leaveTarget is the users' limit for new work at a leaving server.
	leaveTarget   = 3 * time.Second
	stopsRate     = 150.0
	stopsWork     = 20 * time.Millisecond
	stopsDeadline = 5 * time.Second
	killPause     = 400 * time.Millisecond
	killDuration  = 12 * time.Second
	afterStop     = 500 * time.Millisecond
)

// drain stops every node of the first two zones, one after the other, while
// calls run, and counts the calls that were cut off.
func drain(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, r.shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	targets := fleet.Targets()
	var stopped []time.Duration
	loadCtx, stop := context.WithCancel(ctx)
	var report *load.Report
	var group errgroup.Group
	group.Go(func() error {
		report = load.Run(loadCtx, load.Plan{
			Targets: targets[len(targets)/2:], Classes: r.stopClasses(), Duration: time.Hour, Seed: r.settings.Seed,
		})
		return nil
	})
	// The load enters through the second half of the nodes; the first half is
	// stopped, since callers themselves choose the node that they enter by.
	for _, i := range fleet.Instances[:r.count(len(targets)/2)] {
		began := time.Now()
		if err := fleet.StopNode(ctx, i); err != nil {
			r.promisef("stop of %s: %v", i.Config.Service, err)
		}
		stopped = append(stopped, time.Since(began))
		if err := fleet.StartNode(i); err != nil {
			stop()
			return err
		}
		wait.For(ctx, afterStop)
	}
	wait.For(ctx, afterStop)
	stop()
	_ = group.Wait()
	r.check(fleet, report)
	cutOff, sent := 0, 0
	for _, c := range report.Classes {
		sent += c.Sent
		cutOff += c.Verdicts["mayHaveRun"] + c.Verdicts["broken"]
	}
	r.atMost("cutOff", float64(cutOff), "calls", 0)
	r.figure("calls", float64(sent), "calls")
	r.figure("stops", float64(len(stopped)), "stops")
	r.figure("stop.max", quantile(stopped, 100), "ms")
	for rule, n := range refusals(report) {
		r.figure("refused."+rule, float64(n), "calls")
	}
	return nil
}

// kill ends nodes and backend servers without notice while calls run, and
// compares the verdicts with the runs.
func kill(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, r.shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.promise(monitor.Stop()...) }()
	random := rand.New(rand.NewPCG(r.settings.Seed, 2))
	targets := fleet.Targets()
	var report *load.Report
	var group errgroup.Group
	group.Go(func() error {
		report = load.Run(ctx, load.Plan{Targets: targets, Classes: r.stopClasses(), Duration: r.scaled(killDuration), Seed: r.settings.Seed})
		return nil
	})
	kills := 0
	for start := time.Now(); time.Since(start) < r.scaled(killDuration)-killPause; kills++ {
		i := fleet.Instances[random.IntN(len(fleet.Instances))]
		if kills%3 == 2 {
			err = fleet.RestartServer(i)
		} else {
			fleet.KillNode(i)
			wait.For(ctx, killPause/4)
			err = fleet.StartNode(i)
		}
		if err != nil {
			return err
		}
		wait.For(ctx, killPause)
	}
	_ = group.Wait()
	r.check(fleet, report)
	verdicts := make(map[string]int)
	sent := 0
	for _, c := range report.Classes {
		sent += c.Sent
		for v, n := range c.Verdicts {
			verdicts[v] += n
		}
	}
	r.figure("kills", float64(kills), "kills")
	r.figure("calls", float64(sent), "calls")
	for v, n := range verdicts {
		r.figure("verdict."+v, float64(n), "calls")
	}
	r.atMost("brokenPromises", float64(len(r.broken)), "calls", 0)
	return nil
}

// stopClasses are reads and purchases of the deployment's second service.
func (r *run) stopClasses() []load.Class {
	service := r.shape.Services[1].Name
	customer := ""
	for _, c := range r.shape.Customers.Customers {
		if c.Plan == "depot" || c.Plan == "visitor" {
			customer = c.Name
		}
	}
	class := load.Class{
		Customer: customer, Priority: "high", Key: trial.Key(customer), Service: service, Path: "/",
		Rate: stopsRate, Work: stopsWork, Timeout: stopsDeadline,
	}
	read, plain, keyed := class, class, class
	read.Name, read.Method = "read", http.MethodGet
	plain.Name, plain.Method, plain.BodyBytes = "purchase", http.MethodPost, 300
	keyed.Name, keyed.Method, keyed.BodyBytes, keyed.Keyed = "keyed purchase", http.MethodPost, 300, true
	return []load.Class{read, plain, keyed}
}

func refusals(report *load.Report) map[string]int {
	rules := make(map[string]int)
	for _, c := range report.Classes {
		for rule, n := range c.Rules {
			rules[rule] += n
		}
	}
	return rules
}
