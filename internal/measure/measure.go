// Package measure runs real nodes in one process against the stand-ins and
// reports what the users measure.
//
// Each measure is bounded in time and count, and checks the promises while it
// runs:
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
	"lavenderdeal/internal/trial"
)

// Settings are those of one measure.
type Settings struct {
	Seed uint64 `json:"seed"`
	// Deployment is coni or trinidad.
	Deployment string `json:"deployment"`
	// Scale shortens a measure for tests; 1 is the whole of it.
	Scale float64 `json:"scale"`
}

// Result is what one measure found.
type Result struct {
	Name     string   `json:"name"`
	Seed     uint64   `json:"seed"`
	Settings Settings `json:"settings"`
	// Seconds is how long the measure took.
	Seconds float64  `json:"seconds"`
	Figures []Figure `json:"figures"`
	// PromisesBroken is empty when every promise held.
	PromisesBroken []string `json:"promisesBroken"`
	// Series are for plots.
	Series []Series `json:"series,omitempty"`
}

// Figure is one number.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the stated target, if there is one.
	Target *float64 `json:"target,omitempty"`
	Met    *bool    `json:"met,omitempty"`
}

// Series is one line of a plot.
type Series struct {
	Plot  string    `json:"plot"`
	Name  string    `json:"name"`
	XUnit string    `json:"xUnit"`
	YUnit string    `json:"yUnit"`
	X     []float64 `json:"x"`
	Y     []float64 `json:"y"`
	// Labels name the values of X when they are kinds.
	Labels []string `json:"labels,omitempty"`
}

// measure is one named measure.
type measure struct {
	name  string
	short string
	run   func(context.Context, *run) error
}

var measures = []measure{
	{"convergence", "time until every node has a change in force", convergence},
	{"control", "bytes, processor time and platform calls of control", control},
	{"restart", "time until a fleet that starts at once is ready", restart},
	{"rank", "service by priority near capacity", rank},
	{"flood", "what other work keeps while one kind overwhelms the fleet", flood},
	{"hop", "latency and processor time that two nodes add to a call", hop},
	{"drain", "calls cut off by planned stops", drain},
	{"kill", "verdicts while nodes and servers are killed", kill},
	{"memory", "memory of a node", memory},
}

// Names returns the names of all measures in their order.
func Names() []string {
	names := make([]string, len(measures))
	for i, m := range measures {
		names[i] = m.name
	}
	return names
}

// Short returns what a measure is about in a few words.
func Short(name string) string {
	for _, m := range measures {
		if m.name == name {
			return m.short
		}
	}
	return ""
}

// Run runs one measure. A broken promise is part of the result; the error says
// that the measure itself could not be made.
func Run(ctx context.Context, name string, settings Settings) (Result, error) {
	i := slices.IndexFunc(measures, func(m measure) bool { return m.name == name })
	if i < 0 {
		return Result{}, errors.Newf("no measure %q", name)
	}
	if settings.Scale <= 0 {
		settings.Scale = 1
	}
	r := &run{settings: settings}
	if r.shape = deployment(settings.Deployment); r.shape.Name == "" {
		return Result{}, errors.Newf("no deployment %q: want coni or trinidad", settings.Deployment)
	}
	started := time.Now()
	err := measures[i].run(ctx, r)
	return Result{
		Name:           name,
		Seed:           settings.Seed,
		Settings:       settings,
		Seconds:        time.Since(started).Seconds(),
		Figures:        r.figures,
		PromisesBroken: append([]string{}, r.broken...),
		Series:         r.series,
	}, errors.Wrapf(err, "measure %s", name)
}

// run collects what one measure finds.
type run struct {
	settings Settings
	shape    trial.Shape
	figures  []Figure
	broken   []string
	series   []Series
}

func deployment(name string) trial.Shape {
	switch name {
	case "coni", "":
		return trial.Coni()
	case "trinidad":
		return trial.Trinidad()
	}
	return trial.Shape{}
}

// scaled returns a duration shortened by the scale of the run.
func (r *run) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.settings.Scale)
}

// count returns a count lowered by the scale of the run, at least 1.
func (r *run) count(n int) int { return max(1, int(float64(n)*r.settings.Scale)) }

func (r *run) figure(name string, value float64, unit string) {
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: unit})
}

// atMost adds a figure whose target is an upper bound.
func (r *run) atMost(name string, value float64, unit string, target float64) {
	met := value <= target
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: unit, Target: &target, Met: &met})
}

// atLeast adds a figure in percent whose target is a lower bound.
func (r *run) atLeast(name string, value, target float64) {
	met := value >= target
	r.figures = append(r.figures, Figure{Name: name, Value: value, Unit: "%", Target: &target, Met: &met})
}

func (r *run) promise(broken ...string) { r.broken = append(r.broken, broken...) }

func (r *run) promisef(format string, args ...any) { r.promise(fmt.Sprintf(format, args...)) }

// check compares a report with the runs that the backend servers recorded.
func (r *run) check(fleet *trial.Fleet, report *load.Report) {
	classes := make([]load.Class, 0, len(report.Classes))
	for _, c := range report.Classes {
		classes = append(classes, c.Class)
	}
	r.promise(load.Check(report.Calls, classes, fleet.Runs())...)
}

// start starts a fleet and waits until it is ready.
func (r *run) start(ctx context.Context, shape trial.Shape) (*trial.Fleet, error) {
	fleet, err := trial.Start(ctx, shape)
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

const readyLimit = 60 * time.Second

// quantile returns a quantile in percent of some durations, in milliseconds.
func quantile(durations []time.Duration, percent float64) float64 {
	if len(durations) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	i := int(math.Ceil(percent/100*float64(len(sorted)))) - 1
	return millis(sorted[max(0, i)])
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
