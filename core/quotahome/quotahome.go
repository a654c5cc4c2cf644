// Package quotahome keeps the limits of client accounts for one availability zone.
//
// # Split by zone
//
// Each zone has an equal part of an account's rate and burst. In a zone, one node is the
// home of an account: the others ask it for each request. A [Home] lets requests through
// by a token bucket:
//
//	h := quotahome.New(bounds)
//	g := h.Ask(now, "depot", limit, quotahome.Question{Want: 2, Part: 1, Calm: calm})
//
// # Loans
//
// A home whose zone demands more than its part borrows from those of the other zones. A
// loan ends after [LoanTime] by the clocks of both sides: the borrower counts it from when it
// asked, the lender from when it answered. So the rates of all zones never add up to more
// than that of the account, whatever messages are lost:
//
//	for _, n := range h.Short(now) { ... }
//	rate := lender.Lend(now, n.Account, limit, "north", n.Rate, calm)
//	h.Borrowed(askedAt, n.Account, "south", rate)
package quotahome

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// LoanTime is how long a part of the rate is lent. It bounds the time for which a
	// zone that is cut off holds back what it has lent or borrowed.
	LoanTime = 2 * time.Second
	// refillTime is the time in which a zone borrows enough to fill its bucket to a half.
	refillTime = 500 * time.Millisecond
	// demandTime is the time constant of the average demand. Below minDemand requests per
	// second, the average follows single requests, so a zone borrows only to fill its bucket
	// to a half.
	demandTime = 500 * time.Millisecond
	minDemand  = 10
	// shortPart is the part of its rate above which a zone borrows. It leaves time for the
	// answer before requests are refused.
	shortPart = 0.7
	// needFactor is the rate that a zone has, or asks for, by its demand. Demand varies.
	needFactor = 1.3
	// floodFactor is the demand, as a multiple of its rate, from which an account floods.
	// Callers that are refused in an overload come back, so demand is above what callers
	// want to have done.
	floodFactor = 1.25
	// keptPart is the part of its rate that a zone never lends, so that it can serve the
	// first requests when demand moves to it.
	keptPart = 0.1
	// marginPart is the part that the zones together use of what a limit may be exceeded by.
	// The rest is for homes that change, tokens that come back late and requests that are
	// sent unasked.
	marginPart = 0.65
	// The buckets of all zones have room for mostPart of the burst and of that margin, or for
	// fewRequests and leastPart, if that is less. The other part is a higher rate: both are the
	// same over a window, but an account whose limit is reached is refused less, and so is
	// one whose demand rises for seconds. An account with few requests a second needs room
	// for several at once in one zone.
	mostPart    = 0.5
	leastPart   = 0.35
	fewRequests = 20
	// startPart is the part of the margin that a new home begins with.
	startPart = 0.1
	// settleTime is how long nodes may disagree on the home after one has started. A home that
	// is new uses newPart of its rate then, and lends nothing until LoanTime later.
	settleTime = 1 * time.Second
	newPart    = 0.6
	// absence is the time without a question after which another node may have been the
	// home, if this one is, or was, a deputy, or if the nodes have changed since.
	absence = time.Second
	// minClosed and maxClosed bound the time for which nodes do not ask again.
	minClosed = 10 * time.Millisecond
	maxClosed = 100 * time.Millisecond
	// forgetTime is how long the state of an unused account is kept.
	forgetTime = 10 * time.Minute
)

// Bounds is by how much the requests of an account may exceed its limit.
type Bounds struct {
	// Window is the length of the sliding window in which requests are counted.
	Window time.Duration
	// Overshoot is the part of the limit, and Slack the number of requests, that may be in
	// a window in addition.
	Overshoot, Slack float64
	// Zones is the number of zones, at least 1.
	Zones int
}

// Margin returns the number of requests by which a window may exceed a limit.
func (b Bounds) Margin(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*b.Overshoot + b.Slack
}

// Spare returns the part of the margin that the homes leave to nodes which no home answers, also
// when the homes of all zones change.
func (b Bounds) Spare(l Limit) float64 {
	return max(0, b.Margin(l)*(1-marginPart-startPart)-float64(b.Zones))
}

// Limit is the limit of an account over all zones.
type Limit struct {
	// Rate is the number of requests per second, and Burst the number in addition after a
	// pause.
	Rate, Burst float64
}

// Question is what a node asks for an account.
type Question struct {
	// Want is the number of requests that wait. Spent is the number that were sent
	// unasked, and Back the number that were let through and have not run.
	Want, Spent, Back int
	// BackAge is how long ago the first of Back was let through.
	BackAge time.Duration
	// Part is the part of the rate that the home may use, 1 if no other node may be the
	// home of the account as well.
	Part float64
	// Deputy is set if another node should be the home, and may have granted all tokens.
	Deputy bool
	// Calm is for how long no other node can have been the home.
	Calm time.Duration
}

// Grant is the answer to a Question.
type Grant struct {
	// Granted is the number of requests that may run.
	Granted int
	// Closed is how long the node refuses further requests without asking, and RetryAfter
	// the time after which there is room for one that is refused now. Both are 0 if all
	// requests may run.
	Closed, RetryAfter time.Duration
	// Excess is the part of the account's requests that it sends beyond its limit, whether
	// they run or not.
	Excess float64
}

// Need is what a zone lacks for an account, in requests per second.
type Need struct {
	Account string
	Rate    float64
}

// Home holds the accounts of which one node is the home. It is not safe for concurrent use.
type Home struct {
	bounds   Bounds
	accounts map[string]*account
}

type account struct {
	limit Limit
	// part is the part of the rate that the home may use since the last question.
	part float64
	// tokens is the level of the bucket at the time updated. It is negative if nodes have
	// sent requests unasked.
	tokens  float64
	updated time.Time
	// peaks are the levels before each question.
	peaks peaks
	// settled is from when no other node is the home.
	settled time.Time
	// asked is the time of the last question, and deputy whether it was one to a deputy.
	asked  time.Time
	deputy bool
	// demand is the average number of requests per second, whether granted or not.
	demand float64
	// promised is the number of refused requests that were told to come back, less the tokens
	// that have come in since.
	promised float64
	// lent holds the loans to borrowers in other zones, and borrowed those of the other zones.
	lent     map[string][]loan
	borrowed map[string]loan
}

type loan struct {
	rate float64
	end  time.Time
}

// New returns a home without accounts.
func New(b Bounds) *Home { return &Home{bounds: b, accounts: make(map[string]*account)} }

// SetBounds changes the bounds.
func (h *Home) SetBounds(b Bounds) { h.bounds = b }

// Ask answers a question about an account with a limit.
func (h *Home) Ask(now time.Time, name string, l Limit, q Question) Grant {
	a := h.update(now, name, l, q)
	idle := now.Sub(a.asked)
	if absent := idle > absence && (q.Deputy || a.deputy || idle > q.Calm); absent || q.Deputy && q.Part < 1 {
		a.tokens = min(a.tokens, h.start(l, q.Calm))
		if absent {
			a.settled = later(a.settled, now.Add(settleTime-q.Calm))
		}
	}
	a.deputy, a.asked = q.Deputy, now
	a.demand += float64(q.Want+q.Spent) / demandTime.Seconds()
	h.giveBack(now, a, q)
	a.tokens -= float64(q.Spent)
	g := Grant{Granted: min(q.Want, max(0, int(a.tokens))), Excess: h.excess(now, a)}
	a.tokens -= float64(g.Granted)
	if g.Granted == q.Want {
		return g
	}
	g.Closed = min(max(h.wait(now, a, q.Part, 1-a.tokens), minClosed), maxClosed)
	// Requests that were refused come back one after the other.
	g.RetryAfter = min(max(h.wait(now, a, q.Part, 1-a.tokens+a.promised), minClosed), h.bounds.Window)
	a.promised = min(a.promised+float64(q.Want-g.Granted), h.rate(now, a)*h.bounds.Window.Seconds())
	return g
}

// giveBack adds the tokens that come back, less those that would not have fitted into the bucket
// if they had been in it all the time. Otherwise, the tokens of an account whose requests do not
// run for want of room would add up, and run all at once when there is room.
func (h *Home) giveBack(now time.Time, a *account, q Question) {
	a.peaks.add(now, a.tokens)
	if q.Back <= 0 {
		return
	}
	at := now.Add(-q.BackAge)
	tokens := min(float64(q.Back), max(0, h.capacity(a.limit)-a.peaks.since(at, a.tokens)))
	a.peaks.raise(at, tokens)
	a.tokens += tokens
}

// excess returns the part of the demand that is beyond what the zone may let through, with
// allowance for requests that were refused and come back.
func (h *Home) excess(now time.Time, a *account) float64 {
	if a.demand < minDemand || now.Before(a.settled) {
		return 0
	}
	return max(0, 1-floodFactor*h.rate(now, a)/a.demand)
}

// wait returns the time until a number of tokens will have come in.
func (h *Home) wait(now time.Time, a *account, part, tokens float64) time.Duration {
	rate := h.rate(now, a)
	fast, slow := rate*part, rate*min(part, newPart)
	settling := max(0, a.settled.Sub(now).Seconds())
	if tokens <= slow*settling {
		return seconds(tokens / slow)
	}
	return seconds(settling + (tokens-slow*settling)/max(fast, math.SmallestNonzeroFloat32))
}

// update returns the state of an account, with the tokens that have come in.
func (h *Home) update(now time.Time, name string, l Limit, q Question) *account {
	a := h.accounts[name]
	if a == nil {
		a = &account{
			tokens: h.start(l, q.Calm), updated: now, settled: now.Add(max(0, settleTime-q.Calm)),
			lent: make(map[string][]loan), borrowed: make(map[string]loan),
		}
		h.accounts[name] = a
	}
	a.limit, a.part = l, q.Part
	h.advance(now, a)
	return a
}

// advance adds the tokens that have come in to the state of an account.
func (h *Home) advance(now time.Time, a *account) {
	part := a.part
	if now.Before(a.settled) {
		part = min(part, newPart)
	}
	elapsed := max(0, now.Sub(a.updated))
	income := h.rate(now, a) * part * elapsed.Seconds()
	a.tokens = min(a.tokens+income, h.capacity(a.limit))
	a.promised = max(0, a.promised-income)
	a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	a.updated = later(a.updated, now)
}

// start returns the tokens of a new home. Another one may have granted all tokens just before
// it was replaced, but none for the time calm.
func (h *Home) start(l Limit, calm time.Duration) float64 {
	return min(1+h.bounds.Margin(l)*startPart/float64(h.bounds.Zones)+h.base(l)*calm.Seconds(), h.capacity(l))
}

// rate returns the rate of the zone, with loans.
func (h *Home) rate(now time.Time, a *account) float64 {
	rate := h.base(a.limit) - a.lentRate(now, "")
	for _, l := range a.borrowed {
		if now.Before(l.end) {
			rate += l.rate
		}
	}
	return max(0, rate)
}

// base returns the rate of the zone without loans.
func (h *Home) base(l Limit) float64 {
	return (l.Rate + (h.extra(l)-h.room(l))/h.bounds.Window.Seconds()) / float64(h.bounds.Zones)
}

// lentRate returns the rate that is lent to all borrowers but one.
func (a *account) lentRate(now time.Time, except string) float64 {
	sum := 0.0
	for borrower, loans := range a.lent {
		if borrower == except {
			continue
		}
		sum += highest(now, loans)
	}
	return sum
}

// highest returns the highest rate of the loans that have not ended. The borrower may not
// have got the answer about the last one.
func highest(now time.Time, loans []loan) float64 {
	rate := 0.0
	for _, l := range loans {
		if now.Before(l.end) {
			rate = max(rate, l.rate)
		}
	}
	return rate
}

// capacity returns the number of tokens that the bucket of the zone holds, at least one: a
// bucket with less would never let a request through.
func (h *Home) capacity(l Limit) float64 {
	return max(1, h.room(l)/float64(h.bounds.Zones))
}

// room returns the number of tokens that the buckets of all zones hold.
func (h *Home) room(l Limit) float64 {
	extra := h.extra(l)
	return min(extra*mostPart, fewRequests+extra*leastPart)
}

// extra returns the number of requests in a window in addition to the rate.
func (h *Home) extra(l Limit) float64 { return l.Burst + h.bounds.Margin(l)*marginPart }

// Reset empties the buckets. It is called when the node has been suspended, since another
// node may have been the home meanwhile.
func (h *Home) Reset(now time.Time) {
	for _, a := range h.accounts {
		a.tokens, a.updated = min(0, a.tokens), later(a.updated, now)
	}
}

// Skip makes no tokens come in between two times. It is called when the node has been
// suspended for so long that others may have asked another home, which has used the rate.
func (h *Home) Skip(from, to time.Time) {
	for _, a := range h.accounts {
		h.advance(from, a)
		a.updated = later(a.updated, to)
	}
}

// Short returns the accounts whose zone demands more than its rate without what it has
// borrowed, by name, and forgets those that are not used.
func (h *Home) Short(now time.Time) []Need {
	var list []Need
	for name, a := range h.accounts {
		idle := now.Sub(a.updated)
		if idle > forgetTime {
			delete(h.accounts, name)
			continue
		}
		own := h.base(a.limit) - a.lentRate(now, "")
		demand := a.demand * math.Exp(-max(0, idle).Seconds()/demandTime.Seconds())
		need := (h.capacity(a.limit)/2 - a.tokens - max(0, idle).Seconds()*own) / refillTime.Seconds()
		if demand > minDemand && demand > shortPart*own {
			need = max(need, demand*needFactor-own)
		}
		if h.bounds.Zones > 1 && need > 0 {
			list = append(list, Need{name, need})
		}
	}
	slices.SortFunc(list, func(a, b Need) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// Lend lends a part of the rate to a borrower in another zone until LoanTime from now, at most
// need. It returns the rate that was lent, which replaces that of an earlier loan. A zone has two
// borrowers while it has two homes. Calm is for how long no other node can have been the home.
func (h *Home) Lend(now time.Time, name string, l Limit, borrower string, need float64, calm time.Duration) float64 {
	a := h.update(now, name, l, Question{Part: 1, Calm: calm})
	if calm < settleTime && now.Before(a.settled.Add(LoanTime)) {
		// An earlier home may still use the whole rate, or what it has lent.
		need = 0
	}
	base := h.base(l)
	spare := base - a.lentRate(now, borrower) - max(needFactor*a.demand, keptPart*base)
	rate := max(0, min(need, spare))
	a.lent[borrower] = append(a.lent[borrower], loan{rate, now.Add(LoanTime)})
	for key, loans := range a.lent {
		a.lent[key] = slices.DeleteFunc(loans, func(l loan) bool { return !now.Before(l.end) })
	}
	maps.DeleteFunc(a.lent, func(_ string, loans []loan) bool { return len(loans) == 0 })
	return rate
}

// Borrowed records what another zone has lent, by an answer to a question that was sent at
// a time.
func (h *Home) Borrowed(sent time.Time, name, zone string, rate float64) {
	if a := h.accounts[name]; a != nil {
		a.borrowed[zone] = loan{rate, sent.Add(LoanTime)}
	}
}

// Status describes an account at its home.
type Status struct {
	// Tokens is the number of requests that may run at once. It is negative if nodes have
	// sent some unasked.
	Tokens float64
	// Rate is the rate of the zone with loans, and Demand the average of what nodes have
	// asked for, in requests per second.
	Rate, Demand float64
	// IsLow is set if the bucket is less than half full, so that the zone should borrow soon.
	IsLow bool
}

// Status returns the state of an account as of the last question, or false if there was
// none.
func (h *Home) Status(name string) (Status, bool) {
	a, ok := h.accounts[name]
	if !ok {
		return Status{}, false
	}
	return Status{a.tokens, h.rate(a.updated, a), a.demand, a.tokens < h.capacity(a.limit)/2}, true
}

// Len returns the number of accounts.
func (h *Home) Len() int { return len(h.accounts) }

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
