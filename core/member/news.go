package member

import (
	"math/bits"
	"slices"

	"lavenderdeal/schema/messages"
)

// newsItem is a record that rides on messages until it was sent often enough.
type newsItem struct {
	id   string
	left int
}

// spread makes a record ride on the next messages. An urgent one is also pushed
// at once. The comparison by hashes moves what does not fit in these bounds.
func (t *Table) spread(id string, urgent bool) {
	t.news = slices.DeleteFunc(t.news, func(n newsItem) bool { return n.id == id })
	t.news = append(t.news, newsItem{id: id, left: t.transmissions()})
	if len(t.news) > maxNews {
		t.news = slices.Delete(t.news, 0, len(t.news)-maxNews)
	}
	if !urgent {
		return
	}
	t.eager = slices.DeleteFunc(t.eager, func(other string) bool { return other == id })
	t.eager = append(t.eager, id)
	if len(t.eager) > maxEager {
		t.eager = slices.Delete(t.eager, 0, len(t.eager)-maxEager)
	}
}

// transmissions is how often a record rides on messages: the logarithm of the
// size of the zone.
func (t *Table) transmissions() int {
	z, ok := t.zones[t.zoneOfSelf()]
	if !ok {
		return 1
	}
	return bits.Len(uint(len(z.records)))
}

// gossip returns what a probe or ack to a member says. It tells the member what
// others found of it, so that it can refute.
func (t *Table) gossip(to string) messages.Gossip {
	g := messages.Gossip{From: t.self.Id, Version: t.Version, Digest: t.digest}
	if r, ok := t.records[to]; ok && r.Health != Alive {
		g.Members = append(g.Members, r.Member)
	}
	// The newest come first.
	for i := len(t.news) - 1; i >= 0 && len(g.Members) < updatesInMessage; i-- {
		n := &t.news[i]
		n.left--
		r, ok := t.records[n.id]
		if ok && n.id != to {
			g.Members = append(g.Members, r.Member)
		}
	}
	t.news = slices.DeleteFunc(t.news, func(n newsItem) bool { return n.left <= 0 })
	return g
}

// push sends urgent records to random members of the zone, and those of the own
// zone to the other zones when the node is a representative.
func (t *Table) push() {
	if len(t.eager) == 0 || t.hasSuccessor || t.now.Before(t.nextPush) {
		return
	}
	t.nextPush = t.now.Add(PushPeriod)
	all, own := t.takeEager()
	for _, r := range t.pushTargets() {
		t.pushTo(r, all)
	}
	if len(own) > 0 && t.IsRepresentative() {
		t.pushToZones(own)
	}
}

// pushOwn tells a change of the node itself to members of its zone and to its
// representatives at once, and to the other zones when it is one.
func (t *Table) pushOwn() {
	own := []messages.Member{t.self.Member}
	t.eager = slices.DeleteFunc(t.eager, func(id string) bool { return id == t.self.Id })
	targets := t.pushTargets()
	for _, id := range t.representatives(t.zones[t.self.Zone]) {
		if r := t.records[id]; r != t.self && !slices.Contains(targets, r) {
			targets = append(targets, r)
		}
	}
	for _, r := range targets {
		t.pushTo(r, own)
	}
	if t.wasRep || t.IsRepresentative() {
		t.pushToZones(own)
	}
}

// takeEager returns the newest urgent records, and those of them that belong to
// the node's own zone.
func (t *Table) takeEager() (all, own []messages.Member) {
	n := min(len(t.eager), updatesInMessage)
	ids := t.eager[len(t.eager)-n:]
	t.eager = t.eager[:len(t.eager)-n]
	for _, id := range ids {
		r, ok := t.records[id]
		if !ok {
			continue
		}
		all = append(all, r.Member)
		if r.Zone == t.self.Zone {
			own = append(own, r.Member)
		}
	}
	return all, own
}

func (t *Table) pushTargets() []*record {
	var targets []*record
	for range pushFanout {
		r, ok := t.randomMember(t.self.Zone, func(r *record) bool { return isLive(r) && !slices.Contains(targets, r) })
		if !ok {
			break
		}
		targets = append(targets, r)
	}
	return targets
}

func (t *Table) pushToZones(members []messages.Member) {
	for _, name := range t.zoneNames {
		z := t.zones[name]
		if name == t.self.Zone || z.contact.isCutOff {
			continue
		}
		if reps := t.representatives(z); len(reps) > 0 {
			t.pushTo(t.records[reps[t.rng.IntN(len(reps))]], members)
		}
	}
}

func (t *Table) pushTo(r *record, members []messages.Member) {
	g := messages.Gossip{From: t.self.Id, Version: t.Version, Digest: t.digest, Members: members}
	t.send(Send{To: r.Peer, Request: Probe(g), Timeout: ProbeTimeout, purpose: purposePush, target: r.Id})
}
