package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFDs is the limit of descriptors of a node.
	maxFDs = 4100
	// usersPerSecond is the rate at which clients come to the examined machine in calm. Each
	// opens a connection, sends a request and leaves the connection open. crowdFactor and
	// crowdTime are the dose of a burst, crowds is their number and crowdGap the pause
	// between them.
	usersPerSecond = 32
	crowdFactor    = 1.9
	crowdTime      = 3000 * time.Millisecond
	crowds         = 18
	crowdGap       = 2 * time.Second
	connectionTime = 100 * time.Second
	// minTrying is the number of clients that must have tried in vain.
	minTrying = 7
)

// trial is a client's attempt with a new connection.
type trial struct {
	at time.Time
	// taken is set when the node answered the request.
	taken bool
}

// connectionsCase sends requests to one node, each over a new connection that the client
// leaves open.
func connectionsCase(w *world) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3*maxFDs {
		return false, fmt.Errorf("the clients need %d descriptors, the limit is %d", 3*maxFDs, limit.Cur)
	}
	b := bounds{memoryMB: 284, linkMbps: 1000, drainMs: 2000, graceS: 6}
	for _, m := range []struct{ zone, service string }{{"a", "tours"}, {"b", "tours"}, {"a", "documents"}} {
		if _, _, err := w.add(m.zone, m.service, 18, b); err != nil {
			return false, err
		}
	}
	w.store.configure([]route{
		{prefix: "/tours/", kind: "safe", service: "tours", timeoutMs: 1200, targetMs: 500},
		{prefix: "/waivers/", kind: "upload", service: "documents", timeoutMs: 2000, targetMs: 600, priority: 2},
	})
	if err := w.startAll(); err != nil {
		return false, err
	}
	n := w.nodes[0]
	if err := unix.Prlimit(n.pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFDs, Max: maxFDs}, nil); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var trials []trial
	var open []net.Conn
	var closedByNode atomic.Int64
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}()
	var group sync.WaitGroup
	user := func() {
		group.Go(func() {
			t := trial{at: time.Now()}
			id := newID()
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, portCaller), time.Second)
			if err == nil {
				_ = conn.SetDeadline(t.at.Add(1200 * time.Millisecond))
				var answer *http.Response
				fmt.Fprintf(conn, "GET /tours/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1200\r\n\r\n", id, host, names.RequestID, id, names.TimeLeft)
				if answer, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					t.taken = true
					answer.Body.Close()
				}
			}
			mu.Lock()
			trials = append(trials, t)
			if err == nil {
				open = append(open, conn)
			}
			mu.Unlock()
			if err != nil {
				w.logf("request %s over a new connection: %v", id, err)
				if conn != nil {
					_ = conn.Close()
				}
				return
			}
			// The client leaves the connection open until the node closes it.
			_ = conn.SetDeadline(time.Time{})
			w.spawn(func() {
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					closedByNode.Add(1)
				}
			})
		})
	}
	// The platform asks over one kept connection whether the node is ready.
	var readyMu sync.Mutex
	var readyAt []time.Time
	platform := &http.Client{Timeout: time.Second}
	end := time.Now().Add(connectionTime)
	group.Go(func() {
		for time.Now().Before(end) {
			if answer, err := platform.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, portReady)); err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					readyMu.Lock()
					readyAt = append(readyAt, time.Now())
					readyMu.Unlock()
				}
			}
			w.sleep(readinessGap)
		}
	})
	group.Go(func() {
		w.sleep(10 * time.Second)
		for range crowds {
			if !w.trouble || time.Now().After(end) {
				return
			}
			w.logf("burst: %g times the clients for %s", crowdFactor, crowdTime)
			extra := time.Second * 10 / (usersPerSecond * (10*crowdFactor - 10))
			for over := time.Now().Add(crowdTime); time.Now().Before(over); w.sleep(extra) {
				user()
			}
			w.sleep(crowdGap)
		}
	})
	steady := time.NewTicker(time.Second / usersPerSecond)
	defer steady.Stop()
	report := time.Now()
	for time.Now().Before(end) {
		<-steady.C
		user()
		if time.Since(report) > 5*time.Second {
			report = time.Now()
			w.logf("%s has %d descriptors of %d; it has closed %d connections of clients", n.name, n.descriptors(), maxFDs, closedByNode.Load())
		}
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	readyMu.Lock()
	defer readyMu.Unlock()
	return untaken(w, trials, readyAt), nil
}

// untaken reports whether there was a time of stableWindow in which at least minTrying
// clients tried, none was served, and the node said that it is ready.
func untaken(w *world, trials []trial, readyAt []time.Time) bool {
	longest, most := time.Duration(0), 0
	for _, first := range trials {
		end, tried := first.at.Add(time.Hour), 0
		for _, t := range trials {
			if t.taken && !t.at.Before(first.at) && t.at.Before(end) {
				end = t.at
			}
		}
		last := first.at
		for _, t := range trials {
			if !t.at.Before(first.at) && t.at.Before(end) {
				tried++
				if t.at.After(last) {
					last = t.at
				}
			}
		}
		ready := 0
		for _, at := range readyAt {
			if at.After(first.at) && at.Before(last) {
				ready++
			}
		}
		if d := last.Sub(first.at); ready >= 2 && d > longest {
			longest, most = d, tried
		}
	}
	w.logf("longest time in which the node said it is ready and took no new connection: %s, with %d clients; allowed are %s or %d clients", longest.Round(time.Millisecond), most, stableWindow, minTrying-1)
	return longest > stableWindow && most >= minTrying
}
