package calls

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/fleet"
	"lavenderdeal/core/limit"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/body"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/homes"
	"lavenderdeal/internal/httprelay"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/keyrecords"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/sender"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/peercall"
	"lavenderdeal/io/server"
	"lavenderdeal/schema/messages"
)

// Runner runs calls on the node's own backend server: it queues them until a slot is
// free, sends them to the server and returns the answers. It is safe for concurrent
// use.
type Runner struct {
	plans   *inforce.Plans
	server  *server.Client
	key     secret.Key
	metrics *metrics.Set
	view    *atomic.Pointer[fleet.View]
	monitor *crashes.Monitor
	homes   *homes.Loop
	records *keyrecords.Store
	// lastPeerCall is when the latest call from another node arrived, in Unix
	// nanoseconds.
	lastPeerCall atomic.Int64

	// mu guards the fields below and is never held during a call.
	mu     sync.Mutex
	queue  *admission.Queue
	lastID uint64
	// waiting holds the channels that receive the decisions on queued calls, by id.
	waiting map[uint64]chan admission.Outcome
	limits  limit.Table
}

// RunnerOption configures a Runner.
type RunnerOption func(*Runner)

// WithFleet sets the view from which the Runner gets the number of servers that
// share a customer's limit. Without it the Runner applies the whole limit.
func WithFleet(view *atomic.Pointer[fleet.View]) RunnerOption {
	return func(r *Runner) { r.view = view }
}

// WithHomes sets the rosters that assign each idempotency key to its home node, and
// the records of the keys whose home is this node. Without it calls with a key are
// refused.
func WithHomes(h *homes.Loop, r *keyrecords.Store) RunnerOption {
	return func(runner *Runner) { runner.homes, runner.records = h, r }
}

// WithCrashMonitor sets the monitor that detects calls that crash the backend
// server and quarantines them, that is, refuses calls like them. Without it no call
// is quarantined.
func WithCrashMonitor(monitor *crashes.Monitor) RunnerOption {
	return func(r *Runner) { r.monitor = monitor }
}

// NewRunner returns a Runner that sends calls to a backend server through client, up
// to slots calls at once. It checks them against the version in inForce. The key
// verifies calls from other nodes and signs the chain headers of nested calls.
func NewRunner(inForce *inforce.Plans, client *server.Client, slots int, key secret.Key, m *metrics.Set, opts ...RunnerOption) *Runner {
	r := &Runner{
		plans:   inForce,
		server:  client,
		key:     key,
		metrics: m,
		queue:   admission.New(slots),
		waiting: make(map[uint64]chan admission.Outcome),
	}
	m.Func("serverLoad", func() any { return r.Load() })
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// ServeHTTP handles a call that another node sent.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.metrics.Add("callsFromPeers", 1)
	r.lastPeerCall.Store(time.Now().UnixNano())
	call, err := peercall.Read(r.key, request, time.Now())
	if err != nil {
		r.refuse(w, err, "")
		return
	}
	guard := httprelay.Guard{}
	defer guard.Recover(func(err error) { r.refuse(w, err, call.Id) })
	if r.homes != nil && call.To != "" && call.To != r.homes.ID() {
		// The call was addressed to an earlier process at this address.
		r.refuse(w, verdict.RefuseFor("wrongNode", "the call is for a node that is gone", time.Second), call.Id)
		return
	}
	timeout := time.Duration(call.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	body.Bound(w, request, timeout+bodySlack)
	answer, err := r.Do(ctx, call, request, request.Body)
	if err != nil {
		r.refuse(w, err, call.Id)
		return
	}
	defer answer.Body.Close()
	answer.Header.Set(caller.HeaderVerdict, verdict.Ran{}.String())
	peercall.SetLoad(answer.Header, r.Load())
	guard.MarkStarted()
	httprelay.CopyResponse(w, answer)
}

// LastPeerCall returns when the latest call from another node arrived, or the Unix
// epoch if none did.
func (r *Runner) LastPeerCall() time.Time { return time.Unix(0, r.lastPeerCall.Load()) }

func (r *Runner) refuse(w http.ResponseWriter, err error, id string) {
	v := verdict.Of(err)
	r.metrics.Add("peerRefused."+verdict.Rule(v), 1)
	peercall.SetLoad(w.Header(), r.Load())
	caller.Refuse(w, v, id)
}

// Do checks a call against the plan, waits for a slot, sends the call to the backend
// server and returns the answer. A call whose idempotency key has a record gets the
// recorded answer instead. The caller must close the body of the answer to release
// the slot. The error carries a verdict.
func (r *Runner) Do(ctx context.Context, call messages.Call, request *http.Request, body io.Reader) (*http.Response, error) {
	version, err := waitForVersion(ctx, r.plans, call.Version)
	if err != nil {
		return nil, err
	}
	decision := version.DecideFor(call.Customer, plans.Request{Service: call.Service, Method: request.Method, Path: request.URL.Path})
	if refused, ok := decision.(plans.Refused); ok {
		return nil, verdict.Refuse(refused.Rule, refused.Detail)
	}
	limits := limitsOf(decision)
	if call.Key == "" {
		return r.runLimited(ctx, call, limits, request, body)
	}
	if r.homes == nil {
		return nil, verdict.Refuse("keysUnsupported", "this node keeps no records of idempotency keys")
	}
	return r.runKeyed(ctx, call, limits, request, body)
}

// runLimited runs a call if its customer's limits allow it.
func (r *Runner) runLimited(ctx context.Context, call messages.Call, limits limit.Limits, request *http.Request, body io.Reader) (*http.Response, error) {
	if err := r.acquireLimit(call, limits); err != nil {
		return nil, err
	}
	answer, err := r.run(ctx, call, request, body)
	return r.releaseLimit(call, limits, answer, err)
}

// run waits for a slot and sends the call to the backend server. All calls to the
// backend server go through run.
func (r *Runner) run(ctx context.Context, call messages.Call, request *http.Request, body io.Reader) (*http.Response, error) {
	monitored, body, err := r.checkCall(call, request, body)
	if err != nil {
		return nil, err
	}
	slot, err := r.admit(ctx, call)
	if err != nil {
		return nil, err
	}
	free := sync.OnceFunc(func() { r.releaseSlot(slot) })
	answered := false
	defer func() {
		if !answered {
			free()
		}
	}()
	// The process may have been suspended since the context was last checked.
	if ctx.Err() != nil || sender.Of(ctx).HasLeft() {
		return nil, callerGone()
	}
	if err := r.beginCall(slot, monitored); err != nil {
		return nil, err
	}
	cancel := context.CancelFunc(func() {})
	if call.Key != "" {
		ctx, cancel = keepRunning(ctx)
	}
	answer, err := r.server.Do(ctx, call, request, body, r.chainHeader(ctx, call))
	if err != nil {
		recordMalformed(r.metrics, call, "backend server", err)
		r.callFailed(ctx, slot, err)
		cancel()
		return nil, err
	}
	answered = true
	r.metrics.Add("callsRun", 1)
	r.callAnswered(slot, answer)
	record := func(err error) { recordMalformed(r.metrics, call, "backend server", err) }
	answer.Body = &slotBody{ReadCloser: answer.Body, cancel: cancel, free: free, failed: record}
	return answer, nil
}

// callerGone refuses a call that nobody waits for.
func callerGone() error {
	return verdict.Refuse("callerGone", "the caller left or its deadline passed before the call was sent to the backend server")
}

// chainHeader returns the signed chain that the backend server must send with the
// calls that it makes on behalf of this one.
func (r *Runner) chainHeader(ctx context.Context, call messages.Call) string {
	deadline, _ := ctx.Deadline()
	call.To, call.Key, call.Content, call.SentAt = "", "", "", time.Time{}
	return signChain(r.key, messages.Chain{Call: call, Deadline: deadline})
}

// Load returns the numbers of running calls, queued calls and slots of the backend
// server.
func (r *Runner) Load() messages.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, queued, slots := r.queue.Load()
	return messages.Load{Running: running, Queued: queued, Slots: slots}
}

// slotBody is the body of an answer. It releases the slot of the call when it is
// closed.
type slotBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	free   func()
	// failed is called with the error of a read.
	failed func(error)
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.failed(err)
	}
	return n, err
}

func (b *slotBody) Close() error {
	defer b.free()
	defer b.cancel()
	return b.ReadCloser.Close()
}
