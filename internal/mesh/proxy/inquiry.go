package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/pick"
	"lavenderdeal/core/routes"
	"lavenderdeal/core/withdrawal"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/pending"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	messages "lavenderdeal/schema/roster"
)

// answerTransit is how long the answer of a request that has ended may be on its way
// before it is fetched over a new connection.
const answerTransit = 100 * time.Millisecond

// maxUnanswered is the number of questions in a row without an answer after which an
// idempotent request is given up even if it cannot be sent elsewhere. A node that gets no
// processor for a moment may not answer one.
const maxUnanswered = 2

// inquiry asks a node over new connections what became of a request that it does not
// answer for an unusually long time. A kept connection may have gone silent although the
// node runs.
//
//   - A request that has not arrived is withdrawn, and can be sent elsewhere like one that
//     was refused.
//   - A request whose body the node has asked for in vain is withdrawn as well.
//   - The answer of a request that has ended is fetched.
//   - An idempotent request is sent elsewhere if the node cannot be reached, at once if another
//     one can run it. The first answer of the two is taken.
//   - Otherwise the inquiry waits and asks again.
type inquiry struct {
	p *Proxy
	q *request
	e messages.Entry
	// parent is the context of the request, and ctx that of its offer to this node.
	parent, ctx context.Context
	cancel      context.CancelFunc
	timer       *time.Timer
	// canGoElsewhere reports whether the request can be sent to another node.
	canGoElsewhere func() bool
	// expectsContinue is set if the body is sent only after the node has asked for it.
	expectsContinue bool
	// missed counts the questions in a row that were not answered.
	missed int
	// stopWithdrawal keeps withdraw from being called. A call for a request that runs on
	// the local server is not withdrawn, since the request would fail.
	stopWithdrawal func() bool
	// continued is set when the node asks for the body, and received when the first bytes
	// of the answer arrive.
	continued, received atomic.Bool

	mu sync.Mutex
	// found is the outcome of the request if the inquiry has determined it.
	found *pending.Answer
	// elsewhere is the request's way on at other nodes, or nil if it was not sent elsewhere. It
	// is not after closed is set.
	elsewhere *detour
	closed    bool
}

// detour is what becomes of a request at other nodes, while the one that it was offered to is
// silent. The outcome is valid when done is closed.
type detour struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome outcome
}

// newInquiry starts an inquiry and returns it with the context for the request, which is
// canceled when the inquiry has an outcome.
func (p *Proxy) newInquiry(ctx context.Context, q *request, e messages.Entry) (*inquiry, context.Context) {
	i := &inquiry{p: p, q: q, e: e, parent: ctx, canGoElsewhere: p.alternative(q, e), expectsContinue: len(q.http.Body) >= pick.LargeBodyBytes}
	i.ctx, i.cancel = context.WithCancel(ctx)
	i.timer = time.AfterFunc(p.probeDelay(e, q), i.run)
	i.stopWithdrawal = func() bool { return true }
	if !q.inner {
		i.stopWithdrawal = context.AfterFunc(p.withdrawing, func() { i.withdraw() })
	}
	return i, i.ctx
}

// stop ends the inquiry.
func (i *inquiry) stop() {
	i.timer.Stop()
	i.stopWithdrawal()
	i.cancel()
}

// outcome returns the outcome of the request if the inquiry has one.
func (i *inquiry) outcome() (pending.Answer, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.found == nil {
		return pending.Answer{}, false
	}
	return *i.found, true
}

// end ends the request with an outcome. The other connections to the node that are idle
// may be silent too.
func (i *inquiry) end(a pending.Answer) {
	i.mu.Lock()
	i.found = &a
	i.mu.Unlock()
	i.p.pool.CloseIdle(i.e.Call)
	i.cancel()
}

// run asks until the request has an outcome.
func (i *inquiry) run() {
	delay := i.p.probeDelay(i.e, i.q)
	for i.ctx.Err() == nil && !i.received.Load() {
		if i.ask() {
			return
		}
		wait.For(i.ctx, delay)
		delay *= 2
	}
}

// ask asks once. It returns true if the inquiry is finished.
func (i *inquiry) ask() bool {
	started := time.Now()
	i.p.uplink.reserve(0)
	state, _, ok := i.p.prober.Ask(i.ctx, i.e, i.question(false, false))
	switch {
	case i.ctx.Err() != nil || i.received.Load():
		return true
	case !ok:
		i.missed++
		if i.q.route.Kind == routes.Idempotent && !i.p.hasAnsweredSince(i.e, started) &&
			(i.missed >= maxUnanswered || i.canGoElsewhere()) {
			return i.goElsewhere()
		}
		return false
	case state == withdrawal.Withdrawn:
		i.logState(state)
		i.end(pending.Answer{Result: hop.Result{Verdict: hop.NotRun, Rule: local.RuleWithdrawn}})
		return true
	case state == withdrawal.Ended:
		wait.For(i.ctx, answerTransit)
		if i.ctx.Err() != nil || i.received.Load() {
			return true
		}
		i.logState(state)
		return i.fetch()
	case state == withdrawal.Receiving && i.expectsContinue:
		wait.For(i.ctx, answerTransit)
		if i.ctx.Err() == nil && !i.continued.Load() && !i.received.Load() {
			// The node's 100 Continue was lost with the connection.
			return i.withdraw()
		}
	}
	i.missed = 0
	return false
}

// goElsewhere offers the request to other nodes. It returns true if the inquiry is finished,
// which it is not if the others did not answer and the silent node's answer is arriving, or this
// node is stopping: the silent node may still answer, and a stopping node cancels no request.
func (i *inquiry) goElsewhere() bool {
	ctx, cancel := context.WithCancel(i.parent)
	defer cancel()
	d := &detour{cancel: cancel, done: make(chan struct{})}
	i.mu.Lock()
	if i.closed || i.elsewhere != nil {
		i.mu.Unlock()
		return true
	}
	i.elsewhere = d
	i.mu.Unlock()
	i.p.suspect(i.q, i.e)
	d.outcome = i.p.runElsewhere(ctx, i.q, i.e)
	close(d.done)
	if !isServed(d.outcome.answer) && (i.p.draining.Load() || i.received.Load()) {
		return false
	}
	i.cancel()
	return true
}

// close returns what became of the request at other nodes, or nil if it was not sent there. If
// the node has answered, the request is canceled there.
func (i *inquiry) close(answered bool) *outcome {
	i.mu.Lock()
	i.closed = true
	d := i.elsewhere
	i.mu.Unlock()
	if d == nil {
		return nil
	}
	if answered {
		d.cancel()
	}
	<-d.done
	return &d.outcome
}

// unanswered returns the result of a request that the node has not answered.
func (i *inquiry) unanswered(ctx context.Context, err error) hop.Result {
	switch {
	case !http1.MayHaveSent(err) && i.expectsContinue:
		return hop.Result{Verdict: hop.NotRun, Rule: ruleDisconnected}
	case !http1.MayHaveSent(err):
		return hop.Result{Verdict: hop.NotRun, Rule: ruleUnanswered}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return hop.Result{Verdict: hop.Unknown, Rule: local.RuleDeadline, ReachedServer: true}
	}
	return hop.Result{Verdict: hop.Unknown, Rule: ruleUnanswered, ReachedServer: true}
}

// fetch fetches the answer of a request that has ended. It returns true if the inquiry is
// finished.
func (i *inquiry) fetch() bool {
	_, answer, ok := i.p.prober.Ask(i.ctx, i.e, i.question(false, true))
	if !ok {
		return false
	}
	if answer == nil {
		if i.q.route.Kind != routes.Idempotent {
			return false
		}
		i.p.pool.CloseIdle(i.e.Call)
		i.cancel()
		return true
	}
	result, err := hop.ReadResult(answer.Header)
	if err != nil {
		i.p.log.WriteLimited("hopMalformed", log.Fields{"error": err, "from": i.e.Node})
		return false
	}
	hop.StripHeaders(answer.Header)
	i.end(pending.Answer{Result: result, Response: answer})
	return true
}

// withdraw takes the request back, unless the server works on it. It returns true if the
// request was withdrawn.
func (i *inquiry) withdraw() bool {
	state, _, _ := i.p.prober.Ask(i.ctx, i.e, i.question(true, false))
	if state != withdrawal.Withdrawn {
		return false
	}
	i.logState(state)
	i.end(pending.Answer{Result: hop.Result{Verdict: hop.NotRun, Rule: local.RuleWithdrawn}})
	return true
}

func (i *inquiry) question(withdraw, fetch bool) hop.Question {
	return hop.Question{
		ID: i.q.id, Epoch: i.e.Epoch, TimeLeft: time.Until(i.q.deadline), Withdraw: withdraw, Fetch: fetch,
	}
}

func (i *inquiry) logState(s withdrawal.State) {
	if i.p.log.Allow("answerMissed") {
		i.p.log.Write("answerMissed", log.Fields{"request": i.q.id, "peer": i.e.Node, "state": s.String()})
	}
}
