// Package quota keeps the limits of client accounts over all nodes. It asks the home of an
// account before a request of it runs, and is itself the home of some accounts.
//
// The home is chosen among the nodes of the zone by rendezvous hashing. If it does not
// answer, the next one is asked:
//
//	q := quota.New(node, zone, zones, bounds, members, versions, log)
//	q.Handle(&mux)
//	group.Go(func() error { return q.Run(ctx, endpoint) })
//	if after, ok := q.Take(ctx, account); !ok {
//		refuse(after)
//	}
package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/accounts"
	"lavenderdeal/core/floods"
	core "lavenderdeal/core/quota"
	"lavenderdeal/core/quotahome"
	"lavenderdeal/core/rendezvous"
	"lavenderdeal/internal/awake"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/quota"
	"lavenderdeal/schema/roster"
)

const (
	// unaskedDelay is the time without an answer of a home after which a request may be sent
	// unasked, and patience that after which it is refused. An answer usually takes
	// a millisecond or two, and some hundred behind long bodies on a slow link.
	unaskedDelay = 25 * time.Millisecond
	patience     = 500 * time.Millisecond
	// askTimeout bounds a question to a home. A home that does not answer it is not asked
	// for suspectTime. It is probed before that ends, with probeMargin to spare.
	askTimeout  = 400 * time.Millisecond
	suspectTime = 1 * time.Second
	probeMargin = 100 * time.Millisecond
	// checkInterval is the time between questions of a home to the next candidate whether that
	// takes its place.
	checkInterval = 500 * time.Millisecond
	// A node that heard of no other one for contactTime, after which others ask another home,
	// probes one each lonelyInterval. After maxLonely without an answer, it is cut off, and is the
	// home of no account.
	contactTime    = askTimeout
	lonelyInterval = 150 * time.Millisecond
	maxLonely      = 4
	// A node that is in touch with other zones only may be the last one of its zone, or one of
	// several that do not reach each other. For aloneTime, it has an equal share of
	// the zone's rate. The homes of other zones are asked for loans less often than others are
	// probed, by elsewhereMargin.
	aloneTime       = 10 * time.Second
	elsewhereMargin = 600 * time.Millisecond
	// candidates is the number of nodes that may be the home of an account.
	candidates = 3
	// deputyPart is the part of the rate for a home that is not the first candidate, as
	// long as it has not itself found those before it silent.
	deputyPart = 0.15
	// introduceTime is for how long after a change of the roster a node that becomes the home
	// of an account introduces itself to the next candidate, which may have been the home.
	introduceTime = 5 * time.Second
	// cacheTime is how long the homes of accounts are kept.
	cacheTime = 250 * time.Millisecond
	// tick is the time between checks for loans. A home whose bucket is low checks after minTick.
	tick    = 400 * time.Millisecond
	minTick = 200 * time.Millisecond
	// watchTick is the time between signs that the node is not suspended. After a gap of
	// more than askTimeout, others have asked another home; one of more than maxGap is too long
	// for the bucket to be kept.
	watchTick = 150 * time.Millisecond
	maxGap    = 1200 * time.Millisecond
	// sweepInterval is the time between removals of what is not used any more.
	sweepInterval = 30 * time.Second
	// maxBorrowing is the number of accounts for which loans are asked for at once, and
	// maxSilent the number of nodes without an answer after which no others of their zone
	// are asked until the next time.
	maxBorrowing = 8
	maxSilent    = 4
	// maxCounted bounds the number of accounts with counters of their own.
	maxCounted = 100
	// noHomeRetry is the time after which to retry when no home answers.
	noHomeRetry = 400 * time.Millisecond

	methodAsk    = "quotaAsk"
	methodBorrow = "quotaBorrow"
	methodProbe  = "quotaProbe"
)

// errNoVersion is the answer of a node that does not know the limits yet.
var errNoVersion = errors.New("no version is in force")

// Verdict is whether a request may run.
type Verdict int

const (
	// Unknown means that no home has answered in time.
	Unknown Verdict = iota
	// OverLimit means that the account has used up its limit.
	OverLimit
	// Granted means that the request may run.
	Granted
	// Excess means that the request may run where nothing else waits: the account sends
	// more than its limit, and this request is beyond it.
	Excess
)

// Quota is a node's part in keeping the limits. It is safe for concurrent use. Lock order:
// mu is the only lock; it is never held during a call.
type Quota struct {
	node, zone string
	zones      []string
	bounds     quotahome.Bounds
	members    *members.Members
	versions   *versions.Follower
	log        *jsonlog.Log

	mu sync.Mutex
	// endpoint is nil before Run.
	endpoint *peer.Endpoint
	core     core.Node
	home     *quotahome.Home
	floods   floods.Watch
	// queues holds the questions to other nodes, by node, and suspects until when nodes are
	// not asked.
	queues   map[string]*queue
	suspects map[string]time.Time
	// yielded holds the nodes that take this one's place as a home, as it did not answer
	// them, until when that is known to be so, and checked when they were last asked for it.
	yielded, checked map[string]time.Time
	// contact is when another node of the zone last answered or asked, lonely the number of
	// probes sent since, and lonelyAt when the last of these was. elsewhere is when one of
	// another zone did.
	contact, lonelyAt, elsewhere time.Time
	lonely                       int
	// homes caches the candidates by account, in the order of preference, zoneNodes the
	// nodes by zone, and ranks this node's rank among all nodes by account, for unasked
	// requests, since cachedAt.
	homes     map[string][]roster.Entry
	zoneNodes map[string]zoneNodes
	ranks     map[string]int
	cachedAt  time.Time
	ticked    time.Time
	// swept is when the last sweep was.
	swept time.Time
	// askedLoans is when loans were last asked for.
	askedLoans time.Time
	// changed is when the nodes of the zone that may be homes, known, were last seen to change.
	changed time.Time
	known   []string
	stopped bool
	// low wakes Run when a bucket is low.
	low     chan struct{}
	granted map[string]uint64
	refused map[string]uint64
	unasked map[string]uint64

	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
}

// queue holds what is asked of one node with the next question.
type queue struct {
	asking  bool
	waiters []*waiter
	// reports holds accounts for which something is reported although nothing waits.
	reports map[string]bool
}

// zoneNodes holds the nodes of a zone.
type zoneNodes struct {
	names  []string
	byName map[string]roster.Entry
}

// waiter is a request that waits for an answer.
type waiter struct {
	account string
	// done receives the answer. It has room for one.
	done chan decision
	// left is set when the request does not wait any more, and sent when it was sent
	// unasked then.
	left, sent bool
}

// decision is a verdict, and the time after which to retry.
type decision struct {
	verdict Verdict
	after   time.Duration
}

// New returns a Quota for a node in one of the zones.
func New(node, zone string, zones []string, b quotahome.Bounds, m *members.Members, v *versions.Follower, l *jsonlog.Log) *Quota {
	ctx, cancel := context.WithCancel(context.Background())
	return &Quota{
		changed: awake.Now(), contact: awake.Now(), low: make(chan struct{}, 1), node: node, zone: zone, zones: zones, bounds: b, members: m, versions: v, log: l, home: quotahome.New(b),
		queues: make(map[string]*queue), suspects: make(map[string]time.Time),
		yielded: make(map[string]time.Time), checked: make(map[string]time.Time),
		granted: make(map[string]uint64), refused: make(map[string]uint64), unasked: make(map[string]uint64),
		ctx: ctx, cancel: cancel,
	}
}

// Handle registers the handlers for messages of other nodes.
func (q *Quota) Handle(mux *peer.Mux) {
	peer.Handle(mux, methodAsk, func(_ context.Context, m messages.Ask) (messages.Granted, error) {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.versions.Table() == nil {
			return messages.Granted{}, errNoVersion
		}
		answer := messages.Granted{Accounts: make([]messages.Grant, len(m.Accounts))}
		now := awake.Now()
		q.heardLocked(now)
		for i, a := range m.Accounts {
			limit, ok := q.limit(a.Account)
			if !ok && a.Rate > 0 && m.Version > int(q.versions.Version()) {
				limit, ok = quotahome.Limit{Rate: a.Rate, Burst: max(0, a.Burst)}, true
			}
			if !ok {
				// This node has applied a version that the other may not have.
				answer.Accounts[i] = messages.Grant{Granted: a.Want}
				continue
			}
			question := quotahome.Question{
				Want: max(0, a.Want), Spent: max(0, a.Spent), Back: max(0, a.Back), BackAge: time.Duration(max(0, a.BackMs)) * time.Millisecond,
			}
			g := q.askHomeLocked(now, a.Account, limit, question)
			answer.Accounts[i] = messages.Grant{Granted: g.Granted, ClosedMs: ceilMs(g.Closed), RetryAfterMs: ceilMs(g.RetryAfter), Excess: g.Excess}
		}
		return answer, nil
	})
	peer.Handle(mux, methodBorrow, func(_ context.Context, m messages.Borrow) (messages.Lent, error) {
		limit, ok := q.limit(m.Account)
		if !ok || m.Zone == q.zone {
			return messages.Lent{}, nil
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		now := awake.Now()
		q.elsewhere = now
		q.checkGapLocked(now)
		if first := q.candidatesLocked(m.Account, q.zone); len(first) == 0 || first[0].Node != q.node {
			return messages.Lent{}, nil
		}
		return messages.Lent{Rate: q.home.Lend(now, m.Account, limit, m.Zone+"/"+m.Node, m.Rate, now.Sub(q.changed))}, nil
	})
	peer.Handle(mux, methodProbe, func(_ context.Context, m messages.Ask) (messages.Granted, error) {
		if q.versions.Table() == nil {
			return messages.Granted{}, errNoVersion
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		return messages.Granted{Accounts: []messages.Grant{}, Silent: awake.Now().Before(q.suspects[m.Node])}, nil
	})
}

func ceilMs(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

// limit returns the limit of an account, or false if it has none.
func (q *Quota) limit(name string) (quotahome.Limit, bool) {
	table := q.versions.Table()
	if table == nil || table.Accounts() == nil {
		return quotahome.Limit{}, false
	}
	a, ok := table.Accounts().ByName(name)
	if !ok || a.Rate == 0 {
		return quotahome.Limit{}, false
	}
	return quotahome.Limit{Rate: a.Rate, Burst: a.Burst}, true
}

// askHomeLocked asks this node as the home of an account.
func (q *Quota) askHomeLocked(now time.Time, name string, limit quotahome.Limit, m quotahome.Question) quotahome.Grant {
	q.checkGapLocked(now)
	q.refreshLocked(now)
	m.Part, m.Calm = 1, now.Sub(q.changed)
	// beside is the home that this node is the deputy of, if that may answer others.
	var beside roster.Entry
	list := q.candidatesLocked(name, q.zone)
	for i, e := range list {
		if e.Node == q.node {
			if i+1 < len(list) && q.isYieldedLocked(now, list[i+1]) {
				m.Calm, m.Deputy, m.Part, beside = 0, true, deputyPart, list[i+1]
			}
			break
		}
		m.Calm, m.Deputy = 0, true
		if !q.isSuspectLocked(now, e) {
			m.Part, beside = deputyPart, e
			break
		}
	}
	if n := len(q.known); n > 1 && now.Sub(q.contact) < aloneTime && q.isAloneLocked(now) {
		m.Calm, m.Deputy, m.Part = 0, true, min(m.Part, 1/float64(n))
	}
	if _, known := q.home.Status(name); !known && now.Sub(q.changed) < introduceTime {
		q.introduceLocked(name)
	}
	g := q.home.Ask(now, name, limit, m)
	if beside.Node != "" {
		q.reportLocked(beside, name, g.Granted)
	}
	s, _ := q.home.Status(name)
	if q.floods.Saw(now, name, g.Excess) {
		q.log.WriteLimited("floodBegan", log.Fields{
			"account": name, "limit": limit.Rate, "burst": limit.Burst, "rate": s.Rate, "demand": s.Demand, "excess": g.Excess,
		})
	}
	if s.IsLow && now.Sub(q.askedLoans) > minTick {
		select {
		case q.low <- struct{}{}:
		default:
		}
	}
	if g.Granted < m.Want {
		q.log.WriteLimited("limitReached", log.Fields{
			"account": name, "limit": limit.Rate, "burst": limit.Burst, "want": m.Want, "granted": g.Granted,
			"rate": s.Rate, "demand": s.Demand, "retryAfterMs": g.RetryAfter.Milliseconds(),
		})
	}
	return g
}

// reportLocked tells a home what this node has granted beside it, so that it counts that. It also
// shows whether the home answers.
func (q *Quota) reportLocked(home roster.Entry, account string, granted int) {
	if granted == 0 {
		q.probeLocked(home)
		return
	}
	for range granted {
		q.core.Spent(account)
	}
	q.queueLocked(home.Node).reports[account] = true
	q.startLocked(home)
}

// introduceLocked tells the next candidate for the home of an account of this node if it is the
// first one. The other then knows that it is not the home any more.
func (q *Quota) introduceLocked(name string) {
	list := q.candidatesLocked(name, q.zone)
	if len(list) > 1 && list[0].Node == q.node {
		q.members.Introduce(list[1])
	}
}

// checkGapLocked empties the buckets if the node was suspended. After a short gap, only what
// would have come in meanwhile is missing.
func (q *Quota) checkGapLocked(now time.Time) {
	gap := now.Sub(q.ticked)
	if q.ticked.IsZero() || gap <= askTimeout {
		return
	}
	if gap > maxGap {
		q.log.WriteLimited("quotaReset", log.Fields{"afterMs": gap.Milliseconds()})
		q.home.Reset(now)
		q.changed = now
	} else {
		q.home.Skip(q.ticked, now)
	}
	q.ticked = now
}

// probeLocked checks in the background whether a node answers that should be the home.
func (q *Quota) probeLocked(e roster.Entry) {
	k := q.queueLocked(e.Node)
	if q.stopped || q.endpoint == nil || k.asking {
		return
	}
	k.asking = true
	q.group.Go(func() error {
		ctx, cancel := context.WithTimeout(q.ctx, askTimeout)
		defer cancel()
		answer, err := peer.Call[messages.Granted](ctx, q.endpoint, e.Peer, methodProbe, messages.Ask{Node: q.node, Accounts: []messages.Question{}})
		q.mu.Lock()
		defer q.mu.Unlock()
		k.asking = false
		if err != nil {
			q.suspectLocked(e, err)
			q.failLocked(k.waiters)
			k.waiters = nil
		} else {
			q.heardLocked(awake.Now())
			delete(q.suspects, e.Node)
			delete(q.yielded, e.Node)
			if answer.Silent {
				q.yielded[e.Node] = awake.Now().Add(suspectTime)
			}
		}
		q.startLocked(e)
		return nil
	})
}

// heardLocked records that another node is in touch. If none was for long, another may have
// been the home.
func (q *Quota) heardLocked(now time.Time) {
	if q.lonely > maxLonely {
		q.home.Reset(now)
		q.changed = now
	}
	q.contact, q.lonely = now, 0
}

// isCutOffLocked reports whether no other node is in touch, so that those of the zone have
// another home.
func (q *Quota) isCutOffLocked(now time.Time) bool {
	return q.isAloneLocked(now) && now.Sub(q.elsewhere) > contactTime+elsewhereMargin
}

// isAloneLocked reports whether no other node of the zone is in touch. If none was for a while,
// it probes one, preferably one that is not known to be silent.
func (q *Quota) isAloneLocked(now time.Time) bool {
	if now.Sub(q.contact) < contactTime {
		return false
	}
	if now.Sub(q.lonelyAt) >= lonelyInterval {
		var others, silent []roster.Entry
		for _, e := range q.zoneNodesLocked(q.zone).byName {
			switch {
			case e.Node == q.node:
			case now.Before(q.suspects[e.Node]):
				silent = append(silent, e)
			default:
				others = append(others, e)
			}
		}
		if len(others) == 0 {
			others = silent
		}
		if len(others) == 0 {
			return false
		}
		q.lonelyAt = now
		q.lonely++
		q.probeLocked(others[rand.N(len(others))])
	}
	return q.lonely > maxLonely
}

func (q *Quota) queueLocked(node string) *queue {
	k := q.queues[node]
	if k == nil {
		k = &queue{reports: make(map[string]bool)}
		q.queues[node] = k
	}
	return k
}

// candidatesLocked returns the nodes of a zone that may be the home of an account, in the
// order of preference.
func (q *Quota) candidatesLocked(name, zone string) []roster.Entry {
	now := awake.Now()
	q.refreshLocked(now)
	key := zone + "/" + name
	if list, ok := q.homes[key]; ok {
		return list
	}
	z := q.zoneNodesLocked(zone)
	var list []roster.Entry
	for _, node := range rendezvous.Top("quota/"+name, z.names, candidates) {
		list = append(list, z.byName[node])
	}
	q.homes[key] = list
	return list
}

// refreshLocked drops what is cached of the list of nodes once it is old.
func (q *Quota) refreshLocked(now time.Time) {
	if q.homes == nil || now.Sub(q.cachedAt) > cacheTime {
		q.homes, q.zoneNodes, q.ranks, q.cachedAt = make(map[string][]roster.Entry), make(map[string]zoneNodes), make(map[string]int), now
		if names := q.zoneNodesLocked(q.zone).names; !slices.Equal(names, q.known) {
			q.known, q.changed = names, now
		}
	}
}

// zoneNodesLocked returns the nodes of a zone that are not stopping.
func (q *Quota) zoneNodesLocked(zone string) zoneNodes {
	if z, ok := q.zoneNodes[zone]; ok {
		return z
	}
	var z zoneNodes
	z.byName = make(map[string]roster.Entry)
	for _, e := range q.members.Zone(zone) {
		if e.State != roster.EntryStateStopping {
			z.byName[e.Node] = e
			z.names = append(z.names, e.Node)
		}
	}
	q.zoneNodes[zone] = z
	return z
}

// isSuspectLocked reports whether a node is not asked because it was silent. A moment before
// it would be asked again, it is probed, so that no request waits for a node that is still
// silent.
func (q *Quota) isSuspectLocked(now time.Time, e roster.Entry) bool {
	end, ok := q.suspects[e.Node]
	if !ok || !now.Before(end) {
		return false
	}
	if end.Sub(now) < askTimeout+probeMargin {
		q.probeLocked(e)
	}
	return true
}

// homeLocked returns the first candidate that is not suspected, or false if there is none.
func (q *Quota) homeLocked(now time.Time, name string) (roster.Entry, bool) {
	list := q.candidatesLocked(name, q.zone)
	for i, e := range list {
		if e.Node == q.node {
			if i+1 < len(list) && q.isYieldedLocked(now, list[i+1]) {
				return list[i+1], true
			}
			return e, true
		}
		if !q.isSuspectLocked(now, e) {
			return e, true
		}
	}
	return roster.Entry{}, false
}

// isYieldedLocked reports whether the next candidate for a home takes the place of this node,
// since it gets no answers from it, although this node reaches it. It asks the other in the
// background now and then.
func (q *Quota) isYieldedLocked(now time.Time, next roster.Entry) bool {
	if now.Sub(q.checked[next.Node]) > checkInterval {
		q.checked[next.Node] = now
		q.probeLocked(next)
	}
	return now.Before(q.yielded[next.Node]) && !now.Before(q.suspects[next.Node])
}

// Take decides on a request of an account. If it is over the limit, the result is the time
// after which there is room. If the request does not run although it may, Back must be
// called.
func (q *Quota) Take(ctx context.Context, a *accounts.Account) (Verdict, time.Duration) {
	if a.Rate == 0 {
		return Granted, 0
	}
	v, after := q.take(ctx, a)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch v {
	case Granted:
		count(q.granted, a.Name)
		if q.core.TakeExcess(a.Name) {
			v = Excess
		}
	case OverLimit:
		count(q.refused, a.Name)
	}
	return v, after
}

func (q *Quota) take(ctx context.Context, a *accounts.Account) (Verdict, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if !q.members.IsDiscovered() && !wait.Until(ctx, patience, q.members.IsDiscovered) {
		// Any other node may be the home.
		return q.takeUnasked(a)
	}
	for ctx.Err() == nil {
		q.mu.Lock()
		now := awake.Now()
		if after, closed := q.core.Closed(now, a.Name); closed {
			q.mu.Unlock()
			return OverLimit, after
		}
		e, ok := q.homeLocked(now, a.Name)
		if !ok {
			q.mu.Unlock()
			break
		}
		cannotAsk := q.stopped || q.endpoint == nil
		if e.Node != q.node && cannotAsk || e.Node == q.node && q.isCutOffLocked(now) {
			q.mu.Unlock()
			break
		}
		if e.Node == q.node {
			v, after := q.askSelfLocked(now, a)
			q.mu.Unlock()
			return v, after
		}
		w := &waiter{account: a.Name, done: make(chan decision, 1)}
		k := q.queueLocked(e.Node)
		k.waiters = append(k.waiters, w)
		q.startLocked(e)
		q.mu.Unlock()
		if d := q.await(ctx, w, a); d.verdict != Unknown {
			return d.verdict, d.after
		}
	}
	return q.takeUnasked(a)
}

func (q *Quota) askSelfLocked(now time.Time, a *accounts.Account) (Verdict, time.Duration) {
	g := q.askOwnHomeLocked(now, a, 1)
	q.core.Answered(now, a.Name, g)
	if g.Granted > 0 {
		return Granted, 0
	}
	return OverLimit, g.RetryAfter
}

// askOwnHomeLocked asks this node as the home of an account for requests of its own, and reports
// to it.
func (q *Quota) askOwnHomeLocked(now time.Time, a *accounts.Account, want int) quotahome.Grant {
	r := q.core.Report(now, a.Name)
	q.core.Delivered(a.Name, r.Spent)
	m := quotahome.Question{Want: want, Spent: r.Spent, Back: r.Back, BackAge: r.BackAge}
	return q.askHomeLocked(now, a.Name, quotahome.Limit{Rate: a.Rate, Burst: a.Burst}, m)
}

// await waits for the answer to a request until ctx ends. After unaskedDelay, it sends the
// request unasked if possible.
func (q *Quota) await(ctx context.Context, w *waiter, a *accounts.Account) decision {
	timer := time.NewTimer(unaskedDelay)
	defer timer.Stop()
	select {
	case d := <-w.done:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	if d := q.leave(w, a); d.verdict != Unknown {
		return d
	}
	select {
	case d := <-w.done:
		return d
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case d := <-w.done:
		return d
	default:
	}
	w.left = true
	return decision{}
}

// leave ends the wait of a request that can be sent unasked. Otherwise, the verdict is
// Unknown.
func (q *Quota) leave(w *waiter, a *accounts.Account) decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case d := <-w.done:
		if d.verdict != Unknown {
			return d
		}
		// The caller receives it.
		w.done <- d
		return d
	default:
	}
	if !q.takeUnaskedLocked(a) {
		return decision{}
	}
	count(q.unasked, a.Name)
	w.left, w.sent = true, true
	return decision{verdict: Granted}
}

// takeUnasked decides on a request when no home answers.
func (q *Quota) takeUnasked(a *accounts.Account) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.takeUnaskedLocked(a) {
		return Unknown, noHomeRetry
	}
	count(q.unasked, a.Name)
	q.core.Spent(a.Name)
	return Granted, 0
}

// takeUnaskedLocked reports whether a request may be sent without an answer of a home.
func (q *Quota) takeUnaskedLocked(a *accounts.Account) bool {
	now := awake.Now()
	q.refreshLocked(now)
	rank, ok := q.ranks[a.Name]
	if !ok {
		key, own := "unasked/"+a.Name, rendezvous.Score("unasked/"+a.Name, q.node)
		for _, e := range q.members.Entries() {
			if e.Node != q.node && rendezvous.Score(key, e.Node) > own {
				rank++
			}
		}
		q.ranks[a.Name] = rank
	}
	limit := quotahome.Limit{Rate: a.Rate, Burst: a.Burst}
	return q.core.TakeUnasked(now, a.Name, core.NewUnasked(limit, q.bounds, q.members.Len(), rank))
}

// Back records that a request that was let through at a time has not run.
func (q *Quota) Back(a *accounts.Account, taken time.Duration) {
	if a.Rate == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := awake.Now()
	if !q.core.Back(now, a.Name, now.Add(-taken)) {
		return
	}
	e, ok := q.homeLocked(now, a.Name)
	switch {
	case !ok:
	case e.Node == q.node:
		q.askOwnHomeLocked(now, a, 0)
	default:
		q.queueLocked(e.Node).reports[a.Name] = true
		q.startLocked(e)
	}
}

// startLocked starts to ask a node if something is queued for it and no question is open.
func (q *Quota) startLocked(e roster.Entry) {
	k := q.queueLocked(e.Node)
	if k.asking || len(k.waiters) == 0 && len(k.reports) == 0 {
		return
	}
	if q.stopped || q.endpoint == nil {
		q.failLocked(k.waiters)
		k.waiters = nil
		return
	}
	k.asking = true
	q.group.Go(func() error { q.ask(e, k); return nil })
}

// ask sends the queued questions to a node until none is left.
func (q *Quota) ask(e roster.Entry, k *queue) {
	for {
		q.mu.Lock()
		m, waiters := q.nextLocked(k)
		if len(m.Accounts) == 0 {
			k.asking = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		ctx, cancel := context.WithTimeout(q.ctx, askTimeout)
		answer, err := peer.Call[messages.Granted](ctx, q.endpoint, e.Peer, methodAsk, m)
		cancel()
		if err == nil && len(answer.Accounts) != len(m.Accounts) {
			err = errors.Newf("%d answers to %d questions", len(answer.Accounts), len(m.Accounts))
		}
		q.mu.Lock()
		if err != nil {
			q.suspectLocked(e, err)
			for _, a := range m.Accounts {
				q.core.Undelivered(a.Account, a.Spent)
			}
			q.failLocked(waiters)
			q.failLocked(k.waiters)
			k.waiters, k.asking = nil, false
			q.mu.Unlock()
			return
		}
		now := awake.Now()
		q.heardLocked(now)
		for i, a := range m.Accounts {
			g := answer.Accounts[i]
			q.core.Delivered(a.Account, a.Spent)
			q.answerLocked(now, a.Account, waiters, quotahome.Grant{
				Granted: g.Granted, Closed: time.Duration(g.ClosedMs) * time.Millisecond, RetryAfter: time.Duration(g.RetryAfterMs) * time.Millisecond,
				Excess: min(max(g.Excess, 0), 1),
			})
		}
		q.mu.Unlock()
	}
}

// nextLocked returns the next question to a node, and the requests that wait for it.
func (q *Quota) nextLocked(k *queue) (messages.Ask, []*waiter) {
	var waiters []*waiter
	want := make(map[string]int)
	for name := range k.reports {
		want[name] = 0
	}
	for _, w := range k.waiters {
		switch {
		case !w.left:
			waiters = append(waiters, w)
			want[w.account]++
		case w.sent:
			q.core.Spent(w.account)
			want[w.account] += 0 // The account is reported.
		}
	}
	k.waiters = nil
	clear(k.reports)
	m := messages.Ask{Version: int(q.versions.Version()), Accounts: []messages.Question{}}
	for name, n := range want {
		r := q.core.Report(awake.Now(), name)
		if n+r.Spent+r.Back > 0 {
			limit, _ := q.limit(name)
			m.Accounts = append(m.Accounts, messages.Question{
				Account: name, Rate: limit.Rate, Burst: limit.Burst, Want: n,
				Spent: r.Spent, Back: r.Back, BackMs: int(r.BackAge.Milliseconds()),
			})
		}
	}
	return m, waiters
}

// answerLocked gives the requests of an account that wait the answer of its home.
func (q *Quota) answerLocked(now time.Time, name string, waiters []*waiter, g quotahome.Grant) {
	q.core.Answered(now, name, g)
	left := g.Granted
	for _, w := range waiters {
		if w.account != name {
			continue
		}
		left--
		granted := left >= 0
		switch {
		case !w.left && granted:
			w.done <- decision{verdict: Granted}
		case !w.left:
			w.done <- decision{OverLimit, g.RetryAfter}
		case w.sent && granted:
			q.core.Confirmed(name)
		case w.sent:
			q.core.Spent(name)
		case granted:
			q.core.Back(now, name, now)
		}
	}
}

// failLocked tells requests that wait that they get no answer from the node.
func (q *Quota) failLocked(waiters []*waiter) {
	for _, w := range waiters {
		switch {
		case !w.left:
			w.done <- decision{}
		case w.sent:
			q.core.Spent(w.account)
		}
	}
}

// suspectLocked records that a node has not answered.
func (q *Quota) suspectLocked(e roster.Entry, err error) {
	if q.ctx.Err() != nil {
		return
	}
	q.suspects[e.Node] = awake.Now().Add(suspectTime)
	q.log.WriteLimited("quotaHomeSilent", log.Fields{"peer": e.Node, "error": err})
}

// Run borrows from other zones until ctx ends. It always returns nil.
func (q *Quota) Run(ctx context.Context, endpoint *peer.Endpoint) error {
	q.mu.Lock()
	q.endpoint = endpoint
	q.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { q.watchTime(ctx); return nil })
	for q.pause(ctx, tick/2+rand.N(tick)) {
		q.borrow(ctx)
	}
	_ = group.Wait()
	q.mu.Lock()
	q.stopped = true
	q.mu.Unlock()
	q.cancel()
	return q.group.Wait()
}

// pause waits for d, or until a bucket is low. It returns false if ctx ends first.
func (q *Quota) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.low:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchTime notices until ctx ends that the node was suspended, and that the number of known
// nodes has changed. It waits for no other node.
func (q *Quota) watchTime(ctx context.Context) {
	for wait.For(ctx, watchTick/2+rand.N(watchTick)) {
		q.mu.Lock()
		now := awake.Now()
		q.checkGapLocked(now)
		q.ticked = now
		q.refreshLocked(now)
		for _, e := range q.floods.Ended(now) {
			q.log.WriteLimited("floodEnded", log.Fields{"account": e.Account, "lastedMs": e.Lasted.Milliseconds(), "excess": e.Highest})
		}
		if now.Sub(q.swept) > sweepInterval {
			q.swept = now
			q.sweepLocked(now)
		}
		q.mu.Unlock()
	}
}

// sweepLocked removes what is kept of accounts and nodes that are not used any more.
func (q *Quota) sweepLocked(now time.Time) {
	q.core.Forget(now)
	maps.DeleteFunc(q.suspects, func(_ string, end time.Time) bool { return !now.Before(end) })
	maps.DeleteFunc(q.yielded, func(_ string, end time.Time) bool { return !now.Before(end) })
	maps.DeleteFunc(q.checked, func(_ string, at time.Time) bool { return now.Sub(at) > sweepInterval })
	maps.DeleteFunc(q.queues, func(_ string, k *queue) bool { return !k.asking && len(k.waiters) == 0 && len(k.reports) == 0 })
}

// borrow asks the homes in the other zones for what this zone lacks.
func (q *Quota) borrow(ctx context.Context) {
	q.mu.Lock()
	q.askedLoans = awake.Now()
	needs := q.home.Short(q.askedLoans)
	q.mu.Unlock()
	// silent counts the nodes that have not answered, by zone.
	silent := make(map[string]*atomic.Int32, len(q.zones))
	for _, zone := range q.zones {
		silent[zone] = new(atomic.Int32)
	}
	var group errgroup.Group
	group.SetLimit(maxBorrowing)
	for _, n := range needs {
		group.Go(func() error {
			for _, zone := range q.zones {
				if zone == q.zone || n.Rate <= 0 || silent[zone].Load() >= maxSilent {
					continue
				}
				rate, ok := q.borrowFrom(ctx, zone, n)
				if !ok {
					silent[zone].Add(1)
				}
				n.Rate -= rate
			}
			return nil
		})
	}
	_ = group.Wait()
}

// borrowFrom asks the home in another zone, and returns the rate that it has lent, or false
// if it has not answered.
func (q *Quota) borrowFrom(ctx context.Context, zone string, n quotahome.Need) (rate float64, ok bool) {
	q.mu.Lock()
	list := q.candidatesLocked(n.Account, zone)
	// Only the first candidate lends.
	mayLend := len(list) > 0 && !awake.Now().Before(q.suspects[list[0].Node])
	q.mu.Unlock()
	if !mayLend {
		return 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := awake.Now()
	lent, err := peer.Call[messages.Lent](ctx, q.endpoint, list[0].Peer, methodBorrow, messages.Borrow{Account: n.Account, Zone: q.zone, Node: q.node, Rate: n.Rate})
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.suspectLocked(list[0], err)
		return 0, false
	}
	q.elsewhere = awake.Now()
	q.home.Borrowed(sent, n.Account, zone, lent.Rate)
	return lent.Rate, true
}

// Counts returns the number of requests by account that were granted, refused and let
// through unasked.
func (q *Quota) Counts() (granted, refused, unasked map[string]uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.granted), maps.Clone(q.refused), maps.Clone(q.unasked)
}

// count adds one to the counter of an account. Those beyond maxCounted accounts share one.
func count(counts map[string]uint64, name string) {
	if _, ok := counts[name]; !ok && len(counts) >= maxCounted {
		name = "other"
	}
	counts[name]++
}
