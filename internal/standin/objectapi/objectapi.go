// Package objectapi is a small stand-in for the platform's object API, for
// tests, the demo and measurements. It keeps its objects in memory.
//
// # Use
//
//	store := objectapi.New()
//	http.ListenAndServe(addr, store)
//
// # Limits and faults
//
// [Limits] bound the rates and the size of a value. [Faults] make the store slow,
// unreachable or behind, or lose the answer to a write after it took effect:
//
//	store.SetLimits(objectapi.Limits{ReadsPerSecond: 2000, WritesPerSecond: 300})
//	store.SetFaults(objectapi.Faults{Down: true})
package objectapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
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
	// maxPage is how many rows a listing has at most.
	maxPage = 1000
	// headerNext names the key after which the next page of a listing begins. It
	// is missing on the last page.
	headerNext = "Next-After"
)

// Store is the stand-in. Lock order: mu is the only lock.
type Store struct {
	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	// behind is what reads see while the store is behind, or nil.
	behind        map[string]object
	limits        Limits
	reads, writes bucket
}

// Counts is what the store was asked. A watch counts as one read.
type Counts struct {
	Reads, Writes, Conflicts uint64
	// Refused is how many requests a limit refused.
	Refused uint64
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
	if !s.holdBack(r) {
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, keyPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		if s.admit(w, &s.reads, &s.counts.Reads) {
			s.read(w, r, key)
		}
	case http.MethodPut, http.MethodDelete:
		if s.admit(w, &s.writes, &s.counts.Writes) {
			s.write(w, r, key)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, key string) {
	switch {
	case key == "":
		s.list(w, r)
	case r.URL.Query().Get("watch") != "":
		s.watch(w, r, key)
	default:
		s.mu.Lock()
		o, ok := s.visible()[key]
		s.mu.Unlock()
		s.answer(w, o, ok)
	}
}

// visible returns the objects that reads see. The caller holds mu.
func (s *Store) visible() map[string]object {
	if s.behind != nil {
		return s.behind
	}
	return s.objects
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key        string  `json:"key"`
		Revision   uint64  `json:"revision"`
		AgeSeconds float64 `json:"ageSeconds"`
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	entries := []entry{}
	s.mu.Lock()
	for key, o := range s.visible() {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, entry{key, o.revision, time.Since(o.written).Seconds()})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	if len(entries) > limit {
		entries = entries[:limit]
		w.Header().Set(headerNext, url.QueryEscape(entries[limit-1].Key))
	}
	_ = json.NewEncoder(w).Encode(entries)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		o, ok := s.visible()[key]
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
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxValue()))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.Header.Get("If-Match") == "" && r.Header.Get("If-None-Match") == "" {
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if s.faults.LostWriteResponses > 0 {
		s.faults.LostWriteResponses--
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
