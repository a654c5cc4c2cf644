// Package store is a client of the object store of the users' platform, for the nodes of
// lavenderdeal/internal/mesh. Its errors state whether the call may have had an effect.
// The paths and bodies of its calls are encoded by lavenderdeal/platform.
//
//	client := store.New(addr)
//	body, err := client.Get(ctx, path, time.Second)
//	switch {
//	case errors.Is(err, store.ErrUnavailable): // the call had no effect
//	case errors.Is(err, store.ErrOutcomeUnknown): // a write may still take effect
//	}
package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpclient"
)

const (
	// maxBody bounds an answer, in bytes. A page of a list has about 1 MB.
	maxBody = 8 << 20
	// maxConnections bounds the connections to the store. A waiting watch occupies one.
	maxConnections = 4
	dialTimeout    = 1 * time.Second
	// TCP keep-alive probes detect a dead connection on which a watch waits.
	probeIdle     = 2 * time.Second
	probeInterval = 1 * time.Second
	probeCount    = 2
)

// The errors of calls that were refused or failed.
var (
	// ErrUnavailable means that the store refused the call with status 429 or 503 or
	// could not be reached. The call had no effect.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object already exists or has another revision.
	ErrConflict = errors.New("the object exists or has another revision")
	// ErrHistoryExpired means that the store no longer has the events since the
	// revision.
	ErrHistoryExpired = errors.New("the store has no events since the revision")
	// ErrOutcomeUnknown means that there was no answer, or one with an unexpected status.
	// The call may have been processed or may be processed later.
	ErrOutcomeUnknown = errors.New("the store gave no usable answer")
)

// Client sends calls to the store. It is safe for concurrent use.
type Client struct {
	base string
	http *httpclient.Client
	// disconnected ends when the client is disconnected or closed.
	disconnected context.Context
	disconnect   context.CancelFunc
}

// New returns a client of the store at the address.
func New(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	disconnected, disconnect := context.WithCancel(context.Background())
	return &Client{
		disconnected: disconnected, disconnect: disconnect,
		base: "http://" + addr.String(),
		http: httpclient.New("store", httpclient.WithMaxConnections(maxConnections), httpclient.WithDialer(dialer)),
	}
}

// Get returns the body of the answer to a GET request for the path with its query.
func (c *Client) Get(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil, timeout)
}

// Post creates the object in the body. The path is that of the object's kind.
func (c *Client) Post(ctx context.Context, path string, body []byte, timeout time.Duration) error {
	_, err := c.do(ctx, http.MethodPost, path, body, timeout)
	return err
}

// Put replaces the object at the path.
func (c *Client) Put(ctx context.Context, path string, body []byte, timeout time.Duration) error {
	_, err := c.do(ctx, http.MethodPut, path, body, timeout)
	return err
}

// Delete deletes the object at the path.
func (c *Client) Delete(ctx context.Context, path string, timeout time.Duration) error {
	_, err := c.do(ctx, http.MethodDelete, path, nil, timeout)
	return err
}

// Disconnect makes all further calls fail with ErrUnavailable and cancels those that are
// waiting.
func (c *Client) Disconnect() { c.disconnect() }

// Close cancels all calls and closes the idle connections.
func (c *Client) Close() {
	c.disconnect()
	c.http.Close()
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	if err := c.disconnected.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "disconnected from the store"), ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(c.disconnected, cancel)()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	r, err := httpclient.NewRequest(ctx, method, c.base+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "create request to the store")
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		if !httpclient.MayHaveSent(err) {
			return nil, errors.Mark(errors.Wrap(err, "connect to the store"), ErrUnavailable)
		}
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrOutcomeUnknown)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBody+1))
	if err == nil && len(data) > maxBody {
		err = errors.Newf("the answer has more than %d bytes", maxBody)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrOutcomeUnknown)
	}
	return data, statusError(method, path, answer.StatusCode)
}

func statusError(method, path string, status int) error {
	var sentinel error
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		sentinel = ErrUnavailable
	case status == http.StatusNotFound:
		sentinel = ErrNotFound
	case status == http.StatusConflict:
		sentinel = ErrConflict
	case status == http.StatusGone:
		sentinel = ErrHistoryExpired
	default:
		sentinel = ErrOutcomeUnknown
	}
	return errors.Mark(errors.Newf("%s %s: status %d", method, path, status), sentinel)
}
