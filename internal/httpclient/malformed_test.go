package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lavenderdeal/internal/standin/malformed"
)

// Guards against bytes that are taken for an answer although HTTP/1.1 does not allow them (MIXED). All
// clients of servers, nodes, the store, the platform and the operator's port use this one.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range malformed.Answers("X: y") {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if body, err := do(ctx, newClient(t), url); err == nil || ctx.Err() != nil {
				t.Fatalf("got the body %q, error %v, want an error at once", body, err)
			}
		})
	}
}

// Guards against an answer without a length that is taken as whole although its connection was reset
// (MIXED): the write of a long body may get the error of the reset.
func TestResetDuringUpload(t *testing.T) {
	const requests, uploadBytes = 60, 8 << 20
	url := serve(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	c := newClient(t)
	taken := 0
	for range requests {
		r, err := http.NewRequest(http.MethodPost, url, &zeros{left: uploadBytes})
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = uploadBytes
		resp, err := c.Do(r)
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			taken++
		}
		_ = resp.Body.Close()
	}
	if taken != 0 {
		t.Fatalf("%d of %d answers that were cut off were taken as whole", taken, requests)
	}
}

// zeros is a body of zero bytes.
type zeros struct{ left int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	z.left -= n
	return n, nil
}
