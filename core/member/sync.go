package member

import (
	"net/netip"
	"time"

	"lavenderdeal/schema/messages"
)

const (
	// settleTime is how long the members must be unchanged before a difference of
	// digests is attributed to a lost update and not to one still in transit.
	settleTime = 1 * time.Second
	// syncLimit is the maximum time without a comparison while digests differ.
	syncLimit = 5 * time.Second
	// syncPause plus a random time up to syncJitter is the minimum time between the
	// starts of two comparisons. A comparison that left a difference is followed by
	// the next one after a random time up to nextJitter.
	syncPause  = 1 * time.Second
	syncJitter = 2 * time.Second
	nextJitter = 300 * time.Millisecond
	// refreshPause is the average time between two comparisons of a stale node.
	refreshPause = 1 * time.Second

	// maxSyncZones and maxSyncBuckets bound the differing zones and buckets that one
	// comparison processes.
	maxSyncZones   = 64
	maxSyncBuckets = 64
	// maxTransfer is the number of records in one message of a transfer.
	maxTransfer = 256
)

// syncIfDue starts a comparison with a peer whose digest differs, if one is due.
func (t *Table) syncIfDue(with netip.AddrPort) {
	if t.now.Before(t.nextSync) {
		return
	}
	isQuiet := t.now.Sub(t.changedAt) >= settleTime
	if isQuiet || t.stale || t.now.Sub(t.syncedAt) >= syncLimit {
		t.startSync(with)
	}
}

// refresh compares with a random member while the node's records are stale. All
// known members may be gone, so it does not delay a comparison with a peer that
// answers.
func (t *Table) refresh() {
	if !t.stale || t.now.Before(t.nextRefresh) {
		return
	}
	t.nextRefresh = t.now.Add(t.jitterAround(refreshPause))
	if r, ok := t.randomMember(t.ownOrRandomZone(), isLive); ok {
		t.compareZones(r.Peer)
	}
}

// ownOrRandomZone returns the node's own zone or, with a probability of one half, a random
// zone.
func (t *Table) ownOrRandomZone() string {
	if t.rng.IntN(2) == 0 {
		return t.self.Zone
	}
	return t.zoneNames[t.rng.IntN(len(t.zoneNames))]
}

// startSync starts a comparison unless one is pending.
func (t *Table) startSync(with netip.AddrPort) {
	if t.syncing || t.isSuperseded {
		return
	}
	t.syncing = true
	t.syncedAt = t.now
	t.nextSync = t.now.Add(syncPause + t.jitter(syncJitter))
	t.compareZones(with)
}

// compareZones sends the first step of a comparison: the digests of all zones.
func (t *Table) compareZones(with netip.AddrPort) {
	q := Sync{From: t.self.Id, Version: t.Version}
	for _, name := range t.zoneNames {
		q.Zones = append(q.Zones, messages.ZoneDigest{Zone: name, Digest: t.zones[name].digest})
	}
	t.sendSync(with, q)
}

func (t *Table) sendSync(to netip.AddrPort, q Sync) {
	t.send(Send{To: to, Request: q, Timeout: TransferTimeout, purpose: purposeSync})
}

// serveSync merges the records of one step of a comparison and returns the answer.
func (t *Table) serveSync(q Sync) Answer {
	t.applyAll(q.Members, isSmallBatch(q.Members))
	var answer SyncAnswer
	if len(q.Zones) > 0 {
		answer.Buckets = t.differingBuckets(q.Zones)
	}
	for _, known := range q.Known {
		t.compareBucket(known, &answer)
	}
	answer.Version = t.Version
	answer.Digest = t.digest
	return answer
}

// differingBuckets returns the bucket digests of the zones whose digests differ. It
// starts at a random zone, since it returns at most maxSyncZones zones.
func (t *Table) differingBuckets(theirs []messages.ZoneDigest) []messages.ZoneBuckets {
	digests := make(map[string]uint64, len(theirs))
	for _, z := range theirs {
		digests[z.Zone] = z.Digest
	}
	var found []messages.ZoneBuckets
	start := t.rng.IntN(len(t.zoneNames))
	for i := range t.zoneNames {
		z := t.zones[t.zoneNames[(start+i)%len(t.zoneNames)]]
		digest, ok := digests[z.name]
		delete(digests, z.name)
		if (!ok || digest != z.digest) && len(found) < maxSyncZones {
			found = append(found, messages.ZoneBuckets{Zone: z.name, Digests: append([]uint64(nil), z.buckets[:]...)})
		}
	}
	for _, z := range theirs {
		if digest, ok := digests[z.Zone]; ok && digest != 0 && len(found) < maxSyncZones && isName(z.Zone) {
			found = append(found, messages.ZoneBuckets{Zone: z.Zone, Digests: make([]uint64, bucketCount)})
		}
	}
	return found
}

// compareBucket adds to the answer the records that the requester lacks and the
// ids of those that this node lacks.
func (t *Table) compareBucket(theirs messages.KnownBucket, answer *SyncAnswer) {
	known := make(map[string]messages.KnownMember, len(theirs.Members))
	for _, k := range theirs.Members {
		known[k.Id] = k
		r, ok := t.records[k.Id]
		isWanted := !ok && k.Health != Failed
		if ok {
			isWanted = isNewer(messages.Member{Incarnation: k.Incarnation, Health: k.Health}, r.Member)
		}
		if isWanted && len(answer.Wants) < maxTransfer {
			answer.Wants = append(answer.Wants, k.Id)
		}
	}
	z, ok := t.zones[theirs.Zone]
	if !ok {
		return
	}
	for _, r := range z.records {
		if bucketOf(r.Id) != theirs.Bucket || len(answer.Members) >= maxTransfer {
			continue
		}
		k, ok := known[r.Id]
		peerLacks := !ok && isLive(r)
		if ok {
			peerLacks = isNewer(r.Member, messages.Member{Incarnation: k.Incarnation, Health: k.Health})
		}
		if peerLacks {
			answer.Members = append(answer.Members, r.Member)
		}
	}
}

// handleSyncAnswer processes the answer to one step of a comparison and sends the next
// step.
func (t *Table) handleSyncAnswer(send Send, a SyncAnswer) {
	t.applyAll(a.Members, isSmallBatch(a.Members))
	q := Sync{From: t.self.Id, Version: t.Version, Known: t.knownBuckets(a.Buckets), Members: t.wanted(a.Wants)}
	if len(q.Known) > 0 || len(q.Members) > 0 {
		t.sendSync(send.To, q)
		return
	}
	t.syncing = false
	t.stale = false
	if a.Digest == t.digest {
		t.joining.done = true
		return
	}
	t.nextSync = t.now.Add(t.jitter(nextJitter))
}

// knownBuckets returns the buckets that differ, with the id, incarnation and health
// of the table's records in them.
func (t *Table) knownBuckets(theirs []messages.ZoneBuckets) []messages.KnownBucket {
	var found []messages.KnownBucket
	for _, zone := range theirs {
		var own [bucketCount]uint64
		z, ok := t.zones[zone.Zone]
		if ok {
			own = z.buckets
		}
		for b, digest := range zone.Digests {
			if b >= bucketCount || len(found) >= maxSyncBuckets {
				break
			}
			if digest == own[b] {
				continue
			}
			bucket := messages.KnownBucket{Zone: zone.Zone, Bucket: b, Members: []messages.KnownMember{}}
			if ok {
				bucket.Members = z.knownMembers(b)
			}
			found = append(found, bucket)
		}
	}
	return found
}

func (z *zone) knownMembers(bucket int) []messages.KnownMember {
	members := []messages.KnownMember{}
	for _, r := range z.records {
		if bucketOf(r.Id) == bucket {
			members = append(members, messages.KnownMember{Id: r.Id, Incarnation: r.Incarnation, Health: r.Health})
		}
	}
	return members
}

// wanted returns the records that a peer requested by their ids.
func (t *Table) wanted(ids []string) []messages.Member {
	var members []messages.Member
	for _, id := range ids {
		if r, ok := t.records[id]; ok && len(members) < maxTransfer {
			members = append(members, r.Member)
		}
	}
	return members
}

// isSmallBatch reports whether the records of a comparison are few enough to push
// them at once.
func isSmallBatch(members []messages.Member) bool { return len(members) <= updatesInMessage }
