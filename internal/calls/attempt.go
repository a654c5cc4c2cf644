package calls

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lavenderdeal/core/retry"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/sender"
	"lavenderdeal/schema/messages"
)

// ruleNoServer refuses a call because no server of its service is available.
const ruleNoServer = "noServer"

// sendWithRetries sends the call to servers until one answers or the retry budget
// allows no further attempt. The error carries the combined verdict of all
// attempts.
func (e *Ingress) sendWithRetries(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	body, replayable, err := replayBody(r)
	if err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	e.recordFirstAttempt(call)
	a := retry.Attempt{Depth: call.Depth, Method: r.Method}
	var tried []string
	var failed error
	for {
		if sender.Of(ctx).HasLeft() {
			return nil, worse(failed, callerGone())
		}
		answer, id, err := e.sendOnce(ctx, call, r, body(), tried)
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

// recordFirstAttempt adds to the retry budget for a call from outside the fleet.
// Nested calls are not retried and add nothing.
func (e *Ingress) recordFirstAttempt(call messages.Call) {
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

// worse returns the error whose verdict describes a call after two failed
// attempts: the later one, unless only the earlier attempt may have run. A second
// attempt that found no other server adds no information, so the earlier error is
// kept. The argument earlier may be nil.
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

// sendOnce sends the call to one server that is not in tried. It returns the id of
// the server, or "" when none was available.
func (e *Ingress) sendOnce(ctx context.Context, call messages.Call, r *http.Request, body io.Reader, tried []string) (*http.Response, string, error) {
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
		recordMalformed(e.metrics, call, server.Id, err)
	}
	e.recordResult(ctx, server.Id, sent, load, err)
	return answer, server.Id, err
}

// replayBody returns a function that returns the request body for each attempt. A
// body of unknown length or longer than maxReplayBytes is not buffered and can be
// sent only once.
func replayBody(r *http.Request) (body func() io.Reader, replayable bool, err error) {
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
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
