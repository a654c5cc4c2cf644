package proxy

import (
	"time"

	"lavenderdeal/core/retrybudget"
	"lavenderdeal/io/hop"
)

// localRun holds the calls of a request that runs on the local server.
type localRun struct {
	class string
	// calls is the number of calls by service.
	calls map[string]int
	// reserved holds the calls that the retry budget has room for if the request is repeated.
	reserved retrybudget.Reservation
}

// beginRun is called before a request runs on the local server. It returns false if the
// request is a repeated one and the retry budget has no room for its calls.
func (p *Proxy) beginRun(id string, c hop.Call) (*localRun, bool) {
	nodes := p.members.Len()
	p.mu.Lock()
	defer p.mu.Unlock()
	current := &localRun{class: c.Class}
	if c.Repeated {
		var ok bool
		if current.reserved, ok = p.budget.Reserve(time.Now(), p.calls.Expected(c.Class), nodes); !ok {
			return nil, false
		}
	}
	p.runs[id] = current
	return current, true
}

// endRun is called after a request. The flag ran is set if the server has answered it.
func (p *Proxy) endRun(id string, ended *localRun, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[id] == ended {
		delete(p.runs, id)
	}
	p.budget.Release(time.Now(), ended.reserved)
	if ran {
		p.calls.Observe(ended.class, ended.calls)
	}
}

// recordCallLocked counts a caller's request in the retry budget. The parent is the ID of the
// request that the local server runs, if the request is a call of it.
func (p *Proxy) recordCallLocked(now time.Time, parent string, q *request) {
	current := p.runs[parent]
	if !q.inner || current == nil {
		current = &localRun{}
	} else {
		if current.calls == nil {
			current.calls = make(map[string]int)
		}
		current.calls[q.service]++
	}
	if q.repeated {
		p.budget.Use(now, &current.reserved, q.service)
		return
	}
	p.budget.RecordFirst(now, q.service)
}
