package member

import (
	"fmt"
	"net/netip"
	"slices"
)

// probe sends the probe that is due.
func (t *Table) probe() {
	if t.hasSuccessor || t.now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = t.nextProbe.Add(ProbePeriod)
	if t.nextProbe.Before(t.now) {
		t.nextProbe = t.now.Add(ProbePeriod)
	}
	if r, ok := t.nextTarget(); ok {
		t.send(t.probeOf(r.Id, r.Peer, purposeProbe))
	}
}

// nextTarget returns the next member in a random order in which every member of
// the zone comes once.
func (t *Table) nextTarget() (*record, bool) {
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[0]
			t.order = t.order[1:]
			r, ok := t.records[id]
			if ok && isLive(r) && r.Zone == t.self.Zone && r != t.self {
				return r, true
			}
		}
		t.order = t.zones[t.self.Zone].ids(isLive)
		t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	return nil, false
}

// insertInOrder gives a new member a random place in the current order.
func (t *Table) insertInOrder(id string) {
	t.order = slices.Insert(t.order, t.rng.IntN(len(t.order)+1), id)
}

func (t *Table) probeOf(target string, to netip.AddrPort, why purpose) Send {
	return Send{To: to, Request: Probe(t.gossip(target)), Timeout: ProbeTimeout, purpose: why, target: target}
}

// acknowledged takes in the answer to a probe.
func (t *Table) acknowledged(send Send, a Ack) {
	t.applyAll(a.Members, true)
	if send.target != "" && send.target != a.From {
		t.answeredByOther(send, a.From)
	}
	if send.purpose == purposeZone {
		t.zoneReached(send.zone)
	}
	if a.Digest == t.digest {
		t.joining.done = true
		t.stale = false
		return
	}
	t.considerSync(send.To)
}

// answeredByOther concludes that a process is gone whose address belongs to
// another one.
func (t *Table) answeredByOther(send Send, from string) {
	r, ok := t.records[send.target]
	if ok && r != t.self && r.Health != Failed && r.Peer == send.To {
		t.fail(r, "its address "+send.To.String()+" is answered by "+from)
	}
}

// probeIndirectly asks others to probe a member that did not answer.
func (t *Table) probeIndirectly(send Send) {
	target, ok := t.records[send.target]
	if !ok || !isLive(target) {
		return
	}
	if _, busy := t.indirect[target.Id]; busy {
		return
	}
	asked := t.helpers(target)
	if len(asked) == 0 {
		t.suspect(target, "no ack, and nobody else to ask")
		return
	}
	t.indirect[target.Id] = len(asked)
	request := ProbeFor{From: t.self.Id, Version: t.Version, Target: target.Id, Address: target.Peer}
	for _, r := range asked {
		t.send(Send{To: r.Peer, Request: request, Timeout: RelayTimeout, purpose: purposeIndirect, target: target.Id})
	}
}

// helpers returns random members of the zone other than the node and the target.
func (t *Table) helpers(target *record) []*record {
	var asked []*record
	for range indirectProbes {
		r, ok := t.randomMember(t.self.Zone, func(r *record) bool {
			return r != target && r.Health == Alive && !slices.Contains(asked, r)
		})
		if !ok {
			break
		}
		asked = append(asked, r)
	}
	return asked
}

// relayed takes in the outcome of one indirect probe.
func (t *Table) relayed(send Send, reached bool) {
	left, ok := t.indirect[send.target]
	if !ok {
		return
	}
	if reached {
		delete(t.indirect, send.target)
		return
	}
	t.indirect[send.target] = left - 1
	if left > 1 {
		return
	}
	delete(t.indirect, send.target)
	if r, ok := t.records[send.target]; ok {
		t.suspect(r, fmt.Sprintf("no ack to this node nor to up to %d others", indirectProbes))
	}
}

func (t *Table) suspect(r *record, reason string) {
	if r.Health != Alive {
		return
	}
	m := r.Member
	m.Health = Suspect
	t.put(m)
	t.spread(m.Id, true)
	t.changedf("memberSuspect", m.Id, "%s", reason)
	t.send(t.probeOf(m.Id, m.Peer, purposePush))
}

// retryFailed asks a failed member of the zone whether it is back, so that two
// halves of a zone find each other again.
func (t *Table) retryFailed() {
	if t.hasSuccessor || t.now.Before(t.nextRetry) {
		return
	}
	t.nextRetry = t.now.Add(t.around(retryFailedAfter))
	if r, ok := t.randomMember(t.self.Zone, isFailed); ok && t.addresses[r.Peer] == r.Id {
		t.send(t.probeOf(r.Id, r.Peer, purposeRetry))
	}
}

// retrySeeds asks a seed that is no live member, so that two fleets that started
// apart find each other. A node that knows nobody joins anew.
func (t *Table) retrySeeds() {
	if t.hasSuccessor || t.now.Before(t.nextSeed) {
		return
	}
	t.nextSeed = t.now.Add(t.around(seedPeriod))
	if !slices.ContainsFunc(t.zoneNames, t.hasOther) {
		t.joining.done = false
		return
	}
	j := &t.joining
	for range j.seeds {
		j.retried = (j.retried + 1) % len(j.seeds)
		seed := j.seeds[j.retried]
		if id, ok := t.addresses[seed]; !ok || !isLive(t.records[id]) {
			t.send(t.probeOf("", seed, purposeRetry))
			return
		}
	}
}

// hasOther says whether a zone has a live member other than the node itself.
func (t *Table) hasOther(zone string) bool {
	_, ok := t.randomMember(zone, isLive)
	return ok
}
