package choose

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the time in which a load that was brought back loses half
	// of its weight: a server that is not asked must not look busy for long.
	loadHalfLife = 500 * time.Millisecond
	// callersWeight is the inverse of the part of a new answer in the estimate
	// of the number of callers.
	callersWeight = 256
	maxCallers    = 1000
)

// load is what one caller knows of one server.
type load struct {
	// callers is shared by all servers of the service.
	callers *callerCount
	// outstanding are the caller's own calls at the server.
	outstanding int
	// reported is the number of running and waiting calls at the server, by its
	// last answer, which came at the time at.
	reported int
	at       time.Time
	// sent counts the caller's calls since then.
	sent int
}

// report keeps the load that an answer brought back, which is no longer
// outstanding.
func (l *load) report(now time.Time, calls int) {
	l.reported, l.at, l.sent = calls, now, 0
	l.callers.observe(calls, l.outstanding)
}

// calls returns how many calls the server has in all, as far as the caller can
// tell: the larger of the load that was brought back, with the caller's own
// calls since then, and the caller's own calls scaled by the number of callers.
// The score is that of vLLM's data-parallel load balancing.
func (l *load) calls(now time.Time) float64 {
	return max(l.faded(now)+float64(l.sent), float64(l.outstanding)*l.callers.count())
}

func (l *load) faded(now time.Time) float64 {
	if l.reported == 0 {
		return 0
	}
	return float64(l.reported) * math.Exp2(-float64(now.Sub(l.at))/float64(loadHalfLife))
}

// callerCount estimates how many callers like this one a service has, by the
// part of the reported calls that is its own.
type callerCount struct {
	reported, own float64
}

func (c *callerCount) observe(reported, own int) {
	c.reported += (float64(reported) - c.reported) / callersWeight
	c.own += (float64(own) - c.own) / callersWeight
}

func (c *callerCount) count() float64 {
	if c.reported <= c.own {
		return 1
	}
	return min(c.reported/max(c.own, 1.0/callersWeight), maxCallers)
}
