// Package calls routes a call from its caller to a backend server and returns the
// answer.
//
// # Call path
//
// Each node runs beside one backend server. The first node of a call handles it
// with an [Ingress], which identifies the customer, checks the call against the
// customer's plan and picks a backend server. The node of that server handles it
// with a [Runner], which waits for a free slot of the server, sends the call to it
// and returns the answer. When the picked server is the node's own, the Ingress
// calls its Runner directly. A call with an idempotency key is sent to the home of
// the key instead of a picked server; see package homes.
//
// Each call results in an answer or in an error that carries a verdict, which says
// whether the call may have run; see package core/verdict.
//
// # Nested calls
//
// A backend server may make further calls on behalf of the call that it runs. It
// sends the signed chain header that it received with them, so that they have the
// same customer and request id and end by the deadline of that call.
package calls

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderdeal/core/balancer"
	"lavenderdeal/core/explain"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/priority"
	"lavenderdeal/core/retry"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/body"
	"lavenderdeal/internal/homes"
	"lavenderdeal/internal/httprelay"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/secret"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/peercall"
	"lavenderdeal/schema/messages"
)

const (
	// maxChainDepth is the maximum depth of a chain of nested calls.
	maxChainDepth = 16
	// versionTimeout bounds the wait for the version of the plans under which an
	// earlier node authorized the call.
	versionTimeout = 500 * time.Millisecond
	// maxReplayBytes is the maximum size of a body that is buffered for retries, in
	// bytes.
	maxReplayBytes = 64 << 10
	// bodySlack is the time after a call has timed out in which its body is still read. The
	// end of the connection would otherwise hide that the call has timed out.
	bodySlack = 500 * time.Millisecond
)

// Ingress handles calls on their first node: it authorizes them and sends them to a
// backend server. It is safe for concurrent use.
type Ingress struct {
	plans   *inforce.Plans
	view    *atomic.Pointer[fleet.View]
	runner  *Runner
	peers   *peercall.Client
	key     secret.Key
	metrics *metrics.Set
	homes   *homes.Loop
	leaving atomic.Bool

	ring      *explain.Ring
	readiness Readiness

	// mu guards picker and budget and is never held during a call.
	mu     sync.Mutex
	picker balancer.Picker
	budget retry.Budget
}

// IngressOption configures an Ingress.
type IngressOption func(*Ingress)

// WithRing sets the ring in which the Ingress records which backend servers it
// ejects from load balancing because they fail, and which it restores.
func WithRing(ring *explain.Ring) IngressOption { return func(e *Ingress) { e.ring = ring } }

// Readiness reports where a node got its version of the plans from.
type Readiness interface {
	// Ready returns the source of the version. If ok is false, the node has no
	// version yet and source is the reason.
	Ready() (source string, ok bool)
}

// WithReadiness sets the source of the reason why the node has no version yet.
// Without it refusals give no reason.
func WithReadiness(r Readiness) IngressOption { return func(e *Ingress) { e.readiness = r } }

// NewIngress returns an Ingress that authorizes calls by the version in inForce and
// picks servers from view. It passes calls for the node's own server to runner and
// those for other servers to peers. The key verifies the chain headers of nested
// calls.
func NewIngress(inForce *inforce.Plans, view *atomic.Pointer[fleet.View], runner *Runner, peers *peercall.Client, key secret.Key, m *metrics.Set, opts ...IngressOption) *Ingress {
	e := &Ingress{plans: inForce, view: view, runner: runner, peers: peers, key: key, metrics: m, homes: runner.homes}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// ServeHTTP handles a call of an external caller or of the node's own backend
// server.
func (e *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	e.metrics.Add("callsEntered", 1)
	request, err := caller.Parse(r)
	if err != nil {
		e.refuse(w, err, request.ID)
		return
	}
	guard := httprelay.Guard{}
	defer guard.Recover(func(err error) { e.refuse(w, err, request.ID) })
	call, err := e.decide(r.Context(), request, r)
	if err != nil {
		e.refuse(w, err, call.Id)
		return
	}
	timeout := time.Duration(call.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	body.Bound(w, r, timeout+bodySlack)
	answer, err := e.send(ctx, call, r)
	if err != nil {
		e.refuse(w, err, call.Id)
		return
	}
	defer answer.Body.Close()
	answer.Header.Set(caller.HeaderRequestID, call.Id)
	answer.Header.Set(caller.HeaderVerdict, verdict.Ran{}.String())
	if e.leaving.Load() {
		// Makes the caller open its next connection to another node.
		w.Header().Set("Connection", "close")
	}
	guard.MarkStarted()
	httprelay.CopyResponseTo(w, r, answer)
	e.metrics.Add("callsAnswered", 1)
	e.metrics.ObserveCall(priority.Priority(call.Priority), call.Customer, time.Since(started))
}

// send sends the call to a backend server. A call with an idempotency key is sent
// only to the home of its key.
func (e *Ingress) send(ctx context.Context, call messages.Call, r *http.Request) (*http.Response, error) {
	call.SentAt = time.Now()
	if call.Key == "" {
		return e.sendWithRetries(ctx, call, r)
	}
	if e.homes == nil {
		return nil, verdict.Refuse("keysUnsupported", "this node knows no homes of idempotency keys")
	}
	return e.sendKeyed(ctx, call, r)
}

// SetLeaving makes the Ingress close connections after answered calls, so that
// callers connect to another node.
func (e *Ingress) SetLeaving() { e.leaving.Store(true) }

func (e *Ingress) refuse(w http.ResponseWriter, err error, id string) {
	v := verdict.Of(err)
	e.metrics.Add("callsRefused", 1)
	e.metrics.Add("verdict."+v.String(), 1)
	e.metrics.Add("rule."+verdict.Rule(v), 1)
	caller.Refuse(w, v, id)
}

func (e *Ingress) notReady() error {
	detail := "this node has no version of the plans yet"
	if e.readiness != nil {
		reason, _ := e.readiness.Ready()
		detail += ": " + reason
	}
	return verdict.RefuseFor("notReady", detail, time.Second)
}

// decide identifies the customer and checks the call against the plan. It returns
// the call message with the customer, priority, version and timeout to apply.
func (e *Ingress) decide(ctx context.Context, request caller.Request, r *http.Request) (messages.Call, error) {
	wanted := plans.Request{Key: request.Key, Service: request.Service, Method: r.Method, Path: r.URL.Path}
	version := e.plans.Get()
	if version == nil {
		return messages.Call{Id: request.ID}, e.notReady()
	}
	call := messages.Call{Id: request.ID, Service: request.Service, Key: request.IdempotencyKey}
	var decision plans.Decision
	remaining := time.Duration(0)
	if request.Chain != "" {
		chain, err := verifyChain(e.key, request.Chain)
		if err != nil {
			return call, err
		}
		version, err = waitForVersion(ctx, e.plans, chain.Call.Version)
		if err != nil {
			return call, err
		}
		if chain.Call.Depth+1 > maxChainDepth {
			return call, verdict.Refuse("tooDeep", "the chain of calls is too long")
		}
		decision = version.DecideFor(chain.Call.Customer, wanted)
		call.Id, call.Depth = chain.Call.Id, chain.Call.Depth+1
		remaining = time.Until(chain.Deadline)
		if remaining <= 0 {
			return call, verdict.Refuse("deadlinePassed", "the deadline of the chain of calls has passed")
		}
	} else {
		decision = version.Decide(wanted)
	}
	if call.Id == "" {
		call.Id = newID()
	}
	switch d := decision.(type) {
	case plans.Refused:
		return call, verdict.Refuse(d.Rule, d.Detail)
	case plans.Allowed:
		call.Customer, call.Priority, call.Version = d.Customer, uint8(d.Priority), version.Number()
		call.TimeoutMillis = shortest(d.Timeout, request.Timeout, remaining).Milliseconds()
	}
	return call, nil
}

// waitForVersion waits up to versionTimeout for a version of the plans that is at
// least number.
func waitForVersion(ctx context.Context, inForce *inforce.Plans, number uint64) (*plans.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	version, err := inForce.AtLeast(ctx, number)
	if err != nil {
		return nil, verdict.RefuseFor("versionBehind", "this node has not yet the version of the plans under which the call was decided", time.Second)
	}
	return version, nil
}

// shortest returns the minimum of first and those of others that are positive.
func shortest(first time.Duration, others ...time.Duration) time.Duration {
	for _, d := range others {
		if d > 0 {
			first = min(first, d)
		}
	}
	return first
}

func newID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return base64.RawURLEncoding.EncodeToString(id[:])
}
