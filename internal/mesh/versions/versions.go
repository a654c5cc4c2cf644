// Package versions keeps the operators' newest configuration in force on a node.
//
// # Follower
//
// A [Follower] watches the platform's store and takes what other nodes offer. A
// version is checked as a whole before it is put in force by one swap of a
// pointer, and the version in force only rises:
//
//	f := versions.New(client, log)
//	group.Go(func() error { return f.Run(ctx) })
//	table := f.Table()
package versions

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/routes"
	"lavenderdeal/internal/lines"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/store"
	"lavenderdeal/platform"
)

const (
	// callLimit is the time for a call that does not wait. The store usually
	// answers in milliseconds.
	callLimit = 1500 * time.Millisecond
	// watchTime is how long a watch waits in the store: the longest it allows,
	// since each call has its price.
	watchTime = 30 * time.Second
	// gatherTime is the pause after a change, so that versions in quick
	// succession are read together. A version has two seconds to be in force.
	gatherTime = 700 * time.Millisecond
	// settledAfter is the number of looks after a change that find no further one
	// before the next watch begins. A look reads an older copy, which is usually as
	// new and costs a tenth; two of them and a call fit into the two seconds in
	// which a version has to be in force.
	settledAfter = 2
	// checkEvery is the usual time between two checks that the store answers and
	// that the watch has missed nothing: a watch may wait on a connection that
	// went silent. A check reads an older copy, which costs a tenth of a call.
	checkEvery = 1500 * time.Millisecond
	checkLimit = 1 * time.Second
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 150 * time.Millisecond
	longestPause = 1500 * time.Millisecond
)

// Follower follows the configuration. It is safe for use by several goroutines
// at once. Lock order: mu is the only lock.
type Follower struct {
	store *store.Client
	log   *lines.Log
	table atomic.Pointer[routes.Table]

	mu sync.Mutex
	// content is the document of the version in force.
	content []byte
	applied func(*routes.Table)
	// cancel ends the call on which the follower waits.
	cancel context.CancelFunc
}

// New returns a follower without a version.
func New(client *store.Client, log *lines.Log, applied func(*routes.Table)) *Follower {
	return &Follower{store: client, log: log, applied: applied}
}

// Table returns the version in force, or nil.
func (f *Follower) Table() *routes.Table { return f.table.Load() }

// Version returns the number of the version in force, or 0.
func (f *Follower) Version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Above returns the document in force when its version is above a number.
func (f *Follower) Above(version uint64) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Version() <= version {
		return nil
	}
	return f.content
}

// Offer puts a document in force when its version is above that in force. The
// source says where the document came from.
func (f *Follower) Offer(content []byte, source string) {
	f.mu.Lock()
	known := bytes.Equal(content, f.content)
	f.mu.Unlock()
	if len(content) == 0 || known {
		return
	}
	t, err := platform.ReadConfig(content)
	if err != nil {
		f.log.Note("versionRejected", log.Fields{"source": source, "error": err, "inForce": f.Version()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.Version(); t.Version() > before {
		f.content = content
		f.table.Store(t)
		f.log.Note("versionInForce", log.Fields{"version": t.Version(), "before": before, "source": source, "routes": t.Len()})
		if f.applied != nil {
			f.applied(t)
		}
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { f.check(ctx); return nil })
	f.follow(ctx)
	return group.Wait()
}

// check finds a watch that will not answer any more.
func (f *Follower) check(ctx context.Context) {
	for wait.For(ctx, checkEvery/2+rand.N(checkEvery)) {
		f.mu.Lock()
		cancel := f.cancel
		f.mu.Unlock()
		c, err := f.look(ctx)
		if err == nil {
			before := f.Version()
			f.Offer(c.Content, "check")
			if f.Version() == before {
				continue
			}
			err = errors.New("the watch has missed a version")
		}
		if cancel != nil && ctx.Err() == nil {
			f.log.Note("watchEnded", log.Fields{"error": err, "inForce": f.Version()})
			cancel()
		}
	}
}

func (f *Follower) follow(ctx context.Context) {
	var since uint64
	failures := 0
	for ctx.Err() == nil {
		next, err := f.step(ctx, since)
		if err == nil {
			if failures > 0 {
				f.log.Note("storeRegained", log.Fields{"failures": failures})
			}
			failures = 0
			changed := since > 0 && next != since
			since = next
			if changed {
				since = f.settle(ctx, since)
			}
			continue
		}
		if errors.Is(err, store.ErrForgotten) {
			since = 0
			f.log.Note("historyForgotten", log.Fields{"inForce": f.Version()})
			continue
		}
		if ctx.Err() != nil {
			return
		}
		since = 0
		if failures == 0 {
			f.log.Note("storeLost", log.Fields{"error": err, "inForce": f.Version()})
		}
		failures++
		wait.For(ctx, pause(failures))
	}
}

// settle looks for further versions until there are none for a while, and
// returns the revision from which to watch.
func (f *Follower) settle(ctx context.Context, since uint64) uint64 {
	for unchanged := 0; unchanged < settledAfter && wait.For(ctx, gatherTime); {
		c, err := f.look(ctx)
		if err != nil {
			return since
		}
		unchanged++
		if before := f.Version(); len(c.Content) > 0 {
			f.Offer(c.Content, "look")
			if f.Version() > before {
				unchanged = 0
			}
		}
		since = max(since, c.Revision)
	}
	return since
}

// Look reads a copy of the configuration that may be older, and puts it in force
// when it is newer than what is.
func (f *Follower) Look(ctx context.Context) {
	c, err := f.look(ctx)
	if err != nil {
		f.log.Note("lookFailed", log.Fields{"error": err, "inForce": f.Version()})
		return
	}
	f.Offer(c.Content, "look")
}

// look reads a copy of the configuration that may be older.
func (f *Follower) look(ctx context.Context) (platform.Config, error) {
	body, err := f.store.Get(ctx, platform.ConfigList(true), checkLimit)
	if err != nil {
		return platform.Config{}, err
	}
	return platform.ReadConfigPage(body)
}

// step makes one call and returns the revision from which to watch.
func (f *Follower) step(ctx context.Context, since uint64) (uint64, error) {
	path, limit := platform.ConfigList(false), callLimit
	if since > 0 {
		path, limit = platform.ConfigWatch(since, watchTime), watchTime+callLimit
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	body, err := f.store.Get(call, path, limit)
	f.mu.Lock()
	f.cancel = nil
	f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	c, err := platform.ReadConfigPage(body)
	if err != nil {
		return 0, err
	}
	f.Offer(c.Content, "store")
	return max(c.Revision, since), nil
}

// pause returns the time before the next call, with full jitter over the upper
// half, so that nodes that lost the store together do not return together.
func pause(failures int) time.Duration {
	d := min(longestPause, firstPause<<min(failures-1, 6))
	return d/2 + rand.N(d/2)
}
