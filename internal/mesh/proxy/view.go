package proxy

import (
	"lavenderdeal/core/pick"
	messages "lavenderdeal/schema/roster"
)

// The kinds of outcomes that are counted by account, besides those of the log.
const (
	kindOverLimit = "overLimit"
	kindFlood     = "flood"
)

// maxCountedAccounts bounds the number of accounts with counts of their own.
const maxCountedAccounts = 100

// Beliefs returns what is believed of nodes, in their order.
func (p *Proxy) Beliefs(entries []messages.Entry) []pick.Belief {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]pick.Belief, len(entries))
	for i, e := range entries {
		list[i] = p.picker.Belief(e)
	}
	return list
}

// AccountOutcomes holds the numbers of requests by account.
type AccountOutcomes struct {
	// Served were answered by a server, Refused by this node as not run. Failed are all
	// others.
	Served, Refused, Failed map[string]uint64
	// OverLimit and Floods are among Refused: beyond the limit, and beyond it while no slot
	// was free.
	OverLimit, Floods map[string]uint64
}

// AccountOutcomes returns how requests with an account have ended.
func (p *Proxy) AccountOutcomes() AccountOutcomes {
	return AccountOutcomes{
		Served: p.accounts.Of(kindServed), Refused: p.accounts.Of(kindRefused), Failed: p.accounts.Of(kindFailed),
		OverLimit: p.accounts.Of(kindOverLimit), Floods: p.accounts.Of(kindFlood),
	}
}

// countAccount counts the outcome of a request by its account.
func (p *Proxy) countAccount(kind string, q *request, o outcome) {
	if q.account == "" {
		return
	}
	if kind == kindServerFailed {
		kind = kindFailed
	}
	p.accounts.Add(q.account, kind)
	switch o.rule {
	case ruleOverLimit:
		p.accounts.Add(q.account, kindOverLimit)
	case ruleFlood:
		p.accounts.Add(q.account, kindFlood)
	}
}
