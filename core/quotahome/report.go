package quotahome

import (
	"math"
	"time"
)

// Report describes an account at its home at a time, for operators.
type Report struct {
	Limit Limit
	// Tokens is the number of requests that may run at once. It is negative if nodes have
	// sent some unasked.
	Tokens float64
	// Rate is the rate of the zone with loans, Demand the average of what nodes ask for, and
	// Lent and Borrowed are the loans, in requests per second.
	Rate, Demand, Lent, Borrowed float64
	// Excess is the part of the demand beyond what the zone may let through, from 0 to 1.
	Excess float64
}

// Reports returns the state of all accounts by name. It changes nothing.
func (h *Home) Reports(now time.Time) map[string]Report {
	list := make(map[string]Report, len(h.accounts))
	for name, a := range h.accounts {
		idle := max(0, now.Sub(a.updated))
		rate, lent := h.rate(now, a), a.lentRate(now, "")
		later := *a
		later.demand *= math.Exp(-idle.Seconds() / demandTime.Seconds())
		list[name] = Report{
			Limit: a.limit, Tokens: min(a.tokens+rate*idle.Seconds(), h.capacity(a.limit)),
			Rate: rate, Demand: later.demand, Lent: lent, Borrowed: max(0, rate-h.base(a.limit)+lent), Excess: h.excess(now, &later),
		}
	}
	return list
}
