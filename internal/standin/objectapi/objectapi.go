// Package objectapi provides a fake of the platform's object API for tests, the demo and
// benchmarks. It keeps its objects in memory.
//
// # API
//
// An object is a value under a key, at the path /v1/objects/ followed by the key. Each
// write gives it a new revision, which is its ETag:
//
//   - GET reads an object. With the query parameters watch, after and wait, it responds once
//     the revision differs from after, or with 304 when the duration wait has passed.
//   - GET without a key lists keys and revisions in pages, with the query parameters prefix,
//     after and limit.
//   - PUT and DELETE require If-Match with the current ETag. A PUT of a new object requires
//     If-None-Match: * instead. The response is 412 if the condition does not hold.
//
// # Use
//
//	store := objectapi.New()
//	http.ListenAndServe(addr, store)
//
// # Limits and faults
//
// [Limits] limit the rates of requests and the size of a value. [Faults] make the store
// slow, unreachable or stale, or drop the response to a write that was applied:
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
	objectsPath = "/v1/objects/"
	// defaultMaxValueBytes is the largest size of a value if Limits sets none.
	defaultMaxValueBytes = 1 << 20
	// maxWait is the longest time that a watch waits.
	maxWait = 60 * time.Second
	// maxPage is the largest number of entries on a page of a listing.
	maxPage = 1000
	// headerNext holds the key after which the next page of a listing starts. It is
	// absent on the last page.
	headerNext = "Next-After"
)

// Store is a fake object store and its HTTP handler. Lock order: mu is the only lock.
type Store struct {
	mu      sync.Mutex
	objects map[string]object
	// revision is the revision of the last write.
	revision uint64
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
	faults  Faults
	counts  Counts
	// stale holds the objects that reads see during Faults.StaleReads, or is nil.
	stale  map[string]object
	limits Limits
	// reads and writes are the rate limits.
	reads, writes bucket
}

// Counts are the numbers of requests to the store. A watch counts as one read.
type Counts struct {
	// Conflicts is the number of writes whose If-Match or If-None-Match condition did not
	// hold. They count as writes too.
	Reads, Writes, Conflicts uint64
	// Refused is the number of requests that a rate limit refused. They do not count as
	// reads or writes.
	Refused uint64
	// BytesOut is the total size of the values that were read, in bytes.
	BytesOut uint64
}

// object is a stored value with the revision and time of its last write.
type object struct {
	value    []byte
	revision uint64
	written  time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]object), changed: make(chan struct{})}
}

// Counts returns the numbers of requests so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of all values by key, for a later [Store.Restore].
func (s *Store) Snapshot() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string][]byte, len(s.objects))
	for key, o := range s.objects {
		copied[key] = bytes.Clone(o.value)
	}
	return copied
}

// Restore replaces all objects with the values, as when the platform is restored from a
// backup. The objects get new revisions.
func (s *Store) Restore(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]object, len(values))
	for key, value := range values {
		s.revision++
		s.objects[key] = object{value: bytes.Clone(value), revision: s.revision, written: time.Now()}
	}
	s.wakeWatches()
}

// ServeHTTP handles requests to the object API, with the faults and limits that are set.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(r) {
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, objectsPath)
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
		s.writeObject(w, o, ok)
	}
}

// visible returns the objects that reads see. The caller must hold mu.
func (s *Store) visible() map[string]object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

// list responds with a page of the keys, in order.
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

// watch responds with an object once its revision differs from the query parameter after,
// or with 304 when the query parameter wait or maxWait has passed.
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
			s.writeObject(w, o, ok)
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

// writeObject responds with an object, or with 404 if ok is false.
func (s *Store) writeObject(w http.ResponseWriter, o object, ok bool) {
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

// write stores or deletes an object if the request's condition holds.
func (s *Store) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxValueBytes()))
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
	if !s.preconditionHolds(r, current, exists) {
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
	s.wakeWatches()
	if s.faults.LostWriteResponses > 0 {
		s.faults.LostWriteResponses--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(s.revision))
	w.WriteHeader(http.StatusOK)
}

// preconditionHolds reports whether a write's If-None-Match or If-Match header agrees with
// the current object.
func (s *Store) preconditionHolds(r *http.Request, current object, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == etag(current.revision)
}

// wakeWatches makes every watch check its object again. The caller must hold mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func etag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }
