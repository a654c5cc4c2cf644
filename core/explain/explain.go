// Package explain keeps the reasons for what a node did.
//
// Each change of state is one [Record] in a [Ring] of bounded length:
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

// Record is one change of state with its evidence.
type Record struct {
	At time.Time `json:"at"`
	// Kind names the change in camel case, such as versionApplied.
	Kind string `json:"kind"`
	// Subject is what changed, such as a node, a version or a customer.
	Subject string `json:"subject"`
	// Detail is the evidence in words.
	Detail string `json:"detail"`
}

// Ring keeps the newest records. It is safe for use by several goroutines at
// once. Lock order: mu is the only lock.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
	total   uint64
}

// NewRing returns a ring for n records.
func NewRing(n int) *Ring { return &Ring{records: make([]Record, 0, n)} }

// Add keeps a record and drops the oldest when the ring is full.
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

// Records returns the records that are kept, oldest first.
func (r *Ring) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := make([]Record, 0, len(r.records))
	ordered = append(ordered, r.records[r.next:]...)
	return append(ordered, r.records[:r.next]...)
}

// Total returns how many records were added since the start.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

func (r Record) String() string {
	return r.At.UTC().Format(time.RFC3339Nano) + " " + r.Kind + " " + r.Subject + ": " + r.Detail
}
