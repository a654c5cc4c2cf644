// Package follow decides which version of the plans a node takes, and where it
// gets the parts that it lacks.
//
// # Promises
//
// A [Machine] holds at most one version. It takes another one only when the
// number is higher, every chunk is present and matches its hash, and the two
// lists are valid as a whole. What a peer or the platform sends is checked and
// never trusted. A version that was rejected is remembered with its reasons and
// not fetched again; it never stands in the way of another version.
//
// # Use
//
// The owner passes each [Event] with the time and does what the effects say.
// The machine has no goroutine, clock or connection of its own:
//
//	var m follow.Machine
//	for _, effect := range m.Step(now, follow.HeadSeen{From: follow.Platform, Raw: value}) {
//		switch effect := effect.(type) {
//		case follow.FetchChunks:
//			fetch(effect.From, effect.Hashes)
//		case follow.Apply:
//			held.Set(effect.Version)
//		}
//	}
package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"lavenderdeal/core/plans"
	"lavenderdeal/schema/objects"
)

// Source is where heads and chunks come from: [Platform] or the id of a peer.
type Source string

// Platform is the source that keeps the versions.
const Platform Source = "platform"

// Event is something that the machine learns.
type Event interface {
	implementsEvent()
}

// Effect is something that the owner does.
type Effect interface {
	implementsEffect()
}

// HeadSeen says that a source has this head, byte for byte.
type HeadSeen struct {
	From Source
	Raw  []byte
}

// HeadFailed says that a source gave no head that is newer than the one held.
type HeadFailed struct {
	From Source
}

// VersionHeard says that somebody has a version with this number. From may be
// empty.
type VersionHeard struct {
	From   Source
	Number uint64
}

// ChunksReceived brings chunks that were asked of a source. There may be fewer
// than asked, and none.
type ChunksReceived struct {
	From   Source
	Chunks [][]byte
}

// FetchFailed says that a source gave no chunks.
type FetchFailed struct {
	From Source
	// RetryAfter is how long the source asked to be left alone.
	RetryAfter time.Duration
}

// PlatformEmpty says that the platform answered and has no head.
type PlatformEmpty struct{}

// ViewChanged names the peers that may be asked, the best first.
type ViewChanged struct {
	Peers []Source
	// AskPlatform says whether this node is a reader, which may ask the platform.
	AskPlatform bool
}

// Tick passes the time. It is due at least every 100 ms while [Machine.Busy].
type Tick struct{}

// FetchHead asks a source for its head. The answer is HeadSeen or HeadFailed.
type FetchHead struct {
	From Source
}

// FetchChunks asks a source for chunks. The answer is ChunksReceived or
// FetchFailed.
type FetchChunks struct {
	From   Source
	Hashes []string
}

// Announce says that every chunk of a head is here, so that others may pull
// them. It comes before the version is checked as a whole.
type Announce struct {
	Head Head
	// Base is the head that was held until now, or the zero value.
	Base Head
}

// Apply says that a whole, valid version follows the one held until now.
type Apply struct {
	Head    Head
	Version *plans.Version
}

// Reject says that a version is not taken, and why.
type Reject struct {
	Number  uint64
	Hash    string
	Reasons []string
}

// Conflict says that there is other content under a number already taken. The
// node keeps what it has.
type Conflict struct {
	From   Source
	Number uint64
	// Held and Other are the hashes of the two heads.
	Held, Other string
}

// StoreBehind says that the platform has an older head than this node, as after
// a restore from a backup. The node keeps what it has.
type StoreBehind struct {
	Held, Platform uint64
}

// StoreCaughtUp says that the platform is no longer behind.
type StoreCaughtUp struct {
	Platform uint64
}

// Untrusted says that a source sent something that failed its check.
type Untrusted struct {
	From   Source
	Detail string
}

// Head is a head with the bytes that it came as.
type Head struct {
	objects.Head
	// Raw is the head as the platform keeps it. It is not changed.
	Raw []byte
	// Hash is the SHA-256 of Raw in lower-case hex.
	Hash string
}

// Rejection is a version that was not taken, and why.
type Rejection struct {
	Number  uint64
	Hash    string
	Reasons []string

	// held says that a peer holds the same version.
	held bool
}

const (
	// maxCandidates bounds the heads that are fetched at once.
	maxCandidates = 4
	// maxBatch bounds the chunks asked of one source at once.
	maxBatch = 32
	// maxHalvings bounds how often failures halve a batch.
	maxHalvings = 6
	// platformBatch is maxBatch for the platform while many chunks are missing.
	platformBatch = 8
	// bulk is the number of missing chunks above which peers are asked before
	// the platform, whatever the platform announced.
	bulk = 16
	// patience is the number of rounds after which a node that is no reader asks
	// the platform for chunks.
	patience = 8
	// maxRemembered bounds the rejections and conflicts that are remembered.
	maxRemembered = 64
	maxReasons    = 8
	headSources   = 3
	headRounds    = 6
	headTimeout   = 600 * time.Millisecond
	chunkTimeout  = 3 * time.Second
	shortestPause = 50 * time.Millisecond
	longestPause  = 2 * time.Second
)

// Machine is the state of one node. The zero value holds nothing and knows
// nobody. It is not safe for use by several goroutines at once.
type Machine struct {
	// Rand spreads retries. Nil takes no jitter.
	Rand *rand.Rand

	held       Head
	version    *plans.Version
	candidates []*candidate
	store      store
	rejections []Rejection
	conflicts  []string
	behind     string

	peers       []Source
	askPlatform bool
	search      search
	effects     []Effect
}

// candidate is a head that may follow the one held.
type candidate struct {
	Head
	offers  []Source
	missing []string
	tries   int
	// failures counts fetches that gave nothing, less those that gave something
	// since.
	failures int
	asked    Source
	deadline time.Time
	nextTry  time.Time
}

// search looks for a head of which only the number is known.
type search struct {
	number   uint64
	from     Source
	rounds   int
	next     int
	open     map[Source]bool
	deadline time.Time
	nextTry  time.Time
}

// Step takes one event and returns what to do, in order. The slice is valid
// until the next call.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case HeadSeen:
		m.headSeen(now, e)
	case HeadFailed:
		m.headFailed(now, e.From)
	case VersionHeard:
		m.versionHeard(now, e)
	case ChunksReceived:
		m.chunksReceived(now, e)
	case FetchFailed:
		m.fetchFailed(now, e.From, e.RetryAfter)
	case PlatformEmpty:
		m.platformSays(Head{})
	case ViewChanged:
		m.peers, m.askPlatform = e.Peers, e.AskPlatform
	case Tick:
		m.tick(now)
	}
	return m.effects
}

// Held returns the head of the version held; its Version is 0 when there is none.
func (m *Machine) Held() Head { return m.held }

// Version returns the version held, or nil when there is none.
func (m *Machine) Version() *plans.Version { return m.version }

// Rejected returns the newest version that was rejected and is newer than the
// one held.
func (m *Machine) Rejected() (Rejection, bool) {
	var newest Rejection
	for _, r := range m.rejections {
		if r.Number > max(newest.Number, m.held.Version) {
			newest = r
		}
	}
	return newest, newest.Number > 0
}

// IsRejected says whether a version with this number was rejected.
func (m *Machine) IsRejected(number uint64) bool {
	return slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Number == number })
}

// Newest returns the highest number of a head that was seen.
func (m *Machine) Newest() uint64 {
	newest := m.held.Version
	for _, c := range m.candidates {
		newest = max(newest, c.Version)
	}
	for _, r := range m.rejections {
		newest = max(newest, r.Number)
	}
	return newest
}

// Chunks returns the chunks that are here, by hash. The map is not changed
// afterwards and the caller does not change it either.
func (m *Machine) Chunks() map[string][]byte { return m.store.snapshot() }

// Busy says whether the machine waits for something and wants a Tick soon.
func (m *Machine) Busy() bool { return len(m.candidates) > 0 || m.search.number > 0 }

func (m *Machine) do(e Effect) { m.effects = append(m.effects, e) }

// pause returns how long to wait before another round, with full jitter above
// half of it.
func (m *Machine) pause(round int) time.Duration {
	d := min(shortestPause<<min(round, 10), longestPause)
	if m.Rand == nil {
		return d
	}
	return d/2 + time.Duration(m.Rand.Int64N(int64(d)))
}

func (HeadSeen) implementsEvent()       {}
func (HeadFailed) implementsEvent()     {}
func (VersionHeard) implementsEvent()   {}
func (ChunksReceived) implementsEvent() {}
func (FetchFailed) implementsEvent()    {}
func (PlatformEmpty) implementsEvent()  {}
func (ViewChanged) implementsEvent()    {}
func (Tick) implementsEvent()           {}

func (FetchHead) implementsEffect()     {}
func (FetchChunks) implementsEffect()   {}
func (Announce) implementsEffect()      {}
func (Apply) implementsEffect()         {}
func (Reject) implementsEffect()        {}
func (Conflict) implementsEffect()      {}
func (StoreBehind) implementsEffect()   {}
func (StoreCaughtUp) implementsEffect() {}
func (Untrusted) implementsEffect()     {}
