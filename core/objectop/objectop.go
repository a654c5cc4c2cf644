// Package objectop defines the operations on the platform's object store, and their
// results, that state machines exchange with the code that executes them, their driver.
//
// A machine such as those of lavenderdeal/core/commit and
// lavenderdeal/core/gc returns one [Action] at a time. The driver executes
// the action and passes the resulting [Event] to the machine:
//
//	action := machine.Start()
//	for {
//		if _, done := action.(objectop.Done); done {
//			break
//		}
//		action = machine.Step(do(action))
//	}
//
// Revision 0 means that there is no object, as in the platform's API.
package objectop

import "time"

// Keys and key prefixes of the stored objects.
const (
	// HeadKey is the key of the head, which lists the chunks of the newest version.
	HeadKey = "head"
	// ChunkPrefix precedes the hash of a chunk.
	ChunkPrefix = "chunks/"
	// CopyPrefix precedes the version and operation of a head that was replaced.
	CopyPrefix = "heads/"
	// StatusPrefix precedes the name of a zone, for its confirmation status.
	StatusPrefix = "status/"
)

// Action is Read, Write, Delete, List or Done.
type Action interface {
	implementsAction()
}

// Read reads one object. Its events are Found, Missing and Failed.
type Read struct {
	Key string
}

// Write writes an object on the condition that its revision is unchanged. Its
// events are Written, Conflicted and Failed.
type Write struct {
	Key   string
	Value []byte
	// IfRevision is the expected revision of the object; 0 creates the object.
	IfRevision uint64
}

// Delete removes an object on the condition that its revision is unchanged. Its
// events are Written, Conflicted and Failed.
type Delete struct {
	Key string
	// IfRevision is the expected revision of the object.
	IfRevision uint64
}

// List lists the objects whose key has a prefix. Its events are Listed and Failed.
type List struct {
	Prefix string
}

// Done means that the machine has finished and has a result.
type Done struct{}

// Event is Found, Missing, Written, Conflicted, Listed or Failed.
type Event interface {
	implementsEvent()
}

// Found carries the object that was read.
type Found struct {
	Value    []byte
	Revision uint64
}

// Missing means that no object has the key.
type Missing struct{}

// Written means that the write or removal took effect.
type Written struct {
	// Revision is the new revision of a written object.
	Revision uint64
}

// Conflicted means that the object had another revision and that the request had no
// effect.
type Conflicted struct{}

// Listed carries the objects whose key has the prefix.
type Listed struct {
	Entries []Entry
}

// Entry is one object in a listing.
type Entry struct {
	Key      string
	Revision uint64
	// Age is the time since the object was written, by the platform's clock.
	Age time.Duration
}

// Failed means that there was no usable response.
type Failed struct {
	// NotRun is set if the request had no effect and never will have. Otherwise it
	// may have taken effect or may still do so.
	NotRun bool
	Err    error
}

func (Read) implementsAction()   {}
func (Write) implementsAction()  {}
func (Delete) implementsAction() {}
func (List) implementsAction()   {}
func (Done) implementsAction()   {}

func (Found) implementsEvent()      {}
func (Missing) implementsEvent()    {}
func (Written) implementsEvent()    {}
func (Conflicted) implementsEvent() {}
func (Listed) implementsEvent()     {}
func (Failed) implementsEvent()     {}
