// Package fetchplan decides how a node gets a version of the configuration that another
// node has announced: whom it asks for the changes, and when it reads the store instead.
//
//	p := fetchplan.New()
//	p.Announce(now, 8, "node-1", "node-2")
//	actions, wake := p.Step(now, fetchplan.State{InForce: 7})
//
// # Time
//
// A version must be applied two seconds after the store has acknowledged it. The nodes that
// watch the store need up to WatchBudget to read it and announce it, so Budget is left from
// the announcement on. Nodes are asked in turn, each [HedgeDelay] after the one before it,
// and the first answer counts. The read of the store starts [PeerTime] after the
// announcement at the latest, or at once if all nodes are known to be silent; if the last
// read was a moment ago, it is delayed only as far as the budget allows, and not while
// maxReads slow ones are running. A read that takes S thus ends within
// max(Budget, S + PeerTime, 1.5 S) after the announcement.
//
// A node that has not answered within PeerTime is not asked for [SilenceMemory]. Its answer
// is used if it arrives late.
package fetchplan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WatchBudget is the time in which a node that watches the store has a version.
	WatchBudget = 1200 * time.Millisecond
	// Budget is the time from the announcement of a version until it is applied.
	Budget = 750 * time.Millisecond
	// PeerTime is how long the nodes that are asked have to answer before the store is
	// read.
	PeerTime = 250 * time.Millisecond
	// HedgeDelay is the time after which a second node is asked while the first has not
	// answered. It is longer than a node waits that is fetching the version itself.
	HedgeDelay = 175 * time.Millisecond
	// SilenceMemory is how long a node that did not answer is not asked again.
	SilenceMemory = 2 * time.Second
	// ownWatchTime is the time that the node's own watch of the store has to return an
	// announced version. It is longer than the time for which a watching node batches
	// versions.
	ownWatchTime = 700 * time.Millisecond
	// minReadInterval is the time between two reads of the store that the budget may
	// shorten.
	minReadInterval = 700 * time.Millisecond
	// maxBatchDelay and minBatchDelay bound the pause between two reads of a node that
	// watches while versions follow each other.
	maxBatchDelay = 500 * time.Millisecond
	minBatchDelay = 50 * time.Millisecond
	// maxAsked bounds the nodes that are asked at once, and maxSources those that are
	// remembered for a version.
	maxAsked   = 2
	maxSources = 4
	// maxReads bounds the reads of the store at once.
	maxReads = 2
	// maxFailedReads bounds the reads that are repeated in one round because they failed.
	maxFailedReads = 2
	// maxRounds bounds how often a version is looked for, which may not exist.
	maxRounds = 3
	// maxWaiting bounds the announcements that are remembered.
	maxWaiting = 32
)

// BatchDelay returns how long a node that watches the store waits for further versions
// after a read of the given duration. A version that is written just after a read has
// begun is found by the next one, which ends within WatchBudget if that is possible.
func BatchDelay(read time.Duration) time.Duration {
	return min(max(WatchBudget-2*read, minBatchDelay), maxBatchDelay)
}

// State is the part of the node's state that decisions depend on.
type State struct {
	// InForce is the applied version, or 0 if there is none.
	InForce uint64
	// IsWatching is set if the node watches the store, and IsStoreDown if the store does
	// not answer.
	IsWatching, IsStoreDown bool
	// ReadTime is how long a read of the store is expected to take.
	ReadTime time.Duration
}

// Action is something to do. It is AskChanges, AskDocument or ReadStore.
type Action interface{ implementsAction() }

// AskChanges requests the changes since the applied version from a node. Answered or
// Unanswered is called when the call has ended.
type AskChanges struct {
	Node    string
	Version uint64
}

// AskDocument requests the whole document from a node. DocumentEnded is called afterwards.
type AskDocument struct {
	Node    string
	Version uint64
}

// ReadStore reads the store. ReadEnded is called afterwards.
type ReadStore struct {
	Version uint64
	// SkipCopy is set if there is no time to read a copy first, which may be behind.
	SkipCopy bool
}

// Plan holds the versions that are looked for. It is not safe for concurrent use.
type Plan struct {
	// waiting holds the announcements of versions that are not applied, with rising
	// versions.
	waiting []announcement
	// sources holds the nodes that have announced the last version, and then those that
	// have announced earlier ones. teller is the node that has the last version.
	sources []source
	teller  string
	// silent holds until when nodes are not asked.
	silent map[string]time.Time
	// reads counts the running reads, and lastRead is when the last one began.
	reads    int
	lastRead time.Time
	// failedReads counts the reads that were repeated in this round.
	failedReads int
	// documentAsked is set while a node is asked for its document.
	documentAsked bool
	// round counts how often the last version was looked for in vain.
	round int
}

type announcement struct {
	version uint64
	at      time.Time
}

// source is a node that may have a version.
type source struct {
	node string
	// askedFor is the version for which it was asked last in this round, at askedAt, and
	// pending is set until its answer.
	askedFor uint64
	askedAt  time.Time
	pending  bool
}

// New returns a plan that looks for nothing.
func New() *Plan { return &Plan{silent: make(map[string]time.Time)} }

// Wanted returns the highest version that is looked for, or 0.
func (p *Plan) Wanted() uint64 {
	if len(p.waiting) == 0 {
		return 0
	}
	return p.waiting[len(p.waiting)-1].version
}

// Announce records that nodes have announced a version. The last of them has it; those
// before it are closer and may have it soon.
func (p *Plan) Announce(now time.Time, version uint64, from ...string) {
	if len(from) == 0 {
		return
	}
	wanted := p.Wanted()
	if i, isKnown := slices.BinarySearchFunc(p.waiting, version, func(a announcement, v uint64) int { return cmp.Compare(a.version, v) }); !isKnown {
		p.waiting = slices.Insert(p.waiting, i, announcement{version: version, at: now})
		if len(p.waiting) > maxWaiting {
			// The first has been waited for the longest, and the last is the newest.
			p.waiting = slices.Delete(p.waiting, maxWaiting-1, maxWaiting)
		}
	}
	if version > wanted {
		p.round, p.failedReads, p.teller = 0, 0, from[len(from)-1]
	}
	var next []source
	add := func(s source) {
		if !slices.ContainsFunc(next, func(o source) bool { return o.node == s.node }) {
			next = append(next, s)
		}
	}
	known := p.sources
	if version <= wanted {
		for _, s := range known {
			add(s)
		}
	}
	for _, node := range from {
		s := source{node: node}
		if i := slices.IndexFunc(known, func(o source) bool { return o.node == node }); i >= 0 {
			s = known[i]
		}
		add(s)
	}
	for _, s := range known {
		add(s)
	}
	p.sources = next[:min(len(next), maxSources)]
}

// Answered records that a node has answered a request for changes, whether or not it had
// any.
func (p *Plan) Answered(node string) {
	delete(p.silent, node)
	if s := p.source(node); s != nil {
		s.pending = false
	}
}

// Unanswered records that a request for changes has failed.
func (p *Plan) Unanswered(now time.Time, node string) {
	p.silent[node] = now.Add(SilenceMemory)
	if s := p.source(node); s != nil {
		s.pending = false
	}
}

// ReadEnded records the end of a read of the store. After one that has failed, the store is
// read again.
func (p *Plan) ReadEnded(now time.Time, failed bool) {
	p.reads--
	if !failed || p.failedReads >= maxFailedReads {
		return
	}
	p.failedReads++
	for i := range p.waiting {
		p.waiting[i].at = now
	}
}

// DocumentEnded records that the request for a document has ended. All that could be tried
// was tried in vain if the version is still missing then.
func (p *Plan) DocumentEnded(now time.Time) {
	p.documentAsked = false
	if len(p.waiting) == 0 {
		return
	}
	p.round++
	p.failedReads = 0
	if p.round >= maxRounds {
		// The version may not exist.
		p.waiting = nil
		return
	}
	for i := range p.waiting {
		p.waiting[i].at = now
	}
	for i := range p.sources {
		p.sources[i].askedFor = 0
	}
}

// Step returns what to do now, and when to call Step again at the latest unless one of the
// other methods is called before. The time is zero if there is nothing to wait for but
// those.
func (p *Plan) Step(now time.Time, s State) (actions []Action, wake time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(a announcement) bool { return a.version <= s.InForce })
	if p.IsDone() {
		p.sources = nil
		return nil, time.Time{}
	}
	p.forgetSilence(now)
	if s.InForce == 0 {
		// There is nothing that changes could apply to.
		return p.askDocument(nil), time.Time{}
	}
	ask, isAsking, wake := p.askChanges(now)
	actions = append(actions, ask...)
	if s.IsStoreDown {
		if !isAsking {
			actions = p.askDocument(actions)
		}
		return actions, wake
	}
	due, isUncovered := p.readDue(s, isAsking)
	switch {
	case isUncovered && p.reads >= maxReads:
	case isUncovered && !now.Before(due):
		p.lastRead = now
		p.reads++
		actions = append(actions, ReadStore{Version: p.Wanted(), SkipCopy: PeerTime+2*s.ReadTime > Budget})
	case isUncovered:
		wake = earlier(wake, due)
	case p.reads == 0 && !isAsking:
		actions = p.askDocument(actions)
	}
	return actions, wake
}

// IsDone reports whether no version is looked for.
func (p *Plan) IsDone() bool { return len(p.waiting) == 0 }

// readDue returns when the store must be read. It returns false if a read has begun since
// the last announcement.
func (p *Plan) readDue(s State, isAsking bool) (due time.Time, isUncovered bool) {
	var at time.Time
	for _, a := range p.waiting {
		if a.at.After(p.lastRead) {
			at = earlier(at, a.at)
		}
	}
	if at.IsZero() {
		return at, false
	}
	due = at
	if isAsking {
		due = at.Add(PeerTime)
	}
	if s.IsWatching {
		due = later(due, at.Add(ownWatchTime))
	}
	inBudget := later(at.Add(Budget-s.ReadTime), p.lastRead.Add(s.ReadTime/maxReads))
	if p.reads > 0 {
		// The running read may take longer than expected: at least as long as until now.
		inBudget = earlier(inBudget, p.lastRead.Add(at.Add(Budget).Sub(p.lastRead)/2))
	}
	return later(due, earlier(p.lastRead.Add(minReadInterval), inBudget)), true
}

// askChanges asks the next node if the one before it has not answered for a while. It
// reports whether an answer may still arrive in time, and when to look again.
func (p *Plan) askChanges(now time.Time) (actions []Action, isAsking bool, wake time.Time) {
	asked := 0
	var lastAsked time.Time
	for i := range p.sources {
		s := &p.sources[i]
		if !s.pending {
			continue
		}
		if silentAt := s.askedAt.Add(PeerTime); now.Before(silentAt) {
			asked++
			lastAsked = later(lastAsked, s.askedAt)
			wake = earlier(wake, silentAt)
		} else if _, ok := p.silent[s.node]; !ok {
			p.silent[s.node] = now.Add(SilenceMemory)
		}
	}
	next := slices.IndexFunc(p.sources, func(s source) bool {
		_, silent := p.silent[s.node]
		return !silent && !s.pending && s.askedFor < p.Wanted()
	})
	switch {
	case next < 0 || asked >= maxAsked:
	case asked > 0 && now.Before(lastAsked.Add(HedgeDelay)):
		wake = earlier(wake, lastAsked.Add(HedgeDelay))
	default:
		s := &p.sources[next]
		s.askedFor, s.askedAt, s.pending = p.Wanted(), now, true
		actions = append(actions, AskChanges{Node: s.node, Version: p.Wanted()})
		asked++
		wake = earlier(wake, now.Add(HedgeDelay))
	}
	return actions, asked > 0, wake
}

// askDocument asks for a document, unless a node is asked already. It prefers the node that
// has announced the last version.
func (p *Plan) askDocument(actions []Action) []Action {
	if p.documentAsked {
		return actions
	}
	p.documentAsked = true
	node := p.teller
	if _, silent := p.silent[node]; silent {
		for _, s := range p.sources {
			if _, silent := p.silent[s.node]; !silent {
				node = s.node
				break
			}
		}
	}
	return append(actions, AskDocument{Node: node, Version: p.Wanted()})
}

func (p *Plan) forgetSilence(now time.Time) {
	for node, until := range p.silent {
		if !now.Before(until) {
			delete(p.silent, node)
		}
	}
}

func (p *Plan) source(node string) *source {
	i := slices.IndexFunc(p.sources, func(s source) bool { return s.node == node })
	if i < 0 {
		return nil
	}
	return &p.sources[i]
}

// earlier returns the earlier of two times. Zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (AskChanges) implementsAction()  {}
func (AskDocument) implementsAction() {}
func (ReadStore) implementsAction()   {}
