// Package gc implements the garbage collection of chunks and copies of heads in the
// platform's object store, concurrently with publishers.
//
// The head is the object that lists the chunks of the newest version. Each head that was
// replaced is kept as a copy (see lavenderdeal/core/commit).
//
// # Safety
//
// A [Machine] lists the chunks, reads the head, lists the copies, reads those that
// are kept, and only then rewrites the head with the same content. This increases
// the head's revision. A publisher that read the head before can no longer replace
// it and starts over. A publisher that reads the head later writes each chunk that
// it needs, so that the chunk's revision differs from the one listed. Each removal
// is conditional on the listed revision. So no chunk that the current or a later
// head references is removed, regardless of how long any process was paused. The
// minimum age is not needed for this. It is for readers that are still fetching an
// old version.
//
// # Use
//
//	m := gc.New(gc.WithMinAge(time.Hour))
//	action := m.Start()
//	for !m.Finished() {
//		action = m.Step(do(action))
//	}
//	fmt.Println(m.Report().Chunks, "chunks removed")
package gc

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/objectop"
	"lavenderdeal/schema/objects"
)

const (
	// DefaultKeep is the default number of copies of heads that are kept.
	DefaultKeep = 200
	// DefaultMinAge is the default minimum age of a chunk or a copy to be removed.
	DefaultMinAge = time.Hour
	// maxAttempts is the number of retries in a row after which the collection ends.
	maxAttempts = 3
)

// Report is the result of a collection.
type Report struct {
	// Chunks and Copies are the numbers of objects removed.
	Chunks, Copies int
	// Kept is the number of chunks that are referenced or below the minimum age.
	Kept int
	// Err is the reason why the collection ended early, or nil.
	Err error
}

// Machine is the state machine of one collection. It is not safe for concurrent
// use.
type Machine struct {
	keep     int
	minAge   time.Duration
	phase    phase
	attempts int

	chunks     []objectop.Entry
	copies     []objectop.Entry
	copiesRead int
	head       objectop.Found
	referenced map[string]bool
	garbage    []objectop.Entry
	report     Report
}

// Option configures a Machine.
type Option func(*Machine)

type phase int

const (
	listChunks phase = iota
	readHead
	listCopies
	readCopy
	rewriteHead
	verifyHead
	remove
	finished
)

// WithKeep sets the number of copies of heads that are kept.
func WithKeep(n int) Option { return func(m *Machine) { m.keep = n } }

// WithMinAge sets the minimum age of a chunk or a copy to be removed.
func WithMinAge(d time.Duration) Option { return func(m *Machine) { m.minAge = d } }

// New returns a Machine for one collection, with the default limits unless opts change
// them.
func New(opts ...Option) *Machine {
	m := &Machine{keep: DefaultKeep, minAge: DefaultMinAge, referenced: make(map[string]bool)}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Finished reports whether the collection has ended.
func (m *Machine) Finished() bool { return m.phase == finished }

// Attempt returns the number of failed attempts in a row, from which the caller
// derives its backoff.
func (m *Machine) Attempt() int { return m.attempts }

// Report returns the result so far.
func (m *Machine) Report() Report { return m.report }

// Start returns the first action.
func (m *Machine) Start() objectop.Action { return m.action() }

// Step takes the outcome of the last action and returns the next one.
func (m *Machine) Step(event objectop.Event) objectop.Action {
	if failed, ok := event.(objectop.Failed); ok {
		m.handleFailure(failed)
		return m.action()
	}
	if m.phase != rewriteHead && m.phase != verifyHead {
		m.attempts = 0
	}
	switch m.phase {
	case listChunks:
		m.chunks = event.(objectop.Listed).Entries
		m.phase = readHead
	case readHead:
		m.stepReadHead(event)
	case listCopies:
		m.splitCopies(event.(objectop.Listed).Entries)
		m.phase = readCopy
	case readCopy:
		m.stepReadCopy(event)
	case rewriteHead:
		m.stepRewriteHead(event)
	case verifyHead:
		m.stepVerifyHead(event)
	case remove:
		m.stepRemove(event)
	}
	return m.action()
}

// action returns the action of the current phase. It skips a phase in which nothing is
// left to do.
func (m *Machine) action() objectop.Action {
	if m.phase == readCopy && m.copiesRead == len(m.copies) {
		m.selectGarbage()
	}
	if m.phase == remove && len(m.garbage) == 0 {
		m.phase = finished
	}
	switch m.phase {
	case listChunks:
		return objectop.List{Prefix: objectop.ChunkPrefix}
	case readHead, verifyHead:
		return objectop.Read{Key: objectop.HeadKey}
	case listCopies:
		return objectop.List{Prefix: objectop.CopyPrefix}
	case readCopy:
		return objectop.Read{Key: m.copies[m.copiesRead].Key}
	case rewriteHead:
		return objectop.Write{Key: objectop.HeadKey, Value: m.head.Value, IfRevision: m.head.Revision}
	case remove:
		return objectop.Delete{Key: m.garbage[0].Key, IfRevision: m.garbage[0].Revision}
	}
	return objectop.Done{}
}

func (m *Machine) stepReadHead(event objectop.Event) {
	found, ok := event.(objectop.Found)
	if !ok {
		m.abort(errors.New("the platform has no head"))
		return
	}
	m.head = found
	m.phase = listCopies
	m.markReferenced(found.Value)
}

// splitCopies selects the newest copies to be kept. Older ones are garbage unless
// they are below the minimum age. The entries are in order of versions.
func (m *Machine) splitCopies(entries []objectop.Entry) {
	old := max(0, len(entries)-m.keep)
	for i, entry := range entries {
		if i < old && entry.Age >= m.minAge {
			m.garbage = append(m.garbage, entry)
			continue
		}
		m.copies = append(m.copies, entry)
	}
}

func (m *Machine) stepReadCopy(event objectop.Event) {
	// A missing copy was removed by another collection.
	if found, ok := event.(objectop.Found); ok {
		m.markReferenced(found.Value)
	}
	m.copiesRead++
}

// markReferenced marks the chunks of a head as referenced. A head that cannot be
// decoded ends the collection, since its chunks are unknown. This includes heads
// with fields of a newer release, which may reference chunks too.
func (m *Machine) markReferenced(value []byte) {
	var head objects.Head
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&head); err != nil {
		m.abort(errors.Wrap(err, "a head in the platform cannot be read"))
		return
	}
	for _, hash := range head.CustomerChunks {
		m.referenced[objectop.ChunkPrefix+hash] = true
	}
	for _, hash := range head.PlanChunks {
		m.referenced[objectop.ChunkPrefix+hash] = true
	}
}

// selectGarbage adds the unreferenced chunks to the garbage. Without garbage the
// collection ends.
func (m *Machine) selectGarbage() {
	for _, entry := range m.chunks {
		if m.referenced[entry.Key] || entry.Age < m.minAge {
			m.report.Kept++
			continue
		}
		m.garbage = append(m.garbage, entry)
	}
	m.phase = rewriteHead
	if len(m.garbage) == 0 {
		m.phase = finished
	}
}

func (m *Machine) stepRewriteHead(event objectop.Event) {
	if _, ok := event.(objectop.Written); ok {
		m.phase = remove
		return
	}
	m.handleFailure(objectop.Failed{Err: errors.New("the head changed during the collection; nothing was removed")})
}

// stepVerifyHead checks whether the head was rewritten with the same content after a
// write without an answer. It does not matter which process rewrote it.
func (m *Machine) stepVerifyHead(event objectop.Event) {
	found, ok := event.(objectop.Found)
	switch {
	case !ok || !bytes.Equal(found.Value, m.head.Value):
		m.abort(errors.New("the head changed during the collection; nothing was removed"))
	case found.Revision == m.head.Revision:
		m.phase = rewriteHead
	default:
		m.phase = remove
	}
}

func (m *Machine) stepRemove(event objectop.Event) {
	if _, ok := event.(objectop.Written); ok {
		m.count(m.garbage[0])
	}
	m.garbage = m.garbage[1:]
}

// count adds a removed object to the report.
func (m *Machine) count(entry objectop.Entry) {
	if strings.HasPrefix(entry.Key, objectop.CopyPrefix) {
		m.report.Copies++
		return
	}
	m.report.Chunks++
}

// handleFailure repeats the failed action, or ends the collection after too many
// failures. After a write of the head that may have taken effect it checks the head.
func (m *Machine) handleFailure(event objectop.Failed) {
	m.attempts++
	switch {
	case m.attempts > maxAttempts:
		m.abort(event.Err)
	case m.phase == rewriteHead && !event.NotRun:
		m.phase = verifyHead
	}
}

func (m *Machine) abort(err error) {
	m.report.Err = err
	m.phase = finished
}
