// Package http1 is an HTTP/1.1 client with persistent connections that never repeats a
// request. Each error states whether the request may have been sent.
//
// # Why not net/http
//
// The transport of net/http retries some requests by itself if an idle connection
// breaks, and cannot distinguish a late answer to an earlier request from the answer
// to this one. A [Pool] never retries a request, checks before each use that an idle
// connection is open and has no unread data, and skips answers that belong to other
// requests:
//
//	pool := http1.New()
//	answer, err := pool.Do(ctx, addr, &http1.Request{Method: "GET", URI: "/stock", Host: "depot"})
//	if err != nil && !http1.Sent(err) {
//		// not run
//	}
//
// # Complete answers
//
// An answer is returned only after its whole body was received. A body that is cut
// short is an error. So is a head or a body without end: the bytes of a head, of a body and
// of all unfinished bodies together are bounded, since they are kept in memory. So are bytes
// that are no answer by HTTP/1.1; see [httpcheck.Checker].
package http1

import (
	"bufio"
	"context"
	stderrors "errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"lavenderdeal/internal/httpcheck"
	"lavenderdeal/internal/socket"
)

const (
	// dialTimeout is short: the round trip takes milliseconds, and a request that was
	// not sent can be sent to another server.
	dialTimeout = 250 * time.Millisecond
	// userTimeout is the time without acknowledgement of sent bytes after which the
	// connection is closed, for example during a network partition.
	userTimeout = 2 * time.Second
	// defaultIdleTimeout is the idle timeout for a server that does not announce its own.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutShare is the share of an announced idle timeout after which a
	// connection is closed, so that the server does not close it during a request.
	idleTimeoutShare = 0.8
	// atMostOnceIdleTimeout is the idle timeout for requests that must not run twice,
	// since a server may drop an idle connection.
	atMostOnceIdleTimeout = 1 * time.Second
	// maxInlineBody is the maximum size in bytes of a body that is written before the
	// answer is read. A longer one is written concurrently, since the server may answer
	// early.
	maxInlineBody = 4 << 10
	// maxHead bounds the status line and the header of an answer, in bytes.
	maxHead = 64 << 10
	// maxBody bounds an answer's body, in bytes, and defaultBodyMemory the memory of all
	// unfinished bodies beyond initialBody each.
	maxBody           = 64 << 20
	defaultBodyMemory = 64 << 20
	// initialBody is the size up to which the memory of a body is allocated at once, in
	// bytes.
	initialBody = 64 << 10
	// maxAnswers bounds the answers that are read for one request, including interim
	// answers (1xx) and those to other requests, which are skipped.
	maxAnswers = 4
	// bufferSize is the size of the read buffer of a connection, in bytes.
	bufferSize = 4 << 10
	// maxIdle bounds the idle connections to one address.
	maxIdle = 64
)

// Request is a request with its whole body.
type Request struct {
	Method string
	// URI is the path with the query. It is sent unchanged.
	URI  string
	Host string
	// Header must not contain Host, Content-Length or Expect, which are sent in addition.
	Header http.Header
	Body   []byte
	// AtMostOnce is set if the request must not run twice. It then uses only new
	// connections and those that were idle for at most a second.
	AtMostOnce bool
	// NewConnection forces a new connection.
	NewConnection bool
	// ExpectContinue sends the body only after the server has sent 100 Continue, so
	// that it can refuse the request first. This costs a round trip. The request counts
	// as sent only after that.
	ExpectContinue bool
	// MaxBody bounds the body of the answer, in bytes, below the bound of all answers. The
	// default of 0 is no other bound.
	MaxBody int64
	// IsAnswer returns true if an answer with this header belongs to the request. Nil
	// accepts the first answer.
	IsAnswer func(http.Header) bool
	// Continued is set when 100 Continue arrives with ExpectContinue. It may be nil.
	Continued *atomic.Bool
	// Received is set when the first bytes arrive after the request was sent, other than
	// 100 Continue with ExpectContinue. It may be nil.
	Received *atomic.Bool
}

// validate returns an error if the head would be parsed differently than it was meant,
// for example as two requests.
func (r *Request) validate() error {
	if !httpguts.ValidHeaderFieldName(r.Method) {
		return errors.Newf("method %q is not a token", r.Method)
	}
	for _, text := range [...]string{r.URI, r.Host} {
		if strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			return errors.Newf("URI or host %q has spaces or control characters", text)
		}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("header name %q is not a token", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Newf("header %s: value %q has control characters", name, v)
			}
		}
	}
	return nil
}

// Response is an answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is the error of a request that got no complete answer.
type Error struct {
	// MayHaveSent is set if the request may have reached the server.
	MayHaveSent bool
	// IsNewConnection is set if no request was sent over the connection before, and
	// ConnectionAge is the time since it was opened. They are valid if MayHaveSent is set.
	IsNewConnection bool
	ConnectionAge   time.Duration
	cause           error
}

// MayHaveSent returns true if the request may have reached the server, given the error of
// [Pool.Do]. It also returns true for an error that is not an [*Error].
func MayHaveSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.MayHaveSent
}

func (e *Error) Error() string { return e.cause.Error() }

func (e *Error) Unwrap() error { return e.cause }

// Pool keeps idle connections by address. It is safe for concurrent use. Use New to
// create one. Lock order: mu is the only lock.
type Pool struct {
	dialer net.Dialer
	group  errgroup.Group
	// bodyMemory bounds bodyBytes, the memory of unfinished bodies beyond initialBody
	// each.
	bodyMemory int64
	bodyBytes  atomic.Int64
	// resets is set if the connections of requests that are given up are reset.
	resets bool

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	closed bool
	dials  uint64
}

// Option configures a Pool.
type Option func(*Pool)

// WithBodyMemory bounds the memory, in bytes, that all unfinished bodies of answers take
// beyond 64 KiB each. An answer that needs more is an error.
func WithBodyMemory(n int64) Option { return func(p *Pool) { p.bodyMemory = n } }

// WithReset resets the connection of a request that is given up, in place of an orderly close.
// An orderly close delivers what was written before, however late: over a connection that
// the server has not accepted, the request arrives together with the end of the connection.
// A reset is sent only once, so it is not for links that lose packets: a server that does not
// receive it works on.
func WithReset() Option { return func(p *Pool) { p.resets = true } }

// boundedReader reads from a connection until a number of bytes is used up.
type boundedReader struct {
	conn   net.Conn
	socket *socket.Socket
	left   int64
	// received is set when bytes arrive. It may be nil.
	received *atomic.Bool
	// check checks the bytes, and invalid is its error.
	check   httpcheck.Checker
	invalid error
}

// errNoBody marks the errors of requests whose body was not sent.
var errNoBody = errors.New("the body was not sent")

// errReset is the error of an answer whose connection was reset, if a write has got the error
// of the connection.
var errReset = errors.New("the connection was reset")

// errTooLong is the error of an answer that is longer than its bound.
var errTooLong = errors.New("the answer is too long")

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.invalid != nil {
		return 0, r.invalid
	}
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.conn.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	if n > 0 && r.received != nil {
		r.received.Store(true)
	}
	if errors.Is(err, io.EOF) && r.socket.IsReset() {
		err = errReset
	}
	valid, invalid := r.check.Check(b[:n])
	if invalid == nil {
		return n, err
	}
	r.invalid = invalid
	if valid > 0 {
		return valid, nil
	}
	return 0, invalid
}

type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// bound is what reader reads from.
	bound *boundedReader
	// buf is reused to encode the head and a short body of each request.
	buf []byte
	// opened is when the connection was opened.
	opened time.Time
	// idleSince is when the connection became idle, and idleTimeout how long it may stay
	// idle. idleSince is zero before the first request has been answered.
	idleSince   time.Time
	idleTimeout time.Duration
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	p := &Pool{idle: make(map[netip.AddrPort][]*conn), bodyMemory: defaultBodyMemory}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// setUserTimeout sets userTimeout on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections and waits for pending writes.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	_ = p.group.Wait()
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(to netip.AddrPort) {
	p.mu.Lock()
	idle := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends the request to the address and returns its whole answer. The error is an
// [*Error]. If ctx ends, the connection is closed, so that the server can cancel the
// request.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, r *Request) (*Response, error) {
	if err := r.validate(); err != nil {
		return nil, &Error{cause: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{cause: err}
	}
	c, err := p.get(ctx, to, r)
	if err != nil {
		return nil, &Error{cause: errors.Wrap(err, "connect")}
	}
	stop := context.AfterFunc(ctx, func() { p.abandon(c) })
	answer, reuse, err := p.exchange(c, r)
	if !stop() {
		reuse = false
		if err != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
	}
	if err != nil {
		if invalid := c.bound.invalid; invalid != nil && !errors.Is(err, httpcheck.ErrMalformed) {
			// net/http reports another error within a trailer.
			err = errors.Mark(errors.Wrap(err, invalid.Error()), httpcheck.ErrMalformed)
		}
		_ = c.Close()
		return nil, &Error{
			MayHaveSent: !errors.Is(err, errNoBody), IsNewConnection: c.idleSince.IsZero(), ConnectionAge: time.Since(c.opened),
			cause: err,
		}
	}
	if !reuse || !p.put(to, c, r.NewConnection) {
		_ = c.Close()
	}
	return answer, nil
}

// abandon closes the connection of a request that is given up.
func (p *Pool) abandon(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && p.resets {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// exchange sends the request and returns its answer and whether the connection can be
// reused.
func (p *Pool) exchange(c *conn, r *Request) (*Response, bool, error) {
	c.bound.received = nil
	c.bound.check.Expect(r.Method)
	c.buf = appendHead(c.buf[:0], r)
	written := true
	var wrote chan bool
	if r.ExpectContinue {
		if _, err := c.Write(c.buf); err != nil {
			return nil, false, errors.Mark(errors.Wrap(err, "write"), errNoBody)
		}
		answer, _, err := p.read(c, r, true)
		if err != nil {
			return nil, false, errors.Mark(err, errNoBody)
		}
		if answer != nil {
			return answer, false, nil
		}
		if r.Continued != nil {
			r.Continued.Store(true)
		}
		c.buf = c.buf[:0]
	}
	c.bound.received = r.Received
	if len(r.Body) <= maxInlineBody {
		c.buf = append(c.buf, r.Body...)
		if _, err := c.Write(c.buf); err != nil {
			return nil, false, errors.Wrap(err, "write")
		}
	} else {
		written = false
		wrote = make(chan bool, 1)
		p.group.Go(func() error {
			buffers := net.Buffers{c.buf, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			wrote <- err == nil
			return nil
		})
	}
	answer, reuse, err := p.read(c, r, false)
	if !written {
		select {
		case written = <-wrote:
		default:
			// The server answered before it read the whole body. The connection is
			// closed, so that the rest of the body is not parsed as another request.
			// The close makes the write fail.
			_ = c.Close()
			<-wrote
		}
	}
	return answer, reuse && written, err
}

// appendHead appends the request line and the header of a request to b.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if r.ExpectContinue {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	return append(b, "\r\n"...)
}

// read returns the answer and whether the connection can be reused. If awaitContinue
// is set, it returns a nil answer once the server has sent 100 Continue.
func (p *Pool) read(c *conn, r *Request, awaitContinue bool) (*Response, bool, error) {
	for range maxAnswers {
		c.bound.left = maxHead
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if raw.StatusCode == http.StatusContinue && awaitContinue {
			return nil, true, nil
		}
		if raw.StatusCode >= 100 && raw.StatusCode < 200 {
			continue
		}
		c.bound.left = math.MaxInt64
		limit := int64(maxBody)
		if r.MaxBody > 0 {
			limit = min(limit, r.MaxBody)
		}
		body, err := p.readBody(c, r.Method, raw, limit)
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer's body")
		}
		reuse := !raw.Close && c.reader.Buffered() == 0 && c.bound.check.IsBetween()
		if r.IsAnswer != nil && !r.IsAnswer(raw.Header) {
			if raw.Close {
				return nil, false, errors.New("the answer belongs to another request and closes the connection")
			}
			continue
		}
		c.idleTimeout = idleTimeoutOf(raw.Header)
		return &Response{Status: raw.StatusCode, Header: raw.Header, Body: body}, reuse, nil
	}
	return nil, false, errors.New("received only interim answers and answers to other requests")
}

// readBody reads the whole body of an answer, of at most limit bytes. Its memory grows as bytes arrive, whatever
// length the header claims.
func (p *Pool) readBody(c *conn, method string, raw *http.Response, limit int64) (body []byte, err error) {
	defer raw.Body.Close()
	var reserved int64
	defer func() {
		p.bodyBytes.Add(-reserved)
		if err != nil {
			// Close would read the rest of the body.
			c.bound.left = 0
		}
	}()
	if method == http.MethodHead {
		return nil, nil
	}
	if raw.ContentLength > limit {
		return nil, errors.Wrapf(errTooLong, "Content-Length %d is more than %d bytes", raw.ContentLength, limit)
	}
	if raw.ContentLength >= 0 && raw.ContentLength <= initialBody {
		body = make([]byte, raw.ContentLength)
		_, err = io.ReadFull(raw.Body, body)
		return body, err
	}
	body = make([]byte, 0, min(initialBody, int(limit)+1))
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), int(limit)+1)
			reserved += int64(size)
			if p.bodyBytes.Add(int64(size)) > p.bodyMemory {
				return nil, errors.Wrapf(errTooLong, "unfinished bodies need more than %d bytes", p.bodyMemory)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := raw.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errors.Wrapf(errTooLong, "body has more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// idleTimeoutOf returns how long a connection may stay idle after an answer with this
// header.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			return time.Duration(idleTimeoutShare * float64(n) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection that the request may use, or opens one.
func (p *Pool) get(ctx context.Context, to netip.AddrPort, r *Request) (*conn, error) {
	for !r.NewConnection {
		c := p.takeIdle(to)
		if c == nil {
			break
		}
		idle := time.Since(c.idleSince)
		if idle <= c.idleTimeout && (!r.AtMostOnce || idle <= atMostOnceIdleTimeout) && c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = raw.Close()
		return nil, err
	}
	bound := &boundedReader{conn: raw, socket: socket.Of(raw)}
	c := &conn{Conn: raw, opened: time.Now(), bound: bound, reader: bufio.NewReaderSize(bound, bufferSize)}
	if tcp, ok := raw.(*net.TCPConn); ok {
		if c.raw, err = tcp.SyscallConn(); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return c, nil
}

// takeIdle removes and returns the idle connection that was used last, or nil.
func (p *Pool) takeIdle(to netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[to] = list[:len(list)-1]
	return c
}

// put adds the connection to the idle ones. It returns false if the pool is closed or
// has enough of them. A connection that was opened although others may be idle is kept only
// if none is, so that forced connections do not accumulate.
func (p *Pool) put(to netip.AddrPort, c *conn, wasForced bool) bool {
	limit := maxIdle
	if wasForced {
		limit = 1
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= limit {
		return false
	}
	p.idle[to] = append(p.idle[to], c)
	return true
}

// isReusable returns true if the connection is open and has no unread data.
func (c *conn) isReusable() bool {
	if c.raw == nil {
		return true
	}
	reusable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = stderrors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
