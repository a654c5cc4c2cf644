// Package heartbeats tracks the state of a node's backend server by the heartbeats
// that the server sends.
//
// A [Server] processes each message of the server and returns whether to
// acknowledge it:
//
//	s := heartbeats.New("bookings", addr, 2*time.Second)
//	switch s.Handle(now, message).(type) {
//	case heartbeats.Accepted:
//		acknowledge()
//	case heartbeats.Ignored:
//		acknowledge()
//	case heartbeats.Rejected:
//		refuse()
//	}
//
// # Order
//
// Messages may arrive out of order. They are ordered by the start time of the
// server, then by the sequence. A run is the time from one start of the server to the
// next. A server that announced that it is leaving stays leaving until it is started
// again.
//
// The clock of a server may jump back between two starts, so that the later run has the earlier
// start time. Such a run takes the place of the known one when it has sent several messages over
// a while and the known run none. Until then its messages are ignored, and those by which it
// leaves are not acknowledged.
//
// # Next process
//
// A new process of the node does not know whether its server has announced to an earlier
// one that it is leaving, and a heartbeat from before may still arrive. After
// AwaitConfirmation the server takes no requests until Confirm is called, when the node
// has found out; it calls MarkEnded first if the server is leaving.
package heartbeats

import (
	"net/netip"
	"slices"
	"time"

	"lavenderdeal/core/gate"
)

const (
	// maxEnded is the maximum number of ended runs that are remembered.
	maxEnded = 32
	// clockError is the maximum expected difference between the clocks of a server
	// and its node. Leave allows for it, so that a later run with the same id is
	// not recorded as ended.
	clockError = 3 * time.Second
	// A run with an earlier start time than the known one is taken for a later run after
	// minEarlierMessages in a row, the last one minEarlierTime after the first. Messages of a
	// run that has ended arrive late within seconds, but not at intervals.
	minEarlierMessages = 3
	minEarlierTime     = 1 * time.Second
)

// Message is a heartbeat of a server.
type Message struct {
	// ID is the server's id. A restarted server may keep it.
	ID      string
	Service string
	Address netip.AddrPort
	// Version is the version of the server's software, or empty if it is not known.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set if the server announces that it is leaving.
	Leaving bool
	// WarmUp is how much longer the server is slow because it was started recently.
	WarmUp time.Duration
	// Sequence increases with each message of one run.
	Sequence uint64
	// Started is the start time of the server by its own clock.
	Started time.Time
}

// Outcome is Accepted, Ignored or Rejected.
type Outcome interface{ implementsOutcome() }

// Accepted is the outcome for a message that is newer than those before it.
type Accepted struct {
	// Changed is set if the server, its slots or its leaving state changed.
	Changed bool
}

// Ignored is the outcome for an outdated message. It is acknowledged nevertheless,
// because the sender is at the right node.
type Ignored struct{}

// Rejected is the outcome for an invalid message, or one of another node's server.
type Rejected struct {
	// Reason is a human-readable description of the invalid field.
	Reason string
}

// Server is the state of a node's backend server. It is not safe for concurrent
// use.
type Server struct {
	service string
	addr    netip.AddrPort
	drain   time.Duration

	// known is set once a message was accepted, which is then in latest.
	known  bool
	latest Message
	// unconfirmed is set between AwaitConfirmation and Confirm.
	unconfirmed bool
	// drainEnd is the time until which a leaving server takes requests.
	drainEnd time.Time
	ended    []endedRun
	// earlier is the run under the known id with an earlier start time that sends messages, if
	// earlier.count is not 0.
	earlier earlierRun
}

// earlierRun counts the messages of a run since the last message of the known one.
type earlierRun struct {
	started  time.Time
	first    time.Time
	count    int
	sequence uint64
}

// endedRun identifies a run of the server's process that has ended.
type endedRun struct {
	id      string
	started time.Time
	// replaced is set if a later run has taken its place.
	replaced bool
}

// New returns a Server that has not received a message yet. The argument drain is
// how long a leaving server still takes requests.
func New(service string, addr netip.AddrPort, drain time.Duration) *Server {
	return &Server{service: service, addr: addr, drain: drain}
}

// SetDrain sets how long a leaving server still takes requests. It does not affect
// a server that is leaving already.
func (s *Server) SetDrain(d time.Duration) { s.drain = d }

// AwaitConfirmation keeps the server from taking requests until Confirm is called.
func (s *Server) AwaitConfirmation() { s.unconfirmed = true }

// Confirm lets the server take requests. It returns false if it was confirmed before.
func (s *Server) Confirm() bool {
	changed := s.unconfirmed
	s.unconfirmed = false
	return changed
}

// IsConfirmed returns false between AwaitConfirmation and Confirm.
func (s *Server) IsConfirmed() bool { return !s.unconfirmed }

// Handle processes a heartbeat.
func (s *Server) Handle(now time.Time, m Message) Outcome {
	switch {
	case m.ID == "":
		return Rejected{Reason: "no id"}
	case m.Service != s.service:
		return Rejected{Reason: "another service"}
	case m.Address != s.addr:
		return Rejected{Reason: "another address"}
	case m.Slots < 1:
		return Rejected{Reason: "no slots"}
	}
	same := s.known && m.ID == s.latest.ID && m.Started.Equal(s.latest.Started)
	if !same && s.hasEnded(m) {
		return Ignored{}
	}
	if s.known {
		if m.Started.Before(s.latest.Started) && !s.isLaterRun(now, m) {
			if m.Leaving && m.ID == s.latest.ID {
				return Rejected{Reason: "another run of the server is known"}
			}
			return Ignored{}
		}
		if same && m.Sequence <= s.latest.Sequence {
			return Ignored{}
		}
		s.earlier = earlierRun{}
		if same {
			return s.update(now, m)
		}
		s.rememberEnded(endedRun{id: s.latest.ID, started: s.latest.Started, replaced: true})
	}
	s.known = true
	s.latest = m
	s.drainEnd = time.Time{}
	if m.Leaving {
		// An earlier process of this node may have acknowledged that the server is
		// leaving, at an unknown time, so the drain may be over already.
		s.drainEnd = now
	}
	return Accepted{Changed: true}
}

// isLaterRun counts a message with an earlier start time than that of the known run. It returns
// true if the message is nevertheless from a later run under the same id.
func (s *Server) isLaterRun(now time.Time, m Message) bool {
	if m.ID != s.latest.ID {
		return false
	}
	e := &s.earlier
	if e.count == 0 || !e.started.Equal(m.Started) {
		*e = earlierRun{started: m.Started, first: now}
	}
	if e.count > 0 && m.Sequence <= e.sequence {
		return false
	}
	e.sequence = m.Sequence
	e.count++
	return e.count >= minEarlierMessages && now.Sub(e.first) >= minEarlierTime
}

// update processes a newer message of the current run.
func (s *Server) update(now time.Time, m Message) Outcome {
	changed := m.Slots != s.latest.Slots
	if s.latest.Leaving {
		m.Leaving = true
	} else if m.Leaving {
		s.drainEnd = now.Add(s.drain)
		changed = true
	}
	s.latest = m
	return Accepted{Changed: changed}
}

// Leave processes a server's last message and reports whether the state changed.
// The server still takes requests for the duration of the drain. An unknown server
// is remembered as ended, because an earlier heartbeat of it may still arrive.
func (s *Server) Leave(now time.Time, id string) bool {
	if !s.known {
		return s.MarkEnded(now, id, now.Add(-clockError))
	}
	if s.latest.ID != id {
		s.rememberEnded(endedRun{id: id, started: now.Add(-clockError)})
		return false
	}
	if s.latest.Leaving {
		return false
	}
	s.latest.Leaving = true
	s.drainEnd = now.Add(s.drain)
	return true
}

// MarkEnded records that a server has announced to an earlier process of the node
// that it is leaving. It applies to the run that started at the given time and to
// earlier runs. If the current run is one of these and is not leaving yet, the server
// takes no further requests. If no run is known, this one becomes the current one, so that
// the node can publish that it is leaving. MarkEnded returns false if these runs were recorded as
// ended before.
func (s *Server) MarkEnded(now time.Time, id string, started time.Time) bool {
	if s.hasEnded(Message{ID: id, Started: started}) {
		return false
	}
	s.rememberEnded(endedRun{id: id, started: started})
	if !s.known {
		s.known = true
		s.latest = Message{ID: id, Service: s.service, Address: s.addr, Leaving: true, Started: started}
		s.drainEnd = now
	}
	if s.known && s.latest.ID == id && !s.latest.Started.After(started) && !s.latest.Leaving {
		s.latest.Leaving = true
		s.drainEnd = now
	}
	return true
}

// WasReplaced returns true if a run with the id was current until a later one took its
// place.
func (s *Server) WasReplaced(id string) bool {
	return slices.ContainsFunc(s.ended, func(e endedRun) bool { return e.id == id && e.replaced })
}

// Current returns the server's newest message and, if it is leaving, the time until
// which it takes requests. It returns false if there is no message yet.
func (s *Server) Current() (m Message, drainEnd time.Time, ok bool) {
	return s.latest, s.drainEnd, s.known
}

// Apply sets the limit of the gate to the server's slots, or closes the gate if the
// server takes no requests.
func (s *Server) Apply(now time.Time, g *gate.Gate) {
	if !s.known || s.unconfirmed || s.latest.Leaving && !now.Before(s.drainEnd) {
		g.Close()
		return
	}
	g.SetLimit(now, s.latest.Slots)
}

// rememberEnded records a run that has ended. It drops the oldest record if there are
// maxEnded.
func (s *Server) rememberEnded(run endedRun) {
	if len(s.ended) == maxEnded {
		s.ended = append(s.ended[:0], s.ended[1:]...)
	}
	s.ended = append(s.ended, run)
}

// hasEnded reports whether the message is from a run that has ended. A run that has announced
// its end is identified by its id and every start time up to the known one, and one that was
// replaced by its own start time. A server without a start time is identified by its id alone.
func (s *Server) hasEnded(m Message) bool {
	return slices.ContainsFunc(s.ended, func(e endedRun) bool {
		return e.id == m.ID && (m.Started.Equal(e.started) || !e.replaced && m.Started.Before(e.started))
	})
}

func (Accepted) implementsOutcome() {}
func (Ignored) implementsOutcome()  {}
func (Rejected) implementsOutcome() {}
