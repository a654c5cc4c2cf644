package admission

import (
	"math"
	"time"

	"lavenderdeal/core/priority"
)

const (
	// usageMemory is the time over which the usual rate of a customer is
	// averaged, and usageStart the least time that an average stands for.
	usageMemory = 5 * time.Minute
	usageStart  = 10 * time.Second
	// overloadWeight is the speed at which usual rates are learned and forgotten
	// during an overload, so that a flood does not soon count as usual and the
	// others keep theirs.
	overloadWeight = 0.02
	// usualMargin is how far a customer may exceed its usual rate.
	usualMargin = 1.5
	// leastRate is the rate in calls per second that each customer has at least.
	leastRate = 1
	// usualBurst is how many seconds of the rate may come at once.
	usualBurst   = 1
	maxCustomers = 4096
)

// usage knows the usual rate of each customer and priority.
type usage struct {
	at time.Time
	// learned is the time in seconds over which rates were learned. It passes
	// slowly during an overload.
	learned      float64
	newer, older map[customerKey]*customerUsage
}

type customerKey struct {
	customer string
	priority priority.Priority
}

type customerUsage struct {
	// calls fades with usageMemory, in learned time.
	calls   float64
	learned float64
	tokens  float64
	at      time.Time
	// service is the time that the customer's calls take.
	service serviceTime
	// turns are the turns that the customer had in each line when its last call
	// there left.
	turns [bandCount]float64
}

// offer counts a call and says whether it is within the usual rate.
func (u *usage) offer(now time.Time, customer string, p priority.Priority, overload bool) (*customerUsage, band) {
	weight := 1.0
	if overload {
		weight = overloadWeight
	}
	if !u.at.IsZero() {
		u.learned += weight * now.Sub(u.at).Seconds()
	}
	u.at = now
	c := u.get(now, customerKey{customer: customer, priority: p})
	c.calls *= math.Exp((c.learned - u.learned) / usageMemory.Seconds())
	c.learned = u.learned
	rate := usualMargin*c.calls/u.span() + leastRate
	c.tokens = min(c.tokens+rate*now.Sub(c.at).Seconds(), rate*usualBurst)
	c.at = now
	c.calls += weight
	if c.tokens < 1 {
		return c, excess
	}
	c.tokens--
	return c, usual
}

// span is the time in seconds that a faded count stands for.
func (u *usage) span() float64 {
	memory := usageMemory.Seconds()
	return memory * (1 - math.Exp(-max(u.learned, usageStart.Seconds())/memory))
}

// get returns the entry of a customer. The table has two halves: when the newer
// one is full it becomes the older one, whose entries are forgotten unless they
// were used since.
func (u *usage) get(now time.Time, key customerKey) *customerUsage {
	if c := u.newer[key]; c != nil {
		return c
	}
	c := u.older[key]
	if c == nil {
		c = &customerUsage{at: now, learned: u.learned, tokens: leastRate}
	}
	if u.newer == nil || len(u.newer) >= maxCustomers/2 {
		u.older, u.newer = u.newer, make(map[customerKey]*customerUsage)
	}
	u.newer[key] = c
	return c
}
