package httpserver

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// idleCloser ends connections that are idle for longer than a limit. It does not close them
// itself, since a request may have been read at the same moment: it lets the server's read
// for the next request fail, which has no effect once a request was read. Lock order: mu
// is the only lock.
type idleCloser struct {
	limit func() time.Duration

	mu sync.Mutex
	// conns holds the connections that have been idle.
	conns map[net.Conn]*idleConn
}

// idleConn is the state of a connection.
type idleConn struct {
	timer *time.Timer
	// since is when the connection became idle, or zero while it is not.
	since time.Time
	// expired is set once the read for the next request was ended.
	expired bool
}

// stateChanged follows the state of a connection; it is called by the server.
func (c *idleCloser) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.idle(conn)
	case http.StateActive, http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		i := c.conns[conn]
		if i == nil {
			return
		}
		i.timer.Stop()
		i.since = time.Time{}
		if state != http.StateActive {
			delete(c.conns, conn)
			return
		}
		if i.expired {
			// A request was read before the limit had an effect.
			i.expired = false
			_ = conn.SetReadDeadline(time.Time{})
		}
	}
}

func (c *idleCloser) idle(conn net.Conn) {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.conns[conn]
	if i == nil {
		i = &idleConn{}
		i.timer = time.AfterFunc(limit, func() { c.expire(conn, i) })
		c.conns[conn] = i
	} else {
		i.timer.Reset(limit)
	}
	i.since = time.Now()
}

// expire ends the read for the next request, unless the limit has grown or a request waits to
// be read.
func (c *idleCloser) expire(conn net.Conn, i *idleConn) {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.since.IsZero() {
		return
	}
	if rest := limit - time.Since(i.since); rest > 0 {
		i.timer.Reset(rest)
		return
	}
	if hasHead(conn) || hasUnread(conn) {
		return
	}
	i.expired = true
	_ = conn.SetReadDeadline(past)
}

// hasHead reports whether a head has begun to arrive on a connection.
func hasHead(c net.Conn) bool {
	g, ok := c.(*conn)
	return ok && g.hasHead.Load()
}

// hasUnread reports whether a connection has received bytes that were not read.
func hasUnread(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, _ = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
