// Package abandoned records requests that were given up while a server ran them, so that
// calls that the server still makes for them can be refused.
//
// A server may not notice that the connection of a request has ended. The work of its further
// calls is wasted then, since nobody gets the answer.
//
//	var t abandoned.Table
//	t.Add(now, id, deadline)
//	if t.Has(now, parent) {
//		return refuse()
//	}
package abandoned

import "time"

// maxRequests bounds the requests that are kept.
const maxRequests = 1024

// Table holds the IDs of requests until their deadlines, after which their servers make no
// calls for them. Beyond 1024 requests it drops the oldest ones. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type Table struct {
	deadlines map[string]time.Time
	// order holds the IDs in the order in which they were added.
	order []string
}

// Add adds a request. It does nothing if the deadline has passed.
func (t *Table) Add(now time.Time, id string, deadline time.Time) {
	t.removeOld(now)
	if !now.Before(deadline) {
		return
	}
	if t.deadlines == nil {
		t.deadlines = make(map[string]time.Time)
	}
	if _, ok := t.deadlines[id]; !ok {
		t.order = append(t.order, id)
	}
	t.deadlines[id] = deadline
}

// Has returns true if a request was added and its deadline has not passed.
func (t *Table) Has(now time.Time, id string) bool {
	deadline, ok := t.deadlines[id]
	return ok && now.Before(deadline)
}

// Remove removes a request, which is run again.
func (t *Table) Remove(id string) {
	if _, ok := t.deadlines[id]; ok {
		// The ID stays in order until removeOld.
		t.deadlines[id] = time.Time{}
	}
}

// Len returns the number of requests that are kept.
func (t *Table) Len() int { return len(t.order) }

// removeOld removes the oldest requests whose deadline has passed, and makes room for one.
func (t *Table) removeOld(now time.Time) {
	for len(t.order) > 0 {
		id := t.order[0]
		if now.Before(t.deadlines[id]) && len(t.order) < maxRequests {
			return
		}
		delete(t.deadlines, id)
		t.order[0] = ""
		t.order = t.order[1:]
	}
}
