package member

import (
	"cmp"
	"slices"
	"strings"

	"lavenderdeal/schema/messages"
)

// applyAll merges records received from a peer and disseminates the new ones.
func (t *Table) applyAll(members []messages.Member, urgent bool) {
	for _, m := range members {
		if t.apply(m) {
			t.disseminate(m.Id, urgent)
		}
	}
}

// apply merges one record. It returns true if the record has to be disseminated.
func (t *Table) apply(m messages.Member) bool {
	if !isWellFormed(m) {
		t.malformedSeen++
		return false
	}
	if m.Id == t.self.Id {
		t.refute(m)
		return false
	}
	known, ok := t.records[m.Id]
	if ok && !isNewer(m, known.Member) {
		return false
	}
	if !ok && len(t.records) >= maxRecords {
		t.malformedSeen++
		return false
	}
	before := Failed
	if ok {
		before = known.Health
	}
	m = t.resolveAddress(m)
	t.put(m)
	t.report(before, m)
	// A tombstone of an unknown member is stored, so that a late record does not
	// revive the member, but is not disseminated.
	return ok || m.Health != Failed
}

// report emits a Changed when the health of a member of the node's own zone
// changed.
func (t *Table) report(before uint8, m messages.Member) {
	if m.Zone != t.self.Zone || before == m.Health {
		return
	}
	switch m.Health {
	case Alive:
		t.changedf("memberAlive", m.Id, "announced %s with incarnation %d", m.State, m.Incarnation)
	case Suspect:
		t.changedf("memberSuspect", m.Id, "suspected by a peer at incarnation %d", m.Incarnation)
	case Failed:
		t.changedf("memberFailed", m.Id, "failed at incarnation %d, last announced as %s", m.Incarnation, m.State)
	}
}

// refute announces the node with a higher incarnation if the received record of it is
// newer than its own.
func (t *Table) refute(m messages.Member) {
	if t.isSuperseded || !isNewer(m, t.self.Member) {
		return
	}
	t.changedf("refuted", t.self.Id, "others had health %d at incarnation %d", m.Health, m.Incarnation)
	own := t.self.Member
	own.Incarnation = m.Incarnation
	t.announce(own)
}

// resolveAddress decides which of two ids at one address is alive. It returns the
// record with its health set accordingly, and fails the other one if it lost.
func (t *Table) resolveAddress(m messages.Member) messages.Member {
	if m.Peer == t.self.Peer {
		return t.resolveOwnAddress(m)
	}
	id, ok := t.addresses[m.Peer]
	if !ok || id == m.Id {
		return m
	}
	other := t.records[id]
	if compareClaims(m, other.Member) < 0 {
		m.Health = Failed
		return m
	}
	if other.Health != Failed {
		t.fail(other, "its address "+m.Peer.String()+" belongs to "+m.Id+", which started later")
	}
	return m
}

// resolveOwnAddress is resolveAddress for a record with the node's own address.
func (t *Table) resolveOwnAddress(m messages.Member) messages.Member {
	if compareClaims(m, t.self.Member) < 0 {
		m.Health = Failed
		return m
	}
	if t.isSuperseded {
		return m
	}
	if t.self.State == messages.MemberStateStarting && !t.raisedEpoch {
		t.raisedEpoch = true
		own := t.self.Member
		own.Epoch = m.Epoch + 1
		t.announce(own)
		m.Health = Failed
		return m
	}
	t.isSuperseded = true
	own := t.self.Member
	own.Health = Failed
	t.put(own)
	t.changedf("superseded", t.self.Id, "%s started later at the same address %s", m.Id, m.Peer)
	return m
}

// fail marks a member as failed and reports the reason.
func (t *Table) fail(r *record, reason string) {
	m := r.Member
	m.Health = Failed
	t.put(m)
	t.disseminate(m.Id, true)
	t.changedf("memberFailed", m.Id, "%s", reason)
}

// put stores a record and updates the digests and the index by address.
func (t *Table) put(m messages.Member) *record {
	r, ok := t.records[m.Id]
	if !ok {
		r = &record{since: t.now}
		t.records[m.Id] = r
	} else {
		t.detach(r, m.Zone != r.Zone)
	}
	if r.Health != m.Health {
		r.since = t.now
	}
	isNew := !ok || m.Zone != r.Zone
	r.Member = m
	t.attach(r, isNew)
	t.claimAddress(r)
	t.revision++
	t.changedAt = t.now
	return r
}

// claimAddress enters a record in the index by address unless another record has a
// higher claim.
func (t *Table) claimAddress(r *record) {
	id, ok := t.addresses[r.Peer]
	if ok {
		if other, known := t.records[id]; known && compareClaims(r.Member, other.Member) < 0 {
			return
		}
	}
	t.addresses[r.Peer] = r.Id
}

// attach adds a record to the digests, and to its zone if it is new there.
func (t *Table) attach(r *record, isNew bool) {
	z, ok := t.zones[r.Zone]
	if !ok {
		z = &zone{name: r.Zone}
		t.zones[r.Zone] = z
		at, _ := slices.BinarySearch(t.zoneNames, r.Zone)
		t.zoneNames = slices.Insert(t.zoneNames, at, r.Zone)
	}
	z.hasCurrentReps = false
	r.hash = hashOf(r.Member)
	t.addHash(z, r, r.hash)
	if !isNew {
		return
	}
	at, _ := slices.BinarySearchFunc(z.records, r, compareIDs)
	z.records = slices.Insert(z.records, at, r)
	if r.Zone == t.zoneOfSelf() && r.Health != Failed {
		t.insertInProbeOrder(r.Id)
	}
}

// detach removes a record from the digests, and from its zone if fromZone is set.
func (t *Table) detach(r *record, fromZone bool) {
	z := t.zones[r.Zone]
	z.hasCurrentReps = false
	t.addHash(z, r, -r.hash)
	if !fromZone {
		return
	}
	at, _ := slices.BinarySearchFunc(z.records, r, compareIDs)
	z.records = slices.Delete(z.records, at, at+1)
	if len(z.records) == 0 {
		delete(t.zones, z.name)
		at, _ := slices.BinarySearch(t.zoneNames, z.name)
		t.zoneNames = slices.Delete(t.zoneNames, at, at+1)
	}
}

// remove removes a record from the table.
func (t *Table) remove(r *record) {
	t.detach(r, true)
	delete(t.records, r.Id)
	if t.addresses[r.Peer] == r.Id {
		delete(t.addresses, r.Peer)
	}
	t.revision++
}

// expire fails suspects whose time is up, and removes old tombstones.
func (t *Table) expire() {
	if !t.stale || t.now.Sub(t.staleSince) > staleLimit {
		for _, r := range t.zones[t.self.Zone].records {
			t.expireSuspicion(r)
		}
	}
	if t.now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = t.now.Add(expiryPeriod)
	var old []*record
	for _, name := range t.zoneNames {
		for _, r := range t.zones[name].records {
			if r.Health == Failed && r != t.self && t.now.Sub(r.since) > TombstoneTTL {
				old = append(old, r)
			}
		}
	}
	for _, r := range old {
		t.remove(r)
	}
}

func (t *Table) expireSuspicion(r *record) {
	if r.Health != Suspect || r == t.self {
		return
	}
	limit := SuspicionTimeout
	if t.lastAnswerAt.Before(r.since) {
		// No other node has answered since either: this node may be the one that is
		// cut off.
		limit *= isolatedFactor
	}
	if t.now.Sub(r.since) >= limit {
		t.fail(r, "suspect for "+t.now.Sub(r.since).String()+" and did not refute")
	}
}

// zoneOfSelf returns the node's own zone, or "" while New creates the own record.
func (t *Table) zoneOfSelf() string {
	if t.self == nil {
		return ""
	}
	return t.self.Zone
}

// isWellFormed reports whether a record received from a peer has valid fields.
func isWellFormed(m messages.Member) bool {
	return isName(m.Id) && isName(m.Zone) && len(m.Region) <= maxName && len(m.Service) <= maxName &&
		m.Peer.IsValid() && m.Call.IsValid() && stateOrder(m.State) > 0 && m.Health <= Failed &&
		m.Slots >= 0 && len(m.CutOff) <= maxCutOff && m.Incarnation <= maxCounter && m.Epoch <= maxCounter
}

func isName(name string) bool { return name != "" && len(name) <= maxName }

// isNewer reports whether a supersedes b, a record of the same id.
func isNewer(a, b messages.Member) bool {
	return a.Incarnation > b.Incarnation || (a.Incarnation == b.Incarnation && a.Health > b.Health)
}

// compareClaims compares the claims of two records to the same address: by epoch, then
// by id. The member with the higher claim is alive.
func compareClaims(a, b messages.Member) int {
	if order := cmp.Compare(a.Epoch, b.Epoch); order != 0 {
		return order
	}
	return strings.Compare(a.Id, b.Id)
}

func compareIDs(a, b *record) int { return strings.Compare(a.Id, b.Id) }
