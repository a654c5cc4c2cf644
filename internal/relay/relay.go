// Package relay copies requests and answers from one HTTP connection to
// another, whole or visibly broken.
package relay

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
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

// Answer sends an answer on. When the answer breaks off in the middle, it
// breaks the connection to the receiver by the panic http.ErrAbortHandler, so
// that a short answer never looks whole. The caller closes the body.
func Answer(w http.ResponseWriter, answer *http.Response) {
	CopyHeader(w.Header(), answer.Header)
	for name := range answer.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.Body, answer.ContentLength < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Trailer {
		w.Header()[name] = values
	}
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
