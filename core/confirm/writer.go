package confirm

import (
	"reflect"
	"time"

	"lavenderdeal/schema/objects"
)

const (
	// WritePause is the shortest time between two writes of one status.
	WritePause = 1 * time.Second
	// settlePause is how long the first write of a change waits for more
	// reports.
	settlePause = 300 * time.Millisecond
	// checkPeriod is how often the object is read again although nothing
	// changed, in case that another writer or a restore replaced it.
	checkPeriod = 60 * time.Second
)

// Writer decides when a status is written: only on a change, coalesced, and at
// most once a second. The zero value has written nothing. It is not safe for
// use by several goroutines at once.
type Writer struct {
	written   objects.ZoneStatus
	has       bool
	lastWrite time.Time
	lastCheck time.Time
	changedAt time.Time
}

// Action is what is due.
type Action uint8

// Actions.
const (
	// Nothing is due.
	Nothing Action = iota
	// Read the object, then call Writer.Found.
	Read
	// Write the status, then call Writer.Wrote or Writer.Lost.
	Write
)

// Next returns what is due for the status that holds now.
func (w *Writer) Next(now time.Time, status objects.ZoneStatus) Action {
	status = withoutWriter(status)
	if w.has && now.Sub(w.lastCheck) >= checkPeriod {
		return Read
	}
	if !w.has {
		if now.Sub(w.lastWrite) < WritePause {
			return Nothing
		}
		return Read
	}
	if reflect.DeepEqual(status, w.written) {
		w.changedAt = time.Time{}
		return Nothing
	}
	if w.changedAt.IsZero() {
		w.changedAt = now
	}
	if now.Sub(w.changedAt) < settlePause || now.Sub(w.lastWrite) < WritePause {
		return Nothing
	}
	return Write
}

// Found notes the status that the platform has; the zero value when it has none.
func (w *Writer) Found(now time.Time, status objects.ZoneStatus) {
	w.written, w.has, w.lastCheck = withoutWriter(status), true, now
}

// Wrote notes that the status was written.
func (w *Writer) Wrote(now time.Time, status objects.ZoneStatus) {
	w.written, w.lastWrite, w.changedAt = withoutWriter(status), now, time.Time{}
}

// Lost notes that a write failed or lost a race. The object is read before the
// next write.
func (w *Writer) Lost(now time.Time) {
	w.has, w.lastWrite = false, now
}

// Reset forgets what was written, as when this node becomes the writer.
func (w *Writer) Reset() { w.has = false }

// withoutWriter returns the status without what differs between two writers with
// the same knowledge.
func withoutWriter(s objects.ZoneStatus) objects.ZoneStatus {
	s.Writer, s.WrittenAt = "", time.Time{}
	if len(s.Missing) == 0 {
		s.Missing = nil
	}
	return s
}
