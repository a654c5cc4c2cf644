// Package routes matches requests to routes, which name the services that handle them and
// the limits that apply.
//
// # Table
//
// A [Table] is one version of the operators' configuration. It is validated as a
// whole when it is built and is immutable, so that a node puts a version in force
// by swapping one pointer:
//
//	table, err := routes.New(7, list, services, limits)
//	route, ok := table.Match("depot.example", "/stock/17")
//
// # Matching
//
// The route with the longest matching prefix of a host is used. Prefixes end with a
// slash, so a match needs at most one map lookup per path segment.
package routes

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/accounts"
)

// Kind determines whether a request may be retried.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce requests run at most once. It is the zero value, so that a request
	// is never retried unless its route is marked as idempotent.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests run at most once and have large bodies.
	Upload
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the route.
	Weight int
}

// Route defines the handling of the requests under one path prefix of a host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response counts as in time.
	TargetLatency time.Duration
	// Rank is the priority under load; 0 is the highest.
	Rank int
	// MaxServers bounds the number of backend servers that one request is sent to.
	MaxServers int
	// AllowAnonymous lets requests without an API key use the route.
	AllowAnonymous bool
	// Services has one entry for a route to a single service.
	Services []WeightedService
}

// Service is the operators' configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the backend server's health check.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts.
	MaxConnections int
}

// Limits bound the requests of callers. Zero means no limit.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the timeout for reading a request's header.
	HeaderTime time.Duration
	// IdleTime is the timeout for a connection without a request.
	IdleTime time.Duration
}

// Table is one version of the configuration. It is immutable and safe for concurrent
// use.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// accounts is nil if the configuration has none.
	accounts *accounts.Table
	// hosts holds the routes by lower-case host, then by prefix.
	hosts map[string]map[string]*Route
	count int
}

// Option adds a part to a [Table].
type Option func(*Table)

// WithAccounts sets the client accounts. The default is none, so that requests need no API
// key.
func WithAccounts(a *accounts.Table) Option { return func(t *Table) { t.accounts = a } }

// New validates a version and builds its table. The error describes the first invalid
// entry. The table refers to the routes in list, which must not be modified afterwards.
func New(version uint64, list []Route, services []Service, limits Limits, opts ...Option) (*Table, error) {
	t := &Table{
		version:  version,
		limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
		count:    len(list),
	}
	for _, opt := range opts {
		opt(t)
	}
	for _, s := range services {
		if s.Name == "" {
			return nil, errors.New("service without a name")
		}
		t.services[s.Name] = s
	}
	for i := range list {
		if err := t.add(&list[i]); err != nil {
			return nil, errors.Wrapf(err, "route %q", list[i].Name)
		}
	}
	return t, nil
}

// add validates a route and adds it to the table.
func (t *Table) add(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.Newf("timeout %s is not positive", r.Timeout)
	case r.TargetLatency < 0 || r.Rank < 0:
		return errors.Newf("target latency %s or rank %d is negative", r.TargetLatency, r.Rank)
	case len(r.Services) == 0:
		return errors.New("no service")
	}
	total := 0
	for _, s := range r.Services {
		if _, ok := t.services[s.Service]; !ok {
			return errors.Newf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("weight %d of service %q is negative", s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.New("all weights are zero")
	}
	host := strings.ToLower(r.Host)
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[host] = prefixes
	}
	if other := prefixes[r.Prefix]; other != nil {
		return errors.Newf("same host and prefix as route %q", other.Name)
	}
	prefixes[r.Prefix] = r
	return nil
}

// Version returns the version number that the operators assigned.
func (t *Table) Version() uint64 { return t.version }

// Accounts returns the client accounts, or nil if requests need no API key.
func (t *Table) Accounts() *accounts.Table { return t.accounts }

// Limits returns the limits on requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns the configuration of a service, or false if it is unknown.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route for a host, with or without a port, and a path without
// its query. It returns false if no route matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.hosts[host]
	if prefixes == nil {
		if prefixes = t.hosts[strings.ToLower(host)]; prefixes == nil {
			return nil, false
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}
