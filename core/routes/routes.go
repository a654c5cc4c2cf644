// Package routes says to which service a request goes, and within which bounds.
//
// # Table
//
// A [Table] is one version of the operators' configuration. It is checked as a
// whole when it is built and never changes afterwards, so that a node swaps one
// pointer to put a version in force:
//
//	table, err := routes.New(7, list, services, limits)
//	route, ok := table.Match("jepu9.example", "/lepu270/2f")
//
// # Matching
//
// Among the routes of a host the one with the longest prefix wins. Prefixes end
// with a slash, so a match needs one map lookup for each segment of the path.
package routes

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Once is the zero value: what nobody marked as idempotent runs at most once.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests run at most once and have large bodies.
	Upload
)

// Part is a service that gets a share of a route's requests.
type Part struct {
	Service string
	// Weight is relative to the other parts of the route.
	Weight int
}

// Route is where the requests under one prefix of a host go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time to keep a caller waiting.
	Timeout time.Duration
	// Target is the latency within which an answer has its full worth.
	Target time.Duration
	// Rank orders requests under load; 0 goes first.
	Rank int
	// MaxServers bounds the backend servers that one request may be sent to.
	MaxServers int
	// Parts has one entry for a route to a single service.
	Parts []Part
}

// Service is what the operators say of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one backend server accepts.
	MaxConnections int
}

// Limits bound what a caller may send. Zero sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of the configuration. It is safe for use by several
// goroutines at once, as it never changes.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string]map[string]*Route
	count    int
}

// New checks a version and builds its table. The error names the first fault;
// nothing of a faulty version is put in force.
func New(version uint64, list []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version:  version,
		limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
		count:    len(list),
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

func (t *Table) add(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.Newf("time limit %s is not above zero", r.Timeout)
	case r.Target < 0 || r.Rank < 0:
		return errors.Newf("target %s or rank %d is below zero", r.Target, r.Rank)
	case len(r.Parts) == 0:
		return errors.New("no service")
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := t.services[p.Service]; !ok {
			return errors.Newf("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			return errors.Newf("weight %d of service %q is below zero", p.Weight, p.Service)
		}
		total += p.Weight
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

// Version is the operators' number of the table.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns what the operators say of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route for a host, with or without a port, and a path without
// its query.
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
