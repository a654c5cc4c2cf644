package main

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadBytes is the size of each upload. The limit is maxBodyBytes.
	uploadBytes = 13 << 20
	// uploadsPerSecond is the rate at the examined machine in calm, burstFactor and
	// burstTime are the dose of the burst.
	uploadsPerSecond = 4
	burstFactor      = 2.3
	burstTime        = 6100 * time.Millisecond
	uploadDeadline   = 2000 * time.Millisecond
	// readers is the number of clients that send one short request after the other over a
	// kept connection.
	readers = 8
)

// memoryCase sends uploads to one node: at a steady rate, then as a burst in which clients
// come at once. The platform kills a process that uses more than memory_mb.
func memoryCase(w *world) (bool, error) {
	b := bounds{memoryMB: 134, linkMbps: 1000, drainMs: 2000, graceS: 6}
	for _, m := range []struct{ zone, service string }{{"a", "tours"}, {"b", "tours"}, {"a", "documents"}, {"b", "documents"}} {
		_, s, err := w.add(m.zone, m.service, 12, b)
		if err != nil {
			return false, err
		}
		if m.service == "tours" {
			s.runTime = 150 * time.Millisecond
		} else {
			s.runTime = 72 * time.Millisecond
		}
	}
	w.store.configure([]route{
		{prefix: "/tours/", kind: "safe", service: "tours", timeoutMs: 1200, targetMs: 200},
		{prefix: "/waivers/", kind: "upload", service: "documents", timeoutMs: 2000, targetMs: 600, priority: 2},
	})
	if err := w.startAll(); err != nil {
		return false, err
	}
	n := w.nodes[0]
	for _, node := range w.nodes {
		w.spawn(node.enforceMemory)
	}
	link := &pacer{bytesPerSecond: float64(b.linkMbps) * 1e6 / 8}
	body := make([]byte, uploadBytes)
	var lost, served, failed, reads atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for range readers {
		group.Go(func() {
			c := &client{node: n}
			defer c.close()
			for time.Now().Before(end) {
				id := newID()
				o := c.do(id, http.MethodGet, "/tours/"+id, nil, 1200*time.Millisecond, nil)
				reads.Add(1)
				if o.err != nil {
					ran := w.ran(id)
					w.logf("read %s: %v, kept connection %v, run by a server %v", id, o.err, o.kept, ran)
					if o.closed && o.kept && ran {
						lost.Add(1)
					}
					w.sleep(100 * time.Millisecond)
				}
			}
		})
	}
	upload := func() {
		group.Go(func() {
			c := &client{node: n}
			defer c.close()
			id := newID()
			o := c.do(id, http.MethodPost, "/waivers/"+id, body, uploadDeadline, link)
			ran := w.ran(id)
			w.logf("upload %s of %d bytes: status %d, error %v, run %v", id, len(body), o.status, o.err, ran)
			if o.status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	steady := time.NewTicker(time.Second / uploadsPerSecond)
	defer steady.Stop()
	burst := make(chan struct{})
	group.Go(func() {
		defer close(burst)
		if !w.trouble {
			return
		}
		w.sleep(10 * time.Second)
		w.logf("burst: %g times the uploads for %s", burstFactor, burstTime)
		// Over two seconds, the steady rate has 8 uploads and the burst 18, so 10 more come
		// at once.
		extra := (burstFactor - 1) * uploadsPerSecond * 2
		for began := time.Now(); time.Since(began) < burstTime-time.Second; w.sleep(2 * time.Second) {
			for range int(extra) {
				upload()
			}
		}
		w.logf("burst: over")
	})
	for time.Now().Before(end) {
		<-steady.C
		upload()
	}
	group.Wait()
	for _, node := range w.nodes {
		w.logf("%s: most anonymous memory %.0f MiB of %d", node.name, node.peak(), b.memoryMB)
	}
	w.logf("uploads: %d served, %d not; reads: %d", served.Load(), failed.Load(), reads.Load())
	w.logf("requests from kept connections that were passed on to a sound server and got no answer: %d, allowed are 3", lost.Load())
	return lost.Load() > 3, nil
}

// ran reports whether the request began to run at any server.
func (w *world) ran(id string) bool {
	return slices.ContainsFunc(w.servers, func(s *server) bool { return s.ran(id) })
}
