// Package demo runs a demonstration of the product in one process on loopback: a
// stand-in platform and two availability zones with three nodes and backend
// servers each. While a small version of Coni's load is sent, it changes the plans,
// cuts a zone off and reconnects it, and overloads one service. It checks that the
// product keeps its guarantees meanwhile.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/standin/partition"
	"lavenderdeal/internal/wait"
	"lavenderdeal/schema/lists"
)

const (
	// readyLimit bounds the start of the fleet.
	readyLimit = 15 * time.Second
	// inForceLimit is the users' limit on the time until a change of the plans is
	// in force on every node.
	inForceLimit = 4 * time.Second
	seed         = 1
	// floodFactor is the rate of the flood as a multiple of the servers' capacity.
	floodFactor = 5.0
	// floodWork is the run time of each call in the flood.
	floodWork = 200 * time.Millisecond
	// percentile is the percentile of the latencies in the summary.
	percentile = 99
)

// Demo is one run of the demo.
type Demo struct {
	out           io.Writer
	duration      time.Duration
	duplicateCall bool

	fleet      *localfleet.Fleet
	monitor    *localfleet.Monitor
	started    time.Time
	violations []string
	// convergenceTimes holds, for each change of the plans, the time until it was in
	// force on every node. For a change during the partition, it counts from the end of
	// the partition.
	convergenceTimes []time.Duration
	// flood is the report of the permit scans, whose customer sends within its share
	// during the flood.
	flood *load.ClassReport
}

// Option configures a demo.
type Option func(*Demo)

// WithDuplicateCall makes the demo send one POST call twice without an idempotency
// key, to test that it detects a call that ran twice.
func WithDuplicateCall() Option { return func(d *Demo) { d.duplicateCall = true } }

// Run runs the demo and prints its progress and a summary to out. Calls are sent for
// the duration. If guarantees were violated, the error states how many times and
// describes the first violation.
func Run(ctx context.Context, out io.Writer, duration time.Duration, opts ...Option) error {
	d := &Demo{out: out, duration: duration, started: time.Now()}
	for _, opt := range opts {
		opt(d)
	}
	fleet, err := localfleet.Start(ctx, localfleet.Small())
	if err != nil {
		return err
	}
	defer fleet.Close()
	d.fleet = fleet
	d.printf("the platform has version 1 of the two lists; 6 nodes start in 2 availability zones")
	if err := fleet.WaitReady(ctx, readyLimit); err != nil {
		return err
	}
	d.printf("all nodes are ready and have discovered each other")
	if err := fleet.WaitHomes(ctx, readyLimit); err != nil {
		return err
	}
	d.printf("the homes of the idempotency keys are confirmed for each service")
	d.monitor = fleet.Monitor()
	report := d.runCallsAndEvents(ctx)
	d.violations = append(d.violations, d.monitor.Stop()...)
	d.violations = append(d.violations, load.Check(report.Calls, classes(), fleet.Runs())...)
	d.printSummary(report)
	if len(d.violations) > 0 {
		return errors.Newf("%d broken promises, first: %s", len(d.violations), d.violations[0])
	}
	return ctx.Err()
}

// runCallsAndEvents sends the calls while the events happen, and returns the report
// of the calls.
func (d *Demo) runCallsAndEvents(ctx context.Context) *load.Report {
	var report *load.Report
	var group errgroup.Group
	group.Go(func() error {
		report = load.Run(ctx, load.Plan{Targets: d.fleet.Targets(), Classes: classes(), Duration: d.duration, Seed: seed})
		return nil
	})
	group.Go(func() error { d.runEvents(ctx); return nil })
	_ = group.Wait()
	return report
}

// runEvents causes the events, about a fifth of the duration apart: a change of the
// plans, a partition with another change, and the flood.
func (d *Demo) runEvents(ctx context.Context) {
	step := d.duration / 5
	wait.For(ctx, step)
	d.applyAndWait(ctx, "an operator gives councils a new plan", withCouncilBookings(true))
	wait.For(ctx, step)
	d.printf("availability zone palermo is cut off from catania and from the platform")
	d.fleet.Network.Cut(2, 1)
	d.fleet.Network.Cut(2, partition.PlatformZone)
	wait.For(ctx, step/2)
	version := d.apply(ctx, "the operator reverts the new plan while palermo is cut off", withCouncilBookings(false))
	wait.For(ctx, step/2)
	d.printf("the network partition is over")
	d.fleet.Network.Heal()
	d.waitInForce(ctx, version, time.Now())
	d.floodFieldwork(ctx, step)
	if d.duplicateCall {
		d.sendDuplicate(ctx)
	}
}

// applyAndWait publishes a new version with these plans and waits until it is in force
// on every node.
func (d *Demo) applyAndWait(ctx context.Context, what string, plans lists.PlanList) {
	version := d.apply(ctx, what, plans)
	d.waitInForce(ctx, version, time.Now())
}

// apply publishes a new version with these plans and returns its number, or 0 if
// the platform did not accept it. The text what describes the change.
func (d *Demo) apply(ctx context.Context, what string, plans lists.PlanList) uint64 {
	head, err := d.fleet.Apply(ctx, d.fleet.Shape.Customers, plans)
	if err != nil {
		d.violations = append(d.violations, fmt.Sprintf("the change was not accepted: %v", err))
		return 0
	}
	d.printf("%s: version %d", what, head.Version)
	return head.Version
}

// waitInForce waits until a version is in force on every node and records the time since
// start. It records a violation if that takes longer than inForceLimit.
func (d *Demo) waitInForce(ctx context.Context, version uint64, start time.Time) {
	if version == 0 {
		return
	}
	if err := d.fleet.WaitVersion(ctx, d.fleet.Running(), version, inForceLimit); err != nil {
		d.violations = append(d.violations, fmt.Sprintf("version %d is not in force everywhere: %v", version, err))
		return
	}
	d.convergenceTimes = append(d.convergenceTimes, time.Since(start))
	d.printf("version %d is in force on every node after %s", version, time.Since(start).Round(time.Millisecond))
}

// floodFieldwork sends site photos at five times the capacity of the servers,
// together with permit scans of another customer at a quarter of the capacity.
func (d *Demo) floodFieldwork(ctx context.Context, duration time.Duration) {
	d.printf("site photos arrive at %.0f times the capacity of the fieldwork servers", floodFactor)
	scan := load.Class{
		Name: "permit scan", Customer: "depot-ledger", Priority: "normal", Key: localfleet.Key("depot-ledger"),
		Service: "fieldwork", Method: http.MethodPost, Path: "/scans", Work: floodWork, Timeout: 2 * time.Second, BodyBytes: 2000,
	}
	photo := scan
	photo.Name, photo.Customer, photo.Priority, photo.Key = "photo in the flood", "crew-palermo", "bulk", localfleet.Key("crew-palermo")
	slots := 0
	for _, i := range d.fleet.Running() {
		if i.Config.Service == scan.Service {
			slots += i.Config.Server.Slots
		}
	}
	capacity := float64(slots) / floodWork.Seconds()
	scan.Rate, photo.Rate = capacity/4, floodFactor*capacity
	classes := []load.Class{scan, photo}
	report := load.Run(ctx, load.Plan{Targets: d.fleet.Targets(), Classes: classes, Duration: duration, Seed: seed})
	d.violations = append(d.violations, load.Check(report.Calls, classes, d.fleet.Runs())...)
	d.flood = report.Classes[scan.Name]
}

// sendDuplicate sends the same booking twice without an idempotency key, and records a
// violation unless it ran exactly once.
func (d *Demo) sendDuplicate(ctx context.Context) {
	class := classes()[1]
	class.Keyed = false
	load.SendAttempt(ctx, class, d.fleet.Targets()[0], "doubled")
	load.SendAttempt(ctx, class, d.fleet.Targets()[0], "doubled")
	if runs := d.fleet.Runs()["doubled"]; runs != 1 {
		d.violations = append(d.violations, fmt.Sprintf("call doubled: POST ran %d times", runs))
	}
}

func (d *Demo) printSummary(report *load.Report) {
	fmt.Fprintln(d.out, "\nsummary")
	for _, took := range d.convergenceTimes {
		fmt.Fprintf(d.out, "  convergence time        %s until a change was in force on every node\n", took.Round(time.Millisecond))
	}
	fmt.Fprintf(d.out, "  control bytes           %.1f KB/s sent by each node\n", d.controlRate()/1000)
	for _, class := range classes() {
		c := report.Classes[class.Name]
		fmt.Fprintf(d.out, "  service of rank %-7s %4d calls, %5.1f%% in time, p%d %s (%s)%s\n", class.Priority, c.Sent,
			100*c.InTimeShare(), percentile, c.Percentile(percentile).Round(100*time.Microsecond), class.Name, refusals(c))
	}
	if d.flood != nil {
		fmt.Fprintf(d.out, "  service during a flood  %.1f%% of %d permit scans in time, p%d %s, while photos of less priority flooded their servers\n",
			100*d.flood.InTimeShare(), d.flood.Sent, percentile, d.flood.Percentile(percentile).Round(time.Millisecond))
	}
	fmt.Fprintf(d.out, "  broken promises         %d\n", len(d.violations))
	for _, violation := range d.violations {
		fmt.Fprintln(d.out, "    "+violation)
	}
}

// refusals returns the rules that refused calls of a class and how often, as text.
func refusals(c *load.ClassReport) string {
	text := ""
	for _, rule := range slices.Sorted(maps.Keys(c.Rules)) {
		text += fmt.Sprintf(", %d refused by %s", c.Rules[rule], rule)
	}
	return text
}

// controlRate returns the bytes per second of control traffic that each node sent since
// the start, on average.
func (d *Demo) controlRate() float64 {
	total := uint64(0)
	for _, i := range d.fleet.Running() {
		total += i.Node.ControlTraffic().BytesOut
	}
	return float64(total) / float64(len(d.fleet.Instances)) / time.Since(d.started).Seconds()
}

// printf prints a line of progress with the time since the start.
func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// classes returns the calls that are sent during the whole demo.
func classes() []load.Class {
	return []load.Class{
		{
			Name: "dawn stock check", Customer: "crew-catania", Priority: "urgent", Key: localfleet.Key("crew-catania"),
			Service: "availability", Method: http.MethodGet, Path: "/stock?depot=catania",
			Rate: 60, Work: 2 * time.Millisecond, Timeout: time.Second,
		},
		{
			Name: "booking", Customer: "depot-ledger", Priority: "high", Key: localfleet.Key("depot-ledger"),
			Service: "bookings", Method: http.MethodPost, Path: "/closures",
			Rate: 20, Work: 5 * time.Millisecond, Timeout: 2 * time.Second, BodyBytes: 400, Keyed: true,
		},
		{
			Name: "permit check", Customer: "council-agrigento", Priority: "normal", Key: localfleet.Key("council-agrigento"),
			Service: "availability", Method: http.MethodGet, Path: "/permits",
			Rate: 20, Work: 5 * time.Millisecond, Timeout: 2 * time.Second,
		},
		{
			Name: "site photo", Customer: "crew-palermo", Priority: "bulk", Key: localfleet.Key("crew-palermo"),
			Service: "fieldwork", Method: http.MethodPost, Path: "/photos",
			Rate: 4, Work: 20 * time.Millisecond, Timeout: 5 * time.Second, BodyBytes: 2 << 20,
		},
	}
}

// withCouncilBookings returns the plans of the demo's fleet. If high is set, bookings by
// councils have high instead of normal priority.
func withCouncilBookings(high bool) lists.PlanList {
	plans := localfleet.Small().Plans
	if high {
		plans.Plans[1].Uses[1].Priority = "high"
	}
	return plans
}
