package measure

import (
	"fmt"
	"maps"
	"slices"
)

// The users' target size, as nodes in each zone and as events per second.
const (
	targetZoneSize    = float64(targetNodes) / targetZones
	changesPerSecond  = float64(targetChangesPerDay) / secondsPerDay
	restartsPerSecond = float64(targetRestartsPerDay) / secondsPerDay
)

// extrapolation estimates the cost at the users' target size from samples of
// smaller fleets. It fits one line each over the size of a zone, the number of
// zones and the number of customers.
type extrapolation struct {
	*run
	// bySize, byCount and byCustomers are samples of fleets that differ only in the
	// nodes per zone, in the number of zones, and in the number of customers.
	bySize, byCount, byCustomers []controlSample
}

// addDailyFigures adds the figures of an ordinary day at the target size: the idle
// traffic and that of the target's changes and restarts, averaged over the day. The
// platform calls do not include those caused by restarts.
func (e extrapolation) addDailyFigures() {
	perRestart := e.atTargetSize("bytesPerRestart", "B a node", func(s controlSample) float64 { return s.restartBytes })
	bytes := e.atTargetSize("idleBytes", "B/s a node", func(s controlSample) float64 { return s.idleBytes }) +
		changesPerSecond*e.atTargetSize("bytesPerChange", "B a node", func(s controlSample) float64 { return s.changeBytes }) +
		restartsPerSecond*perRestart
	busiest := e.atTargetSize("busiestIdleBytes", "B/s", func(s controlSample) float64 { return s.busiestIdleBytes }) +
		changesPerSecond*e.atTargetSize("busiestBytesPerChange", "B", func(s controlSample) float64 { return s.busiestChangeBytes }) +
		restartsPerSecond*perRestart
	core := e.atTargetSize("idleCore", "% of a core a node", func(s controlSample) float64 { return 100 * s.idleCPU }) +
		changesPerSecond*e.atTargetSize("corePerChange", "% s a node", func(s controlSample) float64 { return 100 * s.changeCPU }) +
		restartsPerSecond*e.atTargetSize("corePerRestart", "% s a node", func(s controlSample) float64 { return 100 * s.restartCPU })
	calls := e.atTargetSize("platformCallsIdle", "calls/s", func(s controlSample) float64 { return s.idleCalls }) +
		changesPerSecond*e.atTargetSize("platformCallsPerChange", "calls", func(s controlSample) float64 { return s.changeCalls })
	e.addMaxFigure("ordinaryDay.bytes", bytes, "B/s a node", bytesTarget)
	e.addMaxFigure("ordinaryDay.busiestBytes", busiest, "B/s", bytesTarget)
	e.addMaxFigure("ordinaryDay.core", core, "% of a core a node", 100*coreShareTarget)
	e.addMaxFigure("ordinaryDay.platformCalls", calls, "calls/s", platformReadLimit)
}

// atTargetSize extrapolates a value to the target size. It adds figures for the
// slopes, for the largest distance of a sample from its line ("spread") and for the
// result ("letter").
func (e extrapolation) atTargetSize(name, unit string, value func(controlSample) float64) float64 {
	size := fitSamples(e.bySize, func(s controlSample) float64 { return float64(s.perZone) }, value)
	count := fitSamples(e.byCount, func(s controlSample) float64 { return float64(s.zones) }, value)
	customers := fitSamples(e.byCustomers, func(s controlSample) float64 { return float64(s.customers) }, value)
	result := size.at(targetZoneSize) +
		max(0, count.slope)*(targetZones-controlZones) +
		max(0, customers.slope)*(targetCustomers-controlCustomers)
	e.addFigure("slope."+name+".zoneSize", size.slope, unit+" for each node of a zone")
	e.addFigure("slope."+name+".zones", count.slope, unit+" for each zone")
	e.addFigure("slope."+name+".customers", 1000*customers.slope, unit+" for 1000 customers")
	e.addFigure("slope."+name+".spread", max(size.spread, count.spread, customers.spread), unit)
	e.addFigure("letter."+name, result, unit)
	return result
}

// fitSamples fits a line to a value of the samples, as a function of their size.
func fitSamples(samples []controlSample, size, value func(controlSample) float64) line {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, size(s)), append(y, value(s))
	}
	return fit(x, y)
}

// methodSeries returns the idle traffic of a sample by method, as bars of a plot.
func methodSeries(s controlSample) Series {
	series := Series{
		Plot: "control bytes by kind", Name: fmt.Sprintf("%d zones of %d", s.zones, s.perZone),
		XUnit: "kind", YUnit: "B/s a node",
	}
	for i, method := range slices.Sorted(maps.Keys(s.byMethod)) {
		series.Labels = append(series.Labels, method)
		series.X = append(series.X, float64(i))
		series.Y = append(series.Y, s.byMethod[method])
	}
	return series
}
