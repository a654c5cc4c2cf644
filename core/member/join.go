package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"lavenderdeal/schema/messages"
)

const (
	// firstBackoff, doubled with each failed try up to maxBackoff, is the maximum of
	// the random delay before the next try.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// initialTries is the number of failed tries after which the known addresses
	// are considered dead.
	initialTries = 3
	// noPeerTries is the number of failed tries after which the node reports that
	// no peer answers.
	noPeerTries = 5

	// maxSessions is the number of joins that one node serves concurrently.
	maxSessions = 8
	// sessionTimeout is the time without a request after which a join that is being
	// served is considered abandoned.
	sessionTimeout = 2 * time.Second
	// joinRetryDelay is the average delay after which a refused node tries again.
	joinRetryDelay = 500 * time.Millisecond
	// maxOthers is the maximum number of other nodes' addresses in a refusal.
	maxOthers = 8
	maxSeeds  = 128
)

// joining is the state of the node's own join.
type joining struct {
	seeds   []netip.AddrPort
	untried []netip.AddrPort
	// next is the earliest time of the next try.
	next time.Time
	// after is the last id of the previous page during a transfer of members.
	after    string
	failures int
	// lastRetried is the index of the seed that retrySeeds probed last.
	lastRetried int
	// busy is set while a request is pending.
	busy              bool
	done              bool
	hasReportedNoPeer bool
}

// AddSeeds adds addresses through which the node may join the fleet.
func (t *Table) AddSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		isUseful := seed != t.self.Peer && seed.IsValid() && !slices.Contains(t.joining.seeds, seed)
		if isUseful && len(t.joining.seeds) < maxSeeds {
			t.joining.seeds = append(t.joining.seeds, seed)
			t.joining.untried = append(t.joining.untried, seed)
			// Earlier failures do not apply to a new address.
			t.joining.failures = 0
			t.joining.next = time.Time{}
		}
	}
}

// AddZoneSeeds adds the addresses of nodes of an availability zone of which the table
// has no live member, and probes one of them at random.
func (t *Table) AddZoneSeeds(now time.Time, addresses []netip.AddrPort) []Effect {
	t.begin(now)
	t.AddSeeds(addresses)
	if len(addresses) > 0 && !t.isSuperseded {
		t.send(t.newProbe("", addresses[t.rng.IntN(len(addresses))], purposeRetry))
	}
	return t.takeEffects()
}

// IsJoining reports whether the node is still trying its known addresses: fewer
// than the initial tries have failed in a row, or a transfer of members is under
// way. It is meaningful only while [Table.HasJoined] is false.
func (t *Table) IsJoining() bool {
	return t.joining.failures < initialTries || t.joining.after != ""
}

// HasOtherLiveMember reports whether the table has a live member of a zone, not counting
// the node itself.
func (t *Table) HasOtherLiveMember(zone string) bool { return t.hasOtherLiveMember(zone) }

// join requests all members from a random seed or member.
func (t *Table) join() {
	j := &t.joining
	if j.done || j.busy || t.isSuperseded || t.now.Before(j.next) {
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

// takeUntried removes and returns a random seed that was not tried yet.
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

func (t *Table) handleJoinAnswer(send Send, a JoinAnswer) {
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
	j.hasReportedNoPeer = false
	t.changedf("joined", t.self.Id, "has %d members from %s", len(t.records), send.To)
}

func (t *Table) handleJoinTimeout() {
	j := &t.joining
	if !j.busy {
		return
	}
	j.busy = false
	j.after = ""
	j.failures++
	j.next = t.now.Add(t.jitter(min(firstBackoff<<min(j.failures, 8), maxBackoff)))
	if j.failures >= noPeerTries && !j.hasReportedNoPeer {
		j.hasReportedNoPeer = true
		t.changedf("noPeer", t.self.Id, "%d tries to join found nobody; %d addresses are known", j.failures, len(j.seeds))
	}
}

// serveJoin answers with one page of members. It refuses the join if the record is
// malformed or too many nodes are joining. The page also has the joining node's own
// record unless that is alive, so that the node can refute it.
func (t *Table) serveJoin(q Join) Answer {
	if !isWellFormed(q.Member) {
		t.malformedSeen++
		return JoinAnswer{Version: t.Version, RetryMillis: joinRetryDelay.Milliseconds()}
	}
	t.applyAll([]messages.Member{q.Member}, true)
	if !t.openSession(q.Member.Id) {
		return JoinAnswer{Version: t.Version, RetryMillis: joinRetryDelay.Milliseconds(), Others: t.joinAlternatives(q.Member.Id)}
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

// openSession records a request of a joining node. It returns false if too many other
// nodes are joining.
func (t *Table) openSession(id string) bool {
	for other, at := range t.sessions {
		if t.now.Sub(at) > sessionTimeout {
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

// page returns the first live members with an id above after, sorted by id.
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

// joinAlternatives returns addresses of other nodes that a refused node may try.
func (t *Table) joinAlternatives(id string) []netip.AddrPort {
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
