// Package httpclient is an HTTP client on top of go-zero's httpc. It sends each
// request at most once, follows no redirects and requests no compressed responses on
// its own.
package httpclient

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lavenderdeal/internal/gozero"
)

const (
	dialTimeout     = 1 * time.Second
	keepAlivePeriod = 15 * time.Second
	idleTimeout     = 90 * time.Second
	bufferSize      = 16 << 10
	// maxHeader bounds the header of an answer, with the interim answers before it, in
	// bytes.
	maxHeader = 64 << 10
)

// Client sends requests over a connection pool of its own. It is safe for concurrent
// use.
type Client struct {
	service   httpc.Service
	transport *http.Transport
}

// Option configures a [Client]; see [New].
type Option func(*http.Transport)

// WithMaxConnections limits the connections to each server, in use and idle, to n.
func WithMaxConnections(n int) Option {
	return func(t *http.Transport) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// Dialer opens connections, like net.Dialer.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDialer replaces the default dialer, which has a timeout of 1 s.
func WithDialer(d Dialer) Option {
	return func(t *http.Transport) { t.DialContext = d.DialContext }
}

// New returns a client. The name identifies it in go-zero's breakers and metrics.
func New(name string, opts ...Option) *Client {
	gozero.Setup()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 64,
		ReadBufferSize:      bufferSize,

		MaxResponseHeaderBytes: maxHeader,
		WriteBufferSize:        bufferSize,
	}
	for _, opt := range opts {
		opt(transport)
	}
	wrapConns(transport)
	client := &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	// httpc's breaker rejects requests at random; the project has its own admission
	// control.
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, client), transport: transport}
}

// Do sends the request at most once: [DisableRetry] prevents net/http's retry
// when a reused connection breaks. [MayHaveSent] reports
// for the returned error whether a byte of the request may have been sent. The caller
// closes the body of the response.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	trace := sendTrace{method: r.Method}
	resp, err := c.service.DoRequest(DisableRetry(r.WithContext(trace.withTrace(r.Context()))))
	if err != nil {
		return nil, &SendError{MayHaveSent: trace.isSent(), cause: err}
	}
	if trace.isUnsolicited() {
		trace.closeConn()
		resp.Body.Close()
		return nil, &SendError{MayHaveSent: true, cause: errUnsolicited}
	}
	return resp, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// DisableRetry changes r so that net/http's transport never sends it twice, and
// returns it.
//
// The transport retries a request without a body when its method is idempotent
// or when it has an Idempotency-Key or X-Idempotency-Key header. To prevent a retry
// because of the method, DisableRetry sets a body that the transport does not
// recognize as empty. To prevent one because of the header, it stores the header
// under a lower-case key, which the transport does not look up; header names on the
// wire are case-insensitive.
func DisableRetry(r *http.Request) *http.Request {
	r.GetBody = nil
	hideHeader(r, "Idempotency-Key", "idempotency-key")
	hideHeader(r, "X-Idempotency-Key", "x-idempotency-key")
	if r.Body == nil || r.Body == http.NoBody {
		switch r.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
			r.Body = emptyBody{}
			r.ContentLength = 0
		}
	}
	return r
}

// NewRequest returns a request whose body can be read only once: it has no
// GetBody, so the transport can't replay it.
func NewRequest(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	return r, nil
}

// hideHeader moves the values of a header to the key hidden, in a copy of the headers, which
// others may still use.
func hideHeader(r *http.Request, name, hidden string) {
	values, ok := r.Header[name]
	if !ok {
		return
	}
	r.Header = maps.Clone(r.Header)
	delete(r.Header, name)
	r.Header[hidden] = values
}

// emptyBody is an empty body that the transport does not recognize as empty
// until it reads from it.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }
