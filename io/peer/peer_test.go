package peer_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lavenderdeal/internal/proptest"
	"lavenderdeal/internal/wait"

	"lavenderdeal/internal/secret"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

func TestMain(m *testing.M) { proptest.MainWithLeakCheck(m) }

const (
	keyText = "peer-test-key-0123456789"
	timeout = 10 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T, key string, mux *peer.Mux) *peer.Endpoint {
	t.Helper()
	e, err := peer.Listen(loopback, secret.New(key), mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func echoMux() *peer.Mux {
	var mux peer.Mux
	peer.Handle(&mux, "echo", func(_ context.Context, q messages.Gossip) (messages.Gossip, error) { return q, nil })
	return &mux
}

func TestCall(t *testing.T) {
	server, client := listen(t, keyText, echoMux()), listen(t, keyText, echoMux())
	t.Run("short message", func(t *testing.T) { assertEcho(t, client, server.Addr(), "node-1") })
	t.Run("long message is compressed", func(t *testing.T) {
		before := client.Counts().BytesOut
		assertEcho(t, client, server.Addr(), strings.Repeat("node-1", 10000))
		if sent := client.Counts().BytesOut - before; sent > 6000 {
			t.Fatalf("sent %d bytes for a message of 60000 repeated bytes, want at most 6000", sent)
		}
	})
	t.Run("bytes are counted by method in both directions", func(t *testing.T) {
		assertEcho(t, client, server.Addr(), "node-2")
		assertCountsAddUp(t, client)
		assertCountsAddUp(t, server)
	})
	t.Run("counts are published in camel case", func(t *testing.T) {
		text, err := json.Marshal(client.Counts())
		if err != nil || !strings.Contains(string(text), `"keyRefused":0`) {
			t.Fatalf("%s, %v", text, err)
		}
	})
	t.Run("unknown method", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if _, err := peer.Call[messages.Gossip](ctx, client, server.Addr(), "other", messages.Gossip{}); err == nil {
			t.Fatal("no error")
		}
	})
}

func TestRefusals(t *testing.T) {
	t.Run("wrong key", func(t *testing.T) {
		server, client := listen(t, keyText, echoMux()), listen(t, "another-key-0123456789", echoMux())
		assertNoEcho(t, client, server.Addr())
		waitFor(t, "a refused key", func() bool { return server.Counts().KeyRefused == 1 })
	})
	t.Run("no hello", func(t *testing.T) {
		server := listen(t, keyText, echoMux())
		conn := dial(t, server.Addr())
		write(t, conn, frame("not a hello"))
		assertClosed(t, conn)
		waitFor(t, "a malformed message", func() bool { return server.Counts().Malformed == 1 })
	})
	t.Run("hello too long", func(t *testing.T) {
		server := listen(t, keyText, echoMux())
		conn := dial(t, server.Addr())
		write(t, conn, binary.BigEndian.AppendUint32(nil, 1<<20))
		assertClosed(t, conn)
		waitFor(t, "a malformed message", func() bool { return server.Counts().Malformed == 1 })
	})
	t.Run("wrong type of parameters", func(t *testing.T) {
		server, client := listen(t, keyText, echoMux()), listen(t, keyText, echoMux())
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if _, err := peer.Call[messages.Gossip](ctx, client, server.Addr(), "echo", []int{1}); err == nil {
			t.Fatal("no error")
		}
		waitFor(t, "a malformed message", func() bool { return server.Counts().Malformed == 1 })
		assertEcho(t, client, server.Addr(), "the connection stays")
	})
	t.Run("unknown method names of peers do not grow the counters", func(t *testing.T) {
		server, client := listen(t, keyText, echoMux()), listen(t, keyText, echoMux())
		for i := range 10 {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			_, _ = peer.Call[messages.Gossip](ctx, client, server.Addr(), fmt.Sprint("other", i), messages.Gossip{})
			cancel()
		}
		if n := len(server.Counts().ByMethod); n > 3 {
			t.Fatalf("%d methods are counted, want at most 3", n)
		}
	})
}

// TestSlowPeer checks that a peer that accepts connections and never answers does not
// delay calls to another peer.
func TestSlowPeer(t *testing.T) {
	silent, err := net.Listen("tcp", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	server, client := listen(t, keyText, echoMux()), listen(t, keyText, echoMux())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	lost := make(chan error, 1)
	t.Run("others", func(t *testing.T) {
		t.Run("waiting for the silent one", func(t *testing.T) {
			t.Parallel()
			_, err := peer.Call[messages.Gossip](ctx, client, netip.MustParseAddrPort(silent.Addr().String()), "echo", messages.Gossip{})
			lost <- err
		})
		t.Run("the other one answers meanwhile", func(t *testing.T) {
			t.Parallel()
			for range 100 {
				assertEcho(t, client, server.Addr(), "node-1")
			}
			if ctx.Err() != nil {
				t.Fatal("100 answers took longer than the timeout of the call to the silent peer")
			}
		})
	})
	if err := <-lost; err == nil {
		t.Fatal("the silent peer answered")
	}
}

// TestClosedPeer checks that a call fails after the peer closed the connection.
func TestClosedPeer(t *testing.T) {
	server, client := listen(t, keyText, echoMux()), listen(t, keyText, echoMux())
	assertEcho(t, client, server.Addr(), "node-1")
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	assertNoEcho(t, client, server.Addr())
}

func assertEcho(t *testing.T, client *peer.Endpoint, to netip.AddrPort, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	answer, err := peer.Call[messages.Gossip](ctx, client, to, "echo", messages.Gossip{From: text})
	if err != nil || answer.From != text {
		t.Fatalf("got %d bytes, %v, want %d bytes", len(answer.From), err, len(text))
	}
}

func assertNoEcho(t *testing.T, client *peer.Endpoint, to netip.AddrPort) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if _, err := peer.Call[messages.Gossip](ctx, client, to, "echo", messages.Gossip{}); err == nil {
		t.Fatal("the call was answered")
	}
}

func assertCountsAddUp(t *testing.T, e *peer.Endpoint) {
	t.Helper()
	waitFor(t, "counts that add up", func() bool {
		counts := e.Counts()
		var in, out uint64
		for _, n := range counts.ByMethod {
			in += n.BytesIn
			out += n.BytesOut
		}
		echo := counts.ByMethod["echo"]
		_, hasUnknown := counts.ByMethod[""]
		return in == counts.BytesIn && out == counts.BytesOut && echo.BytesIn > 0 && echo.BytesOut > 0 && !hasUnknown
	})
}

func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatal("the connection stays open")
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	if !wait.Until(t.Context(), timeout, holds) {
		t.Fatalf("no %s after %s", what, timeout)
	}
}

func dial(t *testing.T, to netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

func frame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// mutedConn discards all writes while muted is set. It simulates a connection to an
// instance that lost power: nothing is received and the connection is not closed, but a
// new process may accept connections at the same address.
type mutedConn struct {
	net.Conn
	muted atomic.Bool
}

func (c *mutedConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// mutedDialer records the connections that it opens.
type mutedDialer struct {
	net.Dialer
	conns []*mutedConn
}

func (d *mutedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &mutedConn{Conn: raw}
	d.conns = append(d.conns, c)
	return c, nil
}

// TestSilentConnection checks that a call that times out on a connection without any
// incoming data closes it, so that the next call opens a new one.
func TestSilentConnection(t *testing.T) {
	const short = 200 * time.Millisecond
	server := listen(t, keyText, echoMux())
	var dialer mutedDialer
	client, err := peer.Listen(loopback, secret.New(keyText), echoMux(), peer.WithDialer(&dialer))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	assertEcho(t, client, server.Addr(), "node-1")
	dialer.conns[0].muted.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), short)
	defer cancel()
	if _, err := peer.Call[messages.Gossip](ctx, client, server.Addr(), "echo", messages.Gossip{}); err == nil {
		t.Fatal("the call on a silent connection was answered")
	}
	ctx, cancel = context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := peer.Call[messages.Gossip](ctx, client, server.Addr(), "echo", messages.Gossip{}); err != nil {
		t.Fatalf("the next call was not answered: %v", err)
	}
}
