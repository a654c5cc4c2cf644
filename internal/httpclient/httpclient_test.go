package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/standin/testserver"
)

// serve accepts connections and serves each by a function until the test ends.
func serve(t *testing.T, fn func(net.Conn)) string {
	t.Helper()
	return "http://" + testserver.Accept(t, fn).String() + "/"
}

func newClient(t *testing.T, opts ...httpclient.Option) *httpclient.Client {
	c := httpclient.New("test", opts...)
	t.Cleanup(c.Close)
	return c
}

func do(ctx context.Context, c *httpclient.Client, url string) (string, error) {
	r, err := httpclient.NewRequest(ctx, http.MethodPost, url, strings.NewReader("two tickets"))
	if err != nil {
		return "", err
	}
	answer, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func assertSent(t *testing.T, err error, want bool) {
	t.Helper()
	if err == nil || httpclient.MayHaveSent(err) != want {
		t.Fatalf("got error %v that says sent %v, want %v", err, httpclient.MayHaveSent(err), want)
	}
}

// TestCrossedAnswers has a server answer each request twice. The second answer
// may reach nobody.
func TestCrossedAnswers(t *testing.T) {
	url := serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		}
	})
	c := newClient(t, httpclient.WithMaxConnections(4))
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			for range 500 {
				if body, err := do(context.Background(), c, url); err == nil && body != "own" {
					t.Errorf("got the answer %q", body)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
}

func TestSent(t *testing.T) {
	t.Run("nothing to a closed port", func(t *testing.T) {
		url := serve(t, func(net.Conn) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		url = "http://" + listener.Addr().String() + url[len(url)-1:]
		_ = listener.Close()
		_, err = do(context.Background(), newClient(t), url)
		assertSent(t, err, false)
	})
	t.Run("nothing while all connections are taken", func(t *testing.T) {
		taken := make(chan struct{})
		url := serve(t, func(conn net.Conn) {
			close(taken)
			_, _ = io.Copy(io.Discard, conn)
		})
		c := newClient(t, httpclient.WithMaxConnections(1))
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			_, err := do(ctx, c, url)
			assertSent(t, err, true)
			return nil
		})
		<-taken
		short, cancelShort := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancelShort()
		_, err := do(short, c, url)
		assertSent(t, err, false)
		cancel()
		_ = group.Wait()
	})
	t.Run("something to a server that closes after it has read", func(t *testing.T) {
		url := serve(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
		})
		_, err := do(context.Background(), newClient(t), url)
		assertSent(t, err, true)
	})
}

// heldDialer opens connections whose writes last until they are closed.
type heldDialer struct{}

type heldConn struct {
	net.Conn
	closed chan struct{}
}

func (heldDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	return &heldConn{Conn: conn, closed: make(chan struct{})}, err
}

func (c *heldConn) Write([]byte) (int, error) {
	<-c.closed
	return 0, io.ErrClosedPipe
}

func (c *heldConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

func TestSentIsCautious(t *testing.T) {
	url := serve(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := do(ctx, newClient(t, httpclient.WithDialer(heldDialer{})), url)
	// The write began, so bytes may be on their way.
	assertSent(t, err, true)
}
