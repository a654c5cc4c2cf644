package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/standin/malformed"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/http1"
)

// serve starts a server that handles each connection with fn and returns its address.
func serve(t testing.TB, fn func(net.Conn, *bufio.Reader)) netip.AddrPort {
	t.Helper()
	return testserver.Accept(t, func(c net.Conn) { fn(c, bufio.NewReader(c)) })
}

func newPool(t testing.TB) *http1.Pool {
	p := http1.New()
	t.Cleanup(p.Close)
	return p
}

// readRequest reads a request and returns its Id header, or "" if the connection ended.
func readRequest(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id")
}

func writeAnswer(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *http1.Request {
	return &http1.Request{
		Method: http.MethodPost, URI: "/", Host: "depot", Header: http.Header{"Id": {id}},
		IsAnswer: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t testing.TB, p *http1.Pool, addr netip.AddrPort, r *http1.Request) (*http1.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, addr, r)
}

func assertBody(t testing.TB, a *http1.Response, err error, want string) {
	t.Helper()
	if err != nil || string(a.Body) != want {
		t.Fatalf("got %v, error %v, want %q", a, err, want)
	}
}

func assertSent(t testing.TB, err error, want bool) {
	t.Helper()
	if err == nil || http1.MayHaveSent(err) != want {
		t.Fatalf("error %v, Sent returns %v, want %v", err, http1.MayHaveSent(err), want)
	}
}

func TestConnectionsAreKept(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			writeAnswer(c, id, id)
		}
	})
	p := newPool(t)
	for i := range 20 {
		a, err := do(t, p, addr, request(fmt.Sprint(i)))
		assertBody(t, a, err, fmt.Sprint(i))
	}
	if n := p.Dials(); n != 1 {
		t.Fatalf("%d connections for 20 requests, want 1", n)
	}
}

// TestForcedConnections checks that connections that requests force to be opened do not
// accumulate.
func TestForcedConnections(t *testing.T) {
	var open atomic.Int64
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		for id := readRequest(r); id != ""; id = readRequest(r) {
			writeAnswer(c, id, id)
		}
	})
	p := newPool(t)
	for i := range 20 {
		r := request(fmt.Sprint(i))
		r.NewConnection = true
		a, err := do(t, p, addr, r)
		assertBody(t, a, err, fmt.Sprint(i))
	}
	for deadline := time.Now().Add(time.Second); open.Load() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want at most 1", open.Load())
		}
	}
}

// TestStrayAnswers checks that an answer on a reused connection is not taken for the
// answer to another request. A server may send two answers to one request, or a late
// one to the request before.
func TestStrayAnswers(t *testing.T) {
	t.Run("a second answer is not used for the next request", func(t *testing.T) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				writeAnswer(c, id, id)
				writeAnswer(c, id, "second")
			}
		})
		p := newPool(t)
		for i := range 200 {
			a, err := do(t, p, addr, request(fmt.Sprint(i)))
			assertBody(t, a, err, fmt.Sprint(i))
		}
	})
	t.Run("a second answer is not used by a request that accepts any answer", func(t *testing.T) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
				_, _ = io.WriteString(c, answer+answer)
			}
		})
		p := newPool(t)
		for i := range 50 {
			r := request(fmt.Sprint(i))
			r.IsAnswer = nil
			a, err := do(t, p, addr, r)
			assertBody(t, a, err, fmt.Sprint(i))
		}
	})
	t.Run("a late answer to the previous request is skipped", func(t *testing.T) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			last := ""
			for id := readRequest(r); id != ""; id = readRequest(r) {
				if last != "" {
					writeAnswer(c, last, "late")
				}
				writeAnswer(c, id, id)
				last = id
			}
		})
		p := newPool(t)
		for i := range 50 {
			a, err := do(t, p, addr, request(fmt.Sprint(i)))
			assertBody(t, a, err, fmt.Sprint(i))
		}
		if n := p.Dials(); n != 1 {
			t.Fatalf("%d connections, want 1", n)
		}
	})
}

// TestBrokenAnswers checks that an incomplete or malformed answer is an error whose
// request counts as sent, and that the request is not sent again.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"short body":          "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\nshort",
		"short chunks":        "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no answer":           "",
		"not HTTP":            "\x00\x01\x02 nothing of use\r\n\r\n",
		"to another request":  "HTTP/1.1 200 OK\r\nId: y\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"short header":        "HTTP/1.1 200 OK\r\nId: x\r\nContent-Le",
		"negative length":     "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: -5\r\n\r\n",
		"two unequal lengths": "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) != "" {
					runs.Add(1)
					_, _ = io.WriteString(c, answer)
				}
			})
			_, err := do(t, newPool(t), addr, request("x"))
			assertSent(t, err, true)
			if n := runs.Load(); n != 1 {
				t.Fatalf("the request was sent %d times, want once", n)
			}
		})
	}
	t.Run("an answer without a length is complete if the connection is closed", func(t *testing.T) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\nwhole")
		})
		a, err := do(t, newPool(t), addr, request("x"))
		assertBody(t, a, err, "whole")
	})
	t.Run("an answer without a length is incomplete if the connection is reset", func(t *testing.T) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\npart")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, err := do(t, newPool(t), addr, request("x"))
		assertSent(t, err, true)
	})
}

// TestCutOffAnswers cuts off each of several answers after each of its bytes, as a server
// does that stops while it writes, by a regular close and by a reset. None must be taken for
// a whole answer, unless it has no length, its head is complete and the connection was closed
// regularly.
func TestCutOffAnswers(t *testing.T) {
	const unframed = "no length"
	for name, answer := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nId: x\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\nwhole answer",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: x\r\nX: \r\n\r\nwhole answer",
		"chunks":          "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
		"trailer":         "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nX: y\r\n\r\n",
		"interim":         "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 12\r\n\r\nwhole answer",
		"close":           "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\nContent-Length: 12\r\n\r\nwhole answer",
		"bare line feeds": "HTTP/1.1 200 OK\nId: x\nContent-Length: 12\n\nwhole answer",
		unframed:          "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\n\r\nwhole answer",
		"other protocol":  "HTTP/1.0 200 OK\r\nId: x\r\nContent-Length: 12\r\n\r\nwhole answer",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				var end atomic.Int64
				addr := serve(t, func(c net.Conn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(c, answer[:end.Load()])
					if reset {
						// The client reads what was sent before the reset arrives.
						time.Sleep(2 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := newPool(t)
				for n := range len(answer) {
					end.Store(int64(n))
					a, err := do(t, p, addr, request("x"))
					if isHead := strings.Contains(answer[:n], "\r\n\r\n"); name == unframed && isHead && !reset {
						assertBody(t, a, err, answer[strings.Index(answer, "\r\n\r\n")+4:n])
						continue
					}
					if err == nil {
						t.Fatalf("%q was taken for a whole answer with the body %q", answer[:n], a.Body)
					}
					assertSent(t, err, true)
				}
			})
		}
	}
}

// Guards against a head or a body without end, which would be read until the deadline and
// fill the memory.
func TestEndlessAnswers(t *testing.T) {
	const limit, deadline = time.Second, 5 * time.Second
	const head = "HTTP/1.1 200 OK\r\nId: x\r\n"
	for name, answer := range map[string]struct{ first, again string }{
		"no answer":             {"", "\x00\x01\x02 nothing of use "},
		"a status line":         {"HTTP/1.1 200 ", "OK "},
		"a header field":        {head + "A: ", "aaaaaaaa"},
		"header fields":         {head, "A: aaaaaaaa\r\n"},
		"interim answers":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"a body without length": {head + "\r\n", "aaaaaaaa"},
		"a long body":           {head + "Content-Length: 60000000\r\n\r\n", "aaaaaaaa"},
		"chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
		"trailers":              {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: aaaaaaaa\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) == "" {
					return
				}
				_, err := io.WriteString(c, answer.first)
				for block := strings.Repeat(answer.again, 1000); err == nil; {
					_, err = io.WriteString(c, block)
				}
			})
			p := http1.New(http1.WithBodyMemory(1 << 20))
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			started := time.Now()
			_, err := p.Do(ctx, addr, request("x"))
			assertSent(t, err, true)
			if took := time.Since(started); took > limit {
				t.Fatalf("failed after %s, want within %s: %v", took, limit, err)
			}
		})
	}
	for name, answer := range map[string]string{
		"a request's own bound, by the length": "Content-Length: 101\r\n\r\n" + strings.Repeat("a", 101),
		"a request's own bound, in chunks":     "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("a", 101) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				for readRequest(r) != "" {
					_, _ = io.WriteString(c, head+answer)
				}
			})
			p := http1.New()
			t.Cleanup(p.Close)
			for bound, ok := range map[int64]bool{100: false, 101: true} {
				q := request("x")
				q.MaxBody = bound
				if _, err := p.Do(context.Background(), addr, q); (err == nil) != ok {
					t.Fatalf("bound of %d bytes: error %v, want success %v", bound, err, ok)
				}
			}
		})
	}
	t.Run("a long answer within the bound is whole", func(t *testing.T) {
		want := strings.Repeat("a", 300<<10)
		addr := serve(t, func(c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				writeAnswer(c, id, want)
			}
		})
		p := http1.New(http1.WithBodyMemory(1 << 20))
		t.Cleanup(p.Close)
		for range 5 {
			a, err := do(t, p, addr, request("x"))
			assertBody(t, a, err, want)
		}
	})
}

// TestNeverTwice checks that a request is not retried if the reused connection breaks
// after the request was sent.
func TestNeverTwice(t *testing.T) {
	var runs atomic.Int64
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		runs.Add(1)
		writeAnswer(c, id, id)
		if readRequest(r) != "" {
			runs.Add(1)
		}
	})
	p := newPool(t)
	a, err := do(t, p, addr, request("first"))
	assertBody(t, a, err, "first")
	_, err = do(t, p, addr, request("second"))
	assertSent(t, err, true)
	if n := runs.Load(); n != 2 {
		t.Fatalf("the server ran %d requests, want 2", n)
	}
}

// TestClosedWhileIdle checks that a request does not fail because the server closed
// the idle connection after the previous answer.
func TestClosedWhileIdle(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		writeAnswer(c, readRequest(r), "once")
	})
	p := newPool(t)
	for range 5 {
		a, err := do(t, p, addr, request("x"))
		assertBody(t, a, err, "once")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestEarlyAnswer checks that an answer is returned although the server sent it before
// it read the body of the request, and that the rest of the body is not parsed as
// the next request.
func TestEarlyAnswer(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			writeAnswer(c, "x", "early")
			// If the whole body is sent before the answer is read, the connection is
			// kept and carries the next request.
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
	})
	p := newPool(t)
	for range 3 {
		long := request("x")
		long.Body = []byte(strings.Repeat("0123456789", 1<<20))
		a, err := do(t, p, addr, long)
		assertBody(t, a, err, "early")
	}
}

// TestExpectContinue checks that the body is sent after 100 Continue, and that a
// refusal in place of 100 Continue is returned and does not break the next request.
func TestExpectContinue(t *testing.T) {
	var refuse atomic.Bool
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "x")
		if refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { _ = server.Serve(listener); return nil })
	t.Cleanup(func() { _ = server.Close(); _ = group.Wait() })
	addr := netip.MustParseAddrPort(listener.Addr().String())
	p := newPool(t)
	for _, refused := range []bool{false, true, false} {
		t.Run(fmt.Sprint("refused ", refused), func(t *testing.T) {
			refuse.Store(refused)
			r := request("x")
			r.ExpectContinue = true
			r.Body = make([]byte, 300_000)
			a, err := do(t, p, addr, r)
			if refused {
				if err != nil || a.Status != http.StatusServiceUnavailable {
					t.Fatalf("got %v, error %v", a, err)
				}
				return
			}
			assertBody(t, a, err, "300000")
		})
	}
}

// TestInvalidHeads checks that a request is not sent if its head could be read as another
// one, for example as two requests.
func TestInvalidHeads(t *testing.T) {
	for name, change := range map[string]func(*http1.Request){
		"method":       func(r *http1.Request) { r.Method = "GET /x HTTP/1.1\r\nX:" },
		"URI":          func(r *http1.Request) { r.URI = "/ HTTP/1.1\r\nX: y" },
		"host":         func(r *http1.Request) { r.Host = "depot\r\nX: y" },
		"header name":  func(r *http1.Request) { r.Header["X: y\r\nZ"] = []string{"z"} },
		"header value": func(r *http1.Request) { r.Header["X"] = []string{"y\r\n\r\nGET / HTTP/1.1"} },
		"null byte":    func(r *http1.Request) { r.Header["X"] = []string{"y\x00"} },
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				for id := readRequest(r); id != ""; id = readRequest(r) {
					runs.Add(1)
					writeAnswer(c, id, id)
				}
			})
			r := request("x")
			change(r)
			_, err := do(t, newPool(t), addr, r)
			assertSent(t, err, false)
			if n := runs.Load(); n != 0 {
				t.Fatalf("the server got %d requests, want none", n)
			}
		})
	}
}

// Guards against a request that is sent although its context ended while a connection was
// opened or taken from the pool (GONE).
func TestContextEndedBeforeSend(t *testing.T) {
	const requests = 200
	var runs atomic.Int64
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if id == "late" {
				runs.Add(1)
			}
			writeAnswer(c, id, id)
		}
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range requests {
		a, err := do(t, p, addr, request("idle"))
		assertBody(t, a, err, "idle")
		_, err = p.Do(ctx, addr, request("late"))
		assertSent(t, err, false)
	}
	if n := runs.Load(); n != 0 {
		t.Fatalf("the server got %d of %d requests, want none", n, requests)
	}
	if n := p.Dials(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

func TestFailures(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(listener.Addr().String())
		_ = listener.Close()
		_, err = do(t, newPool(t), addr, request("x"))
		assertSent(t, err, false)
	})
	t.Run("the context ends", func(t *testing.T) {
		closed := make(chan struct{})
		addr := serve(t, func(_ net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := newPool(t).Do(ctx, addr, request("x"))
		assertSent(t, err, true)
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the connection was not closed")
		}
	})
}

// Guards against an answer without a length that is taken as whole although its connection was
// reset (MIXED): the write of a long body may get the error of the reset, and the read of the
// answer a regular end.
func TestResetDuringUpload(t *testing.T) {
	const requests, uploadBytes = 60, 8 << 20
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\npart")
		time.Sleep(2 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p := newPool(t)
	taken := 0
	for range requests {
		r := request("x")
		r.Body = make([]byte, uploadBytes)
		if _, err := do(t, p, addr, r); err == nil {
			taken++
		} else {
			assertSent(t, err, true)
		}
	}
	if taken != 0 {
		t.Fatalf("%d of %d answers that were cut off were taken as whole", taken, requests)
	}
}

// Guards against answers with a status that does not exist (MIXED): a server in trouble sent 000.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "-20", "+20", "2 0", "20", "2000", "2x0"} {
		t.Run(status, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) != "" {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nId: x\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			_, err := do(t, newPool(t), addr, request("x"))
			assertSent(t, err, true)
		})
	}
}

// Guards against answers whose fields have invalid names (MIXED): the line was passed on, or the
// body was read by another length than the server's.
func TestInvalidFieldNames(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	for name, fields := range map[string]string{
		"a blank within":               "X y: 1\r\n" + length,
		"a blank before the colon":     "Content-Length : 2\r\n",
		"a blank in the encoding":      "Transfer-Encoding : chunked\r\n",
		"a tab before the colon":       "Content-Length\t: 2\r\n",
		"a blank before the name":      " X: 1\r\n" + length,
		"a control byte":               "X\x01y: 1\r\n" + length,
		"a zero byte":                  "X\x00: 1\r\n" + length,
		"a delete byte":                "X\x7f: 1\r\n" + length,
		"a byte beyond ASCII":          "X\xe9: 1\r\n" + length,
		"a separator":                  "X(y): 1\r\n" + length,
		"no name":                      ": 1\r\n" + length,
		"no colon":                     "X\r\n" + length,
		"a carriage return within":     "X\ry: 1\r\n" + length,
		"a blank, after other fields":  length + "X: 1\r\nY z: 1\r\n",
		"a blank in an interim answer": "\r\nHTTP/1.1 200 OK\r\nX y: 1\r\nId: x\r\n" + length,
	} {
		t.Run(name, func(t *testing.T) {
			status := "200 OK"
			if strings.HasPrefix(fields, "\r\n") {
				status = "103 Early Hints"
			}
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) != "" {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: x\r\n"+fields+"\r\nok")
				}
			})
			a, err := do(t, newPool(t), addr, request("x"))
			if err == nil {
				t.Fatalf("got the header %v and the body %q, want an error", a.Header, a.Body)
			}
			assertSent(t, err, true)
		})
	}
}

// Guards against bytes that are taken for an answer although HTTP/1.1 does not allow them (MIXED), and
// against another request on their connection.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range malformed.Answers("Id: x") {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				for readRequest(r) != "" {
					runs.Add(1)
					_, _ = io.WriteString(c, answer)
				}
			})
			p := newPool(t)
			for i := range 3 {
				a, err := do(t, p, addr, request("x"))
				if err == nil {
					t.Fatalf("got status %d, header %v and body %q, want an error", a.Status, a.Header, a.Body)
				}
				assertSent(t, err, true)
				if n := p.Dials(); n != uint64(i+1) || runs.Load() != int64(i+1) {
					t.Fatalf("%d connections and %d requests, want %d", n, runs.Load(), i+1)
				}
			}
		})
	}
}

// Guards against a request that gets the bytes after an earlier answer: the answer is valid, and its
// connection is not used again.
func TestInvalidBytesAfterAnswer(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%snothing of use\r\n", id, len(id), id)
		}
	})
	p := newPool(t)
	for i := range 50 {
		a, err := do(t, p, addr, request(fmt.Sprint(i)))
		assertBody(t, a, err, fmt.Sprint(i))
	}
}

// Guards against a request that reaches a server long after its caller has left (GONE): an
// orderly close delivers what was written before.
func TestGivenUpRequestIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		opts []http1.Option
		want error
	}{
		"with a reset":    {[]http1.Option{http1.WithReset()}, syscall.ECONNRESET},
		"without a reset": {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			running, ended := make(chan struct{}), make(chan error, 1)
			addr := serve(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				close(running)
				_, err := r.ReadByte()
				ended <- err
			})
			p := http1.New(c.opts...)
			t.Cleanup(p.Close)
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error {
				_, err := p.Do(ctx, addr, request("given up"))
				return err
			})
			<-running
			cancel()
			assertSent(t, group.Wait(), true)
			if err := <-ended; !errors.Is(err, c.want) {
				t.Fatalf("the server got %v, want %v", err, c.want)
			}
		})
	}
}
