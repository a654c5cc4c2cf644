package measure

import (
	"fmt"
	"maps"
	"slices"
)

const (
	letterZoneSize  = float64(letterNodes) / letterZones
	changesASecond  = float64(letterChanges) / daySeconds
	restartsASecond = float64(letterRestarts) / daySeconds
)

// extrapolation works out the size of the letter from samples of smaller
// fleets: a straight line for each of the size of a zone, the number of zones
// and the length of the list of customers.
type extrapolation struct {
	*run
	bySize, byCount, byCustomers []controlSample
}

// ordinaryDay adds the figures of an ordinary day of the letter.
func (e extrapolation) ordinaryDay() {
	perRestart := e.at("bytesPerRestart", "B a node", func(s controlSample) float64 { return s.eventBytes })
	bytes := e.at("idleBytes", "B/s a node", func(s controlSample) float64 { return s.idleBytes }) +
		changesASecond*e.at("bytesPerChange", "B a node", func(s controlSample) float64 { return s.changeBytes }) +
		restartsASecond*perRestart
	busiest := e.at("busiestIdleBytes", "B/s", func(s controlSample) float64 { return s.busiestIdleBytes }) +
		changesASecond*e.at("busiestBytesPerChange", "B", func(s controlSample) float64 { return s.busiestChangeBytes }) +
		restartsASecond*perRestart
	core := e.at("idleCore", "% of a core a node", func(s controlSample) float64 { return 100 * s.idleCPU }) +
		changesASecond*e.at("corePerChange", "% s a node", func(s controlSample) float64 { return 100 * s.changeCPU }) +
		restartsASecond*e.at("corePerRestart", "% s a node", func(s controlSample) float64 { return 100 * s.eventCPU })
	calls := e.at("platformCallsIdle", "calls/s", func(s controlSample) float64 { return s.idleCalls }) +
		changesASecond*e.at("platformCallsPerChange", "calls", func(s controlSample) float64 { return s.changeCalls })
	e.atMost("ordinaryDay.bytes", bytes, "B/s a node", bytesTarget)
	e.atMost("ordinaryDay.busiestBytes", busiest, "B/s", bytesTarget)
	e.atMost("ordinaryDay.core", core, "% of a core a node", 100*coreShareTarget)
	e.atMost("ordinaryDay.platformCalls", calls, "calls/s", platformReadLimit)
}

// at returns a value at the size of the letter and adds the slopes to the
// figures.
func (e extrapolation) at(name, unit string, value func(controlSample) float64) float64 {
	size := fitSamples(e.bySize, func(s controlSample) float64 { return float64(s.perZone) }, value)
	count := fitSamples(e.byCount, func(s controlSample) float64 { return float64(s.zones) }, value)
	customers := fitSamples(e.byCustomers, func(s controlSample) float64 { return float64(s.customers) }, value)
	result := size.at(letterZoneSize) +
		max(0, count.slope)*(letterZones-controlZones) +
		max(0, customers.slope)*(letterCustomers-controlCustomers)
	e.figure("slope."+name+".zoneSize", size.slope, unit+" for each node of a zone")
	e.figure("slope."+name+".zones", count.slope, unit+" for each zone")
	e.figure("slope."+name+".customers", 1000*customers.slope, unit+" for 1000 customers")
	e.figure("slope."+name+".spread", max(size.spread, count.spread, customers.spread), unit)
	e.figure("letter."+name, result, unit)
	return result
}

func fitSamples(samples []controlSample, size, value func(controlSample) float64) line {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, size(s)), append(y, value(s))
	}
	return fit(x, y)
}

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
