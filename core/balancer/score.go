package balancer

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the half-life of a reported load. A server that gets no calls
	// reports no load, and must not look busy for long.
	loadHalfLife = 500 * time.Millisecond
	// callerCountDivisor is the inverse of the weight of a new answer in the estimate
	// of the number of callers.
	callerCountDivisor = 256
	// maxCallers bounds that estimate.
	maxCallers = 1000
)

// load is one caller's estimate of the load of one server.
type load struct {
	// callers is shared by all servers of the service.
	callers *callerCount
	// outstanding is the number of the caller's own calls at the server.
	outstanding int
	// reported is the number of running and queued calls that the server reported
	// in its last answer, at reportedAt.
	reported   int
	reportedAt time.Time
	// sentSince counts the calls that the caller sent after reportedAt.
	sentSince int
}

// report stores the load that a server reported in an answer. The answered call
// must no longer count as outstanding.
func (l *load) report(now time.Time, calls int) {
	l.reported, l.reportedAt, l.sentSince = calls, now, 0
	l.callers.observe(calls, l.outstanding)
}

// calls estimates the total number of calls at the server. It is the larger of the
// reported load plus the caller's own calls since the report, and the caller's own
// outstanding calls times the number of callers. This score is that of vLLM's
// data-parallel load balancing.
func (l *load) calls(now time.Time) float64 {
	return max(l.decayed(now)+float64(l.sentSince), float64(l.outstanding)*l.callers.count())
}

// decayed returns the reported load, halved for each loadHalfLife since the report.
func (l *load) decayed(now time.Time) float64 {
	if l.reported == 0 {
		return 0
	}
	return float64(l.reported) * math.Exp2(-float64(now.Sub(l.reportedAt))/float64(loadHalfLife))
}

// callerCount estimates the number of similar callers of a service, from this
// caller's share of the reported calls.
type callerCount struct {
	// reported and own are moving averages of the calls that a server reported and of
	// the caller's own outstanding calls there.
	reported, own float64
}

func (c *callerCount) observe(reported, own int) {
	c.reported += (float64(reported) - c.reported) / callerCountDivisor
	c.own += (float64(own) - c.own) / callerCountDivisor
}

func (c *callerCount) count() float64 {
	if c.reported <= c.own {
		return 1
	}
	return min(c.reported/max(c.own, 1.0/callerCountDivisor), maxCallers)
}
