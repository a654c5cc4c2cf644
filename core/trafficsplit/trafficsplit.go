// Package trafficsplit distributes the requests of a route among its services by
// weight.
//
// It uses smooth weighted round robin, so that after any number of requests each
// service has received its share by weight, give or take a few requests:
//
//	var s trafficsplit.Splitter
//	service := s.Next(route)
//
// A request whose service is at capacity is not sent to another service, because
// the weights are the operators' decision.
package trafficsplit

import (
	"slices"

	"lavenderdeal/core/routes"
)

// Splitter holds the round-robin state of all routes. The zero value is ready to
// use. It is not safe for concurrent use.
type Splitter struct {
	// rotations holds the state of each route by its name.
	rotations map[string]*rotation
}

// rotation is the round-robin state of one route, with the services that it applies to.
type rotation struct {
	services       []routes.WeightedService
	currentWeights []int
}

// Next returns the service for the next request of a route. If the services of the route
// or their weights have changed, its round robin starts anew.
func (s *Splitter) Next(r *routes.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	if s.rotations == nil {
		s.rotations = make(map[string]*rotation)
	}
	state := s.rotations[r.Name]
	if state == nil || !slices.Equal(state.services, r.Services) {
		state = &rotation{services: r.Services, currentWeights: make([]int, len(r.Services))}
		s.rotations[r.Name] = state
	}
	total, best := 0, 0
	for i, weighted := range state.services {
		total += weighted.Weight
		state.currentWeights[i] += weighted.Weight
		if state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	state.currentWeights[best] -= total
	return state.services[best].Service
}
