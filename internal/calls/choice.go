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

// pick picks a server that is not in tried and counts the call as sent to it. It
// returns false when there is none.
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
	server, ok := e.picker.Pick(now, view, request)
	if ok {
		e.picker.Sent(now, server.Id)
	}
	return server, ok
}

// recordResult reports the result of a call to the picker. The load is the one that
// the server reported, or nil.
func (e *Ingress) recordResult(ctx context.Context, id string, sent time.Time, load *messages.Load, err error) {
	now := time.Now()
	result := balancer.CallResult{Load: load, Outcome: outcomeOf(ctx, now.Sub(sent), err)}
	if v, ok := verdict.Of(err).(verdict.NotRun); ok && isOverload(v.Rule) {
		result.Overloaded, result.RetryAfter = true, v.RetryAfter
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.Ended(now, id, result)
	for _, c := range e.picker.Changes() {
		e.recordEjection(now, c)
	}
}

// Ejected returns the ids of the servers that currently get no calls from this node
// because earlier calls to them failed.
func (e *Ingress) Ejected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.Ejected(time.Now())
}

// recordEjection counts and records that a server was ejected or restored.
func (e *Ingress) recordEjection(now time.Time, c balancer.EjectionChange) {
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

// outcomeOf classifies the result of a call for outlier detection. It returns nil
// when the caller canceled the call, which is no indication of the server's
// health.
func outcomeOf(ctx context.Context, took time.Duration, err error) outlier.Outcome {
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

// isOverload reports whether the rule refuses calls because a server is overloaded.
func isOverload(rule string) bool {
	switch rule {
	case admission.RuleQueueFull, admission.RuleShed, admission.RuleDeadlineUnreachable:
		return true
	}
	return false
}
