package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// portLink is the port of the proxy on the link from other nodes to a node.
	portLink = 7610
	// photoBytes is the size of an upload. The largest of the sheet has 360 kB.
	photoBytes = 300 << 10
	// silences is how often connections go silent, silenceGap the time between, and
	// silentShare the share of the open connections of the machine.
	silences    = 5
	silenceGap  = 2 * time.Second
	silentShare = 0.55
	// calmTime is the time before the first.
	calmTime = time.Second
	// photosPerSecond and readsPerSecond are the rates of requests of all clients.
	photosPerSecond = 36
	readsPerSecond  = 60
	linkTime        = 100 * time.Second
)

// link is a proxy that carries the requests of other nodes to a node at the speed of the
// node's link. Open connections may go silent for good, while new ones work.
type link struct {
	world    *world
	listener net.Listener
	target   string
	pace     *pacer

	mu    sync.Mutex
	conns map[*pair]bool
}

// pair is a connection through the proxy.
type pair struct {
	from, to net.Conn
	silent   atomic.Bool
}

func newLink(w *world, n *node) (*link, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, portLink))
	if err != nil {
		return nil, err
	}
	x := &link{
		world: w, listener: l, target: fmt.Sprintf("%s:%d", n.ip, portCall), conns: make(map[*pair]bool),
		pace: &pacer{bytesPerSecond: float64(n.bounds.linkMbps) * 1e6 / 8},
	}
	w.spawn(x.serve)
	w.spawn(func() {
		<-w.done
		_ = l.Close()
		x.mu.Lock()
		defer x.mu.Unlock()
		for p := range x.conns {
			_ = p.from.Close()
			_ = p.to.Close()
		}
	})
	return x, nil
}

func (x *link) serve() {
	for {
		from, err := x.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", x.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p := &pair{from: from, to: to}
		x.mu.Lock()
		x.conns[p] = true
		x.mu.Unlock()
		x.world.spawn(func() { x.carry(p, p.to, p.from, x.pace) })
		x.world.spawn(func() { x.carry(p, p.from, p.to, nil) })
	}
}

// carry copies one direction until it ends. The end is carried too, unless the connection
// has gone silent.
func (x *link) carry(p *pair, to io.Writer, from io.Reader, pace *pacer) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
			return
		}
		if n > 0 {
			err = pace.write(to, buf[:n])
			if p.silent.Load() {
				return
			}
		}
		if err != nil {
			_ = p.from.Close()
			_ = p.to.Close()
			x.mu.Lock()
			delete(x.conns, p)
			x.mu.Unlock()
			return
		}
	}
}

// silence makes a share of the open connections silent.
func (x *link) silence(share float64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for p := range x.conns {
		if !p.silent.Load() && rand.Float64() < share {
			p.silent.Store(true)
			n++
		}
	}
	return n
}

// linkCase lets connections between nodes go silent while uploads are on them.
func linkCase(w *world) (bool, error) {
	b := bounds{memoryMB: 284, linkMbps: 50, drainMs: 2000, graceS: 6}
	var links []*link
	for _, m := range []struct{ zone, service string }{{"a", "stock"}, {"b", "stock"}, {"c", "stock"}, {"a", "fieldwork"}, {"b", "fieldwork"}} {
		n, s, err := w.add(m.zone, m.service, 18, b)
		if err != nil {
			return false, err
		}
		s.runTime = 160 * time.Millisecond
		if m.service != "fieldwork" {
			continue
		}
		x, err := newLink(w, n)
		if err != nil {
			return false, err
		}
		links = append(links, x)
		f, err := os.OpenFile(n.settings, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return false, err
		}
		fmt.Fprintf(f, "announce: {call: \"%s:%d\"}\n", n.ip, portLink)
		if err := f.Close(); err != nil {
			return false, err
		}
	}
	w.store.configure([]route{
		{prefix: "/stock/", kind: "safe", service: "stock", timeoutMs: 1200, targetMs: 500},
		{prefix: "/photos/", kind: "upload", service: "fieldwork", timeoutMs: 2000, targetMs: 1000, priority: 2},
	})
	if err := w.startAll(); err != nil {
		return false, err
	}
	var uploads, uploadsServed, reads, readsServed, lateUploads, lateServed atomic.Int64
	began := time.Now()
	end := began.Add(linkTime)
	over := began.Add(calmTime + silences*silenceGap + stableWindow)
	body := make([]byte, photoBytes)
	var group sync.WaitGroup
	// every calls fn at random moments with a mean rate, with the clients' nodes in turn.
	every := func(perSecond float64, fn func(*node)) {
		group.Go(func() {
			next := time.Now()
			for i := 0; time.Now().Before(end); i++ {
				group.Go(func() { fn(w.nodes[i%3]) })
				next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
				w.sleep(time.Until(next))
			}
		})
	}
	every(photosPerSecond, func(n *node) {
		c := &client{node: n}
		defer c.close()
		id, at := newID(), time.Now()
		o := c.do(id, http.MethodPost, "/photos/"+id, body, 2*time.Second, nil)
		uploads.Add(1)
		served := o.status == http.StatusOK && o.signed
		if served {
			uploadsServed.Add(1)
		}
		if at.After(over) {
			lateUploads.Add(1)
			if served {
				lateServed.Add(1)
			}
		}
		if !served {
			w.logf("upload %s at %s: status %d %q, error %v, after %s", id, n.name, o.status, o.text, o.err, time.Since(at).Round(time.Millisecond))
		}
	})
	every(readsPerSecond, func(n *node) {
		c := &client{node: n}
		defer c.close()
		id := newID()
		o := c.do(id, http.MethodGet, "/stock/"+id, nil, 1200*time.Millisecond, nil)
		reads.Add(1)
		if o.status == http.StatusOK && o.signed {
			readsServed.Add(1)
		}
	})
	w.sleep(calmTime)
	for range silences {
		for i, x := range links {
			if w.trouble {
				w.logf("%d open connections to %s go silent", x.silence(silentShare), w.nodes[3+i].name)
			}
		}
		w.sleep(silenceGap)
	}
	w.logf("the last connections have gone silent; all machines are in touch from %.3f", over.Sub(w.started).Seconds())
	group.Wait()
	uploadShare := float64(uploadsServed.Load()) / float64(uploads.Load())
	allShare := float64(uploadsServed.Load()+readsServed.Load()) / float64(uploads.Load()+reads.Load())
	w.logf("uploads served in the whole run: %d of %d; all requests: %.3f", uploadsServed.Load(), uploads.Load(), allShare)
	w.logf("uploads served of those sent while all machines are in touch: %d of %d", lateServed.Load(), lateUploads.Load())
	w.logf("share of uploads / share of all requests: %.3f, allowed is 0.25 or more", uploadShare/allShare)
	return uploadShare < allShare/4, nil
}
