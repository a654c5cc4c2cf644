package zonestatus

import (
	"reflect"
	"time"

	"lavenderdeal/schema/objects"
)

const (
	// MinWriteInterval is the minimum time between two writes of one status.
	MinWriteInterval = 1 * time.Second
	// coalesceDelay is how long a write is delayed after a change, to include
	// further reports.
	coalesceDelay = 300 * time.Millisecond
	// recheckInterval is how often the object is read even without a change, to
	// detect that another writer or a restore replaced it.
	recheckInterval = 60 * time.Second
)

// Writer schedules the writes of a status: only on a change, coalesced, and at most
// one per MinWriteInterval. The zero value first reads the object. It is not safe
// for concurrent use.
type Writer struct {
	// written is the status that the object is known to have, if isRead is set.
	written   objects.ZoneStatus
	isRead    bool
	lastWrite time.Time
	// lastCheck is the time of the last read.
	lastCheck time.Time
	// changedAt is the time of the first change since the last write, or zero.
	changedAt time.Time
}

// Action is the next operation on the status object.
type Action uint8

// Actions of a Writer.
const (
	// Nothing means that no operation is due.
	Nothing Action = iota
	// Read means to read the object and then call Writer.ReadSucceeded.
	Read
	// Write means to write the status and then call Writer.WriteSucceeded or
	// Writer.WriteFailed.
	Write
)

// Next returns the action that is due for the current status.
func (w *Writer) Next(now time.Time, status objects.ZoneStatus) Action {
	status = withoutWriter(status)
	if w.isRead && now.Sub(w.lastCheck) >= recheckInterval {
		return Read
	}
	if !w.isRead {
		if now.Sub(w.lastWrite) < MinWriteInterval {
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
	if now.Sub(w.changedAt) < coalesceDelay || now.Sub(w.lastWrite) < MinWriteInterval {
		return Nothing
	}
	return Write
}

// ReadSucceeded records the status that the platform has, or the zero value if it
// has none.
func (w *Writer) ReadSucceeded(now time.Time, status objects.ZoneStatus) {
	w.written, w.isRead, w.lastCheck = withoutWriter(status), true, now
}

// WriteSucceeded records that the status was written.
func (w *Writer) WriteSucceeded(now time.Time, status objects.ZoneStatus) {
	w.written, w.lastWrite, w.changedAt = withoutWriter(status), now, time.Time{}
}

// WriteFailed records that a write failed or conflicted. The object is read before
// the next write.
func (w *Writer) WriteFailed(now time.Time) {
	w.isRead, w.lastWrite = false, now
}

// Reset discards the known state of the object, for example when this node becomes
// the writer.
func (w *Writer) Reset() { w.isRead = false }

// withoutWriter returns the status without the fields that differ between two
// writers with the same reports. It makes an empty Missing comparable to a nil one.
func withoutWriter(s objects.ZoneStatus) objects.ZoneStatus {
	s.Writer, s.WrittenAt = "", time.Time{}
	if len(s.Missing) == 0 {
		s.Missing = nil
	}
	return s
}
