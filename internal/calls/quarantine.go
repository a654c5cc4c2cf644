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

// checkCall refuses a call whose fingerprint is quarantined because calls with it
// crashed backend servers. It returns the description of the call for the crash
// monitor, and the body to send, since it reads a body of up to maxReplayBytes to
// compute the fingerprint.
func (r *Runner) checkCall(call messages.Call, request *http.Request, body io.Reader) (crashes.Call, io.Reader, error) {
	monitored := crashes.Call{Customer: call.Customer, Method: request.Method, Path: request.URL.Path}
	if r.monitor == nil {
		return monitored, body, nil
	}
	var data []byte
	if n := request.ContentLength; n > 0 && n <= maxReplayBytes {
		data = make([]byte, n)
		if _, err := io.ReadFull(body, data); err != nil {
			return monitored, nil, verdict.Refuse("bodyBroken", err.Error())
		}
		body = bytes.NewReader(data)
	}
	monitored.Fingerprint = quarantine.Fingerprint(quarantine.Request{
		Customer: call.Customer,
		Service:  call.Service,
		Method:   request.Method,
		URI:      request.URL.RequestURI(),
		Body:     data,
		Length:   request.ContentLength,
	})
	return monitored, body, r.monitor.Check(monitored.Fingerprint)
}

// beginCall reports a call to the crash monitor before it is sent to the backend
// server. It refuses a call that was quarantined while it waited for a slot.
func (r *Runner) beginCall(slot uint64, monitored crashes.Call) error {
	if r.monitor == nil {
		return nil
	}
	if err := r.monitor.Check(monitored.Fingerprint); err != nil {
		return err
	}
	r.monitor.Begin(slot, monitored)
	return nil
}

// callAnswered reports an answer of the backend server to the crash monitor. A
// status 503 with Retry-After is reported to the admission queue as overload.
func (r *Runner) callAnswered(slot uint64, answer *http.Response) {
	if r.monitor != nil {
		r.monitor.Answered(slot)
	}
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.ObserveOverload()
}

// callFailed reports a call whose connection broke to the crash monitor. A call
// that timed out or was canceled by its caller does not indicate a crash and is
// not reported.
func (r *Runner) callFailed(ctx context.Context, slot uint64, err error) {
	if _, ok := verdict.Of(err).(verdict.MayHaveRun); !ok || r.monitor == nil {
		return
	}
	if ctx.Err() == nil || !errors.Is(err, ctx.Err()) {
		r.monitor.ConnectionBroken(slot)
	}
}
