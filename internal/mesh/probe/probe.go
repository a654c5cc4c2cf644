// Package probe checks whether a node is reachable, after calls to it failed or took
// unusually long.
//
// Nodes are not probed while they answer calls. IsReachable sends a single probe,
// however many requests wait for its result. Watch probes a failed node repeatedly
// until it answers, for a limited time:
//
//	p := probe.New(pool, log)
//	if !p.IsReachable(ctx, entry) {
//		p.Watch(entry, func() { restore(entry) })
//	}
//
// A probe opens a new connection, since a kept one may hang forever while new ones
// work.
package probe

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/withdrawal"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	messages "lavenderdeal/schema/roster"
)

const (
	// probeTimeout bounds the wait for an answer: nodes are milliseconds apart, and
	// a busy one may wait a tenth of a second for the processor.
	probeTimeout = 300 * time.Millisecond
	// maxAnswer bounds the body of an answer, in bytes. Nodes send answers of up to 64 KiB once
	// more.
	maxAnswer = 128 << 10
	// probeInterval is the pause between two probes of a watched node.
	probeInterval = 250 * time.Millisecond
	// maxWatchTime is how long a node is watched. After that, only calls to it show
	// whether it answers.
	maxWatchTime = 20 * time.Second
	// Path is the URL path of a probe request.
	Path = "/lavenderdeal/probe"
)

// Prober probes nodes. It is safe for concurrent use. Lock order: mu is the only
// lock; it is never held during a probe.
type Prober struct {
	pool   *http1.Pool
	log    *jsonlog.Log
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu sync.Mutex
	// pending holds the probes of IsReachable in flight, and watched the nodes that
	// Watch probes, both by node.
	pending map[string]*pendingProbe
	watched map[string]bool
	closed  bool
}

// pendingProbe is a probe in flight. Its result is valid when done is closed.
type pendingProbe struct {
	done     chan struct{}
	answered bool
}

// New returns a prober that opens its connections with the pool and logs when a
// watched node answers.
func New(pool *http1.Pool, l *jsonlog.Log) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	return &Prober{pool: pool, log: l, ctx: ctx, cancel: cancel, pending: make(map[string]*pendingProbe), watched: make(map[string]bool)}
}

// Close cancels all probes and waits for them to end.
func (p *Prober) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	_ = p.group.Wait()
}

// IsReachable reports whether a node answers a probe. It returns true if ctx ends
// first or the prober is closed, since the result is unknown then.
func (p *Prober) IsReachable(ctx context.Context, e messages.Entry) bool {
	p.mu.Lock()
	q := p.pending[e.Node]
	if q == nil {
		if p.closed {
			p.mu.Unlock()
			return true
		}
		q = &pendingProbe{done: make(chan struct{})}
		p.pending[e.Node] = q
		p.group.Go(func() error {
			q.answered = p.probe(e)
			p.mu.Lock()
			delete(p.pending, e.Node)
			p.mu.Unlock()
			close(q.done)
			return nil
		})
	}
	p.mu.Unlock()
	select {
	case <-q.done:
		return q.answered
	case <-ctx.Done():
		return true
	}
}

// Ask asks a node for the state of a request that was forwarded to it. It returns false if
// the node does not answer. The response holds the answer to the request if the node sends
// it once more, and is nil otherwise. A node of an earlier version knows no state.
func (p *Prober) Ask(ctx context.Context, e messages.Entry, q hop.Question) (withdrawal.State, *http1.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := &http1.Request{Method: http.MethodGet, URI: Path, Host: e.Node, Header: http.Header{}, NewConnection: true, MaxBody: maxAnswer}
	hop.WriteQuestion(r.Header, q)
	answer, err := p.pool.Do(ctx, e.Call, r)
	if err != nil {
		return withdrawal.Unknown, nil, false
	}
	state, _ := hop.ReadState(answer.Header)
	if !hop.IsResult(answer.Header) {
		return state, nil, answer.Status == http.StatusNoContent
	}
	return state, answer, true
}

// Watch probes a node in the background until it answers, and then calls onAnswer. It
// gives up after maxWatchTime without a call of onAnswer. It does nothing if the node is
// already watched.
func (p *Prober) Watch(e messages.Entry, onAnswer func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.watched[e.Node] {
		return
	}
	p.watched[e.Node] = true
	p.group.Go(func() error {
		started := time.Now()
		for wait.For(p.ctx, probeInterval) && time.Since(started) < maxWatchTime {
			if p.probe(e) {
				p.log.WriteLimited("nodeAnswers", log.Fields{"peer": e.Node, "after": time.Since(started).String()})
				onAnswer()
				break
			}
		}
		p.mu.Lock()
		delete(p.watched, e.Node)
		p.mu.Unlock()
		return nil
	})
}

// probe sends one probe and reports whether the node answered it.
func (p *Prober) probe(e messages.Entry) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	answer, err := p.pool.Do(ctx, e.Call, &http1.Request{Method: http.MethodGet, URI: Path, Host: e.Node, NewConnection: true, MaxBody: maxAnswer})
	return err == nil && answer.Status == http.StatusNoContent
}
