package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// SendError is the error of a request without an answer.
type SendError struct {
	// Sent says that a byte of the request may have left. When it is false, none
	// did and none will.
	Sent  bool
	cause error
}

// Sent says whether a byte of the request may have left, given the error of
// [Client.Do].
func Sent(err error) bool {
	var failed *SendError
	return !errors.As(err, &failed) || failed.Sent
}

func (e *SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// sendTrace follows the connections that the transport takes for one request.
// Lock order: mu goes before the mu of a connection.
type sendTrace struct {
	mu     sync.Mutex
	conn   *countedConn
	before uint64
	sent   bool
}

// follow returns the context under which the request is sent.
func (t *sendTrace) follow(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaveLocked()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = conn
	t.before = conn.count()
}

// isSent says whether a byte may have left. When it says no, it also makes sure
// that none leaves later.
func (t *sendTrace) isSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaveLocked()
	return t.sent
}

func (t *sendTrace) leaveLocked() {
	if t.conn != nil && !t.conn.seal(t.before) {
		t.sent = true
	}
	t.conn = nil
}

// countedConn counts the writes to a connection. Lock order: mu is the only
// lock.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids all further writes, unless there was one since the count. It
// returns false in that case.
func (c *countedConn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.sealed = true
	return true
}

// countDials makes the transport count the writes to its connections.
func countDials(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}
