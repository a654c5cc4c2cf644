// Package sender tells whether the sender of an HTTP request still waits for the answer.
//
// The context of a request of net/http ends when the sender closes its connection, but only
// once a background read has noticed it. That read starts with the handler, or when the body
// has been read. A request that was read late, together with the end of its connection, would
// be worked on until then. [Conn.HasLeft] asks the socket itself:
//
//	server := http.Server{ConnContext: sender.WithConn}
//	...
//	if sender.Of(r.Context()).HasLeft() {
//		return
//	}
package sender

import (
	"context"
	"net"

	"lavenderdeal/internal/socket"
)

// Conn is the connection over which a request has arrived. A nil Conn is one whose sender has
// not left.
type Conn struct {
	socket *socket.Socket
	conn   net.Conn
}

type key struct{}

// WithConn returns a context with the connection, for the ConnContext of an http.Server. The
// contexts of the connection's requests have it too.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, &Conn{socket: socket.Of(c), conn: c})
}

// Of returns the connection of a request with this context, or nil if it is not known.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(key{}).(*Conn)
	return c
}

// HasLeft returns true if the sender has closed or reset the connection, also if data that it
// sent before has not been read. It reads no data.
func (c *Conn) HasLeft() bool { return c != nil && c.socket.HasEnded() }

// HeadBytes returns the size in bytes of the head of the connection's current request, as it was
// sent, or 0 if the connection does not know it.
func (c *Conn) HeadBytes() int {
	if c == nil {
		return 0
	}
	if counter, ok := c.conn.(interface{ HeadBytes() int }); ok {
		return counter.HeadBytes()
	}
	return 0
}
