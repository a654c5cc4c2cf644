// Package httpclient calls HTTP servers through go-zero's httpc, with a
// transport that sends each request at most once and changes nothing in it.
package httpclient

import (
	"context"
	"io"
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
)

// Client sends requests to servers of one kind.
type Client struct {
	service   httpc.Service
	transport *http.Transport
}

// Option changes a client while it is built.
type Option func(*http.Transport)

// WithMaxConnections limits the connections to each server, in use and idle.
func WithMaxConnections(n int) Option {
	return func(t *http.Transport) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// Dialer opens connections, as net.Dialer does.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDialer sets how connections are opened.
func WithDialer(d Dialer) Option {
	return func(t *http.Transport) { t.DialContext = d.DialContext }
}

// New returns a client. The name separates it from others in go-zero's tables.
func New(name string, opts ...Option) *Client {
	gozero.Setup()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 64,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
	for _, opt := range opts {
		opt(transport)
	}
	countDials(transport)
	client := &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	// The breaker of httpc refuses by chance; admission is the project's own.
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, client), transport: transport}
}

// Do sends the request once. The transport would send some requests again by
// itself when a reused connection breaks; [Once] makes that impossible. The
// error says whether a byte may have left; see [MayHaveSent].
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var trace sendTrace
	answer, err := c.service.DoRequest(Once(r.WithContext(trace.follow(r.Context()))))
	if err != nil {
		return nil, &SendError{Sent: trace.isSent(), cause: err}
	}
	if trace.isCrossed() {
		trace.closeConn()
		answer.Body.Close()
		return nil, &SendError{Sent: true, cause: errCrossed}
	}
	return answer, nil
}

// Close ends the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Once changes the request so that net/http's transport never sends it twice.
//
// The transport repeats a request without a body when its method is idempotent
// or when it carries an Idempotency-Key header. A body that is not known to be
// empty rules out the first. The second is ruled out by keeping the header
// under a key that the transport does not look for; on the wire header names
// have no case.
func Once(r *http.Request) *http.Request {
	r.GetBody = nil
	hideHeader(r.Header, "Idempotency-Key", "idempotency-key")
	hideHeader(r.Header, "X-Idempotency-Key", "x-idempotency-key")
	if r.Body == nil || r.Body == http.NoBody {
		switch r.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
			r.Body = emptyBody{}
			r.ContentLength = 0
		}
	}
	return r
}

// NewRequest returns a request with a body that can be read once only.
func NewRequest(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	return r, nil
}

func hideHeader(h http.Header, name, hidden string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[hidden] = values
	}
}

// emptyBody is a body that the transport does not recognize as empty before it
// has read from it.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }
