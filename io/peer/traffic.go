package peer

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// codec frames the messages of one connection and counts them by method.
//
// For each message, the connection calls beforeSend and then WriteObject, or
// ReadObject and then afterReceive. The field sending is used only by the goroutine that
// writes and the field size only by the one that reads, so neither needs a lock. Lock
// order: mu is the only lock.
type codec struct {
	endpoint *Endpoint
	// sending is the method of the next message to write.
	sending string
	// size is the length in bytes of the last frame read.
	size int

	mu sync.Mutex
	// methods holds the methods of the peer's requests that are not answered yet.
	methods map[jsonrpc2.ID]string
}

// WriteObject writes one message.
func (c *codec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	n, err := writeFrame(w, data)
	c.endpoint.count(c.sending, 0, n)
	return err
}

// ReadObject reads one message.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	data, n, err := readFrame(r, maxMessage)
	c.size = n
	if err == nil {
		err = json.Unmarshal(data, v)
	} else if n == 0 {
		// The connection ended between two messages.
		return err
	}
	var netErr net.Error
	if err != nil && !errors.As(err, &netErr) {
		c.endpoint.malformed.Add(1)
	}
	return err
}

// beforeSend sets the method under which the next message is counted. A response counts
// under the method of its request.
func (c *codec) beforeSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if request != nil {
		c.sending = request.Method
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = c.methods[response.ID]
	delete(c.methods, response.ID)
}

// afterReceive counts the message that was read. For a response, request is the one that
// this node sent, or nil if it is unknown.
func (c *codec) afterReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	method := ""
	switch {
	case response != nil && request != nil:
		method = request.Method
	case request != nil:
		method = c.endpoint.handledMethod(request.Method)
	}
	c.endpoint.count(method, c.size, 0)
	if response != nil || request == nil || request.Notif {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.methods[request.ID] = method
}

// handledMethod returns the method, or "" if the node does not handle it, so that a
// peer cannot grow the counters with arbitrary names.
func (e *Endpoint) handledMethod(method string) string {
	if _, ok := e.mux.handlers[method]; ok {
		return method
	}
	return ""
}

// countedConn counts the bytes of a connection for its endpoint. After the handshake,
// each write has its own timeout.
type countedConn struct {
	net.Conn
	endpoint *Endpoint
	// in and out count the bytes of the handshake.
	in, out       int
	handshakeDone bool
	// received counts all bytes received.
	received atomic.Uint64
}

func (e *Endpoint) counted(raw net.Conn) *countedConn { return &countedConn{Conn: raw, endpoint: e} }

// countHandshake counts the bytes transferred so far as a handshake.
func (e *Endpoint) countHandshake(c *countedConn) { e.count(MethodHandshake, c.in, c.out) }

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.endpoint.bytesIn.Add(uint64(n))
	c.received.Add(uint64(n))
	if !c.handshakeDone {
		c.in += n
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if c.handshakeDone {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.endpoint.bytesOut.Add(uint64(n))
	if !c.handshakeDone {
		c.out += n
	}
	return n, err
}
