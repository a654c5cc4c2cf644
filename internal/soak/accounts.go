package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/wait"
	"lavenderdeal/platform/platformtest"
)

const (
	// revokeLimit is the time after the store accepted a version within which all nodes refuse
	// the keys that it took away.
	revokeLimit = 3 * time.Second
	// The requests of an account in limitWindow may exceed its limit by limitOvershoot of it
	// and limitSlack.
	limitWindow    = 5 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 20
	// guestKeys is the number of keys of the guest account. One is taken away about every
	// versionsPerKey versions.
	guestKeys      = 8
	versionsPerKey = 3
	// floodInterval is the mean pause of a caller of the account that floods, which sends
	// several times its limit from all nodes together.
	floodInterval = 20 * time.Millisecond
	// leastServed is the part of the requests of accounts within their limits that must be
	// served in a scenario, at nodes without a fault of their own. leastOfLimit is the part of its
	// limit that an account which floods must be served.
	leastServed  = 0.9
	leastOfLimit = 0.6
)

// credential is a key and the name of its account, which is empty if no version has the key.
type credential struct{ key, account string }

var (
	// steadyCaller has no limit, and all versions have its key.
	steadyCaller = credential{"key-of-the-steady-caller", "steady"}
	flooder      = credential{"key-of-the-flooder", "flooder"}
	stranger     = credential{"key-of-nobody", ""}
)

// limited holds the limits of accounts.
var limited = []platformtest.Account{
	{Name: steadyCaller.account, Keys: []string{steadyCaller.key}},
	{Name: flooder.account, Keys: []string{flooder.key}, Rate: 40, Burst: 20},
}

func guest(i int) credential { return credential{fmt.Sprintf("key-%d-of-the-guest", i), "guest"} }

// hasGuest reports whether a version has a key of the guest account.
func hasGuest(i, version int) bool { return version <= versionsPerKey*i+1 }

// accountsOf returns the accounts of a version.
func accountsOf(version int) []platformtest.Account {
	guests := platformtest.Account{Name: "guest", Rate: 10, Burst: 10}
	for i := range guestKeys {
		if hasGuest(i, version) {
			guests.Keys = append(guests.Keys, guest(i).key)
		}
	}
	return append(slices.Clone(limited), guests)
}

// revocations records when keys were taken away. It is safe for concurrent use.
type revocations struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// accepted records that the store has accepted a version.
func (r *revocations) accepted(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range guestKeys {
		if _, ok := r.acked[guest(i).key]; !ok && !hasGuest(i, version) {
			r.acked[guest(i).key] = time.Now()
		}
	}
}

// isOver reports whether a key must not be accepted at a time.
func (r *revocations) isOver(key string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	acked, ok := r.acked[key]
	return ok && at.After(acked.Add(revokeLimit))
}

// runAccounts sends the requests of the accounts with limits, of keys that are taken away and of
// an unknown key to all nodes until ctx is done.
func (l *callLog) runAccounts(ctx context.Context, f *fleet, seed uint64) error {
	var group errgroup.Group
	for i, inst := range f.instances {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		group.Go(func() error {
			l.runCaller(ctx, inst, random, floodInterval, func() credential { return flooder })
			return nil
		})
		others := rand.New(rand.NewPCG(seed, uint64(2000+i)))
		group.Go(func() error {
			l.runCaller(ctx, inst, others, 4*callInterval, func() credential {
				if others.IntN(4) == 0 {
					return stranger
				}
				return guest(others.IntN(guestKeys))
			})
			return nil
		})
	}
	return group.Wait()
}

// runCaller sends requests with keys over one connection until ctx is done.
func (l *callLog) runCaller(ctx context.Context, inst *instance, random *rand.Rand, interval time.Duration, next func() credential) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		l.sendAs(context.WithoutCancel(ctx), client, inst, fmt.Sprintf("/stock/%d", random.IntN(1000)), false, next())
		wait.For(ctx, interval/2+time.Duration(random.Int64N(int64(interval))))
	}
}

// tryRevoked sends a request with each key that was taken away to all nodes.
func (l *callLog) tryRevoked(ctx context.Context, f *fleet, r *revocations) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, inst := range f.instances {
		for i := range guestKeys {
			if g := guest(i); r.isOver(g.key, time.Now()) {
				l.sendAs(ctx, client, inst, "/stock/1", false, g)
			}
		}
	}
}

// checkAccount reports the violations by one request that a backend server ran.
func checkAccount(c *call, run platformtest.Run, r *revocations, report func(string, ...any)) {
	switch names := platformtest.AccountName(run.Header); {
	case c.as.account == "":
		report("request %s ran with a key that no version has", c.id)
	case len(names) != 1 || names[0] != c.as.account:
		report("request %s of account %q ran as that of %q", c.id, c.as.account, names)
	}
	if r.isOver(c.as.key, c.sent) {
		report("request %s ran, but was sent more than %s after its key was taken away", c.id, revokeLimit)
	}
	for name, values := range run.Header {
		if strings.Contains(strings.Join(values, " "), c.as.key) {
			report("request %s reached its server with its key in header %s", c.id, name)
		}
	}
	if strings.Contains(run.Body+run.URI, c.as.key) {
		report("request %s reached its server with its key", c.id)
	}
}

// checkLimits reports accounts of which more requests than the limit allows were sent and ran
// in one window. ran holds the first run of each request.
func checkLimits(calls *callLog, ran map[string]time.Time, report func(string, ...any)) {
	for _, a := range accountsOf(0) {
		if a.Rate == 0 {
			continue
		}
		type request struct{ sent, ran time.Time }
		var list []request
		for id, at := range ran {
			if c := calls.byID[id]; c != nil && c.as.account == a.Name {
				list = append(list, request{c.sent, at})
			}
		}
		most := (a.Rate*limitWindow.Seconds()+a.Burst)*(1+limitOvershoot) + limitSlack
		highest := 0
		for _, first := range list {
			count := 0
			for _, x := range list {
				if !x.sent.Before(first.sent) && x.ran.Before(first.sent.Add(limitWindow)) {
					count++
				}
			}
			highest = max(highest, count)
		}
		if float64(highest) > most {
			report("%d requests of account %s ran in %s, at most %.1f may", highest, a.Name, limitWindow, most)
		}
	}
}

// checkLogs reports keys in the logs of the nodes.
func checkLogs(f *fleet, report func(string, ...any)) {
	for _, inst := range f.instances {
		text, err := os.ReadFile(filepath.Join(f.dir, inst.name+".log"))
		if err != nil {
			report("read the log of %s: %v", inst.name, err)
			continue
		}
		for _, key := range []string{steadyCaller.key, flooder.key, stranger.key, "-of-the-guest"} {
			if bytes.Contains(text, []byte(key)) {
				report("the log of %s has the key %q", inst.name, key)
			}
		}
	}
}

// checkServed reports accounts that were served too little in a scenario.
func checkServed(calls *callLog, faults *faultLog, duration time.Duration) []string {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	sent, served, floodServed := 0, 0, 0
	for _, c := range calls.byID {
		isServed := c.status == http.StatusOK
		switch {
		case c.as == flooder && isServed:
			floodServed++
		case c.as == steadyCaller && !strings.HasPrefix(c.uri, "/only-") && !faults.affected(c.instance):
			sent++
			if isServed {
				served++
			}
		}
	}
	var violations []string
	if float64(served) < leastServed*float64(sent) {
		violations = append(violations, fmt.Sprintf("%d of %d requests of an account without a limit were served, want %.0f%%", served, sent, leastServed*100))
	}
	limit := accountsOf(0)[1].Rate * duration.Seconds()
	if float64(floodServed) < leastOfLimit*limit {
		violations = append(violations, fmt.Sprintf("%d requests of the account that floods were served, want %.0f%% of its limit of %.0f", floodServed, leastOfLimit*100, limit))
	}
	return violations
}
