// Package meter collects the metrics of a node and serves them in the Prometheus text
// format.
//
// Requests are counted by class and outcome, with a latency histogram for each
// class. A class consists of properties from the operators' configuration, such as
// service, kind and rank, so the number of metrics is bounded:
//
//	var m meter.Meter
//	m.Observe(meter.Class{Service: "bookings", Kind: "once", Rank: 1}, "served", took)
//	m.Gauge("requests_running", "requests", "requests that run on the backend server", running)
package meter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// prefix is the prefix of all metric names.
	prefix = "lavenderdeal_"
	// maxClasses bounds the number of histograms. Further classes share one.
	maxClasses = 64
	// maxLatency is the highest latency that a histogram distinguishes. Longer ones
	// count as this one.
	maxLatency = time.Minute
	// significantDigits gives a precision of 1%, with about 20 KB for each histogram.
	significantDigits = 2
)

// percentiles are the latency percentiles that are served.
var percentiles = []float64{50, 90, 99, 99.9}

// Class identifies the requests that share their metrics.
type Class struct {
	// Service is the service that is called, and Kind the kind of the route.
	Service, Kind string
	// Rank is the priority under load; 0 is the highest.
	Rank int
	// Inner is set for calls that another request waits for.
	Inner bool
}

// Meter holds the metrics of one node. The zero value is empty and ready to use. It
// is safe for concurrent use. Lock order: mu is the only lock; it is never held
// while a gauge or counter is read.
type Meter struct {
	mu        sync.Mutex
	counts    map[outcome]uint64
	latencies map[Class]*hdrhistogram.Histogram
	gauges    []gauge
	counters  []counters
}

type outcome struct {
	class Class
	name  string
}

type gauge struct {
	name, unit, help string
	fn               func() float64
}

type counters struct {
	name, label, help string
	fn                func() map[string]uint64
}

// Observe counts a request of a class under the name of its outcome, such as "served",
// and records its latency.
func (m *Meter) Observe(c Class, name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[outcome]uint64)
		m.latencies = make(map[Class]*hdrhistogram.Histogram)
	}
	h := m.latencies[c]
	if h == nil {
		if len(m.latencies) >= maxClasses {
			c = Class{Service: "other"}
		}
		if h = m.latencies[c]; h == nil {
			h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
			m.latencies[c] = h
		}
	}
	m.counts[outcome{c, name}]++
	// The value is within the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxLatency.Microseconds()))
}

// Gauge registers a gauge, whose value is read from fn when it is served. The help text
// is served with the unit.
func (m *Meter) Gauge(name, unit, help string, fn func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, gauge{name, unit, help, fn})
}

// Counters registers a group of counters with one label. Their values, by value of
// the label, are read from fn when they are served.
func (m *Meter) Counters(name, label, help string, fn func() map[string]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters = append(m.counters, counters{name, label, help, fn})
}

// ServeHTTP serves all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	// An error means that the client has disconnected.
	_, _ = io.WriteString(w, m.String())
}

// String returns all metrics as text, in the form in which they are served.
func (m *Meter) String() string {
	m.mu.Lock()
	var b strings.Builder
	m.writeRequestsLocked(&b)
	gauges, counters := slices.Clone(m.gauges), slices.Clone(m.counters)
	m.mu.Unlock()
	for _, g := range gauges {
		writeHead(&b, g.name, "gauge", g.help+", in "+g.unit)
		fmt.Fprintf(&b, "%s%s %g\n", prefix, g.name, g.fn())
	}
	for _, c := range counters {
		writeHead(&b, c.name, "counter", c.help)
		values := c.fn()
		for _, key := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&b, "%s%s{%s=%q} %d\n", prefix, c.name, c.label, key, values[key])
		}
	}
	return b.String()
}

// writeRequestsLocked writes the counts and the latency percentiles of all classes.
func (m *Meter) writeRequestsLocked(b *strings.Builder) {
	lines := make([]string, 0, len(m.counts))
	for o, n := range m.counts {
		lines = append(lines, fmt.Sprintf("%srequests_total{%s,outcome=%q} %d\n", prefix, o.class.labels(), o.name, n))
	}
	slices.Sort(lines)
	writeHead(b, "requests_total", "counter", "requests of callers by how they ended")
	b.WriteString(strings.Join(lines, ""))
	lines = lines[:0]
	for c, h := range m.latencies {
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf("%srequest_seconds{%s,quantile=\"%g\"} %g\n", prefix, c.labels(), q/100, float64(h.ValueAtQuantile(q))/1e6))
		}
		lines = append(lines, fmt.Sprintf("%srequest_seconds_count{%s} %d\n", prefix, c.labels(), h.TotalCount()))
	}
	slices.Sort(lines)
	writeHead(b, "request_seconds", "summary", "time from a request's arrival to its answer, in seconds")
	b.WriteString(strings.Join(lines, ""))
}

func (c Class) labels() string {
	return fmt.Sprintf("service=%q,kind=%q,rank=\"%d\",inner=\"%v\"", c.Service, c.Kind, c.Rank, c.Inner)
}

// writeHead writes the HELP and TYPE lines of a metric.
func writeHead(b *strings.Builder, name, kind, help string) {
	fmt.Fprintf(b, "# HELP %s%s %s\n# TYPE %s%s %s\n", prefix, name, help, prefix, name, kind)
}
