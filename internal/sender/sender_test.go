package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lavenderdeal/internal/sender"
	"lavenderdeal/internal/standin/testserver"
)

// accept returns both ends of a connection.
func accept(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn)
	done := make(chan struct{})
	addr := testserver.Accept(t, func(c net.Conn) { accepted <- c; <-done })
	t.Cleanup(func() { close(done) })
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn), <-accepted
}

func assertLeft(t *testing.T, c net.Conn, want bool) {
	t.Helper()
	conn := sender.Of(sender.WithConn(context.Background(), c))
	deadline := time.Now().Add(time.Second)
	for conn.HasLeft() != want {
		if time.Now().After(deadline) {
			t.Fatalf("HasLeft returns %v, want %v", !want, want)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHasLeft(t *testing.T) {
	t.Run("a sender that waits", func(t *testing.T) {
		client, server := accept(t)
		assertLeft(t, server, false)
		_, _ = io.WriteString(client, "unread")
		time.Sleep(10 * time.Millisecond)
		assertLeft(t, server, false)
	})
	t.Run("a closed connection with unread data", func(t *testing.T) {
		client, server := accept(t)
		_, _ = io.WriteString(client, "unread")
		_ = client.Close()
		assertLeft(t, server, true)
	})
	t.Run("a reset connection ends for the reader too", func(t *testing.T) {
		client, server := accept(t)
		_ = client.SetLinger(0)
		_ = client.Close()
		assertLeft(t, server, true)
		if _, err := server.Read(make([]byte, 1)); err == nil {
			t.Fatal("the next read returns no error")
		}
	})
	t.Run("a connection that was closed here", func(t *testing.T) {
		_, server := accept(t)
		_ = server.Close()
		assertLeft(t, server, true)
	})
	t.Run("an unknown connection", func(t *testing.T) {
		if sender.Of(context.Background()).HasLeft() {
			t.Fatal("HasLeft returns true without a connection")
		}
	})
}

// Guards against a server that does not pass its connections to its handlers.
func TestServer(t *testing.T) {
	left := make(chan bool, 1)
	server := testserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := sender.Of(r.Context())
		before := conn.HasLeft()
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		for deadline := time.Now().Add(time.Second); !conn.HasLeft() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		left <- !before && conn.HasLeft()
	}))
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: depot\r\n\r\n")
	_, _ = bufio.NewReader(conn).ReadString('\n')
	_ = conn.Close()
	if !<-left {
		t.Fatal("the handler did not see that the sender had left")
	}
}
