package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lavenderdeal/core/framing"
)

const (
	statusTooLarge    = "431 Request Header Fields Too Large"
	statusUnavailable = "503 Service Unavailable"
	// refusalRetryAfter is the time, in seconds, after which a refused client may come back.
	refusalRetryAfter = "1"
	// maxEchoedBytes bounds the value of a header line that a refusal returns.
	maxEchoedBytes = 128
	// A client is given lingerTime to read a refusal, while up to maxLingerBytes of what it
	// still sends are discarded. Closing at once would reset the connection.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// maxBehindBytes bounds what is read of further requests while one runs. The rest waits in
	// the socket.
	maxBehindBytes = 4 << 10
	// refusalWriteTime bounds the time to write a refusal.
	refusalWriteTime = 100 * time.Millisecond
	// minHeadBuffer is the least by which the buffer of a head that arrives in parts grows.
	minHeadBuffer = 1 << 10
	// evicted is the value of waiting once the connection has been evicted.
	evicted = -1
)

// errRefused is the result of a read after a refusal. The HTTP server answers nothing to an
// error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// conn is a connection of a client. The HTTP server gets a head only once it has arrived as a
// whole and there is memory for it, and nothing behind it before it has read it. Reads are not
// concurrent; only the fields after mu are used by other goroutines.
type conn struct {
	*net.TCPConn
	guard  *guard
	framer framing.Framer
	// buf holds bytes that were received and not given to the server: the first ready of them
	// may be given, the first scanned are known to the framer.
	buf            []byte
	ready, scanned int
	// admitted is set once the head that ended last was let in.
	admitted bool
	// deadline is when the head that arrives now must have arrived, or zero.
	deadline time.Time
	extended bool
	refused  atomic.Bool

	// waiting is when the server began to wait for a request, in nanoseconds, or 0 while it has
	// one.
	waiting atomic.Int64
	// hasHead is set while a head has begun and not ended.
	hasHead atomic.Bool
	// headBytes is the size of the last head that was let in.
	headBytes atomic.Int64
	// hijacked is set once the connection is no longer that of the server.
	hijacked atomic.Bool

	mu sync.Mutex
	// reserved is the memory that is reserved for the head, and closed is set by Close.
	reserved int64
	closed   bool
}

func newConn(tcp *net.TCPConn, g *guard) *conn {
	c := &conn{TCPConn: tcp, guard: g}
	c.waiting.Store(time.Now().UnixNano())
	return c
}

// Read returns bytes of the current request, or the whole head of the next one. A read of a single
// byte behind a request is the server's watch for the end of the connection while the request
// runs.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.hijacked.Load():
		if len(c.buf) > 0 {
			return c.give(p, len(c.buf)), nil
		}
		return c.TCPConn.Read(p)
	case c.refused.Load():
		return 0, errRefused
	case len(p) == 1 && c.ready == 0 && c.framer.InHead() && c.waiting.Load() == 0:
		return c.watch(p)
	}
	if c.framer.InHead() {
		c.wait()
	}
	for {
		if n, err := c.readBuffered(p); n > 0 || err != nil {
			return n, err
		}
		if c.framer.HasBegun() {
			if err := c.startHead(); err != nil {
				return 0, err
			}
		}
		if len(c.buf) > 0 {
			if err := c.fill(); err != nil {
				return 0, err
			}
			continue
		}
		if n, err := c.readDirect(p); n > 0 || err != nil {
			return n, err
		}
	}
}

// wait is called when the server asks for a head.
func (c *conn) wait() {
	if c.ready > 0 || c.waiting.Load() != 0 {
		return
	}
	c.unreserve()
	c.admitted = false
	c.waiting.Store(time.Now().UnixNano())
}

// readBuffered gives bytes of buf to the server. It returns 0 if there are none to give.
func (c *conn) readBuffered(p []byte) (int, error) {
	if c.ready == 0 && c.scanned < len(c.buf) {
		c.scan()
	}
	if c.ready == 0 {
		if c.framer.InHead() && !c.framer.HeadEnded() && c.framer.Head().Bytes > c.guard.headBytes() {
			return 0, c.refuse(reasonHeadTooLong, statusTooLarge, c.buf)
		}
		return 0, nil
	}
	if c.framer.HeadEnded() && !c.admitted {
		if err := c.admit(c.buf[:c.ready]); err != nil {
			return 0, err
		}
	}
	return c.give(p, c.ready), nil
}

// readDirect reads from the client into p, while buf is empty. It returns 0 if the bytes are only
// a part of a head; they are in buf then.
func (c *conn) readDirect(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return 0, c.readError(err)
	}
	inHead := c.framer.InHead()
	used := c.framer.Next(p[:n])
	if inHead && !c.framer.HeadEnded() {
		c.buf, c.scanned = append([]byte(nil), p[:n]...), n
		return 0, nil
	}
	if used < n {
		c.buf = append([]byte(nil), p[used:n]...)
	}
	if inHead {
		if err := c.admit(p[:used]); err != nil {
			return 0, err
		}
	}
	return used, nil
}

// scan lets the framer read on in buf, up to the end of a head or of a part of a body.
func (c *conn) scan() {
	inHead := c.framer.InHead()
	c.scanned += c.framer.Next(c.buf[c.scanned:])
	if !inHead || c.framer.HeadEnded() {
		c.ready = c.scanned
	}
}

// give copies up to limit bytes of buf to p and removes them.
func (c *conn) give(p []byte, limit int) int {
	n := copy(p, c.buf[:limit])
	c.buf = c.buf[n:]
	c.ready, c.scanned = max(c.ready-n, 0), max(c.scanned-n, 0)
	if len(c.buf) == 0 {
		c.buf = nil
	}
	return n
}

// fill reads from the client into buf, which is not empty.
func (c *conn) fill() error {
	if len(c.buf) == cap(c.buf) {
		size := max(min(2*len(c.buf), c.guard.headBytes()+1), len(c.buf)+minHeadBuffer)
		if !c.reserve(int64(size - cap(c.buf))) {
			return c.refuse(reasonHeadMemory, statusUnavailable, c.buf)
		}
		c.buf = append(make([]byte, 0, size), c.buf...)
	}
	n, err := c.TCPConn.Read(c.buf[len(c.buf):cap(c.buf)])
	c.buf = c.buf[:len(c.buf)+n]
	if n == 0 {
		return c.readError(err)
	}
	return nil
}

// startHead bounds the time of the head that has begun.
func (c *conn) startHead() error {
	if !c.deadline.IsZero() {
		return nil
	}
	c.hasHead.Store(true)
	c.deadline, c.extended = time.Now().Add(c.guard.headTime()), false
	return c.SetReadDeadline(c.deadline)
}

// readError returns the error of a read, or nil if reading can go on.
func (c *conn) readError(err error) error {
	if c.deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	// The deadline may be one for idle connections that was set as the head began.
	if time.Now().Before(c.deadline) {
		return c.SetReadDeadline(c.deadline)
	}
	if !c.extended && hasUnread(c.TCPConn) {
		// This process did not run for a while.
		c.extended = true
		c.deadline = time.Now().Add(c.guard.headTime())
		return c.SetReadDeadline(c.deadline)
	}
	c.guard.note(reasonHeadLate, c, c.framer.Head())
	return err
}

// admit lets a head in that has arrived as a whole, or refuses it.
func (c *conn) admit(head []byte) error {
	since := c.waiting.Load()
	if since == evicted || !c.waiting.CompareAndSwap(since, 0) {
		return errRefused
	}
	h := c.framer.Head()
	if h.Bytes > c.guard.headBytes() {
		return c.refuse(reasonHeadTooLong, statusTooLarge, head)
	}
	if cost := int64(h.Bytes*textCopies + h.Lines*lineBytes); cost > headAllowance && !c.reserve(cost-headAllowance) {
		return c.refuse(reasonHeadMemory, statusUnavailable, head)
	}
	c.admitted = true
	c.headBytes.Store(int64(h.Bytes))
	c.deadline = time.Time{}
	c.hasHead.Store(false)
	return nil
}

// watch returns an error once the connection has ended. What the client sends meanwhile, further
// requests, is kept up to maxBehindBytes. Beyond that a byte of it is returned, and the end is not
// seen any more.
func (c *conn) watch(p []byte) (int, error) {
	var b [512]byte
	for len(c.buf) < maxBehindBytes {
		n, err := c.TCPConn.Read(b[:])
		c.buf = append(c.buf, b[:n]...)
		if err != nil {
			return 0, err
		}
	}
	if c.scanned == 0 {
		c.scanned = c.framer.Next(c.buf[:1])
	}
	return c.give(p, 1), nil
}

// reserve reserves memory until the next head. It returns false if there is none.
func (c *conn) reserve(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.guard.reserve(n) {
		return false
	}
	c.reserved += n
	return true
}

func (c *conn) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.release(c.reserved)
	c.reserved = 0
}

// refuse answers a request that the server does not get, and ends the connection. It returns
// the error for the server.
func (c *conn) refuse(reason, status string, head []byte) error {
	c.guard.note(reason, c, c.framer.Head())
	c.writeRefusal(reason, status, head)
	c.refused.Store(true)
	c.buf, c.ready, c.scanned = nil, 0, 0
	c.unreserve()
	// A new connection may take the place of this one while it is lingering.
	c.waiting.CompareAndSwap(0, time.Now().UnixNano())
	c.linger()
	return errRefused
}

// linger lets the client read what was written to it, although it sends more.
func (c *conn) linger() {
	if err := c.CloseWrite(); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
}

// writeRefusal writes an answer to the head that has arrived.
func (c *conn) writeRefusal(reason, status string, head []byte) {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n")
	if status == statusUnavailable {
		b.WriteString("Retry-After: " + refusalRetryAfter + "\r\n")
	}
	if name := c.guard.limits.EchoedHeader; name != "" {
		if value := headerValue(head, name); value != "" {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if c.guard.limits.RefusalHeader != nil {
		// Writing to a builder does not fail.
		_ = c.guard.limits.RefusalHeader(reason).Write(&b)
	}
	b.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = io.WriteString(c.TCPConn, b.String())
}

// headerValue returns the value of the first line of a header, or "" if it has none that can be
// returned.
func headerValue(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		key, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !strings.EqualFold(string(key), name) {
			continue
		}
		value = bytes.TrimSpace(value)
		if len(value) > maxEchoedBytes || bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' || r > '~' }) {
			return ""
		}
		return string(value)
	}
	return ""
}

// HeadBytes returns the size in bytes of the head of the current request, as it was sent.
func (c *conn) HeadBytes() int { return int(c.headBytes.Load()) }

// Write writes an answer. Nothing is written after a refusal.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errRefused
	}
	return c.TCPConn.Write(p)
}

// ReadFrom writes an answer from a reader. It hides that of the TCP connection, whose check
// for a refusal it would leave out.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	if c.refused.Load() {
		return 0, errRefused
	}
	return c.TCPConn.ReadFrom(r)
}

// evict closes the connection if it still waits for the request since then. It returns whether it
// has.
func (c *conn) evict(since int64) bool {
	if !c.waiting.CompareAndSwap(since, evicted) {
		return false
	}
	// The server closes the connection when its read fails.
	_ = c.TCPConn.Close()
	return true
}

// Close closes the connection and releases what was reserved for it. If requests wait behind the
// one that was answered, which are not read, the client gets time to read the answer.
func (c *conn) Close() error {
	if !c.guard.closing.Load() && !c.refused.Load() && !c.hijacked.Load() && c.waiting.Load() == 0 && (len(c.buf) > 0 || hasUnread(c.TCPConn)) {
		// A new connection may take the place of this one.
		c.waiting.CompareAndSwap(0, time.Now().UnixNano())
		c.linger()
	}
	c.mu.Lock()
	c.guard.release(c.reserved)
	c.reserved, c.closed = 0, true
	c.mu.Unlock()
	c.guard.remove(c)
	return c.TCPConn.Close()
}
