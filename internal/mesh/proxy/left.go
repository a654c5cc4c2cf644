package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"lavenderdeal/internal/sender"
)

// The stages of a request at which its sender has left.
const (
	// leftUnnoticed means that the end of the connection had arrived when the request was about
	// to be sent on, but the HTTP server had not noticed it.
	leftUnnoticed = "unnoticed"
	// leftWaiting means that the request had not been sent to a server.
	leftWaiting = "waiting"
	// leftSent means that the request had been sent to a server.
	leftSent = "sent"
)

// departures counts the requests whose sender has left, by stage. The zero value is empty
// and ready to use. Lock order: mu is the only lock.
type departures struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (d *departures) add(stage string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = make(map[string]uint64)
	}
	d.counts[stage]++
}

// SendersLeft returns the numbers of requests of callers and of other nodes whose sender has
// left before the answer, by stage.
func (p *Proxy) SendersLeft() map[string]uint64 {
	p.departures.mu.Lock()
	defer p.departures.mu.Unlock()
	return maps.Clone(p.departures.counts)
}

// presence tells whether the sender of one request has left, and counts it once.
type presence struct {
	p       *Proxy
	ctx     context.Context
	conn    *sender.Conn
	id      string
	started time.Time
	// unnoticed is set once hasLeft knew more than the context.
	unnoticed bool
}

// newPresence returns the presence of the sender of a request. The context is that of the
// request, and started when its head was read.
func (p *Proxy) newPresence(ctx context.Context, id string, started time.Time) *presence {
	return &presence{p: p, ctx: ctx, conn: sender.Of(ctx), id: id, started: started}
}

// hasLeft returns true if the sender does not wait any more. Unlike the context, it knows that
// before the HTTP server has noticed it. It is not safe for concurrent use.
func (s *presence) hasLeft() bool {
	if s.unnoticed || s.ctx.Err() != nil {
		return true
	}
	s.unnoticed = s.conn.HasLeft()
	return s.unnoticed
}

// record counts and logs the request if its sender has left. The flag forwarded is set for a
// request of another node, and sent if it may have reached a server.
func (s *presence) record(forwarded, sent bool) {
	stage := leftWaiting
	switch {
	case s.unnoticed:
		stage = leftUnnoticed
	case s.ctx.Err() == nil:
		return
	case sent:
		stage = leftSent
	}
	s.p.departures.add(stage)
	if s.p.log.Allow("senderLeft") {
		s.p.log.Write("senderLeft", log.Fields{
			"request": s.id, "stage": stage, "forwarded": forwarded, "sent": sent, "tookMs": time.Since(s.started).Milliseconds(),
		})
	}
}
