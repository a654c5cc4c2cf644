package local_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"lavenderdeal/core/heartbeats"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
)

// startScript starts a server that answers the n-th request of a connection, with its id,
// by what answer returns.
func startScript(t *testing.T, answer func(n int, id string) string) netip.AddrPort {
	return testserver.Accept(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for n := 1; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(n, r.Header.Get("Request-Id"))); err != nil {
				return
			}
		}
	})
}

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func success(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
}

// Guards against callers that are told that a request has not run because the server has
// written an earlier refusal once more on the same connection.
func TestRepeatedRefusal(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(n int, id string) string
		want   hop.Verdict
	}{
		{"before the answer", func(_ int, id string) string { return refusal("r-1") + success(id) }, hop.Ran},
		{"in place of the answer", func(int, string) string { return refusal("r-1") }, hop.Unknown},
		{"without an id", func(int, string) string { return refusal("") }, hop.Unknown},
		{"many times", func(int, string) string {
			return refusal("r-1") + refusal("r-1") + refusal("r-1") + refusal("r-1") + refusal("r-1")
		}, hop.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := startScript(t, func(n int, id string) string {
				if n == 1 {
					return refusal(id)
				}
				return test.answer(n, id)
			})
			pool := http1.New()
			t.Cleanup(pool.Close)
			s := local.New(heartbeats.New("bookings", addr, drain), pool, jsonlog.New(io.Discard, "n1"), &crashes.Monitor{}, func(local.State) {})
			if err := s.Heartbeat(heartbeats.Message{ID: "i-1", Service: "bookings", Address: addr, Slots: 1, Sequence: 1, Started: time.Now()}); err != nil {
				t.Fatal(err)
			}
			send := func(n int) hop.Result {
				const timeLeft = 300 * time.Millisecond
				r := &http1.Request{Method: http.MethodPost, URI: "/", Host: "depot", AtMostOnce: true, Header: http.Header{"Request-Id": {fmt.Sprintf("r-%d", n)}}}
				result, _ := s.Run(context.Background(), hop.Call{Instance: "i-1", AtMostOnce: true, Target: timeLeft, TimeLeft: timeLeft}, r)
				return result
			}
			if got := send(1); got.Verdict != hop.NotRun || got.Rule != local.RuleServerFull {
				t.Fatalf("first request: %+v, want a refusal", got)
			}
			if got := send(2); got.Verdict != test.want {
				t.Fatalf("second request: %+v, want the verdict %c", got, test.want)
			}
		})
	}
}
