// Package homes keeps a node in step with the homes of idempotency keys: the
// roster of its own service, and those of the services that it calls.
//
// # Use
//
// A [Loop] runs until its context ends. The first node of a call asks Find for
// the home of its key; the home itself asks Own before it runs the call:
//
//	decision, err := loop.Find(ctx, "bookings", home.ParseKey(customer, key))
//	knownOnly, err := loop.Own(home.ParseKey(customer, key))
//
// A node that stops calls Leave, which hands its records over to the next homes,
// and Finish once its last call has ended.
//
// # Traffic
//
// Every node asks the nodes of its roster every [period]; one node of each
// service reads the platform every [platformPeriod]. Nodes of other services ask
// one node of the service when they have a call for it, at most every
// [cacheLimit].
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
	// period is far below fence.Limit, so that a lost answer does not matter.
	period = 2500 * time.Millisecond
	// eagerPeriod holds while the node has no confirmed roster.
	eagerPeriod = 250 * time.Millisecond
	// platformPeriod is that of the node that reads for its service.
	platformPeriod = 10 * time.Second
	// platformPatience is the age of the platform's confirmation at which the
	// other nodes read too.
	platformPatience = 25 * time.Second
	// settle is how long no node must come or go before the first roster is
	// written.
	settle = 2 * time.Second
	// absence is how long a node must be missing before it is removed.
	absence      = 10 * time.Second
	askTimeout   = 1 * time.Second
	fetchTimeout = 300 * time.Millisecond
	cacheLimit   = 5 * time.Second
	// writeStart bounds the time from the decision on a change to its write.
	writeStart     = 1 * time.Second
	writeTimeout   = 5 * time.Second
	parallel       = 8
	objectPrefix   = "homes/"
	askMethod      = "askHomes"
	handOverMethod = "handOver"
)

var decoder = document.MustNew[objects.Homes](objects.Schema, "Homes")

// Loop is the homes as one node knows them. Lock order: cacheMu is never held
// together with mu.
type Loop struct {
	View     *atomic.Pointer[fleet.View]
	Platform *platform.Client
	Endpoint *peer.Endpoint
	Records  *keyrecords.Store
	Ring     *explain.Ring
	Metrics  *metrics.Set
	Log      log.Interface

	self messages.Member
	kick chan struct{}

	// mu guards what is known of the own service.
	mu       sync.Mutex
	fence    *fence.Fence
	absent   map[string]time.Time
	replaced map[string]bool
	// first is what the first roster would be, and firstAt since when.
	first   []objects.HomeEntry
	firstAt time.Time
	readAt  time.Time
	fenced  bool
	left    bool
	// open lists the calls that ran when the records were handed over.
	open []idempotency.ID

	cacheMu sync.Mutex
	cache   map[string]*cached
}

// Start tells the loop which node it belongs to. It is called once, before Run.
func (l *Loop) Start(self messages.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	l.fence = fence.New(self.Id)
	l.absent = make(map[string]time.Time)
	l.replaced = make(map[string]bool)
	l.kick = make(chan struct{}, 1)
}

// ID returns the id of the node.
func (l *Loop) ID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.Id
}

// Handle registers the messages that the loop answers.
func (l *Loop) Handle(mux *peer.Mux) {
	peer.Handle(mux, askMethod, func(_ context.Context, q messages.AskHomes) (messages.HomesState, error) {
		return l.answer(q), nil
	})
	peer.Handle(mux, handOverMethod, func(_ context.Context, q messages.HandOver) (messages.HandedOver, error) {
		return l.takeOver(q), nil
	})
}

// Run follows the rosters until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			l.askAll(ctx, 0)
			l.noteFence()
			l.pause(ctx, l.kick)
		}
		return nil
	})
	group.Go(func() error {
		for ctx.Err() == nil {
			l.visitPlatform(ctx)
			l.pause(ctx, nil)
		}
		return nil
	})
	return group.Wait()
}

// CheckHome says whether this node may run a call with the key. When knownOnly is set
// it may answer from its records only. The error carries a verdict.
func (l *Loop) CheckHome(key home.Key) (knownOnly bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.fence == nil || l.fence.Roster() == nil {
		return false, unknownHomes()
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
	return false, unknownHomes()
}

// Status describes the homes of the own service for operators.
func (l *Loop) Status() (epoch uint64, voters int, confirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == nil || l.fence.Roster() == nil {
		return 0, 0, false
	}
	r := l.fence.Roster()
	return r.Epoch(), len(r.Voters()), l.fence.Confirmed(time.Now())
}

func unknownHomes() error {
	return verdict.RefuseFor("homesUnknown", "the homes of the service's idempotency keys are not known yet", time.Second)
}

// answer tells another node what this one knows of its own service.
func (l *Loop) answer(q messages.AskHomes) messages.HomesState {
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
		l.wake()
	}
	state := l.fence.State(now)
	answer := messages.HomesState{
		Id:                l.self.Id,
		Epoch:             state.Epoch,
		Prepared:          state.Prepared,
		PlatformAgeMillis: -1,
	}
	if state.PlatformAge >= 0 {
		// Rounded up: a confirmation must not look newer than it is.
		answer.PlatformAgeMillis = state.PlatformAge.Milliseconds() + 1
	}
	if state.Epoch > q.Epoch {
		answer.Homes, _ = json.Marshal(l.fence.Roster().Homes())
	}
	return answer
}

// askAll asks the roster's nodes, or all nodes of the service while there is no
// roster. It returns how many of them prepared the epoch, and whether all
// answered.
func (l *Loop) askAll(ctx context.Context, prepare uint64) (prepared int, all bool) {
	targets, epoch := l.targets()
	answered := make([]bool, len(targets))
	var count atomic.Int64
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, target := range targets {
		group.Go(func() error {
			state, ok := l.ask(ctx, target, epoch, prepare)
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

// targets returns the other nodes to ask.
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

func (l *Loop) ask(ctx context.Context, target objects.HomeEntry, epoch, prepare uint64) (messages.HomesState, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentAt := time.Now()
	question := messages.AskHomes{From: l.self.Id, Service: l.self.Service, Epoch: epoch, Prepare: prepare}
	state, err := peer.Call[messages.HomesState](ctx, l.Endpoint, target.Peer, askMethod, question)
	if err != nil {
		return state, false
	}
	if state.Id != target.Id {
		// Another process has the address, so the one that had it is gone.
		l.mu.Lock()
		l.replaced[target.Id] = true
		l.mu.Unlock()
		return state, true
	}
	l.learn(state.Homes)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence.RecordAnswer(sentAt, state.Id, fence.State{
		Epoch:       state.Epoch,
		Prepared:    state.Prepared,
		PlatformAge: time.Duration(state.PlatformAgeMillis) * time.Millisecond,
	})
	return state, true
}

// learn takes over a roster that another node or the platform gave.
func (l *Loop) learn(value []byte) (*home.Roster, bool) {
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

func (l *Loop) adopt(roster *home.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fence.Adopt(roster) {
		return
	}
	l.wake()
	l.Metrics.Add("homesChanged", 1)
	l.Ring.Add(explain.Record{
		At:      time.Now(),
		Kind:    "homesChanged",
		Subject: l.self.Service,
		Detail:  "epoch " + strconv.FormatUint(roster.Epoch(), 10) + " with " + strconv.Itoa(len(roster.Voters())) + " homes of idempotency keys",
	})
}

// noteFence records when this node stops or starts running calls with keys.
func (l *Loop) noteFence() {
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

// wake makes the loop ask at once. The caller holds mu.
func (l *Loop) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *Loop) pause(ctx context.Context, kick <-chan struct{}) {
	l.mu.Lock()
	d := period
	if !l.fence.Confirmed(time.Now()) && !l.left {
		d = eagerPeriod
	}
	l.mu.Unlock()
	// Jitter keeps the nodes of a service apart.
	timer := time.NewTimer(d*3/4 + rand.N(d/4))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-kick:
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
