// Package store calls the platform's object store and tells its failures apart.
//
//	client := store.New(addr)
//	body, err := client.Get(ctx, path, time.Second)
//	switch {
//	case errors.Is(err, store.ErrBusy): // nothing was done
//	case errors.Is(err, store.ErrUnknown): // a write may still take effect
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
	// maxBody bounds an answer: a page of a list has about 1 MB.
	maxBody = 8 << 20
	// connections to the store: one for a watch that waits and one for the rest.
	connections = 4
	dialTimeout = 1 * time.Second
	// Probes find a connection that went silent while a watch waits on it.
	probeIdle     = 2 * time.Second
	probeInterval = 1 * time.Second
	probeCount    = 2
)

// The ways in which a call fails.
var (
	// ErrUnavailable says that the store refused the call; nothing was done.
	ErrUnavailable = errors.New("the store refuses calls")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict says that the object exists or has another revision.
	ErrConflict = errors.New("the object has changed")
	// ErrHistoryExpired says that the store has no history since the revision.
	ErrHistoryExpired = errors.New("the store has forgotten its history")
	// ErrOutcomeUnknown says that no answer came: the call may have been done, or may be
	// done later.
	ErrOutcomeUnknown = errors.New("the store did not answer")
)

// Client calls the store. It is safe for use by several goroutines at once.
type Client struct {
	base string
	http *httpclient.Client
	// lost ends when the client is cut off.
	lost context.Context
	lose context.CancelFunc
}

// New returns a client of the store at an address.
func New(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	lost, lose := context.WithCancel(context.Background())
	return &Client{
		lost: lost, lose: lose,
		base: "http://" + addr.String(),
		http: httpclient.New("store", httpclient.WithMaxConnections(connections), httpclient.WithDialer(dialer)),
	}
}

// Get reads.
func (c *Client) Get(ctx context.Context, path string, limit time.Duration) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil, limit)
}

// Post creates.
func (c *Client) Post(ctx context.Context, path string, body []byte, limit time.Duration) error {
	_, err := c.do(ctx, http.MethodPost, path, body, limit)
	return err
}

// Put replaces.
func (c *Client) Put(ctx context.Context, path string, body []byte, limit time.Duration) error {
	_, err := c.do(ctx, http.MethodPut, path, body, limit)
	return err
}

// Delete removes.
func (c *Client) Delete(ctx context.Context, path string, limit time.Duration) error {
	_, err := c.do(ctx, http.MethodDelete, path, nil, limit)
	return err
}

// Disconnect makes all further calls fail as if the store were not reached, and ends
// those that wait.
func (c *Client) Disconnect() { c.lose() }

// Close ends the idle connections.
func (c *Client) Close() {
	c.lose()
	c.http.Close()
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, limit time.Duration) ([]byte, error) {
	if err := c.lost.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "cut off from the store"), ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(c.lost, cancel)()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	r, err := httpclient.NewRequest(ctx, method, c.base+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "build request to the store")
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		if !httpclient.MayHaveSent(err) {
			return nil, errors.Mark(errors.Wrap(err, "reach the store"), ErrUnavailable)
		}
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrOutcomeUnknown)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrOutcomeUnknown)
	}
	return data, statusError(method, path, answer.StatusCode)
}

func statusError(method, path string, status int) error {
	var kind error
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		kind = ErrUnavailable
	case status == http.StatusNotFound:
		kind = ErrNotFound
	case status == http.StatusConflict:
		kind = ErrConflict
	case status == http.StatusGone:
		kind = ErrHistoryExpired
	default:
		kind = ErrOutcomeUnknown
	}
	return errors.Mark(errors.Newf("%s %s: status %d", method, path, status), kind)
}
