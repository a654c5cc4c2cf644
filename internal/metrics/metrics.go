// Package metrics holds the counters of a node and its histograms of call durations:
// one for each priority and one for each of a limited number of customers.
//
// A [Set] belongs to one node, so that several nodes can run in one process:
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
	// maxCustomers is the number of customers with their own histogram. Further
	// customers share the histogram otherCustomers.
	maxCustomers   = 64
	otherCustomers = "other"
	// lowestMicros and highestMicros are the range of the histograms in
	// microseconds. Longer durations count as highestMicros.
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// Set holds the metrics of one node. It is safe for concurrent use.
type Set struct {
	values     *expvar.Map
	priorities [priority.Count]*histogram
	// mu guards customers.
	mu        sync.RWMutex
	customers map[string]*histogram
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

// Map returns the metrics as an expvar map.
func (s *Set) Map() *expvar.Map { return s.values }

// Add adds n to a counter, which is created if it does not exist.
func (s *Set) Add(name string, n int64) { s.values.Add(name, n) }

// Counter returns the value of a counter, or 0 if it does not exist.
func (s *Set) Counter(name string) int64 {
	if v, ok := s.values.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Func publishes a value under a name. It is computed by fn at each read.
func (s *Set) Func(name string, fn func() any) { s.values.Set(name, expvar.Func(fn)) }

// ObserveCall adds the duration of an answered call to the histograms of its priority
// and of its customer.
func (s *Set) ObserveCall(p priority.Priority, customer string, d time.Duration) {
	if p < priority.Count {
		s.priorities[p].record(d)
	}
	s.customer(customer).record(d)
}

// Percentile returns a percentile, from 0 to 100, of the call durations of a priority,
// to two significant digits.
func (s *Set) Percentile(p priority.Priority, percent float64) time.Duration {
	h := s.priorities[p]
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// customer returns the histogram of a customer, or the shared one of other customers
// if maxCustomers have their own.
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

// byCustomer returns the histograms of the customers as JSON values.
func (s *Set) byCustomer() any {
	s.mu.RLock()
	defer s.mu.RUnlock()
	values := make(map[string]json.RawMessage, len(s.customers))
	for name, h := range s.customers {
		values[name] = json.RawMessage(h.String())
	}
	return values
}

// histogram is an expvar.Var that counts durations in microseconds.
type histogram struct {
	mu     sync.Mutex
	micros *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{micros: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.micros.RecordValue(min(d.Microseconds(), highestMicros))
}

// String returns the number of durations, their percentiles and the maximum as a JSON
// object, in microseconds.
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
