// Package commit decides how one new version of the plans gets into the
// platform: whole or not at all, and never over somebody else's.
//
// # Order
//
// A [Machine] first writes the chunks that the version before lacks, then a
// lasting copy of the head that it replaces, and last the head, on the condition
// that it is still the one that the change was made on. Because the copy comes
// first, every version that ever was the newest stays known by its number and
// operation. That settles lost answers:
//
//   - The head carries the operation: the write took effect.
//   - The head is unchanged: the same conditional write is sent again. At most
//     one of the two takes effect.
//   - The head is another: the write took effect if and only if a copy with the
//     operation exists.
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
// # Collection
//
// lavenderdeal/core/collect removes chunks that no version names. A chunk that
// is there already is therefore written anew, so that its revision changes and
// an older decision to remove it fails. A collection rewrites the head, which
// ends the machines that run meanwhile with [Moved]. See that package for the
// whole argument.
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
	maxAttempts = 8
	// settleWindow is how many versions later a missing copy still proves that
	// a write of the head had no effect. It is less than what the collection
	// keeps.
	settleWindow = 100
	// MaxVersion is the highest number of a version, the largest that every
	// reader of JSON holds exactly.
	MaxVersion = 1<<53 - 1
	// MaxHead is the largest head in bytes. It has room for the most chunks that
	// both lists can have, and is below what the platform keeps.
	MaxHead = 768 << 10
)

// ErrNumbersUsedUp says that there is no higher number for a version.
var ErrNumbersUsedUp = errors.New("the highest version number is in use")

// ErrHeadTooLarge says that the head would be larger than MaxHead.
var ErrHeadTooLarge = errors.New("the head of the version is too large")

// Base is what the platform holds before the change. The zero value stands for
// an empty platform.
type Base struct {
	Head objects.Head
	// Value is the head as the platform keeps it.
	Value []byte
	// Revision is that of the head, or 0 when there is none.
	Revision uint64
	// Highest is the highest number that was ever seen: of a head, a copy or a
	// zone's status. The new version goes above it.
	Highest uint64
}

// Change is the content of the new version and who makes it.
type Change struct {
	// Operation is a random id that no other change has.
	Operation      string
	Author, Reason string
	At             time.Time
	Customers      []chunk.Chunk
	Plans          []chunk.Chunk
}

// Result is Succeeded, Superseded, Conflicted, Moved, Abandoned or Unknown.
type Result interface {
	implementsResult()
}

// Succeeded says that the version is the newest.
type Succeeded struct {
	Head objects.Head
}

// Superseded says that the version was written and has been replaced since.
type Superseded struct {
	Head, Winner objects.Head
}

// Conflicted says that another change came first and that this one changed
// nothing and never will. Winner is nil when the head was removed.
type Conflicted struct {
	Winner *objects.Head
}

// Moved says that the head has the same content at another revision, and that
// this change had no effect and never will. A collection rewrote the head, or the
// platform was restored from a backup. The change can be made again on a base
// that is read anew: only that shows which numbers were confirmed.
type Moved struct{}

// Abandoned says that the version was not written and never will be.
type Abandoned struct {
	Err error
}

// Unknown says that the version may have been written or may be yet. A later
// reading of the head shows the operation if it was.
type Unknown struct {
	Operation string
	Err       error
}

// Machine makes one change. It is used by one goroutine at a time.
type Machine struct {
	base     Base
	head     objects.Head
	value    []byte
	missing  []chunk.Chunk
	phase    phase
	position int
	attempts int
	// uncertain is whether a write of the head was sent whose outcome is open.
	uncertain     bool
	uncertainErr  error
	chunkRevision uint64
	winner        *objects.Head
	result        Result
}

type phase int

const (
	createChunk phase = iota
	readChunk
	renewChunk
	createCopy
	writeHead
	readHead
	readOwnCopy
	finished
)

// New returns a machine that puts the change on top of the base.
func New(base Base, change Change) (*Machine, error) {
	number := max(base.Highest, base.Head.Version) + 1
	if number > MaxVersion {
		return nil, ErrNumbersUsedUp
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
	if len(value) > MaxHead {
		return nil, errors.Wrapf(ErrHeadTooLarge, "%d bytes, at most %d", len(value), MaxHead)
	}
	m.value = value
	m.missing = missing(base.Head, change)
	return m, nil
}

// CopyKey returns the key of the lasting copy of a head.
func CopyKey(head objects.Head) string {
	return fmt.Sprintf("%s%016d-%s", objectop.CopyPrefix, head.Version, head.Operation)
}

// CopyVersion returns the version in the key of a copy, and false for another
// key.
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

// Finished says whether the machine has a result.
func (m *Machine) Finished() bool { return m.phase == finished }

// Attempt returns how often the next action has failed before, for a pause.
func (m *Machine) Attempt() int { return m.attempts }

// Result returns the result, or what is known so far when the machine has not
// finished: Abandoned, or Unknown once the head was sent.
func (m *Machine) Result() Result {
	if m.result != nil {
		return m.result
	}
	return m.givenUp(errors.New("the change was not finished"))
}

// Start returns the first action.
func (m *Machine) Start() objectop.Action { return m.action() }

// Step takes the outcome of the last action and returns the next one.
func (m *Machine) Step(event objectop.Event) objectop.Action {
	if failed, ok := event.(objectop.Failed); ok {
		m.failed(failed)
		return m.action()
	}
	switch m.phase {
	case createChunk, readChunk, renewChunk:
		m.stepChunk(event)
	case createCopy:
		// A conflict means that the copy exists.
		m.enter(writeHead)
	case writeHead:
		m.stepHead(event)
	case readHead:
		m.stepReadHead(event)
	case readOwnCopy:
		m.stepOwnCopy(event)
	}
	return m.action()
}

func (m *Machine) action() objectop.Action {
	if m.phase <= renewChunk && m.position >= len(m.missing) {
		m.enter(createCopy)
	}
	if m.phase == createCopy && m.base.Revision == 0 {
		m.enter(writeHead)
	}
	switch m.phase {
	case createChunk:
		return objectop.Write{Key: m.chunkKey(), Value: m.missing[m.position].Data}
	case readChunk:
		return objectop.Read{Key: m.chunkKey()}
	case renewChunk:
		return objectop.Write{Key: m.chunkKey(), Value: m.missing[m.position].Data, After: m.chunkRevision}
	case createCopy:
		return objectop.Write{Key: CopyKey(m.base.Head), Value: m.base.Value}
	case writeHead:
		return objectop.Write{Key: objectop.HeadKey, Value: m.value, After: m.base.Revision}
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
		// The chunk is there already, or somebody changed it meanwhile.
		m.retry(readChunk, errors.Newf("chunk %s keeps changing", m.chunkKey()))
	case objectop.Found:
		m.stepChunkFound(event)
	case objectop.Missing:
		m.enter(createChunk)
	}
}

func (m *Machine) stepChunkFound(found objectop.Found) {
	if m.chunkRevision != 0 && found.Revision != m.chunkRevision {
		// It was written anew since this machine first saw it: by a write of this
		// machine whose answer was lost, or by another publisher.
		m.nextChunk()
		return
	}
	m.chunkRevision = found.Revision
	m.enter(renewChunk)
}

func (m *Machine) nextChunk() {
	m.position++
	m.attempts = 0
	m.chunkRevision = 0
	m.enter(createChunk)
}

func (m *Machine) stepHead(event objectop.Event) {
	switch event.(type) {
	case objectop.Written:
		m.finish(Succeeded{Head: m.head})
	case objectop.Conflicted:
		m.enter(readHead)
	}
}

func (m *Machine) stepReadHead(event objectop.Event) {
	switch event := event.(type) {
	case objectop.Missing:
		m.headMissing()
	case objectop.Found:
		var head objects.Head
		if err := json.Unmarshal(event.Value, &head); err != nil {
			m.finish(m.givenUp(errors.Wrap(err, "head in the platform")))
			return
		}
		m.headFound(head, event)
	}
}

func (m *Machine) headMissing() {
	switch {
	case m.base.Revision == 0:
		m.retry(writeHead, errors.New("the head was not written"))
	case m.uncertain:
		m.finish(m.givenUp(errors.New("the head was removed")))
	default:
		m.finish(Conflicted{})
	}
}

func (m *Machine) headFound(head objects.Head, found objectop.Found) {
	switch {
	case head.Operation == m.head.Operation:
		m.finish(Succeeded{Head: m.head})
	case found.Revision == m.base.Revision:
		// An earlier write may still be on its way; it names the same revision,
		// so only one of the two takes effect.
		m.retry(writeHead, errors.New("the head was not written"))
	case m.base.Revision != 0 && head.Operation == m.base.Head.Operation:
		m.finish(Moved{})
	case !m.uncertain:
		m.finish(Conflicted{Winner: &head})
	case head.Version <= m.base.Head.Version || head.Version > m.head.Version+settleWindow:
		m.finish(m.givenUp(errors.Newf("the platform now has version %d", head.Version)))
	default:
		m.winner = &head
		m.enter(readOwnCopy)
	}
}

func (m *Machine) stepOwnCopy(event objectop.Event) {
	switch event.(type) {
	case objectop.Found:
		m.finish(Superseded{Head: m.head, Winner: *m.winner})
	case objectop.Missing:
		m.finish(Conflicted{Winner: m.winner})
	}
}

func (m *Machine) failed(event objectop.Failed) {
	next := m.phase
	if m.phase == writeHead && !event.NotRun {
		m.uncertain = true
		m.uncertainErr = event.Err
		next = readHead
	}
	m.retry(next, event.Err)
}

// retry enters a phase after a failure, or ends the machine after too many.
func (m *Machine) retry(next phase, err error) {
	m.attempts++
	if m.attempts > maxAttempts {
		m.finish(m.givenUp(err))
		return
	}
	m.enter(next)
}

func (m *Machine) givenUp(err error) Result {
	if m.uncertain {
		return Unknown{Operation: m.head.Operation, Err: errors.CombineErrors(m.uncertainErr, err)}
	}
	return Abandoned{Err: err}
}

func (m *Machine) finish(result Result) {
	m.result = result
	m.enter(finished)
}

func (m *Machine) enter(next phase) { m.phase = next }

func (m *Machine) chunkKey() string { return objectop.ChunkPrefix + m.missing[m.position].Hash }

// missing returns the chunks that the head does not name, each once.
func missing(head objects.Head, change Change) []chunk.Chunk {
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

func (Succeeded) implementsResult()  {}
func (Superseded) implementsResult() {}
func (Conflicted) implementsResult() {}
func (Moved) implementsResult()      {}
func (Abandoned) implementsResult()  {}
func (Unknown) implementsResult()    {}
