package pick

import (
	"maps"
	"time"

	messages "lavenderdeal/schema/roster"
)

// Belief is what a Picker believes of a node and its server.
type Belief struct {
	// Load is that of the last answer, at ReportedAt, or zero if there was none.
	Load       Load
	ReportedAt time.Time
	// Outstanding is the number of requests without an answer.
	Outstanding int
	// FullUntil is when the node may have a free slot again, and ExcludedUntil when it gets
	// requests again after it was not reached or has stopped.
	FullUntil, ExcludedUntil time.Time
	// RunTimes holds the usual running time of each class.
	RunTimes map[string]time.Duration
}

// Belief returns what is believed of a node.
func (p *Picker) Belief(e messages.Entry) Belief {
	n := p.nodes[e.Node]
	if n == nil || n.epoch != e.Epoch || n.server != e.Server {
		return Belief{}
	}
	excluded := n.excludedUntil
	if n.stoppingUntil.After(excluded) {
		excluded = n.stoppingUntil
	}
	return Belief{
		Load: n.load, ReportedAt: n.reportedAt, Outstanding: n.outstanding,
		FullUntil: n.fullUntil, ExcludedUntil: excluded, RunTimes: maps.Clone(n.runTimes),
	}
}
