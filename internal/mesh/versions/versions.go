// Package versions applies the newest version of the operators' configuration on a
// node.
//
// # Follower
//
// A [Follower] gets versions from the platform's object store and from other nodes. It
// validates a version as a whole before it applies it by swapping one pointer, and
// never goes back to a lower version:
//
//	f := versions.New(client, log, notify)
//	group.Go(func() error { return f.Run(ctx) })
//	table := f.Table()
//
// # Watching
//
// Calls to the store are expensive, so only some nodes of a zone watch it and
// announce new versions to the others; SetWatching sets whether this one does. A
// node that does not watch only checks periodically for versions whose announcement
// it missed.
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

	"lavenderdeal/core/delta"
	"lavenderdeal/core/fetchplan"
	"lavenderdeal/core/routes"
	"lavenderdeal/internal/awake"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/store"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

const (
	// storeTimeout bounds a call that is not a watch. The store usually answers in
	// milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// watchTime is how long the store keeps a watch open. It is the maximum that the
	// store allows, since calls are expensive.
	watchTime = 30 * time.Second
	// successionTime is the time after a change in which another one counts as following
	// it. Versions in quick succession are read together.
	successionTime = 2 * time.Second
	// copyMistrust is how long a node does not read copies after one was behind.
	copyMistrust = 5 * time.Second
	// checkInterval is the mean time between checks that the store answers and that
	// the watch has not missed a version, since the connection of a watch may hang.
	// A check may read an older copy, which costs a tenth of a full read.
	checkInterval = 1500 * time.Millisecond
	// checkTimeout bounds a check or another read that may return an older copy.
	checkTimeout = 1 * time.Second
	// idleCheckInterval is the mean time between checks of a node that does not
	// watch. Two other nodes announce versions to it.
	idleCheckInterval = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// The sources of an applied version, for the log, besides the names of nodes.
const (
	sourceStore   = "store"
	sourceCheck   = "check"
	sourceCopy    = "look"
	sourceRefresh = "refresh"
)

// Follower applies new versions of the configuration. It is safe for concurrent
// use. Lock order: mu is the only lock.
type Follower struct {
	store *store.Client
	log   *jsonlog.Log
	table atomic.Pointer[routes.Table]

	mu sync.Mutex
	// content is the document of the applied version, and routeCache its decoded
	// routes.
	content    []byte
	routeCache platform.RouteCache
	// contentRevision is the revision of the store at which content was written, and
	// contentEra the era to which it belongs. history has the changes that led to content.
	contentRevision, contentEra uint64
	history                     delta.History
	// notify is called with each event, without mu, unless it is nil.
	notify func(Event)
	// cancel cancels the current call of follow, or is nil between calls. inWatch is
	// set when the call is a watch.
	cancel  context.CancelFunc
	inWatch bool

	// provenRevision is the store revision up to which the store itself, not a copy, has
	// shown no change after the applied document.
	provenRevision uint64

	// revision is the store revision up to which the node has read, in era. It is 0 when
	// nothing was read in that era.
	revision, era uint64
	// copyBehind is when a copy was last found to be behind.
	copyBehind time.Time
	// readTime is the expected duration of a read of the whole configuration.
	readTime time.Duration

	watching atomic.Bool
	// startWatch wakes follow when the node starts to watch the store.
	startWatch chan struct{}
	// storeDown is set while the store does not answer.
	storeDown atomic.Bool
}

// Event is sent to the function that New was given. It is Applied, Read, StoreRecovered or
// StoreRestored.
type Event interface{ implementsEvent() }

// Applied is sent when a version has been applied.
type Applied struct {
	Version uint64
	// IsUnannounced is set if the node found the version in the store by itself, not
	// because another node has announced it.
	IsUnannounced bool
	// IsFirst is set if no version was in force before.
	IsFirst bool
}

// Read is sent when the store itself, not a copy, has returned the configuration. Version
// was the newest one at At, a time of package awake, or is higher than that one.
type Read struct {
	Version uint64
	At      time.Time
}

// StoreRecovered is sent when the store answers again after an outage.
type StoreRecovered struct{}

// StoreRestored is sent when the store has come back from an older copy of itself. What was
// written there since is gone.
type StoreRestored struct{}

// New returns a follower without a version. Run reads the configuration at its start and
// then checks it periodically, and watches the store only after SetWatching(true). If
// notify is not nil, it is called with each event.
func New(client *store.Client, log *jsonlog.Log, notify func(Event)) *Follower {
	f := &Follower{store: client, log: log, notify: notify, startWatch: make(chan struct{}, 1)}
	client.OnRestored(f.storeRestored)
	return f
}

// storeRestored forgets the revisions of the earlier era and ends a watch from one of them.
// The applied version stays in force, also if the store has an older one now.
func (f *Follower) storeRestored(era uint64) {
	f.mu.Lock()
	f.log.WriteLimited("storeRestored", log.Fields{"era": era, "read": f.revision, "inForce": f.Version()})
	if era > f.era {
		f.revision, f.provenRevision, f.era = 0, 0, era
	}
	if f.inWatch {
		f.cancel()
	}
	f.mu.Unlock()
	f.emit(StoreRestored{})
}

// SetWatching starts or stops watching the store.
func (f *Follower) SetWatching(on bool) {
	if f.watching.Swap(on) == on {
		return
	}
	f.log.WriteLimited("watching", log.Fields{"on": on, "inForce": f.Version()})
	if on {
		select {
		case f.startWatch <- struct{}{}:
		default:
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inWatch {
		f.cancel()
	}
}

// IsStoreDown reports whether the store has not answered the last call of the loops that
// follow it.
func (f *Follower) IsStoreDown() bool { return f.storeDown.Load() }

// IsWatching reports whether the node watches the store.
func (f *Follower) IsWatching() bool { return f.watching.Load() }

// storeFailed records and logs that the store has stopped answering, once for each
// outage.
func (f *Follower) storeFailed(cause error) {
	if !f.storeDown.Swap(true) {
		f.log.WriteLimited("storeLost", log.Fields{"error": cause, "inForce": f.Version()})
	}
}

// storeAnswered records and logs that the store answers again after an outage, and sends
// StoreRecovered.
func (f *Follower) storeAnswered() {
	if f.storeDown.Swap(false) {
		f.log.WriteLimited("storeRegained", log.Fields{"inForce": f.Version()})
		f.emit(StoreRecovered{})
	}
}

func (f *Follower) emit(e Event) {
	if f.notify != nil {
		f.notify(e)
	}
}

// Table returns the routes of the applied version, or nil if there is none.
func (f *Follower) Table() *routes.Table { return f.table.Load() }

// Version returns the number of the applied version, or 0 if there is none.
func (f *Follower) Version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Answer returns what a node needs whose applied version has a number: nothing if this
// node's version is not higher, the deltas from one of its last documents, or this node's
// document if no digests of them are given.
func (f *Follower) Answer(above uint64, digests []string) messages.VersionAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Version() <= above {
		return messages.VersionAnswer{}
	}
	a := messages.VersionAnswer{Revision: int(f.contentRevision), Era: int(f.contentEra)}
	if len(digests) == 0 {
		a.Content = string(f.content)
	} else {
		a.Deltas, _ = f.history.Since(digests...)
	}
	return a
}

// Digests returns the number of the applied version, and the digests of its document and of
// those before it, the latest first.
func (f *Follower) Digests() (version uint64, digests []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Version(), f.history.Digests()
}

// Offer applies the document of another node's answer, or the one that its deltas lead to,
// if it is valid and its version is higher than the applied one. The source is the name of
// the node, for the log.
func (f *Follower) Offer(a messages.VersionAnswer, source string) {
	content := []byte(a.Content)
	if len(a.Deltas) > 0 {
		var err error
		if content, err = f.followDeltas(a.Deltas); err != nil {
			f.log.WriteLimited("deltaRejected", log.Fields{"source": source, "error": err, "inForce": f.Version()})
			return
		}
	}
	c := platform.Config{Content: content, ContentRevision: uint64(max(a.Revision, 0)), Era: uint64(max(a.Era, 0))}
	f.apply(c, source)
	f.mu.Lock()
	isSameEra := c.Era == f.era
	f.mu.Unlock()
	if isSameEra && f.isApplied(content) {
		// The answer proves nothing about changes after its document.
		f.advance(c.ContentRevision, c.Era)
	}
}

// followDeltas returns the document that deltas lead to from one of the last documents.
func (f *Follower) followDeltas(deltas []messages.Delta) ([]byte, error) {
	f.mu.Lock()
	document, err := f.history.Restore(f.content, deltas[0].Before)
	f.mu.Unlock()
	for _, d := range deltas {
		if err != nil {
			return nil, err
		}
		document, err = delta.Apply(document, d)
	}
	return document, err
}

// isApplied reports whether a document is the applied one.
func (f *Follower) isApplied(content []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(content) > 0 && bytes.Equal(content, f.content)
}

// apply applies the document of an answer if it is valid and its version is higher than
// the applied one. The source is where the answer came from, for the log.
func (f *Follower) apply(c platform.Config, source string) {
	content := c.Content
	f.mu.Lock()
	isKnown, known := bytes.Equal(content, f.content), f.routeCache
	f.mu.Unlock()
	if len(content) == 0 || isKnown {
		return
	}
	t, routeCache, err := platform.ReadConfig(content, known)
	if err != nil {
		f.log.WriteLimited("versionRejected", log.Fields{"source": source, "error": err, "inForce": f.Version()})
		return
	}
	f.mu.Lock()
	before := f.Version()
	isNewer := t.Version() > before
	if isNewer {
		f.history.Add(f.content, content)
		f.content, f.routeCache = content, routeCache
		f.contentRevision, f.contentEra = c.ContentRevision, c.Era
		f.table.Store(t)
	}
	f.mu.Unlock()
	if isNewer {
		f.log.WriteLimited("versionInForce", log.Fields{
			"version": t.Version(), "before": before, "source": source, "routes": t.Len(),
			"revision": c.ContentRevision, "storeRevision": c.Revision,
		})
		f.emit(Applied{Version: t.Version(), IsUnannounced: source == sourceStore || source == sourceCheck, IsFirst: before == 0})
	}
}

// Run reads and watches the store until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { f.check(ctx); return nil })
	f.follow(ctx)
	return group.Wait()
}

// check periodically reads the store. It cancels a watch that hangs, and finds
// versions whose announcement a node that does not watch has missed.
func (f *Follower) check(ctx context.Context) {
	every := checkInterval
	for wait.For(ctx, every/2+rand.N(every)) {
		f.mu.Lock()
		cancel := f.cancel
		f.mu.Unlock()
		c, err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		watching := f.watching.Load()
		every = checkInterval
		if err == nil && !watching {
			every = idleCheckInterval
		}
		if err == nil {
			before := f.Version()
			f.apply(c, sourceCheck)
			if f.Version() == before {
				if !watching {
					f.storeAnswered()
				}
				continue
			}
			err = errors.New("watch missed a configuration version")
		} else if !watching {
			f.storeFailed(err)
		}
		if cancel != nil && watching {
			f.log.WriteLimited("watchEnded", log.Fields{"error": err, "inForce": f.Version()})
			cancel()
		}
	}
}

// follow reads the configuration and then watches the store while watching is set.
func (f *Follower) follow(ctx context.Context) {
	// since is a revision of sinceEra.
	var since, sinceEra uint64
	var lastChange time.Time
	failures := 0
	for ctx.Err() == nil {
		if since > 0 && !f.watching.Load() {
			select {
			case <-f.startWatch:
			case <-ctx.Done():
			}
			continue
		}
		era := f.store.Era()
		if era != sinceEra {
			since = 0
		}
		next, err := f.readOrWatch(ctx, since)
		switch {
		case err == nil:
			f.storeAnswered()
			failures = 0
			changed := since > 0 && next != since
			since, sinceEra = next, era
			if era == 0 {
				sinceEra = f.store.Era()
			}
			if changed {
				if time.Since(lastChange) < successionTime {
					since = f.settle(ctx, since)
				}
				lastChange = time.Now()
			}
			continue
		case since > 0 && !f.watching.Load():
			continue
		case errors.Is(err, store.ErrHistoryExpired):
			since = 0
			f.log.WriteLimited("historyForgotten", log.Fields{"inForce": f.Version()})
			continue
		case ctx.Err() != nil:
			return
		}
		since = 0
		f.storeFailed(err)
		failures++
		wait.For(ctx, backoff(failures))
	}
}

// settle reads the configuration until no further version appears for a while, and
// returns the revision from which to watch. A watch would return each version of a
// quick succession with its whole document.
func (f *Follower) settle(ctx context.Context, since uint64) uint64 {
	for wait.For(ctx, fetchplan.BatchDelay(f.ReadTime())) {
		before := f.Version()
		c, err := f.list(ctx, storeTimeout)
		if err != nil {
			f.log.WriteLimited("lookFailed", log.Fields{"error": err, "inForce": before})
			return since
		}
		f.apply(c, sourceStore)
		since = max(since, c.Revision)
		if f.Version() == before {
			break
		}
	}
	return since
}

// Refreshing is how Refresh reads the configuration.
type Refreshing struct {
	// SkipCopy is set to read the store itself at once.
	SkipCopy bool
}

// Refresh reads the configuration from the store until it has the given version, which
// another node has announced. It reads a copy first, and the store itself if the copy is
// behind. It returns an error if a read failed.
func (f *Follower) Refresh(ctx context.Context, version uint64, how Refreshing) error {
	f.mu.Lock()
	readCopy := !how.SkipCopy && time.Since(f.copyBehind) > copyMistrust
	f.mu.Unlock()
	if readCopy {
		c, err := f.readCopy(ctx)
		if err != nil {
			f.log.WriteLimited("lookFailed", log.Fields{"error": err, "inForce": f.Version()})
			return err
		}
		f.apply(c, sourceCopy)
		if f.Version() >= version {
			return nil
		}
		f.mu.Lock()
		f.copyBehind = time.Now()
		f.mu.Unlock()
	}
	c, err := f.list(ctx, checkTimeout)
	if err != nil {
		f.log.WriteLimited("lookFailed", log.Fields{"error": err, "inForce": f.Version()})
		return err
	}
	f.apply(c, sourceRefresh)
	return nil
}

// ReadChanges reads the changes since the last read from the store itself. There are
// usually none, so the answer is short.
func (f *Follower) ReadChanges(ctx context.Context) {
	f.mu.Lock()
	since := f.revision
	f.mu.Unlock()
	path := platform.ConfigWatch(since, time.Millisecond)
	if since == 0 {
		path = platform.ConfigList(false)
	}
	c, err := f.read(ctx, path, checkTimeout)
	if errors.Is(err, store.ErrHistoryExpired) {
		c, err = f.read(ctx, platform.ConfigList(false), checkTimeout)
	}
	if err != nil {
		f.log.WriteLimited("lookFailed", log.Fields{"error": err, "inForce": f.Version()})
		return
	}
	f.apply(c, sourceStore)
}

// Prove reads the store itself, and reports whether the applied version was the newest one
// when the call began. There are usually no changes, so the answer is short.
func (f *Follower) Prove(ctx context.Context, limit time.Duration) (version uint64, proven bool) {
	f.mu.Lock()
	since := f.provenRevision
	if f.contentEra == f.era {
		since = max(since, f.contentRevision)
	}
	f.mu.Unlock()
	path := platform.ConfigWatch(since, time.Millisecond)
	if since == 0 {
		path = platform.ConfigList(false)
	}
	c, err := f.read(ctx, path, limit)
	if errors.Is(err, store.ErrHistoryExpired) {
		c, err = f.read(ctx, platform.ConfigList(false), limit)
		since = 0
	}
	if err != nil {
		f.log.WriteLimited("proofFailed", log.Fields{"error": err, "inForce": f.Version()})
		return 0, false
	}
	f.apply(c, sourceStore)
	return f.prove(c, since)
}

// prove returns the applied version, and whether an answer of the store shows that it is the
// newest one. The answer has been applied. It holds the changes since a revision, or the
// configuration if that is 0.
func (f *Follower) prove(c platform.Config, since uint64) (version uint64, proven bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case c.Unreadable > 0:
		return 0, false
	case len(c.Content) > 0:
		if !bytes.Equal(c.Content, f.content) && c.ContentRevision >= f.contentRevision {
			// The document was rejected.
			return 0, false
		}
	case since == 0 || f.content == nil:
		return 0, false
	}
	f.provenRevision = max(f.provenRevision, c.Revision)
	return f.Version(), true
}

// ReadTime returns how long a read of the whole configuration is expected to take, or 0 if
// there was none.
func (f *Follower) ReadTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readTime
}

// measure updates the expected duration of a read by one that has ended. A longer one
// counts at once, since the store may have become slow.
func (f *Follower) measure(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTime = max(took, (f.readTime+took)/2)
}

// readCopy reads the configuration from a copy, which may be older than the store.
func (f *Follower) readCopy(ctx context.Context) (platform.Config, error) {
	f.mu.Lock()
	inForce, revision := f.Version(), f.revision
	f.mu.Unlock()
	started := time.Now()
	c, err := f.get(ctx, platform.ConfigList(true), checkTimeout)
	f.measure(time.Since(started))
	if err != nil {
		return c, err
	}
	// A copy proves nothing about changes after its document.
	f.advance(c.ContentRevision, c.Era)
	if inForce > 0 {
		f.log.WriteLimited("copyRead", log.Fields{
			"inForce": inForce, "read": revision, "revision": c.ContentRevision, "storeRevision": c.Revision,
			"tookMs": time.Since(started).Milliseconds(),
		})
	}
	return c, nil
}

// poll reads the changes since the last call. There are usually none, while the whole
// document may be long.
func (f *Follower) poll(ctx context.Context) (platform.Config, error) {
	f.mu.Lock()
	since := f.revision
	f.mu.Unlock()
	if since == 0 {
		return f.readCopy(ctx)
	}
	c, err := f.read(ctx, platform.ConfigPoll(since), checkTimeout)
	if errors.Is(err, store.ErrHistoryExpired) {
		return f.readCopy(ctx)
	}
	return c, err
}

// list reads the configuration from the store itself.
func (f *Follower) list(ctx context.Context, limit time.Duration) (platform.Config, error) {
	started := time.Now()
	c, err := f.read(ctx, platform.ConfigList(false), limit)
	f.measure(time.Since(started))
	return c, err
}

// read makes a call to the store that returns the configuration or its changes, up to the
// revision of the answer.
func (f *Follower) read(ctx context.Context, path string, limit time.Duration) (platform.Config, error) {
	c, err := f.get(ctx, path, limit)
	f.advance(c.Revision, c.Era)
	return c, err
}

// advance records that the node has read up to a revision of an era of the store.
func (f *Follower) advance(revision, era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision == 0 || era < f.era:
	case era > f.era:
		f.revision, f.provenRevision, f.era = revision, 0, era
	default:
		f.revision = max(f.revision, revision)
	}
}

// get makes a call to the store that returns the configuration or its changes.
func (f *Follower) get(ctx context.Context, path string, limit time.Duration) (platform.Config, error) {
	// A read that succeeds was answered in the era in which it began.
	era := f.store.Era()
	body, err := f.store.Get(ctx, path, limit)
	if err != nil {
		return platform.Config{}, err
	}
	c, err := platform.ReadConfigPage(body)
	if c.Era = era; era == 0 {
		c.Era = f.store.Era()
	}
	if c.Unreadable > 0 {
		f.log.WriteLimited("configUnreadable", log.Fields{"count": c.Unreadable, "revision": c.Revision, "inForce": f.Version()})
	}
	return c, err
}

// readOrWatch reads the configuration if since is 0 and watches for changes otherwise.
// It applies the result if it is newer and returns the revision from which to watch.
func (f *Follower) readOrWatch(ctx context.Context, since uint64) (uint64, error) {
	path, limit := platform.ConfigList(false), storeTimeout
	if since > 0 {
		path, limit = platform.ConfigWatch(since, watchTime), watchTime+storeTimeout
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel, f.inWatch = cancel, since > 0
	f.mu.Unlock()
	started := awake.Now()
	c, err := f.read(callCtx, path, limit)
	f.mu.Lock()
	f.cancel, f.inWatch = nil, false
	f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	f.apply(c, sourceStore)
	if since == 0 && len(c.Content) > 0 {
		if version, proven := f.prove(c, since); proven {
			f.emit(Read{version, started})
		}
	}
	return max(c.Revision, since), nil
}

// backoff returns the pause after a number of failed calls in a row. It doubles with
// each failure up to maxBackoff. Jitter over its upper half keeps nodes that lost the
// store together from retrying together.
func backoff(failures int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures-1, 6))
	return d/2 + rand.N(d/2)
}

func (Applied) implementsEvent()        {}
func (Read) implementsEvent()           {}
func (StoreRecovered) implementsEvent() {}
func (StoreRestored) implementsEvent()  {}
