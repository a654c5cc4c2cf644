package calls

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/quarantine"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/schema/messages"
)

// checkCall refuses a call that is quarantined. It returns what the watch for
// crashes keeps of the call, and the body, of which it reads a short one.
func (r *Runner) checkCall(call messages.Call, request *http.Request, body io.Reader) (crashes.Call, io.Reader, error) {
	watched := crashes.Call{Customer: call.Customer, Method: request.Method, Path: request.URL.Path}
	if r.watch == nil {
		return watched, body, nil
	}
	var data []byte
	if n := request.ContentLength; n > 0 && n <= maxReplay {
		data = make([]byte, n)
		if _, err := io.ReadFull(body, data); err != nil {
			return watched, nil, verdict.Refuse("bodyBroken", err.Error())
		}
		body = bytes.NewReader(data)
	}
	watched.Fingerprint = quarantine.Fingerprint(quarantine.Request{
		Customer: call.Customer,
		Service:  call.Service,
		Method:   request.Method,
		URI:      request.URL.RequestURI(),
		Body:     data,
		Length:   request.ContentLength,
	})
	return watched, body, r.watch.Check(watched.Fingerprint)
}

// beginCall notes a call that is about to be sent to the backend server. A call
// that was quarantined while it waited is refused.
func (r *Runner) beginCall(slot uint64, watched crashes.Call) error {
	if r.watch == nil {
		return nil
	}
	if err := r.watch.Check(watched.Fingerprint); err != nil {
		return err
	}
	r.watch.Begin(slot, watched)
	return nil
}

// callAnswered notes an answer of the backend server, which may be its refusal
// for want of room.
func (r *Runner) callAnswered(slot uint64, answer *http.Response) {
	if r.watch != nil {
		r.watch.Answered(slot)
	}
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.ObserveOverload()
}

// callFailed notes a call whose connection broke. A call that ran out of time or
// whose caller left says nothing of the backend server.
func (r *Runner) callFailed(ctx context.Context, slot uint64, err error) {
	if _, ok := verdict.Of(err).(verdict.MayHaveRun); !ok || r.watch == nil {
		return
	}
	if ctx.Err() == nil || !errors.Is(err, ctx.Err()) {
		r.watch.ConnectionBroken(slot)
	}
}
