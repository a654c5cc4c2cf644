// Package front takes requests of callers beside the node, chooses the backend
// server's node for each, and answers.
//
// # A request
//
// The route says what may be repeated and for how long. The request is offered
// to one node after the other: a node that refuses has not run it, so asking the
// next costs nothing but time. After an answer that leaves open whether it ran,
// only an idempotent request is sent again, within the fleet's budget.
//
// When nobody has room the caller is told at once, as not run, with the time at
// which room is expected.
package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/budget"
	"lavenderdeal/core/gate"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/routes"
	"lavenderdeal/core/split"
	"lavenderdeal/internal/lines"
	"lavenderdeal/internal/mesh/local"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/meter"
	"lavenderdeal/internal/mesh/probe"
	"lavenderdeal/internal/mesh/turns"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	"lavenderdeal/platform"
	messages "lavenderdeal/schema/roster"
)

const (
	// promptOffers is the number of nodes that are asked for room, the last of
	// them also for late room. Each one costs a round trip of a millisecond or two.
	promptOffers = 3
	// maxOffers bounds all offers of one request.
	maxOffers = 8
	// leastLeft is the time below which no request is begun.
	leastLeft = 5 * time.Millisecond
	// noServerRetry is the advice when no server of the service is known: about
	// the time that a server needs to speak to its node.
	noServerRetry = 400 * time.Millisecond
	// fullRetry is the advice when all servers have refused a moment ago: about the
	// time in which one of their requests ends.
	fullRetry = 80 * time.Millisecond
	// stoppingRetry is the advice of a node that ends: about the time in which it
	// is started again.
	stoppingRetry = 300 * time.Millisecond
	// maxRetryAfter bounds the advice; callers take no more than a third of the
	// time they have left.
	maxRetryAfter = 2 * time.Second
	// maxDrained bounds what is read of a body that is refused.
	maxDrained = 1 << 20
	// leastDoubt and doubtFactor, in usual running times, bound the time without an
	// answer after which a node is asked whether it answers at all.
	leastDoubt  = 150 * time.Millisecond
	doubtFactor = 2
	// sampleOf is the number of successes of which one is logged.
	sampleOf = 16
	// spareBody is the size up to which a body of unknown length is read at once.
	spareBody = 4 << 10
)

// classTransfer is the class of all long bodies at the link's gate.
const classTransfer = "transfer"

// The rules that end a request here.
const (
	ruleStopping   = "nodeStopping"
	ruleNoVersion  = "noConfiguration"
	ruleNoRoute    = "noRoute"
	ruleNoID       = "noRequestID"
	ruleBody       = "bodyTooLarge"
	ruleBodyBroken = "bodyBroken"
	ruleLinkFull   = "linkFull"
	ruleFull       = "allServersFull"
	ruleNoServer   = "noServerKnown"
	ruleDeadline   = "deadlinePassed"
	ruleUnanswered = "nodeUnanswered"
)

// Self says who the node is.
type Self struct {
	Node, Zone, Service string
}

// Front is the handler of callers' requests. It is safe for use by several
// goroutines at once. Lock order: mu is the only lock, never held during a call.
type Front struct {
	self     Self
	versions *versions.Follower
	members  *members.Members
	local    *local.Server
	pool     *http1.Pool
	log      *lines.Log
	// link has a slot for each long body that may come in at once.
	link     *turns.Queue
	leaving  atomic.Bool
	closed   atomic.Bool
	inFlight atomic.Int64
	meter    *meter.Meter
	prober   *probe.Prober

	mu     sync.Mutex
	picker pick.Picker
	split  split.Splitter
	budget *budget.Budget
}

// Option changes a Front while it is built.
type Option func(*Front)

// WithBudget bounds how often requests are sent to a second server. The default
// never sends one again.
func WithBudget(b budget.Bound) Option {
	return func(f *Front) { f.budget = budget.New(b) }
}

// WithTransfers sets the number of long bodies that may come in over the
// instance's link at once. The default is one.
func WithTransfers(n int) Option {
	return func(f *Front) { f.link.Change(func(g *gate.Gate) { g.SetLimit(time.Now(), n) }) }
}

// WithMeter sets where requests are counted.
func WithMeter(m *meter.Meter) Option {
	return func(f *Front) { f.meter = m }
}

// New returns a handler.
func New(self Self, v *versions.Follower, m *members.Members, l *local.Server, lg *lines.Log, opts ...Option) *Front {
	f := &Front{
		self: self, versions: v, members: m, local: l, log: lg, pool: http1.New(),
		link: turns.New(), budget: budget.New(budget.Bound{Window: time.Second}), meter: &meter.Meter{},
	}
	f.prober = probe.New(f.pool, lg)
	WithTransfers(1)(f)
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Shut ends the probes of other nodes and the kept connections to them.
func (f *Front) Shut() {
	f.prober.Close()
	f.pool.Close()
}

// Leave makes each answer ask its caller to open another connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// Close makes each further request be refused as not run.
func (f *Front) Close() { f.closed.Store(true) }

// InFlight returns the number of requests without an answer.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// request is one request on its way.
type request struct {
	id       string
	route    *routes.Route
	service  string
	started  time.Time
	deadline time.Time
	http     *http1.Request
	version  uint64
	rank     int
	target   time.Time
	// inner says that a request on the own server waits for this one.
	inner bool

	tried    []string
	arrivals int
	offers   int
	// room is the shortest time after which a node expects room.
	room time.Duration
	// full counts nodes that refused for want of room.
	full int
	// trail says for the log whom the request was offered to, and what each said.
	trail []string
}

// outcome is how a request ended.
type outcome struct {
	answer *http1.Response
	// status and rule are of a failure of the node's own.
	status     int
	rule       string
	retryAfter time.Duration
	server     string
	// waited and load are what the server's node said.
	waited time.Duration
	load   pick.Load
}

// ServeHTTP answers a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	started := time.Now()
	if f.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	q, failed := f.read(r, started)
	if failed != nil {
		f.refuse(w, q, *failed)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	o := f.run(ctx, q)
	if o.answer != nil {
		f.answer(w, q, o)
		return
	}
	if r.Context().Err() != nil {
		o.rule = local.RuleCallerLeft
	}
	f.refuse(w, q, o)
}

// read decodes a caller's request. On a failure the request may be incomplete.
func (f *Front) read(r *http.Request, started time.Time) (*request, *outcome) {
	in := platform.ReadRequest(r.Header)
	q := &request{id: in.ID, started: started}
	if in.ID == "" {
		return q, &outcome{status: http.StatusBadRequest, rule: ruleNoID}
	}
	if f.closed.Load() {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleStopping, retryAfter: stoppingRetry}
	}
	table := f.versions.Table()
	if table == nil {
		return q, &outcome{status: http.StatusServiceUnavailable, rule: ruleNoVersion, retryAfter: noServerRetry}
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
	if in.HasLeft {
		left = min(left, in.Left)
	}
	q.deadline = started.Add(left)
	q.rank, q.target = route.Rank, started.Add(route.Target)
	if p, ok := f.local.Parent(in.Parent); ok {
		// The slot and the work of the parent are lost when its call fails, so the
		// call is as urgent as the parent and of use until the parent's target.
		q.inner = true
		q.rank = min(q.rank, p.Rank)
		q.target = latest(q.target, p.Target)
	}
	body, failed := readBody(r, table.Limits().BodyBytes)
	if failed != nil {
		return q, failed
	}
	q.http = &http1.Request{
		Method: r.Method, URI: uri, Host: r.Host, Body: body,
		Header: forwardedHeader(r.Header), Once: route.Kind != routes.Idempotent,
	}
	f.mu.Lock()
	q.service = f.split.Next(route)
	f.budget.First(started, q.service)
	f.mu.Unlock()
	return q, nil
}

func readBody(r *http.Request, limit int64) ([]byte, *outcome) {
	if limit > 0 && r.ContentLength > limit {
		if r.Header["Expect"] == nil {
			// A caller that is still sending would get a reset in place of the answer.
			// An error means that it has gone, and there is nobody to be told.
			_, _ = io.CopyN(io.Discard, r.Body, maxDrained)
		}
		return nil, &outcome{status: http.StatusRequestEntityTooLarge, rule: ruleBody}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, &outcome{status: http.StatusBadRequest, rule: ruleBodyBroken}
		}
		return body, nil
	}
	body := make([]byte, 0, spareBody)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, &outcome{status: http.StatusRequestEntityTooLarge, rule: ruleBody}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, &outcome{status: http.StatusBadRequest, rule: ruleBodyBroken}
		}
	}
}

// run offers the request until it is answered or nobody is left.
func (f *Front) run(ctx context.Context, q *request) outcome {
	var last outcome
	for q.offers < maxOffers {
		now := time.Now()
		if ctx.Err() != nil || q.deadline.Sub(now) < leastLeft {
			return deadlineOutcome(q, last)
		}
		choice, ok := f.pick(now, q)
		if ok && choice.Full && !q.inner {
			q.trail = append(q.trail, choice.Entry.Node+" full a moment ago")
		}
		if !ok || choice.Full && !q.inner {
			if ok && last.rule == "" {
				last.rule = ruleFull
				q.room = fullRetry
			}
			break
		}
		e := choice.Entry
		q.offers++
		patient := q.inner || choice.Last || q.offers >= promptOffers
		result, answer := f.offer(ctx, q, e, patient)
		if result.Arrived {
			q.arrivals++
		}
		if result.Verdict != hop.Ran {
			q.trail = append(q.trail, trailOf(e, result))
		}
		switch result.Verdict {
		case hop.Ran:
			last = outcome{answer: answer, server: e.Node, waited: result.Waited, load: result.Load}
			if answer.Status < http.StatusInternalServerError || !f.mayRepeat(ctx, q) {
				return last
			}
		case hop.NotRun:
			f.countRefusal(q, result)
			if result.Arrived && !f.takeRepeat(q) {
				return f.refused(q, result.Rule)
			}
			if last.status == 0 && last.answer == nil {
				last.rule = result.Rule
			}
			if patient && !q.inner {
				return f.settle(q, last)
			}
		case hop.Unknown:
			if last.answer == nil {
				last = outcome{status: http.StatusBadGateway, rule: result.Rule, server: e.Node}
				if result.Rule == local.RuleDeadline {
					last.status = http.StatusGatewayTimeout
				}
			}
			if !f.mayRepeat(ctx, q) {
				return last
			}
		}
		q.tried = append(q.tried, e.Node)
	}
	return f.settle(q, last)
}

// trailOf says what a node answered, and the load that it told.
func trailOf(e messages.Entry, r hop.Result) string {
	return e.Node + " " + r.Rule + " " + strconv.Itoa(r.Load.Running) + "+" + strconv.Itoa(r.Load.Queued) + "/" + strconv.Itoa(r.Load.Limit)
}

// settle ends a request that nobody is left to be asked for.
func (f *Front) settle(q *request, last outcome) outcome {
	if last.answer != nil || last.status != 0 {
		return last
	}
	rule := last.rule
	if rule == "" {
		rule = ruleNoServer
	}
	return f.refused(q, rule)
}

func deadlineOutcome(q *request, last outcome) outcome {
	if last.answer != nil || last.status != 0 {
		return last
	}
	if q.arrivals == 0 {
		// Nothing was sent: that the request has not run is true and of use.
		return outcome{status: http.StatusServiceUnavailable, rule: ruleDeadline}
	}
	return outcome{status: http.StatusGatewayTimeout, rule: ruleDeadline}
}

func (f *Front) pick(now time.Time, q *request) (pick.Choice, bool) {
	ready := f.members.Ready(q.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.Pick(now, ready, pick.Request{
		Zone: f.self.Zone, Class: q.route.Name, Bytes: len(q.http.Body),
		Left: q.target.Sub(now), Tried: q.tried, Random: rand.Float64,
	})
}

// mayRepeat says whether a request that may have run may be sent again, and
// takes it from the budget.
func (f *Front) mayRepeat(ctx context.Context, q *request) bool {
	return q.route.Kind == routes.Idempotent && ctx.Err() == nil && f.takeRepeat(q)
}

// takeRepeat says whether a server may be handed the request again.
func (f *Front) takeRepeat(q *request) bool {
	if q.arrivals >= max(1, q.route.MaxServers) {
		return false
	}
	nodes := f.members.Len()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Take(time.Now(), q.service, nodes)
}

func (f *Front) countRefusal(q *request, r hop.Result) {
	if r.RetryAfter > 0 {
		q.full++
		if q.room == 0 || r.RetryAfter < q.room {
			q.room = r.RetryAfter
		}
	}
}

// offer sends the request to one node and notes what came of it.
func (f *Front) offer(ctx context.Context, q *request, e messages.Entry, patient bool) (hop.Result, *http1.Response) {
	now := time.Now()
	c := hop.Call{
		Origin: f.self.Service, Instance: e.Server, Class: q.route.Name, Rank: q.rank,
		Inner: q.inner, Patient: patient, Once: q.http.Once,
		Target: q.target.Sub(now), Left: q.deadline.Sub(now),
	}
	f.mu.Lock()
	f.picker.Sent(e)
	f.mu.Unlock()
	result, answer, err := f.send(ctx, q, e, c)
	f.mu.Lock()
	now = time.Now()
	failed := false
	switch {
	case err == nil:
		f.picker.Answered(now, e, q.route.Name, result.Load)
		switch {
		case result.Verdict != hop.NotRun || result.RetryAfter == 0:
		case result.Rule == ruleLinkFull:
			f.picker.RefusedLong(now, e, result.RetryAfter)
		default:
			f.picker.Refused(now, e, result.RetryAfter)
		}
	case ctx.Err() != nil && result.Verdict == hop.Unknown && errors.Is(ctx.Err(), context.Canceled):
		f.picker.Lost(e)
	default:
		f.picker.Failed(now, e)
		failed = true
	}
	f.mu.Unlock()
	if failed {
		f.prober.Watch(e, func() { f.restore(e) })
		if f.log.Allows("offerFailed") {
			f.log.Write("offerFailed", log.Fields{"request": q.id, "peer": e.Node, "server": e.Server, "rule": result.Rule, "error": err})
		}
	}
	return result, answer
}

func (f *Front) restore(e messages.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.Restore(e)
}

// send returns an error when the node itself did not answer.
func (f *Front) send(ctx context.Context, q *request, e messages.Entry, c hop.Call) (hop.Result, *http1.Response, error) {
	if e.Node == f.self.Node {
		result, answer := f.local.Run(ctx, c, q.http)
		return result, answer, nil
	}
	forwarded := *q.http
	forwarded.Header = cloneHeader(q.http.Header)
	forwarded.IsAnswer = nil
	forwarded.Ask = len(q.http.Body) >= pick.LongBody
	hop.WriteCall(forwarded.Header, c)
	if q.route.Kind == routes.Idempotent {
		limited, cancel := context.WithCancel(ctx)
		defer cancel()
		doubt := time.AfterFunc(f.doubtAfter(e, q), func() {
			if !f.prober.Answers(limited, e) {
				cancel()
			}
		})
		defer doubt.Stop()
		ctx = limited
	}
	answer, err := f.pool.Do(ctx, e.Call, &forwarded)
	if err != nil {
		if !http1.Sent(err) {
			return hop.Result{Verdict: hop.NotRun, Rule: ruleUnanswered}, nil, err
		}
		rule := ruleUnanswered
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rule = local.RuleDeadline
		}
		return hop.Result{Verdict: hop.Unknown, Rule: rule, Arrived: true}, nil, err
	}
	result, err := hop.ReadResult(answer.Header)
	if err != nil {
		return hop.Result{Verdict: hop.Unknown, Rule: ruleUnanswered, Arrived: true}, nil, err
	}
	return result, answer, nil
}

// doubtAfter returns the time without an answer after which a node is asked
// whether it answers at all.
func (f *Front) doubtAfter(e messages.Entry, q *request) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(leastDoubt, doubtFactor*f.picker.Took(e, q.route.Name))
}

// refused is the outcome of a request that has not run.
func (f *Front) refused(q *request, rule string) outcome {
	left := time.Until(q.deadline)
	after := q.room
	if after == 0 {
		after = noServerRetry
	}
	// Callers that were refused together should not return together.
	after = after/2 + rand.N(after)
	return outcome{status: http.StatusServiceUnavailable, rule: rule, retryAfter: min(after, max(left/3, time.Millisecond), maxRetryAfter)}
}

func (f *Front) answer(w http.ResponseWriter, q *request, o outcome) {
	h := w.Header()
	for name, values := range o.answer.Header {
		if !isConnectionHeader(name) {
			h[name] = values
		}
	}
	h["Content-Length"] = []string{strconv.Itoa(len(o.answer.Body))}
	w.WriteHeader(o.answer.Status)
	if _, err := w.Write(o.answer.Body); err != nil && f.log.Allows("answerNotTaken") {
		f.log.Write("answerNotTaken", log.Fields{"request": q.id, "error": err})
	}
	kind := "served"
	if o.answer.Status >= http.StatusInternalServerError {
		kind = "serverFailed"
	}
	f.note(kind, q, o, o.answer.Status)
}

func (f *Front) refuse(w http.ResponseWriter, q *request, o outcome) {
	if o.status == 0 {
		o.status = http.StatusBadGateway
	}
	h := w.Header()
	platform.WriteRefusal(h, q.id, o.retryAfter)
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	body := "lavenderdeal: " + o.rule + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(o.status)
	if _, err := io.WriteString(w, body); err != nil && f.log.Allows("answerNotTaken") {
		f.log.Write("answerNotTaken", log.Fields{"request": q.id, "error": err})
	}
	kind := "failed"
	if o.status == http.StatusServiceUnavailable {
		kind = "refused"
	}
	f.note(kind, q, o, o.status)
}

func (f *Front) note(kind string, q *request, o outcome, status int) {
	if q.route != nil {
		f.meter.Observe(meter.Class{Service: q.service, Kind: kindNames[q.route.Kind], Rank: q.route.Rank, Inner: q.inner}, kind, time.Since(q.started))
	}
	if kind == "served" && !isSampled(q.id) || !f.log.Allows(kind) {
		return
	}
	fields := log.Fields{
		"request": q.id, "status": status, "rule": o.rule, "version": q.version,
		"inner": q.inner, "tookMs": time.Since(q.started).Milliseconds(), "offers": q.offers, "arrivals": q.arrivals,
	}
	if q.route != nil {
		fields["route"], fields["service"] = q.route.Name, q.service
	}
	if o.server != "" {
		fields["by"] = o.server
		fields["waitedMs"], fields["running"], fields["queued"] = o.waited.Milliseconds(), o.load.Running, o.load.Queued
		fields["usualMs"], fields["failing"] = o.load.Took.Milliseconds(), o.load.Failing
	}
	if len(q.trail) > 0 {
		fields["asked"] = q.trail
	}
	if o.retryAfter > 0 {
		fields["retryAfterMs"] = o.retryAfter.Milliseconds()
	}
	f.log.Write(kind, fields)
}

// kindNames are the kinds as logs and metrics name them.
var kindNames = map[routes.Kind]string{routes.Once: "once", routes.Idempotent: "idempotent", routes.Upload: "upload"}

// isSampled says whether a success is logged. All nodes choose the same requests,
// and a call as the request that makes it, so that what is logged is complete.
func isSampled(id string) bool {
	root, _, _ := strings.Cut(id, ".")
	return xxhash.Sum64String(root)%sampleOf == 0
}

// Inbound returns the handler of requests that other nodes forward.
func (f *Front) Inbound() http.Handler { return http.HandlerFunc(f.serveHop) }

func (f *Front) serveHop(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probe.Path && !hop.IsCall(r.Header) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c, err := hop.ReadCall(r.Header)
	if err != nil {
		f.log.Note("hopMalformed", log.Fields{"error": err, "from": r.RemoteAddr})
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	done, refused := f.admitBody(r, c)
	if refused != nil {
		f.noteHop(r, c, *refused)
		hop.WriteResult(w.Header(), *refused)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, failed := readBody(r, 0)
	done(failed == nil)
	if failed != nil {
		http.Error(w, failed.rule, failed.status)
		return
	}
	late := time.Since(arrived)
	c.Left, c.Target = c.Left-late, c.Target-late
	result, answer := f.local.Run(r.Context(), c, &http1.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: forwardedHeader(r.Header), Body: body,
	})
	f.noteHop(r, c, result)
	h := w.Header()
	status := http.StatusOK
	var content []byte
	if answer != nil {
		for name, values := range answer.Header {
			if !isConnectionHeader(name) {
				h[name] = values
			}
		}
		status, content = answer.Status, answer.Body
	}
	hop.WriteResult(h, result)
	h["Content-Length"] = []string{strconv.Itoa(len(content))}
	w.WriteHeader(status)
	if _, err := w.Write(content); err != nil && f.log.Allows("hopNotTaken") {
		f.log.Write("hopNotTaken", log.Fields{"request": platform.ReadRequest(r.Header).ID, "error": err})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteHop logs what became of a request that another node has forwarded.
func (f *Front) noteHop(r *http.Request, c hop.Call, result hop.Result) {
	id := platform.ReadRequest(r.Header).ID
	kind := "ranHere"
	if result.Verdict != hop.Ran {
		kind = "notRunHere"
	} else if !isSampled(id) {
		return
	}
	if !f.log.Allows(kind) {
		return
	}
	f.log.Write(kind, log.Fields{
		"request": id, "verdict": string(result.Verdict), "rule": result.Rule, "instance": c.Instance, "origin": c.Origin, "inner": c.Inner,
		"waitedMs": result.Waited.Milliseconds(), "running": result.Load.Running, "queued": result.Load.Queued, "slots": result.Load.Limit,
		"usualMs": result.Load.Took.Milliseconds(), "failing": result.Load.Failing, "targetMs": c.Target.Milliseconds(), "leftMs": c.Left.Milliseconds(),
	})
}

// admitBody waits until a long body may come in. The link is shared with short
// requests, which would wait behind the bodies, and a body that comes too late or
// for a full server was sent in vain.
func (f *Front) admitBody(r *http.Request, c hop.Call) (done func(read bool), refused *hop.Result) {
	if r.ContentLength < pick.LongBody {
		return func(bool) {}, nil
	}
	if refused := f.local.Expect(c); refused != nil {
		return nil, refused
	}
	now := time.Now()
	load := f.local.Load(c.Class)
	id, full := f.link.Admit(r.Context(), gate.Request{
		Class: classTransfer, Rank: c.Rank, Patient: c.Patient,
		Target: now.Add(c.Target - load.Took), Deadline: now.Add(c.Left - load.Took),
	})
	if full != nil {
		return nil, &hop.Result{Verdict: hop.NotRun, Rule: ruleLinkFull, RetryAfter: full.RetryAfter, Load: load}
	}
	return func(read bool) { f.link.Done(id, read) }, nil
}

// forwardedHeader returns the fields that are not of one connection alone.
func forwardedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !isConnectionHeader(name) {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	hop.Strip(to)
	return to
}

func cloneHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+1)
	for name, values := range from {
		to[name] = values
	}
	return to
}

// isConnectionHeader says whether a field concerns one connection, or is set
// anew on each.
func isConnectionHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
