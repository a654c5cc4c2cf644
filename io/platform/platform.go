// Package platform talks to the platform's object API.
//
// # Objects
//
// An object is a value of up to 1 MB under a key, with a [Revision] that
// changes with each write. Writes are conditional: they name the revision that
// they replace. A write whose answer was lost may have taken effect; its error
// says so by its verdict, and the writer reads the object back.
//
//	client := platform.New(addr, platform.WithToken(token))
//	object, err := client.Get(ctx, "head")
//	revision, err := client.Put(ctx, "head", value, object.Revision)
//	var conflict *platform.ConflictError
//	if errors.As(err, &conflict) {
//		// Somebody else wrote first.
//	}
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/httpclient"
)

const (
	// MaxValue is the largest value that the platform keeps, in bytes.
	MaxValue       = 1 << 20
	defaultTimeout = 2 * time.Second
	// watchGrace is how much longer than asked a watch may take to answer.
	watchGrace     = 2 * time.Second
	maxConnections = 8
	keyPath        = "/v1/objects/"
)

// ErrNotFound says that there is no object under the key.
var ErrNotFound = errors.New("object not found")

// Client is a client of the object API. It is safe for use by several
// goroutines at once.
type Client struct {
	base    url.URL
	token   string
	timeout time.Duration
	http    *httpclient.Client

	transport []httpclient.Option
}

// Revision identifies one write of an object. The zero value stands for "no
// object".
type Revision uint64

// Object is a value with its revision.
type Object struct {
	Value    []byte
	Revision Revision
}

// Entry is one row of a listing.
type Entry struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	// Age is how long ago the object was written, by the platform's clock.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ConflictError says that the object was not at the revision that a write
// named. The write did not take effect.
type ConflictError struct {
	Key  string
	Want Revision
}

// Option changes a client while it is built.
type Option func(*Client)

// WithToken sets the bearer token.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout sets the time after which a request is given up.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets options of the connections to the platform.
func WithTransport(opts ...httpclient.Option) Option {
	return func(c *Client) { c.transport = append(c.transport, opts...) }
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		base:      url.URL{Scheme: "http", Host: addr.String()},
		timeout:   defaultTimeout,
		transport: []httpclient.Option{httpclient.WithConnections(maxConnections)},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = httpclient.New("platform", c.transport...)
	return c
}

// Get returns an object. The error is ErrNotFound when there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	response, err := c.do(ctx, http.MethodGet, c.url(key, nil), nil, nil, c.timeout)
	if err != nil {
		return Object{}, err
	}
	return objectOf(response)
}

// Watch waits until the object's revision differs from after, for at most the
// given time. It returns false when nothing changed. A missing object has
// revision 0.
func (c *Client) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Object, bool, error) {
	query := url.Values{
		"watch": {"1"},
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}
	response, err := c.do(ctx, http.MethodGet, c.url(key, query), nil, nil, wait+watchGrace)
	if err != nil {
		return Object{}, false, err
	}
	if response.status == http.StatusNotModified {
		return Object{}, false, nil
	}
	object, err := objectOf(response)
	return object, err == nil, err
}

// List returns the objects whose keys start with the prefix, in order of keys.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	response, err := c.do(ctx, http.MethodGet, c.url("", url.Values{"prefix": {prefix}}), nil, nil, c.timeout)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, unexpected(response)
	}
	var entries []Entry
	if err := json.Unmarshal(response.body, &entries); err != nil {
		return nil, errors.Wrap(err, "listing from the platform")
	}
	return entries, nil
}

// Put writes an object that is at the revision after; 0 creates it. The error
// is a *ConflictError when the object is at another revision. Any other error
// carries a verdict that says whether the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, after Revision) (Revision, error) {
	if len(value) > MaxValue {
		return 0, verdict.Refuse("valueTooLarge", key+" has "+strconv.Itoa(len(value))+" bytes")
	}
	response, err := c.do(ctx, http.MethodPut, c.url(key, nil), value, &after, c.timeout)
	if err != nil {
		return 0, err
	}
	return c.written(response, key, after)
}

// Delete removes an object that is at the revision after; errors as for Put.
func (c *Client) Delete(ctx context.Context, key string, after Revision) error {
	response, err := c.do(ctx, http.MethodDelete, c.url(key, nil), nil, &after, c.timeout)
	if err != nil {
		return err
	}
	_, err = c.written(response, key, after)
	return err
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.Close() }

type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) url(key string, query url.Values) string {
	u := c.base
	u.Path = keyPath + key
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *Client) do(ctx context.Context, method, url string, value []byte, after *Revision, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := httpclient.NewRequest(ctx, method, url, bytes.NewReader(value))
	if err != nil {
		return response{}, verdict.Refuse("badRequest", err.Error())
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if after != nil {
		setCondition(request.Header, *after)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return response{}, verdict.Unknown("platformUnreachable", method, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, 2*MaxValue))
	if err != nil {
		return response{}, verdict.Unknown("platformAnswerBroken", method, err)
	}
	switch {
	case answer.StatusCode == http.StatusTooManyRequests:
		return response{}, verdict.Refuse("platformRateLimit", "the platform refused the request")
	case answer.StatusCode >= http.StatusInternalServerError:
		return response{}, verdict.Unknown("platformFailed", answer.Status, nil)
	}
	return response{status: answer.StatusCode, header: answer.Header, body: body}, nil
}

func (c *Client) written(r response, key string, after Revision) (Revision, error) {
	switch r.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return revisionOf(r.header)
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Key: key, Want: after}
	}
	return 0, unexpected(r)
}

func setCondition(h http.Header, after Revision) {
	if after == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(after), 10)))
}

func objectOf(r response) (Object, error) {
	switch r.status {
	case http.StatusOK:
		revision, err := revisionOf(r.header)
		return Object{Value: r.body, Revision: revision}, err
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	}
	return Object{}, unexpected(r)
}

func revisionOf(h http.Header) (Revision, error) {
	tag := h.Get("ETag")
	if tag == "" {
		return 0, nil
	}
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.Newf("ETag %q from the platform", tag)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("ETag %q from the platform", tag)
	}
	return Revision(n), nil
}

func unexpected(r response) error {
	return verdict.Refuse("platformRefused", "status "+strconv.Itoa(r.status))
}

func (e *ConflictError) Error() string {
	return "object " + e.Key + " is not at revision " + strconv.FormatUint(uint64(e.Want), 10)
}
