// Package member decides who belongs to the fleet.
//
// A [Table] is the membership of one node: a state machine in the manner of
// SWIM. It has no clock, socket or random source of its own. The caller passes
// events in and carries out the effects that come back:
//
//	table := member.New(now, self, rng)
//	effects := table.Tick(now)                       // about ten times a second
//	answer, effects := table.Serve(now, request)     // a peer asked
//	effects = table.Answered(now, send, answer)      // a peer answered a Send
//	effects = table.Lost(now, send)                  // no answer came
//
// # What a record says
//
// A record is totally ordered by (incarnation, health). Only the node itself
// raises its incarnation; anyone may raise the health from alive to suspect to
// failed. So the order in which records arrive does not matter, and a node that
// is falsely suspected refutes it by a higher incarnation.
//
// An id belongs to one process and is never used again. Of two ids at one peer
// address the one with the higher (epoch, id) is alive and the other has failed.
// A node that is still starting and finds a higher epoch at its own address
// raises its own above it, once: its clock is behind that of its predecessor.
// After that it yields and takes no more part.
//
// # How changes travel
//
// Inside an availability zone each node probes one member a second, asks three
// others to probe a member that does not answer, and suspects it when they do
// not reach it either. A new record is pushed at once to a few random members of
// the zone, each of which pushes it once more, and rides on probes and acks for
// a while. Two representatives a zone, chosen by rendezvous hashing, push the
// changes of their zone to every other zone. Every probe and ack carries a hash
// of all records; when two nodes differ they compare by zone, then by bucket,
// and only what differs moves.
package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/schema/messages"
)

// Health of a member, as others found it.
const (
	Alive uint8 = iota
	Suspect
	Failed
)

const (
	// ProbePeriod is the time between two probes of a node.
	ProbePeriod = 1 * time.Second
	// ProbeTimeout is the time a direct probe waits for its ack.
	ProbeTimeout = 500 * time.Millisecond
	// RelayTimeout is the time an indirect probe waits for its answer.
	RelayTimeout = 2 * ProbeTimeout
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout = 4 * time.Second
	// TombstoneLife is the time for which a failed member is kept.
	TombstoneLife = 1 * time.Hour
	// PauseLimit is the gap between two events after which a node takes its
	// knowledge for stale.
	PauseLimit = 3 * time.Second
	// PushPeriod is the shortest time between two pushes of new records.
	PushPeriod = 50 * time.Millisecond
	// ZonePeriod is the time between two contacts of a representative with
	// another zone.
	ZonePeriod = 4 * time.Second
	// ZoneRetry is the time between two tries to reach a zone that does not
	// answer.
	ZoneRetry = 1 * time.Second
	// TransferTimeout is the time that a page of a join or a step of a
	// comparison may take.
	TransferTimeout = 3 * time.Second
	// Representatives is how many nodes speak for a zone.
	Representatives = 2

	zoneLife       = 24 * time.Hour
	leavingLife    = 10 * time.Minute
	cutOffAfter    = 4
	isolatedFactor = 4
	// staleLimit is the time after which a node that was paused concludes again
	// from what it sees, when it finds nobody to compare with.
	staleLimit = isolatedFactor * SuspicionTimeout

	indirectProbes   = 3
	pushFanout       = 4
	updatesInMessage = 12
	maxEager         = 2 * updatesInMessage
	maxNews          = 64
	maxRecords       = 20000
	maxName          = 64
	// maxCounter bounds incarnations and epochs, so that raising one never wraps.
	maxCounter = 1 << 62

	maxCutOff        = 256
	retryFailedAfter = 5 * time.Second
	seedPeriod       = 10 * time.Second
	housekeeping     = 10 * time.Second
	representative   = "representative/"
)

// Table is the membership as one node knows it. It is not safe for use by
// several goroutines at once.
type Table struct {
	// Version is the version of the plans in force, sent with each message. The
	// caller keeps it current.
	Version uint64

	rng  *rand.Rand
	now  time.Time
	self *record

	records   map[string]*record
	zones     map[string]*zone
	zoneNames []string
	addresses map[netip.AddrPort]string
	digest    uint64
	revision  uint64
	changedAt time.Time
	effects   []Effect

	news       []newsItem
	eager      []string
	nextPush   time.Time
	order      []string
	nextProbe  time.Time
	indirect   map[string]int
	contactAt  time.Time
	nextRetry  time.Time
	nextSeed   time.Time
	nextExpiry time.Time

	joining       joining
	sessions      map[string]time.Time
	syncing       bool
	syncedAt      time.Time
	nextSync      time.Time
	nextRefresh   time.Time
	stale         bool
	staleSince    time.Time
	wasRep        bool
	raisedEpoch   bool
	hasSuccessor  bool
	malformedSeen uint64
}

// record is what the table knows of one member.
type record struct {
	messages.Member
	// since is when the health became what it is.
	since time.Time
	hash  uint64
}

// zone holds the records of one availability zone in order of their ids.
type zone struct {
	name    string
	records []*record
	buckets [bucketCount]uint64
	digest  uint64
	reps    []string
	current bool
	contact contact
}

// New returns the table of a node that knows only itself.
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
	t.nextRetry = now.Add(t.jitter(retryFailedAfter))
	t.nextSeed = now.Add(t.jitter(seedPeriod))
	return t
}

// Tick lets time pass.
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
	return t.take()
}

// SetState announces another state of the node itself. States only go forward:
// starting, ready, leaving. Anything else is ignored.
func (t *Table) SetState(now time.Time, state messages.MemberState) []Effect {
	t.begin(now)
	if rank(state) > rank(t.self.State) && !t.hasSuccessor {
		m := t.self.Member
		m.State = state
		t.announce(m)
	}
	return t.take()
}

// Serve answers a peer's request. The answer is nil when the request has no
// answer by the table itself; see [Table.Relay].
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
	return answer, t.take()
}

// Relay returns the probe that a peer asked for. The peer is told whether the
// ack came from the target.
func (t *Table) Relay(now time.Time, q ProbeFor) Send {
	t.begin(now)
	return t.probeOf(q.Target, q.Address, purposeRelay)
}

// Answered takes in the answer to a Send.
func (t *Table) Answered(now time.Time, send Send, answer Answer) []Effect {
	t.begin(now)
	t.contactAt = now
	switch a := answer.(type) {
	case Ack:
		t.acknowledged(send, a)
	case Reached:
		t.relayed(send, a.Reached)
	case SyncAnswer:
		t.syncAnswered(send, a)
	case JoinAnswer:
		t.joinAnswered(send, a)
	}
	return t.take()
}

// Lost says that a Send got no answer. Whether it arrived is not known.
func (t *Table) Lost(now time.Time, send Send) []Effect {
	t.begin(now)
	switch send.purpose {
	case purposeProbe:
		t.probeIndirectly(send)
	case purposeIndirect:
		t.relayed(send, false)
	case purposeZone:
		t.zoneLost(send.zone)
	case purposeSync:
		t.syncing = false
	case purposeJoin:
		t.joinLost()
	case purposePush, purposeRelay, purposeRetry:
	}
	return t.take()
}

// Self returns the node's own record.
func (t *Table) Self() messages.Member { return shown(t.self) }

// Members returns all members in order of zone and id, failed ones included.
func (t *Table) Members() []messages.Member {
	members := make([]messages.Member, 0, len(t.records))
	for _, name := range t.zoneNames {
		for _, r := range t.zones[name].records {
			members = append(members, shown(r))
		}
	}
	return members
}

// Revision rises with each change of the members.
func (t *Table) Revision() uint64 { return t.revision }

// Digest returns the hash of all members that have not failed. Tables with the
// same members have the same digest.
func (t *Table) Digest() uint64 { return t.digest }

// HasJoined says whether the node has the members from another one.
func (t *Table) HasJoined() bool { return t.joining.done }

// IsStale says whether the node has not compared its members with anyone since
// it was paused.
func (t *Table) IsStale() bool { return t.stale }

// IsSuperseded says whether a newer process has the node's address.
func (t *Table) IsSuperseded() bool { return t.hasSuccessor }

// IsRepresentative says whether the node speaks for its zone.
func (t *Table) IsRepresentative() bool {
	return slices.Contains(t.representatives(t.zones[t.self.Zone]), t.self.Id)
}

// Malformed returns how many records were refused since the start.
func (t *Table) Malformed() uint64 { return t.malformedSeen }

// Contacts returns at most n peer addresses of live members of the node's own
// zone, the same on every node that knows the same members.
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

func (t *Table) begin(now time.Time) {
	if now.Sub(t.now) > PauseLimit {
		t.wake(now.Sub(t.now))
	}
	if now.After(t.now) {
		t.now = now
	}
}

func (t *Table) take() []Effect {
	effects := t.effects
	t.effects = nil
	return effects
}

// wake forgets what the node was about to conclude when it was paused.
func (t *Table) wake(gap time.Duration) {
	t.now = t.now.Add(gap)
	t.changedf("resumedAfterPause", t.self.Id, "no event for %s; what the node knew is stale", gap)
	t.stale = true
	t.staleSince = t.now
	t.contactAt = time.Time{}
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

// announce makes a new record of the node itself known.
func (t *Table) announce(m messages.Member) {
	m.Incarnation++
	t.put(m)
	t.spread(m.Id, true)
	t.pushOwn()
}

func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(d) + 1))
}

// around returns a duration between three and five quarters of d.
func (t *Table) around(d time.Duration) time.Duration { return d*3/4 + t.jitter(d/2) }

func (t *Table) representatives(z *zone) []string {
	if z.current {
		return z.reps
	}
	var ids []string
	for _, accept := range []func(*record) bool{isHealthy, isAlive, isLive} {
		if ids = z.ids(accept); len(ids) > 0 {
			break
		}
	}
	z.reps = rendezvous.Top(representative+z.name, ids, Representatives)
	z.current = true
	return z.reps
}

// randomMember returns a member of a zone other than the node itself.
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

func isLive(r *record) bool { return r.Health != Failed }

func isHealthy(r *record) bool {
	return r.Health == Alive && r.State != messages.MemberStateLeaving
}

func isFailed(r *record) bool { return r.Health == Failed }

// shown returns the record with the state that a view shows.
func shown(r *record) messages.Member {
	m := r.Member
	switch {
	case m.Health == Failed:
		m.State = messages.MemberStateFailed
	case m.Health == Suspect && m.State == messages.MemberStateReady:
		m.State = messages.MemberStateSuspect
	}
	return m
}

// rank returns the place of an announced state, or 0 for any other.
func rank(state messages.MemberState) int {
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
