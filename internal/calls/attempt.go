package calls

import (
	"bytes"
	"context"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// attempt asks servers until one answers, or until the verdict or the rules of
// retries forbid another attempt.
func (e *Entry) attempt(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	body, replayable, err := replayBody(r)
	if err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	var tried []string
	for {
		answer, id, err := e.once(ctx, call, r, body(), tried)
		if err == nil {
			return answer, nil
		}
		tried = append(tried, id)
		_, notRun := verdict.Of(err).(verdict.NotRun)
		if id == "" || !notRun || !replayable || len(tried) >= maxAttempts || call.Depth > 0 {
			return nil, err
		}
		e.metrics.Add("callsRetried", 1)
	}
}

// once asks one server. The id is that of the server, or "" when none was found.
func (e *Entry) once(ctx context.Context, call messages.Call, r *http.Request, body io.Reader, tried []string) (*http.Response, string, error) {
	view := e.view.Load()
	random := [2]float64{mathrand.Float64(), mathrand.Float64()}
	e.mu.Lock()
	server, ok := e.chooser.Pick(view, call.Service, tried, random)
	if ok {
		e.chooser.Sent(server.Id)
	}
	e.mu.Unlock()
	if !ok {
		return nil, "", verdict.RefuseFor("noServer", "no backend server of "+call.Service+" is known to take calls", time.Second)
	}
	var load *messages.Load
	var answer *http.Response
	var err error
	if server.Id == view.Self().Id {
		answer, err = e.runner.Do(ctx, call, r, body)
	} else {
		answer, load, err = e.peers.Do(ctx, server.Call, call, r, body)
	}
	e.mu.Lock()
	e.chooser.Answered(server.Id, load)
	e.mu.Unlock()
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
