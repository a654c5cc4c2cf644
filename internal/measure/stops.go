package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/wait"
)

const (
	// leaveTarget is the users' limit on how long a leaving server still gets new
	// calls.
	leaveTarget = 3 * time.Second
	stopsRate   = 150.0 // calls per second in each class
	// stopsWork is how long a backend server runs each call.
	stopsWork = 20 * time.Millisecond
	// stopsDeadline is the timeout that is sent with a call.
	stopsDeadline = 5 * time.Second
	// killPause is the time from one kill or restart to the next.
	killPause    = 400 * time.Millisecond
	killDuration = 12 * time.Second
	// stopPause is the time from the restart of one stopped node to the stop of the next.
	stopPause = 500 * time.Millisecond
)

// drain gracefully stops and restarts the first half of the nodes one after the other
// while calls run. It counts the calls that were cut off, so that the caller does not
// know whether they ran.
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
	// The calls go to the second half of the nodes and only the first half is stopped,
	// because callers choose the node that they send to and could avoid a stopping one.
	for _, i := range fleet.Instances[:r.scaledCount(len(targets)/2)] {
		began := time.Now()
		if err := fleet.StopNode(ctx, i); err != nil {
			r.addViolationf("stop of %s: %v", i.Config.Service, err)
		}
		stopped = append(stopped, time.Since(began))
		if err := fleet.StartNode(i); err != nil {
			stop()
			return err
		}
		wait.For(ctx, stopPause)
	}
	wait.For(ctx, stopPause)
	stop()
	_ = group.Wait()
	r.verify(fleet, report)
	cutOff, sent := 0, 0
	for _, c := range report.Classes {
		sent += c.Sent
		cutOff += c.Verdicts["mayHaveRun"] + c.Verdicts["broken"]
	}
	r.addMaxFigure("cutOff", float64(cutOff), "calls", 0)
	r.addFigure("calls", float64(sent), "calls")
	r.addFigure("stops", float64(len(stopped)), "stops")
	r.addFigure("stop.max", quantile(stopped, 100), "ms")
	for rule, n := range refusalsByRule(report) {
		r.addFigure("refused."+rule, float64(n), "calls")
	}
	return nil
}

// kill kills nodes and restarts backend servers without notice while calls run. It
// compares the verdicts, which tell callers whether their calls ran, with the runs that
// the backend servers recorded.
func kill(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, r.shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	monitor := fleet.Monitor()
	defer func() { r.addViolations(monitor.Stop()...) }()
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
	r.verify(fleet, report)
	verdicts := make(map[string]int)
	sent := 0
	for _, c := range report.Classes {
		sent += c.Sent
		for v, n := range c.Verdicts {
			verdicts[v] += n
		}
	}
	r.addFigure("kills", float64(kills), "kills")
	r.addFigure("calls", float64(sent), "calls")
	for v, n := range verdicts {
		r.addFigure("verdict."+v, float64(n), "calls")
	}
	r.addMaxFigure("brokenPromises", float64(len(r.violations)), "calls", 0)
	return nil
}

// stopClasses returns classes of calls to the deployment's second service: reads, and
// purchases with and without an idempotency key.
func (r *run) stopClasses() []load.Class {
	service := r.shape.Services[1].Name
	customer := ""
	for _, c := range r.shape.Customers.Customers {
		if c.Plan == "depot" || c.Plan == "visitor" {
			customer = c.Name
		}
	}
	class := load.Class{
		Customer: customer, Priority: "high", Key: localfleet.Key(customer), Service: service, Path: "/",
		Rate: stopsRate, Work: stopsWork, Timeout: stopsDeadline,
	}
	read, plain, keyed := class, class, class
	read.Name, read.Method = "read", http.MethodGet
	plain.Name, plain.Method, plain.BodyBytes = "purchase", http.MethodPost, 300
	keyed.Name, keyed.Method, keyed.BodyBytes, keyed.Keyed = "keyed purchase", http.MethodPost, 300, true
	return []load.Class{read, plain, keyed}
}

// refusalsByRule returns the number of refused calls by the rule that refused them.
func refusalsByRule(report *load.Report) map[string]int {
	rules := make(map[string]int)
	for _, c := range report.Classes {
		for rule, n := range c.Rules {
			rules[rule] += n
		}
	}
	return rules
}
