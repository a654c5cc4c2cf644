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
	// MaxValue is the largest value that the platform keeps, in bytes.
	MaxValue       = 1 << 20
	defaultTimeout = 2 * time.Second
	// watchGrace is how much longer than asked a watch may take to answer.
	watchGrace      = 2 * time.Second
	maxConnections  = 8
	ruleUnreachable = "platformUnreachable"
	keyPath         = "/v1/objects/"
	// maxAnswer bounds an answer; a page of a listing has up to 1000 keys.
	maxAnswer = 2 * MaxValue
	// headerNext names the key after which the next page of a listing begins.
	headerNext = "Next-After"
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
		transport: []httpclient.Option{httpclient.WithMaxConnections(maxConnections)},
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
// A long listing is read in pages: what is written meanwhile may be in it or not.
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
			return nil, broken(http.MethodGet, errors.Newf("the page after %q names %q as the next", after, next))
		}
		after = next
	}
}

// page returns a part of a listing, and the key after which the next one begins.
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
		return nil, "", unexpected(response)
	}
	if err := json.Unmarshal(response.body, &entries); err != nil {
		return nil, "", broken(http.MethodGet, err)
	}
	next, err = url.QueryUnescape(response.header.Get(headerNext))
	if err != nil {
		return nil, "", broken(http.MethodGet, err)
	}
	return entries, next, nil
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
	if err := writeError(response, key, after); err != nil {
		return 0, err
	}
	revision, err := revisionOf(response.header)
	if err != nil {
		// The write took effect, but nobody knows under which revision.
		return 0, broken(http.MethodPut, err)
	}
	return revision, nil
}

// Delete removes an object that is at the revision after; errors as for Put.
func (c *Client) Delete(ctx context.Context, key string, after Revision) error {
	response, err := c.do(ctx, http.MethodDelete, c.url(key, nil), nil, &after, c.timeout)
	if err != nil {
		return err
	}
	return writeError(response, key, after)
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
	if err := ctx.Err(); err != nil {
		return response{}, verdict.Refuse("cancelled", err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.once(ctx, method, url, value, after)
	if method == http.MethodGet && isUnreachable(err) && ctx.Err() == nil {
		// The platform may close an idle connection just when it is used again. A
		// read has no effect, so it is sent once more.
		r, err = c.once(ctx, method, url, value, after)
	}
	return r, err
}

// once sends a request once.
func (c *Client) once(ctx context.Context, method, url string, value []byte, after *Revision) (response, error) {
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
		return response{}, broken(method, err)
	}
	switch {
	case len(body) > maxAnswer:
		return response{}, broken(method, errors.Newf("more than %d bytes", maxAnswer))
	case answer.StatusCode == http.StatusTooManyRequests:
		return response{}, verdict.RefuseFor("platformRateLimit", "the platform refused the request", retryAfter(answer.Header))
	case answer.StatusCode >= http.StatusInternalServerError:
		return response{}, verdict.Unknown("platformFailed", answer.Status, nil)
	}
	return response{status: answer.StatusCode, header: answer.Header, body: body}, nil
}

// isUnreachable says whether a request got no answer at all.
func isUnreachable(err error) bool {
	return err != nil && verdict.Rule(verdict.Of(err)) == ruleUnreachable
}

// writeError returns what a platform that answered a write said against it.
func writeError(r response, key string, after Revision) error {
	switch r.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed, http.StatusNotFound:
		return &ConflictError{Key: key, Want: after}
	}
	return unexpected(r)
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
			return Object{}, broken(http.MethodGet, err)
		}
		return Object{Value: r.body, Revision: revision}, nil
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	}
	return Object{}, unexpected(r)
}

func revisionOf(h http.Header) (Revision, error) {
	tag := h.Get("ETag")
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.Newf("ETag %q from the platform", tag)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Newf("ETag %q from the platform", tag)
	}
	return Revision(n), nil
}

// unreachable says that there was no answer. A connection that never came about
// carried no request.
func unreachable(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refuse(ruleUnreachable, method+": "+err.Error())
	}
	return verdict.Unknown(ruleUnreachable, method, err)
}

// broken says that an answer came that cannot be used.
func broken(method string, err error) error {
	return verdict.Unknown("platformAnswerBroken", method, err)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func unexpected(r response) error {
	return verdict.Refuse("platformRefused", "status "+strconv.Itoa(r.status))
}

func (e *ConflictError) Error() string {
	return "object " + e.Key + " is not at revision " + strconv.FormatUint(uint64(e.Want), 10)
}
