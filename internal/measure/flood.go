package measure

import (
	"context"
	"fmt"
	"time"

	"lavenderdeal/core/priority"
	"lavenderdeal/internal/load"
	"lavenderdeal/internal/localfleet"
	"lavenderdeal/internal/wait"
)

// floodCase describes a flood: calls of one priority, from a number of customers, at
// floodFactor times the capacity.
type floodCase struct {
	name      string
	priority  priority.Priority
	customers int
}

var floodCases = []floodCase{
	{"bulkOne", priority.Bulk, 1},
	{"bulkMany", priority.Bulk, manyCustomers},
	{"urgentOne", priority.Urgent, 1},
	{"urgentMany", priority.Urgent, manyCustomers},
}

// flood measures how calls at a steady rate are served during a flood of five times
// the capacity: of the least urgent priority and of the most urgent, each from one
// customer and from many.
func flood(ctx context.Context, r *run) error {
	fleet, err := r.start(ctx, r.floodShape())
	if err != nil {
		return err
	}
	defer fleet.Close()
	capacity := capacityOf(fleet)
	quiet := r.loadFleet(ctx, fleet, steadyClasses(capacity), r.scaled(floodDuration))
	quietP99 := quiet.Classes[className(priority.Urgent, steadyCustomer)].Percentile(99)
	r.addFigure("quiet.urgentP99", milliseconds(quietP99), "ms")
	for _, c := range floodCases {
		r.runFlood(ctx, fleet, c, quietP99)
	}
	return nil
}

// runFlood runs one flood beside the steady load and adds its figures. quietP99 is the
// 99th percentile of the latency of urgent calls without a flood.
func (r *run) runFlood(ctx context.Context, fleet *localfleet.Fleet, c floodCase, quietP99 time.Duration) {
	capacity := capacityOf(fleet)
	classes := steadyClasses(capacity)
	// The steady customer of the flooded priority sends less than its fair share,
	// because only its rate distinguishes it from the customers of the flood.
	fairShare := capacity * (1 - sum(steadyShares[:])) / float64(c.customers+1)
	classes[c.priority].Rate = min(classes[c.priority].Rate, fairShare/2)
	for n := range c.customers {
		rate := floodFactor * capacity / float64(c.customers)
		classes = append(classes, newClass(c.priority, fmt.Sprintf("%s-%d", floodCustomer, n), rate))
	}
	report := r.loadFleet(ctx, fleet, classes, r.scaled(floodDuration))
	for p := range priority.All() {
		steadyWork := report.Classes[className(p, steadyCustomer)]
		name := c.name + "." + p.String()
		share := 100 * steadyWork.InTimeShare()
		switch {
		case c.priority == priority.Bulk && p == priority.Urgent:
			r.addMinPercent(name+".inTime", share, urgentInTimeTarget)
			ratio := float64(steadyWork.Percentile(99)) / float64(quietP99)
			r.addMaxFigure(name+".p99Ratio", ratio, "of quiet", urgentRatioTarget)
		case c.priority == p:
			r.addMinPercent(name+".inTime", share, steadyTarget)
		case c.priority == priority.Urgent:
			r.addMinPercent(name+".keptOfCapacity", keptOfCapacity(report, steadyWork, capacity), 100*p.MinShare())
			r.addFigure(name+".inTime", share, "%")
		default:
			r.addFigure(name+".inTime", share, "%")
		}
		r.series = append(r.series, latencySeries("service during flood "+c.name, p, report))
	}
	r.addMinPercent(c.name+".capacityUsed", capacityUsed(report, capacity), capacityTarget)
	wait.For(ctx, time.Second)
}

// keptOfCapacity returns the share of the capacity used by answered calls of a
// class, in percent.
func keptOfCapacity(report *load.Report, c *load.ClassReport, capacity float64) float64 {
	return 100 * answeredRate(report, c.Class.Name) / capacity
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// steadyClasses returns one class of steady load for each priority, in the order of
// the priorities.
func steadyClasses(capacity float64) []load.Class {
	var classes []load.Class
	for p := range priority.All() {
		classes = append(classes, newClass(p, steadyCustomer, steadyShares[p]*capacity))
	}
	return classes
}

// latencySeries returns the latency of the answered steady calls of a priority over
// time.
func latencySeries(plot string, p priority.Priority, report *load.Report) Series {
	s := Series{Plot: plot, Name: p.String(), XUnit: "s", YUnit: "ms"}
	for _, call := range report.Calls {
		if call.Class == className(p, steadyCustomer) && call.Answered() {
			s.X = append(s.X, call.Due.Seconds())
			s.Y = append(s.Y, milliseconds(call.Latency))
		}
	}
	return s
}
