// Package partition simulates network partitions between availability zones, and between
// a zone and the platform, on the loopback interface.
//
// Each zone has its own range of loopback addresses, see [Addr]. Each node connects through
// the [Dialer] of its zone. Connections between two zones that are cut off from each other
// carry no data until the cut is healed, as with a switch that drops packets:
//
//	var network partition.Network
//	dialer := network.Dialer(1)
//	network.Cut(1, 2) // connections between zones 1 and 2 stall
//	network.Heal()
package partition

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformZone is the zone number of the platform.
const PlatformZone = 0

// Network is a set of zones and of the cuts between them. The zero value has no cuts.
// Lock order: mu is the only lock.
type Network struct {
	mu  sync.Mutex
	cut map[pair]bool
	// changed is closed when all cuts are healed. It is nil while nobody waits for that.
	changed chan struct{}
}

// pair is two zones, the lower number first.
type pair struct{ a, b int }

// Addr returns the address of an instance in a zone, 127.x.ZONE.y with port 0. Zones and
// instances count from 0; zone 0 is the platform. There may be 256 zones with 64000
// instances each.
func Addr(zone, instance int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(instance / 250), byte(zone), byte(1 + instance%250)}), 0)
}

// Cut blocks all traffic between two zones, in both directions.
func (n *Network) Cut(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[pair]bool)
	}
	n.cut[newPair(a, b)] = true
}

// Heal removes all cuts. Connections continue, and data that was held back is delivered.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = nil
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// Dialer returns a dialer for the instances in a zone.
func (n *Network) Dialer(zone int) *Dialer { return &Dialer{network: n, zone: zone} }

// blocked returns a channel that is closed by the next call of Heal, or nil when the two
// zones are connected.
func (n *Network) blocked(p pair) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.cut[p] {
		return nil
	}
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// Dialer opens connections from one zone, which obey the cuts of its [Network].
type Dialer struct {
	network *Network
	zone    int
}

// DialContext opens a connection to an IP address from [Addr], with a port. Across a cut it
// waits until the cut is healed. It returns a [net.OpError] when ctx is done first.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !to.Addr().Unmap().Is4() {
		return nil, errors.Newf("%s is not an address of the network", address)
	}
	p := newPair(d.zone, int(to.Addr().Unmap().As4()[2]))
	for blocked := d.network.blocked(p); blocked != nil; blocked = d.network.blocked(p) {
		select {
		case <-blocked:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	dialer := net.Dialer{Timeout: time.Second}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, network: d.network, pair: p, closed: make(chan struct{})}, nil
}

// conn is a connection between two zones. While these are cut off from each other, reads
// and writes wait.
type conn struct {
	net.Conn
	network   *Network
	pair      pair
	closed    chan struct{}
	closeOnce sync.Once

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitConnected(func() time.Time { return c.readDeadline }); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitConnected(func() time.Time { return c.writeDeadline }); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// waitConnected waits until the two zones are connected. It returns [net.ErrClosed] when the
// connection is closed and [os.ErrDeadlineExceeded] when the deadline passes.
func (c *conn) waitConnected(deadline func() time.Time) error {
	for blocked := c.network.blocked(c.pair); blocked != nil; blocked = c.network.blocked(c.pair) {
		c.mu.Lock()
		limit := deadline()
		c.mu.Unlock()
		var expired <-chan time.Time
		if !limit.IsZero() {
			timer := time.NewTimer(time.Until(limit))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-blocked:
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// newPair returns the pair of two zones, which may be in any order.
func newPair(a, b int) pair { return pair{min(a, b), max(a, b)} }
