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

// errCrossed is the cause when an answer had come before its request was sent.
var errCrossed = errors.New("the answer came before the request was sent")

// MayHaveSent says whether a byte of the request may have left, given the error of
// [Client.Do].
func MayHaveSent(err error) bool {
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
	t.before = conn.begin()
}

// isCrossed says whether the answer had come before the request was sent, so
// that it belongs to nobody: the server sent more than one answer to an earlier
// request. The transport usually sees that by itself, but not when it has taken
// the connection for the next request by then.
func (t *sendTrace) isCrossed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.readNothing()
}

// isSent says whether a byte may have left. When it says no, it also makes sure
// that none leaves later.
func (t *sendTrace) isSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaveLocked()
	return t.sent
}

// closeConn makes sure that no other request takes the connection.
func (t *sendTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

func (t *sendTrace) leaveLocked() {
	if t.conn != nil && !t.conn.seal(t.before) {
		t.sent = true
	}
	t.conn = nil
}

// countedConn counts the writes to a connection and the reads from it. Lock
// order: mu is the only lock.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	reads  uint64
	// first is the number of writes when the newest request took the connection,
	// and readsThen the number of reads when it wrote first.
	first     uint64
	readsThen uint64
	sealed    bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.writes == c.first {
		c.readsThen = c.reads
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.reads++
		c.mu.Unlock()
	}
	return n, err
}

// begin is called when a request takes the connection. It returns the number of
// writes before.
func (c *countedConn) begin() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = c.writes
	c.readsThen = c.reads
	return c.first
}

// readNothing says whether nothing was read since the newest request wrote first.
func (c *countedConn) readNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads == c.readsThen
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
