package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// dialTimeout limits the time to connect to a proxy's target on the loopback interface.
const dialTimeout = time.Second

// copyBufferSize is the largest amount of data, in bytes, that a proxy forwards at once.
const copyBufferSize = 16 << 10

// linkFaults are the faults of all connections of a proxy. The zero value has none.
type linkFaults struct {
	// Delay is added to each read of at most copyBufferSize bytes, in both directions.
	Delay time.Duration
	// CutToServer and CutToClient hold back the data of one direction. It is forwarded when
	// the cut ends.
	CutToServer, CutToClient bool
}

// proxy is a TCP proxy on the loopback interface that injects link faults. It is safe
// for concurrent use. Lock order: mu is the only lock.
type proxy struct {
	listener net.Listener
	group    errgroup.Group

	mu     sync.Mutex
	target netip.AddrPort
	faults linkFaults
	// changed is closed when faults changes.
	changed chan struct{}
	conns   map[*proxiedConn]bool
	closed  bool
}

// proxiedConn is a client's connection and the connection to the target that serves it.
type proxiedConn struct {
	client, server net.Conn
	// stalled is closed to make the connection forward no more data.
	stalled   chan struct{}
	stallOnce sync.Once
	// done is closed when either side of the connection has closed.
	done      chan struct{}
	closeOnce sync.Once
}

// newProxy listens on a free port and forwards connections to a target. It accepts a
// connection before it connects to the target, and resets it if that fails.
func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*proxiedConn]bool)}
	p.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			p.group.Go(func() error { p.serve(c); return nil })
		}
	})
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetTarget sets the target of new connections. Open connections keep theirs.
func (p *proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFaults replaces the link faults. Data that is held back is forwarded if the new faults
// allow it.
func (p *proxy) SetFaults(l linkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = l
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all open connections with a TCP reset.
func (p *proxy) Reset() {
	for _, c := range p.openConns() {
		for _, end := range []net.Conn{c.client, c.server} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
	}
}

// Stall makes all open connections forward no more data, without closing them.
func (p *proxy) Stall() {
	for _, c := range p.openConns() {
		c.stallOnce.Do(func() { close(c.stalled) })
	}
}

// Close stops the proxy and closes its connections.
func (p *proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	for _, c := range p.openConns() {
		c.close()
	}
	_ = p.group.Wait()
}

func (p *proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

// serve connects to the target and forwards the data of a client's connection until either
// side closes.
func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target.String(), dialTimeout)
	if err != nil {
		// Reset the connection, as a port without a listener does.
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, server: server, stalled: make(chan struct{}), done: make(chan struct{})}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	p.group.Go(func() error { p.forward(c, client, server, true); return nil })
	p.forward(c, server, client, false)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies the data of one direction until either side closes.
func (p *proxy) forward(c *proxiedConn, from, to net.Conn, toServer bool) {
	defer c.close()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitForLink(c, toServer) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForLink waits until the link's faults allow data in the given direction. It returns
// false when the connection has closed meanwhile.
func (p *proxy) waitForLink(c *proxiedConn, toServer bool) bool {
	select {
	case <-c.stalled:
		<-c.done
		return false
	default:
	}
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		cut, changed := p.faults.CutToClient, p.changed
		if toServer {
			cut = p.faults.CutToServer
		}
		p.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-c.stalled:
			<-c.done
			return false
		case <-c.done:
			return false
		}
	}
}

func (c *proxiedConn) close() {
	c.closeOnce.Do(func() { close(c.done) })
	_ = c.client.Close()
	_ = c.server.Close()
}
