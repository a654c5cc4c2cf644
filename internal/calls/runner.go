package calls

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"lavenderdeal/core/admission"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/priority"
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
	waiting map[uint64]chan struct{}
}

// NewRunner returns a runner for a backend server with a number of slots.
func NewRunner(held *inforce.Plans, client *server.Client, slots int, key secret.Key, m *metrics.Set) *Runner {
	return &Runner{
		plans:   held,
		server:  client,
		key:     key,
		metrics: m,
		queue:   admission.New(slots),
		waiting: make(map[uint64]chan struct{}),
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
	if err := r.admit(ctx, call); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	chain := sealChain(r.key, messages.Chain{Call: call, Deadline: deadline})
	answer, err := r.server.Do(ctx, request, body, chain)
	if err != nil {
		r.done()
		return nil, err
	}
	r.metrics.Add("callsRun", 1)
	answer.Body = &slotBody{ReadCloser: answer.Body, free: sync.OnceFunc(r.done)}
	return answer, nil
}

// Load returns the load of the backend server.
func (r *Runner) Load() messages.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, queued, slots := r.queue.Load()
	return messages.Load{Running: running, Queued: queued, Slots: slots}
}

// admit waits until the call has a slot.
func (r *Runner) admit(ctx context.Context, call messages.Call) error {
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	r.lastID++
	c := admission.Call{ID: r.lastID, Customer: call.Customer, Priority: priority.Priority(call.Priority), Deadline: deadline}
	outcome := r.queue.Offer(time.Now(), c)
	started := make(chan struct{})
	if _, ok := outcome.(admission.Queued); ok {
		r.waiting[c.ID] = started
	}
	r.mu.Unlock()
	switch o := outcome.(type) {
	case admission.Refused:
		return verdict.RefuseFor(o.Rule, "the queue of this backend server refused the call", o.RetryAfter)
	case admission.Started:
		return nil
	}
	select {
	case <-started:
		return nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	delete(r.waiting, c.ID)
	cancelled := r.queue.Cancel(c.ID, c.Priority)
	r.mu.Unlock()
	if !cancelled {
		// The slot came at the same moment.
		r.done()
	}
	return verdict.Refuse("deadlinePassed", "the call waited in the queue until its deadline")
}

// done frees the slot of a call and starts the next one.
func (r *Runner) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.queue.Done()
	if !ok {
		return
	}
	if started, ok := r.waiting[next.ID]; ok {
		delete(r.waiting, next.ID)
		close(started)
	}
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

func openChain(key secret.Key, text string) (messages.Chain, error) {
	var chain messages.Chain
	encoded, proof, _ := strings.Cut(text, ".")
	if !key.Verify(proof, "chain", encoded) {
		return chain, verdict.Refuse("chainRefused", caller.HeaderChain+" was not given by a node of this fleet")
	}
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err == nil {
		err = json.Unmarshal(data, &chain)
	}
	if err != nil {
		return chain, verdict.Refuse("chainRefused", err.Error())
	}
	return chain, nil
}

func newBytesReader(data []byte) io.Reader { return bytes.NewReader(data) }
