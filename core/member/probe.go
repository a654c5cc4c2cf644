package member

import (
	"fmt"
	"net/netip"
	"slices"
)

// probe sends the periodic probe if it is due.
func (t *Table) probe() {
	if t.isSuperseded || t.now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = t.nextProbe.Add(ProbePeriod)
	if t.nextProbe.Before(t.now) {
		t.nextProbe = t.now.Add(ProbePeriod)
	}
	if r, ok := t.nextTarget(); ok {
		t.send(t.newProbe(r.Id, r.Peer, purposeProbe))
	}
}

// nextTarget returns the next member to probe. Each round visits every live member
// of the zone once, in random order.
func (t *Table) nextTarget() (*record, bool) {
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			r, ok := t.records[id]
			if ok && isLive(r) && r.Zone == t.self.Zone && r != t.self {
				return r, true
			}
		}
		t.probeOrder = t.zones[t.self.Zone].ids(isLive)
		t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return nil, false
}

// insertInProbeOrder inserts a new member at a random position of the current round.
func (t *Table) insertInProbeOrder(id string) {
	t.probeOrder = slices.Insert(t.probeOrder, t.rng.IntN(len(t.probeOrder)+1), id)
}

// newProbe returns a probe of a member. The target is its id, or "" if it is not known.
func (t *Table) newProbe(target string, to netip.AddrPort, p purpose) Send {
	return Send{To: to, Request: Probe(t.gossip(target)), Timeout: ProbeTimeout, purpose: p, target: target}
}

// handleAck processes the answer to a probe. If the digests differ, it starts a
// comparison.
func (t *Table) handleAck(send Send, a Ack) {
	t.applyAll(a.Members, true)
	if send.target != "" && send.target != a.From {
		t.failReplaced(send, a.From)
	}
	if send.purpose == purposeZone {
		t.handleZoneAck(send.zone)
	}
	if a.Digest == t.digest {
		t.joining.done = true
		t.stale = false
		return
	}
	t.syncIfDue(send.To)
}

// failReplaced fails the target of a probe that another process answered at the
// target's address.
func (t *Table) failReplaced(send Send, from string) {
	r, ok := t.records[send.target]
	if ok && r != t.self && r.Health != Failed && r.Peer == send.To {
		t.fail(r, "its address "+send.To.String()+" is answered by "+from)
	}
}

// probeIndirectly sends indirect probes of a member that did not answer, through
// other members of the zone.
func (t *Table) probeIndirectly(send Send) {
	target, ok := t.records[send.target]
	if !ok || !isLive(target) {
		return
	}
	if _, busy := t.indirect[target.Id]; busy {
		return
	}
	probers := t.indirectProbers(target)
	if len(probers) == 0 {
		t.suspect(target, "no ack, and nobody else to ask")
		return
	}
	t.indirect[target.Id] = len(probers)
	request := ProbeFor{From: t.self.Id, Version: t.Version, Target: target.Id, Address: target.Peer}
	for _, r := range probers {
		t.send(Send{To: r.Peer, Request: request, Timeout: RelayTimeout, purpose: purposeIndirect, target: target.Id})
	}
}

// indirectProbers returns random members of the zone, other than the node and the
// target, through which to send indirect probes.
func (t *Table) indirectProbers(target *record) []*record {
	var probers []*record
	for range indirectProbes {
		r, ok := t.randomMember(t.self.Zone, func(r *record) bool {
			return r != target && r.Health == Alive && !slices.Contains(probers, r)
		})
		if !ok {
			break
		}
		probers = append(probers, r)
	}
	return probers
}

// handleReached processes the outcome of one indirect probe. The target is suspected
// when the last one has failed.
func (t *Table) handleReached(send Send, reached bool) {
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
	t.disseminate(m.Id, true)
	t.changedf("memberSuspect", m.Id, "%s", reason)
	// This probe carries the suspicion, so that the member can refute it.
	t.send(t.newProbe(m.Id, m.Peer, purposePush))
}

// retryFailed probes a failed member of the zone, so that the two halves of a
// partitioned zone merge again.
func (t *Table) retryFailed() {
	if t.isSuperseded || t.now.Before(t.nextRetry) {
		return
	}
	t.nextRetry = t.now.Add(t.jitterAround(failedRetryPeriod))
	if r, ok := t.randomMember(t.self.Zone, isFailed); ok && t.addresses[r.Peer] == r.Id {
		t.send(t.newProbe(r.Id, r.Peer, purposeRetry))
	}
}

// retrySeeds probes a seed that is not a live member, so that two fleets that
// started separately merge. A node without any other live member joins again.
func (t *Table) retrySeeds() {
	if t.isSuperseded || t.now.Before(t.nextSeed) {
		return
	}
	t.nextSeed = t.now.Add(t.jitterAround(seedPeriod))
	if !slices.ContainsFunc(t.zoneNames, t.hasOtherLiveMember) {
		t.joining.done = false
		return
	}
	j := &t.joining
	for range j.seeds {
		j.lastRetried = (j.lastRetried + 1) % len(j.seeds)
		seed := j.seeds[j.lastRetried]
		if id, ok := t.addresses[seed]; !ok || !isLive(t.records[id]) {
			t.send(t.newProbe("", seed, purposeRetry))
			return
		}
	}
}

// hasOtherLiveMember reports whether a zone has a live member, not counting the node
// itself.
func (t *Table) hasOtherLiveMember(zone string) bool {
	_, ok := t.randomMember(zone, isLive)
	return ok
}
