// Package collect decides which chunks and copies of heads can be removed from
// the platform, while others write.
//
// # Safety
//
// A [Machine] lists the chunks, reads the head, lists and reads the copies that
// are kept, and only then rewrites the head with the same content. That raises
// the head's revision. A publisher that read the head before can no longer
// replace it and starts anew; one that reads it later writes each chunk that it
// needs, so that the chunk's revision differs from the one listed. Each removal
// names the listed revision. Hence no chunk that a present or later head names
// is removed, however long any process was paused. The minimum age is not
// needed for this; it spares readers that still fetch an old version.
//
// # Use
//
//	m := collect.New(collect.WithMinAge(time.Hour))
//	action := m.Start()
//	for !m.Finished() {
//		action = m.Step(do(action))
//	}
//	fmt.Println(m.Report().Chunks, "chunks removed")
package collect

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
	// DefaultKeep is how many copies of heads are kept.
	DefaultKeep = 200
	// DefaultMinAge is the age from which a chunk may be removed.
	DefaultMinAge = time.Hour
	maxAttempts   = 3
)

// Report says what was removed.
type Report struct {
	Chunks, Copies int
	// Kept is the number of chunks that stay.
	Kept int
	// Err says why the collection ended early; nil when it did not.
	Err error
}

// Machine makes one collection. It is used by one goroutine at a time.
type Machine struct {
	keep     int
	minAge   time.Duration
	phase    phase
	attempts int

	chunks  []objectop.Entry
	copies  []objectop.Entry
	read    int
	head    objectop.Found
	named   map[string]bool
	garbage []objectop.Entry
	report  Report
}

// Option changes a machine while it is built.
type Option func(*Machine)

type phase int

const (
	listChunks phase = iota
	readHead
	listCopies
	readCopy
	fence
	readFence
	remove
	finished
)

// WithKeep sets how many copies of heads are kept.
func WithKeep(n int) Option { return func(m *Machine) { m.keep = n } }

// WithMinAge sets the age from which a chunk or a copy may be removed.
func WithMinAge(d time.Duration) Option { return func(m *Machine) { m.minAge = d } }

// New returns a machine.
func New(opts ...Option) *Machine {
	m := &Machine{keep: DefaultKeep, minAge: DefaultMinAge, named: make(map[string]bool)}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Finished says whether the machine is done.
func (m *Machine) Finished() bool { return m.phase == finished }

// Attempt returns how often the next action has failed before, for a pause.
func (m *Machine) Attempt() int { return m.attempts }

// Report returns what was removed so far.
func (m *Machine) Report() Report { return m.report }

// Start returns the first action.
func (m *Machine) Start() objectop.Action { return m.action() }

// Step takes the outcome of the last action and returns the next one.
func (m *Machine) Step(event objectop.Event) objectop.Action {
	if failed, ok := event.(objectop.Failed); ok {
		m.failed(failed)
		return m.action()
	}
	if m.phase != fence && m.phase != readFence {
		m.attempts = 0
	}
	switch m.phase {
	case listChunks:
		m.chunks = event.(objectop.Listed).Entries
		m.phase = readHead
	case readHead:
		m.stepHead(event)
	case listCopies:
		m.splitCopies(event.(objectop.Listed).Entries)
		m.phase = readCopy
	case readCopy:
		m.stepCopy(event)
	case fence:
		m.stepFence(event)
	case readFence:
		m.stepReadFence(event)
	case remove:
		m.stepRemove(event)
	}
	return m.action()
}

func (m *Machine) action() objectop.Action {
	if m.phase == readCopy && m.read == len(m.copies) {
		m.choose()
	}
	if m.phase == remove && len(m.garbage) == 0 {
		m.phase = finished
	}
	switch m.phase {
	case listChunks:
		return objectop.List{Prefix: objectop.ChunkPrefix}
	case readHead, readFence:
		return objectop.Read{Key: objectop.HeadKey}
	case listCopies:
		return objectop.List{Prefix: objectop.CopyPrefix}
	case readCopy:
		return objectop.Read{Key: m.copies[m.read].Key}
	case fence:
		return objectop.Write{Key: objectop.HeadKey, Value: m.head.Value, After: m.head.Revision}
	case remove:
		return objectop.Delete{Key: m.garbage[0].Key, After: m.garbage[0].Revision}
	}
	return objectop.Done{}
}

func (m *Machine) stepHead(event objectop.Event) {
	found, ok := event.(objectop.Found)
	if !ok {
		m.end(errors.New("there is no head"))
		return
	}
	m.head = found
	m.phase = listCopies
	m.name(found.Value)
}

// splitCopies keeps the newest copies; the older ones are garbage. The keys are
// in order of versions.
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

func (m *Machine) stepCopy(event objectop.Event) {
	// A copy that is missing was removed by another collection.
	if found, ok := event.(objectop.Found); ok {
		m.name(found.Value)
	}
	m.read++
}

// name adds the chunks of a head to those that stay. A head that cannot be read
// ends the collection, since its chunks are not known. The same holds for a head
// with fields of a newer release, which may name chunks too.
func (m *Machine) name(value []byte) {
	var head objects.Head
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&head); err != nil {
		m.end(errors.Wrap(err, "a head in the platform cannot be read"))
		return
	}
	for _, hash := range head.CustomerChunks {
		m.named[objectop.ChunkPrefix+hash] = true
	}
	for _, hash := range head.PlanChunks {
		m.named[objectop.ChunkPrefix+hash] = true
	}
}

func (m *Machine) choose() {
	for _, entry := range m.chunks {
		if m.named[entry.Key] || entry.Age < m.minAge {
			m.report.Kept++
			continue
		}
		m.garbage = append(m.garbage, entry)
	}
	m.phase = fence
	if len(m.garbage) == 0 {
		m.phase = finished
	}
}

func (m *Machine) stepFence(event objectop.Event) {
	if _, ok := event.(objectop.Written); ok {
		m.phase = remove
		return
	}
	m.failed(objectop.Failed{Err: errors.New("the head changed during the collection; nothing was removed")})
}

// stepReadFence looks whether the revision has moved on while the content
// stayed. Then it does not matter who moved it.
func (m *Machine) stepReadFence(event objectop.Event) {
	found, ok := event.(objectop.Found)
	switch {
	case !ok || !bytes.Equal(found.Value, m.head.Value):
		m.end(errors.New("the head changed during the collection; nothing was removed"))
	case found.Revision == m.head.Revision:
		m.phase = fence
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

func (m *Machine) count(entry objectop.Entry) {
	if strings.HasPrefix(entry.Key, objectop.CopyPrefix) {
		m.report.Copies++
		return
	}
	m.report.Chunks++
}

func (m *Machine) failed(event objectop.Failed) {
	m.attempts++
	switch {
	case m.attempts > maxAttempts:
		m.end(event.Err)
	case m.phase == fence && !event.NotRun:
		m.phase = readFence
	}
}

func (m *Machine) end(err error) {
	m.report.Err = err
	m.phase = finished
}
