// Package follow replicates the published versions of the plans to a node. It
// decides which version the node applies and from which source it fetches missing
// chunks. A head lists the chunks of one version. A few nodes of each availability zone
// are readers, which fetch from the platform; the others fetch from peers first.
//
// # Guarantees
//
// A [Machine] holds at most one version. It replaces that version only if the new
// number is higher, every chunk is present and matches its hash, and both lists
// are valid as a whole. All data from peers and the platform is validated. A
// rejected version is recorded with its reasons and is not fetched again. It never
// blocks another version.
//
// # Use
//
// The machine is a state machine without goroutines, clock or connections of its
// own. The caller passes each [Event] with the current time and executes the
// returned effects:
//
//	var m follow.Machine
//	for _, effect := range m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: value}) {
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

// Platform is the source for the platform's object store, where versions are
// published.
const Platform Source = "platform"

// Event is an input to the machine.
type Event interface {
	implementsEvent()
}

// Effect is an action that the caller executes.
type Effect interface {
	implementsEffect()
}

// HeadReceived carries the head of a source.
type HeadReceived struct {
	From Source
	// Raw is the head, byte for byte as the source returned it.
	Raw []byte
}

// HeadFailed reports that a request for a head failed, or that the source has none newer
// than the held one.
type HeadFailed struct {
	From Source
}

// VersionReported reports that a version with this number exists.
type VersionReported struct {
	// From is the peer that has it, or empty if unknown.
	From   Source
	Number uint64
}

// ChunksReceived carries the chunks that a source returned. They may be fewer than
// requested, or none.
type ChunksReceived struct {
	From   Source
	Chunks [][]byte
}

// FetchFailed reports that a request for chunks failed.
type FetchFailed struct {
	From Source
	// RetryAfter is the minimum delay that the source requested, or 0.
	RetryAfter time.Duration
}

// PlatformEmpty reports that the platform responded and has no head.
type PlatformEmpty struct{}

// PeersChanged replaces the peers to fetch from, in order of preference.
type PeersChanged struct {
	Peers []Source
	// IsReader is set if this node is a reader, which may fetch from the platform
	// at any time.
	IsReader bool
}

// Tick lets the machine check its timeouts. It is due at least every 100 ms while
// [Machine.Busy].
type Tick struct{}

// FetchHead requests the head of a source. The result is HeadReceived or
// HeadFailed.
type FetchHead struct {
	From Source
}

// FetchChunks requests chunks from a source. The result is ChunksReceived or
// FetchFailed.
type FetchChunks struct {
	From Source
	// Hashes are the SHA-256 of the chunks in lower-case hex.
	Hashes []string
}

// Announce reports that all chunks of a head are present, so that peers may fetch
// them. It is emitted before the version is validated as a whole.
type Announce struct {
	Head Head
	// Base is the held head, or the zero value if there is none.
	Base Head
}

// Apply replaces the held version by a complete and valid one.
type Apply struct {
	Head    Head
	Version *plans.Version
}

// Reject reports that a version is invalid, and why.
type Reject struct {
	Number  uint64
	Hash    string
	Reasons []string
}

// Conflict reports two heads with the same version number and different content.
// The node keeps the one that it has.
type Conflict struct {
	From   Source
	Number uint64
	// Held and Other are the hashes of the two heads.
	Held, Other string
}

// PlatformBehind reports that the platform has an older head than this node, or none, as
// after a restore from a backup. The node keeps its version.
type PlatformBehind struct {
	// Held and Platform are the version numbers. Platform is 0 if it has no head.
	Held, Platform uint64
}

// PlatformCaughtUp reports that the platform is no longer behind.
type PlatformCaughtUp struct {
	// Platform is the version number of its head.
	Platform uint64
}

// InvalidData reports that data from a source failed validation.
type InvalidData struct {
	From Source
	// Detail is a human-readable description of the fault.
	Detail string
}

// Head is a decoded head with its encoded form.
type Head struct {
	objects.Head
	// Raw is the head as the platform stores it. It must not be modified.
	Raw []byte
	// Hash is the SHA-256 of Raw in lower-case hex.
	Hash string
}

// Rejection is a version that failed validation, with the reasons.
type Rejection struct {
	Number  uint64
	Hash    string
	Reasons []string

	// heldByPeer is set if a peer holds the same version.
	heldByPeer bool
}

const (
	// maxCandidates bounds the heads whose chunks are fetched at once.
	maxCandidates = 4
	// maxBatch bounds the chunks in one request.
	maxBatch = 32
	// maxHalvings bounds how often failures halve a batch.
	maxHalvings = 6
	// platformBatch replaces maxBatch for requests to the platform while more
	// than bulkThreshold chunks are missing.
	platformBatch = 8
	// bulkThreshold is the number of missing chunks above which peers are
	// preferred to the platform even if the platform offered the head.
	bulkThreshold = 16
	// platformFallbackRounds is the number of rounds through all peers after which a
	// node that is not a reader fetches chunks from the platform.
	platformFallbackRounds = 8
	// maxRemembered bounds the recorded rejections and the recorded conflicts.
	maxRemembered = 64
	// maxReasons bounds the reasons recorded for a rejection.
	maxReasons = 8
	// maxHeadSources bounds the sources that are queried for a head at once.
	maxHeadSources = 3
	// maxHeadRounds is the number of times that up to maxHeadSources sources are
	// queried before a search for a head ends.
	maxHeadRounds = 6
	// headTimeout and chunkTimeout are how long to wait for an answer before the next
	// source is queried.
	headTimeout  = 600 * time.Millisecond
	chunkTimeout = 3 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Machine is the replication state of one node. The zero value has no version and
// no peers. It is not safe for concurrent use.
type Machine struct {
	// Rand adds jitter to retries. If it is nil, there is none.
	Rand *rand.Rand

	held       Head
	version    *plans.Version
	candidates []*candidate
	store      store
	rejections []Rejection
	// reportedConflicts holds the hashes of the conflicting heads that were reported.
	reportedConflicts []string
	// reportedBehind is the hash of the platform's older head that was reported, "empty"
	// if the platform has no head, or "" if it is not behind.
	reportedBehind string

	peers    []Source
	isReader bool
	search   search
	effects  []Effect
}

// candidate is a head that may replace the held one.
type candidate struct {
	Head
	// offeredBy holds the sources that returned the head.
	offeredBy []Source
	// missing holds the hashes of the chunks to fetch.
	missing []string
	// attempts counts the changes to another source, and selects the source.
	attempts int
	// failures counts requests that returned no missing chunk, less the later
	// ones that did.
	failures int
	// pendingSource is the source of the pending request, or empty if there is none.
	pendingSource Source
	deadline      time.Time
	nextAttempt   time.Time
}

// search is the search for a head of which only the version number is known.
type search struct {
	// number is the version number, or 0 if there is no search.
	number uint64
	// from is the peer that reported the version, or empty if unknown.
	from        Source
	rounds      int
	nextSource  int
	pending     map[Source]bool
	deadline    time.Time
	nextAttempt time.Time
}

// Step processes one event and returns the effects to execute, in order. The slice
// is valid until the next call.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case HeadReceived:
		m.headReceived(now, e)
	case HeadFailed:
		m.headFailed(now, e.From)
	case VersionReported:
		m.versionReported(now, e)
	case ChunksReceived:
		m.chunksReceived(now, e)
	case FetchFailed:
		m.fetchFailed(now, e.From, e.RetryAfter)
	case PlatformEmpty:
		m.checkPlatformHead(Head{})
	case PeersChanged:
		m.peers, m.isReader = e.Peers, e.IsReader
	case Tick:
		m.tick(now)
	}
	return m.effects
}

// Held returns the head of the held version. Its Version is 0 if there is none.
func (m *Machine) Held() Head { return m.held }

// Version returns the held version, or nil if there is none.
func (m *Machine) Version() *plans.Version { return m.version }

// Rejected returns the newest rejected version that is newer than the held one, or
// false if there is none.
func (m *Machine) Rejected() (Rejection, bool) {
	var newest Rejection
	for _, r := range m.rejections {
		if r.Number > max(newest.Number, m.held.Version) {
			newest = r
		}
	}
	return newest, newest.Number > 0
}

// IsRejected reports whether a version with this number was rejected.
func (m *Machine) IsRejected(number uint64) bool {
	return slices.ContainsFunc(m.rejections, func(r Rejection) bool { return r.Number == number })
}

// Newest returns the highest version number among the held, pending and rejected
// heads.
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

// Chunks returns the stored chunks by hash. The map is not modified afterwards, and
// the caller must not modify it.
func (m *Machine) Chunks() map[string][]byte { return m.store.snapshot() }

// Busy reports whether the machine is fetching chunks or searching for a head, so that
// Tick events are due.
func (m *Machine) Busy() bool { return len(m.candidates) > 0 || m.search.number > 0 }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// backoff returns the delay before another round. It doubles with each round up to
// maxBackoff; with Rand it is drawn uniformly from half of that up to one and a half
// times that.
func (m *Machine) backoff(round int) time.Duration {
	d := min(minBackoff<<min(round, 10), maxBackoff)
	if m.Rand == nil {
		return d
	}
	return d/2 + time.Duration(m.Rand.Int64N(int64(d)))
}

func (HeadReceived) implementsEvent()    {}
func (HeadFailed) implementsEvent()      {}
func (VersionReported) implementsEvent() {}
func (ChunksReceived) implementsEvent()  {}
func (FetchFailed) implementsEvent()     {}
func (PlatformEmpty) implementsEvent()   {}
func (PeersChanged) implementsEvent()    {}
func (Tick) implementsEvent()            {}

func (FetchHead) implementsEffect()        {}
func (FetchChunks) implementsEffect()      {}
func (Announce) implementsEffect()         {}
func (Apply) implementsEffect()            {}
func (Reject) implementsEffect()           {}
func (Conflict) implementsEffect()         {}
func (PlatformBehind) implementsEffect()   {}
func (PlatformCaughtUp) implementsEffect() {}
func (InvalidData) implementsEffect()      {}
