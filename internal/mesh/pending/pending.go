// Package pending keeps the requests that other nodes have forwarded to this node, so that
// it can say what became of one whose answer does not arrive, withdraw one that waits, and
// send an answer once more.
//
//	a, ok := requests.Arrive(ctx, id, timeLeft)
//	if !ok {
//		return refuse()
//	}
//	defer a.End()
//	result, answer := server.Run(a.Context(), call, request, local.WithStart(a.Start))
//	a.Keep(Answer{result, answer})
package pending

import (
	"context"
	"sync"
	"time"

	"lavenderdeal/core/withdrawal"
	"lavenderdeal/io/hop"
	"lavenderdeal/io/http1"
)

const (
	// maxAnswerBytes bounds the body of an answer that is kept, and maxKeptBytes the
	// bodies of all.
	maxAnswerBytes = 64 << 10
	maxKeptBytes   = 256 << 10
	// answerOverhead is the memory of a kept answer beside its body, in bytes.
	answerOverhead = 1 << 10
	// keepTime is how long an answer is kept. A node that misses one asks for it after
	// about twice the usual running time of the request.
	keepTime = 3 * time.Second
)

// Requests holds the forwarded requests of a node. The zero value is empty and ready to
// use. It is safe for concurrent use. Lock order: mu is the only lock.
type Requests struct {
	mu    sync.Mutex
	table withdrawal.Table
	// waiting holds the functions that cancel requests with an ID.
	waiting map[string][]*Request
	// kept holds answers by ID, and order their IDs by age. keptBytes is their memory.
	kept      map[string]keptAnswer
	order     []keptID
	keptBytes int
}

type keptAnswer struct {
	Answer
	arrival *withdrawal.Arrival
}

type keptID struct {
	id    string
	until time.Time
}

// Answer is the outcome of a request with the server's answer.
type Answer struct {
	Result   hop.Result
	Response *http1.Response
}

// Request is a forwarded request.
type Request struct {
	requests *Requests
	id       string
	arrival  *withdrawal.Arrival
	ctx      context.Context
	cancel   context.CancelFunc
}

// Arrive adds a request whose caller waits for timeLeft. It returns false if the request
// was withdrawn before it arrived.
func (r *Requests) Arrive(ctx context.Context, id string, timeLeft time.Duration) (*Request, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	arrival, ok := r.table.Arrive(now, id, now.Add(timeLeft))
	if !ok {
		return nil, false
	}
	q := &Request{requests: r, id: id, arrival: arrival}
	q.ctx, q.cancel = context.WithCancel(ctx)
	if r.waiting == nil {
		r.waiting = make(map[string][]*Request)
	}
	r.waiting[id] = append(r.waiting[id], q)
	return q, true
}

// Context is canceled when the request is withdrawn or ends.
func (q *Request) Context() context.Context { return q.ctx }

// Receive records whether the body of the request is being received.
func (q *Request) Receive(now bool) {
	q.requests.mu.Lock()
	defer q.requests.mu.Unlock()
	q.arrival.Receive(now)
}

// Abandon withdraws the request, whose body has not arrived.
func (q *Request) Abandon() {
	q.requests.mu.Lock()
	defer q.requests.mu.Unlock()
	q.arrival.Abandon()
}

// Start records that the request is about to be sent to the server. It returns false if
// the request was withdrawn.
func (q *Request) Start() bool {
	q.requests.mu.Lock()
	defer q.requests.mu.Unlock()
	return q.arrival.Start()
}

// Keep keeps the answer for a node that misses it, if it is not too large. The oldest
// answers make room for it.
func (q *Request) Keep(a Answer) {
	if a.Response == nil || len(a.Response.Body) > maxAnswerBytes {
		return
	}
	if cap(a.Response.Body) > len(a.Response.Body) {
		// The buffer of a body without a length is mostly larger than the body.
		response := *a.Response
		response.Body = append(make([]byte, 0, len(response.Body)), response.Body...)
		a.Response = &response
	}
	now := time.Now()
	r := q.requests
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept == nil {
		r.kept = make(map[string]keptAnswer)
	}
	if !q.arrival.IsOnly() {
		// The answers to requests with the same ID cannot be told apart.
		return
	}
	// An earlier answer with the same ID that was kept long enough goes first.
	r.dropOldLocked(now)
	r.kept[q.id] = keptAnswer{Answer: a, arrival: q.arrival}
	r.order = append(r.order, keptID{id: q.id, until: now.Add(keepTime)})
	r.keptBytes += memory(a)
	r.dropOldLocked(now)
}

// End records that the request has an outcome.
func (q *Request) End() {
	q.cancel()
	r := q.requests
	r.mu.Lock()
	defer r.mu.Unlock()
	q.arrival.End()
	list := r.waiting[q.id]
	for i, other := range list {
		if other == q {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(r.waiting, q.id)
	} else {
		r.waiting[q.id] = list
	}
}

// Ask answers a question about a request, and withdraws the request if it has not arrived,
// or if the question says so and the request waits. The answer is nil if the request has
// none or it is not kept.
func (r *Requests) Ask(q hop.Question) (withdrawal.State, *Answer) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOldLocked(now)
	ask := r.table.Ask
	if q.Withdraw {
		ask = r.table.Withdraw
	}
	state := ask(now, q.ID, now.Add(q.TimeLeft))
	switch state {
	case withdrawal.Withdrawn:
		for _, waiting := range r.waiting[q.ID] {
			waiting.cancel()
		}
	case withdrawal.Ended:
		if a, ok := r.kept[q.ID]; ok && q.Fetch && a.arrival.IsOnly() {
			return state, &a.Answer
		}
	}
	return state, nil
}

// dropOldLocked removes the answers that were kept long enough, and the oldest ones beyond
// maxKeptBytes.
func (r *Requests) dropOldLocked(now time.Time) {
	for len(r.order) > 0 && (r.keptBytes > maxKeptBytes || now.After(r.order[0].until)) {
		id := r.order[0].id
		r.order = r.order[1:]
		if a, ok := r.kept[id]; ok {
			r.keptBytes -= memory(a.Answer)
			delete(r.kept, id)
		}
	}
}

func memory(a Answer) int { return len(a.Response.Body) + answerOverhead }
