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
	"lavenderdeal/internal/crashes"
	"lavenderdeal/internal/homes"
	"lavenderdeal/internal/httprelay"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/keyrecords"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/secret"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/peercall"
	"lavenderdeal/io/server"
	"lavenderdeal/schema/messages"
)

// Runner runs calls on the backend server beside the node.
type Runner struct {
	plans   *inforce.Plans
	server  *server.Client
	key     secret.Key
	metrics *metrics.Set
	view    *atomic.Pointer[fleet.View]
	watch   *crashes.Monitor
	homes   *homes.Loop
	records *keyrecords.Store
	// lastPeerCall is when the newest call of another node came, in nanoseconds
	// since 1970.
	lastPeerCall atomic.Int64

	// mu guards the queue, the waiting calls and the limits and is never held during a call.
	mu      sync.Mutex
	queue   *admission.Queue
	lastID  uint64
	waiting map[uint64]chan admission.Outcome
	limits  limit.Table
}

// RunnerOption changes a runner while it is built.
type RunnerOption func(*Runner)

// WithFleet sets where the runner sees how many servers share a limit. Without
// it each server has the whole limit.
func WithFleet(view *atomic.Pointer[fleet.View]) RunnerOption {
	return func(r *Runner) { r.view = view }
}

// WithHomes sets where the runner learns of which idempotency keys its node is
// the home, and where it keeps their records. Without it calls with a key are
// refused.
func WithHomes(h *homes.Loop, r *keyrecords.Store) RunnerOption {
	return func(runner *Runner) { runner.homes, runner.records = h, r }
}

// WithCrashMonitor sets who watches for calls that end the backend server. Without it
// no call is quarantined.
func WithCrashMonitor(watch *crashes.Monitor) RunnerOption {
	return func(r *Runner) { r.watch = watch }
}

// NewRunner returns a runner for a backend server with a number of slots.
func NewRunner(held *inforce.Plans, client *server.Client, slots int, key secret.Key, m *metrics.Set, opts ...RunnerOption) *Runner {
	r := &Runner{
		plans:   held,
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

// ServeHTTP answers a call that another node sent.
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
		// The address belonged to another process when the call was sent.
		r.refuse(w, verdict.RefuseFor("wrongNode", "the call is for a node that is gone", time.Second), call.Id)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(call.TimeoutMillis)*time.Millisecond)
	defer cancel()
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

// LastPeerCall returns when the newest call of another node came.
func (r *Runner) LastPeerCall() time.Time { return time.Unix(0, r.lastPeerCall.Load()) }

func (r *Runner) refuse(w http.ResponseWriter, err error, id string) {
	v := verdict.Of(err)
	r.metrics.Add("peerRefused."+verdict.Rule(v), 1)
	peercall.SetLoad(w.Header(), r.Load())
	caller.Refuse(w, v, id)
}

// Do admits a call, runs it and returns its answer. The caller closes the body
// of the answer, which frees the slot.
func (r *Runner) Do(ctx context.Context, call messages.Call, request *http.Request, body io.Reader) (*http.Response, error) {
	version, err := atLeast(ctx, r.plans, call.Version)
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

// runLimited runs a call that its customer's limits allow.
func (r *Runner) runLimited(ctx context.Context, call messages.Call, limits limit.Limits, request *http.Request, body io.Reader) (*http.Response, error) {
	if err := r.takeLimit(call, limits); err != nil {
		return nil, err
	}
	answer, err := r.run(ctx, call, request, body)
	return r.releaseLimit(call, limits, answer, err)
}

// run runs a call that may run. No other package part sends to the backend
// server.
func (r *Runner) run(ctx context.Context, call messages.Call, request *http.Request, body io.Reader) (*http.Response, error) {
	watched, body, err := r.checkCall(call, request, body)
	if err != nil {
		return nil, err
	}
	slot, err := r.admit(ctx, call)
	if err != nil {
		return nil, err
	}
	free := sync.OnceFunc(func() { r.done(slot) })
	sending := false
	defer func() {
		if !sending {
			free()
		}
	}()
	// The node may have been stopped for a while since it looked last.
	if ctx.Err() != nil {
		return nil, verdict.Refuse("callerGone", "the caller left or its deadline passed before the call was sent to the backend server")
	}
	if err := r.beginCall(slot, watched); err != nil {
		return nil, err
	}
	cancel := context.CancelFunc(func() {})
	if call.Key != "" {
		ctx, cancel = keepRunning(ctx)
	}
	answer, err := r.server.Do(ctx, call, request, body, r.chain(ctx, call))
	if err != nil {
		r.callFailed(ctx, slot, err)
		cancel()
		return nil, err
	}
	sending = true
	r.metrics.Add("callsRun", 1)
	r.callAnswered(slot, answer)
	answer.Body = &slotBody{ReadCloser: answer.Body, cancel: cancel, free: free}
	return answer, nil
}

// chain returns what the backend server sends along when it calls on.
func (r *Runner) chain(ctx context.Context, call messages.Call) string {
	deadline, _ := ctx.Deadline()
	call.To, call.Key, call.Content, call.SentAt = "", "", "", time.Time{}
	return sealChain(r.key, messages.Chain{Call: call, Deadline: deadline})
}

// Load returns the load of the backend server.
func (r *Runner) Load() messages.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, queued, slots := r.queue.Load()
	return messages.Load{Running: running, Queued: queued, Slots: slots}
}

// slotBody frees the slot when the answer has been read.
type slotBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	free   func()
}

func (b *slotBody) Close() error {
	defer b.free()
	defer b.cancel()
	return b.ReadCloser.Close()
}
