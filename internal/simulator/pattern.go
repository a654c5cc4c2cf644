package simulator

import "time"

// Pattern describes the load on a site, and how the load and the servers change
// during the simulation.
type Pattern struct {
	Name string
	// Load multiplies Kind.PerSecond of all kinds; 1 is the usual load.
	Load   float64
	Events []Event
}

// Event is a change of the load or a fault of servers for some time. It is one of
// [Burst], [Shift], [Slow], [Shed] and [Outage].
type Event interface{ implementsEvent() }

// Span is the time interval of an event, counted from the start of the pattern. To is
// exclusive.
type Span struct{ From, To time.Duration }

// Burst multiplies the rate of one kind by Factor.
type Burst struct {
	Span
	// Kind is the index in Site.Kinds.
	Kind   int
	Factor float64
}

// Shift moves a share of the callers of one zone to another.
type Shift struct {
	Span
	// From and To are indices in Site.Zones. They hide the times of the same name in
	// Span.
	From, To int
	// Share is the fraction of the callers that moves, from 0 to 1.
	Share float64
}

// Slow multiplies the run times of some servers of a service by Factor.
type Slow struct {
	Span
	// Service is the index in Site.Services, and Servers the number of servers, counted
	// from the first in Service.ServerZones.
	Service, Servers int
	Factor           float64
}

// Shed makes the servers of a service reject a share of their requests although
// they have free slots.
type Shed struct {
	Span
	// Service is the index in Site.Services.
	Service int
	// Share is the fraction of the requests that is rejected, from 0 to 1.
	Share float64
}

// Outage makes some servers of a service unavailable.
type Outage struct {
	Span
	// Service and Servers select the servers as in Slow.
	Service, Servers int
}

// Patterns returns the predefined patterns.
func Patterns() []Pattern {
	const end = 20 * time.Second
	middle := Span{From: 4 * time.Second, To: 14 * time.Second}
	return []Pattern{
		{Name: "usual", Load: 1},
		{Name: "overload", Load: 2.2},
		{Name: "serversGone", Load: 1.1, Events: []Event{Outage{Span: Span{From: 4 * time.Second, To: end}, Service: 0, Servers: 2}, Outage{Span: Span{From: 8 * time.Second, To: end}, Service: 1, Servers: 2}}},
		{Name: "burst", Load: 1, Events: []Event{Burst{Span: middle, Kind: 0, Factor: 3}}},
		{Name: "burstOfLeastUrgent", Load: 1.2, Events: []Event{Burst{Span: middle, Kind: 2, Factor: 8}}},
		{Name: "zoneShift", Load: 1.4, Events: []Event{Shift{Span: middle, From: 0, To: 2, Share: 0.8}}},
		{Name: "serversSlow", Load: 1.2, Events: []Event{Slow{Span: middle, Service: 0, Servers: 2, Factor: 5}}},
		{Name: "serversShed", Load: 1.2, Events: []Event{Shed{Span: middle, Service: 0, Share: 0.5}}},
	}
}

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.To }

func (Burst) implementsEvent()  {}
func (Shift) implementsEvent()  {}
func (Slow) implementsEvent()   {}
func (Shed) implementsEvent()   {}
func (Outage) implementsEvent() {}
