package admission

// band separates the calls within their customer's usual rate from the excess.
type band uint8

const (
	conforming band = iota
	excess
	bandCount
)

// waiter is a waiting call in the linked list of its customer's calls, or an unused
// element of the queue's free list.
type waiter struct {
	call       Call
	band       band
	usage      *customerUsage
	flow       *flow
	prev, next *waiter
}

// flow holds the waiting calls of one customer in a fair queue.
type flow struct {
	customer   string
	head, tail *waiter
	length     int
	// start is the virtual start time of the customer's first call, in units of an
	// average call.
	start float64
	// index is the position in the heap.
	index int
}

// fairQueue serves its customers by start-time fair queuing, so that each gets the
// same slot time. It keeps a heap of the customers with waiting calls, ordered by
// virtual start time.
type fairQueue struct {
	flows  map[string]*flow
	heap   []*flow
	queued int
	// virtualTime is the virtual start time of the call served last.
	virtualTime float64
	// free holds unused flows for later customers.
	free []*flow
}

// push appends a call to its customer's calls.
func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.call.Customer]
	if f == nil {
		f = q.newFlow(w)
	}
	w.flow, w.prev, w.next = f, f.tail, nil
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.length++
	q.queued++
}

// first returns the call to serve next, or nil.
func (q *fairQueue) first() *waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0].head
}

// longest returns the newest call of the customer with the most calls, or nil.
func (q *fairQueue) longest() *waiter {
	var found *flow
	for _, f := range q.heap {
		if found == nil || f.length > found.length {
			found = f
		}
	}
	if found == nil {
		return nil
	}
	return found.tail
}

// length returns the number of waiting calls of a customer.
func (q *fairQueue) length(customer string) int {
	if f := q.flows[customer]; f != nil {
		return f.length
	}
	return 0
}

// ahead estimates how many calls would be served before a new one of the customer.
func (q *fairQueue) ahead(customer string) int {
	return min(q.queued, (q.length(customer)+1)*len(q.heap))
}

// serve removes a call that gets a slot, which must be its customer's first. It
// advances the customer's virtual start time by the cost, which is 1 for an
// average call.
func (q *fairQueue) serve(w *waiter, cost float64) {
	f := w.flow
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += cost
	q.down(f.index)
	q.remove(w)
}

// remove removes a call from the queue.
func (q *fairQueue) remove(w *waiter) {
	f := w.flow
	if w.prev == nil {
		f.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	f.length--
	q.queued--
	w.flow, w.prev, w.next = nil, nil, nil
	if f.length == 0 {
		w.usage.starts[w.band] = f.start
		q.drop(f)
	}
}

func (q *fairQueue) newFlow(w *waiter) *flow {
	if q.flows == nil {
		q.flows = make(map[string]*flow)
	}
	var f *flow
	if n := len(q.free); n > 0 {
		f = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		f = &flow{}
	}
	start := max(q.virtualTime, w.usage.starts[w.band])
	*f = flow{customer: w.call.Customer, start: start, index: len(q.heap)}
	q.flows[f.customer] = f
	q.heap = append(q.heap, f)
	q.up(f.index)
	return f
}

func (q *fairQueue) drop(f *flow) {
	delete(q.flows, f.customer)
	last := len(q.heap) - 1
	i := f.index
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if i < last {
		q.down(i)
		q.up(i)
	}
	q.free = append(q.free, f)
}

func (q *fairQueue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].index, q.heap[j].index = i, j
}

func (q *fairQueue) up(i int) {
	for i > 0 && q.heap[i].start < q.heap[(i-1)/2].start {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *fairQueue) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.heap[child].start < q.heap[least].start {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
