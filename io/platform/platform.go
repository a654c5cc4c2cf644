// Package platform is a client of the platform's object API, for the command lavenderdeal
// and its nodes (lavenderdeal/internal/node). The nodes on the users' platform
// (lavenderdeal/internal/mesh) use lavenderdeal/io/store and lavenderdeal/platform instead.
//
// # Objects
//
// An object has a key, a value of up to 1 MB and a [Revision] that changes with each
// write. Writes are conditional on the revision that they replace. If the answer to a
// write was lost, the verdict of the error is MayHaveRun, and the writer must read the
// object to find out.
//
//	client := platform.New(addr, platform.WithToken(token))
//	object, err := client.Get(ctx, "head")
//	revision, err := client.Put(ctx, "head", value, object.Revision)
//	var conflict *platform.ConflictError
//	if errors.As(err, &conflict) {
//		// The object was changed concurrently.
//	}
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
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
	// MaxValue is the maximum size in bytes of a value in the platform.
	MaxValue       = 1 << 20
	defaultTimeout = 2 * time.Second
	// watchGrace is added to the wait of a watch for the timeout of its request.
	watchGrace      = 2 * time.Second
	maxConnections  = 8
	ruleUnreachable = "platformUnreachable"
	// objectsPath is the path before the key of an object.
	objectsPath = "/v1/objects/"
	// maxAnswer bounds an answer, in bytes. A page of a listing has up to 1000 keys.
	maxAnswer = 2 * MaxValue
	// headerNext is the header with the key after which the next page of a listing
	// begins.
	headerNext = "Next-After"
)

// ErrNotFound is the error for a key without an object.
var ErrNotFound = errors.New("object not found")

// Client is a client of the object API. It is safe for concurrent use.
type Client struct {
	base    url.URL
	token   string
	timeout time.Duration
	http    *httpclient.Client

	transport []httpclient.Option
}

// Revision identifies a write of an object. Zero is the revision of a missing object.
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
	// AgeSeconds is the time since the object was written, by the platform's clock.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ConflictError is the error of a write whose object was not at the expected revision.
// The write had no effect.
type ConflictError struct {
	Key  string
	Want Revision
}

// Option configures a client.
type Option func(*Client)

// WithToken sets the bearer token.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout sets the timeout of a request, except for Watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport adds options for the transport of the HTTP client.
func WithTransport(opts ...httpclient.Option) Option {
	return func(c *Client) { c.transport = append(c.transport, opts...) }
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		base:      url.URL{Scheme: "http", Host: addr.String()},
		timeout:   defaultTimeout,
		transport: []httpclient.Option{httpclient.WithMaxConnections(maxConnections)},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = httpclient.New("platform", c.transport...)
	return c
}

// Get returns an object. The error is ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	response, err := c.do(ctx, http.MethodGet, c.url(key, nil), nil, nil, c.timeout)
	if err != nil {
		return Object{}, err
	}
	return objectOf(response)
}

// Watch waits until the object's revision differs from after, for at most the given
// time. It returns false if the revision is still the same. A missing object has
// revision 0; if after is not 0, the error for it is ErrNotFound.
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

// List returns the objects whose keys start with the prefix, ordered by key. A long
// listing is read in pages and may or may not include concurrent writes.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	after := ""
	for {
		page, next, err := c.page(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		entries = append(entries, page...)
		if next == "" {
			return entries, nil
		}
		if next <= after {
			return nil, brokenAnswer(http.MethodGet, errors.Newf("the page after key %q continues after key %q, want a greater key", after, next))
		}
		after = next
	}
}

// page returns a page of a listing and the key after which the next one begins, or ""
// for the last page.
func (c *Client) page(ctx context.Context, prefix, after string) (entries []Entry, next string, err error) {
	query := url.Values{"prefix": {prefix}}
	if after != "" {
		query.Set("after", after)
	}
	response, err := c.do(ctx, http.MethodGet, c.url("", query), nil, nil, c.timeout)
	if err != nil {
		return nil, "", err
	}
	if response.status != http.StatusOK {
		return nil, "", unexpectedStatus(response)
	}
	if err := json.Unmarshal(response.body, &entries); err != nil {
		return nil, "", brokenAnswer(http.MethodGet, err)
	}
	next, err = url.QueryUnescape(response.header.Get(headerNext))
	if err != nil {
		return nil, "", brokenAnswer(http.MethodGet, err)
	}
	return entries, next, nil
}

// Put replaces an object that is at the revision after, or creates it if after is 0.
// The error is a *ConflictError if the object is at another revision. The verdict of any
// other error states whether the write may have had an effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, after Revision) (Revision, error) {
	if len(value) > MaxValue {
		return 0, verdict.Refuse("valueTooLarge", key+" has "+strconv.Itoa(len(value))+" bytes")
	}
	response, err := c.do(ctx, http.MethodPut, c.url(key, nil), value, &after, c.timeout)
	if err != nil {
		return 0, err
	}
	if err := writeError(response, key, after); err != nil {
		return 0, err
	}
	revision, err := revisionOf(response.header)
	if err != nil {
		// The write took effect, but its revision is unknown.
		return 0, brokenAnswer(http.MethodPut, err)
	}
	return revision, nil
}

// Delete deletes an object that is at the revision after. The errors are those of Put.
func (c *Client) Delete(ctx context.Context, key string, after Revision) error {
	response, err := c.do(ctx, http.MethodDelete, c.url(key, nil), nil, &after, c.timeout)
	if err != nil {
		return err
	}
	return writeError(response, key, after)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) url(key string, query url.Values) string {
	u := c.base
	u.Path = objectsPath + key
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *Client) do(ctx context.Context, method, url string, value []byte, after *Revision, timeout time.Duration) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, verdict.Refuse("cancelled", err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.doOnce(ctx, method, url, value, after)
	if method == http.MethodGet && isUnreachable(err) && ctx.Err() == nil {
		// The platform may close an idle connection while it is reused. Reads have no
		// side effects, so they are retried once, over a new connection: the platform may
		// have closed the other idle ones too.
		c.http.Close()
		r, err = c.doOnce(ctx, method, url, value, after)
	}
	return r, err
}

// doOnce sends a request without a retry.
func (c *Client) doOnce(ctx context.Context, method, url string, value []byte, after *Revision) (response, error) {
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
		return response{}, unreachable(method, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return response{}, brokenAnswer(method, err)
	}
	switch {
	case len(body) > maxAnswer:
		return response{}, brokenAnswer(method, errors.Newf("more than %d bytes", maxAnswer))
	case answer.StatusCode == http.StatusTooManyRequests:
		return response{}, verdict.RefuseFor("platformRateLimit", "the platform refused the request", retryAfter(answer.Header))
	case answer.StatusCode >= http.StatusInternalServerError:
		return response{}, verdict.Unknown("platformFailed", answer.Status, nil)
	}
	return response{status: answer.StatusCode, header: answer.Header, body: body}, nil
}

// isUnreachable returns true if err is that of a request that got no answer.
func isUnreachable(err error) bool {
	return err != nil && verdict.Rule(verdict.Of(err)) == ruleUnreachable
}

// writeError returns the error for the answer to a write, or nil if it succeeded.
func writeError(r response, key string, after Revision) error {
	switch r.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed, http.StatusNotFound:
		return &ConflictError{Key: key, Want: after}
	}
	return unexpectedStatus(r)
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
		if err != nil {
			return Object{}, brokenAnswer(http.MethodGet, err)
		}
		return Object{Value: r.body, Revision: revision}, nil
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	}
	return Object{}, unexpectedStatus(r)
}

func revisionOf(h http.Header) (Revision, error) {
	tag := h.Get("ETag")
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.Newf("ETag %q is not a quoted revision", tag)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Newf("ETag %q is not a quoted revision", tag)
	}
	return Revision(n), nil
}

// unreachable returns the error of a request without an answer. If the connection could
// not be opened, the request was not sent.
func unreachable(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refuse(ruleUnreachable, method+": "+err.Error())
	}
	return verdict.Unknown(ruleUnreachable, method, err)
}

// brokenAnswer returns the error of a request with an invalid answer.
func brokenAnswer(method string, err error) error {
	return verdict.Unknown("platformAnswerBroken", method, err)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func unexpectedStatus(r response) error {
	return verdict.Refuse("platformRefused", "status "+strconv.Itoa(r.status))
}

func (e *ConflictError) Error() string {
	return "object " + e.Key + " is not at revision " + strconv.FormatUint(uint64(e.Want), 10)
}
