// Package relay copies requests and answers from one HTTP connection to
// another, whole or visibly broken.
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
	bufferSize = 32 << 10
	// maxBuffered is the longest answer without a length for HTTP/1.0.
	maxBuffered = 1 << 20
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers of one message to another.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name][:0:0], values...)
	}
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// CopyRequestHeader copies the end-to-end headers of a request to the next hop
// and keeps the client from adding its own.
func CopyRequestHeader(to, from http.Header) {
	CopyHeader(to, from)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = []string{""}
	}
}

// CopyResponse sends an answer on. When the answer breaks off in the middle, it
// breaks the connection to the receiver by the panic http.ErrAbortHandler, so
// that a short answer never looks whole. The caller closes the body.
func CopyResponse(w http.ResponseWriter, answer *http.Response) {
	CopyHeader(w.Header(), answer.Header)
	if _, ok := w.Header()["Content-Type"]; !ok {
		// Keeps the server from guessing one.
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

// CopyResponseTo is like [CopyResponse] for a receiver that may speak HTTP/1.0. Such a
// receiver sees the end of an answer without a length by the end of the
// connection only, so a short one would look whole; the length is found out
// first, and an answer that is too long for that breaks the connection.
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
