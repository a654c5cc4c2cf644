// Package objectapi is a small stand-in for the platform's object API, for
// tests, the demo and measurements. It keeps its objects in memory.
//
// # Faults
//
// A [Store] can be made slow, unreachable or behind, and can lose the answer to
// a write after the write took effect:
//
//	store := objectapi.New()
//	http.ListenAndServe(addr, store)
//	store.SetFaults(objectapi.Faults{Down: true})
package objectapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyPath  = "/v1/objects/"
	maxValue = 1 << 20
	maxWait  = 60 * time.Second
)

// Store is the stand-in. Lock order: mu is the only lock.
type Store struct {
	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

// Faults is what goes wrong.
type Faults struct {
	// Down breaks every connection.
	Down bool
	// Delay holds every answer back.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect and whose answers
	// are lost.
	LoseAnswers int
}

// Counts is what the store was asked. A watch counts as one read.
type Counts struct {
	Reads, Writes, Conflicts, Refused uint64
	// BytesOut is the sum of the values that were read.
	BytesOut uint64
}

type object struct {
	value    []byte
	revision uint64
	written  time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]object), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		// Waiting watches break too.
		s.wake()
	}
}

// Counts returns what the store was asked until now.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of all objects, for a later [Store.Restore].
func (s *Store) Snapshot() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string][]byte, len(s.objects))
	for key, o := range s.objects {
		copied[key] = bytes.Clone(o.value)
	}
	return copied
}

// Restore replaces all objects, as a platform does that is restored from a
// backup.
func (s *Store) Restore(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]object, len(values))
	for key, value := range values {
		s.revision++
		s.objects[key] = object{value: bytes.Clone(value), revision: s.revision, written: time.Now()}
	}
	s.wake()
}

// ServeHTTP answers requests to the object API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
	}
	key, ok := strings.CutPrefix(r.URL.Path, keyPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch {
	case r.Method == http.MethodGet && key == "":
		s.list(w, r)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, key)
	case r.Method == http.MethodGet:
		s.get(w, key)
	case r.Method == http.MethodPut || r.Method == http.MethodDelete:
		s.write(w, r, key)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key        string  `json:"key"`
		Revision   uint64  `json:"revision"`
		AgeSeconds float64 `json:"ageSeconds"`
	}
	prefix := r.URL.Query().Get("prefix")
	entries := []entry{}
	s.mu.Lock()
	s.counts.Reads++
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry{key, o.revision, time.Since(o.written).Seconds()})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(entries)
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.counts.Reads++
	o, ok := s.objects[key]
	s.mu.Unlock()
	s.answer(w, o, ok)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	s.mu.Lock()
	s.counts.Reads++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		o, ok := s.objects[key]
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if o.revision != after {
			s.answer(w, o, ok)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, o object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.counts.BytesOut += uint64(len(o.value))
	s.mu.Unlock()
	w.Header().Set("ETag", etag(o.revision))
	_, _ = w.Write(o.value)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	current, exists := s.objects[key]
	if !s.conditionHolds(r, current, exists) {
		s.counts.Conflicts++
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.revision++
	if r.Method == http.MethodDelete {
		delete(s.objects, key)
	} else {
		s.objects[key] = object{value: value, revision: s.revision, written: time.Now()}
	}
	s.wake()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(s.revision))
	w.WriteHeader(http.StatusOK)
}

func (s *Store) conditionHolds(r *http.Request, current object, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == etag(current.revision)
}

// wake ends the wait of every watch. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func etag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }
