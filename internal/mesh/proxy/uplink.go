package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lavenderdeal/core/uplink"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	"lavenderdeal/platform"
)

// longAnswerPart is the size in bytes of the parts in which long answers are sent. Short
// answers are sent between two of them.
const longAnswerPart = 16 << 10

// sharedUplink is the instance's link, shared by the answers of the node. Lock order: mu is
// the only lock.
type sharedUplink struct {
	mu   sync.Mutex
	link *uplink.Uplink
	// released is closed and replaced when a slot is released.
	released chan struct{}
}

func newSharedUplink(bytesPerSecond float64) *sharedUplink {
	return &sharedUplink{link: uplink.New(bytesPerSecond), released: make(chan struct{})}
}

func (s *sharedUplink) admit(now time.Time, r uplink.Request) (uplink.Ticket, *uplink.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Admit(now, r)
}

func (s *sharedUplink) end(t uplink.Ticket, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.End(time.Now(), t, bytes)
}

func (s *sharedUplink) reserve(bytes int) *uplink.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Reserve(time.Now(), bytes)
}

// release gives back the time that is left of a slot after a number of bytes was sent.
func (s *sharedUplink) release(slot *uplink.Slot, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link.Release(time.Now(), slot, sent) {
		close(s.released)
		s.released = make(chan struct{})
	}
}

// await waits until the next part of an answer may be sent. It returns an error if ctx is
// done first.
func (s *sharedUplink) await(ctx context.Context, slot *uplink.Slot, sent int) error {
	for {
		s.mu.Lock()
		left, released := slot.Wait(time.Now(), sent), s.released
		s.mu.Unlock()
		if left == 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-released:
		case <-ctx.Done():
		}
		timer.Stop()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

func (s *sharedUplink) relays(now time.Time, r uplink.Request, bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Relays(now, r, bytes)
}

func (s *sharedUplink) backlog() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Backlog(time.Now())
}

// AwaitUplink waits until the link can send a message of a size in bytes. It returns false at
// once if the message would not be sent within the given time.
func (p *Proxy) AwaitUplink(ctx context.Context, bytes int, within time.Duration) bool {
	p.uplink.mu.Lock()
	slot, ok := p.uplink.link.TryReserve(time.Now(), bytes, within)
	p.uplink.mu.Unlock()
	if !ok {
		return false
	}
	if p.uplink.await(ctx, slot, 0) != nil {
		p.uplink.release(slot, 0)
		return false
	}
	return true
}

// UplinkBacklog returns the time until the link has sent the answers that were begun.
func (p *Proxy) UplinkBacklog() time.Duration { return p.uplink.backlog() }

// runLocal runs a request on the local server, if its answer can be delivered in time.
func (p *Proxy) runLocal(ctx context.Context, c hop.Call, r *http1.Request, opts ...local.RunOption) (hop.Result, *http1.Response) {
	now := time.Now()
	t, refused := p.uplink.admit(now, uplink.Request{
		Class: c.Class, RunTime: p.local.Load(c.Class).RunTime, AllowLate: c.AllowLate, MustFinish: c.Inner,
		Target: now.Add(c.Target), Deadline: now.Add(c.TimeLeft),
	})
	if refused != nil {
		return hop.Result{Verdict: hop.NotRun, Rule: ruleUplinkFull, RetryAfter: refused.RetryAfter, Load: p.local.Load(c.Class)}, nil
	}
	id := platform.ReadRequest(r.Header).ID
	current, ok := p.beginRun(id, c)
	if !ok {
		p.uplink.end(t, 0)
		return hop.Result{Verdict: hop.NotRun, Rule: ruleRepeatedCalls, Load: p.local.Load(c.Class)}, nil
	}
	result, answer := p.local.Run(ctx, c, r, opts...)
	p.endRun(id, current, result.Verdict == hop.Ran)
	bytes := 0
	if answer != nil && answer.Status < http.StatusMultipleChoices {
		bytes = len(answer.Body)
	}
	p.uplink.end(t, bytes)
	return result, answer
}
