package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The limit of the account, and the bounds of the deployment.
const (
	limitRate   = 150.0
	limitBurst  = 150.0
	limitWindow = 5 * time.Second
	overshoot   = 0.1
	limitSlack  = 20.0
	// requestRate is the number of requests a second of the clients at all machines together.
	requestRate = 450
)

// cutting is the disruption of a case about the limits of accounts: several cuts in a row that
// separate the first machines of a zone from all other machines.
type cutting struct {
	// perZone is the number of machines in each zone.
	perZone int
	// machines is the number of those that are cut off. They reach each other.
	machines int
	cuts     int
	length   time.Duration
	pause    time.Duration
}

// playQuota cuts one machine off three times, each time for as long as the pages allow.
func playQuota(f *fleet, trouble bool) (int, error) {
	return cutting{perZone: 2, machines: 1, cuts: 3, length: 12 * time.Second, pause: 500 * time.Millisecond}.play(f, trouble)
}

// playSplit cuts two machines of a zone off once.
func playSplit(f *fleet, trouble bool) (int, error) {
	return cutting{perZone: 4, machines: 2, cuts: 1, length: 8 * time.Second}.play(f, trouble)
}

// akureyri adds machines with the settings of frn-mesh-grown in each of its zones, and writes a
// configuration with one account.
func akureyri(f *fleet, perZone int) error {
	f.more = `accounts:
  zones: ["akureyri","husavik","egilsstadir"]
  window: "5s"
  overshoot: 0.1
  slack: 20
revocation:
  within: "5000ms"
`
	for _, zone := range []string{"akureyri", "husavik", "egilsstadir"} {
		for n := range perZone {
			m, err := f.add(zone, []string{"leigjendur", "samningar"}[n%2], 20*time.Millisecond)
			if err != nil {
				return err
			}
			if err := m.addLinks(); err != nil {
				return err
			}
		}
	}
	f.store.put("config", "main", map[string]any{
		"version": "00000007",
		"routes": map[string]any{
			"columns": []string{"name", "host", names.Prefix, "kind", "timeout_ms", names.Target, "priority", "service", names.Servers, "backends", names.Anonymous},
			"rows":    [][]any{{"r-unit", hostStock, "/unit/", "safe", 3000, 500, 0, "leigjendur", 2, nil, false}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections"},
			"rows":    [][]any{{"leigjendur", "/health", 490}, {"samningar", "/health", 490}},
		},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "rate_per_s", "burst"},
			"rows":    [][]any{{"school", []string{"key-of-the-school"}, limitRate, limitBurst}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return nil
}

// play lets clients at all machines use one account, with more requests than its limit.
func (c cutting) play(f *fleet, trouble bool) (int, error) {
	if err := akureyri(f, c.perZone); err != nil {
		return failed, err
	}
	if err := f.start(); err != nil {
		return failed, err
	}
	key := map[string]string{"Authorization": "Bearer key-of-the-school"}
	for n, m := range f.machine {
		pool := newClient(false)
		go func() {
			for k := 0; f.ctx.Err() == nil; k++ {
				go f.send(pool, m, http.MethodGet, hostStock, fmt.Sprintf("/unit/%d", k), fmt.Sprintf("u%d-%d", n, k), nil, 3*time.Second, key)
				time.Sleep(time.Second * time.Duration(len(f.machine)) / requestRate)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	for range c.cuts {
		if trouble {
			f.cut(f.machine[:c.machines]...)
		}
		time.Sleep(c.length)
		f.cut()
		time.Sleep(c.pause)
	}
	time.Sleep(6 * time.Second)
	most, at := f.mostInWindow()
	allowed := (limitRate*limitWindow.Seconds()+limitBurst)*(1+overshoot) + limitSlack
	f.say("at most %d requests of the account were sent and run within %s, from %.1f s on; %.0f are allowed", most, limitWindow, at.Sub(f.began).Seconds(), allowed)
	if float64(most) > allowed {
		return broken, nil
	}
	return held, nil
}

// mostInWindow returns the largest number of requests that were both sent and run within one
// window, and its beginning.
func (f *fleet) mostInWindow() (most int, at time.Time) {
	type pair struct{ sent, ran time.Time }
	f.mu.Lock()
	defer f.mu.Unlock()
	first := make(map[string]time.Time)
	for _, r := range f.runs {
		if _, ok := first[r.id]; !ok {
			first[r.id] = r.at
		}
	}
	var list []pair
	for id, ran := range first {
		list = append(list, pair{f.sent[id], ran})
	}
	slices.SortFunc(list, func(a, b pair) int { return a.sent.Compare(b.sent) })
	for i := range list {
		end, n := list[i].sent.Add(limitWindow), 0
		for _, p := range list[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, list[i].sent
		}
	}
	return most, at
}
