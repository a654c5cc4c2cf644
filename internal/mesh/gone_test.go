package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/hop"
)

// requestOf formats a request. The body is sent in chunks if chunked is set.
func requestOf(method, uri string, h http.Header, body string, chunked bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: depot.example\r\n", method, uri)
	for name, values := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	switch {
	case chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case body != "":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		b.WriteString("\r\n")
	}
	return b.String()
}

// sendersLeft returns the number of requests whose sender has left, at all nodes.
func sendersLeft(t *testing.T, f *fleet) int {
	t.Helper()
	total := 0
	for _, m := range f.nodes {
		for _, stage := range []string{"unnoticed", "waiting", "sent"} {
			if text, ok := findMetric(t, m.cfg.Listen.Metrics, fmt.Sprintf("senders_left_total{stage=%q}", stage)); ok {
				n, err := strconv.Atoi(text)
				if err != nil {
					t.Fatal(err)
				}
				total += n
			}
		}
	}
	return total
}

// Guards against work for callers that had left before their request was read (GONE): a busy
// node reads the request and the end of its connection together, and must not send it on.
func TestCallerLeftBeforeRead(t *testing.T) {
	const requests = 20
	body := strings.Repeat("x", 8<<10)
	f, near, far := newPair(t)
	caller := func(id string) http.Header { return http.Header{"Request-Id": {id}, "Deadline-Ms": {"900"}} }
	forwarded := func(id string) http.Header {
		h := caller(id)
		hop.WriteCall(h, hop.Call{Origin: "bookings", Instance: far.server.ID, Class: "stock", Target: time.Second, TimeLeft: time.Second})
		return h
	}
	for _, c := range []struct {
		name         string
		to           netip.AddrPort
		method, path string
		header       func(id string) http.Header
		body         string
		chunked      bool
	}{
		{"own server", far.cfg.Listen.Caller, http.MethodGet, "/stock/", caller, "", false},
		{"server of another node", near.cfg.Listen.Caller, http.MethodGet, "/stock/", caller, "", false},
		{"body with a length", near.cfg.Listen.Caller, http.MethodPost, "/stock/", caller, body, false},
		{"body in chunks", near.cfg.Listen.Caller, http.MethodPost, "/stock/", caller, body, true},
		{"forwarded", far.cfg.Listen.Call, http.MethodGet, "/stock/", forwarded, "", false},
		{"forwarded with a body", far.cfg.Listen.Call, http.MethodPost, "/stock/", forwarded, body, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range requests {
				// This leaves idle connections to the other node and to the server, over which
				// a request can be sent at once.
				a, err := f.call(near, http.MethodGet, "/stock/1", "")
				assertStatus(t, a, err, http.StatusOK)
				before := sendersLeft(t, f)
				id := fmt.Sprintf("%s %d", c.name, i)
				testserver.SendAndLeave(t, c.to, requestOf(c.method, c.path, c.header(id), c.body, c.chunked))
				f.eventually("a node has noticed that the sender has left", func() bool { return sendersLeft(t, f) > before })
			}
			for _, m := range f.nodes {
				assertIdle(f, m)
			}
			reached := 0
			for _, run := range far.server.Runs() {
				if strings.HasPrefix(run.ID, c.name+" ") {
					reached++
				}
			}
			if reached != 0 {
				t.Fatalf("%d of %d requests whose callers had left reached a server", reached, requests)
			}
		})
	}
}

// open sends a request over a new connection, which is closed at the end of the test at the
// latest.
func open(t *testing.T, to netip.AddrPort, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a server that works on for a caller that leaves while its request runs or
// waits (GONE), with bodies of each framing, through one node and through two.
func TestCallerLeavesInEachState(t *testing.T) {
	const limit = 300 * time.Millisecond
	f, _, far := newPair(t)
	running, ended := make(chan string, 10), make(chan string, 10)
	far.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		running <- r.Header.Get("Request-Id")
		<-r.Context().Done()
		ended <- r.Header.Get("Request-Id")
		panic(http.ErrAbortHandler)
	})
	await := func(t *testing.T, what string, from chan string, id string) {
		t.Helper()
		select {
		case got := <-from:
			if got != id {
				t.Fatalf("%s: got %s, want %s", what, got, id)
			}
		case <-time.After(limit):
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
	header := func(id string) http.Header { return http.Header{"Request-Id": {id}, "Deadline-Ms": {"900"}} }
	for name, c := range map[string]struct {
		method, body string
		chunked      bool
	}{
		"no body":            {http.MethodGet, "", false},
		"a short body":       {http.MethodPost, "short", false},
		"a body in chunks":   {http.MethodPost, strings.Repeat("x", 8<<10), true},
		"a long body":        {http.MethodPost, strings.Repeat("x", uploadBytes), false},
		"a long one, chunks": {http.MethodPost, strings.Repeat("x", uploadBytes), true},
	} {
		t.Run("running, "+name, func(t *testing.T) {
			for i, m := range f.nodes {
				id := fmt.Sprintf("%s %d", name, i)
				conn := open(t, m.cfg.Listen.Caller, requestOf(c.method, "/stock/1", header(id), c.body, c.chunked))
				await(t, "the server runs the request", running, id)
				_ = conn.Close()
				await(t, "the server's work has ended", ended, id)
			}
		})
	}
	t.Run("waiting", func(t *testing.T) {
		for i, m := range f.nodes {
			conns := make([]net.Conn, 0, far.server.Slots)
			for n := range far.server.Slots {
				id := fmt.Sprintf("slot %d of %d", n, i)
				conns = append(conns, open(t, m.cfg.Listen.Caller, requestOf(http.MethodGet, "/stock/1", header(id), "", false)))
				await(t, "the server runs the request", running, id)
			}
			waiting := open(t, m.cfg.Listen.Caller, requestOf(http.MethodGet, "/stock/1", header("waiting"), "", false))
			f.eventually("the request waits", func() bool { return metric(t, far.cfg.Listen.Metrics, "server_queued") == "1" })
			_ = waiting.Close()
			f.eventually("the request waits no more", func() bool { return metric(t, far.cfg.Listen.Metrics, "server_queued") == "0" })
			for _, conn := range conns {
				_ = conn.Close()
				<-ended
			}
		}
		assertRuns(t, far.server, "waiting", 0)
	})
}

// Guards against calls that a server makes for a request whose caller has left (GONE): it has
// not noticed the end of its connection, and its node would run them like any others.
func TestCallForCallerThatLeft(t *testing.T) {
	f, near, far := newPair(t)
	running, release := make(chan struct{}), make(chan struct{})
	far.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Request-Id") != "parent" {
			return false
		}
		close(running)
		<-release
		return false
	})
	defer close(release)
	call := func(id string) (answer, error) {
		return f.callWith(context.Background(), far, http.MethodPost, "/booking/1", "", http.Header{"Request-Id": {id}})
	}
	conn := open(t, near.cfg.Listen.Caller, requestOf(http.MethodGet, "/stock/1", http.Header{"Request-Id": {"parent"}, "Deadline-Ms": {"900"}}, "", false))
	<-running
	a, err := call("parent.first")
	assertStatus(t, a, err, http.StatusOK)
	_ = conn.Close()
	f.eventually("the server's node has noticed that the sender has left", func() bool { return sendersLeft(t, f) == 2 })
	a, err = call("parent.second")
	assertRefusal(t, a, err)
	assertRuns(t, near.server, "parent.second", 0)
	a, err = call("other.call")
	assertStatus(t, a, err, http.StatusOK)
}

// Guards against calls that go on after their request was given up (GONE): they were let in
// before, and a server that does not notice the end of its connection keeps theirs open.
func TestCallsEndWithParent(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, c := range []struct {
		name string
		// slots is the number of requests that the server of the calls runs at once.
		slots int
	}{
		{"a call runs", 4},
		{"a call waits for a slot", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			near, far := f.add("a", "bookings", c.slots), f.add("b", "availability", 4)
			near.sendHeartbeat(t, "ready")
			far.sendHeartbeat(t, "ready")
			f.waitServed(near, "/stock/1")
			f.waitServed(far, "/booking/1")
			parentRuns, release := make(chan struct{}), make(chan struct{})
			far.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Request-Id") == "parent" {
					close(parentRuns)
					<-release
				}
				return false
			})
			running, ended := make(chan string, 10), make(chan string, 10)
			near.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
				running <- r.Header.Get("Request-Id")
				<-r.Context().Done()
				ended <- r.Header.Get("Request-Id")
				panic(http.ErrAbortHandler)
			})
			defer close(release)
			if c.slots == 1 {
				open(t, near.cfg.Listen.Caller, requestOf(http.MethodPost, "/booking/1", http.Header{"Request-Id": {"other"}, "Deadline-Ms": {"5000"}}, "", false))
				<-running
			}
			parent := open(t, near.cfg.Listen.Caller, requestOf(http.MethodGet, "/stock/1", http.Header{"Request-Id": {"parent"}, "Deadline-Ms": {"5000"}}, "", false))
			<-parentRuns
			open(t, far.cfg.Listen.Caller, requestOf(http.MethodPost, "/booking/1", http.Header{"Request-Id": {"parent.call"}, "Deadline-Ms": {"5000"}}, "", false))
			if c.slots > 1 {
				<-running
			} else {
				f.eventually("the call waits", func() bool { return metric(t, near.cfg.Listen.Metrics, "server_queued") == "1" })
			}
			_ = parent.Close()
			left := time.Now()
			if c.slots > 1 {
				select {
				case <-ended:
				case <-time.After(limit):
					t.Fatalf("the call runs on %s after its request was given up", limit)
				}
				return
			}
			f.eventually("the call waits no more", func() bool { return metric(t, near.cfg.Listen.Metrics, "server_queued") == "0" })
			if took := time.Since(left); took > limit {
				t.Fatalf("the call waited for %s after its request was given up, want at most %s", took, limit)
			}
		})
	}
}
