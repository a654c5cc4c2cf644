// Package namecount counts events by a name and a kind. The number of names is bounded, so
// that names from a configuration can be labels of metrics:
//
//	c := namecount.New(100)
//	c.Add("depot", "served")
//	fmt.Println(c.Of("served")["depot"])
package namecount

import "sync"

// Other is the name that the events of further names share.
const Other = "other"

// Counts holds the counts. It is safe for concurrent use. Lock order: mu is the only lock.
type Counts struct {
	max int

	mu     sync.Mutex
	counts map[string]map[string]uint64
}

// New returns Counts for a number of names. Further names are counted as [Other].
func New(names int) *Counts { return &Counts{max: names, counts: make(map[string]map[string]uint64)} }

// Add counts an event. The kinds must be few.
func (c *Counts) Add(name, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[name] == nil && len(c.counts) >= c.max {
		name = Other
	}
	if c.counts[name] == nil {
		c.counts[name] = make(map[string]uint64)
	}
	c.counts[name][kind]++
}

// Of returns the numbers of events of one kind by name.
func (c *Counts) Of(kind string) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64)
	for name, kinds := range c.counts {
		if n := kinds[kind]; n > 0 {
			out[name] = n
		}
	}
	return out
}
