// Package backend is a small stand-in for a backend server, for tests, the demo
// and measurements. It records every run.
//
// # Faults
//
// Options and methods bring about what real backend servers do: they start
// cold, shed load, drain, and their health endpoint lags or misleads:
//
//	s := backend.New("catania-1", 18,
//		backend.WithColdStart(10*time.Second, 4),
//		backend.WithWaiting(36))
//	s.SetHealth(backend.HealthAlwaysGood)
//	s.Drain()
//
// A call with [HeaderCrash] ends the process, as far as callers see: see
// [Process].
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that steer a run and identify it.
const (
	// HeaderWork is how long the run takes, such as 5ms.
	HeaderWork = "Standin-Work"
	// HeaderCallID identifies the call whose runs are counted.
	HeaderCallID = "Standin-Call-Id"
	// HeaderServer names the server that answered.
	HeaderServer = "Standin-Server"
	// HeaderCrash on a call ends the server when the call runs.
	HeaderCrash = "Standin-Crash"
)

// The paths that are no calls.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// Health is what the health endpoint says.
type Health uint8

const (
	// HealthTrue answers 503 while the server drains or has crashed.
	HealthTrue Health = iota
	// HealthAlwaysGood answers 200 whatever happens.
	HealthAlwaysGood
	// HealthAlwaysBad answers 503 whatever happens.
	HealthAlwaysBad
)

// Load is the answer of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Server is the stand-in. Lock order: mu is the only lock.
type Server struct {
	name       string
	slots      int
	maxWaiting int
	coldFor    time.Duration
	coldFactor float64
	slot       chan struct{}
	crashed    chan struct{}

	mu       sync.Mutex
	started  time.Time
	health   Health
	draining bool
	running  int
	waiting  int
	peak     int
	shed     int
	runs     map[string]int
	total    int
}

// Option changes a server while it is built.
type Option func(*Server)

// WithMaxWaiting sets how many calls wait inside the server when its slots are in
// use. It sheds more of them with 503. Without it any number waits.
func WithMaxWaiting(n int) Option { return func(s *Server) { s.maxWaiting = n } }

// WithColdStart makes runs take factor times as long at the start, falling to
// their usual time over the duration.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(s *Server) { s.coldFor, s.coldFactor = d, factor }
}

// New returns a server with a number of slots.
func New(name string, slots int, opts ...Option) *Server {
	s := &Server{
		name:       name,
		slots:      slots,
		maxWaiting: -1,
		slot:       make(chan struct{}, slots),
		crashed:    make(chan struct{}, 1),
		started:    time.Now(),
		runs:       make(map[string]int),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetHealth sets what the health endpoint says.
func (s *Server) SetHealth(h Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = h
}

// Drain makes the health endpoint say that the server leaves. Calls still run.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Restart makes the server cold again.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.draining = time.Now(), false
}

// Runs returns how often each call ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		copied[id] = n
	}
	return copied
}

// Total returns how many runs there were.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Peak returns the highest number of calls that ran at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// ShedTotal returns how many calls the server refused for want of room.
func (s *Server) ShedTotal() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// ServeHTTP runs a call: it takes a slot, reads the body, works and answers with
// the id of the call and the number of bytes that it read.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathHealth:
		w.WriteHeader(s.healthStatus())
		return
	case PathLoad:
		_ = json.NewEncoder(w).Encode(s.load())
		return
	}
	if !s.enter() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.takeSlot(r.Context()) {
		return
	}
	defer s.end()
	s.run(w, r)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderCallID)
	s.begin(id)
	if r.Header.Get(HeaderCrash) != "" {
		select {
		case s.crashed <- struct{}{}:
		default:
		}
		<-r.Context().Done()
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if work, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		select {
		case <-time.After(s.slowed(work)):
		case <-r.Context().Done():
			return
		}
	}
	body := fmt.Sprintf("%s %s %s %d\n", r.Method, r.URL.RequestURI(), id, n)
	w.Header().Set(HeaderServer, s.name)
	w.Header().Set(HeaderCallID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// enter lets a call wait for a slot, unless too many wait.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxWaiting >= 0 && s.running+s.waiting >= s.slots+s.maxWaiting {
		s.shed++
		return false
	}
	s.waiting++
	return true
}

func (s *Server) takeSlot(ctx context.Context) bool {
	taken := true
	select {
	case s.slot <- struct{}{}:
	case <-ctx.Done():
		taken = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if taken {
		s.running++
		s.peak = max(s.peak, s.running)
	}
	return taken
}

func (s *Server) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if id != "" {
		s.runs[id]++
	}
}

func (s *Server) end() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slot
}

// slowed returns the time that work takes now.
func (s *Server) slowed(work time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.started)
	if s.coldFor <= 0 || age >= s.coldFor {
		return work
	}
	cold := 1 - age.Seconds()/s.coldFor.Seconds()
	return time.Duration(float64(work) * (1 + (s.coldFactor-1)*cold))
}

func (s *Server) healthStatus() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.health == HealthAlwaysBad || (s.health == HealthTrue && s.draining) {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Waiting: s.waiting, Slots: s.slots}
}
