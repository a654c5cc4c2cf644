// Package member implements a SWIM-style membership protocol for the fleet.
//
// A [Table] is one node's view of the membership, as a deterministic state
// machine without a clock, sockets or a random source of its own. The caller
// passes events in and carries out the returned effects:
//
//	table := member.New(now, self, rng)
//	effects := table.Tick(now)                       // about ten times a second
//	answer, effects := table.Serve(now, request)     // a request from a peer
//	effects = table.HandleAnswer(now, send, answer)  // the answer to a Send
//	effects = table.HandleTimeout(now, send)         // a Send without an answer
//
// # Order of records
//
// The records of a member are totally ordered by (incarnation, health). Only the
// node itself raises its incarnation; every node may raise the health from alive
// to suspect to failed. So the order in which records arrive does not matter, and
// a falsely suspected node refutes the suspicion with a higher incarnation.
//
// An id belongs to one process and is never reused. The claim of an id to its peer
// address is the pair (epoch, id); the epoch is the start time of the process. Of
// two ids at one address the one with the higher claim is alive and the other has
// failed. A starting node that receives a higher claim to its own address raises
// its epoch above it, once, because its clock may be behind that of its
// predecessor. Otherwise a node that receives a higher claim to its address is
// superseded: it stops probing, joining and pushing.
//
// # Dissemination
//
// Inside an availability zone each node probes one member per second. When a
// member does not answer, the node sends indirect probes through three others
// and suspects the member if these fail too. A node that announces or receives a
// new record pushes it at once to a few random members of the zone and piggybacks it
// on a number of probes and acks. Records that a joining node receives, or that come
// in a large batch, are not pushed. Two representatives per zone,
// selected by rendezvous hashing, push the changes of their zone to every other
// zone. Every probe and ack carries a hash of all records. When the hashes of two
// nodes differ, they compare zones, then buckets, and transfer only the records
// that differ.
package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/schema/messages"
)

// Health of a member, as observed by other nodes.
const (
	// Alive members answer probes.
	Alive uint8 = iota
	// Suspect members did not answer. They have SuspicionTimeout to refute the
	// suspicion.
	Suspect
	// Failed members are kept as tombstones for TombstoneTTL.
	Failed
)

const (
	// ProbePeriod is the time between two probes sent by a node.
	ProbePeriod = 1 * time.Second
	// ProbeTimeout is how long a direct probe waits for its ack.
	ProbeTimeout = 500 * time.Millisecond
	// RelayTimeout is how long an indirect probe waits for its answer.
	RelayTimeout = 2 * ProbeTimeout
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 4 * time.Second
	// TombstoneTTL is how long the record of a failed member is kept.
	TombstoneTTL = 1 * time.Hour
	// PauseLimit is the gap between two events after which a node considers its
	// records stale.
	PauseLimit = 3 * time.Second
	// PushPeriod is the minimum time between two pushes of new records.
	PushPeriod = 50 * time.Millisecond
	// ZonePeriod is the average time between a representative's probes of another
	// zone.
	ZonePeriod = 4 * time.Second
	// ZoneRetry is the average time between probes of a zone that does not answer.
	ZoneRetry = 1 * time.Second
	// TransferTimeout is the timeout of one page of a join or one step of a
	// comparison.
	TransferTimeout = 3 * time.Second
	// Representatives is the number of nodes that exchange records with other
	// zones on behalf of their zone.
	Representatives = 2

	// cutOffTimeout is how long a zone may be cut off before all its members are
	// considered failed. For members that were leaving it is cutOffLeavingTimeout.
	cutOffTimeout        = 24 * time.Hour
	cutOffLeavingTimeout = 10 * time.Minute
	// cutOffFailures is the number of unanswered probes in a row after which a zone
	// is considered cut off.
	cutOffFailures = 4
	// isolatedFactor extends SuspicionTimeout for a node that may itself be cut off.
	isolatedFactor = 4
	// staleLimit is the time after which a resumed node expires suspicions again
	// even if it has found no node to compare its records with.
	staleLimit = isolatedFactor * SuspicionTimeout

	// indirectProbes is the number of members through which a member that did not
	// answer is probed.
	indirectProbes = 3
	// pushFanout is the number of random members to which a new record is pushed.
	pushFanout = 4
	// updatesInMessage is the maximum number of records in a probe, ack or push.
	updatesInMessage = 12
	maxPushQueue     = 2 * updatesInMessage
	maxQueuedUpdates = 64
	// maxRecords is the maximum number of members in a table, including failed ones.
	maxRecords = 20000
	// maxName is the maximum length of ids and of zone, region and service names, in
	// bytes.
	maxName = 64
	// maxCounter bounds incarnations and epochs, so that incrementing one never
	// overflows.
	maxCounter = 1 << 62

	// maxCutOff is the maximum number of cut-off zones in a record.
	maxCutOff = 256
	// failedRetryPeriod and seedPeriod are the average times between probes of a
	// failed member, and of a seed that is not a live member.
	failedRetryPeriod = 5 * time.Second
	seedPeriod        = 10 * time.Second
	// expiryPeriod is the time between removals of old tombstones.
	expiryPeriod = 10 * time.Second
	// representativeKey precedes a zone's name in the key that selects its
	// representatives.
	representativeKey = "representative/"
)

// Table is one node's view of the membership. It is not safe for concurrent use.
type Table struct {
	// Version is the version of the plans that the node has in force, sent with each
	// message. The caller keeps it up to date.
	Version uint64

	rng  *rand.Rand
	now  time.Time
	self *record

	records   map[string]*record
	zones     map[string]*zone
	zoneNames []string
	// addresses holds the id with the highest claim to each peer address.
	addresses map[netip.AddrPort]string
	digest    uint64
	revision  uint64
	changedAt time.Time
	effects   []Effect

	updates   []queuedUpdate
	pushQueue []string
	nextPush  time.Time
	// probeOrder holds the ids still to probe in the current round.
	probeOrder []string
	nextProbe  time.Time
	// indirect counts the pending indirect probes by target.
	indirect     map[string]int
	lastAnswerAt time.Time
	nextRetry    time.Time
	nextSeed     time.Time
	nextExpiry   time.Time

	joining joining
	// sessions holds the time of the last request of each node whose join is being
	// served.
	sessions    map[string]time.Time
	syncing     bool
	syncedAt    time.Time
	nextSync    time.Time
	nextRefresh time.Time
	stale       bool
	staleSince  time.Time
	// wasRep is set if the node was a representative at the last Tick.
	wasRep        bool
	raisedEpoch   bool
	isSuperseded  bool
	malformedSeen uint64
}

// record is the table's newest record of one member.
type record struct {
	messages.Member
	// since is the time of the last change of the health.
	since time.Time
	hash  uint64
}

// zone holds the records of one availability zone, sorted by id.
type zone struct {
	name           string
	records        []*record
	buckets        [bucketCount]uint64
	digest         uint64
	reps           []string
	hasCurrentReps bool
	contact        contact
}

// New returns a table that contains only the node's own record.
func New(now time.Time, self messages.Member, rng *rand.Rand) *Table {
	t := &Table{
		rng:       rng,
		now:       now,
		records:   make(map[string]*record),
		zones:     make(map[string]*zone),
		addresses: make(map[netip.AddrPort]string),
		indirect:  make(map[string]int),
		sessions:  make(map[string]time.Time),
	}
	self.Health = Alive
	t.self = t.put(self)
	t.nextProbe = now.Add(t.jitter(ProbePeriod))
	t.nextRetry = now.Add(t.jitter(failedRetryPeriod))
	t.nextSeed = now.Add(t.jitter(seedPeriod))
	return t
}

// Tick runs all periodic work that is due at now.
func (t *Table) Tick(now time.Time) []Effect {
	t.begin(now)
	t.expire()
	t.refresh()
	t.join()
	t.probe()
	t.contactZones()
	t.retryFailed()
	t.retrySeeds()
	t.push()
	return t.takeEffects()
}

// SetState announces a new state of the node itself. States only advance:
// starting, ready, leaving. Any other change is ignored.
func (t *Table) SetState(now time.Time, state messages.MemberState) []Effect {
	t.begin(now)
	if stateOrder(state) > stateOrder(t.self.State) && !t.isSuperseded {
		m := t.self.Member
		m.State = state
		t.announce(m)
	}
	return t.takeEffects()
}

// Serve handles a peer's request and returns the answer. The answer to a
// [ProbeFor] is nil; see [Table.Relay].
func (t *Table) Serve(now time.Time, request Request) (Answer, []Effect) {
	t.begin(now)
	var answer Answer
	switch q := request.(type) {
	case Probe:
		t.applyAll(q.Members, true)
		answer = Ack(t.gossip(q.From))
	case Sync:
		answer = t.serveSync(q)
	case Join:
		answer = t.serveJoin(q)
	case ProbeFor:
	}
	return answer, t.takeEffects()
}

// Relay returns the probe that a peer requested by a ProbeFor. The caller's
// answer to the peer reports whether the ack came from the target.
func (t *Table) Relay(now time.Time, q ProbeFor) Send {
	t.begin(now)
	return t.newProbe(q.Target, q.Address, purposeRelay)
}

// HandleAnswer processes the answer to a Send.
func (t *Table) HandleAnswer(now time.Time, send Send, answer Answer) []Effect {
	t.begin(now)
	t.lastAnswerAt = now
	switch a := answer.(type) {
	case Ack:
		t.handleAck(send, a)
	case Reached:
		t.handleReached(send, a.Reached)
	case SyncAnswer:
		t.handleSyncAnswer(send, a)
	case JoinAnswer:
		t.handleJoinAnswer(send, a)
	}
	return t.takeEffects()
}

// HandleTimeout processes a Send that got no answer. The peer may have received
// the request nevertheless.
func (t *Table) HandleTimeout(now time.Time, send Send) []Effect {
	t.begin(now)
	switch send.purpose {
	case purposeProbe:
		t.probeIndirectly(send)
	case purposeIndirect:
		t.handleReached(send, false)
	case purposeZone:
		t.handleZoneTimeout(send.zone)
	case purposeSync:
		t.syncing = false
	case purposeJoin:
		t.handleJoinTimeout()
	case purposePush, purposeRelay, purposeRetry:
	}
	return t.takeEffects()
}

// Self returns the node's own record.
func (t *Table) Self() messages.Member { return withDerivedState(t.self) }

// Members returns all members, including failed ones, sorted by zone and id.
func (t *Table) Members() []messages.Member {
	members := make([]messages.Member, 0, len(t.records))
	for _, name := range t.zoneNames {
		for _, r := range t.zones[name].records {
			members = append(members, withDerivedState(r))
		}
	}
	return members
}

// Revision returns a counter that increases with each change of the table's records.
func (t *Table) Revision() uint64 { return t.revision }

// Digest returns the hash of all members that have not failed. Tables with the
// same members have the same digest.
func (t *Table) Digest() uint64 { return t.digest }

// HasJoined reports whether the node has received the members from another node, or
// found that both have the same. It becomes false again when the table has no other
// live member.
func (t *Table) HasJoined() bool { return t.joining.done }

// IsStale reports whether the node was paused and has not compared its members
// with another node since.
func (t *Table) IsStale() bool { return t.stale }

// IsSuperseded reports whether a newer process uses the node's address.
func (t *Table) IsSuperseded() bool { return t.isSuperseded }

// IsRepresentative reports whether the node is a representative of its zone.
func (t *Table) IsRepresentative() bool {
	return slices.Contains(t.representatives(t.zones[t.self.Zone]), t.self.Id)
}

// Malformed returns the number of records and joins rejected since the start,
// because they were malformed or the table was full.
func (t *Table) Malformed() uint64 { return t.malformedSeen }

// Contacts returns at most n peer addresses of live members of the node's own
// zone, sorted. Nodes with the same members return the same addresses.
func (t *Table) Contacts(n int) []netip.AddrPort {
	z := t.zones[t.self.Zone]
	ids := z.ids(isLive)
	addresses := make([]netip.AddrPort, 0, n)
	for _, id := range rendezvous.Top("contact/"+z.name, ids, n) {
		addresses = append(addresses, t.records[id].Peer)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// begin advances the table's clock and detects pauses. Each event starts with it.
func (t *Table) begin(now time.Time) {
	if now.Sub(t.now) > PauseLimit {
		t.resume(now.Sub(t.now))
	}
	if now.After(t.now) {
		t.now = now
	}
}

// takeEffects returns the effects of the current event.
func (t *Table) takeEffects() []Effect {
	effects := t.effects
	t.effects = nil
	return effects
}

// resume discards what was pending before a pause and marks the records as stale.
func (t *Table) resume(gap time.Duration) {
	t.now = t.now.Add(gap)
	t.changedf("resumedAfterPause", t.self.Id, "no event for %s; what the node knew is stale", gap)
	t.stale = true
	t.staleSince = t.now
	t.lastAnswerAt = time.Time{}
	clear(t.indirect)
	clear(t.sessions)
	t.syncing = false
	t.joining.busy = false
	t.nextProbe = t.now
	for _, z := range t.zones {
		z.contact = contact{isCutOff: z.contact.isCutOff, cutOffAt: z.contact.cutOffAt}
	}
	for _, r := range t.zones[t.self.Zone].records {
		if r.Health == Suspect {
			r.since = t.now
		}
	}
	t.nextRefresh = t.now
}

// announce stores a new record of the node itself with the next incarnation and
// pushes it.
func (t *Table) announce(m messages.Member) {
	m.Incarnation++
	t.put(m)
	t.disseminate(m.Id, true)
	t.pushOwn()
}

// jitter returns a random duration from 0 to d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(d) + 1))
}

// jitterAround returns a random duration between three and five quarters of d.
func (t *Table) jitterAround(d time.Duration) time.Duration { return d*3/4 + t.jitter(d/2) }

// representatives returns the ids of a zone's representatives. Leaving members and
// suspects are selected only if the zone has no others.
func (t *Table) representatives(z *zone) []string {
	if z.hasCurrentReps {
		return z.reps
	}
	var ids []string
	for _, accept := range []func(*record) bool{isHealthy, isAlive, isLive} {
		if ids = z.ids(accept); len(ids) > 0 {
			break
		}
	}
	z.reps = rendezvous.Top(representativeKey+z.name, ids, Representatives)
	z.hasCurrentReps = true
	return z.reps
}

// randomMember returns a random accepted member of a zone, never the node itself.
func (t *Table) randomMember(zone string, accept func(*record) bool) (*record, bool) {
	z, ok := t.zones[zone]
	if !ok || len(z.records) == 0 {
		return nil, false
	}
	start := t.rng.IntN(len(z.records))
	for i := range z.records {
		r := z.records[(start+i)%len(z.records)]
		if r != t.self && accept(r) {
			return r, true
		}
	}
	return nil, false
}

// ids returns the ids of the accepted members, sorted.
func (z *zone) ids(accept func(*record) bool) []string {
	ids := make([]string, 0, len(z.records))
	for _, r := range z.records {
		if accept(r) {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

func isAlive(r *record) bool { return r.Health == Alive }

// isLive reports whether a member is alive or suspect.
func isLive(r *record) bool { return r.Health != Failed }

// isHealthy reports whether a member is alive and not leaving.
func isHealthy(r *record) bool {
	return r.Health == Alive && r.State != messages.MemberStateLeaving
}

func isFailed(r *record) bool { return r.Health == Failed }

// withDerivedState returns the member with the state that follows from its health.
func withDerivedState(r *record) messages.Member {
	m := r.Member
	switch {
	case m.Health == Failed:
		m.State = messages.MemberStateFailed
	case m.Health == Suspect && m.State == messages.MemberStateReady:
		m.State = messages.MemberStateSuspect
	}
	return m
}

// stateOrder returns the position of an announced state in the life of a process, or 0
// for any other state.
func stateOrder(state messages.MemberState) int {
	switch state {
	case messages.MemberStateStarting:
		return 1
	case messages.MemberStateReady:
		return 2
	case messages.MemberStateLeaving:
		return 3
	}
	return 0
}
