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
	"golang.org/x/sys/unix"

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

// SendAndLeave opens a connection, writes the text of a request and closes the connection. The
// last packet of the request ends the connection, so that the other side cannot read the one
// without the other. It ends the test with Fatal if that fails.
func SendAndLeave(t testing.TB, to netip.AddrPort, request string) {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
	})
	if err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
}
