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
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is the connection over which a request has arrived. A nil Conn is one whose sender has
// not left.
type Conn struct {
	raw syscall.RawConn
}

type key struct{}

// WithConn returns a context with the connection, for the ConnContext of an http.Server. The
// contexts of the connection's requests have it too.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, key{}, &Conn{raw: raw})
}

// Of returns the connection of a request with this context, or nil if it is not known.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(key{}).(*Conn)
	return c
}

// HasLeft returns true if the sender has closed or reset the connection, also if data that it
// sent before has not been read. It reads nothing and leaves errors of the connection to the
// next read.
func (c *Conn) HasLeft() bool {
	if c == nil {
		return false
	}
	left := false
	err := c.raw.Control(func(fd uintptr) {
		fds := [...]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		left = err == nil && n > 0
	})
	// The connection is closed here if there is an error.
	return left || err != nil
}
