// Package priority defines the priorities of calls and the minimum share of slot time
// that each is guaranteed.
//
// Lower values are more urgent and are served first:
//
//	for p := range priority.All() {
//		fmt.Println(p)
//	}
package priority

import (
	"iter"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Priority is the priority of a call. Lower values are more urgent.
type Priority uint8

// The priorities, in order of decreasing urgency.
const (
	Urgent Priority = iota
	High
	Normal
	Bulk
	// Count is the number of priorities.
	Count
)

var names = [Count]string{"urgent", "high", "normal", "bulk"}

// Parse returns the priority with the given name, or an error if there is none.
func Parse(name string) (Priority, error) {
	for p, known := range names {
		if name == known {
			return Priority(p), nil
		}
	}
	return 0, errors.Newf("priority %q: want urgent, high, normal or bulk", name)
}

// All returns an iterator over the priorities, the most urgent first.
func All() iter.Seq[Priority] {
	return func(yield func(Priority) bool) {
		for p := Urgent; p < Count; p++ {
			if !yield(p) {
				return
			}
		}
	}
}

func (p Priority) String() string {
	if p < Count {
		return names[p]
	}
	return "priority" + strconv.Itoa(int(p))
}
