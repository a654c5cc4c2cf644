// Package http1 sends requests over kept HTTP/1.1 connections and says of each
// failure whether the request may have run.
//
// # Why not net/http
//
// The transport of net/http sends some requests twice by itself when a kept
// connection breaks, and cannot tell a late answer to an earlier request from
// the answer to this one. A [Pool] never repeats a request, checks before each
// use that a kept connection is silent and open, and skips answers that belong
// to other requests:
//
//	pool := http1.New()
//	answer, err := pool.Do(ctx, addr, &http1.Request{Method: "GET", URI: "/stock", Host: "depot"})
//	if err != nil && !http1.Sent(err) {
//		// not run
//	}
//
// # Whole answers
//
// An answer is returned only when its whole body has come. One that breaks off is
// an error, so that a short body never looks complete.
package http1

import (
	"bufio"
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is short: the two ends are milliseconds apart, and a request
	// that reached nobody can go elsewhere.
	dialTimeout = 250 * time.Millisecond
	// unackedLimit ends a connection whose other end does not acknowledge bytes,
	// as behind a partition.
	unackedLimit = 2 * time.Second
	// idleLimit is how long a connection is kept when the other end does not say
	// for how long it keeps it.
	idleLimit = 8 * time.Second
	// idlePart is the part of the announced time for which a connection is kept,
	// so that the other end does not close it under a request.
	idlePart = 0.8
	// freshLimit is the idle time up to which a connection is used for requests
	// that must not be repeated: a server may forget an idle connection.
	freshLimit = 1 * time.Second
	// inlineBody is the size up to which a body is written before the answer is
	// read. A longer one is written meanwhile, as the other end may answer early.
	inlineBody = 4 << 10
	// maxBody bounds an answer's body.
	maxBody = 64 << 20
	// maxSkipped bounds the answers to other requests that are skipped.
	maxSkipped = 4
	bufferSize = 4 << 10
	// maxIdle bounds the kept connections to one address.
	maxIdle = 64
)

// Request is one request with its whole body.
type Request struct {
	Method string
	// URI is the path with the query, sent as it stands.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce says that the request must not run twice, so that only connections
	// that were used a moment ago are used again.
	AtMostOnce bool
	// NewConnection takes a new connection.
	NewConnection bool
	// ExpectContinue sends the body only after the other end has asked for it, so that it can
	// refuse the request first. It costs a round trip.
	ExpectContinue bool
	// IsAnswer says whether an answer's header belongs to this request. Nil takes
	// the first answer.
	IsAnswer func(http.Header) bool
}

// Response is one answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a request without an answer.
type Error struct {
	// Sent says that the request may have reached the other end.
	Sent  bool
	cause error
}

// Sent says whether the request may have reached the other end.
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

func (e *Error) Error() string { return e.cause.Error() }

func (e *Error) Unwrap() error { return e.cause }

// Pool keeps connections by address. It is safe for use by several goroutines at
// once. Lock order: mu is the only lock. Use New.
type Pool struct {
	dialer net.Dialer
	group  errgroup.Group

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	closed bool
	dials  uint64
}

type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	buf    []byte
	// since is when the connection became idle, and keep how long it may be.
	since time.Time
	keep  time.Duration
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{idle: make(map[netip.AddrPort][]*conn)}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUnackedLimit}
	return p
}

func setUnackedLimit(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Dials returns the number of connections that were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close ends the kept connections.
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

// Do sends the request and returns its whole answer. The error is an [Error].
// When ctx ends, the connection is closed, which tells the other end to stop.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, r *Request) (*Response, error) {
	c, err := p.get(ctx, to, r)
	if err != nil {
		return nil, &Error{cause: errors.Wrap(err, "connect")}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, reuse, err := p.exchange(c, r)
	if !stop() {
		reuse = false
		if err != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
	}
	if err != nil {
		_ = c.Close()
		return nil, &Error{Sent: true, cause: err}
	}
	if !reuse || !p.put(to, c) {
		_ = c.Close()
	}
	return answer, nil
}

func (p *Pool) exchange(c *conn, r *Request) (*Response, bool, error) {
	c.buf = appendHead(c.buf[:0], r)
	written := true
	var wrote chan bool
	if r.ExpectContinue {
		if _, err := c.Write(c.buf); err != nil {
			return nil, false, errors.Wrap(err, "write")
		}
		answer, _, err := c.read(r, true)
		if err != nil || answer != nil {
			return answer, false, err
		}
		c.buf = c.buf[:0]
	}
	if len(r.Body) <= inlineBody {
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
	answer, keep, err := c.read(r, false)
	if !written {
		select {
		case written = <-wrote:
		default:
			// The other end answered early: what is left of the body must not be
			// taken for another request. The write fails because of the close.
			_ = c.Close()
			<-wrote
		}
	}
	return answer, keep && written, err
}

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

// read returns the answer, and whether the connection may be used again. When
// asked is set, it returns nil once the other end asks for the body.
func (c *conn) read(r *Request, asked bool) (*Response, bool, error) {
	for range maxSkipped {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if raw.StatusCode == http.StatusContinue && asked {
			return nil, true, nil
		}
		if raw.StatusCode >= 100 && raw.StatusCode < 200 {
			continue
		}
		body, err := readBody(r.Method, raw)
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer's body")
		}
		keep := !raw.Close && c.reader.Buffered() == 0
		if r.IsAnswer != nil && !r.IsAnswer(raw.Header) {
			if raw.Close {
				return nil, false, errors.New("the answer belongs to another request")
			}
			continue
		}
		c.keep = keepFor(raw.Header)
		return &Response{Status: raw.StatusCode, Header: raw.Header, Body: body}, keep, nil
	}
	return nil, false, errors.New("only answers to other requests came")
}

func readBody(method string, raw *http.Response) ([]byte, error) {
	defer raw.Body.Close()
	if method == http.MethodHead {
		return nil, nil
	}
	if raw.ContentLength > maxBody {
		return nil, errors.Newf("%d bytes are more than %d", raw.ContentLength, maxBody)
	}
	if raw.ContentLength >= 0 {
		body := make([]byte, raw.ContentLength)
		_, err := io.ReadFull(raw.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errors.Newf("more than %d bytes", maxBody)
	}
	return body, err
}

// keepFor returns how long the connection may be idle.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			return time.Duration(idlePart * float64(n) * float64(time.Second))
		}
	}
	return idleLimit
}

func (p *Pool) get(ctx context.Context, to netip.AddrPort, r *Request) (*conn, error) {
	for !r.NewConnection {
		c := p.take(to)
		if c == nil {
			break
		}
		age := time.Since(c.since)
		if age <= c.keep && (!r.AtMostOnce || age <= freshLimit) && c.isSilent() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}
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

// take returns the connection that was used last.
func (p *Pool) take(to netip.AddrPort) *conn {
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

func (p *Pool) put(to netip.AddrPort, c *conn) bool {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= maxIdle {
		return false
	}
	p.idle[to] = append(p.idle[to], c)
	return true
}

// isSilent says whether the connection is open and nothing has come on it.
func (c *conn) isSilent() bool {
	if c.raw == nil {
		return true
	}
	silent := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = stderrors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}
