package httpserver

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lavenderdeal/core/framing"
	"lavenderdeal/internal/memory"
)

// The reasons for which a connection is refused or closed; see [Refusal].
const (
	// reasonHeadTooLong means that a head is longer than the limit.
	reasonHeadTooLong = "headTooLong"
	// reasonHeadMemory means that there is no memory for a head.
	reasonHeadMemory = "headMemory"
	// reasonHeadLate means that a head has not arrived in time.
	reasonHeadLate = "headLate"
	// reasonEvicted means that a connection without a request made room for a new one.
	reasonEvicted = "evicted"
	// reasonConnections means that all connections have requests.
	reasonConnections = "connectionsFull"
)

const (
	// connBytes is the memory of a connection with an ordinary request: the goroutine and the
	// buffers of the HTTP server, and headAllowance.
	connBytes = 36 << 10
	// headAllowance is the memory, in bytes, of a head for which nothing is reserved.
	headAllowance = 16 << 10
	// lineBytes is the memory of a header line in addition to its bytes, in a request and in the
	// header that is sent on. textCopies is how often its bytes are in memory.
	lineBytes  = 384
	textCopies = 4
	// headMargin is added to the limit on heads, for what is counted in another way by the
	// handler, which refuses with a better answer.
	headMargin = 4 << 10
	// minHeadMemory lets one head of the largest size in even if there is little memory.
	minHeadMemory = 4 << 20

	// connMemoryDivisor is the part of the memory that connections may take, and
	// headMemoryDivisor that of heads beyond headAllowance each.
	connMemoryDivisor = 3
	headMemoryDivisor = 8
	// minConnections is the least number of connections that a listener takes.
	minConnections = 16
	// descriptorShare is the number of parts in which [Memory.Connections] divides the descriptors of the
	// process.
	descriptorShare = 32
)

// Memory bounds what the heads and the connections of all listeners of a process take.
type Memory struct {
	bytes       int64
	descriptors int64
	heads       *memory.Budget
}

// NewMemory returns bounds for a process that may use a number of MiB, and as many descriptors
// as the operating system allows it now.
func NewMemory(mib int) *Memory {
	m := &Memory{bytes: int64(mib) << 20}
	m.heads = memory.New(max(m.bytes/headMemoryDivisor, minHeadMemory))
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		m.descriptors = int64(min(limit.Cur, 1<<30))
	}
	return m
}

// Connections returns the number of connections for a listener that may use a number of
// thirty-seconds of the descriptors.
func (m *Memory) Connections(share int) int {
	n := m.bytes / connMemoryDivisor / connBytes
	if m.descriptors > 0 {
		n = min(n, m.descriptors*int64(share)/descriptorShare)
	}
	return int(max(n, minConnections))
}

// HeadBytes returns the memory, in bytes, of the heads beyond 16 KiB each.
func (m *Memory) HeadBytes() int64 { return m.heads.Used() }

// Limits bound what the clients of a listener may send. The zero value has the defaults.
type Limits struct {
	// Memory is shared by the listeners of the process. Without it, heads are bounded one by
	// one only.
	Memory *Memory
	// Connections bounds the connections. Beyond it, the one that has waited longest without a
	// request makes room for a new one. By default there is no bound.
	Connections int
	// HeadBytes returns the limit on the bytes of a head, at most 64 KiB, and HeadTime that on the time in
	// which a head arrives once it has begun. Zero means the default, 64 KiB and 10 s.
	HeadBytes func() int
	HeadTime  func() time.Duration
	// EchoedHeader is a header line of requests that refusals return, and RefusalHeader returns
	// the others for a reason.
	EchoedHeader  string
	RefusalHeader func(reason string) http.Header
	// Notify is called for each refusal.
	Notify func(Refusal)
}

// Refusal is a request that was refused before it was parsed, or a connection that was
// closed.
type Refusal struct {
	Reason string
	Client string
	Head   framing.Head
}

// WithLimits bounds what clients may send.
func WithLimits(l Limits) Option { return func(c *config) { c.limits = l } }

// guard keeps the limits of one listener. Lock order: mu is taken before the locks of
// connections.
type guard struct {
	limits Limits
	// closing is set once the server ends.
	closing atomic.Bool

	mu      sync.Mutex
	conns   map[*conn]struct{}
	refused map[string]uint64
}

func newGuard(l Limits) *guard {
	return &guard{limits: l, conns: make(map[*conn]struct{}), refused: make(map[string]uint64)}
}

// headBytes returns the limit on the bytes of a head.
func (g *guard) headBytes() int {
	if g.limits.HeadBytes != nil {
		if n := g.limits.HeadBytes(); n > 0 {
			return min(n, maxHeaderBytes) + headMargin
		}
	}
	return maxHeaderBytes + headMargin
}

// headTime returns the time in which a head must arrive.
func (g *guard) headTime() time.Duration {
	if g.limits.HeadTime != nil {
		if d := g.limits.HeadTime(); d > 0 {
			return d
		}
	}
	return headerTimeout
}

// reserve takes memory for heads, and returns false if there is none.
func (g *guard) reserve(n int64) bool {
	return g.limits.Memory == nil || g.limits.Memory.heads.Reserve(n)
}

func (g *guard) release(n int64) {
	if g.limits.Memory != nil {
		g.limits.Memory.heads.Release(n)
	}
}

// note counts a refusal and tells Notify about it.
func (g *guard) note(reason string, c *conn, h framing.Head) {
	g.mu.Lock()
	g.refused[reason]++
	g.mu.Unlock()
	if g.limits.Notify != nil {
		g.limits.Notify(Refusal{Reason: reason, Client: c.RemoteAddr().String(), Head: h})
	}
}

// counts returns the number of refusals by reason.
func (g *guard) counts() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.refused)
}

// add takes a new connection in. If there are too many, it closes the one that has waited longest
// for a request. It returns false if all of them have requests.
func (g *guard) add(c *conn) bool {
	g.mu.Lock()
	full := g.limits.Connections > 0 && len(g.conns) >= g.limits.Connections
	var evicted *conn
	for full {
		var since int64
		evicted, since = g.longestWaitingLocked()
		if evicted == nil {
			g.mu.Unlock()
			return false
		}
		if evicted.evict(since) {
			delete(g.conns, evicted)
			break
		}
	}
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if evicted != nil {
		g.note(reasonEvicted, evicted, framing.Head{})
	}
	return true
}

// longestWaitingLocked returns the connection that has waited longest, and since when. It returns
// nil if none waits.
func (g *guard) longestWaitingLocked() (found *conn, since int64) {
	for c := range g.conns {
		if w := c.waiting.Load(); w > 0 && (found == nil || w < since) {
			found, since = c, w
		}
	}
	return found, since
}

func (g *guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// listener takes connections in.
type listener struct {
	net.Listener
	guard *guard
}

// Accept returns the next connection that the guard takes in.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			_ = raw.Close()
			return nil, errors.New("not a TCP connection")
		}
		c := newConn(tcp, l.guard)
		if l.guard.add(c) {
			return c, nil
		}
		l.guard.note(reasonConnections, c, framing.Head{})
		c.writeRefusal(reasonConnections, statusUnavailable, nil)
		_ = tcp.Close()
	}
}
