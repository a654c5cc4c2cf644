package calls

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/relay"
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

	// mu guards the queue and the waiting calls and is never held during a call.
	mu      sync.Mutex
	queue   *admission.Queue
	lastID  uint64
	waiting map[uint64]chan admission.Outcome
}

// NewRunner returns a runner for a backend server with a number of slots.
func NewRunner(held *inforce.Plans, client *server.Client, slots int, key secret.Key, m *metrics.Set) *Runner {
	return &Runner{
		plans:   held,
		server:  client,
		key:     key,
		metrics: m,
		queue:   admission.New(slots),
		waiting: make(map[uint64]chan admission.Outcome),
	}
}

// ServeHTTP answers a call that another node sent.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.metrics.Add("callsFromPeers", 1)
	call, err := peercall.Read(r.key, request)
	if err != nil {
		r.refuse(w, err, "")
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
	relay.Answer(w, answer)
}

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
	slot, err := r.admit(ctx, call)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	chain := sealChain(r.key, messages.Chain{Call: call, Deadline: deadline})
	answer, err := r.server.Do(ctx, request, body, chain)
	if err != nil {
		r.done(slot)
		return nil, err
	}
	r.metrics.Add("callsRun", 1)
	answer.Body = &slotBody{ReadCloser: answer.Body, free: sync.OnceFunc(func() { r.done(slot) })}
	return answer, nil
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
	free func()
}

func (b *slotBody) Close() error {
	defer b.free()
	return b.ReadCloser.Close()
}
