package admission

// band tells the calls within their customer's usual rate from the excess.
type band uint8

const (
	usual band = iota
	excess
	bandCount
)

// waiter is a waiting call, linked to its neighbors of the same customer.
type waiter struct {
	call       Call
	band       band
	user       *customerUsage
	flow       *flow
	prev, next *waiter
}

// flow is the waiting calls of one customer in a line.
type flow struct {
	customer   string
	head, tail *waiter
	length     int
	// turn is the virtual time at which the customer's first call is due.
	turn  float64
	index int
}

// line serves its customers in turns, so that each has the same time of the
// slots. It keeps a heap of the customers that wait, by turn.
type line struct {
	flows  map[string]*flow
	heap   []*flow
	queued int
	// virtual is the turn of the call served last.
	virtual float64
	free    []*flow
}

// push adds a call at the end of its customer's calls.
func (l *line) push(w *waiter) {
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

// first returns the call whose turn it is, or nil.
func (l *line) first() *waiter {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].head
}

// longest returns the newest call of the customer with the most calls, or nil.
func (l *line) longest() *waiter {
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
func (l *line) length(customer string) int {
	if f := l.flows[customer]; f != nil {
		return f.length
	}
	return 0
}

// ahead returns how many calls go before a new one of the customer.
func (l *line) ahead(customer string) int {
	return min(l.queued, (l.length(customer)+1)*len(l.heap))
}

// serve takes a call out of the line that gets a slot. It was its customer's
// first, whose next turn comes later by the cost, which is 1 for an average call.
func (l *line) serve(w *waiter, cost float64) {
	f := w.flow
	l.virtual = max(l.virtual, f.turn)
	f.turn += cost
	l.down(f.index)
	l.remove(w)
}

// remove takes a call out of the line.
func (l *line) remove(w *waiter) {
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
		w.user.turns[w.band] = f.turn
		l.drop(f)
	}
}

func (l *line) newFlow(w *waiter) *flow {
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
	turn := max(l.virtual, w.user.turns[w.band])
	*f = flow{customer: w.call.Customer, turn: turn, index: len(l.heap)}
	l.flows[f.customer] = f
	l.heap = append(l.heap, f)
	l.up(f.index)
	return f
}

func (l *line) drop(f *flow) {
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

func (l *line) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].index, l.heap[j].index = i, j
}

func (l *line) up(i int) {
	for i > 0 && l.heap[i].turn < l.heap[(i-1)/2].turn {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *line) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(l.heap); child++ {
			if l.heap[child].turn < l.heap[least].turn {
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
