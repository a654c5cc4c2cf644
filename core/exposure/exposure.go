// Package exposure decides which requests of one node are sent to a version that is on
// trial, so that the version gets no more than a share of them.
//
// Each node keeps the bound by itself, so it holds for the sum of all nodes, whatever
// their number, and for nodes that are late:
//
//	s := exposure.New(0.07, seed)
//	if s.Next("stock", 0.05) {
//		sendTo(newVersion)
//	}
package exposure

import "lavenderdeal/core/rendezvous"

// maxDue bounds the requests of a class that are due, so that they do not pile up while
// the version gets none.
const maxDue = 1.5

// Share counts the requests of one service. It is not safe for concurrent use.
type Share struct {
	limit float64
	seed  string
	// total counts all requests, and given those for the version on trial.
	total, given uint64
	// offset is the part of a request that the node is ahead at the start. Random offsets
	// below one make the nodes' shares exact on average, also if each has few requests.
	offset float64
	// due holds the part of a request that is due to the version, by class.
	due map[string]float64
}

// New returns a Share that gives the version at most limit, from 0 to 1, of all requests,
// and less than one request beyond. The seed differs from node to node.
func New(limit float64, seed string) *Share {
	return &Share{limit: limit, seed: seed, offset: unit(seed, ""), due: make(map[string]float64)}
}

// Next counts a request of a class and returns true if it is for the version on trial.
// Of each class, it gets the part of weight, from 0 to 1, as long as the limit allows.
func (s *Share) Next(class string, weight float64) bool {
	s.total++
	if weight <= 0 {
		return false
	}
	due, ok := s.due[class]
	if !ok {
		due = unit(s.seed, class)
	}
	due = min(maxDue, due+weight)
	isDue := due >= 1 && float64(s.given+1) <= s.limit*float64(s.total)+s.offset
	if isDue {
		due--
		s.given++
	}
	s.due[class] = due
	return isDue
}

// SetLimit changes the limit.
func (s *Share) SetLimit(limit float64) { s.limit = limit }

// Counts returns the number of requests and of those for the version on trial.
func (s *Share) Counts() (total, given uint64) { return s.total, s.given }

// unit returns a number in [0, 1) that depends only on the two strings.
func unit(seed, class string) float64 {
	return float64(rendezvous.Score(seed, class)>>11) / (1 << 53)
}
