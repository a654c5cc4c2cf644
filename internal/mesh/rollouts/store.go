package rollouts

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/rollout"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/store"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch waits for a change, and watchSlack the time beyond after
	// which it is given up. Calls are priced; what a watch that hangs would miss is read when
	// servers of a new version appear.
	watchWait  = 25 * time.Second
	watchSlack = 2 * time.Second
	// idleDelay is the time between two looks whether this node watches the store, and
	// retryDelay the pause after a failed call.
	idleDelay  = 1 * time.Second
	retryDelay = 500 * time.Millisecond
	// The status of an order that cannot be followed names its own target.
	reasonFault = "the order cannot be followed: "
)

// statuses holds the states of the store by the phase of the verdict.
var statuses = map[rollout.Phase]string{
	rollout.Trial:      platform.RolloutRunning,
	rollout.CutOver:    platform.RolloutRunning,
	rollout.Completed:  platform.RolloutCompleted,
	rollout.RolledBack: platform.RolloutRolledBack,
}

// follow watches the orders in the store while this node watches it.
func (r *Rollouts) follow(ctx context.Context) {
	// since is a revision of sinceEra.
	var since, sinceEra uint64
	for ctx.Err() == nil {
		if era := r.store.Era(); era != sinceEra {
			if sinceEra != 0 {
				since = 0
			}
			sinceEra = era
		}
		if !r.isWatching() {
			since = 0
			wait.For(ctx, idleDelay)
			continue
		}
		if since == 0 && !r.hasList() {
			// The watch goes on from the revision of the copy.
			since = r.readFirst(ctx)
		}
		next, err := r.readOrWatch(ctx, since)
		since = next
		if err != nil {
			since = 0
			if !errors.Is(err, store.ErrHistoryExpired) {
				wait.For(ctx, retryDelay)
			}
		}
	}
}

// readOrWatch lists the orders, or waits for a change since a revision. It returns the
// revision from which to continue.
func (r *Rollouts) readOrWatch(ctx context.Context, since uint64) (uint64, error) {
	if since == 0 {
		list, err := r.list(ctx)
		return list.Revision, err
	}
	changes, err := r.get(ctx, platform.RolloutWatch(since, watchWait), watchWait+watchSlack)
	if err != nil {
		return 0, err
	}
	r.apply(ctx, changes, fromWatch)
	return max(since, changes.Revision), nil
}

// list reads all orders from the store.
func (r *Rollouts) list(ctx context.Context) (platform.Rollouts, error) {
	list, err := r.get(ctx, platform.RolloutList(false), storeTimeout)
	if err == nil {
		r.apply(ctx, list, fromList)
	}
	return list, err
}

// get makes a call to the store that returns orders.
func (r *Rollouts) get(ctx context.Context, path string, timeout time.Duration) (platform.Rollouts, error) {
	// A read that succeeds was answered in the era in which it began.
	era := r.store.Era()
	body, err := r.store.Get(ctx, path, timeout)
	r.setCanWrite(err)
	if err != nil {
		return platform.Rollouts{}, err
	}
	list, err := platform.ReadRollouts(body)
	if list.Era = era; era == 0 {
		list.Era = r.store.Era()
	}
	return list, err
}

// refresh reads all orders because nobody seems to decide on one of them.
func (r *Rollouts) refresh(ctx context.Context) {
	r.mu.Lock()
	r.lastRefresh = time.Now()
	r.mu.Unlock()
	_, _ = r.list(ctx)
}

// readFirst reads the orders from a copy when the node has started. What the copy lacks,
// the node that decides tells. It returns the revision of the copy, or 0 if it failed.
func (r *Rollouts) readFirst(ctx context.Context) (revision uint64) {
	list, err := r.get(ctx, platform.RolloutList(true), storeTimeout)
	if err == nil {
		r.apply(ctx, list, fromCopy)
	}
	return list.Revision
}

// hasList reports whether the orders were read from the store or another node.
func (r *Rollouts) hasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isListed
}

func (r *Rollouts) setCanWrite(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canWrite = err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrHistoryExpired)
}

// source is where orders come from. A list shows also which ones were withdrawn. What a
// starting node reads from a copy is not news for the others.
type source uint8

const (
	fromWatch source = iota
	fromList
	fromCopy
)

// apply merges what the store holds, and tells the other nodes what is new.
func (r *Rollouts) apply(ctx context.Context, list platform.Rollouts, from source) {
	if list.Unreadable > 0 {
		r.log.WriteLimited("rolloutUnreadable", log.Fields{"objects": list.Unreadable})
	}
	now := time.Now()
	present := make(map[string]bool, len(list.Orders))
	var news []messages.RolloutOrder
	var faulty []platform.RolloutOrder
	var lost []lostStatus
	r.mu.Lock()
	r.isListed = true
	for _, o := range list.Orders {
		if o.Fault != "" {
			faulty = append(faulty, o)
			list.Deleted = append(list.Deleted, o.Service)
			continue
		}
		present[o.Service] = true
		if r.mergeLocked(now, r.fromStoreLocked(now, o, list.Era), false) {
			news = append(news, r.orders[o.Service].message(now))
		}
		known := r.orders[o.Service]
		if known == nil || known.Id != o.ID() {
			continue
		}
		known.hasStatus = o.Status.Order == o.ID()
		if from == fromCopy {
			continue
		}
		if known.isLost = known.Settled && known.isFinal() && !hasVerdict(o); known.isLost {
			known.statusTried = now
			lost = append(lost, lostStatus{o, known.status(now)})
		}
	}
	withdrawn := list.Deleted
	if from == fromList && !list.More {
		for service := range r.orders {
			if !present[service] {
				withdrawn = append(withdrawn, service)
			}
		}
	}
	for _, service := range withdrawn {
		o := r.orders[service]
		if present[service] || o == nil || o.Phase == messages.RolloutOrderPhaseWithdrawn {
			continue
		}
		if o.Phase == messages.RolloutOrderPhaseCompleted && o.Settled {
			// The servers of the old version have stopped.
			o.isLost = false
			continue
		}
		m := o.message(now)
		m.Phase, m.Settled, m.Revision, m.Era = messages.RolloutOrderPhaseWithdrawn, true, int(list.Revision), int(list.Era)
		if !isNewer(m, o.RolloutOrder) && m.Revision != o.Revision {
			continue
		}
		m.Weight, m.Servers, m.Reason = 0, nil, ""
		if r.mergeLocked(now, m, false) {
			news = append(news, m)
		}
	}
	r.mu.Unlock()
	for _, o := range news {
		r.logOrder("rolloutKnown", o, nil)
	}
	if len(news) > 0 && from != fromCopy {
		r.announce(ctx, news)
	}
	if !r.isWatching() {
		return
	}
	for _, o := range faulty {
		r.writeFault(ctx, o)
	}
	for _, l := range lost {
		r.log.WriteLimited("rolloutStatusLost", log.Fields{"service": l.order.Service, "order": l.status.Order, "state": l.status.State})
		r.putStatus(ctx, l.order.Service, l.order.Revision, l.status)
	}
}

// lostStatus is the final status of an order that the store has held and lost.
type lostStatus struct {
	order  platform.RolloutOrder
	status platform.RolloutStatus
}

// hasVerdict reports whether the status of an order is a final one, and not of an earlier order.
func hasVerdict(o platform.RolloutOrder) bool {
	s := o.Status
	return isStatusOf(s, o) && (s.State == platform.RolloutCompleted || s.State == platform.RolloutRolledBack)
}

func isStatusOf(s platform.RolloutStatus, o platform.RolloutOrder) bool {
	return s.Target == o.Target && (s.Order == "" || s.Order == o.ID())
}

// status returns the final status of an order with a verdict.
func (o *order) status(now time.Time) platform.RolloutStatus {
	s := platform.RolloutStatus{
		State: platform.RolloutRolledBack, Target: o.Target, Order: o.Id, Reason: o.Reason, Versions: o.Versions,
		Started: now.Add(-now.Sub(o.seen)).UnixMilli(),
	}
	if o.Phase == messages.RolloutOrderPhaseCompleted {
		s.State = platform.RolloutCompleted
	}
	return s
}

// fromStoreLocked returns the state of an order that the store holds.
func (r *Rollouts) fromStoreLocked(now time.Time, o platform.RolloutOrder, era uint64) messages.RolloutOrder {
	m := messages.RolloutOrder{
		Service: o.Service, Id: o.ID(), Target: o.Target, DurationMs: int(o.Duration.Milliseconds()),
		Revision: int(o.Revision), Era: int(era), Phase: messages.RolloutOrderPhaseTrial,
	}
	if known := r.orders[o.Service]; known != nil && known.Id == m.Id {
		m.AgeMs = int(now.Sub(known.seen).Milliseconds())
	} else if o.Status.Order == m.Id && o.Status.Started > 0 {
		// The clocks of nodes differ by seconds at most times.
		m.AgeMs = int(min(max(0, now.UnixMilli()-o.Status.Started), 2*o.Duration.Milliseconds()))
	}
	if !isStatusOf(o.Status, o) {
		return m
	}
	switch o.Status.State {
	case platform.RolloutCompleted:
		m.Phase, m.Settled, m.Reason, m.Versions = messages.RolloutOrderPhaseCompleted, true, o.Status.Reason, o.Status.Versions
	case platform.RolloutRolledBack:
		m.Phase, m.Settled, m.Reason = messages.RolloutOrderPhaseRolledBack, true, o.Status.Reason
	}
	return m
}

// announce tells all nodes at once what the store holds.
func (r *Rollouts) announce(ctx context.Context, news []messages.RolloutOrder) {
	var group errgroup.Group
	for _, e := range r.fleet.Entries() {
		if e.Node == r.node {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if told, err := r.call(ctx, e.Peer, messages.RolloutTell{Orders: news}); err == nil {
				r.merge(told.Orders)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// writeStatus writes the status of an order, if the order is still the one with the ID and
// has no verdict yet. It returns true if the store holds the status.
func (r *Rollouts) writeStatus(ctx context.Context, service, id string, s rollout.Step) bool {
	// An earlier write without an answer may have been done, or the verdict of another node.
	list, err := r.list(ctx)
	if err != nil {
		return false
	}
	for _, o := range list.Orders {
		if o.Service != service || o.Fault != "" || o.ID() != id {
			continue
		}
		r.mu.Lock()
		known := r.orders[service]
		isOpen := known != nil && known.Id == id && rank(known.RolloutOrder) < rankSettled
		status := platform.RolloutStatus{State: statuses[s.Phase], Target: o.Target, Order: id, Reason: s.Reason}
		if isOpen {
			status.Started = time.Now().Add(-time.Since(known.seen)).UnixMilli()
			if s.Phase == rollout.Completed {
				status.Versions = union(slices.Collect(maps.Keys(r.versions[service])), []string{o.Target})
			}
		}
		r.mu.Unlock()
		if !isOpen || s.Phase == rollout.Trial && o.Status.Order == id {
			return false
		}
		if !r.putStatus(ctx, service, o.Revision, status) {
			return false
		}
		r.mu.Lock()
		if known.Id == id {
			known.Versions = status.Versions
		}
		r.mu.Unlock()
		return true
	}
	return false
}

// putStatus writes a status on the condition that the object has the revision.
func (r *Rollouts) putStatus(ctx context.Context, service string, revision uint64, s platform.RolloutStatus) bool {
	path, content, err := platform.RolloutStatusPut(service, revision, s)
	if err == nil {
		err = r.store.Put(ctx, path, content, storeTimeout)
		r.setCanWrite(err)
	}
	if err != nil {
		r.log.WriteLimited("rolloutStatusNotWritten", log.Fields{"service": service, "state": s.State, "error": err})
		return false
	}
	r.mu.Lock()
	if o := r.orders[service]; o != nil && o.Id == s.Order {
		o.hasStatus, o.isLost = true, false
	}
	r.mu.Unlock()
	r.log.WriteLimited("rolloutStatus", log.Fields{"service": service, "target": s.Target, "state": s.State, "reason": s.Reason, "order": s.Order})
	return true
}

// writeFault tells the operators why an order cannot be followed.
func (r *Rollouts) writeFault(ctx context.Context, o platform.RolloutOrder) {
	reason := reasonFault + o.Fault
	r.log.WriteLimited("rolloutFault", log.Fields{"service": o.Service, "fault": o.Fault})
	if o.Status.State == platform.RolloutRolledBack && o.Status.Reason == reason {
		return
	}
	r.putStatus(ctx, o.Service, o.Revision, platform.RolloutStatus{State: platform.RolloutRolledBack, Target: o.Target, Order: o.ID(), Reason: reason})
}
