package simulator

import "time"

// Site describes a deployment.
type Site struct {
	Name  string
	Zones []Zone
	// Services are the services. Each of their servers has a node of its own.
	Services []Service
	Kinds    []Kind
	// Hop is the one-way latency between two nodes.
	Hop time.Duration
}

// Zone is an availability zone.
type Zone struct {
	Name string
	// CallerShare is the fraction of all callers that are in the zone. The shares of a
	// site add up to 1.
	CallerShare float64
}

// Service is a service with its backend servers.
type Service struct {
	Name string
	// Slots is the number of requests that each server runs at once.
	Slots int
	// ServerZones holds the index in Site.Zones of each server's zone, and Speeds each
	// server's relative speed; a server of speed 2 halves run times.
	ServerZones []int
	Speeds      []float64
}

// Kind describes requests of one kind and the behaviour of their callers.
type Kind struct {
	Name, Service string
	// PerSecond is the usual rate of new callers.
	PerSecond float64
	// Work is the mean run time on a server of speed 1. Target and Deadline bound the
	// time from the caller's first attempt to the answer: an answer after Target is
	// late, and the caller stops waiting at Deadline.
	Work, Target, Deadline time.Duration
	// Rank orders kinds by urgency; 0 is the most urgent.
	Rank int
	// Worth is the value to the users of an answer within Target, and LateWorth that
	// of a later one within Deadline. Both are relative numbers without a unit.
	Worth, LateWorth float64
	// Retries is how often a refused caller retries at most.
	Retries int
}

// Sites returns models of the users' two deployments, coni and trinidad, by name.
func Sites() map[string]Site {
	return map[string]Site{
		"coni": {
			Name: "coni", Hop: time.Millisecond,
			Zones: []Zone{{"catania", 0.35}, {"palermo", 0.35}, {"agrigento", 0.3}},
			Services: []Service{
				{Name: "availability", Slots: 18, ServerZones: []int{0, 0, 1, 1, 2, 2}, Speeds: []float64{1, 0.7, 1, 1.3, 1, 1}},
				{Name: "bookings", Slots: 18, ServerZones: []int{0, 0, 1, 1, 2}, Speeds: []float64{1, 1.2, 1, 0.7, 1}},
				{Name: "fieldwork", Slots: 18, ServerZones: []int{0, 1, 2}, Speeds: []float64{1, 1, 1}},
			},
			Kinds: []Kind{
				{Name: "stock", Service: "availability", PerSecond: 357, Work: 160 * time.Millisecond, Target: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1.4, LateWorth: 0.17, Retries: 1},
				{Name: "closure", Service: "bookings", PerSecond: 187, Work: 210 * time.Millisecond, Target: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond, Rank: 1, Worth: 1.5, LateWorth: 0.45, Retries: 1},
				{Name: "photos", Service: "fieldwork", PerSecond: 41, Work: 190 * time.Millisecond, Target: time.Second, Deadline: 1500 * time.Millisecond, Rank: 2, Worth: 0.74, LateWorth: 0.33, Retries: 1},
			},
		},
		"trinidad": {
			Name: "trinidad", Hop: time.Millisecond,
			Zones: []Zone{{"a", 0.23}, {"b", 0.28}, {"c", 0.26}, {"d", 0.23}},
			Services: []Service{
				{Name: "tours", Slots: 12, ServerZones: []int{0, 0, 1, 2, 3}, Speeds: []float64{0.6, 1, 1.4, 1, 1}},
				{Name: "booking", Slots: 12, ServerZones: []int{0, 1, 2, 3}, Speeds: []float64{0.7, 0.7, 1.6, 1}},
				{Name: "documents", Slots: 12, ServerZones: []int{0, 1, 2, 3}, Speeds: []float64{0.5, 1, 1, 1.5}},
			},
			Kinds: []Kind{
				{Name: "tours", Service: "tours", PerSecond: 576, Work: 75 * time.Millisecond, Target: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1.4, LateWorth: 0.16, Retries: 2},
				{Name: "tickets", Service: "booking", PerSecond: 241, Work: 100 * time.Millisecond, Target: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Rank: 1, Worth: 1.4, LateWorth: 0.43, Retries: 2},
				{Name: "waivers", Service: "documents", PerSecond: 53, Work: 72 * time.Millisecond, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Rank: 2, Worth: 0.71, LateWorth: 0.32, Retries: 2},
			},
		},
	}
}
