package calls

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/balancer"
	"lavenderdeal/core/explain"
	"lavenderdeal/core/outlier"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// pick chooses the server for a call and counts the call as sent.
func (e *Ingress) pick(service string, tried []string) (messages.Member, bool) {
	request := balancer.Request{
		Service: service,
		Tried:   tried,
		Random:  [2]float64{mathrand.Float64(), mathrand.Float64()},
	}
	view := e.view.Load()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	server, ok := e.chooser.Pick(now, view, request)
	if ok {
		e.chooser.Sent(now, server.Id)
	}
	return server, ok
}

// ended tells the chooser how a call ended that was sent to a server.
func (e *Ingress) ended(ctx context.Context, id string, sent time.Time, load *messages.Load, err error) {
	now := time.Now()
	end := balancer.CallResult{Load: load, Outcome: evidenceOf(ctx, now.Sub(sent), err)}
	if v, ok := verdict.Of(err).(verdict.NotRun); ok && isOverload(v.Rule) {
		end.Overloaded, end.RetryAfter = true, v.RetryAfter
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chooser.Ended(now, id, end)
	for _, c := range e.chooser.Changes() {
		e.explain(now, c)
	}
}

// Ejected returns the servers that get no calls now.
func (e *Ingress) Ejected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chooser.Ejected(time.Now())
}

func (e *Ingress) explain(now time.Time, c balancer.EjectionChange) {
	record := explain.Record{At: now, Kind: "serverReturned", Subject: c.ID, Detail: c.Reason}
	if c.Ejected {
		record.Kind = "serverEjected"
		record.Detail += ", until " + c.Until.UTC().Format(time.RFC3339)
	}
	e.metrics.Add(record.Kind, 1)
	if e.ring != nil {
		e.ring.Add(record)
	}
}

// evidenceOf returns what the outcome of a call says of its server. A caller
// that left says nothing.
func evidenceOf(ctx context.Context, took time.Duration, err error) outlier.Outcome {
	switch v := verdict.Of(err).(type) {
	case verdict.NotRun:
		if v.Rule == "peerUnreachable" || v.Rule == "serverUnreachable" {
			return outlier.Failed{}
		}
	case verdict.MayHaveRun:
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return nil
		case v.Rule == "deadlinePassed":
			return outlier.TimedOut{Took: took}
		}
		return outlier.Failed{}
	}
	return outlier.Answered{}
}

func isOverload(rule string) bool {
	switch rule {
	case admission.RuleQueueFull, admission.RuleShed, admission.RuleDeadlineUnreachable:
		return true
	}
	return false
}
