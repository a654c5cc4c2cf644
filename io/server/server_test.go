package server_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/server"
	"lavenderdeal/schema/messages"
)

// endedBody is a body of zero bytes that must not be read after its end, as that of a request whose
// answer has begun.
type endedBody struct{ left int }

var errReadAfterEnd = errors.New("read after the end of the body")

func (b *endedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errReadAfterEnd
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against an answer that is cut off since the client reads the body of the request once more when
// all of it was sent, which fails after the answer has begun.
func TestBodyIsNotReadAfterItsEnd(t *testing.T) {
	const requests, length = 50, 64 << 10
	backend := testserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 10*length))
	}))
	client := server.New(backend.Addr(), 4)
	t.Cleanup(client.Close)
	failed := 0
	for range requests {
		r := httptest.NewRequest(http.MethodPost, "/scan", nil)
		r.ContentLength = length
		answer, err := client.Do(context.Background(), messages.Call{Id: "x"}, r, &endedBody{left: length}, "")
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if err != nil {
			failed++
		}
	}
	if failed != 0 {
		t.Fatalf("%d of %d calls failed", failed, requests)
	}
}
