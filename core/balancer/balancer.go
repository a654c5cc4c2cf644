// Package balancer implements client-side load balancing: it picks the backend
// server for a call.
//
// # Picker
//
// A [Picker] counts the node's outstanding calls at each server and keeps the load
// that servers report in their answers:
//
//	var p balancer.Picker
//	server, ok := p.Pick(now, view, balancer.Request{Service: "bookings", Random: random})
//	p.Sent(now, server.Id)
//	p.Ended(now, server.Id, balancer.CallResult{Load: load, Outcome: outlier.Answered{}})
//
// # Rules
//
// Pick compares a few servers of the node's own availability zone by their load
// relative to their slots. While the own zone is overloaded, servers of other zones
// of the region are compared too, with hysteresis. Other regions are used only if
// the own region has no server. A new server gets few calls at first (slow start).
// A server whose calls fail is ejected for a while, but never more than a third of
// the servers of a service, or one if there are two. A server that refuses a call
// because of overload gets a penalty at once.
package balancer

import (
	"slices"
	"time"

	"lavenderdeal/core/fleet"
	"lavenderdeal/core/outlier"
	"lavenderdeal/schema/messages"
)

const (
	// sampleSize is the number of servers of a zone that are compared for a call.
	sampleSize = 8
	// spillAbove and spillBelow are the loads per slot of the best server of the
	// own zone above which calls start, and below which they stop, to spill over to
	// other zones.
	spillAbove = 1.25
	spillBelow = 0.9
	// spillPenalty is added to the scores of servers in other zones.
	spillPenalty = 0.25
	// slowStartTime is the time over which the share of a new server rises from
	// slowStartShare to 1.
	slowStartTime  = 10 * time.Second
	slowStartShare = 0.1
	// startupTime is the time after the first pick in which servers found in the
	// view do not count as new.
	startupTime = 5 * time.Second
	// probationShare and suspectShare scale the share of calls of a server on
	// probation and of one whose member state is suspect.
	probationShare = 0.25
	suspectShare   = 0.5
	// overloadPenalty is added to the score of a server that refused a call because
	// of overload.
	overloadPenalty = 1
	// minOverloadTime and maxOverloadTime bound how long overloadPenalty applies.
	maxOverloadTime = 1 * time.Second
	minOverloadTime = 50 * time.Millisecond
	// serverTTL is how long the state of a server that left is kept after its last
	// use.
	serverTTL = 1 * time.Minute
)

// Picker picks servers and keeps the state that this needs. The zero value is ready
// to use. It is not safe for concurrent use.
type Picker struct {
	startedAt time.Time
	servers   map[string]*server
	pools     map[string]*pool
	changes   []EjectionChange
}

// Request describes the call for which a server is picked.
type Request struct {
	// Service is the service that is called.
	Service string
	// Tried holds the ids of servers that must not be picked.
	Tried []string
	// Random holds random numbers in [0, 1) that determine the first server to compare:
	// one number for the own zone and one for all other tiers.
	Random [2]float64
}

// CallResult describes how a call ended.
type CallResult struct {
	// Load is the load that the server reported in the answer, or nil.
	Load *messages.Load
	// Outcome is the evidence for outlier detection, or nil if the call does not count.
	Outcome outlier.Outcome
	// Overloaded is set if the server refused the call because of overload.
	Overloaded bool
	// RetryAfter is the Retry-After of that refusal, or 0 if it had none.
	RetryAfter time.Duration
}

// EjectionChange reports that a server was ejected or ended its probation.
type EjectionChange struct {
	// ID is the id of the server.
	ID string
	// Ejected is set if the server was ejected, and not set if it ended its probation.
	Ejected bool
	// Until is when the ejection ends.
	Until time.Time
	// Reason describes the evidence in words.
	Reason string
}

// server is the state of one backend server.
type server struct {
	member messages.Member
	load   load
	// slots is the number of slots in the last answer, or at first the declared number.
	slots    int
	detector outlier.Detector
	// newSince is when a server in slow start was found, or zero.
	newSince time.Time
	// overloadedUntil is when the overload penalty ends.
	overloadedUntil time.Time
	lastUsed        time.Time
	pool            *pool
	// inView is set if the server is in the current view of its service.
	inView bool
}

// tier ranks servers by their distance from the node.
type tier uint8

const (
	ownZone tier = iota
	ownRegion
	otherRegion
	tierCount
)

// pool holds the servers of one service in one view.
type pool struct {
	view  *fleet.View
	tiers [tierCount][]*server
	size  int
	// spilling is set while calls may go to other zones.
	spilling bool
	callers  callerCount
}

// Pick returns the server for a call. It returns false if every server was tried or
// none exists.
func (c *Picker) Pick(now time.Time, view *fleet.View, r Request) (messages.Member, bool) {
	p := c.pool(now, view, r.Service)
	chosen, chosenScore := p.best(now, ownZone, r, false)
	p.updateSpilling(chosen, chosenScore)
	if chosen == nil || p.spilling {
		far, farScore := p.best(now, ownRegion, r, false)
		if chosen == nil || (far != nil && farScore+spillPenalty < chosenScore) {
			chosen = far
		}
	}
	if chosen == nil {
		chosen, _ = p.best(now, otherRegion, r, false)
	}
	for t := ownZone; chosen == nil && t < tierCount; t++ {
		// Fall back to ejected servers if there is no other.
		chosen, _ = p.best(now, t, r, true)
	}
	if chosen == nil {
		return messages.Member{}, false
	}
	return chosen.member, true
}

// Sent counts a call that was sent to the server with the given id. Unknown ids are
// ignored.
func (c *Picker) Sent(now time.Time, id string) {
	if s := c.servers[id]; s != nil {
		s.load.outstanding++
		s.load.sentSince++
		s.lastUsed = now
	}
}

// Ended records the result of a call that was sent to the server with the given id.
// Unknown ids are ignored.
func (c *Picker) Ended(now time.Time, id string, e CallResult) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.load.outstanding = max(s.load.outstanding-1, 0)
	s.lastUsed = now
	if e.Load != nil {
		s.load.report(now, e.Load.Running+e.Load.Queued)
		s.slots = max(e.Load.Slots, 1)
	}
	if e.Overloaded {
		wait := min(max(e.RetryAfter, minOverloadTime), maxOverloadTime)
		s.overloadedUntil = now.Add(wait)
	}
	if e.Outcome == nil {
		return
	}
	wasOnProbation := s.detector.IsOnProbation()
	reason := s.detector.Report(now, e.Outcome)
	switch {
	case reason != "" && s.pool.canEject(now):
		until := s.detector.Eject(now)
		c.changes = append(c.changes, EjectionChange{ID: id, Ejected: true, Until: until, Reason: reason})
	case wasOnProbation && !s.detector.IsOnProbation():
		c.changes = append(c.changes, EjectionChange{ID: id, Reason: "its calls were answered on probation"})
	}
}

// Changes returns the ejections and ended probations since it was last called. The
// slice is valid until the next call of a method.
func (c *Picker) Changes() []EjectionChange {
	changes := c.changes
	c.changes = c.changes[:0]
	return changes
}

// Ejected returns the ids of the servers that are ejected now, sorted.
func (c *Picker) Ejected(now time.Time) []string {
	var ids []string
	for id, s := range c.servers {
		if s.detector.IsEjected(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pool returns the pool of a service and rebuilds it if the view has changed.
func (c *Picker) pool(now time.Time, view *fleet.View, service string) *pool {
	p := c.pools[service]
	if p != nil && p.view == view {
		return p
	}
	if c.servers == nil {
		c.servers = make(map[string]*server)
		c.pools = make(map[string]*pool)
		c.startedAt = now
	}
	if p == nil {
		p = &pool{}
		c.pools[service] = p
	}
	c.rebuild(now, p, view, view.Servers(service))
	if p.size == 0 {
		delete(c.pools, service)
	}
	return p
}

// rebuild replaces the servers of a pool by the members of a new view. It keeps the
// state of servers that are known already.
func (c *Picker) rebuild(now time.Time, p *pool, view *fleet.View, members []messages.Member) {
	p.view = view
	p.size = len(members)
	for t := range p.tiers {
		for _, s := range p.tiers[t] {
			s.inView = false
		}
		p.tiers[t] = p.tiers[t][:0]
	}
	for _, m := range members {
		s := c.serverFor(now, m)
		s.member, s.pool, s.inView = m, p, true
		s.load.callers = &p.callers
		t := tierOf(view.Self(), m)
		p.tiers[t] = append(p.tiers[t], s)
	}
	c.prune(now)
}

func (c *Picker) serverFor(now time.Time, m messages.Member) *server {
	s := c.servers[m.Id]
	if s == nil {
		s = &server{lastUsed: now, slots: m.Slots}
		if now.Sub(c.startedAt) > startupTime {
			s.newSince = now
		}
		c.servers[m.Id] = s
	}
	return s
}

// prune drops the state of servers that left the view and are no longer in use.
func (c *Picker) prune(now time.Time) {
	for id, s := range c.servers {
		if !s.inView && s.load.outstanding == 0 && now.Sub(s.lastUsed) > serverTTL {
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

// updateSpilling decides from the score of the best server of the own zone whether
// calls may go to other zones.
func (p *pool) updateSpilling(best *server, score float64) {
	switch {
	case best == nil:
	case score > spillAbove:
		p.spilling = true
	case score < spillBelow:
		p.spilling = false
	}
}

// best returns the server with the lowest score among up to sampleSize servers of a
// tier, starting at a random one. It considers only ejected servers if ejected is
// set, and only the others if not.
func (p *pool) best(now time.Time, t tier, r Request, ejected bool) (*server, float64) {
	servers := p.tiers[t]
	offset := int(r.Random[min(int(t), 1)] * float64(len(servers)))
	var best *server
	lowest := 0.0
	seen := 0
	for i := range servers {
		s := servers[(offset+i)%len(servers)]
		if s.detector.IsEjected(now) != ejected || slices.Contains(r.Tried, s.member.Id) {
			continue
		}
		if score := s.score(now); best == nil || score < lowest {
			best, lowest = s, score
		}
		if seen++; seen == sampleSize {
			break
		}
	}
	return best, lowest
}

// score returns the load per slot that the server would have with one more call,
// with its penalties.
func (s *server) score(now time.Time) float64 {
	share := 1.0
	if !s.newSince.IsZero() {
		share = s.slowStart(now)
	}
	if s.detector.IsOnProbation() {
		share *= probationShare
	}
	if s.member.State == messages.MemberStateSuspect {
		share *= suspectShare
	}
	score := (s.load.calls(now) + 1) / (float64(max(s.slots, 1)) * share)
	if now.Before(s.overloadedUntil) {
		score += overloadPenalty
	}
	return score
}

// slowStart returns the share of a new server, which rises from slowStartShare to 1.
func (s *server) slowStart(now time.Time) float64 {
	age := now.Sub(s.newSince)
	if age >= slowStartTime {
		s.newSince = time.Time{}
		return 1
	}
	return slowStartShare + (1-slowStartShare)*age.Seconds()/slowStartTime.Seconds()
}

// canEject reports whether one more server of the service may be ejected: at most a
// third of them, one of two, and never the only one.
func (p *pool) canEject(now time.Time) bool {
	out := 0
	for _, servers := range p.tiers {
		for _, s := range servers {
			if s.detector.IsEjected(now) {
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
