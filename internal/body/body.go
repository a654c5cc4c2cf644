// Package body reads the bodies of HTTP requests within bounds of time and memory.
//
// net/http reads a body for as long as its connection is open. A peer that is frozen, has
// lost power or is cut off never closes it, so the handler would wait for good, with the
// slots and the memory that it holds. A [Reader] gives up:
//
//	content, err := body.New(w, r, body.WithDeadline(deadline), body.WithMaxBytes(limit)).Read(ctx)
//	if errors.Is(err, body.ErrSilent) {
//		return refuse()
//	}
//
// The memory of a body grows as bytes arrive, whatever length the header claims, unless a
// budget bounds the memory of all bodies. Then the length is reserved at once, so that a body
// for which there is no room is refused before it is sent.
package body

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/memory"
)

// initialBytes is the size up to which the memory of a body is allocated at once.
const initialBytes = 64 << 10

// The errors of [Reader.Read].
var (
	// ErrTooLong means that the body has more than the maximum number of bytes.
	ErrTooLong = errors.New("the body is too long")
	// ErrSilent means that no bytes arrived for the time of WithSilence or WithFirstByte,
	// or that the deadline has passed or the context has ended.
	ErrSilent = errors.New("the sender of the body is silent")
	// ErrNoMemory means that the budget for bodies has no room for this one.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrBroken means that the connection ended before the body, or that its encoding is
	// invalid.
	ErrBroken = errors.New("the body is incomplete or invalid")
)

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// Reader reads the body of one request. Use New to create one.
type Reader struct {
	conn     *http.ResponseController
	request  *http.Request
	maxBytes int64
	deadline time.Time
	// firstByte and silence are the times to wait for the first bytes and for the next
	// ones; 0 is no bound.
	firstByte, silence time.Duration
	budget             *memory.Budget
	// reserved is what this body takes from the budget, in bytes.
	reserved int64
}

// Option configures a Reader.
type Option func(*Reader)

// WithMaxBytes bounds the length of the body in bytes. The default of 0 is no bound.
func WithMaxBytes(n int64) Option { return func(b *Reader) { b.maxBytes = n } }

// WithDeadline sets the time at which Read gives up. The default is never.
func WithDeadline(t time.Time) Option { return func(b *Reader) { b.deadline = t } }

// WithSilence bounds the time without any bytes. The default of 0 is no bound.
func WithSilence(d time.Duration) Option { return func(b *Reader) { b.silence = d } }

// WithFirstByte bounds the time until the first bytes, in place of WithSilence.
func WithFirstByte(d time.Duration) Option { return func(b *Reader) { b.firstByte = d } }

// WithBudget bounds the memory of bodies beyond 64 KiB each. What a body takes from the budget
// is returned by Release.
func WithBudget(b *memory.Budget) Option { return func(r *Reader) { r.budget = b } }

// New returns a reader of the body of r, whose answer is written to w.
func New(w http.ResponseWriter, r *http.Request, opts ...Option) *Reader {
	b := &Reader{conn: http.NewResponseController(w), request: r}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Bound bounds the time in which the body of r may still be read by d. Without it, a
// handler that answers without reading the body could wait for the peer: net/http discards
// the rest of a body before it sends the answer. Read replaces the bound.
func Bound(w http.ResponseWriter, r *http.Request, d time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	// An error means that the connection is closed, so reading fails as well.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}

// Read returns the whole body. If ctx ends first, it returns ErrSilent or the error of ctx.
// After an error the connection cannot be used for another request, and only Discard reads more of
// the body.
func (b *Reader) Read(ctx context.Context) ([]byte, error) {
	length := b.request.ContentLength
	if length == 0 {
		return nil, nil
	}
	if b.maxBytes > 0 && length > b.maxBytes {
		return nil, errors.Wrapf(ErrTooLong, "Content-Length %d, want at most %d", length, b.maxBytes)
	}
	if length > initialBytes && !b.reserve(length) {
		return nil, errors.Wrapf(ErrNoMemory, "Content-Length %d", length)
	}
	stop := context.AfterFunc(ctx, func() { _ = b.conn.SetReadDeadline(past) })
	content, err := b.read(ctx, length)
	isCanceled := !stop()
	switch {
	case err == nil && isCanceled:
		return nil, ctx.Err()
	case errors.Is(err, ErrTooLong), errors.Is(err, ErrNoMemory):
		return nil, err
	case err != nil:
		_ = b.conn.SetReadDeadline(past)
		return nil, err
	}
	// net/http reads from the connection while the handler runs, to notice its end.
	_ = b.conn.SetReadDeadline(time.Time{})
	return content, nil
}

// Release returns the memory of the body to the budget. It must be called once the body is
// no longer used.
func (b *Reader) Release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}

func (b *Reader) reserve(n int64) bool {
	if !b.budget.Reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// Discard reads and discards at most n bytes of a body that was refused, until the deadline.
// A sender that is still sending would otherwise get a reset in place of the answer.
func (b *Reader) Discard(n int64) {
	b.setReadDeadline(b.silence)
	// An error means that the sender has gone, so there is no one to report it to.
	_, _ = io.CopyN(io.Discard, b.request.Body, n)
}

func (b *Reader) read(ctx context.Context, length int64) ([]byte, error) {
	size := int64(initialBytes)
	if length > 0 && (b.budget != nil || length < size) {
		size = length
	}
	content := make([]byte, 0, size)
	wait := cmp.Or(b.firstByte, b.silence)
	for {
		if len(content) == cap(content) {
			size := 2 * int64(cap(content))
			if length > 0 {
				size = min(size, length)
			}
			if length < 0 && !b.reserve(size) {
				return nil, errors.Wrapf(ErrNoMemory, "%d bytes received", len(content))
			}
			content = append(make([]byte, 0, size), content...)
		}
		until := b.setReadDeadline(wait)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		n, err := b.request.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if n > 0 {
			wait = b.silence
		}
		switch {
		case b.maxBytes > 0 && int64(len(content)) > b.maxBytes:
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", b.maxBytes)
		case errors.Is(err, io.EOF), err == nil && int64(len(content)) == length:
			return content, nil
		case err != nil && !until.IsZero() && !time.Now().Before(until), isTimeout(err):
			return nil, errors.Wrapf(ErrSilent, "%d bytes received, Content-Length %d", len(content), length)
		case err != nil:
			return nil, errors.Mark(errors.Wrapf(err, "%d bytes received, Content-Length %d", len(content), length), ErrBroken)
		}
	}
}

// isTimeout reports whether a read has failed because its deadline has passed. net/http
// reports another error within a trailer.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// setReadDeadline gives the next read the time to wait, or what is left until the deadline
// if that is less, and returns when that ends. Without either, it may wait for good and
// the time is zero.
func (b *Reader) setReadDeadline(wait time.Duration) time.Time {
	at := b.deadline
	if wait > 0 {
		if by := time.Now().Add(wait); at.IsZero() || by.Before(at) {
			at = by
		}
	}
	// An error means that the connection is closed, so reading fails as well.
	_ = b.conn.SetReadDeadline(at)
	return at
}
