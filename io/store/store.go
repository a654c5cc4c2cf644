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
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/storeera"
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
	// ErrHistoryExpired means that the store no longer has the events since the revision,
	// or that it has come back from an older copy during the call. The revisions known
	// before are void then.
	ErrHistoryExpired = errors.New("the store has no events since the revision")
	// ErrOutcomeUnknown means that there was no answer, or one with an unexpected status.
	// The call may have been processed or may be processed later.
	ErrOutcomeUnknown = errors.New("the store gave no usable answer")
)

// Client sends calls to the store. It is safe for concurrent use. Lock order: mu is the
// only lock.
type Client struct {
	base string
	http *httpclient.Client

	mu  sync.Mutex
	era storeera.Tracker
	// onRestored is called without mu, unless it is nil.
	onRestored func(era uint64)
	// readEra returns the era in the header of an answer, or 0.
	readEra func(http.Header) uint64

	// disconnected ends when the client is disconnected or closed.
	disconnected context.Context
	disconnect   context.CancelFunc
}

// Option configures a [Client]; see [New].
type Option func(*Client)

// WithEra sets the function that returns the era of the store in the header of its answers,
// or 0 if there is none. By default, the store is taken for one that never comes back from
// an older copy of itself.
func WithEra(read func(http.Header) uint64) Option { return func(c *Client) { c.readEra = read } }

// New returns a client of the store at the address.
func New(addr netip.AddrPort, opts ...Option) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	disconnected, disconnect := context.WithCancel(context.Background())
	c := &Client{
		disconnected: disconnected, disconnect: disconnect,
		base:    "http://" + addr.String(),
		http:    httpclient.New("store", httpclient.WithMaxConnections(maxConnections), httpclient.WithDialer(dialer)),
		readEra: func(http.Header) uint64 { return 0 },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// OnRestored sets the function that is called when an answer shows that the store has come
// back from an older copy of itself. What it had acknowledged since that copy is gone. It
// must be called before the first call to the store.
func (c *Client) OnRestored(fn func(era uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRestored = fn
}

// Era returns the highest era that the store has named, or 0 if it names none. Revisions can
// be compared only within one era.
func (c *Client) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era.Era()
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
	begun := c.Era()
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
	if err := c.checkEra(method, path, begun, c.readEra(answer.Header)); err != nil {
		return nil, err
	}
	return data, statusError(method, path, answer.StatusCode)
}

// checkEra returns an error if an answer proves nothing because of its era: one of an earlier
// era, and a read that began in an earlier one, whose revisions are void. A write that ends
// in a later era has been executed there.
func (c *Client) checkEra(method, path string, begun, era uint64) error {
	c.mu.Lock()
	outcome, notify := c.era.Answered(begun, era), c.onRestored
	c.mu.Unlock()
	if outcome == storeera.Restored && notify != nil {
		notify(era)
	}
	switch {
	case outcome == storeera.Outdated:
		return errors.Mark(errors.Newf("%s %s: the answer is of an earlier era of the store", method, path), ErrOutcomeUnknown)
	case outcome != storeera.Current && method == http.MethodGet:
		return errors.Mark(errors.Newf("%s %s: the store has come back from an older copy", method, path), ErrHistoryExpired)
	}
	return nil
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
