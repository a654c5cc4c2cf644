// Package choose picks the backend server for a call.
//
// A [Chooser] counts the calls that its node has outstanding at each server and
// remembers the load that answers brought back. Pick compares two random
// servers of the own zone, and of other zones when the own has none:
//
//	var c choose.Chooser
//	server, ok := c.Pick(view, "bookings", tried, random)
//	c.Sent(server.Id)
//	c.Answered(server.Id, load)
package choose

import (
	"slices"

	"lavenderdeal/core/fleet"
	"lavenderdeal/schema/messages"
)

// Chooser is the state of the choice. The zero value is ready to use. The
// caller serializes all calls.
type Chooser struct {
	servers map[string]*server
}

type server struct {
	outstanding int
	load        messages.Load
}

// Pick returns the server for a call, leaving out those already tried. The
// random numbers are in [0, 1).
func (c *Chooser) Pick(view *fleet.View, service string, tried []string, random [2]float64) (messages.Member, bool) {
	var near, far []messages.Member
	for _, m := range view.Servers(service) {
		if slices.Contains(tried, m.Id) {
			continue
		}
		if m.Zone == view.Self().Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return messages.Member{}, false
	}
	a := near[int(random[0]*float64(len(near)))]
	b := near[int(random[1]*float64(len(near)))]
	if c.score(b) < c.score(a) {
		return b, true
	}
	return a, true
}

// Sent counts a call that was sent to a server.
func (c *Chooser) Sent(id string) { c.get(id).outstanding++ }

// Answered ends a call and keeps the load that its answer brought back, if any.
func (c *Chooser) Answered(id string, load *messages.Load) {
	s := c.get(id)
	s.outstanding--
	if load != nil {
		s.load = *load
	}
}

func (c *Chooser) score(m messages.Member) float64 {
	s := c.get(m.Id)
	return float64(s.outstanding+s.load.Queued+s.load.Running) / float64(max(m.Slots, 1))
}

func (c *Chooser) get(id string) *server {
	if c.servers == nil {
		c.servers = make(map[string]*server)
	}
	s, ok := c.servers[id]
	if !ok {
		s = &server{}
		c.servers[id] = s
	}
	return s
}
