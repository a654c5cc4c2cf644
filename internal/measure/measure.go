// Package measure runs benchmarks of a fleet of nodes, the proxies beside backend
// servers. All nodes run in one process, against fakes of the platform and the
// backend servers.
//
// Each benchmark is bounded in time and count, reports the figures for which users
// set targets, and checks the product's guarantees while it runs, such as that a
// call that was refused has not run:
//
//	result, err := measure.Run(ctx, "flood", measure.Settings{Seed: 1, Deployment: "coni"})
//	for _, figure := range result.Figures {
//		fmt.Println(figure.Name, figure.Value, figure.Unit)
//	}
package measure

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
)

// Settings are the parameters of one benchmark.
type Settings struct {
	// Seed selects the random choices of the benchmark.
	Seed uint64 `json:"seed"`
	// Deployment is the users' deployment that the benchmark imitates if it does not
	// define a fleet of its own: coni or trinidad, see [localfleet.Coni] and
	// [localfleet.Trinidad]. Empty means coni.
	Deployment string `json:"deployment"`
	// Scale multiplies durations and counts, to shorten a benchmark in tests. 1
	// runs it in full, as do values of 0 and less.
	Scale float64 `json:"scale"`
}

// Result is the outcome of one benchmark.
type Result struct {
	Name     string   `json:"name"`
	Seed     uint64   `json:"seed"`
	Settings Settings `json:"settings"`
	// Seconds is the duration of the benchmark.
	Seconds float64  `json:"seconds"`
	Figures []Figure `json:"figures"`
	// PromisesBroken has a message for each violation of a guarantee. It is empty
	// if there was none.
	PromisesBroken []string `json:"promisesBroken"`
	// Series are the lines of the plots.
	Series []Series `json:"series,omitempty"`
}

// Figure is one measured or derived value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Unit is the unit of Value and Target, such as "ms" or "B/s a node".
	Unit string `json:"unit"`
	// Target is the users' bound on Value, or nil if there is none. It is an upper
	// or a lower bound, depending on the figure.
	Target *float64 `json:"target,omitempty"`
	// Met reports whether Value is within Target. It is nil if there is no target.
	Met *bool `json:"met,omitempty"`
}

// Series is one line of a plot.
type Series struct {
	// Plot is the title of the plot. All series with the same title share it.
	Plot  string    `json:"plot"`
	Name  string    `json:"name"`
	XUnit string    `json:"xUnit"`
	YUnit string    `json:"yUnit"`
	X     []float64 `json:"x"`
	Y     []float64 `json:"y"`
	// Labels name the values of X if these are categories. The series is then drawn as
	// bars.
	Labels []string `json:"labels,omitempty"`
}

// benchmark is a benchmark that [Run] can run by name.
type benchmark struct {
	name string
	// description is one line for listings.
	description string
	run         func(context.Context, *run) error
}

var benchmarks = []benchmark{
	{"convergence", "time until a change is in force on every node", convergence},
	{"control", "bytes, processor time and platform calls of control traffic", control},
	{"restart", "time until nodes that are started at once are ready", restart},
	{"rank", "service by priority slightly above capacity", rank},
	{"flood", "service of other calls while one priority overloads the fleet", flood},
	{"hop", "latency and processor time that two nodes add to a call", hop},
	{"drain", "calls cut off by graceful stops of nodes", drain},
	{"kill", "verdicts while nodes and servers are killed", kill},
	{"memory", "memory of a node", memory},
}

// Names returns the names of all benchmarks, in the order in which they run.
func Names() []string {
	names := make([]string, len(benchmarks))
	for i, m := range benchmarks {
		names[i] = m.name
	}
	return names
}

// Description returns a short description of a benchmark, or "" if there is no
// benchmark of that name.
func Description(name string) string {
	for _, m := range benchmarks {
		if m.name == name {
			return m.description
		}
	}
	return ""
}

// Run runs one benchmark. Violated guarantees are part of the result. The error
// is set if the name or the deployment is unknown, or if the benchmark could not be
// completed. In the latter case the result holds the figures so far.
func Run(ctx context.Context, name string, settings Settings) (Result, error) {
	i := slices.IndexFunc(benchmarks, func(m benchmark) bool { return m.name == name })
	if i < 0 {
		return Result{}, errors.Newf("no benchmark %q", name)
	}
	if settings.Scale <= 0 {
		settings.Scale = 1
	}
	r := &run{settings: settings}
	if r.shape = deployment(settings.Deployment); r.shape.Name == "" {
		return Result{}, errors.Newf("no deployment %q: want coni or trinidad", settings.Deployment)
	}
	started := time.Now()
	err := benchmarks[i].run(ctx, r)
	return Result{
		Name:           name,
		Seed:           settings.Seed,
		Settings:       settings,
		Seconds:        time.Since(started).Seconds(),
		Figures:        r.figures,
		PromisesBroken: append([]string{}, r.violations...),
		Series:         r.series,
	}, errors.Wrapf(err, "measure %s", name)
}

// run collects the results of one benchmark.
type run struct {
	settings Settings
	// shape is the fleet of Settings.Deployment.
	shape      localfleet.Shape
	figures    []Figure
	violations []string
	series     []Series
}

// deployment returns the fleet of a deployment, or the zero value if there is no
// deployment of that name.
func deployment(name string) localfleet.Shape {
	switch name {
	case "coni", "":
		return localfleet.Coni()
	case "trinidad":
		return localfleet.Trinidad()
	}
	return localfleet.Shape{}
}

// scaled returns a duration multiplied by the scale of the run.
func (r *run) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.settings.Scale)
}

// scaledCount returns a count multiplied by the scale of the run, but at least 1.
func (r *run) scaledCount(n int) int { return max(1, int(float64(n)*r.settings.Scale)) }

// addFigure adds a figure without a target.
func (r *run) addFigure(name string, value float64, unit string) {
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: unit})
}

// addMaxFigure adds a figure whose target is an upper bound.
func (r *run) addMaxFigure(name string, value float64, unit string, target float64) {
	met := value <= target
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: unit, Target: &target, Met: &met})
}

// addMinPercent adds a figure in percent whose target is a lower bound.
func (r *run) addMinPercent(name string, value, target float64) {
	met := value >= target
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: "%", Target: &target, Met: &met})
}

func (r *run) addViolations(violations ...string) {
	r.violations = append(r.violations, violations...)
}

func (r *run) addViolationf(format string, args ...any) {
	r.addViolations(fmt.Sprintf(format, args...))
}

// verify compares a load report with the executions that the backend servers
// recorded, and adds a violation for each contradiction.
func (r *run) verify(fleet *localfleet.Fleet, report *load.Report) {
	classes := make([]load.Class, 0, len(report.Classes))
	for _, c := range report.Classes {
		classes = append(classes, c.Class)
	}
	r.addViolations(load.Check(report.Calls, classes, fleet.Runs())...)
}

// start starts a fleet and waits until all nodes are ready and have agreed which of
// them keep the records of idempotency keys, which are called the homes of the keys.
// The caller must close the fleet.
func (r *run) start(ctx context.Context, shape localfleet.Shape) (*localfleet.Fleet, error) {
	fleet, err := localfleet.Start(ctx, shape)
	if err != nil {
		return nil, err
	}
	err = fleet.WaitReady(ctx, readyLimit)
	if err == nil {
		err = fleet.WaitHomes(ctx, readyLimit)
	}
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// readyLimit is how long a benchmark waits until all nodes are ready.
const readyLimit = 60 * time.Second

// quantile returns a percentile of durations by the nearest-rank method, in
// milliseconds, or NaN if there are none. 100 percent is the maximum.
func quantile(durations []time.Duration, percent float64) float64 {
	if len(durations) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	i := int(math.Ceil(percent/100*float64(len(sorted)))) - 1
	return milliseconds(sorted[max(0, i)])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
