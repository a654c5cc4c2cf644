package http1_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http/httpguts"

	"lavenderdeal/internal/httpcheck"
	"lavenderdeal/internal/standin/malformed"
	"lavenderdeal/io/http1"
)

// FuzzAnswer checks that the pool returns an answer only if all bytes up to its end are valid.
func FuzzAnswer(f *testing.F) {
	var answer atomic.Pointer[[]byte]
	addr := serve(f, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) != "" {
			_, _ = c.Write(*answer.Load())
		}
	})
	p := newPool(f)
	for _, text := range malformed.Answers("Id: x") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, text []byte) {
		answer.Store(&text)
		got, err := do(t, p, addr, &http1.Request{Method: http.MethodPost, URI: "/", Host: "depot", Header: http.Header{"Id": {"x"}}})
		if err != nil {
			return
		}
		if got.Status < 200 || got.Status > 599 {
			t.Fatalf("status %d is an answer", got.Status)
		}
		for name, values := range got.Header {
			for _, v := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
					t.Fatalf("field %q: %q is part of an answer", name, v)
				}
			}
		}
		var c httpcheck.Checker
		c.Expect(http.MethodPost)
		for n := range text {
			if _, err := c.Check(text[n : n+1]); err != nil {
				t.Fatalf("an answer with the status %d and %d bytes is no whole answer: %v", got.Status, len(got.Body), err)
			}
			if c.IsBetween() {
				return
			}
		}
	})
}
