package mesh_test

import (
	"fmt"
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
