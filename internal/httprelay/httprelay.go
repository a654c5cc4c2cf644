// Package httprelay copies HTTP headers and responses from one connection to
// another. A response that cannot be copied completely aborts the connection.
package httprelay

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// bufferSize is the size of a copy buffer in bytes.
	bufferSize = 32 << 10
	// maxBuffered is the maximum length in bytes of a response without a declared
	// length to an HTTP/1.0 client.
	maxBuffered = 1 << 20
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// hopByHopHeaders are the headers that apply to a single connection and are not
// copied to the next one.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers of one message to another. It replaces
// headers of the same name and removes the hop-by-hop headers.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name][:0:0], values...)
	}
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}

// CopyRequestHeader copies the end-to-end headers of a request to the next hop and
// prevents net/http from adding its own User-Agent.
func CopyRequestHeader(to, from http.Header) {
	CopyHeader(to, from)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = []string{""}
	}
}

// RequestBody returns the body of a request that is sent on, which is the body of r or a copy of it. It
// ends after the length that r declares without a further read: net/http closes the body of r as soon as
// the response is written, and a read after that would fail the request although all of it was sent.
func RequestBody(r *http.Request, body io.Reader) io.Reader {
	if r.ContentLength <= 0 {
		return body
	}
	return io.LimitReader(body, r.ContentLength)
}

// CopyResponse copies a response to w. If the body cannot be copied completely, it
// panics with http.ErrAbortHandler, which aborts the connection, so that the client
// never takes a truncated response for a complete one. The caller closes the body.
func CopyResponse(w http.ResponseWriter, answer *http.Response) {
	CopyHeader(w.Header(), answer.Header)
	if _, ok := w.Header()["Content-Type"]; !ok {
		// Prevents net/http from detecting a content type.
		w.Header()["Content-Type"] = nil
	}
	declared := make([]string, 0, len(answer.Trailer))
	for name := range answer.Trailer {
		w.Header().Add("Trailer", name)
		declared = append(declared, name)
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.Body, answer.ContentLength < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Trailer {
		if !slices.Contains(declared, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}

// CopyResponseTo is like [CopyResponse] for a client that may use HTTP/1.0. Such a
// client detects the end of a response without a length only by the end of the
// connection and would take a truncated response for a complete one. Therefore the
// body is buffered to determine its length. If it is longer than 1 MiB, the
// connection is aborted.
func CopyResponseTo(w http.ResponseWriter, r *http.Request, answer *http.Response) {
	if r.ProtoAtLeast(1, 1) || answer.ContentLength >= 0 || r.Method == http.MethodHead {
		CopyResponse(w, answer)
		return
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil || len(body) > maxBuffered {
		panic(http.ErrAbortHandler)
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.ContentLength = int64(len(body))
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	answer.Trailer = nil
	CopyResponse(w, answer)
}

// IsFramed returns true if the end of the answer can be distinguished from a broken
// connection.
func IsFramed(method string, answer *http.Response) bool {
	switch {
	case method == http.MethodHead, answer.ContentLength >= 0, len(answer.TransferEncoding) > 0:
		return true
	case answer.StatusCode == http.StatusNoContent, answer.StatusCode == http.StatusNotModified:
		return true
	}
	return false
}

// copyBody copies a body to w, and flushes w after each read if flush is set.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
			if flush {
				if err := controller.Flush(); err != nil {
					return err
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
