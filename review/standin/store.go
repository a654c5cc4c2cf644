package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// object is an object of the store.
type object struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
}

// change is an event of the store.
type change struct {
	object
	deleted bool
}

// store is a stand-in for the platform's store.
type store struct {
	world *world
	http  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	changes  []change
	changed  chan struct{}
	// down is closed when the store is up again, and nil while it is up.
	down chan struct{}
}

func newStore(w *world, l net.Listener) *store {
	s := &store{world: w, revision: 500, objects: make(map[string]object), changed: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	w.spawn(func() { _ = s.http.Serve(l) })
	return s
}

func (s *store) close() { _ = s.http.Close() }

// setDown makes the store silent, or ends that. Calls that it gets meanwhile do nothing and
// are never answered.
func (s *store) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.world.logf("the store is silent: %v", on)
	if on {
		s.down = make(chan struct{})
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	close(s.down)
	s.down = nil
}

// put writes an object, as the operator does.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) {
	if old, ok := s.objects[kind+"/"+name]; ok && string(old.spec) == string(spec) {
		return
	}
	s.revision++
	o := object{kind, name, s.revision, spec}
	s.objects[kind+"/"+name] = o
	s.changes = append(s.changes, change{object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (o object) body() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": 1, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

// hang leaves the call without an answer.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down != nil
}

// ServeHTTP processes a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if s.isDown() {
		s.world.logf("store: %s %s gets no answer", r.Method, r.URL)
		hang(r)
	}
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet {
		s.get(w, r, kind, name)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	key := kind + "/" + name
	o, exists := s.objects[key]
	s.world.logf("store: %s %s %s", r.Method, key, body.Spec)
	switch {
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects, key)
		o.revision = s.revision
		s.changes = append(s.changes, change{o, true})
		close(s.changed)
		s.changed = make(chan struct{})
	default:
		s.putLocked(kind, name, body.Spec)
		o = s.objects[key]
	}
	reply(w, o.body())
}

// get answers a read or a watch.
func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err == nil {
		s.watch(w, r, kind, since)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, o.body())
		return
	}
	items := []any{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o.body())
		}
	}
	reply(w, map[string]any{"items": items, names.More: false, names.Revision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, since uint64) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": c.body(), "deleted": c.deleted})
			}
		}
		revision, changed, down := s.revision, s.changed, s.down != nil
		s.mu.Unlock()
		if down {
			hang(r)
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, names.Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, map[string]any{"events": events, names.Revision: revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeoutMs, targetMs   int
	priority              int
}

// host is the host of all routes, and version that of the configuration.
const (
	host    = "jepu9.example"
	version = "00000007"
)

// configure writes a configuration in the form of the page.
func (s *store) configure(routes []route) {
	rows, services, known := [][]any{}, [][]any{}, []string{}
	for i, r := range routes {
		rows = append(rows, []any{fmt.Sprintf("r-%d", i), host, r.prefix, r.kind, r.timeoutMs, r.targetMs, r.priority, r.service, 2, nil})
		if !slices.Contains(known, r.service) {
			known = append(known, r.service)
			services = append(services, []any{r.service, "/health", 120, "h1", false})
		}
	}
	spec, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", names.Prefix, "kind", "timeout_ms", names.Target, "priority", "service", names.MaxServers, "backends"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.put("config", "main", spec)
	s.world.logf("the operator writes configuration %s", version)
}

// maxBodyBytes is the limit of a body as `fleetbench wire` prints it.
const maxBodyBytes = 67108864
