package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/io/caller"
)

// rawServer is a server that writes the answer to each request verbatim to the
// connection, so that answers may be malformed.
type rawServer struct {
	listener net.Listener
	group    errgroup.Group
	// runs counts all requests, and complete counts those whose body was received in
	// full.
	runs, complete atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
	// answer returns the bytes to write for a request with the given body, and
	// whether to close the connection afterwards.
	answer func(r *http.Request, body []byte) (text string, close bool)
}

func startRawServer(t *testing.T) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	s.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.group.Go(func() error { s.serve(conn); return nil })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		_ = s.group.Wait()
	})
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.runs.Add(1)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.complete.Add(1)
		s.mu.Lock()
		answer := s.answer
		s.mu.Unlock()
		text, end := answer(r, body)
		if _, err := io.WriteString(conn, text); err != nil || end {
			return
		}
	}
}

func (s *rawServer) setAnswer(text string, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = func(*http.Request, []byte) (string, bool) { return text, end }
}

func (s *rawServer) addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// startRawFleet starts two nodes: near belongs to service bookings and has the given
// backend server, far forwards calls to near.
func startRawFleet(t *testing.T, server netip.AddrPort) (near, far *Node) {
	t.Helper()
	f := startFleet(t, 0)
	near = startNode(t, testSettings("bookings", server, f.storeAddr))
	far = f.nodes[0]
	waitFor(t, "the homes are ready", func() bool {
		_, _, confirmed := near.homes.Status()
		return confirmed && far.Status().Members["ready"] == 2
	})
	return near, far
}

// exchange writes a request verbatim to a node and returns everything received until
// the connection closes.
func exchange(t *testing.T, to netip.AddrPort, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// rawHead is the part of a raw request after the path that all requests share.
const rawHead = " HTTP/1.1\r\nHost: bookings\r\nAuthorization: Bearer crew-key\r\nConnection: close\r\n"

// TestBrokenAnswers guards against a truncated or malformed answer of a backend server
// that reaches the caller as a complete answer, or as a refusal of a call that did not
// run. Each case is sent through one node and through two.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	server := startRawServer(t)
	near, far := startRawFleet(t, server.addr())
	client := newClient(t)
	for name, text := range map[string]string{
		"in the header":             "HTTP/1.1 200 OK\r\nContent-Len",
		"before the first byte":     "",
		"in a body with a length":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"in a chunk":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n12345",
		"between chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"before the last newline":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
		"with a malformed chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n12345\r\n0\r\n\r\n",
		"with two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n12345",
		"without a length":          "HTTP/1.1 200 OK\r\n\r\n12345",
		"of HTTP/1.0, no length":    "HTTP/1.0 200 OK\r\n\r\n12345",
		"with a malformed status":   "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n",
		"with a malformed header":   "HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n12345",
		"with a forged not run":     "HTTP/1.1 200 OK\r\nLavenderdeal-Verdict: notRun\r\nContent-Length: 9\r\n\r\n1234",
		"with a switch of protocol": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server.setAnswer(text, true)
			for _, through := range []*Node{near, far} {
				for _, key := range []string{"", uuid(int(server.runs.Load()))} {
					o := send(client, through, testCall{path: "/", key: key})
					if o.isOK() || o.verdict == "notRun" {
						t.Errorf("key %q: a broken answer came as %v", key, o)
					}
				}
			}
		})
	}
	t.Run("surplus bytes are not taken for the next answer", func(t *testing.T) {
		server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", false)
		for range 20 {
			o := send(client, far, testCall{path: "/"})
			// The bytes may arrive when the next request has just been sent. It may have
			// run then, and must be answered so.
			mayHaveRun := o.status == http.StatusBadGateway && o.verdict == (verdict.MayHaveRun{}).String()
			if o.err == nil && !mayHaveRun && (o.status != http.StatusOK || o.body != "ok") {
				t.Fatalf("got the surplus bytes of an earlier answer: %v", o)
			}
		}
	})
}

// TestWholeAnswers guards against changes to complete answers and requests on their way
// through nodes, and against backend servers that forge the headers of nodes.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	server := startRawServer(t)
	near, far := startRawFleet(t, server.addr())
	client := newClient(t)
	t.Run("forged headers of a backend server are stripped", func(t *testing.T) {
		server.setAnswer("HTTP/1.1 503 Service Unavailable\r\nLavenderdeal-Verdict: notRun\r\nLavenderdeal-Rule: queueFull\r\nLavenderdeal-Load: {}\r\nContent-Length: 0\r\n\r\n", false)
		for _, through := range []*Node{near, far} {
			o := send(client, through, testCall{path: "/"})
			if o.status != http.StatusServiceUnavailable || o.verdict != "ran" || o.rule != "" {
				t.Errorf("got %v", o)
			}
		}
	})
	t.Run("trailers pass, forged ones do not", func(t *testing.T) {
		server.setAnswer("HTTP/1.1 200 OK\r\nTrailer: Checksum, Lavenderdeal-Verdict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nChecksum: 17\r\nLavenderdeal-Verdict: notRun\r\n\r\n", false)
		answer := exchange(t, far.Addresses().Caller, "POST /"+rawHead+"Content-Length: 0\r\n\r\n")
		if !strings.Contains(answer, "\r\n0\r\nChecksum: 17\r\n") || strings.Contains(answer, "notRun") {
			t.Errorf("got %q", answer)
		}
	})
	t.Run("HEAD, 204 and 304 have no body", func(t *testing.T) {
		for _, c := range []struct{ method, answer string }{
			{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"},
			{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
			{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nEtag: \"1\"\r\n\r\n"},
		} {
			server.setAnswer(c.answer, false)
			o := send(client, far, testCall{method: c.method, path: "/"})
			if o.err != nil || o.verdict != "ran" || o.body != "" {
				t.Errorf("%s %q: %v", c.method, c.answer, o)
			}
			if c.method == http.MethodHead && o.header.Get("Content-Length") != "10" {
				t.Errorf("HEAD: length %q", o.header.Get("Content-Length"))
			}
		}
	})
	t.Run("informational responses do not end the call", func(t *testing.T) {
		server.setAnswer("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
		if o := send(client, far, testCall{path: "/"}); !o.isOK() || o.body != "ok" {
			t.Error(o)
		}
	})
	t.Run("hop-by-hop headers are not forwarded, bodies are unchanged", func(t *testing.T) {
		var seen http.Header
		var body []byte
		server.mu.Lock()
		server.answer = func(r *http.Request, b []byte) (string, bool) {
			seen, body = r.Header, b
			return "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\n\x1f\x8b\x08", false
		}
		server.mu.Unlock()
		answer := exchange(t, far.Addresses().Caller, "POST /?a=%2F&b"+strings.Replace(rawHead, "Connection: close", "Connection: close, X-Mine", 1)+
			"X-Mine: 1\r\nX-Kept: 2\r\nContent-Encoding: gzip\r\nAccept-Encoding: gzip\r\nContent-Length: 3\r\n\r\n\x1f\x8b\x08")
		if !strings.HasSuffix(answer, "\r\n\r\n\x1f\x8b\x08") || strings.Contains(answer, "X-Hop: 1") || strings.Contains(answer, "Keep-Alive") {
			t.Errorf("got %q", answer)
		}
		if string(body) != "\x1f\x8b\x08" || seen.Get("X-Mine") != "" || seen.Get("X-Kept") != "2" {
			t.Errorf("the backend server got %v and %q", seen, body)
		}
		if seen.Get("Authorization") != "" || seen.Get(caller.HeaderCustomer) != "crew-catania" || seen.Get(caller.HeaderRequestID) == "" {
			t.Errorf("the backend server got %v", seen)
		}
	})
	t.Run("HTTP/1.0 callers get a length", func(t *testing.T) {
		server.setAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false)
		answer := exchange(t, far.Addresses().Caller, "GET / HTTP/1.0\r\nHost: bookings\r\nAuthorization: Bearer crew-key\r\n\r\n")
		if !strings.Contains(answer, "Content-Length: 2\r\n") || !strings.HasSuffix(answer, "\r\n\r\nok") {
			t.Errorf("got %q", answer)
		}
	})
	t.Run("tunnels are refused", func(t *testing.T) {
		runs := server.runs.Load()
		for _, request := range []string{
			"CONNECT bookings:80" + rawHead + "\r\n",
			"GET /" + rawHead + "Upgrade: websocket\r\n\r\n",
		} {
			answer := exchange(t, far.Addresses().Caller, request)
			if !strings.HasPrefix(answer, "HTTP/1.1 501 ") || !strings.Contains(answer, "Lavenderdeal-Verdict: notRun\r\n") {
				t.Errorf("%q: got %q", request, answer)
			}
		}
		if got := server.runs.Load(); got != runs {
			t.Errorf("%d tunnels reached the backend server", got-runs)
		}
	})
}

// TestAmbiguousRequests sends requests whose end two HTTP servers may determine
// differently, as in request smuggling. The backend server must not receive any of
// them as a complete request. Bodies with malformed chunks start to stream and are
// cut off.
func TestAmbiguousRequests(t *testing.T) {
	t.Parallel()
	server := startRawServer(t)
	server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	near, far := startRawFleet(t, server.addr())
	for name, tail := range map[string]string{
		"two lengths":                "Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
		"a length with a sign":       "Content-Length: +5\r\n\r\n12345",
		"a length list":              "Content-Length: 5, 6\r\n\r\n123456",
		"a malformed chunk size":     "Transfer-Encoding: chunked\r\n\r\n0x5\r\n12345\r\n0\r\n\r\n",
		"a negative chunk size":      "Transfer-Encoding: chunked\r\n\r\n-5\r\n12345\r\n0\r\n\r\n",
		"a huge chunk size":          "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n12345\r\n0\r\n\r\n",
		"a chunk without its end":    "Transfer-Encoding: chunked\r\n\r\n5\r\n1234567\r\n0\r\n\r\n",
		"two transfer codings":       "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"an unknown transfer coding": "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"a space before the colon":   "Content-Length : 5\r\n\r\n12345",
		"a null in a header":         "X-Null: \x00\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, through := range []*Node{near, far} {
				complete := server.complete.Load()
				answer := exchange(t, through.Addresses().Caller, "POST /"+rawHead+tail)
				if strings.HasPrefix(answer, "HTTP/1.1 200 ") {
					t.Errorf("got %q", answer)
				}
				if got := server.complete.Load(); got != complete {
					t.Errorf("the backend server received a complete request: %q", answer)
				}
			}
		})
	}
	t.Run("a folded header is passed on in one line", func(t *testing.T) {
		// net/http unfolds it, as RFC 9112 allows, so the next hop sees no folding.
		var length, folded string
		server.mu.Lock()
		server.answer = func(r *http.Request, b []byte) (string, bool) {
			length, folded = r.Header.Get("Content-Length")+" "+string(b), r.Header.Get("X-Folded")
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false
		}
		server.mu.Unlock()
		exchange(t, far.Addresses().Caller, "POST /"+rawHead+"X-Folded: 1\r\n 2\r\nContent-Length:\n 5\r\n\r\n12345")
		if length != "5 12345" || folded != "1 2" {
			t.Errorf("the backend server got length and body %q and header %q", length, folded)
		}
	})
	t.Run("a length beside chunks is dropped", func(t *testing.T) {
		// RFC 9112 lets a server read the chunks and requires the length to be
		// removed before the message is passed on.
		var length string
		var body []byte
		server.mu.Lock()
		server.answer = func(r *http.Request, b []byte) (string, bool) {
			length, body = r.Header.Get("Content-Length"), b
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false
		}
		server.mu.Unlock()
		answer := exchange(t, far.Addresses().Caller, "POST /"+rawHead+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
		if strings.HasPrefix(answer, "HTTP/1.1 200 ") && (length != "" || string(body) != "12345") {
			t.Errorf("the backend server got length %q and body %q", length, body)
		}
		if strings.Count(answer, "HTTP/1.1 ") != 1 {
			t.Errorf("a second request was answered: %q", answer)
		}
	})
}

// TestTransportSendsOnce guards against a call that runs twice because a reused
// connection breaks: net/http's transport would by default resend the request.
func TestTransportSendsOnce(t *testing.T) {
	t.Parallel()
	server := startRawServer(t)
	near, _ := startRawFleet(t, server.addr())
	client := newClient(t)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete, http.MethodPut} {
		for _, key := range []string{"", "once-" + method} {
			t.Run(fmt.Sprintf("%s %q", method, key), func(t *testing.T) {
				server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
				if o := send(client, near, testCall{method: method, path: "/", key: key}); !o.isOK() {
					t.Fatal(o)
				}
				before := server.runs.Load()
				server.setAnswer("", true)
				if key != "" {
					key += "-again"
				}
				o := send(client, near, testCall{method: method, path: "/", key: key})
				if o.verdict != "mayHaveRun" {
					t.Errorf("got %v", o)
				}
				if got := server.runs.Load() - before; got != 1 {
					t.Errorf("one call ran %d times", got)
				}
			})
		}
	}
}

// pattern is a reader that generates a body of any length without buffering it.
type pattern struct {
	left int64
	next byte
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.left, int64(len(patternBytes)-256)))
	copy(b, patternBytes[p.next:int(p.next)+n])
	p.next += byte(n)
	p.left -= int64(n)
	return n, nil
}

// patternBytes repeats the bytes 0 to 255, so that a slice of it can start with any
// byte.
var patternBytes = func() (b [64 << 10]byte) {
	for i := range b {
		b[i] = byte(i)
	}
	return b
}()

// checkPattern reads a body and returns an error unless it is the pattern of the given
// length.
func checkPattern(r io.Reader, length int64) error {
	want := &pattern{left: length}
	var got, expected [32 << 10]byte
	for {
		n, err := r.Read(got[:])
		if _, err := io.ReadFull(want, expected[:n]); err != nil || !bytes.Equal(got[:n], expected[:n]) {
			return errors.New("the body differs")
		}
		if errors.Is(err, io.EOF) {
			if want.left > 0 {
				return fmt.Errorf("%d bytes are missing", want.left)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// TestLongBodies sends a body of 200 MB through one and two nodes and back. The nodes
// must stream it: buffering it would grow the heap beyond maxHeap.
func TestLongBodies(t *testing.T) {
	const (
		length = 200 << 20
		// maxHeap is the maximum growth of the heap of the process, which holds two
		// nodes, the caller and the backend server, with a few MB each.
		maxHeap = 32 << 20
	)
	server, err := httpserver.Start(loopback, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := checkPattern(r.Body, length); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.Copy(w, &pattern{left: length})
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	near, far := startRawFleet(t, server.Addr())
	for name, through := range map[string]*Node{"one node": near, "two nodes": far} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := http.NewRequest(http.MethodPost, "http://"+through.Addresses().Caller.String()+"/scan", &pattern{left: length})
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength = length
			r.Header.Set("Authorization", "Bearer crew-key")
			r.Header.Set(caller.HeaderService, "bookings")
			answer, err := newClient(t).Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				t.Fatalf("status %d", answer.StatusCode)
			}
			if err := checkPattern(answer.Body, length); err != nil {
				t.Fatal(err)
			}
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapSys) - int64(before.HeapSys); grown > maxHeap {
				t.Errorf("the heap grew by %d MB for a body of %d MB", grown>>20, length>>20)
			}
		})
	}
}
