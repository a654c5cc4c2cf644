package mesh_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against an answer that a server has cut off in its head or body and that reaches
// the caller framed as a whole one. The requests pass one node and two.
func TestAnswerHeadCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 12\r\n"
	f, near, far := newPair(t)
	cut := func(bytes int, reset bool) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, r *http.Request) bool {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return false
			}
			whole := fmt.Sprintf(head, r.Header.Get("Request-Id")) + "\r\nwhole answer"
			_, _ = io.WriteString(conn, whole[:len(whole)-bytes])
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			return true
		}
	}
	defer near.server.SetAnswer(nil)
	for bytes := 1; bytes <= 90; bytes += 3 {
		for _, reset := range []bool{false, true} {
			near.server.SetAnswer(cut(bytes, reset))
			for _, at := range []*member{near, far} {
				a, err := f.call(at, http.MethodPost, "/booking/1", "")
				if err != nil || a.status != http.StatusBadGateway || a.signed {
					t.Fatalf("an answer without its last %d bytes, reset %v: got %+v, error %v, want an unsigned 502", bytes, reset, a, err)
				}
			}
		}
	}
}
