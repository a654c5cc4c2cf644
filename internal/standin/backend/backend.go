// Package backend is a small stand-in for a backend server, for tests, the demo
// and measurements. It records every run.
package backend

import (
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
)

// Server is the stand-in. Lock order: mu is the only lock.
type Server struct {
	name  string
	slots int

	mu      sync.Mutex
	running int
	peak    int
	runs    map[string]int
	total   int
}

// New returns a server with a number of slots.
func New(name string, slots int) *Server {
	return &Server{name: name, slots: slots, runs: make(map[string]int)}
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

// ServeHTTP runs a call: it reads the body, works and answers with the id of
// the call and the number of bytes that it read.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(HeaderCallID)
	s.begin(id)
	defer s.end()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if work, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		select {
		case <-time.After(work):
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

func (s *Server) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	s.total++
	if id != "" {
		s.runs[id]++
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
