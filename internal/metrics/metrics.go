// Package metrics counts what a node does and keeps its histograms, one for each
// priority and one for each customer up to a bound.
//
// A [Set] belongs to one node, so that several nodes fit in one process:
//
//	m := metrics.New()
//	m.Add("callsRefused", 1)
//	m.ObserveCall(priority.Urgent, "crew-catania", 3*time.Millisecond)
//	fmt.Println(m.Map())
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderdeal/core/priority"
)

const (
	maxCustomers     = 64
	otherCustomers   = "other"
	lowestMicros     = 1
	highestMicros    = int64(10 * time.Minute / time.Microsecond)
	significantDigit = 2
)

// Set is the metrics of one node. It is safe for use by several goroutines at
// once.
type Set struct {
	values     *expvar.Map
	priorities [priority.Count]*histogram
	mu         sync.RWMutex
	customers  map[string]*histogram
}

// New returns an empty set.
func New() *Set {
	s := &Set{values: new(expvar.Map).Init(), customers: make(map[string]*histogram)}
	byPriority := new(expvar.Map).Init()
	for p := range priority.All() {
		s.priorities[p] = newHistogram()
		byPriority.Set(p.String(), s.priorities[p])
	}
	s.values.Set("callMicrosByPriority", byPriority)
	s.values.Set("callMicrosByCustomer", expvar.Func(s.byCustomer))
	return s
}

// Map returns the set as an expvar value.
func (s *Set) Map() *expvar.Map { return s.values }

// Add adds to a counter.
func (s *Set) Add(name string, n int64) { s.values.Add(name, n) }

// Counter returns the value of a counter.
func (s *Set) Counter(name string) int64 {
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Func publishes a value that is computed when it is read.
func (s *Set) Func(name string, fn func() any) { s.values.Set(name, expvar.Func(fn)) }

// ObserveCall adds the duration of a call that ran to the histograms.
func (s *Set) ObserveCall(p priority.Priority, customer string, d time.Duration) {
	if p < priority.Count {
		s.priorities[p].record(d)
	}
	s.customer(customer).record(d)
}

// Quantile returns a quantile in percent of the calls of a priority.
func (s *Set) Quantile(p priority.Priority, percent float64) time.Duration {
	h := s.priorities[p]
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.micros.ValueAtQuantile(percent)) * time.Microsecond
}

func (s *Set) customer(name string) *histogram {
	s.mu.RLock()
	h, ok := s.customers[name]
	s.mu.RUnlock()
	if ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.customers[name]; ok {
		return h
	}
	if len(s.customers) >= maxCustomers {
		name = otherCustomers
	}
	h, ok = s.customers[name]
	if !ok {
		h = newHistogram()
		s.customers[name] = h
	}
	return h
}

func (s *Set) byCustomer() any {
	s.mu.RLock()
	defer s.mu.RUnlock()
	values := make(map[string]json.RawMessage, len(s.customers))
	for name, h := range s.customers {
		values[name] = json.RawMessage(h.String())
	}
	return values
}

// histogram is an expvar value.
type histogram struct {
	mu     sync.Mutex
	micros *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{micros: hdrhistogram.New(lowestMicros, highestMicros, significantDigit)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.micros.RecordValue(min(d.Microseconds(), highestMicros))
}

func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, _ := json.Marshal(struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P90   int64 `json:"p90"`
		P99   int64 `json:"p99"`
		P999  int64 `json:"p999"`
		Max   int64 `json:"max"`
	}{
		Count: h.micros.TotalCount(),
		P50:   h.micros.ValueAtQuantile(50),
		P90:   h.micros.ValueAtQuantile(90),
		P99:   h.micros.ValueAtQuantile(99),
		P999:  h.micros.ValueAtQuantile(99.9),
		Max:   h.micros.Max(),
	})
	return string(text)
}
