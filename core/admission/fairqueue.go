package admission

// band separates the calls within their customer's usual rate from the excess.
type band uint8

const (
	conforming band = iota
	excess
	bandCount
)

// waiter is a waiting call in the linked list of its customer's calls.
type waiter struct {
	call       Call
	band       band
	user       *customerUsage
	flow       *flow
	prev, next *waiter
}

// flow holds the waiting calls of one customer in a fair queue.
type flow struct {
	customer   string
	head, tail *waiter
	length     int
	// start is the virtual start time of the customer's first call.
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
	free        []*flow
}

// push appends a call to its customer's calls.
func (l *fairQueue) push(w *waiter) {
	f := l.flows[w.call.Customer]
	if f == nil {
		f = l.newFlow(w)
	}
	w.flow, w.prev, w.next = f, f.tail, nil
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.length++
	l.queued++
}

// first returns the call to serve next, or nil.
func (l *fairQueue) first() *waiter {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].head
}

// longest returns the newest call of the customer with the most calls, or nil.
func (l *fairQueue) longest() *waiter {
	var found *flow
	for _, f := range l.heap {
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
func (l *fairQueue) length(customer string) int {
	if f := l.flows[customer]; f != nil {
		return f.length
	}
	return 0
}

// ahead estimates how many calls would be served before a new one of the customer.
func (l *fairQueue) ahead(customer string) int {
	return min(l.queued, (l.length(customer)+1)*len(l.heap))
}

// serve removes a call that gets a slot, which must be its customer's first. It
// advances the customer's virtual start time by the cost, which is 1 for an
// average call.
func (l *fairQueue) serve(w *waiter, cost float64) {
	f := w.flow
	l.virtualTime = max(l.virtualTime, f.start)
	f.start += cost
	l.down(f.index)
	l.remove(w)
}

// remove removes a call from the queue.
func (l *fairQueue) remove(w *waiter) {
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
	l.queued--
	w.flow, w.prev, w.next = nil, nil, nil
	if f.length == 0 {
		w.user.starts[w.band] = f.start
		l.drop(f)
	}
}

func (l *fairQueue) newFlow(w *waiter) *flow {
	if l.flows == nil {
		l.flows = make(map[string]*flow)
	}
	var f *flow
	if n := len(l.free); n > 0 {
		f = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		f = &flow{}
	}
	start := max(l.virtualTime, w.user.starts[w.band])
	*f = flow{customer: w.call.Customer, start: start, index: len(l.heap)}
	l.flows[f.customer] = f
	l.heap = append(l.heap, f)
	l.up(f.index)
	return f
}

func (l *fairQueue) drop(f *flow) {
	delete(l.flows, f.customer)
	last := len(l.heap) - 1
	i := f.index
	l.swap(i, last)
	l.heap[last] = nil
	l.heap = l.heap[:last]
	if i < last {
		l.down(i)
		l.up(i)
	}
	l.free = append(l.free, f)
}

func (l *fairQueue) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].index, l.heap[j].index = i, j
}

func (l *fairQueue) up(i int) {
	for i > 0 && l.heap[i].start < l.heap[(i-1)/2].start {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *fairQueue) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(l.heap); child++ {
			if l.heap[child].start < l.heap[least].start {
				least = child
			}
		}
		if least == i {
			return
		}
		l.swap(i, least)
		i = least
	}
}
