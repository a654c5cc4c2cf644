// Package testserver starts HTTP and TCP servers on the loopback address for the duration
// of a test:
//
//	store := objectapi.New()
//	addr := testserver.Start(t, store).Addr()
package testserver

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/httpserver"
)

// Loopback is the loopback address with port 0, which selects a free port.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Start serves an HTTP handler on the loopback address until the test ends. It ends the test
// with Fatal if it cannot listen.
func Start(t testing.TB, handler http.Handler) *httpserver.Server {
	t.Helper()
	s, err := httpserver.Start(Loopback, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Accept listens for TCP connections on the loopback address until the test ends and returns
// the address. It calls fn for each connection, in a goroutine of its own, and closes the
// connection when fn returns. The end of the test waits for all calls of fn. Accept ends the
// test with Fatal if it cannot listen.
func Accept(t testing.TB, fn func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", Loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				fn(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}
