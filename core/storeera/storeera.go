// Package storeera decides what an answer of a store proves that may come back from an
// older copy of itself. Each time it does, its era rises by one, what was written since
// that copy is gone, and revisions are given out again. So revisions can be compared only
// within one era, and an acknowledgement holds only for the era that gave it.
//
//	var t storeera.Tracker
//	begun := t.Era()
//	answer := send()
//	switch t.Answered(begun, answer.Era) {
//	case storeera.Current: // the answer is usable
//	case storeera.Restored, storeera.Crossed: // revisions known before are void
//	case storeera.Outdated: // the answer proves nothing
//	}
//
// A store that names no era in its answers is taken for one that never comes back from an
// older copy.
package storeera

// Outcome is what an answer proves.
type Outcome uint8

const (
	// Current means that the era has not changed since the call began.
	Current Outcome = iota
	// Restored means that the answer is the first one of a new era.
	Restored
	// Crossed means that the call began in an earlier era than the answer's, which is
	// known already. The revisions in the call belong to the earlier one.
	Crossed
	// Outdated means that the answer is of an earlier era than the known one. What it
	// returns or acknowledges may be gone.
	Outdated
)

// Tracker holds the era of a store. It is not safe for concurrent use.
type Tracker struct {
	era uint64
}

// Era returns the highest era seen, or 0 if the store has named none.
func (t *Tracker) Era() uint64 { return t.era }

// Answered returns what an answer with an era, 0 for none, proves to a call that was begun
// in another one, and records the era.
func (t *Tracker) Answered(begun, era uint64) Outcome {
	switch {
	case era == 0:
		return Current
	case era < t.era:
		return Outdated
	case era > t.era:
		isFirst := t.era == 0
		t.era = era
		if isFirst {
			return Current
		}
		return Restored
	case begun != 0 && begun < era:
		return Crossed
	}
	return Current
}
