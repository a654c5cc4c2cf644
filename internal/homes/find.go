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
	ruleNotHome     = "notHome"
	ruleHomeLeaving = "homeLeaving"
	maxFetches      = 3
)

// cached is the roster of another service. Its lock is held during a fetch, so
// that one call fetches for all.
type cached struct {
	mu      sync.Mutex
	roster  *home.Roster
	fetched time.Time
	failed  time.Time
}

// Find returns the home of a key of any service. The roster may be a little old;
// the home checks by its own.
func (l *Loop) Find(ctx context.Context, service string, key home.Key) (home.Decision, error) {
	roster := l.rosterOf(ctx, service)
	if roster == nil {
		return nil, unknownHomes()
	}
	return roster.Find(time.Now(), key), nil
}

// Forget makes the next Find fetch the roster of the service again.
func (l *Loop) Forget(service string) {
	if c := l.cachedOf(service); c != nil {
		c.mu.Lock()
		c.fetched = time.Time{}
		c.mu.Unlock()
	}
}

// IsStaleRoster says whether a refusal by this rule may end once the caller's node has
// a newer roster.
func IsStaleRoster(rule string) bool { return rule == ruleNotHome || rule == ruleHomeLeaving }

func (l *Loop) rosterOf(ctx context.Context, service string) *home.Roster {
	if service == l.self.Service {
		return l.roster()
	}
	c := l.cachedOf(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.fetched) < cacheLimit || (c.roster != nil && now.Sub(c.failed) < fetchTimeout) {
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

func (l *Loop) cachedOf(service string) *cached {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	if l.cache == nil {
		l.cache = make(map[string]*cached)
	}
	c, ok := l.cache[service]
	if !ok {
		c = &cached{}
		l.cache[service] = c
	}
	return c
}

// fetch asks nodes of the service for its roster. It returns the known one when
// that is the newest.
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
	question := messages.AskHomes{From: l.self.Id, Service: server.Service, Epoch: known.Epoch()}
	state, err := peer.Call[messages.HomesState](ctx, l.Endpoint, server.Peer, askMethod, question)
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
