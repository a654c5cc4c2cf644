// Package commit publishes a new version of the lists of customers and of plans to the
// platform's object store. The commit is atomic and never overwrites a concurrent
// change. The head is the object that lists the chunks of the newest version.
//
// # Write order
//
// A [Machine] first writes the chunks that the previous version does not have,
// then a permanent copy of the head that it replaces, and finally the head, on
// the condition that its revision is unchanged. Because the copy is written first,
// the number and operation of every version that was ever the newest stay on
// record. If the response to the write of the head is lost, reading the head shows
// the outcome:
//
//   - The head has the operation of this change: the write took effect.
//   - The head is unchanged: the same conditional write is sent again. At most
//     one of the two takes effect.
//   - The head is another one: the write took effect if and only if a copy with
//     the operation exists.
//
// # Use
//
//	m, err := commit.New(base, change)
//	action := m.Start()
//	for !m.Finished() {
//		action = m.Step(do(action))
//	}
//	switch r := m.Result().(type) {
//	case commit.Succeeded:
//	case commit.Conflicted:
//		fmt.Println("won by", r.Winner.Author)
//	}
//
// # Garbage collection
//
// lavenderdeal/core/gc removes chunks that no version references. A chunk
// that already exists is therefore rewritten, so that its revision changes and an
// earlier decision to remove it fails. A collection rewrites the head, which ends
// concurrent machines with [RevisionChanged]. See that package for the whole
// argument.
package commit

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/objectop"
	"lavenderdeal/schema/objects"
)

const (
	// maxAttempts is the number of retries after which the machine gives up. It is
	// counted from the last chunk written.
	maxAttempts = 8
	// maxVersionGap is the largest distance to the newest version at which a
	// missing copy still proves that a write of the head had no effect. It is
	// less than the number of copies that the garbage collection keeps.
	maxVersionGap = 100
	// MaxVersion is the highest version number: the largest integer that every
	// JSON decoder represents exactly.
	MaxVersion = 1<<53 - 1
	// MaxHeadBytes is the maximum size of an encoded head. It fits the maximum number
	// of chunks of both lists and is below the platform's limit for a value.
	MaxHeadBytes = 768 << 10
)

// ErrVersionsExhausted is returned if the highest version number is in use.
var ErrVersionsExhausted = errors.New("the highest version number is in use")

// ErrHeadTooLarge is returned if the encoded head would exceed MaxHeadBytes.
var ErrHeadTooLarge = errors.New("the head of the version is too large")

// Base is the state of the platform that the change is based on. The zero value is
// an empty platform.
type Base struct {
	Head objects.Head
	// Value is the encoded head as the platform stores it.
	Value []byte
	// Revision is the revision of the head, or 0 if there is none.
	Revision uint64
	// HighestVersion is the highest version number seen in a head, a copy or a
	// zone's status. The new version is higher.
	HighestVersion uint64
}

// Change is the content and the metadata of the new version.
type Change struct {
	// Operation is a random id that is unique to the change.
	Operation      string
	Author, Reason string
	// At is the time of the change by the author's clock.
	At        time.Time
	Customers []chunk.Chunk
	Plans     []chunk.Chunk
}

// Result is Succeeded, Superseded, Conflicted, RevisionChanged, Abandoned or
// Unknown.
type Result interface {
	implementsResult()
}

// Succeeded means that the version was written and is the newest.
type Succeeded struct {
	Head objects.Head
}

// Superseded means that the version was written and has been replaced since. Winner is
// the head that was found afterwards.
type Superseded struct {
	Head, Winner objects.Head
}

// Conflicted means that another change was written first and that this one had no
// effect and never will. Winner is nil if the head was removed.
type Conflicted struct {
	Winner *objects.Head
}

// RevisionChanged means that the head has the same content at another revision,
// and that this change had no effect and never will. A collection rewrote the head
// or the platform was restored from a backup. The change can be retried after
// reading the base again, which shows the version numbers confirmed since.
type RevisionChanged struct{}

// Abandoned means that the version was not written and never will be.
type Abandoned struct {
	Err error
}

// Unknown means that the version may have been written, or may still be. If it
// takes effect, a later read of the head shows the operation.
type Unknown struct {
	Operation string
	Err       error
}

// Machine commits one change. It is not safe for concurrent use.
type Machine struct {
	base  Base
	head  objects.Head
	value []byte
	// missing holds the chunks to write. The next one is at position.
	missing  []chunk.Chunk
	phase    phase
	position int
	attempts int
	// uncertain is set if a write of the head was sent and its outcome is unknown.
	uncertain    bool
	uncertainErr error
	// chunkRevision is the revision at which the current chunk was found to exist, or 0.
	chunkRevision uint64
	// winner is the newer head found after an uncertain write.
	winner *objects.Head
	result Result
}

type phase int

const (
	createChunk phase = iota
	readChunk
	rewriteChunk
	createCopy
	writeHead
	readHead
	readOwnCopy
	finished
)

// New returns a machine that commits the change on top of the base. It fails with
// ErrVersionsExhausted or ErrHeadTooLarge if the new head would exceed a limit.
func New(base Base, change Change) (*Machine, error) {
	number := max(base.HighestVersion, base.Head.Version) + 1
	if number > MaxVersion {
		return nil, ErrVersionsExhausted
	}
	m := &Machine{base: base}
	m.head = objects.Head{
		Version:        number,
		Operation:      change.Operation,
		CustomerChunks: chunk.Hashes(change.Customers),
		PlanChunks:     chunk.Hashes(change.Plans),
		Author:         change.Author,
		Reason:         change.Reason,
		ChangedAt:      change.At,
	}
	value, err := json.Marshal(m.head)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	if len(value) > MaxHeadBytes {
		return nil, errors.Wrapf(ErrHeadTooLarge, "%d bytes, at most %d", len(value), MaxHeadBytes)
	}
	m.value = value
	m.missing = missingChunks(base.Head, change)
	return m, nil
}

// CopyKey returns the key of the permanent copy of a head.
func CopyKey(head objects.Head) string {
	return fmt.Sprintf("%s%016d-%s", objectop.CopyPrefix, head.Version, head.Operation)
}

// CopyVersion returns the version number in the key of a copy, or false if key is
// not the key of a copy.
func CopyVersion(key string) (uint64, bool) {
	name, ok := strings.CutPrefix(key, objectop.CopyPrefix)
	if !ok {
		return 0, false
	}
	number, _, ok := strings.Cut(name, "-")
	if !ok {
		return 0, false
	}
	version, err := strconv.ParseUint(number, 10, 64)
	return version, err == nil && version <= MaxVersion
}

// Head returns the head that the machine writes.
func (m *Machine) Head() objects.Head { return m.head }

// Finished reports whether the machine has a result.
func (m *Machine) Finished() bool { return m.phase == finished }

// Attempt returns the number of retries since the last chunk was written, from which the
// caller computes the backoff before the next action.
func (m *Machine) Attempt() int { return m.attempts }

// Result returns the result. Before the machine has finished, it returns Abandoned,
// or Unknown if the outcome of a write of the head is unknown.
func (m *Machine) Result() Result {
	if m.result != nil {
		return m.result
	}
	return m.failureResult(errors.New("the change was not finished"))
}

// Start returns the first action.
func (m *Machine) Start() objectop.Action { return m.action() }

// Step processes the outcome of the last action and returns the next action.
func (m *Machine) Step(event objectop.Event) objectop.Action {
	if failed, ok := event.(objectop.Failed); ok {
		m.handleFailure(failed)
		return m.action()
	}
	switch m.phase {
	case createChunk, readChunk, rewriteChunk:
		m.stepChunk(event)
	case createCopy:
		// A conflict means that the copy exists.
		m.setPhase(writeHead)
	case writeHead:
		m.stepWriteHead(event)
	case readHead:
		m.stepReadHead(event)
	case readOwnCopy:
		m.stepReadOwnCopy(event)
	}
	return m.action()
}

// action returns the action of the current phase. It skips a phase in which nothing is
// left to do.
func (m *Machine) action() objectop.Action {
	if m.phase <= rewriteChunk && m.position >= len(m.missing) {
		m.setPhase(createCopy)
	}
	if m.phase == createCopy && m.base.Revision == 0 {
		m.setPhase(writeHead)
	}
	switch m.phase {
	case createChunk:
		return objectop.Write{Key: m.chunkKey(), Value: m.missing[m.position].Data}
	case readChunk:
		return objectop.Read{Key: m.chunkKey()}
	case rewriteChunk:
		return objectop.Write{Key: m.chunkKey(), Value: m.missing[m.position].Data, IfRevision: m.chunkRevision}
	case createCopy:
		return objectop.Write{Key: CopyKey(m.base.Head), Value: m.base.Value}
	case writeHead:
		return objectop.Write{Key: objectop.HeadKey, Value: m.value, IfRevision: m.base.Revision}
	case readHead:
		return objectop.Read{Key: objectop.HeadKey}
	case readOwnCopy:
		return objectop.Read{Key: CopyKey(m.head)}
	}
	return objectop.Done{}
}

func (m *Machine) stepChunk(event objectop.Event) {
	switch event := event.(type) {
	case objectop.Written:
		m.nextChunk()
	case objectop.Conflicted:
		// The chunk already exists or was changed concurrently.
		m.retry(readChunk, errors.Newf("chunk %s keeps changing", m.chunkKey()))
	case objectop.Found:
		m.stepChunkFound(event)
	case objectop.Missing:
		m.setPhase(createChunk)
	}
}

func (m *Machine) stepChunkFound(found objectop.Found) {
	if m.chunkRevision != 0 && found.Revision != m.chunkRevision {
		// The chunk was rewritten since this machine first read it: by a write of
		// this machine whose response was lost, or by another publisher.
		m.nextChunk()
		return
	}
	m.chunkRevision = found.Revision
	m.setPhase(rewriteChunk)
}

func (m *Machine) nextChunk() {
	m.position++
	m.attempts = 0
	m.chunkRevision = 0
	m.setPhase(createChunk)
}

func (m *Machine) stepWriteHead(event objectop.Event) {
	switch event.(type) {
	case objectop.Written:
		m.finish(Succeeded{Head: m.head})
	case objectop.Conflicted:
		m.setPhase(readHead)
	}
}

func (m *Machine) stepReadHead(event objectop.Event) {
	switch event := event.(type) {
	case objectop.Missing:
		m.headMissing()
	case objectop.Found:
		var head objects.Head
		if err := json.Unmarshal(event.Value, &head); err != nil {
			m.finish(m.failureResult(errors.Wrap(err, "decode the head in the platform")))
			return
		}
		m.headFound(head, event)
	}
}

// headMissing is like headFound for a platform without a head.
func (m *Machine) headMissing() {
	switch {
	case m.base.Revision == 0:
		m.retry(writeHead, errors.New("the head was not written"))
	case m.uncertain:
		m.finish(m.failureResult(errors.New("the head was removed")))
	default:
		m.finish(Conflicted{})
	}
}

// headFound determines the result from the head that is in the platform after a failed or
// conflicting write, or the next phase if that head does not show it.
func (m *Machine) headFound(head objects.Head, found objectop.Found) {
	switch {
	case head.Operation == m.head.Operation:
		m.finish(Succeeded{Head: m.head})
	case found.Revision == m.base.Revision:
		// An earlier write may still be in flight. It has the same condition on
		// the revision, so only one of the two takes effect.
		m.retry(writeHead, errors.New("the head was not written"))
	case m.base.Revision != 0 && head.Operation == m.base.Head.Operation:
		m.finish(RevisionChanged{})
	case !m.uncertain:
		m.finish(Conflicted{Winner: &head})
	case head.Version <= m.base.Head.Version || head.Version > m.head.Version+maxVersionGap:
		m.finish(m.failureResult(errors.Newf("the platform now has version %d", head.Version)))
	default:
		m.winner = &head
		m.setPhase(readOwnCopy)
	}
}

func (m *Machine) stepReadOwnCopy(event objectop.Event) {
	switch event.(type) {
	case objectop.Found:
		m.finish(Superseded{Head: m.head, Winner: *m.winner})
	case objectop.Missing:
		m.finish(Conflicted{Winner: m.winner})
	}
}

// handleFailure repeats the failed action. After a write of the head that may have taken
// effect it reads the head instead.
func (m *Machine) handleFailure(event objectop.Failed) {
	next := m.phase
	if m.phase == writeHead && !event.NotRun {
		m.uncertain = true
		m.uncertainErr = event.Err
		next = readHead
	}
	m.retry(next, event.Err)
}

// retry enters a phase after a failure, or finishes the machine after maxAttempts
// failures.
func (m *Machine) retry(next phase, err error) {
	m.attempts++
	if m.attempts > maxAttempts {
		m.finish(m.failureResult(err))
		return
	}
	m.setPhase(next)
}

// failureResult returns the result of a machine that ends before the outcome is
// determined: Unknown after an uncertain write of the head, otherwise Abandoned.
func (m *Machine) failureResult(err error) Result {
	if m.uncertain {
		return Unknown{Operation: m.head.Operation, Err: errors.CombineErrors(m.uncertainErr, err)}
	}
	return Abandoned{Err: err}
}

func (m *Machine) finish(result Result) {
	m.result = result
	m.setPhase(finished)
}

func (m *Machine) setPhase(next phase) { m.phase = next }

func (m *Machine) chunkKey() string { return objectop.ChunkPrefix + m.missing[m.position].Hash }

// missingChunks returns the chunks that the head does not reference, without
// duplicates.
func missingChunks(head objects.Head, change Change) []chunk.Chunk {
	seen := make(map[string]bool, len(head.CustomerChunks)+len(head.PlanChunks))
	for _, hash := range head.CustomerChunks {
		seen[hash] = true
	}
	for _, hash := range head.PlanChunks {
		seen[hash] = true
	}
	var chunks []chunk.Chunk
	for _, list := range [][]chunk.Chunk{change.Customers, change.Plans} {
		for _, c := range list {
			if !seen[c.Hash] {
				seen[c.Hash] = true
				chunks = append(chunks, c)
			}
		}
	}
	return chunks
}

func (Succeeded) implementsResult()       {}
func (Superseded) implementsResult()      {}
func (Conflicted) implementsResult()      {}
func (RevisionChanged) implementsResult() {}
func (Abandoned) implementsResult()       {}
func (Unknown) implementsResult()         {}
