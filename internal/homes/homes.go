// Package homes tracks which node is the home of an idempotency key, that is, the
// node that keeps the record of the key. It replicates the roster of homes of the
// node's own service and caches those of the services that the node calls.
//
// # Use
//
// A [Loop] runs until its context ends. The first node of a call gets the home of
// its key from Find; the home calls CheckHome before it runs the call:
//
//	decision, err := loop.Find(ctx, "bookings", home.ParseKey(customer, key))
//	replayOnly, err := loop.CheckHome(home.ParseKey(customer, key))
//
// A node that stops calls Leave, which hands its records over to the next homes,
// and HandOverRemaining once its last call has ended.
//
// # Traffic
//
// Every node queries the nodes of its roster every [period]. One node of each
// service reads the platform every [platformPeriod]. A node of another service
// queries one node of the service when it has a call for it, at most once per
// [cacheTTL].
package homes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/fence"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/home"
	"lavenderdeal/core/idempotency"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/document"
	"lavenderdeal/internal/keyrecords"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	// period is far below fence.ConfirmationTTL, so that a single lost answer does
	// not fence the node.
	period = 2500 * time.Millisecond
	// unconfirmedPeriod replaces period while the node has no confirmed roster.
	unconfirmedPeriod = 250 * time.Millisecond
	// platformPeriod is the interval at which the proposer of a service reads the
	// platform.
	platformPeriod = 10 * time.Second
	// platformFallbackAge is the age of the platform's confirmation at which the
	// other nodes read the platform too.
	platformFallbackAge = 25 * time.Second
	// settleTime is how long the set of nodes must be unchanged before the first
	// roster is written.
	settleTime = 2 * time.Second
	// absenceTimeout is how long a node must be missing before it is removed from the
	// roster.
	absenceTimeout = 10 * time.Second
	queryTimeout   = 1 * time.Second
	fetchTimeout   = 300 * time.Millisecond
	cacheTTL       = 5 * time.Second
	// maxWriteDelay bounds the time between computing a change and starting to write
	// it. The time at which the change takes effect is fixed when it is computed.
	maxWriteDelay        = 1 * time.Second
	writeTimeout         = 5 * time.Second
	maxConcurrentQueries = 8
	objectPrefix         = "homes/"
	queryMethod          = "askHomes"
	handOverMethod       = "handOver"
)

var decoder = document.MustNew[objects.Homes](objects.Schema, "Homes")

// Loop replicates the rosters of homes on one node. Lock order: cacheMu is never
// held together with mu.
type Loop struct {
	View     *atomic.Pointer[fleet.View]
	Platform *platform.Client
	Endpoint *peer.Endpoint
	Records  *keyrecords.Store
	Ring     *explain.Ring
	Metrics  *metrics.Set
	Log      log.Interface

	self messages.Member
	// wakeup makes the loop query the other nodes immediately.
	wakeup chan struct{}

	// mu guards the state of the node's own service.
	mu    sync.Mutex
	fence *fence.Fence
	// absentSince is when each missing voter was first found missing.
	absentSince map[string]time.Time
	// replaced holds the nodes whose address is now used by another process.
	replaced map[string]bool
	// candidates are the entries of the first roster to write, unchanged since
	// candidatesSince.
	candidates      []objects.HomeEntry
	candidatesSince time.Time
	lastRead        time.Time
	fenced          bool
	// left is set once Leave was called.
	left bool
	// openCalls lists the calls that were running when the records were handed
	// over.
	openCalls []idempotency.ID

	// cacheMu guards cache, the rosters of other services by name.
	cacheMu sync.Mutex
	cache   map[string]*cachedRoster
}

// Start sets the node that the loop belongs to. It must be called once, before Run.
func (l *Loop) Start(self messages.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	l.fence = fence.New(self.Id)
	l.absentSince = make(map[string]time.Time)
	l.replaced = make(map[string]bool)
	l.wakeup = make(chan struct{}, 1)
}

// ID returns the id of the node.
func (l *Loop) ID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.Id
}

// Handle registers handlers for the messages that the loop answers.
func (l *Loop) Handle(mux *peer.Mux) {
	peer.Handle(mux, queryMethod, func(_ context.Context, q messages.AskHomes) (messages.HomesState, error) {
		return l.state(q), nil
	})
	peer.Handle(mux, handOverMethod, func(_ context.Context, q messages.HandOver) (messages.HandedOver, error) {
		return l.importRecords(q), nil
	})
}

// Run keeps the roster of the node's own service up to date until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			l.queryAll(ctx, 0)
			l.recordFence()
			l.pause(ctx, l.wakeup)
		}
		return nil
	})
	group.Go(func() error {
		for ctx.Err() == nil {
			l.syncPlatform(ctx)
			l.pause(ctx, nil)
		}
		return nil
	})
	return group.Wait()
}

// CheckHome returns nil if this node may handle a call with the key. If replayOnly
// is true, the node may only return recorded answers and not run the call. The error
// carries a verdict.
func (l *Loop) CheckHome(key home.Key) (replayOnly bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.fence == nil || l.fence.Roster() == nil {
		return false, errHomesUnknown()
	}
	decision := l.fence.Roster().Find(now, key)
	switch d := decision.(type) {
	case home.Refused:
		return false, verdict.NewError(d.Verdict)
	case home.Located:
		if d.ID != l.self.Id {
			return false, verdict.RefuseFor(ruleNotHome, "this node is not the home of the idempotency key", time.Second)
		}
		if !l.fence.Confirmed(now) {
			return false, verdict.RefuseFor("homeFenced", "the home of the idempotency key is cut off from the platform and from the other homes", fence.ConfirmationTTL)
		}
		return d.Moved, nil
	}
	return false, errHomesUnknown()
}

// Status returns the epoch and the number of voters of the roster of the node's own
// service, and whether the roster is confirmed.
func (l *Loop) Status() (epoch uint64, voters int, confirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == nil || l.fence.Roster() == nil {
		return 0, 0, false
	}
	r := l.fence.Roster()
	return r.Epoch(), len(r.Voters()), l.fence.Confirmed(time.Now())
}

func errHomesUnknown() error {
	return verdict.RefuseFor("homesUnknown", "the homes of the service's idempotency keys are not known yet", time.Second)
}

// state returns the state of the node's own service to another node. It prepares
// the epoch that the request names, if any.
func (l *Loop) state(q messages.AskHomes) messages.HomesState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == nil || q.Service != l.self.Service {
		return messages.HomesState{Id: l.self.Id, PlatformAgeMillis: -1}
	}
	now := time.Now()
	if q.Prepare > 0 {
		l.fence.Prepare(now, q.Prepare)
	}
	if q.Epoch > l.fence.Roster().Epoch() {
		l.wakeLocked()
	}
	state := l.fence.State(now)
	answer := messages.HomesState{
		Id:                l.self.Id,
		Epoch:             state.Epoch,
		Prepared:          state.Prepared,
		PlatformAgeMillis: -1,
	}
	if state.PlatformAge >= 0 {
		// Rounded up, so that a confirmation does not appear newer than it is.
		answer.PlatformAgeMillis = state.PlatformAge.Milliseconds() + 1
	}
	if state.Epoch > q.Epoch {
		answer.Homes, _ = json.Marshal(l.fence.Roster().Homes())
	}
	return answer
}

// queryAll queries the voters of the roster, or all nodes of the service if there is
// no roster. It returns how many of them prepared the epoch, and whether all
// answered.
func (l *Loop) queryAll(ctx context.Context, prepare uint64) (prepared int, all bool) {
	targets, epoch := l.targets()
	answered := make([]bool, len(targets))
	var count atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, target := range targets {
		group.Go(func() error {
			state, ok := l.query(ctx, target, epoch, prepare)
			answered[i] = ok
			if ok && state.Id == target.Id && prepare > 0 && state.Prepared >= prepare && state.Epoch < prepare {
				count.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	all = true
	for _, ok := range answered {
		all = all && ok
	}
	return int(count.Load()), all
}

// targets returns the other nodes to query and the epoch of the roster.
func (l *Loop) targets() ([]objects.HomeEntry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var targets []objects.HomeEntry
	roster := l.fence.Roster()
	if roster != nil {
		for _, voter := range roster.Voters() {
			if voter.Id != l.self.Id && !l.replaced[voter.Id] {
				targets = append(targets, voter)
			}
		}
		return targets, roster.Epoch()
	}
	for _, m := range l.View.Load().Members() {
		if m.Service == l.self.Service && m.Id != l.self.Id && isAlive(m.State) {
			targets = append(targets, objects.HomeEntry{Id: m.Id, Peer: m.Peer})
		}
	}
	return targets, 0
}

// query requests the state of one node and adopts its roster if that is newer.
func (l *Loop) query(ctx context.Context, target objects.HomeEntry, epoch, prepare uint64) (messages.HomesState, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sentAt := time.Now()
	request := messages.AskHomes{From: l.self.Id, Service: l.self.Service, Epoch: epoch, Prepare: prepare}
	state, err := peer.Call[messages.HomesState](ctx, l.Endpoint, target.Peer, queryMethod, request)
	if err != nil {
		return state, false
	}
	if state.Id != target.Id {
		// Another process uses the address now, so the target has ended.
		l.mu.Lock()
		l.replaced[target.Id] = true
		l.mu.Unlock()
		return state, true
	}
	l.decodeAndAdopt(state.Homes)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence.RecordAnswer(sentAt, state.Id, fence.State{
		Epoch:       state.Epoch,
		Prepared:    state.Prepared,
		PlatformAge: time.Duration(state.PlatformAgeMillis) * time.Millisecond,
	})
	return state, true
}

// decodeAndAdopt decodes a roster from another node or the platform and adopts it
// if it is newer.
func (l *Loop) decodeAndAdopt(value []byte) (*home.Roster, bool) {
	if len(value) == 0 {
		return nil, false
	}
	homes, err := decoder.Decode(value)
	if err != nil || homes.Service != l.self.Service {
		l.Metrics.Add("homesMalformed", 1)
		return nil, false
	}
	roster := home.New(homes)
	l.adopt(roster)
	return roster, true
}

// adopt replaces the roster if the given one is newer.
func (l *Loop) adopt(roster *home.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fence.Adopt(roster) {
		return
	}
	l.wakeLocked()
	l.Metrics.Add("homesChanged", 1)
	l.Ring.Add(explain.Record{
		At:      time.Now(),
		Kind:    "homesChanged",
		Subject: l.self.Service,
		Detail:  "epoch " + strconv.FormatUint(roster.Epoch(), 10) + " with " + strconv.Itoa(len(roster.Voters())) + " homes of idempotency keys",
	})
}

// recordFence records when this node becomes fenced or unfenced. A fenced node is a
// home that must not run calls with keys because its roster is not confirmed.
func (l *Loop) recordFence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	roster := l.fence.Roster()
	fenced := roster != nil && roster.IsVoter(l.self.Id) && !l.fence.Confirmed(time.Now())
	if fenced == l.fenced {
		return
	}
	l.fenced = fenced
	kind := "homeUnfenced"
	detail := "the roster of homes is confirmed again"
	if fenced {
		kind = "homeFenced"
		detail = "neither the platform nor more than half of the homes confirmed the roster within " + fence.ConfirmationTTL.String()
	}
	l.Metrics.Add(kind, 1)
	l.Log.WithField("service", l.self.Service).Warn(kind)
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: l.self.Service, Detail: detail})
}

// wakeLocked makes the loop query the other nodes immediately. The caller holds mu.
func (l *Loop) wakeLocked() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// pause waits for the current period, a wakeup or the end of ctx.
func (l *Loop) pause(ctx context.Context, wakeup <-chan struct{}) {
	l.mu.Lock()
	d := period
	if !l.fence.Confirmed(time.Now()) && !l.left {
		d = unconfirmedPeriod
	}
	l.mu.Unlock()
	// Jitter keeps the nodes of a service from querying in step.
	timer := time.NewTimer(d*3/4 + rand.N(d/4))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
}

func isAlive(state messages.MemberState) bool {
	switch state {
	case messages.MemberStateStarting, messages.MemberStateReady, messages.MemberStateSuspect:
		return true
	}
	return false
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}
