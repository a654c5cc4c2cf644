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
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/caller"
	"lavenderdeal/schema/messages"
)

// stalePause is the time between two attempts to find the home of a key.
const stalePause = 50 * time.Millisecond

// attemptKeyed sends a call with an idempotency key to the home of its key. It
// is sent again only while the home refuses since the roster changed.
func (e *Ingress) attemptKeyed(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	body, replayable, err := replayBody(r)
	if err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	if call.Content, err = contentOf(r, body, replayable); err != nil {
		return nil, verdict.Refuse("bodyBroken", err.Error())
	}
	key := home.ParseKey(call.Customer, call.Key)
	for {
		tracked := &trackedBody{Reader: body()}
		sent := tracked.Reader
		if !replayable {
			sent = tracked
		}
		answer, err := e.askHome(ctx, call, key, r, sent)
		if err == nil {
			return answer, nil
		}
		notRun, ok := verdict.Of(err).(verdict.NotRun)
		if !ok || !homes.IsStaleRoster(notRun.Rule) || (!replayable && tracked.read.Load()) {
			return nil, err
		}
		e.metrics.Add("homesStale", 1)
		e.homes.Forget(call.Service)
		if !wait.For(ctx, stalePause) {
			return nil, err
		}
	}
}

// askHome asks the home of the key once.
func (e *Ingress) askHome(ctx context.Context, call messages.Call, key home.Key, r *http.Request, body io.Reader) (*http.Response, error) {
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
	e.chooser.Sent(sent, id)
	e.mu.Unlock()
	call.To = id
	answer, load, err := e.peers.Do(ctx, server.Call, call, r, body)
	e.ended(ctx, id, sent, load, err)
	return answer, err
}

// contentOf returns what stands for the method, the path and the body of a call.
// A body that is too long to be kept counts by its length.
func contentOf(r *http.Request, body func() io.Reader, replayable bool) (string, error) {
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

// runKeyed runs a call with an idempotency key at the home of its key, or
// answers it from the record.
func (r *Runner) runKeyed(ctx context.Context, call messages.Call, limits limit.Limits, request *http.Request, body io.Reader) (*http.Response, error) {
	id := idempotency.ID{Customer: call.Customer, Key: call.Key}
	knownOnly, err := r.homes.CheckHome(home.ParseKey(call.Customer, call.Key))
	if err != nil {
		return nil, err
	}
	switch o := r.records.Begin(ctx, id, call.Content, knownOnly).(type) {
	case idempotency.Refused:
		return nil, verdict.NewError(o.Verdict)
	case idempotency.Replay:
		r.metrics.Add("callsRepeated", 1)
		return repeated(o.Answer), nil
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

// keepRunning returns a context for the run of a call with an idempotency key.
// It ends at the deadline but not when the caller is gone, so that the caller's
// next sending finds the answer.
func keepRunning(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// repeated returns the kept answer of an earlier call.
func repeated(kept *idempotency.Answer) *http.Response {
	header := http.Header(kept.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(caller.HeaderRepeated, "true")
	return &http.Response{
		StatusCode:    kept.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(kept.Body)),
		ContentLength: int64(len(kept.Body)),
		Trailer:       http.Header(kept.Trailer).Clone(),
	}
}

// recordedBody keeps the answer of a call while it is read, and the rest of it
// when the caller is gone.
type recordedBody struct {
	io.ReadCloser
	runner *Runner
	id     idempotency.ID
	answer *http.Response
	kept   []byte
	whole  bool
	tooBig bool
	closed bool
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case len(b.kept)+n > idempotency.MaxAnswerBody:
		b.tooBig = true
		b.kept = nil
	case !b.tooBig:
		b.kept = append(b.kept, p[:n]...)
	}
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close reads what is left of a short answer and writes the record.
func (b *recordedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	var rest [4 << 10]byte
	for !b.whole && !b.tooBig {
		if _, err := b.Read(rest[:]); err != nil {
			break
		}
	}
	kept := idempotency.Answer{
		Status:      b.answer.StatusCode,
		Header:      b.answer.Header.Clone(),
		Body:        b.kept,
		Trailer:     b.answer.Trailer.Clone(),
		BodyDropped: !b.whole || b.tooBig,
	}
	b.runner.records.Finish(b.id, kept)
	return b.ReadCloser.Close()
}

// trackedBody remembers whether something was read.
type trackedBody struct {
	io.Reader
	read atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}
