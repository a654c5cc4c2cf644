// Package objectop is what the decisions about the platform's objects ask for
// and learn: actions out, events in.
//
// A machine such as those of lavenderdeal/core/commit and
// lavenderdeal/core/collect returns one [Action] at a time. Whoever drives it
// does the action and hands back the [Event] that came of it:
//
//	action := machine.Start()
//	for {
//		if _, done := action.(objectop.Done); done {
//			break
//		}
//		action = machine.Step(do(action))
//	}
//
// Revision 0 stands for "no object", as in the platform's interface.
package objectop

import "time"

// Keys of the objects that the system keeps.
const (
	HeadKey      = "head"
	ChunkPrefix  = "chunks/"
	CopyPrefix   = "heads/"
	StatusPrefix = "status/"
)

// Action is Read, Write, Delete, List or Done.
type Action interface {
	implementsAction()
}

// Read asks for one object. Its events are Found, Missing and Failed.
type Read struct {
	Key string
}

// Write asks for a conditional write. Its events are Written, Conflicted and
// Failed.
type Write struct {
	Key   string
	Value []byte
	// After is the revision that the write replaces; 0 creates the object.
	After uint64
}

// Delete asks for a conditional removal. Its events are Written, Conflicted and
// Failed.
type Delete struct {
	Key   string
	After uint64
}

// List asks for the keys with a prefix. Its events are Listed and Failed.
type List struct {
	Prefix string
}

// Done says that the machine has finished. Its result is asked from the machine.
type Done struct{}

// Event is Found, Missing, Written, Conflicted, Listed or Failed.
type Event interface {
	implementsEvent()
}

// Found brings an object.
type Found struct {
	Value    []byte
	Revision uint64
}

// Missing says that there is no object under the key.
type Missing struct{}

// Written says that the write took effect.
type Written struct {
	Revision uint64
}

// Conflicted says that the object was at another revision and that this request
// changed nothing.
type Conflicted struct{}

// Listed brings the keys with a prefix.
type Listed struct {
	Entries []Entry
}

// Entry is one row of a listing.
type Entry struct {
	Key      string
	Revision uint64
	// Age is how long ago the object was written, by the platform's clock.
	Age time.Duration
}

// Failed says that there was no usable answer.
type Failed struct {
	// NotRun says that the request surely had no effect and never will have.
	// Otherwise it may have taken effect, or may do so yet.
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
