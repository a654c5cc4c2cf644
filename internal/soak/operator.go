package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/wait"
	"lavenderdeal/platform/platformtest"
)

const (
	// applyLimit is the time within which a node without recent faults must apply a
	// version, from the time at which the store accepted it.
	applyLimit = 2 * time.Second
	// faultFreeTime is how long before a version is written a node must have been free of
	// faults for applyLimit to hold.
	faultFreeTime = 3 * time.Second
	// rollbackSlack is how long after the response that showed a version as applied a
	// request may still be served with an older version.
	rollbackSlack = 250 * time.Millisecond
	// changeInterval is the typical time between two versions; the actual time is random,
	// from 0.25 to 1.25 times as long.
	changeInterval = 900 * time.Millisecond
	// restoreInterval is the typical age of the copy that the store comes back from, and
	// maxRestoreTime bounds for how long it is away before; the actual age is random, from
	// 0.25 to 1.25 times as long.
	restoreInterval = 2500 * time.Millisecond
	maxRestoreTime  = 600 * time.Millisecond
	// pollInterval is the time between two requests that query a node's version.
	pollInterval = 120 * time.Millisecond
)

// operator writes versions of the configuration and checks that the nodes apply them.
// Besides the callers' routes, each version has a route of its own, so that a request to it
// shows whether a node has applied exactly that version.
type operator struct {
	fleet    *fleet
	calls    *callLog
	faultLog *faultLog
	revoked  *revocations

	// writing is held while the store is written, before mu.
	writing sync.Mutex

	mu sync.Mutex
	// acked is when the store accepted each version.
	acked      map[int]time.Time
	newest     int
	violations []string
}

func newOperator(f *fleet, calls *callLog, faults *faultLog) *operator {
	return &operator{fleet: f, calls: calls, faultLog: faults, revoked: &revocations{acked: make(map[string]time.Time)}, acked: make(map[int]time.Time)}
}

// writeVersion writes a version to the store.
func (o *operator) writeVersion(version int) {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.writeVersionLocked(version)
}

// restoreStore replaces what the store holds by older copies of it, until ctx is done. It
// writes the newest version again each time.
func (o *operator) restoreStore(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		c := o.fleet.store.Copy()
		if !wait.For(ctx, restoreInterval/4+time.Duration(random.Int64N(int64(restoreInterval)))) {
			return
		}
		end := o.faultLog.begin(nil, "store restored from an older copy", false)
		o.fleet.store.SetRefusing(true)
		wait.For(ctx, time.Duration(random.Int64N(int64(maxRestoreTime))))
		o.writing.Lock()
		o.fleet.store.Restore(c)
		o.writeVersionLocked(o.newestVersion())
		o.writing.Unlock()
		o.fleet.store.SetRefusing(false)
		end()
	}
}

func (o *operator) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

func (o *operator) writeVersionLocked(version int) {
	routes := []platformtest.Route{
		{Name: "stock", Host: host, Prefix: "/stock/", Kind: "safe", TimeoutMs: 1000, TargetMs: 300, MaxServers: 2, Service: services[0]},
		{Name: "booking", Host: host, Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, TargetMs: 300, Rank: 1, MaxServers: 2, Service: services[1]},
		{Name: "own", Host: host, Prefix: ownRoute(version), Kind: "safe", TimeoutMs: 1000, TargetMs: 300, MaxServers: 2, Service: services[0]},
	}
	cfg := platformtest.Config{Version: version, Routes: routes, Services: services}
	if o.calls.hasAccounts {
		cfg.Accounts = accountsOf(version)
	}
	o.fleet.store.Configure(cfg)
	o.revoked.accepted(version)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[version], o.newest = time.Now(), version
}

// ownRoute returns the path prefix that only the given version routes.
func ownRoute(version int) string { return fmt.Sprintf("/only-%d/", version) }

// writeVersions writes new versions, some of them only 60 ms after the last one, until ctx
// is done.
func (o *operator) writeVersions(ctx context.Context, random *rand.Rand) {
	version := o.newest
	for {
		d := changeInterval/4 + time.Duration(random.Int64N(int64(changeInterval)))
		if random.IntN(4) == 0 {
			d = 60 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		version += 1 + random.IntN(3)
		o.writeVersion(version)
	}
}

// pollVersions queries the applied version of all nodes until ctx is done.
func (o *operator) pollVersions(ctx context.Context) error {
	var group errgroup.Group
	for _, inst := range o.fleet.instances {
		group.Go(func() error {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			o.pollNode(ctx, client, inst)
			return nil
		})
	}
	return group.Wait()
}

// pollNode sends requests for the versions' own routes to a node until ctx is done, and
// reports a violation when the node is late to apply a version or goes back to an older one.
func (o *operator) pollNode(ctx context.Context, client *http.Client, inst *instance) {
	// seen is the highest version that the current process is known to have applied, and
	// seenAt is when the response that showed this arrived.
	seen, starts := 0, 0
	var seenAt time.Time
	for n := 0; ctx.Err() == nil; n++ {
		version := o.newestVersion()
		if n%3 == 2 && seen > 0 {
			// Check that the node does not apply an older version again.
			version = o.previous(seen)
		}
		if now := inst.startCount(); now != starts {
			seen, starts = 0, now
		}
		c := o.calls.send(context.WithoutCancel(ctx), client, inst, ownRoute(version), false)
		if inst.startCount() == starts {
			// Any other status is taken as proof that the node has the version's route.
			isApplied := c.status != 0 && c.status != http.StatusNotFound && c.status != http.StatusServiceUnavailable
			switch {
			case isApplied && version >= seen:
				if version > seen {
					seen, seenAt = version, c.ended
				}
			case isApplied && c.sent.Sub(seenAt) > rollbackSlack:
				o.report("%s went back from version %d to %d", inst.name, seen, version)
			case c.status == http.StatusNotFound && version > seen:
				o.checkApplied(inst, version, c)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// previous returns the newest version that is older than the given one, or 0 if there is
// none.
func (o *operator) previous(version int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := 0
	for v := range o.acked {
		if v < version && v > newest {
			newest = v
		}
	}
	return newest
}

// checkApplied is called for a request c to the version's own route that returned status
// 404. It reports a violation if the version is the newest, the request was sent more than
// applyLimit after the store accepted it, and the node had no recent faults.
func (o *operator) checkApplied(inst *instance, version int, c *call) {
	o.mu.Lock()
	due := o.acked[version].Add(applyLimit)
	isNewest := o.newest == version
	o.mu.Unlock()
	if isNewest && c.sent.After(due) && o.faultLog.isUnaffected(inst, due.Add(-applyLimit-faultFreeTime), c.sent) {
		o.report("%s has not applied version %d %s after the store accepted it", inst.name, version, c.sent.Sub(due.Add(-applyLimit)))
	}
}

// report records a violation of an invariant.
func (o *operator) report(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}
