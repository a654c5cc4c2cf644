package socket_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"lavenderdeal/internal/socket"
	"lavenderdeal/internal/standin/testserver"
)

// accept returns both ends of a connection.
func accept(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	accepted, done := make(chan net.Conn), make(chan struct{})
	addr := testserver.Accept(t, func(c net.Conn) { accepted <- c; <-done })
	t.Cleanup(func() { close(done) })
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn), (<-accepted).(*net.TCPConn)
}

// assertState checks the state of a connection, which may take a moment to change.
func assertState(t *testing.T, c net.Conn, ended, reset bool) {
	t.Helper()
	s := socket.Of(c)
	for deadline := time.Now().Add(time.Second); s.HasEnded() != ended || s.IsReset() != reset; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("HasEnded returns %v and IsReset %v, want %v and %v", s.HasEnded(), s.IsReset(), ended, reset)
		}
	}
}

func TestSocket(t *testing.T) {
	t.Run("open", func(t *testing.T) {
		near, far := accept(t)
		assertState(t, near, false, false)
		_, _ = io.WriteString(far, "unread")
		time.Sleep(10 * time.Millisecond)
		assertState(t, near, false, false)
	})
	t.Run("closed with unread data", func(t *testing.T) {
		near, far := accept(t)
		_, _ = io.WriteString(far, "unread")
		_ = far.Close()
		assertState(t, near, true, false)
	})
	t.Run("reset", func(t *testing.T) {
		near, far := accept(t)
		_ = far.SetLinger(0)
		_ = far.Close()
		assertState(t, near, true, true)
	})
	t.Run("IsReset leaves the error of a reset to the reader", func(t *testing.T) {
		near, far := accept(t)
		_ = far.SetLinger(0)
		_ = far.Close()
		s := socket.Of(near)
		for deadline := time.Now().Add(time.Second); !s.IsReset() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("the next read returns %v, want the error of the reset", err)
		}
	})
	t.Run("reset whose error a write has got", func(t *testing.T) {
		near, far := accept(t)
		_ = far.SetLinger(0)
		_ = far.Close()
		assertState(t, near, true, true)
		if _, err := io.WriteString(near, "x"); err == nil {
			t.Fatal("the write succeeded")
		}
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("the next read returns %v, want EOF", err)
		}
		assertState(t, near, true, true)
	})
	t.Run("closed here", func(t *testing.T) {
		near, _ := accept(t)
		_ = near.Close()
		assertState(t, near, true, true)
	})
	t.Run("no socket", func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		assertState(t, near, false, false)
	})
}
