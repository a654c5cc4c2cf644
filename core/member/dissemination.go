package member

import (
	"math/bits"
	"slices"

	"lavenderdeal/schema/messages"
)

// queuedUpdate is a record that is piggybacked on probes and acks until it was sent
// often enough.
type queuedUpdate struct {
	id   string
	left int
}

// disseminate queues a record for piggybacking on the next probes and acks. An urgent
// record is also queued for the next push. Records that exceed the bounds of the
// queues are left to the comparison by digests.
func (t *Table) disseminate(id string, urgent bool) {
	t.updates = slices.DeleteFunc(t.updates, func(u queuedUpdate) bool { return u.id == id })
	t.updates = append(t.updates, queuedUpdate{id: id, left: t.transmissions()})
	if len(t.updates) > maxQueuedUpdates {
		t.updates = slices.Delete(t.updates, 0, len(t.updates)-maxQueuedUpdates)
	}
	if !urgent {
		return
	}
	t.pushQueue = slices.DeleteFunc(t.pushQueue, func(other string) bool { return other == id })
	t.pushQueue = append(t.pushQueue, id)
	if len(t.pushQueue) > maxPushQueue {
		t.pushQueue = slices.Delete(t.pushQueue, 0, len(t.pushQueue)-maxPushQueue)
	}
}

// transmissions returns how many times a record is piggybacked: the binary
// logarithm of the size of the zone.
func (t *Table) transmissions() int {
	z, ok := t.zones[t.zoneOfSelf()]
	if !ok {
		return 1
	}
	return bits.Len(uint(len(z.records)))
}

// gossip returns the content of a probe or ack to a member. It includes the
// member's own record unless that is alive, so that the member can refute it.
func (t *Table) gossip(to string) messages.Gossip {
	g := messages.Gossip{From: t.self.Id, Version: t.Version, Digest: t.digest}
	if r, ok := t.records[to]; ok && r.Health != Alive {
		g.Members = append(g.Members, r.Member)
	}
	// The newest records come first.
	for i := len(t.updates) - 1; i >= 0 && len(g.Members) < updatesInMessage; i-- {
		u := &t.updates[i]
		u.left--
		r, ok := t.records[u.id]
		if ok && u.id != to {
			g.Members = append(g.Members, r.Member)
		}
	}
	t.updates = slices.DeleteFunc(t.updates, func(u queuedUpdate) bool { return u.left <= 0 })
	return g
}

// push sends urgent records to random members of the zone. A representative also
// sends those of its own zone to the other zones.
func (t *Table) push() {
	if len(t.pushQueue) == 0 || t.isSuperseded || t.now.Before(t.nextPush) {
		return
	}
	t.nextPush = t.now.Add(PushPeriod)
	all, own := t.takeUrgent()
	for _, r := range t.pushTargets() {
		t.pushTo(r, all)
	}
	if len(own) > 0 && t.IsRepresentative() {
		t.pushToZones(own)
	}
}

// pushOwn sends the node's own record at once to random members and to the
// representatives of its zone. A representative also sends it to the other zones.
func (t *Table) pushOwn() {
	own := []messages.Member{t.self.Member}
	t.pushQueue = slices.DeleteFunc(t.pushQueue, func(id string) bool { return id == t.self.Id })
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

// takeUrgent removes and returns the newest urgent records, and those of them that
// belong to the node's own zone.
func (t *Table) takeUrgent() (all, own []messages.Member) {
	n := min(len(t.pushQueue), updatesInMessage)
	ids := t.pushQueue[len(t.pushQueue)-n:]
	t.pushQueue = t.pushQueue[:len(t.pushQueue)-n]
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
