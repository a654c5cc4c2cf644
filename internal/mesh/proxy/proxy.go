// Package proxy forwards requests of local callers to backend servers. For each
// request it chooses a node beside a server of the service, and returns the answer.
//
// # Retries
//
// The route defines the time limit of a request and whether it is idempotent. The
// request is offered to one node after the other: a node that refuses has not run
// it, so trying the next one costs nothing but time. If a request may have run, it
// is sent again only if it is idempotent, within the fleet's retry budget.
//
// When all servers are full, the request is refused at once as not run, with the time
// after which a slot is expected to be free.
package proxy

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/accounts"
	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/refusals"
	"lavenderdeal/core/retryafter"
	"lavenderdeal/core/retrybudget"
	"lavenderdeal/core/routes"
	"lavenderdeal/core/runcalls"
	"lavenderdeal/core/trafficsplit"
	"lavenderdeal/internal/body"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/memory"
	"lavenderdeal/internal/mesh/fresh"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/meter"
	"lavenderdeal/internal/mesh/namecount"
	"lavenderdeal/internal/mesh/pending"
	"lavenderdeal/internal/mesh/probe"
	"lavenderdeal/internal/mesh/quota"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/mesh/waitqueue"
	"lavenderdeal/io/http1"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

const (
	// maxPromptOffers bounds the number of nodes to which a request is offered while
	// each of them refuses it. At the last one it may wait in the queue even if it
	// will miss its target latency. Each offer costs a round trip of one or two
	// milliseconds. Requests for which another one waits are not bound by it.
	maxPromptOffers = 3
	// maxBusyOffers bounds the number of nodes of the own zone that are asked for a free
	// slot before the request is queued at one of them. News of their load is older than
	// the time for which it holds, and to ask costs much less time than to wait behind
	// another request.
	maxBusyOffers = 3
	// maxExcessOffers bounds the number of nodes that are asked for a free slot for a request
	// beyond the limit of its account.
	maxExcessOffers = 2
	// maxOffers bounds the number of nodes to which any request is offered.
	maxOffers = 8 + maxBusyOffers
	// maxOwnFailureRate is the failure rate above which the own server is not preferred.
	maxOwnFailureRate = 0.25
	// minTimeLeft is the time before the deadline below which a request is not
	// offered.
	minTimeLeft = 5 * time.Millisecond
	// maxBodyBytes bounds the body of a request that the configuration does not bound.
	maxBodyBytes = 64 << 20
	// maxDiscardedBytes bounds what is read and discarded of a body that is too
	// large.
	maxDiscardedBytes = 1 << 20
	// A node is probed after minProbeDelay without an answer, or after
	// probeDelayFactor times the usual running time, whichever is longer.
	minProbeDelay    = 150 * time.Millisecond
	probeDelayFactor = 2
	// One in sampleInterval successful requests is logged.
	sampleInterval = 16
	// A forwarded body is given up, and its slot freed, after firstByteSilence without the
	// first bytes, or bodySilence without further ones. The sender has the body in
	// memory, so only a few packets lost in a row delay it.
	firstByteSilence = 500 * time.Millisecond
	bodySilence      = 1 * time.Second
	// An answer is given up when the other side takes none of its next answerPart bytes
	// for answerSilence. A frozen machine may take it when it resumes.
	answerSilence = 10 * time.Second
	answerPart    = 64 << 10
	// defaultUplink is 1 Gbit/s, in bytes per second.
	defaultUplink = 125e6
)

// transferClassPrefix is the prefix of the classes of long bodies at the link's gate.
const transferClassPrefix = "transfer "

// The rules by which this package refuses or fails a request.
const (
	ruleStopping   = "nodeStopping"
	ruleNoVersion  = "noConfiguration"
	ruleNoRoute    = "noRoute"
	ruleNoID       = "noRequestID"
	ruleBody       = "bodyTooLarge"
	ruleHeader     = "headerTooLarge"
	ruleBodyBroken = "bodyBroken"
	ruleBodySilent = "bodySilent"
	ruleMemory     = "memoryFull"
	ruleLinkFull   = "linkFull"
	ruleUplinkFull = "uplinkFull"
	ruleFull       = "allServersFull"
	ruleNoServer   = "noServerKnown"
	ruleDeadline   = "deadlinePassed"
	ruleUnanswered = "nodeUnanswered"
	// ruleRepeatedCalls means that the calls of a repeated run are beyond the retry budget.
	ruleRepeatedCalls = "repeatedCalls"
	// ruleDisconnected means that the connection to a node was lost, or not opened, before
	// the body was sent.
	ruleDisconnected = "nodeDisconnected"
	// ruleParentAbandoned means that the request is a call for one that was given up.
	ruleParentAbandoned = "parentAbandoned"
	// ruleAccount means that the API key is missing, malformed or of no account.
	ruleAccount = "unknownAccount"
	// ruleOverLimit means that the account has used up its limit, and ruleLimitUnknown that
	// no home of the account has answered.
	ruleOverLimit = "accountOverLimit"
	// ruleFlood means that the account sends more than its limit and no slot was free.
	ruleFlood        = "accountFloods"
	ruleLimitUnknown = "accountLimitUnknown"
	// ruleNotCurrent means that a later version may have taken the API key away.
	ruleNotCurrent = "keysNotCurrent"
	// ruleParentUnknown means that a request without an API key claims to be a call of one
	// that does not run on the own server.
	ruleParentUnknown = "parentUnknown"
)

// Self identifies this node: its name, its availability zone and the service of the
// backend server beside it.
type Self struct {
	Node, Zone, Service string
}

// Proxy is the HTTP handler for callers' requests. It is safe for concurrent use.
// Lock order: mu is the only lock; it is never held during a call.
type Proxy struct {
	self     Self
	versions *versions.Follower
	members  *members.Members
	local    *local.Server
	pool     *http1.Pool
	poolOpts []http1.Option
	log      *jsonlog.Log
	// link has a slot for each long body that may be received at once.
	link *waitqueue.Queue
	// uplink shares the link between the answers that are sent.
	uplink *sharedUplink
	// quota keeps the limits of accounts. It is nil if accounts have none.
	quota *quota.Quota
	// fresh knows whether API keys may be accepted. It is nil if they always are.
	fresh *fresh.Keeper
	// transfers holds the long bodies that are received now.
	transfers transfers
	// bodies bounds the memory of the bodies of requests. A nil budget has no bound.
	bodies *memory.Budget
	// draining is set by Drain and refusingNew by RefuseNew.
	draining atomic.Bool
	// closingForwarded is set by CloseForwarded.
	closingForwarded atomic.Bool
	refusingNew      atomic.Bool
	// stopAt is when a stopping node cuts off requests.
	stopAt atomic.Pointer[time.Time]
	// withdrawing ends by Withdraw and running by CutOff.
	withdrawing, running context.Context
	withdraw, cutOff     context.CancelFunc
	// pending holds the requests that other nodes have forwarded.
	pending pending.Requests
	// inFlight is the number of requests that have not been answered yet.
	inFlight atomic.Int64
	meter    *meter.Meter
	prober   *probe.Prober
	// accounts counts the requests of accounts by their outcome.
	accounts *namecount.Counts
	// departures counts the requests whose sender has left.
	departures departures
	// trials is nil if no versions of servers' software are on trial.
	trials Trials

	mu     sync.Mutex
	picker pick.Picker
	split  trafficsplit.Splitter
	budget *retrybudget.Budget
	// runs holds the requests that run on the local server, by ID, and calls estimates the
	// calls that they make.
	runs  map[string]*localRun
	calls runcalls.Estimate
	// offers counts the requests offered to nodes of the own zone and of others.
	offers struct{ own, other uint64 }
	// refusals holds refused requests, to recognize retries of their callers.
	refusals refusals.Table
}

// Option configures a Proxy.
type Option func(*Proxy)

// WithRetryBudget bounds how often requests are sent to a second server. The default
// allows no retries.
func WithRetryBudget(b retrybudget.Bound) Option {
	return func(p *Proxy) { p.budget = retrybudget.New(b) }
}

// WithMaxTransfers sets the number of long bodies that may be received over the
// instance's link at once. The default is one.
func WithMaxTransfers(n int) Option {
	return func(p *Proxy) { p.link.Update(func(g *gate.Gate) { g.SetLimit(time.Now(), n) }) }
}

// WithUplink sets the outgoing bandwidth of the instance's link, in bytes per second, that
// answers may use. The default is defaultUplink.
func WithUplink(bytesPerSecond float64) Option {
	return func(p *Proxy) { p.uplink = newSharedUplink(bytesPerSecond) }
}

// WithRequestMemory bounds the memory, in bytes, of the bodies of requests beyond 64 KiB
// each. A request for whose body there is no room is refused.
func WithRequestMemory(n int64) Option { return func(p *Proxy) { p.bodies = memory.New(n) } }

// WithBodyMemory bounds the memory, in bytes, of unfinished answers of other nodes.
func WithBodyMemory(n int64) Option {
	return func(p *Proxy) { p.poolOpts = append(p.poolOpts, http1.WithBodyMemory(n)) }
}

// Trials chooses among the servers of a service by the version of their software. It is
// called concurrently.
type Trials interface {
	// Choose counts a request of a class and returns true if it is for servers on trial.
	Choose(service, class string) bool
	// Filter returns the entries of the nodes that may get a request.
	Filter(service string, onTrial bool, ready []messages.Entry) []messages.Entry
}

// WithTrials sets what chooses servers by their version.
func WithTrials(t Trials) Option { return func(p *Proxy) { p.trials = t } }

// WithMeter sets the meter that counts requests.
func WithMeter(m *meter.Meter) Option {
	return func(p *Proxy) { p.meter = m }
}

// WithQuota makes the limits of accounts be kept. By default, accounts have none.
func WithQuota(q *quota.Quota) Option { return func(p *Proxy) { p.quota = q } }

// WithFreshness refuses requests with API keys while the version in force is not known to be
// recent. By default, it always is.
func WithFreshness(k *fresh.Keeper) Option { return func(p *Proxy) { p.fresh = k } }

// New returns a proxy that forwards requests according to the configuration of v to
// the nodes of m, and runs those for this node's own server through l.
func New(self Self, v *versions.Follower, m *members.Members, l *local.Server, lg *jsonlog.Log, opts ...Option) *Proxy {
	p := &Proxy{
		self: self, versions: v, members: m, local: l, log: lg,
		link: waitqueue.New(), uplink: newSharedUplink(defaultUplink), budget: retrybudget.New(retrybudget.Bound{Window: time.Second}), runs: make(map[string]*localRun), meter: &meter.Meter{},
		accounts: namecount.New(maxCountedAccounts),
	}
	WithMaxTransfers(1)(p)
	for _, opt := range opts {
		opt(p)
	}
	p.pool = http1.New(p.poolOpts...)
	p.prober = probe.New(p.pool, lg)
	p.withdrawing, p.withdraw = context.WithCancel(context.Background())
	p.running, p.cutOff = context.WithCancel(context.Background())
	return p
}

// SetRetryBudget changes the bound on requests that are sent to a second server.
func (p *Proxy) SetRetryBudget(b retrybudget.Bound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.SetBound(b)
}

// Close stops the probes of other nodes and closes the idle connections to them.
func (p *Proxy) Close() {
	p.withdraw()
	p.cutOff()
	p.prober.Close()
	p.pool.Close()
}

// Drain makes each response close its connection, so that callers open new ones
// elsewhere. Requests that arrive from now on get no more time than until end, when CutOff
// is called.
func (p *Proxy) Drain(end time.Time) {
	p.stopAt.Store(&end)
	p.draining.Store(true)
}

// CloseForwarded makes each answer to another node close its connection.
func (p *Proxy) CloseForwarded() { p.closingForwarded.Store(true) }

// RefuseNew makes further requests be refused as not run, except the calls of
// requests that still run on the local server.
func (p *Proxy) RefuseNew() { p.refusingNew.Store(true) }

// Withdraw refuses all requests that have not been sent to a server. Those that wait at
// other nodes are withdrawn there. It does not wait for the outcomes.
func (p *Proxy) Withdraw() {
	p.link.Update(func(g *gate.Gate) { g.Close() })
	p.withdraw()
}

// CutOff fails all requests that have not been answered.
func (p *Proxy) CutOff() { p.cutOff() }

// Offers returns how often requests were offered to nodes, by "own" and "other" zone.
func (p *Proxy) Offers() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]uint64{"own": p.offers.own, "other": p.offers.other}
}

// InFlight returns the number of requests that have not been answered yet.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// BodyBytes returns the memory, in bytes, of the bodies of requests beyond 64 KiB each.
func (p *Proxy) BodyBytes() int64 { return p.bodies.Used() }

// request is the state of a request in flight.
type request struct {
	id       string
	route    *routes.Route
	service  string
	started  time.Time
	deadline time.Time
	http     *http1.Request
	// caller tells whether the caller still waits.
	caller *presence
	// body is the reader of the body, or nil if there is none.
	body *body.Reader
	// version is the version of the configuration that the request was routed by.
	version uint64
	// account is the name of the caller's account, or empty if there is none. limit is the
	// account if it has a limit.
	account string
	limit   *accounts.Account
	// excess is set if the account sends more than its limit and this request is beyond it.
	excess bool
	// rank is the priority under load; 0 is the highest.
	rank int
	// target is when the target latency ends.
	target time.Time
	// inner is set when a request on the local server waits for this one.
	inner bool
	// repeated is set if the request is a call of a run of a repeated request.
	repeated bool
	// parent is the ID of that request, and givenUp ends when it is given up.
	parent  string
	givenUp context.Context
	// onTrial is set if the request is for servers whose version is on trial.
	onTrial bool
	// attempt identifies the request if it is refused and the caller retries it.
	// isRetry is set when this request is such a retry.
	attempt refusals.Attempt
	isRetry bool

	// tried holds the nodes to which the request was offered without success, offers
	// is the number of nodes that it was offered to, and arrivals the number of
	// servers that it may have reached.
	tried []string
	// busy holds the nodes that had no free slot when they were asked, and failing those whose
	// servers fail requests.
	busy     []string
	failing  []string
	arrivals int
	offers   int
	// turnedAway is set if a node refused the request for the load of its server.
	turnedAway bool
	// last is the outcome of the offers before the current one.
	last outcome
	// earliestRetry is the shortest time after which a node expects a free slot, or
	// 0 if none was reported.
	earliestRetry time.Duration
	// chosen says why the last node was chosen, for the log.
	chosen string
	// attemptLog holds a log text for each node that was skipped as full or did not
	// run the request.
	attemptLog []string
}

// outcome is the result of a request.
type outcome struct {
	answer *http1.Response
	// status and rule are set when the node refuses or fails the request itself.
	status     int
	rule       string
	retryAfter time.Duration
	// server is the node beside the server that answered or failed the request.
	server string
	// waited is the time in the queue and load the load, as reported by the
	// server's node.
	waited time.Duration
	load   pick.Load
}

// ServeHTTP serves a request of a local caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	started := time.Now()
	if p.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	body.Bound(w, r, bodySilence)
	q, failed := p.readRequest(w, r, started)
	if q.body != nil {
		defer q.body.Release()
	}
	if failed != nil {
		if failed.rule == ruleMemory && r.Header["Expect"] == nil {
			// The caller gets the answer while it still sends, and no reset.
			_ = http.NewResponseController(w).EnableFullDuplex()
			defer q.body.Discard(maxBodyBytes)
		}
		if failed.rule == ruleBodyBroken {
			// The end of the connection may be noticed as the body ends.
			p.newPresence(r.Context(), q.id, started).record(false, false)
		}
		p.writeRefusal(r.Context(), w, q, *failed)
		return
	}
	if left := p.local.QuarantinedFor(q.http); left > 0 {
		q.turnedAway = true
		p.writeRefusal(r.Context(), w, q, outcome{status: http.StatusServiceUnavailable, rule: local.RuleQuarantined, retryAfter: left})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(p.running, cancel)()
	if q.inner {
		defer context.AfterFunc(q.givenUp, cancel)()
	}
	if failed := p.takeLimit(ctx, q); failed != nil {
		p.writeRefusal(r.Context(), w, q, *failed)
		return
	}
	taken := time.Now()
	q.caller = p.newPresence(r.Context(), q.id, started)
	o := p.run(ctx, q)
	p.returnLimit(q, o, taken)
	q.caller.record(false, q.arrivals > 0)
	if o.answer != nil {
		p.writeAnswer(r.Context(), w, q, o)
		return
	}
	switch {
	case r.Context().Err() != nil, q.caller.unnoticed:
		o.rule = local.RuleCallerLeft
	case q.inner && q.givenUp.Err() != nil:
		o.rule = ruleParentAbandoned
	case p.running.Err() != nil:
		o.rule = ruleStopping
	}
	p.writeRefusal(r.Context(), w, q, o)
}

// readRequest decodes a caller's request. If the outcome is not nil, the request
// was refused and may be incomplete.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request, started time.Time) (*request, *outcome) {
	in := platform.ReadRequest(r.Header)
	q := &request{id: in.ID, started: started}
	if in.ID == "" {
		return q, &outcome{status: http.StatusBadRequest, rule: ruleNoID}
	}
	parent, hasParent := p.local.Parent(in.Parent)
	if !hasParent && in.Parent != "" && p.local.IsAbandoned(in.Parent) {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleParentAbandoned, retryAfter: retryafter.NoServer}
	}
	if p.refusingNew.Load() && !hasParent {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleStopping, retryAfter: retryafter.Stopping}
	}
	// The check is before the table is read, which is then at least as recent.
	isCurrent := p.fresh == nil || !in.HasKey || p.fresh.Allows()
	table := p.versions.Table()
	if table == nil {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleNoVersion, retryAfter: retryafter.NoServer}
	}
	q.version = table.Version()
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := table.Match(r.Host, path)
	if !ok {
		return q, &outcome{status: http.StatusNotFound, rule: ruleNoRoute}
	}
	q.route = route
	left := route.Timeout
	if in.HasDeadline {
		left = min(left, in.TimeLeft)
	}
	q.deadline = started.Add(left)
	if end := p.stopAt.Load(); end != nil && end.Before(q.deadline) {
		q.deadline = *end
	}
	q.rank, q.target = route.Rank, started.Add(route.TargetLatency)
	if table.Accounts() != nil && !isCurrent {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleNotCurrent, retryAfter: retryafter.NoServer}
	}
	if failed := q.authenticate(table.Accounts(), in, hasParent); failed != nil {
		return q, failed
	}
	if hasParent {
		// If the call fails, the parent's slot and work are wasted. So the call has
		// at least the parent's priority, and its target is not before the
		// parent's.
		q.inner, q.repeated, q.parent, q.givenUp = true, parent.Repeated, in.Parent, parent.GivenUp
		q.rank = min(q.rank, parent.Rank)
		q.target = later(q.target, parent.Target)
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && requestHeadBytes(r) > limit {
		return q, &outcome{status: http.StatusRequestHeaderFieldsTooLarge, rule: ruleHeader}
	}
	var content []byte
	if r.ContentLength != 0 {
		limit := cmp.Or(table.Limits().BodyBytes, maxBodyBytes)
		q.body = body.New(w, r, body.WithMaxBytes(limit), body.WithDeadline(q.deadline), body.WithBudget(p.bodies))
		var failed *outcome
		if content, failed = readBody(r, q.body); failed != nil {
			return q, failed
		}
	}
	q.http = &http1.Request{
		Method: r.Method, URI: uri, Host: r.Host, Body: content,
		Header: forwardedHeader(r.Header), AtMostOnce: route.Kind != routes.Idempotent,
	}
	if table.Accounts() != nil {
		platform.RemoveAccount(q.http.Header)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q.service = p.split.Next(route)
	q.onTrial = p.trials != nil && p.trials.Choose(q.service, route.Name)
	p.recordCallLocked(started, in.Parent, q)
	if in.HasDeadline && !q.inner {
		q.attempt = refusals.Attempt{Key: attemptKey(q), Deadline: started.Add(in.TimeLeft), Target: q.target}
		if first, ok := p.refusals.Match(q.attempt.Key, q.attempt.Deadline); ok {
			q.attempt.Target, q.target, q.isRetry = first.Target, first.Target, true
		}
	}
	return q, nil
}

// authenticate sets the account of the caller, whose rank replaces that of the route. Calls
// of the own server need no API key. If the outcome is not nil, the request is refused.
func (q *request) authenticate(list *accounts.Table, in platform.CallerHeaders, isCall bool) *outcome {
	switch {
	case list == nil:
		return nil
	case !in.HasKey && (isCall || q.route.AllowAnonymous):
		return nil
	case !in.HasKey && in.Parent != "":
		// This process may have started after the request that the call belongs to.
		return &outcome{status: http.StatusServiceUnavailable, rule: ruleParentUnknown, retryAfter: retryafter.NoServer}
	}
	a, ok := list.ByKey(in.Key)
	if !ok {
		return &outcome{status: http.StatusUnauthorized, rule: ruleAccount}
	}
	q.account = a.Name
	if a.Rate > 0 {
		q.limit = a
	}
	if a.HasRank {
		q.rank = a.Rank
	}
	return nil
}

// takeLimit counts the request against the limit of its account. If the outcome is not nil,
// the request is refused.
func (p *Proxy) takeLimit(ctx context.Context, q *request) *outcome {
	if p.quota == nil || q.limit == nil {
		return nil
	}
	switch v, after := p.quota.Take(ctx, q.limit); v {
	case quota.OverLimit:
		return &outcome{status: http.StatusTooManyRequests, rule: ruleOverLimit, retryAfter: after}
	case quota.Excess:
		q.excess = true
	case quota.Unknown:
		return &outcome{status: http.StatusServiceUnavailable, rule: ruleLimitUnknown, retryAfter: after}
	}
	return nil
}

// returnLimit gives back what takeLimit has counted if the request has not run.
func (p *Proxy) returnLimit(q *request, o outcome, taken time.Time) {
	if p.quota != nil && q.limit != nil && o.answer == nil && o.status == http.StatusServiceUnavailable {
		p.quota.Back(q.limit, time.Since(taken))
	}
}

// attemptKey returns a hash of what all attempts of a caller at a request have in
// common. Their IDs differ.
func attemptKey(q *request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{q.http.Method, q.http.Host, q.http.URI, strconv.Itoa(len(q.http.Body))} {
		// Writing to a digest does not fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// readBody reads the whole body of a caller's request.
func readBody(r *http.Request, in *body.Reader) ([]byte, *outcome) {
	content, err := in.Read(r.Context())
	switch {
	case err == nil:
		return content, nil
	case errors.Is(err, body.ErrTooLong):
		if r.Header["Expect"] == nil {
			in.Discard(maxDiscardedBytes)
		}
		return nil, &outcome{status: http.StatusRequestEntityTooLarge, rule: ruleBody}
	case errors.Is(err, body.ErrNoMemory):
		return nil, &outcome{status: http.StatusServiceUnavailable, rule: ruleMemory, retryAfter: retryafter.NoServer}
	case errors.Is(err, body.ErrSilent):
		return nil, &outcome{status: http.StatusRequestTimeout, rule: ruleBodySilent}
	}
	return nil, &outcome{status: http.StatusBadRequest, rule: ruleBodyBroken}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
