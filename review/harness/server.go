package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots = 18
	serverQueue = 72
	healthTime  = 6 * time.Millisecond
	coldTime    = 3 * time.Second
	beatTime    = 1500 * time.Millisecond
	idleTime    = 10 * time.Second
	// acknowledgeTime is how long a leaving server waits for the acknowledgement.
	acknowledgeTime = 5 * time.Second
	// crashPath is the path of the request that crashes each server that begins to run it.
	crashPath = "crash"
)

// server is a stand-in for the application server of one machine. It has several incarnations.
type server struct {
	f       *fleet
	service string
	addr    netip.AddrPort
	control netip.AddrPort
	zone    string
	work    time.Duration
	// onRun is called as a request begins to run, if it is not nil, and crashes the server if it
	// returns true.
	onRun func(r *http.Request) bool
	// downTime is how long a crashed server is away.
	downTime time.Duration
	// keepsID is set if all incarnations have the same id.
	keepsID bool

	mu sync.Mutex
	// clock is by how much the machine's time of day is ahead of the true time.
	clock time.Duration
	// run is the present incarnation, or nil while the server is down.
	run   *incarnation
	count int
}

// incarnation is one start of a server.
type incarnation struct {
	s       *server
	id      string
	started time.Time
	// born is started by the machine's time of day.
	born     time.Time
	http     *http.Server
	listener net.Listener
	slots    chan struct{}
	queued   chan struct{}
	done     context.Context
	end      context.CancelFunc
	seq      int

	// leaving is closed as the server begins to leave, and acknowledged as a node has acknowledged that.
	leaving, acknowledged chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// id returns the id of the last incarnation.
func (s *server) id() string {
	return fmt.Sprintf("i-%s-%d", strings.ReplaceAll(s.addr.Addr().String(), ".", "-"), s.count)
}

// start starts a new incarnation.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 || !s.keepsID {
		s.count++
	}
	now := time.Now()
	i := &incarnation{
		s: s, id: s.id(),
		started: now, born: now.Add(s.clock), listener: l, leaving: make(chan struct{}), acknowledged: make(chan struct{}),
		slots: make(chan struct{}, serverSlots), queued: make(chan struct{}, serverQueue), conns: make(map[net.Conn]bool),
	}
	i.done, i.end = context.WithCancel(context.Background())
	i.http = &http.Server{Handler: i, IdleTimeout: idleTime, ConnState: i.connState}
	s.run = i
	s.f.note("server %s starts as %s, born %d", s.addr, i.id, i.born.UnixMilli())
	go func() { _ = i.http.Serve(l) }()
	go i.beat()
	return nil
}

func (i *incarnation) connState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, c)
	}
}

// setClock lets the machine's time of day jump.
func (s *server) setClock(ahead time.Duration) {
	s.f.note("the time of day at server %s is %s ahead", s.addr, ahead)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = ahead
}

// crash ends the incarnation as a crash of the process does, and starts the next one later.
func (s *server) crash(why string) {
	if !s.end("crashes: " + why) {
		return
	}
	time.AfterFunc(s.downTime, func() {
		if s.f.ctx.Err() == nil {
			if err := s.start(); err != nil {
				s.f.note("server %s cannot start: %v", s.addr, err)
			}
		}
	})
}

// leave lets the incarnation leave as planned: it reports that it is draining, serves for a time after
// the acknowledgement, and exits. It returns when the acknowledgement came, or false if there was none.
func (s *server) leave(serve time.Duration) (time.Time, bool) {
	s.mu.Lock()
	i := s.run
	s.mu.Unlock()
	s.f.note("server %s leaves", i.id)
	close(i.leaving)
	select {
	case <-i.acknowledged:
	case <-time.After(acknowledgeTime):
		s.end("exits without an acknowledgement")
		return time.Time{}, false
	}
	at := time.Now()
	s.f.note("the leaving of server %s is acknowledged", i.id)
	time.Sleep(serve)
	i.call(http.MethodDelete, nil)
	s.end("exits")
	return at, true
}

// end ends the incarnation with all its connections, if there is one.
func (s *server) end(why string) bool {
	s.mu.Lock()
	i := s.run
	s.run = nil
	s.mu.Unlock()
	if i == nil {
		return false
	}
	s.f.note("server %s %s", i.id, why)
	i.end()
	_ = i.listener.Close()
	i.mu.Lock()
	for c := range i.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	i.mu.Unlock()
	_ = i.http.Close()
	return true
}

// beat sends heartbeats until the incarnation ends.
func (i *incarnation) beat() {
	leaving, acknowledged := i.leaving, false
	for i.done.Err() == nil && i.s.f.ctx.Err() == nil {
		state := "ready"
		if leaving == nil {
			state = "draining"
		}
		if i.sendBeat(state) && leaving == nil && !acknowledged {
			acknowledged = true
			close(i.acknowledged)
		}
		select {
		case <-i.done.Done():
		case <-leaving:
			leaving = nil
		case <-time.After(beatTime):
		}
	}
}

// sendBeat sends a heartbeat, and reports whether it was acknowledged.
func (i *incarnation) sendBeat(state string) bool {
	i.seq++
	body, err := json.Marshal(map[string]any{
		"service": i.s.service, "address": i.s.addr.String(), "zone": i.s.zone, "version": "v1", "slots": serverSlots, "state": state,
		names.Cold: max(0, (coldTime - time.Since(i.started)).Milliseconds()), "seq": i.seq, "born": i.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	ok := i.call(http.MethodPut, body)
	i.s.f.note("heartbeat %d of server %s: %s, acknowledged %t", i.seq, i.id, state, ok)
	return ok
}

// call makes a call to the node, and reports whether it was acknowledged.
func (i *incarnation) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(i.done, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.s.control.String()+"/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, 4<<10))
	return err == nil && answer.StatusCode/100 == 2
}

func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	if id != "" {
		w.Header().Set(names.RequestID, id)
	}
	isLeaving := false
	select {
	case <-i.leaving:
		isLeaving = true
		w.Header().Set("Connection", "close")
	default:
	}
	isHealth := r.URL.Path == "/health"
	if expected := r.Header.Get(names.Expected); expected != "" && expected != i.id {
		w.Header().Set("Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !isHealth && id == "" {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get(names.Deadline), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case i.queued <- struct{}{}:
	default:
		i.refuse(w)
		return
	}
	select {
	case i.slots <- struct{}{}:
		<-i.queued
	case <-ctx.Done():
		<-i.queued
		i.refuse(w)
		return
	}
	defer func() { <-i.slots }()
	if isHealth {
		time.Sleep(healthTime)
		w.Header().Set("Instance-Id", i.id)
		if isLeaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	i.s.f.ran(i, r)
	if i.s.onRun != nil && i.s.onRun(r) {
		i.s.crash("request " + id)
		panic(http.ErrAbortHandler)
	}
	work := i.s.work
	if time.Since(i.started) < coldTime {
		work *= 2
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			return
		}
		w.Header().Set(names.Signature, "s."+i.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-i.done.Done():
		i.s.f.mu.Lock()
		i.s.f.lost[id] = true
		i.s.f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Signature, "s."+i.id+"."+id)
	fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, i.id)
}

func (i *incarnation) refuse(w http.ResponseWriter) {
	w.Header().Set(names.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
