// Package probe asks nodes whether they answer, when calls give reason to doubt.
//
// # Prober
//
// Nodes are not probed while calls to them are answered. Answers asks one node
// once, however many requests want to know; Watch asks a node that failed again
// and again until it answers:
//
//	p := probe.New(pool, log)
//	if !p.Answers(ctx, entry) {
//		p.Watch(entry, func() { restore(entry) })
//	}
//
// A probe takes a new connection, since a kept one may be silent for good while
// new ones work.
package probe

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/lines"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/http1"
	messages "lavenderdeal/schema/roster"
)

const (
	// limit is the time for an answer: nodes are milliseconds apart, and a busy one
	// may need a tenth of a second for its turn of the processor.
	limit = 300 * time.Millisecond
	// every is the pause between two probes of a watched node.
	every = 250 * time.Millisecond
	// watchFor is how long a node is watched; calls find out later.
	watchFor = 20 * time.Second
	// Path is what a probe asks for.
	Path = "/lavenderdeal/probe"
)

// Prober probes nodes. It is safe for use by several goroutines at once. Lock
// order: mu is the only lock, never held during a probe.
type Prober struct {
	pool   *http1.Pool
	log    *lines.Log
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu      sync.Mutex
	asking  map[string]*question
	watched map[string]bool
	closed  bool
}

type question struct {
	done     chan struct{}
	answered bool
}

// New returns a prober that uses the pool's connections.
func New(pool *http1.Pool, l *lines.Log) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	return &Prober{pool: pool, log: l, ctx: ctx, cancel: cancel, asking: make(map[string]*question), watched: make(map[string]bool)}
}

// Close ends all probes.
func (p *Prober) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	_ = p.group.Wait()
}

// Answers says whether a node answers. It returns true when ctx ends first, as
// nothing is known then.
func (p *Prober) Answers(ctx context.Context, e messages.Entry) bool {
	p.mu.Lock()
	q := p.asking[e.Node]
	if q == nil {
		if p.closed {
			p.mu.Unlock()
			return true
		}
		q = &question{done: make(chan struct{})}
		p.asking[e.Node] = q
		p.group.Go(func() error {
			q.answered = p.ask(e)
			p.mu.Lock()
			delete(p.asking, e.Node)
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

// Watch probes a node until it answers, and then calls back. A node that is
// watched already is not watched twice.
func (p *Prober) Watch(e messages.Entry, back func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.watched[e.Node] {
		return
	}
	p.watched[e.Node] = true
	p.group.Go(func() error {
		started := time.Now()
		for wait.For(p.ctx, every) && time.Since(started) < watchFor {
			if p.ask(e) {
				p.log.Note("nodeAnswers", log.Fields{"peer": e.Node, "after": time.Since(started).String()})
				back()
				break
			}
		}
		p.mu.Lock()
		delete(p.watched, e.Node)
		p.mu.Unlock()
		return nil
	})
}

func (p *Prober) ask(e messages.Entry) bool {
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	answer, err := p.pool.Do(ctx, e.Call, &http1.Request{Method: http.MethodGet, URI: Path, Host: e.Node, Fresh: true})
	return err == nil && answer.Status == http.StatusNoContent
}
