package member

import (
	"slices"
	"time"

	"lavenderdeal/schema/messages"
)

// contact is the state of a representative's probes of another zone.
type contact struct {
	next  time.Time
	tries int
	// failures counts the unanswered probes in a row.
	failures int
	// isBusy is set while a probe is pending.
	isBusy   bool
	isCutOff bool
	cutOffAt time.Time
}

// contactZones probes the other zones while the node is a representative.
func (t *Table) contactZones() {
	isRep := t.IsRepresentative() && !t.isSuperseded
	if isRep != t.wasRep {
		t.wasRep = isRep
		t.changeRole(isRep)
	}
	if !isRep {
		return
	}
	for _, name := range slices.Clone(t.zoneNames) {
		if name != t.self.Zone {
			t.contactZone(t.zones[name])
		}
	}
}

// changeRole resets the contacts. A new representative takes over the zones that
// other members of its zone announced as cut off.
func (t *Table) changeRole(isRep bool) {
	cutOff := t.cutOffByPeers()
	for _, name := range t.zoneNames {
		c := contact{next: t.now.Add(t.jitter(ZonePeriod))}
		if isRep && slices.Contains(cutOff, name) {
			c.isCutOff, c.cutOffAt = true, t.now
		}
		t.zones[name].contact = c
	}
	t.announceCutOff()
}

// CutOff returns the availability zones that no representative of the node's own
// zone can reach.
func (t *Table) CutOff() []string {
	var cutOff []string
	for i, id := range t.representatives(t.zones[t.self.Zone]) {
		own := t.records[id].CutOff
		if i == 0 {
			cutOff = slices.Clone(own)
			continue
		}
		cutOff = slices.DeleteFunc(cutOff, func(zone string) bool { return !slices.Contains(own, zone) })
	}
	return cutOff
}

// cutOffByPeers returns the zones that other live members of the node's own zone
// announced as cut off.
func (t *Table) cutOffByPeers() []string {
	var cutOff []string
	for _, r := range t.zones[t.self.Zone].records {
		if r != t.self && isLive(r) {
			cutOff = append(cutOff, r.CutOff...)
		}
	}
	return cutOff
}

// contactZone probes another zone if it is due. It fails members of a zone that has
// been cut off for too long.
func (t *Table) contactZone(z *zone) {
	c := &z.contact
	if c.isCutOff {
		t.failUnreachable(z)
	}
	if c.isBusy || t.now.Before(c.next) {
		return
	}
	r, ok := t.contactTarget(z)
	if !ok {
		return
	}
	c.isBusy = true
	c.tries++
	c.next = t.now.Add(t.jitterAround(ZonePeriod))
	send := t.newProbe(r.Id, r.Peer, purposeZone)
	send.zone = z.name
	t.send(send)
}

// contactTarget returns a representative of the zone, or a random live member if
// the representatives did not answer.
func (t *Table) contactTarget(z *zone) (*record, bool) {
	reps := t.representatives(z)
	if z.contact.failures < Representatives && len(reps) > 0 {
		return t.records[reps[z.contact.tries%len(reps)]], true
	}
	return t.randomMember(z.name, isLive)
}

func (t *Table) handleZoneAck(name string) {
	z, ok := t.zones[name]
	if !ok || !t.wasRep {
		return
	}
	c := &z.contact
	c.isBusy = false
	c.failures = 0
	if !c.isCutOff {
		return
	}
	c.isCutOff = false
	t.changedf("zoneReached", name, "answered after %s", t.now.Sub(c.cutOffAt))
	t.announceCutOff()
}

func (t *Table) handleZoneTimeout(name string) {
	z, ok := t.zones[name]
	if !ok || !t.wasRep {
		return
	}
	c := &z.contact
	c.isBusy = false
	c.failures++
	c.next = t.now.Add(t.jitterAround(ZoneRetry))
	if c.failures < cutOffFailures || c.isCutOff {
		return
	}
	c.isCutOff, c.cutOffAt = true, t.now
	t.changedf("zoneCutOff", name, "%d contacts in a row got no answer", c.failures)
	t.announceCutOff()
}

// announceCutOff announces the zones that the node cannot reach if they changed.
func (t *Table) announceCutOff() {
	var cutOff []string
	for _, name := range t.zoneNames {
		if t.zones[name].contact.isCutOff {
			cutOff = append(cutOff, name)
		}
	}
	if slices.Equal(cutOff, t.self.CutOff) || t.isSuperseded {
		return
	}
	m := t.self.Member
	m.CutOff = cutOff
	t.announce(m)
}

// failUnreachable fails the members of a zone that has been cut off for cutOffTimeout.
// It fails leaving members already after cutOffLeavingTimeout.
func (t *Table) failUnreachable(z *zone) {
	age := t.now.Sub(z.contact.cutOffAt)
	if age < cutOffLeavingTimeout {
		return
	}
	for _, r := range slices.Clone(z.records) {
		isOver := age >= cutOffTimeout || r.State == messages.MemberStateLeaving
		if isOver && isLive(r) {
			t.fail(r, "its zone is cut off since "+age.String())
		}
	}
}
