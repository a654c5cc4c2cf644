// Package backend provides a fake backend server for tests, the demo and benchmarks. It
// counts the runs of every call.
//
// # Faults
//
// Options and methods simulate what real backend servers do: they are slow after a start
// (cold start), refuse calls under overload (load shedding), drain, and their health
// endpoint reports a wrong status:
//
//	s := backend.New("catania-1", 18,
//		backend.WithColdStart(10*time.Second, 4),
//		backend.WithMaxWaiting(36))
//	s.SetHealth(backend.HealthAlwaysGood)
//	s.Drain()
//
// A call with [HeaderCrash] simulates a crash of the server's process. This requires that a
// [Process] serves the server.
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

// Headers that control and identify a run.
const (
	// HeaderWork is a request header with the duration of the run, in the format of
	// [time.ParseDuration], such as 5ms. Without it the run takes no time.
	HeaderWork = "Standin-Work"
	// HeaderCallID is a request and response header with the ID of the call. Runs are
	// counted by this ID.
	HeaderCallID = "Standin-Call-Id"
	// HeaderServer is a response header with the name of the server.
	HeaderServer = "Standin-Server"
	// HeaderCrash is a request header that, if it is not empty, makes the server crash
	// when the call runs.
	HeaderCrash = "Standin-Crash"
)

// Paths of endpoints whose requests do not count as calls.
const (
	// PathHealth is the health endpoint, which responds with status 200 or 503.
	PathHealth = "/health"
	// PathLoad is the load endpoint, which responds with a [Load] in JSON.
	PathLoad = "/load"
)

// Health selects the status that the health endpoint returns.
type Health uint8

const (
	// HealthActual returns 503 while the server drains and 200 otherwise.
	HealthActual Health = iota
	// HealthAlwaysGood always returns 200.
	HealthAlwaysGood
	// HealthAlwaysBad always returns 503.
	HealthAlwaysBad
)

// Load is the response of the load endpoint.
type Load struct {
	// Running is the number of calls that run.
	Running int `json:"running"`
	// Waiting is the number of calls that wait for a slot.
	Waiting int `json:"waiting"`
	// Slots is the number of calls that the server can run at once.
	Slots int `json:"slots"`
}

// Server is a fake backend server and its HTTP handler. Lock order: mu is the only lock.
type Server struct {
	name  string
	slots int
	// maxWaiting is negative if the number of waiting calls is unlimited.
	maxWaiting   int
	coldDuration time.Duration
	coldFactor   float64
	// slotSem is a semaphore that holds an element for each running call.
	slotSem chan struct{}
	// crashed receives an element when the server is to crash.
	crashed chan struct{}

	mu       sync.Mutex
	started  time.Time
	health   Health
	draining bool
	running  int
	waiting  int
	// peak is the highest value of running so far.
	peak int
	shed int
	// runs counts the runs of each call that has an ID.
	runs  map[string]int
	total int
}

// Option configures a server in [New].
type Option func(*Server)

// WithMaxWaiting limits the number of calls that wait for a slot. Further calls are shed,
// that is, refused with status 503. Without this option the number is unlimited.
func WithMaxWaiting(n int) Option { return func(s *Server) { s.maxWaiting = n } }

// WithColdStart makes runs take factor times as long after a start of the server. The
// factor falls linearly to 1 over the duration d.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(s *Server) { s.coldDuration, s.coldFactor = d, factor }
}

// New returns a server that runs up to slots calls at once. The name is the value of
// [HeaderServer] in its responses.
func New(name string, slots int, opts ...Option) *Server {
	s := &Server{
		name:       name,
		slots:      slots,
		maxWaiting: -1,
		slotSem:    make(chan struct{}, slots),
		crashed:    make(chan struct{}, 1),
		started:    time.Now(),
		runs:       make(map[string]int),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetHealth sets how the health endpoint responds.
func (s *Server) SetHealth(h Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = h
}

// Drain makes the health endpoint report that the server drains. The server still runs
// calls.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Restart simulates a restart: it begins the cold start again and ends draining. Open
// connections and running calls continue.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.draining = time.Now(), false
}

// Runs returns the number of runs of each call, by call ID. Calls without an ID are not
// included.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		copied[id] = n
	}
	return copied
}

// Total returns the number of runs of all calls.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Peak returns the highest number of calls that ran at once so far.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// ShedTotal returns the number of calls that the server shed.
func (s *Server) ShedTotal() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// ServeHTTP runs a call: it waits for a slot, reads the body, waits for the duration in
// [HeaderWork] and responds with the method, the URI, the call's ID and the number of bytes
// in the body. A call that it sheds gets status 503 with Retry-After. Requests for
// [PathHealth] and [PathLoad] get the response of that endpoint at once.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathHealth:
		w.WriteHeader(s.healthStatus())
		return
	case PathLoad:
		_ = json.NewEncoder(w).Encode(s.load())
		return
	}
	if !s.admit() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	s.run(w, r)
}

// run runs a call for which a slot is held.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderCallID)
	s.countRun(id)
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
		case <-time.After(s.runTime(work)):
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

// admit counts a call as waiting for a slot. If too many calls wait already, it counts the
// call as shed and returns false.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxWaiting >= 0 && s.running+s.waiting >= s.slots+s.maxWaiting {
		s.shed++
		return false
	}
	s.waiting++
	return true
}

// acquireSlot waits for a slot. It returns false if ctx ends first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	acquired := true
	select {
	case s.slotSem <- struct{}{}:
	case <-ctx.Done():
		acquired = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if acquired {
		s.running++
		s.peak = max(s.peak, s.running)
	}
	return acquired
}

func (s *Server) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if id != "" {
		s.runs[id]++
	}
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slotSem
}

// runTime returns how long work takes now, with the slowdown of a cold start.
func (s *Server) runTime(work time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.started)
	if s.coldDuration <= 0 || age >= s.coldDuration {
		return work
	}
	cold := 1 - age.Seconds()/s.coldDuration.Seconds()
	return time.Duration(float64(work) * (1 + (s.coldFactor-1)*cold))
}

func (s *Server) healthStatus() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.health == HealthAlwaysBad || (s.health == HealthActual && s.draining) {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Waiting: s.waiting, Slots: s.slots}
}
