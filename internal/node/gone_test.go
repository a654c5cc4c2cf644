package node

import (
	"strconv"
	"strings"
	"testing"

	"lavenderdeal/internal/standin/testserver"
)

// Guards against work for callers that had left before their call was read: a busy node reads
// the call and the end of its connection together, and must not send it on.
func TestCallerLeftBeforeRead(t *testing.T) {
	t.Parallel()
	const calls = 20
	server := startRawServer(t)
	server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	near, far := startRawFleet(t, server.addr())
	body := strings.Repeat("x", 8<<10)
	for name, call := range map[string]string{
		"no body":            "GET /" + rawHead + "\r\n",
		"a body":             "POST /" + rawHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"an idempotency key": "POST /" + rawHead + "Idempotency-Key: KEY\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, n := range []*Node{near, far} {
				reached := int64(0)
				for i := range calls {
					// This leaves idle connections to the other node and to the server.
					if answer := exchange(t, n.Addresses().Caller, "GET /"+rawHead+"\r\n"); !strings.HasSuffix(answer, "ok") {
						t.Fatalf("got %q, want the server's answer", answer)
					}
					before, refused := server.runs.Load(), n.metrics.Counter("callsRefused")
					testserver.SendAndLeave(t, n.Addresses().Caller, strings.Replace(call, "KEY", name+strconv.Itoa(i), 1))
					waitFor(t, "the call has ended", func() bool { return n.metrics.Counter("callsRefused") > refused || server.runs.Load() > before })
					reached += server.runs.Load() - before
				}
				if reached != 0 {
					t.Errorf("%d of %d calls whose callers had left reached the server", reached, calls)
				}
			}
		})
	}
}
