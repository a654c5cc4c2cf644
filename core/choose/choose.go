// Package choose picks the backend server for a call.
//
// # Chooser
//
// A [Chooser] counts the calls that its node has outstanding at each server and
// remembers the load that answers brought back:
//
//	var c choose.Chooser
//	server, ok := c.Pick(now, view, choose.Request{Service: "bookings", Random: random})
//	c.Sent(now, server.Id)
//	c.Ended(now, server.Id, choose.End{Load: load, Evidence: eject.Answered{}})
//
// # Rules
//
// A few servers of the own availability zone are compared by their load relative
// to their slots. While the own zone cannot keep up, servers of other zones of
// the region are compared too, with hysteresis; other regions are asked only when
// the own has no server. A server that is new gets few calls at first. One whose
// calls fail gets none for a while, but never more than a third of the servers of
// a service are left out. A refusal for want of room counts at once.
package choose

import (
	"slices"
	"time"

	"lavenderdeal/core/eject"
	"lavenderdeal/core/fleet"
	"lavenderdeal/schema/messages"
)

const (
	// compared is how many servers of a zone are compared for a call.
	compared = 8
	// spillAbove and spillBelow are the loads for each slot of the best server
	// of the own zone at which calls begin and cease to go to other zones.
	spillAbove = 1.25
	spillBelow = 0.9
	// spillPenalty is by how much a server of another zone has to be better.
	spillPenalty = 0.25
	// warmUp is the time over which a new server gets up to its part of the
	// calls, from coldShare on.
	warmUp    = 10 * time.Second
	coldShare = 0.1
	// firstSight is the time at the start of a node in which servers are not
	// taken for new.
	firstSight     = 5 * time.Second
	probationShare = 0.25
	suspectShare   = 0.5
	// overloadLoad is added to the load for each slot of a server that refused a
	// call for want of room.
	overloadLoad    = 1
	longestOverload = 1 * time.Second
	shortestRefusal = 50 * time.Millisecond
	// forgetAfter is how long a server is remembered after its last use.
	forgetAfter = 1 * time.Minute
)

// Chooser is the state of the choice. The zero value is ready to use. The
// caller serializes all calls.
type Chooser struct {
	begun   time.Time
	servers map[string]*server
	pools   map[string]*pool
	changes []Change
}

// Request is what a choice depends on.
type Request struct {
	Service string
	// Tried are the servers that are left out.
	Tried []string
	// Random numbers are in [0, 1), one for each tier.
	Random [2]float64
}

// End is how a call ended.
type End struct {
	// Load is what the answer brought back, or nil.
	Load     *messages.Load
	Evidence eject.Evidence
	// Overloaded says that the server refused the call for want of room.
	Overloaded bool
	RetryAfter time.Duration
}

// Change is a server that was ejected or has returned.
type Change struct {
	ID      string
	Ejected bool
	Until   time.Time
	// Why is the evidence in words.
	Why string
}

type server struct {
	member     messages.Member
	load       load
	slots      int
	record     eject.Record
	cold       time.Time
	overloaded time.Time
	used       time.Time
	service    *pool
	// listed says whether the server is in the view.
	listed bool
}

// tier is the distance of a server.
type tier uint8

const (
	ownZone tier = iota
	ownRegion
	otherRegion
	tierCount
)

// pool is the servers of one service in one view.
type pool struct {
	view     *fleet.View
	tiers    [tierCount][]*server
	size     int
	spilling bool
	callers  callerCount
}

// Pick returns the server for a call. It returns false when none is left.
func (c *Chooser) Pick(now time.Time, view *fleet.View, r Request) (messages.Member, bool) {
	p := c.pool(now, view, r.Service)
	near, nearScore := p.best(now, ownZone, r, false)
	p.noteLoad(near, nearScore)
	if near == nil || p.spilling {
		far, farScore := p.best(now, ownRegion, r, false)
		if near == nil || (far != nil && farScore+spillPenalty < nearScore) {
			near = far
		}
	}
	if near == nil {
		near, _ = p.best(now, otherRegion, r, false)
	}
	for t := ownZone; near == nil && t < tierCount; t++ {
		// Rather an ejected server than none.
		near, _ = p.best(now, t, r, true)
	}
	if near == nil {
		return messages.Member{}, false
	}
	return near.member, true
}

// Sent counts a call that was sent to a server.
func (c *Chooser) Sent(now time.Time, id string) {
	if s := c.servers[id]; s != nil {
		s.load.outstanding++
		s.load.sent++
		s.used = now
	}
}

// Ended ends a call that was sent.
func (c *Chooser) Ended(now time.Time, id string, e End) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.load.outstanding = max(s.load.outstanding-1, 0)
	s.used = now
	if e.Load != nil {
		s.load.report(now, e.Load.Running+e.Load.Queued)
		s.slots = max(e.Load.Slots, 1)
	}
	if e.Overloaded {
		wait := min(max(e.RetryAfter, shortestRefusal), longestOverload)
		s.overloaded = now.Add(wait)
	}
	if e.Evidence == nil {
		return
	}
	wasOnProbation := s.record.IsOnProbation()
	why := s.record.Report(now, e.Evidence)
	switch {
	case why != "" && s.service.mayEject(now):
		until := s.record.Eject(now)
		c.changes = append(c.changes, Change{ID: id, Ejected: true, Until: until, Why: why})
	case wasOnProbation && !s.record.IsOnProbation():
		c.changes = append(c.changes, Change{ID: id, Why: "its calls were answered on probation"})
	}
}

// Changes returns the changes since it was last called. The slice is valid until
// the next call of a method.
func (c *Chooser) Changes() []Change {
	changes := c.changes
	c.changes = c.changes[:0]
	return changes
}

// Ejected returns the servers that get no calls now, in order of their ids.
func (c *Chooser) Ejected(now time.Time) []string {
	var ids []string
	for id, s := range c.servers {
		if s.record.IsOut(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pool returns the servers of a service, and builds it anew when the view has
// changed.
func (c *Chooser) pool(now time.Time, view *fleet.View, service string) *pool {
	p := c.pools[service]
	if p != nil && p.view == view {
		return p
	}
	if c.servers == nil {
		c.servers = make(map[string]*server)
		c.pools = make(map[string]*pool)
		c.begun = now
	}
	if p == nil {
		p = &pool{}
		c.pools[service] = p
	}
	c.fill(now, p, view, view.Servers(service))
	if p.size == 0 {
		delete(c.pools, service)
	}
	return p
}

func (c *Chooser) fill(now time.Time, p *pool, view *fleet.View, members []messages.Member) {
	p.view = view
	p.size = len(members)
	for t := range p.tiers {
		for _, s := range p.tiers[t] {
			s.listed = false
		}
		p.tiers[t] = p.tiers[t][:0]
	}
	for _, m := range members {
		s := c.get(now, m)
		s.member, s.service, s.listed = m, p, true
		s.load.callers = &p.callers
		t := tierOf(view.Self(), m)
		p.tiers[t] = append(p.tiers[t], s)
	}
	c.forget(now)
}

func (c *Chooser) get(now time.Time, m messages.Member) *server {
	s := c.servers[m.Id]
	if s == nil {
		s = &server{used: now, slots: m.Slots}
		if now.Sub(c.begun) > firstSight {
			s.cold = now
		}
		c.servers[m.Id] = s
	}
	return s
}

// forget drops the servers that have left.
func (c *Chooser) forget(now time.Time) {
	for id, s := range c.servers {
		if !s.listed && s.load.outstanding == 0 && now.Sub(s.used) > forgetAfter {
			delete(c.servers, id)
		}
	}
}

func tierOf(self, m messages.Member) tier {
	switch {
	case m.Region != self.Region:
		return otherRegion
	case m.Zone != self.Zone:
		return ownRegion
	}
	return ownZone
}

// noteLoad decides whether calls go to other zones, by the best server of the
// own zone.
func (p *pool) noteLoad(best *server, score float64) {
	switch {
	case best == nil:
	case score > spillAbove:
		p.spilling = true
	case score < spillBelow:
		p.spilling = false
	}
}

// best compares some servers of a tier, from a random one on.
func (p *pool) best(now time.Time, t tier, r Request, ejected bool) (*server, float64) {
	servers := p.tiers[t]
	offset := int(r.Random[min(int(t), 1)] * float64(len(servers)))
	var best *server
	lowest := 0.0
	seen := 0
	for i := range servers {
		s := servers[(offset+i)%len(servers)]
		if s.record.IsOut(now) != ejected || slices.Contains(r.Tried, s.member.Id) {
			continue
		}
		if score := s.score(now); best == nil || score < lowest {
			best, lowest = s, score
		}
		if seen++; seen == compared {
			break
		}
	}
	return best, lowest
}

// score is the load for each slot that the server would have with one more call.
func (s *server) score(now time.Time) float64 {
	share := 1.0
	if !s.cold.IsZero() {
		share = s.warmth(now)
	}
	if s.record.IsOnProbation() {
		share *= probationShare
	}
	if s.member.State == messages.MemberStateSuspect {
		share *= suspectShare
	}
	score := (s.load.calls(now) + 1) / (float64(max(s.slots, 1)) * share)
	if now.Before(s.overloaded) {
		score += overloadLoad
	}
	return score
}

// warmth rises from coldShare to 1 while a new server warms up.
func (s *server) warmth(now time.Time) float64 {
	age := now.Sub(s.cold)
	if age >= warmUp {
		s.cold = time.Time{}
		return 1
	}
	return coldShare + (1-coldShare)*age.Seconds()/warmUp.Seconds()
}

// mayEject says whether one more server of the service may be left out: a third
// of them at most, one of two or three, and never the only one.
func (p *pool) mayEject(now time.Time) bool {
	out := 0
	for _, servers := range p.tiers {
		for _, s := range servers {
			if s.record.IsOut(now) {
				out++
			}
		}
	}
	allowed := p.size / 3
	if p.size == 2 {
		allowed = 1
	}
	return out < allowed
}
