package proxy

import (
	"context"
	"math/bits"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/retryafter"
	"lavenderdeal/core/withdrawal"
	"lavenderdeal/internal/body"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/pending"
	"lavenderdeal/internal/mesh/probe"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	"lavenderdeal/platform"
)

// Inbound returns the handler for requests that other nodes forward, and for their
// probes.
func (p *Proxy) Inbound() http.Handler { return http.HandlerFunc(p.serveForwarded) }

// serveForwarded answers a probe, or runs a forwarded request on the local server.
func (p *Proxy) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probe.Path && !hop.IsCall(r.Header) {
		if hop.IsQuestion(r.Header) {
			p.serveQuestion(w, r)
			return
		}
		status := http.StatusNoContent
		if p.refusingNew.Load() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.closingForwarded.Load() {
		// Otherwise the connection could be closed while the next request is in
		// transit.
		w.Header()["Connection"] = []string{"close"}
	}
	c, err := hop.ReadCall(r.Header)
	if err != nil {
		p.log.WriteLimited("hopMalformed", log.Fields{"error": err, "from": r.RemoteAddr})
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.refusingNew.Load() {
		p.writeHopRefusal(w, r, c, hop.Result{Verdict: hop.NotRun, Rule: ruleStopping, RetryAfter: retryafter.Stopping})
		return
	}
	arrived := time.Now()
	body.Bound(w, r, bodySilence)
	call, ok := p.pending.Arrive(r.Context(), platform.ReadRequest(r.Header).ID, c.TimeLeft)
	if !ok {
		p.writeHopRefusal(w, r, c, hop.Result{Verdict: hop.NotRun, Rule: local.RuleWithdrawn})
		return
	}
	defer call.End()
	node := p.newPresence(r.Context(), platform.ReadRequest(r.Header).ID, arrived)
	var content []byte
	if r.ContentLength != 0 {
		in := body.New(w, r,
			body.WithMaxBytes(maxBodyBytes), body.WithBudget(p.bodies),
			body.WithDeadline(arrived.Add(c.TimeLeft)), body.WithFirstByte(firstByteSilence), body.WithSilence(bodySilence),
		)
		defer in.Release()
		var refused *hop.Result
		if content, refused = p.receive(r, c, call, in); refused != nil {
			// The end of the connection may be noticed as the body ends.
			node.record(true, false)
			p.writeHopRefusal(w, r, c, *refused)
			return
		}
	}
	elapsed := time.Since(arrived)
	c.TimeLeft, c.Target = c.TimeLeft-elapsed, c.Target-elapsed
	result, answer := p.runLocal(call.Context(), c, &http1.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: forwardedHeader(r.Header), Body: content,
	}, local.WithStart(call.Start), local.WithSender(node.hasLeft))
	node.record(true, result.ReachedServer)
	p.logHop(r, c, result)
	call.Keep(pending.Answer{Result: result, Response: answer})
	p.writeHopAnswer(r.Context(), w, platform.ReadRequest(r.Header).ID, result, answer)
}

// writeHopAnswer writes the result of a forwarded request and the server's answer, which
// is nil if there is none.
func (p *Proxy) writeHopAnswer(ctx context.Context, w http.ResponseWriter, id string, result hop.Result, answer *http1.Response) {
	h := w.Header()
	status := http.StatusOK
	var content []byte
	if answer != nil {
		for name, values := range answer.Header {
			if !isConnectionHeader(name) {
				h[name] = values
			}
		}
		status, content = answer.Status, answer.Body
	}
	hop.WriteResult(h, result)
	if err := p.writeContent(ctx, w, status, content); err != nil && p.log.Allow("hopNotTaken") {
		p.log.Write("hopNotTaken", log.Fields{"request": id, "error": err})
	}
}

// serveQuestion answers a question about a forwarded request. A question for another
// process of this node gets no promise.
func (p *Proxy) serveQuestion(w http.ResponseWriter, r *http.Request) {
	q, err := hop.ReadQuestion(r.Header)
	if err != nil {
		p.log.WriteLimited("hopMalformed", log.Fields{"error": err, "from": r.RemoteAddr})
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state := withdrawal.Unknown
	var kept *pending.Answer
	if q.Epoch == p.members.Own().Epoch {
		state, kept = p.pending.Ask(q)
	}
	p.log.WriteLimited("questionAnswered", log.Fields{"request": q.ID, "state": state.String(), "withdraw": q.Withdraw, "answer": kept != nil})
	hop.WriteState(w.Header(), state)
	if kept == nil {
		p.uplink.reserve(0)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	p.writeHopAnswer(r.Context(), w, q.ID, kept.Result, kept.Response)
}

// writeHopRefusal refuses a forwarded request. The status is 200, since the node that
// forwarded the request reads the result from the header.
func (p *Proxy) writeHopRefusal(w http.ResponseWriter, r *http.Request, c hop.Call, result hop.Result) {
	p.logHop(r, c, result)
	p.uplink.reserve(0)
	hop.WriteResult(w.Header(), result)
	w.WriteHeader(http.StatusOK)
}

// logHop logs the result of a request that another node has forwarded.
func (p *Proxy) logHop(r *http.Request, c hop.Call, result hop.Result) {
	id := platform.ReadRequest(r.Header).ID
	kind := "ranHere"
	if result.Verdict != hop.Ran {
		kind = "notRunHere"
	} else if !isSampled(id) {
		return
	}
	if !p.log.Allow(kind) {
		return
	}
	p.log.Write(kind, log.Fields{
		"request": id, "verdict": string(result.Verdict), "rule": result.Rule, "instance": c.Instance, "origin": c.Origin, "inner": c.Inner,
		"waitedMs": result.Waited.Milliseconds(), "running": result.Load.Running, "queued": result.Load.Queued, "slots": result.Load.Limit,
		"usualMs": result.Load.RunTime.Milliseconds(), "failing": result.Load.FailureRate, "targetMs": c.Target.Milliseconds(), "leftMs": c.TimeLeft.Milliseconds(),
	})
}

// receive reads the body of a forwarded request. It returns the refusal if the body does
// not arrive, so that a silent sender holds no slot for longer than bodySilence. The
// request is withdrawn then: its sender may learn that by a question.
func (p *Proxy) receive(r *http.Request, c hop.Call, call *pending.Request, in *body.Reader) ([]byte, *hop.Result) {
	done, refused := p.admitLongBody(call.Context(), r, c)
	if refused != nil {
		return nil, refused
	}
	call.Receive(true)
	defer call.Receive(false)
	started := time.Now()
	content, err := in.Read(call.Context())
	done(err == nil)
	switch {
	case err == nil:
		return content, nil
	case errors.Is(err, body.ErrNoMemory):
		return nil, &hop.Result{Verdict: hop.NotRun, Rule: ruleMemory, RetryAfter: retryafter.NoServer, Load: p.local.Load(c.Class)}
	}
	call.Abandon()
	p.log.WriteLimited("bodyNotReceived", log.Fields{
		"request": platform.ReadRequest(r.Header).ID, "from": r.RemoteAddr, "error": err, "tookMs": time.Since(started).Milliseconds(),
	})
	return nil, &hop.Result{Verdict: hop.NotRun, Rule: local.RuleWithdrawn}
}

// admitLongBody waits until a long body may be received. The link is shared with
// short requests, which would wait behind the bodies, and a body that arrives too
// late or for a full server wastes bandwidth. It returns the refusal, or the function to
// call after the body, with whether all of it was read.
func (p *Proxy) admitLongBody(ctx context.Context, r *http.Request, c hop.Call) (done func(read bool), refused *hop.Result) {
	if r.ContentLength < pick.LargeBodyBytes {
		return func(bool) {}, nil
	}
	if refused := p.local.WouldRefuse(c); refused != nil {
		return nil, refused
	}
	now := time.Now()
	load := p.local.Load(c.Class)
	id, full := p.link.Admit(ctx, gate.Request{
		Class: transferClass(r.ContentLength), Rank: c.Rank, AllowLate: c.AllowLate,
		Target: now.Add(c.Target - load.RunTime), Deadline: now.Add(c.TimeLeft - load.RunTime),
	})
	if full != nil {
		return nil, &hop.Result{Verdict: hop.NotRun, Rule: ruleLinkFull, RetryAfter: full.RetryAfter, Load: load}
	}
	p.transfers.add(id, time.Now())
	return func(read bool) {
		p.transfers.remove(id)
		p.link.Done(id, read)
	}, nil
}

// transferClass returns the class of a long body at the link's gate. Bodies of
// similar size take a similar time, so there is a class for each power of two. On a
// full link the shorter bodies can still meet their targets, so more callers are
// served.
func transferClass(length int64) string {
	return transferClassPrefix + strconv.Itoa(bits.Len64(uint64(length)))
}
