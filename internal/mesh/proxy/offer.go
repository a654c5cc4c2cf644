package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/retryafter"
	"lavenderdeal/core/routes"
	"lavenderdeal/core/uplink"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	messages "lavenderdeal/schema/roster"
)

// run offers the request to one node after the other until one answers it or none
// is left.
func (p *Proxy) run(ctx context.Context, q *request) outcome {
	return p.runAfter(ctx, q, outcome{})
}

// runElsewhere is like run for a request that was sent to a node which is silent. It is called
// while that node may still answer.
func (p *Proxy) runElsewhere(ctx context.Context, q *request, silent messages.Entry) outcome {
	last := q.last
	if last.answer == nil {
		last = outcome{status: http.StatusBadGateway, rule: ruleUnanswered, server: silent.Node}
	}
	q.arrivals++
	q.attemptLog = append(q.attemptLog, silent.Node+" silent")
	if !p.mayRetry(ctx, q) {
		return last
	}
	q.tried = append(q.tried, silent.Node)
	return p.runAfter(ctx, q, last)
}

// runAfter is run after earlier offers, whose outcome is last.
func (p *Proxy) runAfter(ctx context.Context, q *request, last outcome) outcome {
	for q.offers < maxOffers {
		now := time.Now()
		if ctx.Err() != nil || q.deadline.Sub(now) < minTimeLeft {
			return deadlineExceeded(q, last)
		}
		if p.withdrawing.Err() != nil && !q.inner {
			q.earliestRetry = retryafter.Stopping
			if last.rule == "" {
				last.rule = ruleStopping
			}
			break
		}
		choice, onlyFree, ok := p.choose(now, q)
		if !ok && q.excess {
			last.rule, q.earliestRetry = ruleFlood, retryafter.Flood
			break
		}
		if ok && choice.Full && !q.inner {
			q.attemptLog = append(q.attemptLog, choice.Entry.Node+" full a moment ago")
		}
		if !ok || choice.Full && !q.inner {
			if ok && last.rule == "" {
				last.rule = ruleFull
				q.earliestRetry = retryafter.Full
			}
			break
		}
		e := choice.Entry
		if e.Node != p.self.Node && q.caller.hasLeft() {
			return deadlineExceeded(q, last)
		}
		q.offers++
		q.chosen = p.reasonFor(choice, onlyFree)
		allowLate := q.inner || choice.NoAlternative || q.offers-len(q.busy) >= maxPromptOffers
		q.last = last
		result, answer, elsewhere := p.offer(ctx, q, e, offerTerms{allowLate: allowLate, onlyFree: onlyFree, onlyNode: choice.Only})
		if elsewhere != nil {
			return *elsewhere
		}
		if result.ReachedServer {
			q.arrivals++
		}
		if result.Verdict != hop.Ran {
			q.attemptLog = append(q.attemptLog, attemptLogEntry(e, result))
		}
		switch result.Verdict {
		case hop.Ran:
			last = outcome{answer: answer, rule: result.Rule, server: e.Node, waited: result.Waited, load: result.Load}
			if answer.Status < http.StatusInternalServerError || result.Rule == local.RuleCallRefused || !p.mayRetry(ctx, q) {
				return last
			}
		case hop.NotRun:
			if result.Rule == gate.RuleBusy {
				q.busy = append(q.busy, e.Node)
				continue
			}
			recordRefusal(q, result)
			q.turnedAway = q.turnedAway || isForLoad(result.Rule)
			if last.status == 0 && last.answer == nil {
				last.rule = result.Rule
			}
			if result.Rule == ruleRepeatedCalls {
				// The other nodes count a similar share of calls.
				return p.finish(q, last)
			}
			if result.Rule == local.RuleFailing && !choice.Only {
				q.failing = append(q.failing, e.Node)
				continue
			}
			if result.Rule == local.RuleWithdrawn || result.Rule == ruleDisconnected || result.Rule == local.RuleFailing || result.Rule == local.RuleVersion {
				// The node did not refuse the request for its load: the connection was lost, the
				// server fails, or servers of another version take it.
				break
			}
			isLast := allowLate && !q.inner && !choice.onTrial || result.Rule == local.RuleQuarantined
			if isLast || result.ReachedServer && !p.takeRetry(q) {
				return p.finish(q, last)
			}
		case hop.Unknown:
			if last.answer == nil {
				last = outcome{status: http.StatusBadGateway, rule: result.Rule, server: e.Node}
				if result.Rule == local.RuleDeadline {
					last.status = http.StatusGatewayTimeout
				}
			}
			if !p.mayRetry(ctx, q) {
				return last
			}
		}
		q.tried = append(q.tried, e.Node)
	}
	return p.finish(q, last)
}

// isForLoad reports whether a node refuses a request by the rule whichever node sends it.
func isForLoad(rule string) bool {
	switch rule {
	case gate.RuleFull, gate.RuleLate, local.RuleWaitedTooLong, local.RuleServerFull, local.RuleQuarantined,
		ruleUplinkFull, ruleLinkFull, ruleRepeatedCalls:
		return true
	}
	return false
}

// attemptLogEntry formats the rule and the load of a node's result for the log, as
// "NODE RULE RUNNING+QUEUED/SLOTS".
func attemptLogEntry(e messages.Entry, r hop.Result) string {
	return e.Node + " " + r.Rule + " " + strconv.Itoa(r.Load.Running) + "+" + strconv.Itoa(r.Load.Queued) + "/" + strconv.Itoa(r.Load.Limit)
}

// finish returns the outcome of a request when no more nodes are tried. The request
// is refused as not run only if no server may have run it.
func (p *Proxy) finish(q *request, last outcome) outcome {
	if last.answer != nil || last.status != 0 {
		return last
	}
	rule := last.rule
	if rule == "" {
		rule = ruleNoServer
	}
	return p.refused(q, rule)
}

// deadlineExceeded returns the outcome of a request whose deadline has passed, or is too
// close for another offer.
func deadlineExceeded(q *request, last outcome) outcome {
	if last.answer != nil || last.status != 0 {
		return last
	}
	if q.arrivals == 0 {
		// The request reached no server, so the caller can rely on its not having
		// run.
		return outcome{status: http.StatusServiceUnavailable, rule: ruleDeadline}
	}
	return outcome{status: http.StatusGatewayTimeout, rule: ruleDeadline}
}

// chosen is the node to which a request is offered.
type chosen struct {
	pick.Choice
	// onTrial is set if it was chosen among the servers on trial, to which the others are an
	// alternative.
	onTrial bool
}

// The reasons for which a node was chosen.
const (
	chosenTrial    = "onTrial"
	chosenOnly     = "onlyReady"
	chosenNoOther  = "noOtherHasRoom"
	chosenFreeSlot = "askedForFreeSlot"
	chosenOwnZone  = "bestInOwnZone"
	chosenAcross   = "bestInOtherZone"
)

// reasonFor returns why a node was chosen.
func (p *Proxy) reasonFor(c chosen, onlyFree bool) string {
	switch {
	case c.onTrial:
		return chosenTrial
	case c.Only:
		return chosenOnly
	case c.NoAlternative:
		return chosenNoOther
	case onlyFree:
		return chosenFreeSlot
	case c.Entry.Zone == p.self.Zone:
		return chosenOwnZone
	}
	return chosenAcross
}

// choose returns the node to which the request is offered next, and whether it may run there
// only if a slot is free. It returns false if no node may run it.
func (p *Proxy) choose(now time.Time, q *request) (choice chosen, onlyFree, ok bool) {
	choice, ok = p.pick(now, q, q.busy)
	if q.excess {
		return choice, true, ok && len(q.busy) < maxExcessOffers
	}
	onlyFree = ok && pick.HasFewSlots(choice.Entry) && !choice.Full && !choice.NoAlternative && !choice.Failing &&
		choice.Entry.Zone == p.self.Zone && len(q.busy) < maxBusyOffers
	if len(q.busy) > 0 && !onlyFree {
		// A slot is free nowhere nearby, so the request may be queued at a busy node.
		choice, ok = p.pick(now, q, nil)
	}
	return choice, onlyFree, ok
}

// pick returns the node to which the request is offered next, or false if there is none.
// It is none of those that were tried or are to be skipped.
func (p *Proxy) pick(now time.Time, q *request, skip []string) (chosen, bool) {
	if q.onTrial && q.offers == 0 {
		if c, ok := p.pickAmong(now, q, p.ready(q.service, true), skip); ok && !c.Full && !c.Failing {
			return chosen{Choice: c, onTrial: true}, true
		}
	}
	c, ok := p.pickAmong(now, q, p.ready(q.service, false), skip)
	return chosen{Choice: c}, ok
}

// ready returns the nodes whose servers take requests of a service: those whose version is
// on trial, or the others.
func (p *Proxy) ready(service string, onTrial bool) []messages.Entry {
	ready := p.members.Ready(service)
	if p.trials == nil {
		return ready
	}
	return p.trials.Filter(service, onTrial, ready)
}

func (p *Proxy) pickAmong(now time.Time, q *request, ready []messages.Entry, skip []string) (pick.Choice, bool) {
	own, relays := p.onlyOwn(now, q, ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := pick.Request{
		Zone: p.self.Zone, Class: q.route.Name, Inner: q.inner, BodyBytes: len(q.http.Body),
		TimeLeft: q.target.Sub(now), Tried: slices.Concat(q.tried, skip), Failing: q.failing, Random: rand.Float64,
	}
	if len(own) > 0 {
		c, ok := p.picker.Pick(now, own, r)
		c.Only, c.NoAlternative = len(ready) == 1 || c.Failing, !relays
		if !relays {
			return c, ok
		}
		if ok && !c.Full && !c.Failing {
			all, _ := p.picker.Pick(now, ready, r)
			c.NoAlternative = all.NoAlternative
			return c, true
		}
	}
	return p.picker.Pick(now, ready, r)
}

// onlyOwn returns a list of the own node if it is ready for a request with a long answer and
// its link is busy, and whether the link could send on the answer of another node in time. Such
// an answer takes the time of both links.
func (p *Proxy) onlyOwn(now time.Time, q *request, ready []messages.Entry) (own []messages.Entry, relays bool) {
	i := slices.IndexFunc(ready, func(e messages.Entry) bool { return e.Node == p.self.Node })
	if i < 0 {
		return nil, true
	}
	p.mu.Lock()
	bytes, runTime := p.picker.AnswerBytes(q.route.Name), p.picker.RunTime(ready[i], q.route.Name)
	p.mu.Unlock()
	if bytes < uplink.LongAnswer || p.uplink.backlog() <= runTime || p.local.Load(q.route.Name).FailureRate > maxOwnFailureRate {
		return nil, true
	}
	r := uplink.Request{RunTime: runTime, AllowLate: true, MustFinish: q.inner, Target: q.target, Deadline: q.deadline}
	return ready[i : i+1], p.uplink.relays(now, r, bytes)
}

// mayRetry reports whether a request that may have run may be sent to another
// server: it must be idempotent, and takeRetry must allow it. If so, it takes the retry
// from the budget.
func (p *Proxy) mayRetry(ctx context.Context, q *request) bool {
	return q.route.Kind == routes.Idempotent && ctx.Err() == nil && p.takeRetry(q)
}

// takeRetry reports whether the route's maximum number of servers and the retry budget
// allow the request to be sent to another server. If so, it takes the retry from the
// budget.
func (p *Proxy) takeRetry(q *request) bool {
	if q.arrivals >= max(1, q.route.MaxServers) {
		return false
	}
	nodes := p.members.Len()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Take(time.Now(), q.service, nodes)
}

// alternative returns a function that reports whether a request that is sent to a node now
// can later be sent to another one, which is expected to run it. It may be called while the
// request is changed.
func (p *Proxy) alternative(q *request, e messages.Entry) func() bool {
	service, arrivals, maxServers := q.service, q.arrivals+1, max(1, q.route.MaxServers)
	r := pick.Request{Class: q.route.Name, BodyBytes: len(q.http.Body), Tried: append(slices.Clone(q.tried), e.Node)}
	return func() bool {
		if arrivals >= maxServers {
			return false
		}
		ready, nodes := p.ready(service, false), p.members.Len()
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.picker.HasFree(now, ready, r) && p.budget.Has(now, service, nodes)
	}
}

// recordRefusal keeps the shortest time after which a node that refused the request
// expects a free slot.
func recordRefusal(q *request, r hop.Result) {
	after := r.RetryAfter
	if r.Rule == local.RuleServerFull || r.Rule == local.RuleWithdrawn || r.Rule == ruleDisconnected {
		after = retryafter.Shed
	}
	if after > 0 && (q.earliestRetry == 0 || after < q.earliestRetry) {
		q.earliestRetry = after
	}
}

// offerTerms say how long a request may wait at the node to which it is offered.
type offerTerms struct {
	// allowLate is set if it may wait even if it will miss its target latency.
	allowLate bool
	// onlyFree is set if it may not wait.
	onlyFree bool
	// onlyNode is set if no other node is beside a server of the service, or if most of these
	// servers fail requests.
	onlyNode bool
}

// offer sends the request to one node and reports the result to the picker. The last result
// is not nil if the node was silent and the request was sent elsewhere.
func (p *Proxy) offer(ctx context.Context, q *request, e messages.Entry, terms offerTerms) (hop.Result, *http1.Response, *outcome) {
	now := time.Now()
	c := hop.Call{
		Origin: p.self.Service, Instance: e.Server, Class: q.route.Name, Rank: q.rank,
		Inner: q.inner, AllowLate: terms.allowLate, OnlyFree: terms.onlyFree, OnlyNode: terms.onlyNode, AtMostOnce: q.http.AtMostOnce, Account: q.account,
		Repeated: q.repeated || q.arrivals > 0,
		Target:   q.target.Sub(now), TimeLeft: q.deadline.Sub(now),
	}
	p.mu.Lock()
	p.picker.Sent(e)
	if e.Zone == p.self.Zone {
		p.offers.own++
	} else {
		p.offers.other++
	}
	p.mu.Unlock()
	result, answer, elsewhere, err := p.send(ctx, q, e, c)
	p.mu.Lock()
	now = time.Now()
	failed := false
	switch {
	case elsewhere != nil:
		p.picker.Abandoned(e)
	case err == nil && result.Rule == ruleStopping:
		p.picker.Stopping(now, e)
		// The node closes them, perhaps while the next request is in transit.
		p.pool.CloseIdle(e.Call)
		failed = true
	case err == nil && result.Rule == local.RuleWithdrawn:
		p.picker.Abandoned(e)
	case err == nil:
		p.picker.Answered(now, e, q.route.Name, result.Load)
		switch {
		case result.Verdict == hop.Ran:
			p.picker.Accepted(now, e)
			p.picker.ObserveAnswer(q.route.Name, len(answer.Body))
		case result.Verdict != hop.NotRun || result.RetryAfter == 0:
		case result.Rule == ruleLinkFull, result.Rule == ruleMemory:
			p.picker.RefusedLargeBody(now, e, result.RetryAfter)
		case result.Rule == ruleUplinkFull:
			p.picker.RefusedClass(now, e, q.route.Name, result.RetryAfter)
		case result.Rule == local.RuleFailing:
			p.picker.Ejected(now, e, result.RetryAfter)
		default:
			p.picker.Refused(now, e, result.RetryAfter)
		}
	case errors.Is(ctx.Err(), context.Canceled):
		p.picker.Abandoned(e)
	default:
		p.picker.Failed(now, e)
		failed = true
	}
	p.mu.Unlock()
	if failed {
		p.watch(q, e, result.Rule, err)
	}
	return result, answer, elsewhere
}

// suspect excludes a silent node, while a request sent to it goes on.
func (p *Proxy) suspect(q *request, e messages.Entry) {
	p.mu.Lock()
	p.picker.Failed(time.Now(), e)
	p.picker.Sent(e)
	p.mu.Unlock()
	p.watch(q, e, ruleUnanswered, nil)
}

// watch probes a node that has failed a request until it answers.
func (p *Proxy) watch(q *request, e messages.Entry, rule string, cause error) {
	p.prober.Watch(e, func() { p.restore(e) })
	if p.log.Allow("offerFailed") {
		p.log.Write("offerFailed", log.Fields{"request": q.id, "peer": e.Node, "server": e.Server, "rule": rule, "error": cause})
	}
}

// restore makes a node eligible again that has failed and now answers.
func (p *Proxy) restore(e messages.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Restore(e)
}

// send sends the request to a node, or runs it if the node is this one. It returns an
// error if the node itself did not answer. After an unusually long time it asks the node
// what became of the request, and may send it elsewhere; the outcome there is returned if the
// node does not answer.
func (p *Proxy) send(ctx context.Context, q *request, e messages.Entry, c hop.Call) (hop.Result, *http1.Response, *outcome, error) {
	if e.Node == p.self.Node {
		result, answer := p.runLocal(ctx, c, q.http, local.WithSender(q.caller.hasLeft))
		return result, answer, nil, nil
	}
	forwarded := *q.http
	forwarded.Header = cloneHeader(q.http.Header)
	forwarded.IsAnswer = nil
	hop.WriteCall(forwarded.Header, c)
	i, ctx := p.newInquiry(ctx, q, e)
	defer i.stop()
	forwarded.ExpectContinue = i.expectsContinue
	forwarded.Continued, forwarded.Received = &i.continued, &i.received
	size := len(forwarded.Body)
	if i.expectsContinue {
		// The node may not ask for the body.
		size = 0
	}
	slot := p.uplink.reserve(size)
	answer, err := p.pool.Do(ctx, e.Call, &forwarded)
	if err != nil && !http1.MayHaveSent(err) {
		p.uplink.release(slot, 0)
	}
	var result hop.Result
	fetched, ok := i.outcome()
	switch {
	case err == nil:
		if result, err = hop.ReadResult(answer.Header); err != nil {
			result, answer = hop.Result{Verdict: hop.Unknown, Rule: ruleUnanswered, ReachedServer: true}, nil
		}
	case ok:
		result, answer, err = fetched.Result, fetched.Response, nil
	default:
		result, answer = i.unanswered(ctx, err), nil
	}
	// A node's refusal or failure has status 200 and no answer of a server.
	served := result.Verdict == hop.Ran && isServed(answer)
	elsewhere := i.close(served)
	if elsewhere != nil && !served && (elsewhere.answer != nil || result.Verdict != hop.Ran) {
		return result, nil, elsewhere, err
	}
	return result, answer, nil, err
}

// isServed reports whether the answer, which may be nil, is a server's and no failure.
func isServed(answer *http1.Response) bool {
	return answer != nil && answer.Status < http.StatusInternalServerError
}

// hasAnsweredSince reports whether a node that failed a probe has nevertheless answered
// a request since the probe began: a busy instance may be slow to accept a new
// connection. It always returns true while this node is stopping, since a stopping node
// cancels no request.
func (p *Proxy) hasAnsweredSince(e messages.Entry, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining.Load() || p.picker.LastAnswer(e).After(since)
}

// probeDelay returns the time without an answer after which the node is probed.
func (p *Proxy) probeDelay(e messages.Entry, q *request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minProbeDelay, probeDelayFactor*p.picker.RunTime(e, q.route.Name))
}

// refused returns the outcome of a request that has not run, with a jittered time
// after which to retry.
func (p *Proxy) refused(q *request, rule string) outcome {
	earliestRetry := q.earliestRetry
	if earliestRetry == 0 {
		earliestRetry = retryafter.NoServer
	}
	after := retryafter.Spread(earliestRetry, time.Until(q.deadline), rand.Float64())
	return outcome{status: http.StatusServiceUnavailable, rule: rule, retryAfter: after}
}
