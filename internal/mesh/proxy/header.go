package proxy

import (
	"net/http"
	"strings"

	"lavenderdeal/internal/sender"
	"lavenderdeal/io/hop"
)

// forwardedHeader returns a copy of a header without its hop-by-hop fields and the
// fields that are reserved for nodes.
func forwardedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !isConnectionHeader(name) {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	hop.StripHeaders(to)
	return to
}

// cloneHeader returns a copy of a header to which fields can be added. It shares the
// values.
func cloneHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+1)
	for name, values := range from {
		to[name] = values
	}
	return to
}

// isConnectionHeader reports whether a header field is hop-by-hop or is set anew on
// each connection.
func isConnectionHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}

// requestHeadBytes returns the size in bytes of a request's head on the wire, or less: the
// request line is counted without separators.
func requestHeadBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	if sent := sender.Of(r.Context()).HeadBytes(); sent > 0 {
		// Lines may have fewer separators.
		return min(n, sent)
	}
	return n
}
