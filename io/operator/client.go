package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/explain"
	"lavenderdeal/internal/httpclient"
)

const (
	clientTimeout = 5 * time.Second
	maxAnswer     = 16 << 20
)

// Client asks the operator port of one node. It is safe for use by several
// goroutines at once.
type Client struct {
	base url.URL
	key  string
	http *httpclient.Client
}

// RefusedError says that the node refused a request.
type RefusedError struct {
	StatusCode int
	Problem    Problem
}

// NewClient returns a client of the operator port at addr. The key is needed for
// writes only.
func NewClient(addr netip.AddrPort, key string) *Client {
	return &Client{
		base: url.URL{Scheme: "http", Host: addr.String()},
		key:  key,
		http: httpclient.New("operator"),
	}
}

// Status returns what the node says of itself.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return request[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Explain returns the newest changes of state, the oldest first.
func (c *Client) Explain(ctx context.Context) ([]explain.Record, error) {
	return request[[]explain.Record](ctx, c, http.MethodGet, "/explain", nil)
}

// LiftQuarantine lets calls with the fingerprint run again.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) error {
	_, err := request[Lifted](ctx, c, http.MethodPost, "/quarantine/lift", url.Values{"fingerprint": {fingerprint}})
	return err
}

// Drain makes the node leave.
func (c *Client) Drain(ctx context.Context) error {
	_, err := request[Draining](ctx, c, http.MethodPost, "/drain", nil)
	return err
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.Close() }

func request[T any](ctx context.Context, c *Client, method, path string, query url.Values) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	u := c.base
	u.Path, u.RawQuery = path, query.Encode()
	r, err := httpclient.NewRequest(ctx, method, u.String(), nil)
	if err != nil {
		return value, err
	}
	if c.key != "" && method == http.MethodPost {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return value, errors.Wrapf(err, "node %s", c.base.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return value, errors.Wrapf(err, "node %s", c.base.Host)
	}
	if response.StatusCode != http.StatusOK {
		refused := &RefusedError{StatusCode: response.StatusCode}
		_ = json.Unmarshal(body, &refused.Problem)
		return value, errors.Wrapf(refused, "node %s", c.base.Host)
	}
	err = json.Unmarshal(body, &value)
	return value, errors.Wrapf(err, "node %s: answer to %s", c.base.Host, path)
}

func (e *RefusedError) Error() string {
	return http.StatusText(e.StatusCode) + ": " + e.Problem.Rule + ": " + e.Problem.Detail
}
