// Package explain keeps a bounded log of a node's state changes and the reasons for
// them.
//
// Each change of state is one [Record] in a [Ring] of fixed size:
//
//	ring := explain.NewRing(512)
//	ring.Add(explain.Record{At: now, Kind: "versionRejected", Subject: "version 7", Detail: "plans[0].uses[1].service: service x is not listed"})
//	for _, record := range ring.Records() {
//		fmt.Println(record)
//	}
package explain

import (
	"sync"
	"time"
)

// Record is one change of state with its reason.
type Record struct {
	// At is the time of the change.
	At time.Time `json:"at"`
	// Kind names the change in camel case, such as versionApplied.
	Kind string `json:"kind"`
	// Subject is what changed, such as a node, a version or a customer.
	Subject string `json:"subject"`
	// Detail is the reason in words.
	Detail string `json:"detail"`
}

// Ring holds the newest records. It is safe for concurrent use. Lock order: mu is the
// only lock.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
	total   uint64
}

// NewRing returns an empty ring for n records, where n is at least 1.
func NewRing(n int) *Ring { return &Ring{records: make([]Record, 0, n)} }

// Add stores a record and drops the oldest one if the ring is full.
func (r *Ring) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % len(r.records)
}

// Records returns the stored records, oldest first.
func (r *Ring) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := make([]Record, 0, len(r.records))
	ordered = append(ordered, r.records[r.next:]...)
	return append(ordered, r.records[:r.next]...)
}

// Total returns how many records were added, including those that were dropped.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// String returns the record in one line, with its time in UTC.
func (r Record) String() string {
	return r.At.UTC().Format(time.RFC3339Nano) + " " + r.Kind + " " + r.Subject + ": " + r.Detail
}
