package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"lavenderdeal/core/routes"
	"lavenderdeal/core/uplink"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/meter"
	"lavenderdeal/platform"
)

// The kinds of outcomes, in the log and in metrics.
const (
	kindServed       = "served"
	kindServerFailed = "serverFailed"
	kindRefused      = "refused"
	kindFailed       = "failed"
)

// writeAnswer writes a server's answer to the caller and logs the outcome.
func (p *Proxy) writeAnswer(ctx context.Context, w http.ResponseWriter, q *request, o outcome) {
	if q.inner && o.answer.Status < http.StatusInternalServerError {
		p.local.CallServed(q.parent, q.service)
	}
	h := w.Header()
	for name, values := range o.answer.Header {
		if !isConnectionHeader(name) {
			h[name] = values
		}
	}
	if err := p.writeContent(ctx, w, o.answer.Status, o.answer.Body); err != nil && p.log.Allow("answerNotTaken") {
		p.log.Write("answerNotTaken", log.Fields{"request": q.id, "error": err})
	}
	kind := kindServed
	if o.answer.Status >= http.StatusInternalServerError {
		kind = kindServerFailed
	}
	p.logOutcome(kind, q, o, o.answer.Status)
}

// writeContent writes an answer with its length, a long one in parts that the link can
// send. It returns an error if the other side has gone, which gives the link to the next
// answer, or takes nothing for answerSilence: it would otherwise keep the answer in memory and
// the request in flight for good.
func (p *Proxy) writeContent(ctx context.Context, w http.ResponseWriter, status int, content []byte) error {
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(content))}
	conn := http.NewResponseController(w)
	// An error means that the connection is closed, so writing fails as well.
	_ = conn.SetWriteDeadline(time.Now().Add(answerSilence))
	w.WriteHeader(status)
	slot, part := p.uplink.reserve(len(content)), answerPart
	if len(content) >= uplink.LongAnswer {
		part = longAnswerPart
	}
	sent := 0
	defer func() { p.uplink.release(slot, sent) }()
	for sent < len(content) {
		if part == longAnswerPart {
			if err := p.uplink.await(ctx, slot, sent); err != nil {
				return err
			}
		}
		_ = conn.SetWriteDeadline(time.Now().Add(answerSilence))
		n, err := w.Write(content[sent:min(sent+part, len(content))])
		sent += n
		if err != nil {
			return err
		}
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	// The connection may be used for another request much later.
	return conn.SetWriteDeadline(time.Time{})
}

// writeRefusal writes the answer with which the node itself refuses or fails a request,
// and logs the outcome. It records a refusal, to recognize a retry of the caller.
func (p *Proxy) writeRefusal(ctx context.Context, w http.ResponseWriter, q *request, o outcome) {
	if o.status == 0 {
		o.status = http.StatusBadGateway
	}
	isRefused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
	if isRefused && !q.attempt.Deadline.IsZero() {
		p.mu.Lock()
		p.refusals.Add(time.Now(), q.attempt)
		p.mu.Unlock()
	}
	if isRefused && q.turnedAway && q.inner && o.rule != local.RuleCallerLeft {
		p.local.CallRefused(q.parent, q.service)
	}
	h := w.Header()
	platform.WriteRefusal(h, q.id, o.retryAfter)
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	content := []byte("lavenderdeal: " + o.rule + "\n")
	if err := p.writeContent(ctx, w, o.status, content); err != nil && p.log.Allow("answerNotTaken") {
		p.log.Write("answerNotTaken", log.Fields{"request": q.id, "error": err})
	}
	kind := kindFailed
	if isRefused {
		kind = kindRefused
	}
	p.logOutcome(kind, q, o, o.status)
}

// logOutcome counts a caller's request in the metrics and logs its outcome. Successful
// requests are sampled.
func (p *Proxy) logOutcome(kind string, q *request, o outcome, status int) {
	if q.route != nil {
		p.meter.Observe(meter.Class{Service: q.service, Kind: kindNames[q.route.Kind], Rank: q.route.Rank, Inner: q.inner}, kind, time.Since(q.started))
	}
	p.countAccount(kind, q, o)
	if kind == kindServed && !isSampled(q.id) || !p.log.Allow(kind) {
		return
	}
	fields := log.Fields{
		"request": q.id, "status": status, "rule": o.rule, "version": q.version,
		"inner": q.inner, "back": q.isRetry, "tookMs": time.Since(q.started).Milliseconds(), "offers": q.offers, "arrivals": q.arrivals,
	}
	if q.route != nil {
		fields["route"], fields["service"] = q.route.Name, q.service
	}
	if q.account != "" {
		fields["account"] = q.account
	}
	if o.server != "" {
		fields["by"] = o.server
		fields["waitedMs"], fields["running"], fields["queued"] = o.waited.Milliseconds(), o.load.Running, o.load.Queued
		fields["usualMs"], fields["failing"] = o.load.RunTime.Milliseconds(), o.load.FailureRate
	}
	if q.chosen != "" {
		fields["chosen"] = q.chosen
	}
	if len(q.attemptLog) > 0 {
		fields["asked"] = q.attemptLog
	}
	if o.retryAfter > 0 {
		fields["retryAfterMs"] = o.retryAfter.Milliseconds()
	}
	p.log.Write(kind, fields)
}

// kindNames are the names of route kinds in logs and metrics.
var kindNames = map[routes.Kind]string{routes.AtMostOnce: "once", routes.Idempotent: "idempotent", routes.Upload: "upload"}

// isSampled reports whether a success is logged. The choice depends only on the
// part of the ID that a request shares with the calls made for it, so that all
// nodes log the same requests, each with all of its calls.
func isSampled(id string) bool {
	root, _, _ := strings.Cut(id, ".")
	return xxhash.Sum64String(root)%sampleInterval == 0
}
