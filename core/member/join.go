package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"lavenderdeal/schema/messages"
)

const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// triesBeforeAlone is the number of lost tries after which the addresses that
	// the node has are taken for dead.
	triesBeforeAlone = 3
	// aloneAfter is the number of tries after which the node reports that it
	// finds nobody.
	aloneAfter = 5

	// maxSessions is the number of joins that one node serves at once.
	maxSessions = 8
	sessionLife = 2 * time.Second
	refuseFor   = 500 * time.Millisecond
	maxOthers   = 8
	maxSeeds    = 128
)

// joining is the state of the node's own join.
type joining struct {
	seeds    []netip.AddrPort
	untried  []netip.AddrPort
	next     time.Time
	after    string
	failures int
	// retried is the place of the seed that was asked last after the join.
	retried int
	busy    bool
	done    bool
	isAlone bool
}

// AddSeeds adds addresses of nodes that may know the fleet.
func (t *Table) AddSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		isUseful := seed != t.self.Peer && seed.IsValid() && !slices.Contains(t.joining.seeds, seed)
		if isUseful && len(t.joining.seeds) < maxSeeds {
			t.joining.seeds = append(t.joining.seeds, seed)
			t.joining.untried = append(t.joining.untried, seed)
			// A new address makes the tries before it meaningless.
			t.joining.failures = 0
			t.joining.next = time.Time{}
		}
	}
}

// Introduce adds addresses of nodes of an availability zone of which the table
// knows nobody, and asks one of them.
func (t *Table) Introduce(now time.Time, zone []netip.AddrPort) []Effect {
	t.begin(now)
	t.AddSeeds(zone)
	if len(zone) > 0 && !t.hasSuccessor {
		t.send(t.probeOf("", zone[t.rng.IntN(len(zone))], purposeRetry))
	}
	return t.take()
}

// IsJoining says whether the node still tries the addresses that it has, and has
// not found each of its first tries in vain.
func (t *Table) IsJoining() bool {
	return t.joining.failures < triesBeforeAlone || t.joining.after != ""
}

// Knows says whether the table has a live member of a zone besides the node
// itself.
func (t *Table) Knows(zone string) bool { return t.hasOther(zone) }

// join asks a random seed or member for all members.
func (t *Table) join() {
	j := &t.joining
	if j.done || j.busy || t.hasSuccessor || t.now.Before(j.next) {
		return
	}
	to, ok := t.joinTarget()
	if !ok {
		return
	}
	j.busy = true
	j.after = ""
	t.sendJoin(to)
}

func (t *Table) joinTarget() (netip.AddrPort, bool) {
	r, ok := t.randomMember(t.self.Zone, isLive)
	n := len(t.joining.seeds)
	switch {
	case ok && (n == 0 || t.rng.IntN(2) == 0):
		return r.Peer, true
	case len(t.joining.untried) > 0:
		return t.takeUntried(), true
	case n > 0:
		return t.joining.seeds[t.rng.IntN(n)], true
	}
	return netip.AddrPort{}, false
}

// takeUntried returns a random seed that was not tried yet.
func (t *Table) takeUntried() netip.AddrPort {
	j := &t.joining
	at := t.rng.IntN(len(j.untried))
	seed := j.untried[at]
	j.untried = slices.Delete(j.untried, at, at+1)
	return seed
}

func (t *Table) sendJoin(to netip.AddrPort) {
	q := Join{Member: t.self.Member, Version: t.Version, After: t.joining.after}
	t.send(Send{To: to, Request: q, Timeout: TransferTimeout, purpose: purposeJoin})
}

func (t *Table) joinAnswered(send Send, a JoinAnswer) {
	j := &t.joining
	if !j.busy {
		return
	}
	j.failures = 0
	if a.RetryMillis > 0 {
		j.busy = false
		t.AddSeeds(a.Others[:min(len(a.Others), maxOthers)])
		j.next = t.now.Add(t.jitter(min(2*time.Duration(a.RetryMillis)*time.Millisecond, maxBackoff)))
		return
	}
	for _, m := range a.Members {
		t.apply(m)
	}
	if a.Next > j.after {
		j.after = a.Next
		t.sendJoin(send.To)
		return
	}
	j.busy = false
	j.done = true
	j.isAlone = false
	t.changedf("joined", t.self.Id, "has %d members from %s", len(t.records), send.To)
}

func (t *Table) joinLost() {
	j := &t.joining
	if !j.busy {
		return
	}
	j.busy = false
	j.after = ""
	j.failures++
	j.next = t.now.Add(t.jitter(min(firstBackoff<<min(j.failures, 8), maxBackoff)))
	if j.failures >= aloneAfter && !j.isAlone {
		j.isAlone = true
		t.changedf("noPeer", t.self.Id, "%d tries to join found nobody; %d addresses are known", j.failures, len(j.seeds))
	}
}

// serveJoin answers with one page of members, or refuses when too many join.
func (t *Table) serveJoin(q Join) Answer {
	if !isWellFormed(q.Member) {
		t.malformedSeen++
		return JoinAnswer{Version: t.Version, RetryMillis: refuseFor.Milliseconds()}
	}
	t.applyAll([]messages.Member{q.Member}, true)
	if !t.openSession(q.Member.Id) {
		return JoinAnswer{Version: t.Version, RetryMillis: refuseFor.Milliseconds(), Others: t.others(q.Member.Id)}
	}
	answer := JoinAnswer{Version: t.Version, Members: t.page(q.After)}
	if len(answer.Members) == maxTransfer {
		answer.Next = answer.Members[maxTransfer-1].Id
	} else {
		delete(t.sessions, q.Member.Id)
	}
	if r, ok := t.records[q.Member.Id]; ok && r.Health != Alive {
		answer.Members = append(answer.Members, r.Member)
	}
	return answer
}

func (t *Table) openSession(id string) bool {
	for other, at := range t.sessions {
		if t.now.Sub(at) > sessionLife {
			delete(t.sessions, other)
		}
	}
	_, ok := t.sessions[id]
	if !ok && len(t.sessions) >= maxSessions {
		return false
	}
	t.sessions[id] = t.now
	return true
}

// page returns the live members that follow an id, in order of ids.
func (t *Table) page(after string) []messages.Member {
	var found []*record
	for _, name := range t.zoneNames {
		for _, r := range t.zones[name].records {
			if r.Id > after && isLive(r) {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return cmp.Compare(a.Id, b.Id) })
	found = found[:min(len(found), maxTransfer)]
	members := make([]messages.Member, len(found))
	for i, r := range found {
		members[i] = r.Member
	}
	return members
}

// others returns addresses that a refused node may ask.
func (t *Table) others(id string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range maxOthers {
		r, ok := t.randomMember(t.self.Zone, func(r *record) bool {
			return r.Id != id && r.Health == Alive && !slices.Contains(addresses, r.Peer)
		})
		if !ok {
			break
		}
		addresses = append(addresses, r.Peer)
	}
	return addresses
}
