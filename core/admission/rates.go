package admission

import (
	"math"
	"time"

	"lavenderdeal/core/priority"
)

const (
	// rateWindow is the time over which the usual rate of a customer is averaged,
	// and minRateWindow the shortest time that an average covers.
	rateWindow    = 5 * time.Minute
	minRateWindow = 10 * time.Second
	// overloadWeight slows down the averaging of usual rates during an overload,
	// so that a flood does not soon count as usual and the rates of the other
	// customers do not decay.
	overloadWeight = 0.02
	// rateMargin is the factor by which a customer may exceed its usual rate.
	rateMargin = 1.5
	// minRate is the lowest rate of a customer, in calls per second.
	minRate = 1
	// burstSeconds is the depth of the token bucket, in seconds of the rate.
	burstSeconds = 1
	// maxCustomers bounds the entries of a rateTable. A customer has one for each
	// priority.
	maxCustomers = 4096
)

// rateTable tracks the usual call rate of each customer and priority.
type rateTable struct {
	// at is when the last call was offered.
	at time.Time
	// averagedSeconds is the time over which rates were averaged. During an overload
	// it advances more slowly, by the factor overloadWeight.
	averagedSeconds float64
	newer, older    map[customerKey]*customerUsage
}

type customerKey struct {
	customer string
	priority priority.Priority
}

// customerUsage holds the call rate and the service time of one customer at one
// priority.
type customerUsage struct {
	// calls is a count that decays over rateWindow as the table's averagedSeconds
	// advances.
	calls float64
	// averagedSeconds is that of the table when the customer's last call was offered.
	averagedSeconds float64
	// tokens is the level of the token bucket, in calls, at the time at.
	tokens float64
	at     time.Time
	// service is the service time of the customer's calls.
	service serviceTime
	// starts are the customer's virtual start times in each fair queue when its
	// last call left it.
	starts [bandCount]float64
}

// offer counts a call and returns the customer's entry and the band of the call.
// overload is set while the queue is overloaded.
func (t *rateTable) offer(now time.Time, customer string, p priority.Priority, overload bool) (*customerUsage, band) {
	weight := 1.0
	if overload {
		weight = overloadWeight
	}
	if !t.at.IsZero() {
		t.averagedSeconds += weight * now.Sub(t.at).Seconds()
	}
	t.at = now
	c := t.get(now, customerKey{customer: customer, priority: p})
	c.calls *= math.Exp((c.averagedSeconds - t.averagedSeconds) / rateWindow.Seconds())
	c.averagedSeconds = t.averagedSeconds
	rate := rateMargin*c.calls/t.span() + minRate
	c.tokens = min(c.tokens+rate*now.Sub(c.at).Seconds(), rate*burstSeconds)
	c.at = now
	c.calls += weight
	if c.tokens < 1 {
		return c, excess
	}
	c.tokens--
	return c, conforming
}

// span returns the time in seconds that a decayed count covers, by which it is
// divided to give a rate.
func (t *rateTable) span() float64 {
	window := rateWindow.Seconds()
	return window * (1 - math.Exp(-max(t.averagedSeconds, minRateWindow.Seconds())/window))
}

// get returns the entry of a customer. The table has two halves. When the newer
// half is full, it replaces the older one, whose entries are dropped unless they
// were used in the meantime.
func (t *rateTable) get(now time.Time, key customerKey) *customerUsage {
	if c := t.newer[key]; c != nil {
		return c
	}
	c := t.older[key]
	if c == nil {
		c = &customerUsage{at: now, averagedSeconds: t.averagedSeconds, tokens: minRate}
	}
	if t.newer == nil || len(t.newer) >= maxCustomers/2 {
		t.older, t.newer = t.newer, make(map[customerKey]*customerUsage)
	}
	t.newer[key] = c
	return c
}
