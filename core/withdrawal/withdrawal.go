// Package withdrawal decides, at the node beside a backend server, whether a request that
// another node has forwarded to it can still be withdrawn, so that it certainly does not
// run there.
//
// # Why
//
// The node that forwarded a request does not always get an answer: a connection can go
// silent without an error. If the request is not idempotent, it may be sent elsewhere only
// if it has not run and never will. The server's node can promise that for each request
// that it has not passed on to its server:
//
//	var t withdrawal.Table
//	a, ok := t.Arrive(now, id, deadline)
//	if !ok {
//		refuse()
//	}
//	defer a.End()
//	...
//	if !a.Start() {
//		refuse()
//	}
//	send()
//
// Ask answers the question for a request that may not have arrived. If it has not, it is
// refused from then on, should it arrive later. Withdraw also takes a request back that
// waits for a slot.
//
// # Limits
//
// The table keeps a request until its deadline and a margin have passed, since the other
// node asks only before the deadline. The number of requests is bounded. While a request
// is not kept because of that, the table promises nothing about unknown requests.
package withdrawal

import "time"

const (
	// margin is how long after its deadline a request is kept. It covers messages that
	// are delayed, for example those that are read when a suspended process resumes.
	margin = 10 * time.Second
	// maxRecords bounds the requests that are kept at once.
	maxRecords = 1 << 16
)

// State is what the table knows about a request.
type State byte

// The states.
const (
	// Unknown means that the table can promise nothing.
	Unknown State = iota
	// Withdrawn means that the request has not run on the server and never will.
	Withdrawn
	// Waiting means that the request has arrived and has not been sent to the server.
	Waiting
	// Running means that the request was sent to the server.
	Running
	// Ended means that the request has an outcome.
	Ended
	// Receiving is like Waiting, but the rest of the request was asked for and has not
	// arrived.
	Receiving
)

// String returns the name of the state, as in messages and logs.
func (s State) String() string {
	names := [...]string{Unknown: "unknown", Withdrawn: "withdrawn", Waiting: "waiting", Running: "running", Ended: "ended", Receiving: "receiving"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Table holds the requests of one node. The zero value is empty and ready to use. The table
// and its arrivals are not safe for concurrent use.
type Table struct {
	records map[string]*record
	// byTime holds the records in the order of their arrival, to remove them.
	byTime []*record
	// unkeptUntil is the end of the last request that was not kept.
	unkeptUntil time.Time
}

// record is a request, or several with the same ID.
type record struct {
	id        string
	keepUntil time.Time
	withdrawn bool
	// ran is set once a request with the ID was started. None is withdrawn after that,
	// since the states of requests with the same ID cannot be told apart.
	ran bool
	// waiting and running count the requests with the ID in each state, and arrived all.
	// Those that are received are among the waiting ones.
	waiting, receiving, running, arrived int
}

// Arrival is a request that has arrived.
type Arrival struct {
	record             *record
	receiving, started bool
}

// Arrive adds a request whose caller waits until the deadline. It returns false if the
// request was withdrawn before.
func (t *Table) Arrive(now time.Time, id string, deadline time.Time) (*Arrival, bool) {
	r := t.add(now, id, deadline)
	if r == nil {
		if until := deadline.Add(margin); until.After(t.unkeptUntil) {
			t.unkeptUntil = until
		}
		// Without a record, a withdrawal of the request is not possible.
		return &Arrival{record: &record{waiting: 1}}, true
	}
	if r.withdrawn {
		return nil, false
	}
	r.waiting++
	r.arrived++
	return &Arrival{record: r}, true
}

// Receive records whether the rest of the request is being received.
func (a *Arrival) Receive(now bool) {
	if now == a.receiving {
		return
	}
	a.receiving = now
	if now {
		a.record.receiving++
	} else {
		a.record.receiving--
	}
}

// Abandon withdraws the request, which will not be started. It does nothing if another
// request with the same ID has arrived, since their states cannot be told apart.
func (a *Arrival) Abandon() {
	if a.IsOnly() && !a.record.ran {
		a.record.withdrawn = true
	}
}

// Start records that the request is about to be sent to the server. It returns false if
// the request was withdrawn; it must not be sent then.
func (a *Arrival) Start() bool {
	if a.record.withdrawn {
		return false
	}
	a.started, a.record.ran = true, true
	a.record.waiting--
	a.record.running++
	return true
}

// IsOnly returns true if no other request with the same ID has arrived.
func (a *Arrival) IsOnly() bool { return a.record.arrived == 1 }

// End records that the request has an outcome, whether or not it was started. It must be
// called once.
func (a *Arrival) End() {
	a.Receive(false)
	if a.started {
		a.record.running--
	} else {
		a.record.waiting--
	}
}

// Ask returns the state of a request. A request that has not arrived is withdrawn, if the
// table can promise that it has not run. The deadline is that of the request.
func (t *Table) Ask(now time.Time, id string, deadline time.Time) State {
	t.removeOld(now)
	r := t.records[id]
	if r == nil {
		if now.Before(t.unkeptUntil) {
			return Unknown
		}
		if r = t.add(now, id, deadline); r == nil {
			return Unknown
		}
		r.withdrawn = true
	}
	r.keepAtLeast(deadline)
	switch {
	case r.withdrawn:
		return Withdrawn
	case r.running > 0:
		return Running
	case r.receiving > 0:
		return Receiving
	case r.waiting > 0:
		return Waiting
	}
	return Ended
}

// Withdraw is like Ask, but also withdraws a request that waits, unless another one with
// its ID has been started.
func (t *Table) Withdraw(now time.Time, id string, deadline time.Time) State {
	state := t.Ask(now, id, deadline)
	if r := t.records[id]; (state == Waiting || state == Receiving) && !r.ran {
		r.withdrawn = true
		return Withdrawn
	}
	return state
}

// Len returns the number of requests that are kept.
func (t *Table) Len() int { return len(t.records) }

// add returns the record of an ID, which is new if there was none. It returns nil if there
// is no room for it.
func (t *Table) add(now time.Time, id string, deadline time.Time) *record {
	t.removeOld(now)
	if r := t.records[id]; r != nil {
		r.keepAtLeast(deadline)
		return r
	}
	if len(t.records) >= maxRecords {
		return nil
	}
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	r := &record{id: id}
	r.keepAtLeast(deadline)
	t.records[id] = r
	t.byTime = append(t.byTime, r)
	return r
}

// keepAtLeast extends the time for which the record is kept to that of a request, or a
// question, with the deadline.
func (r *record) keepAtLeast(deadline time.Time) {
	if until := deadline.Add(margin); until.After(r.keepUntil) {
		r.keepUntil = until
	}
}

// removeOld removes the oldest records whose time is over.
func (t *Table) removeOld(now time.Time) {
	for len(t.byTime) > 0 {
		r := t.byTime[0]
		if !now.After(r.keepUntil) || r.waiting+r.running > 0 {
			return
		}
		delete(t.records, r.id)
		t.byTime[0] = nil
		t.byTime = t.byTime[1:]
	}
}
