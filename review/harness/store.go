package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's object store. All of its reads are linearizable.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	events   []event
	changed  chan struct{}
}

type object struct {
	kind string
	Meta metadata        `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
	Stat json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func startStore(addr netip.AddrPort) (*store, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: make(map[string]*object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put creates or replaces an object as the operator.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(kind, name, func(o *object) { o.Spec = text })
}

func (s *store) setLocked(kind, name string, change func(*object)) object {
	s.revision++
	o := object{kind: kind, Meta: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
	if old := s.objects[kind+"/"+name]; old != nil {
		o = *old
	}
	change(&o)
	o.Meta.Revision = s.revision
	s.objects[kind+"/"+name] = &o
	s.recordLocked(event{kind: kind, rev: s.revision, Object: o})
	return o
}

func (s *store) recordLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch r.Method {
	case http.MethodGet:
		if since := query.Get("watch"); since != "" {
			s.watch(w, r, kind, since, query.Get("wait_ms"))
			return
		}
		s.list(w, kind, name)
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name)
	case http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		o := s.objects[kind+"/"+name]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if rev := query.Get("revision"); rev != "" && rev != strconv.FormatUint(o.Meta.Revision, 10) {
			reply(w, http.StatusConflict, o)
			return
		}
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.recordLocked(event{kind: kind, rev: s.revision, Object: *o, Deleted: true})
	}
}

func (s *store) list(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind+"/"+name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	items := []*object{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o)
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, names.More: false, names.Revision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, since, wait string) {
	from, err := strconv.ParseUint(since, 10, 64)
	ms, err2 := strconv.Atoi(wait)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.rev > from && e.kind == kind {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if from > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, names.Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, names.Revision: revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	create := r.Method == http.MethodPost
	if create {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	switch {
	case create && old != nil:
		reply(w, http.StatusConflict, old)
		return
	case !create && old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case old != nil && in.Meta.Revision > 0 && in.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
		return
	}
	o := s.setLocked(kind, name, func(o *object) {
		if isStatus {
			o.Stat = in.Stat
			return
		}
		o.Spec = in.Spec
		if in.Meta.Finalizers != nil {
			o.Meta.Finalizers = in.Meta.Finalizers
		}
	})
	reply(w, http.StatusOK, o)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(v)
}
