package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatGap is the time between two heartbeats.
const heartbeatGap = 1500 * time.Millisecond

// server is a stand-in for the application server beside a node.
type server struct {
	world         *world
	node          *node
	zone, service string
	id            string
	slots         int
	born          time.Time
	http          *http.Server

	mu sync.Mutex
	// runTime is how long it works on a request.
	runTime   time.Duration
	running   int
	sequence  int
	silent    bool
	leaving   bool
	onArrival func(id string, at time.Time)
	// runs holds the ids of the requests that began to run.
	runs map[string]bool
}

func newServer(w *world, n *node, zone, service string, slots int) (*server, error) {
	s := &server{
		world: w, node: n, zone: zone, service: service, slots: slots, id: "i-" + n.name, born: time.Now(),
		runTime: 60 * time.Millisecond, runs: make(map[string]bool),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, portServer))
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	w.spawn(func() { _ = s.http.Serve(l) })
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if e := r.Header.Get(names.Instance); e != "" && e != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= 2*s.slots {
		s.mu.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs[id] = true
	work, leaving, onArrival := s.runTime, s.leaving, s.onArrival
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if onArrival != nil {
		onArrival(id, time.Now())
	}
	deadline, _ := strconv.Atoi(r.Header.Get(names.TimeLeft))
	timeout := time.After(time.Duration(deadline) * time.Millisecond)
	status := http.StatusOK
	select {
	case <-time.After(work):
	case <-timeout:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		return
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(names.Signature, "signed by "+s.id)
	w.WriteHeader(status)
	fmt.Fprintf(w, "done %s", id)
}

// beat returns the next heartbeat.
func (s *server) beat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": fmt.Sprintf("%s:%d", s.node.ip, portServer), "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": state, names.WarmUp: 0, "seq": s.sequence, "born": s.born.UnixMilli(),
	})
	return body
}

// send sends a call to the control address of the server's machine.
func (s *server) send(method string, body []byte) (int, error) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/instances/%s", s.node.ip, portControl, s.id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	answer.Body.Close()
	return answer.StatusCode, nil
}

// sendHeartbeats sends heartbeats until the server leaves or the case ends.
func (s *server) sendHeartbeats() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		// The node may be down. The next heartbeat is sent anyway.
		_, _ = s.send(http.MethodPut, s.beat("ready"))
		if !s.world.sleep(heartbeatGap) {
			return
		}
	}
}

// ran reports whether the request began to run here.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
