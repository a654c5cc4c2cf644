package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outage is how long the store is silent, and downTime how long killed processes are
	// down.
	outage   = 4500 * time.Millisecond
	downTime = 1 * time.Second
	// beatDelay is how late the delayed heartbeat is.
	beatDelay = 4 * time.Second
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// leaveTime is how long the leaving server serves after the acknowledgement.
	leaveTime = 14 * time.Second
)

// arrival is a request that reached the leaving server.
type arrival struct {
	id string
	at time.Time
}

// leaveCase lets a server announce that it leaves, while the store is down. Then all
// processes are killed. A heartbeat that the server sent before it announced that arrives
// late, at the next process.
func leaveCase(w *world) (bool, error) {
	b := bounds{memoryMB: 284, linkMbps: 1000, drainMs: 2000, graceS: 6}
	for _, m := range []struct{ zone, service string }{{"a", "stock"}, {"b", "stock"}, {"a", "ledger"}, {"b", "ledger"}} {
		_, s, err := w.add(m.zone, m.service, 18, b)
		if err != nil {
			return false, err
		}
		s.runTime = 160 * time.Millisecond
	}
	w.store.configure([]route{
		{prefix: "/stock/", kind: "safe", service: "stock", timeoutMs: 1200, targetMs: 500},
		{prefix: "/order/", kind: "unsafe", service: "stock", timeoutMs: 1500, targetMs: 600, priority: 1},
	})
	if err := w.startAll(); err != nil {
		return false, err
	}
	leaving := w.servers[0]
	var mu sync.Mutex
	var arrivals []arrival
	sent := make(map[string]time.Time)
	leaving.mu.Lock()
	leaving.onArrival = func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{id, at})
	}
	leaving.mu.Unlock()

	var group sync.WaitGroup
	var stop atomic.Bool
	var cut atomic.Int64
	for i := range 8 {
		n := w.nodes[2+i%2]
		group.Go(func() {
			c := &client{node: n}
			defer c.close()
			for !stop.Load() {
				id, method, path := newID(), http.MethodGet, "/stock/"
				if i >= 4 {
					method, path = http.MethodPost, "/order/"
				}
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				o := c.do(id, method, path+id, []byte("order " + id)[:len("order "+id)*(i/4)], 1200*time.Millisecond, nil)
				ran := leaving.ran(id)
				if ran && o.status != http.StatusOK {
					cut.Add(1)
				}
				if ran && o.status != http.StatusOK || o.err != nil {
					w.logf("%s %s at %s: status %d, error %v, ran at the leaving server %v", method, id, n.name, o.status, o.err, ran)
				}
				w.sleep(50 * time.Millisecond)
			}
		})
	}
	w.sleep(time.Second)

	if w.trouble {
		w.store.setDown(true)
	}
	began := time.Now()
	w.sleep(300 * time.Millisecond)
	delayed := leaving.beat("ready")
	w.logf("%s sends a heartbeat, which is delayed: %s", leaving.id, delayed)
	w.sleep(100 * time.Millisecond)
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	status, err := leaving.send(http.MethodDelete, nil)
	acked := time.Now()
	w.logf("%s sends DELETE /instances/%s: status %d, error %v", leaving.id, leaving.id, status, err)
	if status != http.StatusOK {
		return false, err
	}
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	w.sleep(500 * time.Millisecond)
	if w.trouble {
		w.logf("all processes are killed")
		var kills sync.WaitGroup
		for _, n := range w.nodes {
			kills.Go(n.kill)
		}
		kills.Wait()
		w.sleep(downTime)
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return false, err
			}
		}
		w.logf("all processes are started again")
	}
	w.sleep(time.Until(began.Add(300*time.Millisecond + beatDelay)))
	status, err = leaving.send(http.MethodPut, delayed)
	w.logf("the delayed heartbeat of %s arrives: status %d, error %v", leaving.id, status, err)
	w.sleep(time.Until(began.Add(outage)))
	up := began
	if w.trouble {
		w.store.setDown(false)
		up = time.Now()
	}
	inTouch := up.Add(stableWindow)
	for _, n := range w.nodes {
		if at := n.runsSince().Add(stableWindow); at.After(inTouch) {
			inTouch = at
		}
	}
	w.logf("all machines are in touch from %.3f", inTouch.Sub(w.started).Seconds())
	w.sleep(time.Until(acked.Add(leaveTime)))
	w.logf("%s ends, %s after the acknowledgement", leaving.id, leaveTime)
	leaving.close()
	w.sleep(3 * time.Second)
	stop.Store(true)
	group.Wait()

	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if a.at.Before(acked.Add(drainTime)) {
			continue
		}
		counts := sent[a.id].After(inTouch)
		w.logf("request %s, sent at %.3f, reaches %s %s after the acknowledgement; counts: %v", a.id, sent[a.id].Sub(w.started).Seconds(), leaving.id, a.at.Sub(acked).Round(time.Millisecond), counts)
		if counts {
			late++
		}
	}
	w.logf("requests of machines in touch that reached the server later than drain_ms after the acknowledgement: %d, allowed are 0", late)
	w.logf("requests that ran at the leaving server and were not answered with success: %d", cut.Load())
	return late > 0, nil
}
