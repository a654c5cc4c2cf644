// Package trafficsplit distributes the requests of a route among its services by
// weight.
//
// It uses smooth weighted round robin, so that after any number of requests the
// share of each service is within a few requests of its weight, even in a small
// sample:
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

type rotation struct {
	services       []routes.WeightedService
	currentWeights []int
}

// Next returns the service for the next request of a route.
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
