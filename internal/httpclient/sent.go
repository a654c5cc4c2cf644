package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpcheck"
	"lavenderdeal/internal/socket"
)

// SendError is the error of a request that got no response, or one that does not
// belong to it.
type SendError struct {
	// MayHaveSent is set when a byte of the request may have been sent. When it is
	// false, none was and none will be.
	MayHaveSent bool
	cause       error
}

// errUnsolicited is the cause when a response was received before its request was
// sent.
var errUnsolicited = errors.New("the server sent a response before the request was sent")

// MayHaveSent reports whether a byte of the request may have been sent, given the
// error of [Client.Do]. For an error that is not a [SendError], it returns true.
func MayHaveSent(err error) bool {
	var sendErr *SendError
	return !errors.As(err, &sendErr) || sendErr.MayHaveSent
}

func (e *SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *SendError) Unwrap() error { return e.cause }

// sendTrace tracks the connections that the transport uses for one request.
// Lock order: mu before the mu of a connection.
type sendTrace struct {
	// method is that of the request.
	method string

	mu   sync.Mutex
	conn *countedConn
	// writesBefore is the number of writes to conn when the request took it.
	writesBefore uint64
	sent         bool
}

// withTrace returns a context that makes the transport report its connections to t.
func (t *sendTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called by the transport when it has a connection for the request.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseLocked()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = conn
	t.writesBefore = conn.begin(t.method)
}

// isUnsolicited reports whether the response was received before the request was
// sent, so that it answers no request: the server sent more than one response to an
// earlier request. The transport usually detects that, but not when it has already
// assigned the connection to the next request.
func (t *sendTrace) isUnsolicited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.readNothing()
}

// isSent reports whether a byte may have been sent. When it returns false, it also
// ensures that none is sent later.
func (t *sendTrace) isSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseLocked()
	return t.sent
}

// closeConn closes the connection, so that no other request uses it.
func (t *sendTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// releaseLocked stops tracking the connection. It forbids further writes to it, or
// records that the request wrote to it.
func (t *sendTrace) releaseLocked() {
	if t.conn != nil && !t.conn.seal(t.writesBefore) {
		t.sent = true
	}
	t.conn = nil
}

// countedConn counts the writes to a connection and the reads from it that returned
// data, and checks what is read. Lock order: no other lock is taken while mu is held.
type countedConn struct {
	net.Conn
	socket *socket.Socket

	mu sync.Mutex
	// check checks the answers, and invalid is its error.
	check   httpcheck.Checker
	invalid error

	writes uint64
	reads  uint64
	// writesAtBegin is the number of writes when the latest request took the
	// connection, and readsAtSend the number of reads at its first write.
	writesAtBegin uint64
	readsAtSend   uint64
	sealed        bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.writes == c.writesAtBegin {
		c.readsAtSend = c.reads
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read returns bytes only if they are valid, so that the transport gets no whole answer otherwise. An
// end after a reset is an error, since a write may have got the error of the reset.
func (c *countedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	err := c.invalid
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.socket.IsReset() {
		err = io.ErrUnexpectedEOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	c.reads++
	valid, invalid := c.check.Check(p[:n])
	if invalid == nil {
		return n, err
	}
	c.invalid = invalid
	if valid > 0 {
		return valid, nil
	}
	return 0, invalid
}

// begin is called when a request with the method takes the connection. It returns the number of
// writes so far.
func (c *countedConn) begin(method string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check.Expect(method)
	c.writesAtBegin = c.writes
	c.readsAtSend = c.reads
	return c.writesAtBegin
}

// readNothing reports whether nothing was read since the first write of the latest
// request.
func (c *countedConn) readNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads == c.readsAtSend
}

// seal forbids all further writes if the number of writes is still writesBefore.
// Otherwise it returns false.
func (c *countedConn) seal(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// wrapConns makes the transport wrap each connection in a [countedConn].
func wrapConns(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, socket: socket.Of(conn)}, nil
	}
}
