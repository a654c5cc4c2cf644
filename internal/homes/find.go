package homes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderdeal/core/home"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

const (
	// ruleNotHome and ruleHomeLeaving refuse a call because the node that received it
	// is not the home of its key or is leaving the roster.
	ruleNotHome     = "notHome"
	ruleHomeLeaving = "homeLeaving"
	// maxFetches is the maximum number of nodes to query for one roster.
	maxFetches = 3
)

// cachedRoster caches the roster of another service. The lock mu is held during a
// fetch, so that concurrent calls share one fetch.
type cachedRoster struct {
	mu      sync.Mutex
	roster  *home.Roster
	fetched time.Time // last successful fetch
	failed  time.Time // last failed fetch
}

// Find returns the home of a key of any service. It fetches the roster of another
// service from one of its nodes if the cached one is too old. The roster may still
// be out of date, so the home checks the key against its own roster. The error
// carries a verdict.
func (l *Loop) Find(ctx context.Context, service string, key home.Key) (home.Decision, error) {
	roster := l.rosterOf(ctx, service)
	if roster == nil {
		return nil, errHomesUnknown()
	}
	return roster.Find(time.Now(), key), nil
}

// Forget makes the next Find fetch the roster of another service again.
func (l *Loop) Forget(service string) {
	if c := l.cacheEntry(service); c != nil {
		c.mu.Lock()
		c.fetched = time.Time{}
		c.mu.Unlock()
	}
}

// IsStaleRoster reports whether a call that was refused by the rule may succeed once
// the sending node has a newer roster.
func IsStaleRoster(rule string) bool { return rule == ruleNotHome || rule == ruleHomeLeaving }

// rosterOf returns the roster of a service, or nil if none is known. It fetches the
// roster of another service unless the cached one is recent.
func (l *Loop) rosterOf(ctx context.Context, service string) *home.Roster {
	if service == l.self.Service {
		return l.roster()
	}
	c := l.cacheEntry(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.fetched) < cacheTTL || (c.roster != nil && now.Sub(c.failed) < fetchTimeout) {
		return c.roster
	}
	if roster := l.fetch(ctx, service, c.roster); roster != nil {
		c.roster = roster
		c.fetched = now
	} else {
		c.failed = now
	}
	return c.roster
}

// cacheEntry returns the cache entry of a service and creates it if needed.
func (l *Loop) cacheEntry(service string) *cachedRoster {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	if l.cache == nil {
		l.cache = make(map[string]*cachedRoster)
	}
	c, ok := l.cache[service]
	if !ok {
		c = &cachedRoster{}
		l.cache[service] = c
	}
	return c
}

// fetch queries up to maxFetches nodes of the service, one after another, until one
// answers with its roster. It returns known if that node has no newer one, and nil if
// no node returned a valid answer.
func (l *Loop) fetch(ctx context.Context, service string, known *home.Roster) *home.Roster {
	servers := l.View.Load().Servers(service)
	if len(servers) == 0 {
		return nil
	}
	start := rand.IntN(len(servers))
	for i := range min(maxFetches, len(servers)) {
		server := servers[(start+i)%len(servers)]
		roster, ok := l.fetchFrom(ctx, server, known)
		if ok {
			return roster
		}
	}
	return nil
}

func (l *Loop) fetchFrom(ctx context.Context, server messages.Member, known *home.Roster) (*home.Roster, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := messages.AskHomes{From: l.self.Id, Service: server.Service, Epoch: known.Epoch()}
	state, err := peer.Call[messages.HomesState](ctx, l.Endpoint, server.Peer, queryMethod, request)
	switch {
	case err != nil || state.Epoch == 0:
		return nil, false
	case len(state.Homes) == 0:
		return known, known != nil
	}
	homes, err := decoder.Decode(state.Homes)
	if err != nil || homes.Service != server.Service {
		l.Metrics.Add("homesMalformed", 1)
		return nil, false
	}
	return home.New(homes), true
}
