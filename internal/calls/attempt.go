package calls

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lavenderdeal/core/retry"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

const ruleNoServer = "noServer"

// attempt asks servers until one answers, or until the rules of retries forbid
// another attempt. The error carries the verdict on all attempts together.
func (e *Ingress) attempt(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	body, replayable, err := replayBody(r)
	if err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	e.firstAttempt(call)
	a := retry.Attempt{Depth: call.Depth, Method: r.Method}
	var tried []string
	var failed error
	for {
		answer, id, err := e.once(ctx, call, r, body(), tried)
		if err == nil {
			return answer, nil
		}
		failed = worse(failed, err)
		if id == "" || !replayable {
			return nil, failed
		}
		tried = append(tried, id)
		a.Attempts = len(tried)
		a.Verdict = verdict.Of(err)
		_, mayHaveRun := a.Verdict.(verdict.MayHaveRun)
		a.MayHaveRun = a.MayHaveRun || mayHaveRun
		if !e.mayRetry(a) {
			return nil, failed
		}
		e.metrics.Add("callsRetried", 1)
	}
}

func (e *Ingress) firstAttempt(call messages.Call) {
	if call.Depth > 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordFirst(time.Now())
}

func (e *Ingress) mayRetry(a retry.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Allow(time.Now(), a)
}

// worse returns the error that carries the verdict on a call after two attempts
// that failed. That no other server was left says less than the first failure.
func worse(earlier, later error) error {
	if earlier == nil {
		return later
	}
	first, second := verdict.Of(earlier), verdict.Of(later)
	if verdict.Rule(second) == ruleNoServer || retry.Combine(first, second) == first {
		return earlier
	}
	return later
}

// once asks one server. The id is that of the server, or "" when none was found.
func (e *Ingress) once(ctx context.Context, call messages.Call, r *http.Request, body io.Reader, tried []string) (*http.Response, string, error) {
	server, ok := e.pick(call.Service, tried)
	if !ok {
		return nil, "", verdict.RefuseFor(ruleNoServer, "no backend server of "+call.Service+" is known to take calls", time.Second)
	}
	sent := time.Now()
	var load *messages.Load
	var answer *http.Response
	var err error
	if server.Id == e.view.Load().Self().Id {
		answer, err = e.runner.Do(ctx, call, r, body)
		own := e.runner.Load()
		load = &own
	} else {
		answer, load, err = e.peers.Do(ctx, server.Call, call, r, body)
	}
	e.ended(ctx, server.Id, sent, load, err)
	return answer, server.Id, err
}

// replayBody returns a function that gives the body for each attempt. A body
// that is too long to keep can be given once only.
func replayBody(r *http.Request) (body func() io.Reader, replayable bool, err error) {
	if r.ContentLength < 0 || r.ContentLength > maxReplay {
		return func() io.Reader { return r.Body }, false, nil
	}
	if r.ContentLength == 0 {
		return func() io.Reader { return http.NoBody }, true, nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, false, err
	}
	return func() io.Reader { return bytes.NewReader(data) }, true, nil
}
