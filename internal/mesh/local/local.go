// Package local runs requests on the backend server beside the node.
//
// All requests to the backend server pass through a [Server]. It applies admission
// control to them, counts the ones that run, and reports for each whether it ran. It
// forwards no request before the first heartbeat of the backend server, and none
// after the time at which a leaving server stops taking requests:
//
//	s := local.New(beats, pool, log, monitor, onChange)
//	result, answer := s.Run(ctx, call, request)
package local

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"lavenderdeal/core/abandoned"
	"lavenderdeal/core/gate"
	"lavenderdeal/core/heartbeats"
	"lavenderdeal/core/outlier"
	"lavenderdeal/core/pick"
	"lavenderdeal/core/quarantine"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/httpcheck"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/waitqueue"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
	"lavenderdeal/platform"
)

const (
	// leaveMargin is the last part of a leaving server's drain time, in which it gets
	// no more requests, since a request takes a moment from admission to the server.
	leaveMargin = 300 * time.Millisecond
	// healthTimeout bounds a health check of the server.
	healthTimeout = 1 * time.Second
	// maxHealthAnswer bounds the body of the answer to it, in bytes.
	maxHealthAnswer = 64 << 10
	// failureSmoothing is the weight of the newest outcome in the moving average of
	// the failure rate.
	failureSmoothing = 0.1
	// maxFailureRate is the failure rate above which a server takes no request that
	// another one may have a free slot for.
	maxFailureRate = 0.25
)

// The rules by which this package refuses or fails a request, besides those of the
// gate.
const (
	// RuleNoServer means that the server has not sent a heartbeat yet.
	RuleNoServer = "noServer"
	// RuleOtherServer means that the request is for another process of the server.
	RuleOtherServer = "otherServer"
	// RuleUnreachable means that the request could not be sent to the server.
	RuleUnreachable = "serverUnreachable"
	// RuleServerFull means that the server itself refused to run the request.
	RuleServerFull = "serverFull"
	// RuleConnectionBroken means that the connection broke before the whole answer.
	RuleConnectionBroken = "serverBroke"
	// RuleCallerLeft means that the caller no longer waits.
	RuleCallerLeft = waitqueue.RuleCallerLeft
	// RuleWaitedTooLong means that the request has waited too long for a slot.
	RuleWaitedTooLong = waitqueue.RuleWaitedTooLong
	// RuleDeadline means that the deadline of the request has passed.
	RuleDeadline = gate.RuleDeadline
	// RuleFailing means that the server has failed many requests in a row and gets none for
	// a while.
	RuleFailing = "serverFailing"
	// RuleInvalidResponse means that the answer is none by HTTP/1.1, has a content encoding, or a
	// success status without the server's signature.
	RuleInvalidResponse = "answerSpoilt"
	// RuleUnprovenRefusal means that the status of the answer implies that the
	// request did not run, but the server has not confirmed it.
	RuleUnprovenRefusal = "refusalWithoutProof"
	// RuleWithdrawn means that the node that forwarded the request has taken it back.
	RuleWithdrawn = "withdrawn"
	// RuleCallRefused means that the server failed the request because a call that it made for
	// it was refused. It says nothing about the server, and the calls of another run would
	// meet the same service.
	RuleCallRefused = "callRefused"
	// RuleVersion means that the version of the server's software gets no requests.
	RuleVersion = "versionHeld"
	// RuleQuarantined means that requests like this one have crashed servers.
	RuleQuarantined = crashes.RuleQuarantined
)

// The sources that say that the server is leaving, for the log.
const (
	sourceMessage = "message"
	sourceAnswer  = "answer"
)

// State is the state of the backend server that the node publishes to other nodes.
type State struct {
	// Instance identifies the process of the server, or is empty if none is known.
	Instance string
	// Started is the start time that the server reports.
	Started time.Time
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Ready is set when the server takes requests.
	Ready bool
	// Leaving is set when the server has announced that it is leaving.
	Leaving bool
}

// Parent is a request that runs on the server and may make calls of its own.
type Parent struct {
	// Rank is the priority under load; 0 is the highest.
	Rank int
	// Target is when the target latency ends, and Deadline when the caller stops
	// waiting.
	Target, Deadline time.Time
	// Repeated is set if the request may have reached another server before, or is a call of
	// a run of such a request.
	Repeated bool

	// GivenUp ends when the request is given up while the server runs it, by giveUp.
	GivenUp context.Context
	giveUp  context.CancelFunc

	// callRefused is the service of the last call that was refused, or empty if the server
	// has made it again with success.
	callRefused string
}

// Server runs requests on the backend server. It is safe for concurrent use. Lock
// order: notifyMu is taken before mu, and mu before the locks of a start function.
type Server struct {
	pool     *http1.Pool
	log      *jsonlog.Log
	onChange func(State)
	monitor  *crashes.Monitor

	queue *waitqueue.Queue
	// trial is nil if no versions of the server's software are on trial.
	trial Trial

	// notifyMu serializes the calls of onChange.
	notifyMu sync.Mutex

	mu    sync.Mutex
	beats *heartbeats.Server
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	// outlier decides when the server gets no requests for a while, because the answers to
	// those before were broken. ejectedUntil is when it gets some again.
	outlier      outlier.Detector
	ejectedUntil time.Time
	// parents holds the requests that run on the server, by ID.
	parents map[string]Parent
	// abandoned holds those that were given up while they ran.
	abandoned abandoned.Table
	// down is set when the server has refused a connection since its last accepted
	// heartbeat.
	down bool
	// refusing is set by RefuseWaiting.
	refusing bool
	// rateLimit is the number of requests a second that the server takes by its last
	// answer, or 0 without a limit.
	rateLimit float64
}

// Trial decides whether a version of the server's software gets requests, and counts what
// comes of them. It is called concurrently.
type Trial interface {
	// Refuses reports whether requests for servers of a version are refused.
	Refuses(version string) bool
	// Observe counts a request that the server has run.
	Observe(r Run)
}

// Run describes a request that the server has run.
type Run struct {
	// Version is the version of the server's software.
	Version string
	// Class is the name of the request's route.
	Class string
	// Took is the running time.
	Took time.Duration
	// Failed is set if the answer was a failure, or none.
	Failed bool
	// Cold is set if the server has started recently, so that it is slow.
	Cold bool
}

// Option configures a Server.
type Option func(*Server)

// WithTrial sets what decides on versions of the server's software.
func WithTrial(t Trial) Option { return func(s *Server) { s.trial = t } }

// New returns a Server whose backend server has not sent a heartbeat yet. It calls
// onChange with each new state and reports running requests to the crash monitor.
func New(beats *heartbeats.Server, pool *http1.Pool, l *jsonlog.Log, monitor *crashes.Monitor, onChange func(State), opts ...Option) *Server {
	s := &Server{
		monitor: monitor, pool: pool, log: l, onChange: onChange, beats: beats,
		queue:   waitqueue.New(),
		parents: make(map[string]Parent),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// observe counts a request that the server has run. Requests that were cancelled tell
// nothing of the server.
func (s *Server) observe(m heartbeats.Message, c hop.Call, took time.Duration, result hop.Result, answer *http1.Response) {
	if s.trial == nil || !result.ReachedServer || result.Verdict == hop.NotRun || result.Rule == RuleCallerLeft {
		return
	}
	failed := result.Verdict == hop.Unknown && result.Rule != RuleDeadline
	if result.Verdict == hop.Ran {
		// The server answers 504 at the deadline, which counts by its time.
		failed = answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout
	}
	s.trial.Observe(Run{Version: m.Version, Class: c.Class, Took: took, Failed: failed, Cold: m.WarmUp > 0})
}

// Heartbeat handles a heartbeat. It returns an error if the heartbeat is rejected.
func (s *Server) Heartbeat(m heartbeats.Message) error {
	now := time.Now()
	s.mu.Lock()
	before, _, _ := s.beats.Current()
	outcome := s.beats.Handle(now, m)
	accepted, ok := outcome.(heartbeats.Accepted)
	if !s.isCurrentLocked(before) {
		s.setRateLimitLocked(now, 0)
	}
	changed := ok && (accepted.Changed || s.down)
	if ok {
		s.down = false
	}
	if changed {
		s.failureRate, s.outlier, s.ejectedUntil = 0, outlier.Detector{}, time.Time{}
	}
	s.applyLocked(now)
	s.mu.Unlock()
	switch o := outcome.(type) {
	case heartbeats.Rejected:
		s.log.WriteLimited("beatRejected", log.Fields{"server": m.ID, "service": m.Service, "reason": o.Reason})
		return errors.Newf("heartbeat of %s: %s", m.ID, o.Reason)
	case heartbeats.Ignored:
		s.log.WriteLimited("beatIgnored", log.Fields{"server": m.ID, "sequence": m.Sequence, "started": m.Started})
	case heartbeats.Accepted:
		if changed {
			s.log.WriteLimited("serverChanged", log.Fields{"server": m.ID, "slots": m.Slots, "leaving": m.Leaving, "coldFor": m.WarmUp.String(), "sequence": m.Sequence})
			s.notify()
		}
	}
	return nil
}

// Leave handles the message by which the server with an ID announces that it is
// leaving.
func (s *Server) Leave(id string) {
	now := time.Now()
	s.mu.Lock()
	changed := s.beats.Leave(now, id)
	s.applyLocked(now)
	s.mu.Unlock()
	s.log.WriteLimited("serverLeft", log.Fields{"server": id, "known": changed, "source": sourceMessage})
	if changed {
		s.notify()
	}
}

// MarkLeft records that the server process with an ID and a start time has announced to
// an earlier process of this node that it is leaving. It gets no more requests.
func (s *Server) MarkLeft(id string, started time.Time) {
	now := time.Now()
	s.mu.Lock()
	before := s.stateLocked()
	isNew := s.beats.MarkEnded(now, id, started)
	s.applyLocked(now)
	state := s.stateLocked()
	s.mu.Unlock()
	if isNew {
		s.log.WriteLimited("serverForbidden", log.Fields{"server": id, "started": started})
	}
	if state != before {
		s.notify()
	}
}

// WasReplaced returns true if the server with an ID was this node's until another process
// of it took its place.
func (s *Server) WasReplaced(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beats.WasReplaced(id)
}

// Confirm lets the server take requests, if it did not announce to an earlier process of
// this node that it is leaving. The source says how the node has found out, for the log.
func (s *Server) Confirm(source string) {
	now := time.Now()
	s.mu.Lock()
	changed := s.beats.Confirm()
	s.applyLocked(now)
	state := s.stateLocked()
	s.mu.Unlock()
	if !changed {
		return
	}
	s.log.WriteLimited("serverConfirmed", log.Fields{"server": state.Instance, "leaving": state.Leaving, "source": source})
	if state.Ready {
		s.notify()
	}
}

// IsConfirmed returns false until Confirm is called, if the node awaits that.
func (s *Server) IsConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beats.IsConfirmed()
}

// SaysHealthy reports whether the server answers the health check at the path as one that
// is not leaving. It returns false if no server is known.
func (s *Server) SaysHealthy(ctx context.Context, path string) bool {
	s.mu.Lock()
	m, _, known := s.beats.Current()
	s.mu.Unlock()
	if !known || m.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := s.pool.Do(ctx, m.Address, &http1.Request{Method: http.MethodGet, URI: path, Host: m.Address.String(), MaxBody: maxHealthAnswer})
	return err == nil && answer.Status == http.StatusOK && platform.ReadInstance(answer.Header) == m.ID
}

// notify passes the current state to onChange. The last call always passes the newest state,
// also when several changes overlap.
func (s *Server) notify() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.onChange(s.State())
}

// SetDrain sets how long a server takes requests after it announces that it is
// leaving. It applies to later announcements.
func (s *Server) SetDrain(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats.SetDrain(d)
}

// State returns the current state of the backend server.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateLocked()
}

func (s *Server) stateLocked() State {
	m, _, known := s.beats.Current()
	return State{
		Instance: m.ID, Started: m.Started, Version: m.Version, Slots: m.Slots,
		Ready:   known && !m.Leaving && !s.down && s.beats.IsConfirmed(),
		Leaving: known && m.Leaving,
	}
}

// RefuseWaiting refuses the requests that wait for a slot and all later ones. Those that
// run on the server go on.
func (s *Server) RefuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	s.queue.Update(func(g *gate.Gate) { g.Close() })
}

// applyLocked opens or closes the gate according to the state of the server.
func (s *Server) applyLocked(now time.Time) {
	if s.refusing {
		return
	}
	s.queue.Update(func(g *gate.Gate) { s.beats.Apply(now.Add(leaveMargin), g) })
}

// Parent returns the request with an ID. It returns false if the request does not run on
// the server.
func (s *Server) Parent(id string) (Parent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parents[id]
	return p, ok
}

// CallRefused records that a call to a service was refused, of the request with an ID.
func (s *Server) CallRefused(id, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.parents[id]; ok {
		p.callRefused = service
		s.parents[id] = p
	}
}

// CallServed records that a call to a service was answered, of the request with an ID.
func (s *Server) CallServed(id, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.parents[id]; ok && p.callRefused == service {
		p.callRefused = ""
		s.parents[id] = p
	}
}

// IsAbandoned reports whether the request with an ID was given up while the server ran it, so
// that nobody gets its answer.
func (s *Server) IsAbandoned(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned.Has(time.Now(), id)
}

// Load returns the load of the server, with the mean running time of a class.
func (s *Server) Load(class string) pick.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked(class)
}

func (s *Server) loadLocked(class string) pick.Load {
	running, queued, limit, usual := s.queue.Load(class)
	return pick.Load{Running: running, Queued: queued, Limit: limit, FailureRate: s.failureRate, RunTime: usual}
}

// InnerShare returns the share of the slots that calls of running requests have taken of late.
func (s *Server) InnerShare() (share float64) {
	s.queue.Update(func(g *gate.Gate) { share = g.InnerShare(time.Now()) })
	return share
}

// EjectedFor returns the time until the server gets requests again, or 0 if it gets some.
func (s *Server) EjectedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.ejectedUntil), 0)
}

// WouldRefuse returns the result with which a request would be refused now, or nil.
func (s *Server) WouldRefuse(c hop.Call) *hop.Result {
	now := time.Now()
	refused := s.queue.WouldRefuse(gateRequest(now, c))
	if refused == nil {
		return nil
	}
	result := notRun(refused.Rule, refused.RetryAfter)
	result.Load = s.Load(c.Class)
	return result
}

// RunOption changes how a request is run.
type RunOption func(*runOptions)

type runOptions struct {
	start   func() bool
	hasLeft func() bool
}

// WithStart calls fn just before the request is sent to the server. If fn returns false,
// the request is refused as withdrawn.
func WithStart(fn func() bool) RunOption { return func(o *runOptions) { o.start = fn } }

// WithSender sets a function that reports whether the sender of the request has left. It is
// called just before the request is sent to the server, and a request whose sender has left
// is refused.
func WithSender(hasLeft func() bool) RunOption { return func(o *runOptions) { o.hasLeft = hasLeft } }

// Run waits for a slot and runs a request on the server. The response is nil unless
// the verdict is [hop.Ran].
func (s *Server) Run(ctx context.Context, c hop.Call, r *http1.Request, opts ...RunOption) (hop.Result, *http1.Response) {
	o := runOptions{start: func() bool { return true }, hasLeft: func() bool { return false }}
	for _, opt := range opts {
		opt(&o)
	}
	started := time.Now()
	deadline := started.Add(c.TimeLeft)
	monitored := monitoredCall(r)
	id, instance, refused := s.admit(ctx, started, c)
	if refused == nil && s.monitor.Check(monitored.Fingerprint) != nil {
		s.queue.Done(id, false)
		refused = notRun(RuleQuarantined, 0)
	}
	if refused != nil {
		refused.Load = s.Load(c.Class)
		return *refused, nil
	}
	waited := time.Since(started)
	s.monitor.Begin(id, monitored)
	result, answer := s.exchange(ctx, c, r, instance, deadline, o)
	switch {
	case result.Rule == RuleConnectionBroken:
		s.monitor.ConnectionBroken(id)
	case answer != nil:
		s.monitor.Answered(id)
	}
	s.monitor.End(id)
	result.Waited = waited
	s.queue.Done(id, result.Verdict == hop.Ran)
	s.mu.Lock()
	s.updateFailureRateLocked(result, answer)
	ejected := s.updateOutlierLocked(time.Now(), result)
	until := s.ejectedUntil
	result.Load = s.loadLocked(c.Class)
	s.mu.Unlock()
	if ejected != "" {
		s.log.WriteLimited("serverEjected", log.Fields{"server": instance, "reason": ejected, "forMs": time.Until(until).Milliseconds()})
	}
	return result, answer
}

// QuarantinedFor returns the time for which requests like r are refused because they have
// crashed servers, here or elsewhere. It returns 0 if they are not.
func (s *Server) QuarantinedFor(r *http1.Request) time.Duration {
	if s.monitor.IsEmpty() {
		return 0
	}
	if refused, ok := verdict.Of(s.monitor.Check(monitoredCall(r).Fingerprint)).(verdict.NotRun); ok {
		return refused.RetryAfter
	}
	return 0
}

// monitoredCall returns the record of a request for the crash monitor. It does not
// depend on the caller's service, since a request that crashes servers may come
// from any caller.
func monitoredCall(r *http1.Request) crashes.Call {
	q := quarantine.Request{Method: r.Method, URI: r.Host + r.URI, Length: int64(len(r.Body))}
	if len(r.Body) < pick.LargeBodyBytes {
		q.Body = r.Body
	}
	return crashes.Call{Fingerprint: quarantine.Fingerprint(q), Method: r.Method, Path: r.Host + r.URI}
}

// admit waits until the request has a slot. It returns the ID of the slot and the
// instance of the server, or the refusal.
func (s *Server) admit(ctx context.Context, now time.Time, c hop.Call) (uint64, string, *hop.Result) {
	s.mu.Lock()
	m, leaves, known := s.beats.Current()
	if known && m.Leaving && !now.Add(leaveMargin).Before(leaves) {
		s.applyLocked(now)
	}
	s.mu.Unlock()
	switch {
	case !known:
		return 0, "", notRun(RuleNoServer, 0)
	case m.ID != c.Instance:
		return 0, "", notRun(RuleOtherServer, 0)
	case s.trial != nil && s.trial.Refuses(m.Version):
		return 0, "", notRun(RuleVersion, 0)
	}
	if refused := s.refuseFailing(now, c); refused != nil {
		return 0, "", refused
	}
	id, refused := s.queue.Admit(ctx, gateRequest(now, c))
	if refused != nil {
		return 0, "", notRun(refused.Rule, refused.RetryAfter)
	}
	return id, m.ID, nil
}

// refuseFailing returns the refusal of a request that the server would probably fail, or
// nil. A server that fails requests at once always has free slots, so that it would draw
// more of them than the others.
func (s *Server) refuseFailing(now time.Time, c hop.Call) *hop.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.outlier.IsEjected(now) && !c.OnlyNode:
		return notRun(RuleFailing, s.ejectedUntil.Sub(now))
	case c.OnlyFree && s.failureRate > maxFailureRate:
		return notRun(gate.RuleBusy, 0)
	}
	return nil
}

// gateRequest returns the request in the form that the gate takes, with points in time
// in place of the time left.
func gateRequest(now time.Time, c hop.Call) gate.Request {
	return gate.Request{
		Class: c.Class, Inner: c.Inner, Rank: c.Rank, AllowLate: c.AllowLate, OnlyFree: c.OnlyFree,
		Target: now.Add(c.Target), Deadline: now.Add(c.TimeLeft),
	}
}

// exchange sends the request to the server and determines from the answer whether the
// request ran.
func (s *Server) exchange(ctx context.Context, c hop.Call, r *http1.Request, instance string, deadline time.Time, o runOptions) (hop.Result, *http1.Response) {
	if ctx.Err() != nil || o.hasLeft() {
		return *notRun(RuleCallerLeft, 0), nil
	}
	left := time.Until(deadline)
	if left <= 0 {
		return *notRun(RuleDeadline, 0), nil
	}
	sent := *r
	sent.Header = maps.Clone(r.Header)
	id := platform.ReadRequest(sent.Header).ID
	platform.WriteRequest(sent.Header, platform.ServerHeaders{Origin: c.Origin, Instance: instance, Account: c.Account, TimeLeft: left})
	sent.AtMostOnce = c.AtMostOnce
	sent.IsAnswer = func(h http.Header) bool { return platform.ReadAnswer(0, h).ID == id }
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.mu.Lock()
	m, leaves, _ := s.beats.Current()
	if now := time.Now(); m.ID != instance || m.Leaving && !now.Add(leaveMargin/2).Before(leaves) {
		// The server left while the request waited for a slot.
		s.mu.Unlock()
		return *notRun(gate.RuleClosed, 0), nil
	}
	if s.trial != nil && s.trial.Refuses(m.Version) {
		s.mu.Unlock()
		return *notRun(RuleVersion, 0), nil
	}
	if !o.start() {
		s.mu.Unlock()
		return *notRun(RuleWithdrawn, 0), nil
	}
	s.abandoned.Remove(id)
	givenUp, giveUp := context.WithCancel(context.Background())
	running := Parent{Rank: c.Rank, Target: time.Now().Add(c.Target), Deadline: deadline, Repeated: c.Repeated, GivenUp: givenUp, giveUp: giveUp}
	s.parents[id] = running
	s.mu.Unlock()
	sentAt := time.Now()
	answer, err := s.pool.Do(ctx, m.Address, &sent)
	s.mu.Lock()
	callRefused := s.parents[id].callRefused != ""
	delete(s.parents, id)
	if err != nil && ctx.Err() != nil {
		s.abandoned.Add(time.Now(), id, deadline)
		running.giveUp()
	}
	s.mu.Unlock()
	s.logGivenUp(ctx, id, sentAt, err)
	result := s.judge(ctx, id, m, answer, err)
	if callRefused && result.Verdict == hop.Ran && answer.Status >= http.StatusInternalServerError {
		result.Rule = RuleCallRefused
	}
	s.observe(m, c, time.Since(sentAt), result, answer)
	if result.Verdict != hop.Ran {
		answer = nil
	}
	return result, answer
}

// logGivenUp logs a request that was given up after it had been sent to the server. Over a new
// connection that the server has not accepted, or one that it does not read, it may reach the
// server later.
func (s *Server) logGivenUp(ctx context.Context, id string, sentAt time.Time, err error) {
	var e *http1.Error
	if ctx.Err() == nil || !errors.As(err, &e) || !e.MayHaveSent || !s.log.Allow("givenUpAtServer") {
		return
	}
	s.log.Write("givenUpAtServer", log.Fields{
		"request": id, "newConnection": e.IsNewConnection, "connectionAgeMs": e.ConnectionAge.Milliseconds(),
		"sentMs": time.Since(sentAt).Milliseconds(), "error": ctx.Err(),
	})
}

// judge returns the result of a request that was sent to the server.
func (s *Server) judge(ctx context.Context, id string, m heartbeats.Message, answer *http1.Response, err error) hop.Result {
	if err != nil {
		return s.failedResult(ctx, id, err)
	}
	info := platform.ReadAnswer(answer.Status, answer.Header)
	s.applyAnswer(m, info)
	switch {
	case info.NotRun && !info.Signed:
		return hop.Result{Verdict: hop.NotRun, Rule: RuleServerFull, ReachedServer: true}
	case info.Encoded:
		return hop.Result{Verdict: hop.Unknown, Rule: RuleInvalidResponse, ReachedServer: true}
	case isSuccess(answer.Status) && !info.Signed:
		return hop.Result{Verdict: hop.Unknown, Rule: RuleInvalidResponse, ReachedServer: true}
	case promisesNotRun(answer.Status):
		// Callers would take the status as proof that the request did not run, but
		// the server has not confirmed it.
		return hop.Result{Verdict: hop.Unknown, Rule: RuleUnprovenRefusal, ReachedServer: true}
	}
	return hop.Result{Verdict: hop.Ran, ReachedServer: true}
}

// isCurrentLocked reports whether a message is from the current run of the server.
func (s *Server) isCurrentLocked(m heartbeats.Message) bool {
	current, _, _ := s.beats.Current()
	return current.ID == m.ID && current.Started.Equal(m.Started)
}

// applyAnswer applies what an answer says of the server: the rate of requests that it
// takes, and whether it is leaving. The message identifies the run of the server that the
// request was sent to.
func (s *Server) applyAnswer(run heartbeats.Message, info platform.AnswerHeaders) {
	now := time.Now()
	rateLimit := 0.0
	if info.HasRateLimit {
		rateLimit = max(info.RateLimit, gate.MinRate)
	}
	// An answer without a signature may not be the server's, so it ends no limit.
	knowsLimit := info.HasRateLimit || info.Signed && info.InvalidRateLimit == ""
	s.mu.Lock()
	if !s.isCurrentLocked(run) {
		s.mu.Unlock()
		return
	}
	leaves := info.Leaving && s.beats.Leave(now, run.ID)
	if leaves {
		s.applyLocked(now)
	}
	before := s.rateLimit
	if knowsLimit && rateLimit != before {
		s.setRateLimitLocked(now, rateLimit)
	}
	after := s.rateLimit
	s.mu.Unlock()
	if info.InvalidRateLimit != "" {
		s.log.WriteLimited("limitUnreadable", log.Fields{"server": run.ID, "limit": info.InvalidRateLimit})
	}
	if after != before {
		s.log.WriteLimited("serverLimited", log.Fields{"server": run.ID, "perSecond": after, "before": before})
	}
	if leaves {
		s.log.WriteLimited("serverLeft", log.Fields{"server": run.ID, "known": true, "source": sourceAnswer})
		s.notify()
	}
}

// setRateLimitLocked sets the number of requests a second that are sent to the server.
func (s *Server) setRateLimitLocked(now time.Time, perSecond float64) {
	s.rateLimit = perSecond
	s.queue.Update(func(g *gate.Gate) { g.SetRate(now, perSecond) })
}

// RateLimit returns the number of requests a second that the server takes by its last
// answer, or 0 without a limit.
func (s *Server) RateLimit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimit
}

// failedResult returns the result of a request for which the server has not returned a
// whole answer, and logs why. It marks the server as down if the request could not be sent.
func (s *Server) failedResult(ctx context.Context, id string, err error) hop.Result {
	var e *http1.Error
	if errors.As(err, &e) && !e.MayHaveSent {
		if ctx.Err() == nil {
			s.markDown(err)
		}
		return hop.Result{Verdict: hop.NotRun, Rule: RuleUnreachable}
	}
	rule := RuleConnectionBroken
	if ctx.Err() != nil {
		rule = RuleCallerLeft
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rule = RuleDeadline
		}
	} else if s.log.Allow("answerBroken") {
		s.log.Write("answerBroken", log.Fields{"request": id, "error": err})
	}
	if ctx.Err() == nil && errors.Is(err, httpcheck.ErrMalformed) {
		rule = RuleInvalidResponse
	}
	return hop.Result{Verdict: hop.Unknown, Rule: rule, ReachedServer: true}
}

// markDown marks the server as down after a failed connection attempt, so that other
// nodes send no requests until its next heartbeat.
func (s *Server) markDown(cause error) {
	s.mu.Lock()
	wasDown := s.down
	s.down = true
	state := s.stateLocked()
	s.mu.Unlock()
	if !wasDown {
		s.log.WriteLimited("serverLost", log.Fields{"server": state.Instance, "error": cause})
		s.notify()
	}
}

// updateFailureRateLocked adds an outcome to the failure rate. Requests that were
// canceled, ran out of time or failed because a call was refused do not count.
func (s *Server) updateFailureRateLocked(r hop.Result, answer *http1.Response) {
	outcome := 0.0
	switch {
	case r.Rule == RuleCallerLeft, r.Rule == RuleDeadline, r.Rule == RuleCallRefused:
		return
	case answer == nil, answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout:
		outcome = 1
	}
	s.failureRate += failureSmoothing * (outcome - s.failureRate)
}

// updateOutlierLocked reports an outcome to the outlier detection and returns the reason if
// the server gets no requests from now on.
func (s *Server) updateOutlierLocked(now time.Time, r hop.Result) string {
	var o outlier.Outcome = outlier.Answered{}
	switch r.Rule {
	case RuleConnectionBroken, RuleInvalidResponse:
		o = outlier.Failed{}
	case RuleCallerLeft, RuleDeadline, RuleWithdrawn, RuleUnreachable, gate.RuleClosed:
		return ""
	}
	reason := s.outlier.Report(now, o)
	if reason != "" {
		s.ejectedUntil = s.outlier.Eject(now)
	}
	return reason
}

func notRun(rule string, retryAfter time.Duration) *hop.Result {
	return &hop.Result{Verdict: hop.NotRun, Rule: rule, RetryAfter: retryAfter}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether callers take the status as proof that the request
// has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
