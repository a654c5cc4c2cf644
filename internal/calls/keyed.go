package calls

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/home"
	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/limit"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/homes"
	"lavenderdeal/internal/sender"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/caller"
	"lavenderdeal/schema/messages"
)

// staleRetryDelay is the delay before a call is resent after a node refused it
// because this node's roster of homes was stale.
const staleRetryDelay = 50 * time.Millisecond

// sendKeyed sends a call with an idempotency key to the home of its key. It
// resends the call only when the addressed node refuses it because this node's
// roster of homes is stale, and only while the body can still be sent in full.
func (e *Ingress) sendKeyed(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	body, replayable, err := replayBody(r)
	if err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	if call.Content, err = contentHash(r, body, replayable); err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	key := home.ParseKey(call.Customer, call.Key)
	for {
		if sender.Of(ctx).HasLeft() {
			return nil, callerGone()
		}
		tracked := &trackedBody{Reader: body()}
		reader := tracked.Reader
		if !replayable {
			reader = tracked
		}
		answer, err := e.sendToHome(ctx, call, key, r, reader)
		if err == nil {
			return answer, nil
		}
		notRun, ok := verdict.Of(err).(verdict.NotRun)
		if !ok || !homes.IsStaleRoster(notRun.Rule) || (!replayable && tracked.read.Load()) {
			return nil, err
		}
		e.metrics.Add("homesStale", 1)
		e.homes.Forget(call.Service)
		if !wait.For(ctx, staleRetryDelay) {
			return nil, err
		}
	}
}

// sendToHome sends the call once to the home of the key.
func (e *Ingress) sendToHome(ctx context.Context, call messages.Call, key home.Key, r *http.Request, body io.Reader) (*http.Response, error) {
	decision, err := e.homes.Find(ctx, call.Service, key)
	if err != nil {
		return nil, err
	}
	var id string
	switch d := decision.(type) {
	case home.Refused:
		return nil, verdict.NewError(d.Verdict)
	case home.Located:
		id = d.ID
	}
	view := e.view.Load()
	if id == view.Self().Id {
		return e.runner.Do(ctx, call, r, body)
	}
	server, ok := view.Member(id)
	if !ok || server.State == messages.MemberStateFailed {
		return nil, verdict.RefuseFor("homeUnreachable", "the home of the idempotency key is not known to live", time.Second)
	}
	sent := time.Now()
	e.mu.Lock()
	e.picker.Sent(sent, id)
	e.mu.Unlock()
	call.To = id
	answer, load, err := e.peers.Do(ctx, server.Call, call, r, body)
	recordMalformed(e.metrics, call, id, err)
	e.recordResult(ctx, id, sent, load, err)
	return answer, err
}

// contentHash returns a hash of the method, the URI and the body of a call. Of a
// body that is not replayable, only the length is hashed.
func contentHash(r *http.Request, body func() io.Reader, replayable bool) (string, error) {
	sum := sha256.New()
	for _, part := range [...]string{r.Method, r.URL.RequestURI(), strconv.FormatInt(r.ContentLength, 10)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	if replayable {
		if _, err := io.Copy(sum, body()); err != nil {
			return "", err
		}
	}
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:16]), nil
}

// runKeyed runs a call with an idempotency key if this node is the home of its key,
// or returns the recorded answer of an earlier call with the key.
func (r *Runner) runKeyed(ctx context.Context, call messages.Call, limits limit.Limits, request *http.Request, body io.Reader) (*http.Response, error) {
	id := idempotency.ID{Customer: call.Customer, Key: call.Key}
	replayOnly, err := r.homes.CheckHome(home.ParseKey(call.Customer, call.Key))
	if err != nil {
		return nil, err
	}
	switch o := r.records.Begin(ctx, id, call.Content, replayOnly).(type) {
	case idempotency.Refused:
		return nil, verdict.NewError(o.Verdict)
	case idempotency.Replay:
		r.metrics.Add("callsRepeated", 1)
		return replayResponse(o.Answer), nil
	}
	ended := false
	defer func() {
		if !ended {
			r.records.FinishUnknown(id)
		}
	}()
	answer, err := r.runLimited(ctx, call, limits, request, body)
	ended = true
	if err == nil {
		answer.Body = &recordedBody{ReadCloser: answer.Body, runner: r, id: id, answer: answer}
		return answer, nil
	}
	if _, notRun := verdict.Of(err).(verdict.NotRun); notRun {
		r.records.Release(id)
	} else {
		r.records.FinishUnknown(id)
	}
	return nil, err
}

// keepRunning returns a context for running a call with an idempotency key. It
// expires at the deadline but is not canceled when the caller disconnects, so that
// the caller gets the recorded answer when it resends the call.
func keepRunning(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// replayResponse returns a response with the recorded answer of an earlier call.
func replayResponse(recorded *idempotency.Answer) *http.Response {
	header := http.Header(recorded.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(caller.HeaderRepeated, "true")
	return &http.Response{
		StatusCode:    recorded.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(recorded.Body)),
		ContentLength: int64(len(recorded.Body)),
		Trailer:       http.Header(recorded.Trailer).Clone(),
	}
}

// recordedBody captures the body of an answer while it is read. Close reads and
// captures the rest, so that the answer is recorded also when the caller has
// disconnected.
type recordedBody struct {
	io.ReadCloser
	runner   *Runner
	id       idempotency.ID
	answer   *http.Response
	captured []byte
	// complete is set once the body was read to its end.
	complete bool
	// tooBig is set when the body exceeds idempotency.MaxAnswerBody.
	tooBig bool
	closed bool
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case len(b.captured)+n > idempotency.MaxAnswerBody:
		b.tooBig = true
		b.captured = nil
	case !b.tooBig:
		b.captured = append(b.captured, p[:n]...)
	}
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close reads the rest of the body unless it is too big, and records the answer.
func (b *recordedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	var rest [4 << 10]byte
	for !b.complete && !b.tooBig {
		if _, err := b.Read(rest[:]); err != nil {
			break
		}
	}
	record := idempotency.Answer{
		Status:      b.answer.StatusCode,
		Header:      b.answer.Header.Clone(),
		Body:        b.captured,
		Trailer:     b.answer.Trailer.Clone(),
		BodyDropped: !b.complete || b.tooBig,
	}
	b.runner.records.Finish(b.id, record)
	return b.ReadCloser.Close()
}

// trackedBody records whether the body was read from.
type trackedBody struct {
	io.Reader
	read atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}
