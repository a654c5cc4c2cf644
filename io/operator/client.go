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
	clientTimeout  = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client sends requests to the operator port of one node. It is safe for concurrent
// use.
type Client struct {
	base url.URL
	key  string
	http *httpclient.Client
}

// RefusedError is the error of a request that the node answered with a status other
// than 200.
type RefusedError struct {
	StatusCode int
	Problem    Problem
}

// NewClient returns a client of the operator port at addr. The operator key is sent
// only with writes.
func NewClient(addr netip.AddrPort, key string) *Client {
	return &Client{
		base: url.URL{Scheme: "http", Host: addr.String()},
		key:  key,
		http: httpclient.New("operator"),
	}
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return request[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Explain returns the most recent state changes of the node and their causes, oldest
// first.
func (c *Client) Explain(ctx context.Context) ([]explain.Record, error) {
	return request[[]explain.Record](ctx, c, http.MethodGet, "/explain", nil)
}

// LiftQuarantine makes the node accept calls with the fingerprint again. The error is
// a [RefusedError] with status 404 if the fingerprint is not in quarantine.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) error {
	_, err := request[Lifted](ctx, c, http.MethodPost, "/quarantine/lift", url.Values{"fingerprint": {fingerprint}})
	return err
}

// Drain starts the graceful shutdown of the node and does not wait for its end.
func (c *Client) Drain(ctx context.Context) error {
	_, err := request[Draining](ctx, c, http.MethodPost, "/drain", nil)
	return err
}

// Close closes the idle connections.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Newf("the answer to %s has more than %d bytes", path, maxAnswerBytes)
	}
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
