// Package homes tracks which node is the home of an idempotency key, that is, the
// only node that runs calls with the key and keeps the record of them. It replicates
// the roster of homes of the node's own service and caches those of the services
// that the node calls.
//
// # Rosters
//
// A roster lists the homes of one service. Each change gives it the next epoch, and
// the homes that are not removed are its voters. One node of the service, the
// proposer, writes changes to the platform; the other nodes of the service copy the
// newest roster from each other or from the platform. A home whose roster was not
// recently confirmed as the newest one, by the platform or by more than half of the
// voters, is fenced: it runs no calls with a key. Packages core/home and core/fence
// implement these rules.
//
// # Use
//
// A [Loop] runs until its context ends. The first node of a call gets the home of
// its key from Find; the home calls CheckHome before it runs the call:
//
//	decision, err := loop.Find(ctx, "bookings", home.ParseKey(customer, key))
//	replayOnly, err := loop.CheckHome(home.ParseKey(customer, key))
//
// Before a node stops, it calls Leave, which hands its records over to the next
// homes, and then HandOverRemaining once its last call has ended.
//
// # Traffic
//
// Every node queries the voters of its roster about once per [period]. The proposer
// of each service reads the platform every [platformPeriod]. A node of another
// service queries a node of the service when it has a call with a key for it and its
// cached roster is older than [cacheTTL].
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
	// period is the longest pause between two rounds of queries to the other nodes.
	// It is far below fence.ConfirmationTTL, so that a single lost answer does not
	// fence the node.
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
	// queryTimeout bounds a query to another node of the own service.
	queryTimeout = 1 * time.Second
	// fetchTimeout bounds a query for the roster of another service. It is also the
	// time for which a cached roster is used after such a query failed.
	fetchTimeout = 300 * time.Millisecond
	// cacheTTL is the age at which the cached roster of another service is fetched
	// again.
	cacheTTL = 5 * time.Second
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

// Loop replicates the rosters of homes on one node. The exported fields are set
// before Start. Lock order: cacheMu is never held together with mu.
type Loop struct {
	// View is the node's current view of the fleet.
	View *atomic.Pointer[fleet.View]
	// Platform stores one roster per service.
	Platform *platform.Client
	// Endpoint sends the requests to other nodes.
	Endpoint *peer.Endpoint
	// Records holds the records of the keys whose home is this node. If it is nil,
	// Leave does nothing and records from other nodes are refused.
	Records *keyrecords.Store
	// Ring receives a record of each change of the roster and of the fencing.
	Ring    *explain.Ring
	Metrics *metrics.Set
	Log     log.Interface

	self messages.Member
	// wakeup makes the loop query the other nodes immediately.
	wakeup chan struct{}

	// mu guards the state of the node's own service.
	mu    sync.Mutex
	fence *fence.Fence
	// absentSince is when each missing voter was first found missing, by id.
	absentSince map[string]time.Time
	// replaced holds the ids of nodes whose address is now used by another process.
	replaced map[string]bool
	// candidates are the entries of the first roster to write, unchanged since
	// candidatesSince.
	candidates      []objects.HomeEntry
	candidatesSince time.Time
	lastRead        time.Time
	fenced          bool
	// leaving is set once Leave was called.
	leaving bool
	// openCalls lists the calls that were running when the records were handed
	// over.
	openCalls []idempotency.ID

	// cacheMu guards cache, the rosters of other services by name.
	cacheMu sync.Mutex
	cache   map[string]*cachedRoster
}

// Start sets the member entry of the node that the loop belongs to. It must be called
// once, before Run.
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
		return l.answerQuery(q), nil
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

// CheckHome returns no error if this node is the home of the key and its roster is
// confirmed. If replayOnly is true, the node may only return the recorded answer of
// an earlier call and not run the call. The error carries a verdict.
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
// service, and whether the roster is confirmed as the newest one. Without a roster
// it returns zero values.
func (l *Loop) Status() (epoch uint64, voters int, confirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == nil || l.fence.Roster() == nil {
		return 0, 0, false
	}
	r := l.fence.Roster()
	return r.Epoch(), len(r.Voters()), l.fence.Confirmed(time.Now())
}

// InForce returns the number of nodes that are homes of the keys created now, or 0 without a
// roster.
func (l *Loop) InForce() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == nil || l.fence.Roster() == nil {
		return 0
	}
	return l.fence.Roster().InForce(time.Now())
}

func errHomesUnknown() error {
	return verdict.RefuseFor("homesUnknown", "the homes of the service's idempotency keys are not known yet", time.Second)
}

// answerQuery answers a query of another node with the state of this node's roster,
// and with the roster if it is newer than that of the other node. If the query names
// an epoch to prepare, this node confirms no older epoch from then on.
func (l *Loop) answerQuery(q messages.AskHomes) messages.HomesState {
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

// queryAll queries the other voters of the roster, or all other nodes of the service
// if there is no roster. If prepare is above 0, it asks them to prepare a change to
// that epoch. It returns how many prepared it, and whether all answered.
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

// query requests the state of one node and adopts its roster if that is newer. It
// returns false if no answer was received.
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
// if it is newer. It returns false if the value is empty, malformed or the roster of
// another service.
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

// pause waits for about the current period, or until a wakeup or the end of ctx.
func (l *Loop) pause(ctx context.Context, wakeup <-chan struct{}) {
	l.mu.Lock()
	d := period
	if !l.fence.Confirmed(time.Now()) && !l.leaving {
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

// isAlive reports whether a node in the state may be running and has not announced
// that it leaves.
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
