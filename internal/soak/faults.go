package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// faultEvery is the usual time between two faults: several overlap.
	faultEvery = 500 * time.Millisecond
	// startTime is how long a process may take to start.
	startTime = 300 * time.Millisecond
	// downTime is the usual time for which something is down, paused or cut.
	downTime = 1500 * time.Millisecond
)

// harm remembers when what was harmed.
type harm struct {
	mu    sync.Mutex
	spans []span
}

type span struct {
	// place is nil when all are harmed.
	place    *place
	from, to time.Time
	what     string
	planned  bool
}

// begin notes a fault that lasts until the returned function is called.
func (h *harm) begin(p *place, what string, planned bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.spans)
	h.spans = append(h.spans, span{place: p, from: time.Now(), what: what, planned: planned})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.spans[i].to = time.Now()
	}
}

// isCalm says whether nothing harmed a place, or all, in a span of time.
func (h *harm) isCalm(p *place, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if s.place != nil && s.place != p || s.from.After(to) || !s.to.IsZero() && s.to.Before(from) {
			continue
		}
		return false
	}
	return true
}

// isPlanned says whether nothing but planned work has happened.
func (h *harm) isPlanned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.spans, func(s span) bool { return !s.planned })
}

func (h *harm) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := ""
	for _, s := range h.spans {
		name := "all"
		if s.place != nil {
			name = s.place.name
		}
		text += fmt.Sprintf("%s to %s: %s at %s\n", s.from.Format("05.000"), s.to.Format("05.000"), s.what, name)
	}
	return text
}

// injector brings about faults from outside the processes.
type injector struct {
	fleet  *fleet
	harm   *harm
	random *rand.Rand
	group  errgroup.Group
	// busy holds the places whose process or server something happens to.
	mu   sync.Mutex
	busy map[*place]bool
}

// run brings about faults until ctx ends, and then heals all of them. A planned
// run has only stops of nodes and servers.
func (i *injector) run(ctx context.Context, planned bool) error {
	faults := []func(*place){i.term, i.leave, i.rollTerm}
	if !planned {
		faults = append(faults, i.kill, i.pause, i.herd, i.delay, i.reset, i.silence, i.cutStore, i.cutOneWay, i.storeDown, i.storeForgets, i.cutZone, i.endServer)
	}
	for {
		select {
		case <-ctx.Done():
			return i.group.Wait()
		case <-time.After(faultEvery/4 + time.Duration(i.random.Int64N(int64(faultEvery)))):
		}
		faults[i.random.IntN(len(faults))](i.fleet.places[i.random.IntN(len(i.fleet.places))])
	}
}

// take runs fn while nothing else happens to the place's process or server. It
// does nothing when something does.
func (i *injector) take(p *place, fn func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[p] {
		return
	}
	if i.busy == nil {
		i.busy = make(map[*place]bool)
	}
	i.busy[p] = true
	i.group.Go(func() error {
		fn()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.busy, p)
		return nil
	})
}

func (i *injector) downFor() time.Duration {
	return downTime/4 + time.Duration(i.random.Int64N(int64(downTime)))
}

// term stops the node as planned work and starts it again.
func (i *injector) term(p *place) {
	i.take(p, func() {
		defer i.harm.begin(p, "SIGTERM", true)()
		p.signal(syscall.SIGTERM)
		if !p.wait(grace) {
			p.signal(syscall.SIGKILL)
			p.wait(grace)
		}
		i.fleet.run(p)
		time.Sleep(startTime)
	})
}

// rollTerm stops nodes in quick succession, so that their ends overlap.
func (i *injector) rollTerm(p *place) {
	for _, other := range i.fleet.places {
		if other.service == p.service && other != p {
			i.term(other)
		}
	}
}

// leave has the server leave as planned work, and puts another in its place.
func (i *injector) leave(p *place) {
	after := i.downFor()
	i.take(p, func() {
		defer i.harm.begin(p, "server leaves", true)()
		p.mu.Lock()
		s := p.server
		p.leaving = true
		p.mu.Unlock()
		gone := retired{server: s}
		if status, err := s.SendHeartbeat(p.control, "draining"); err == nil && status == http.StatusOK {
			gone.acked = time.Now()
		}
		time.Sleep(drain + after/4)
		// The last message may find no node: the server ends all the same.
		_, _ = s.Leave(p.control)
		p.mu.Lock()
		p.retired = append(p.retired, gone)
		p.mu.Unlock()
		s.Close()
		i.fleet.replace(p)
	})
}

// endServer crashes the server; another one starts at its address.
func (i *injector) endServer(p *place) {
	after := i.downFor()
	i.take(p, func() {
		defer i.harm.begin(p, "server crashes", false)()
		p.mu.Lock()
		s := p.server
		p.leaving = true
		p.retired = append(p.retired, retired{server: s})
		p.mu.Unlock()
		s.Close()
		time.Sleep(after)
		i.fleet.replace(p)
	})
}

// kill ends the node's process at once and starts it again.
func (i *injector) kill(p *place) {
	after := i.downFor()
	i.take(p, func() {
		defer i.harm.begin(p, "SIGKILL", false)()
		p.signal(syscall.SIGKILL)
		p.wait(grace)
		time.Sleep(after / 2)
		i.fleet.run(p)
		time.Sleep(startTime)
	})
}

// herd kills most nodes at once.
func (i *injector) herd(*place) {
	if i.random.IntN(3) > 0 {
		return
	}
	for _, p := range i.fleet.places {
		if i.random.IntN(3) > 0 {
			i.kill(p)
		}
	}
}

// pause stops the process for a time.
func (i *injector) pause(p *place) {
	after := i.downFor()
	i.take(p, func() {
		defer i.harm.begin(p, "SIGSTOP", false)()
		p.signal(syscall.SIGSTOP)
		time.Sleep(after)
		p.signal(syscall.SIGCONT)
	})
}

// during harms links for a time.
func (i *injector) during(p *place, what string, begin, end func()) {
	after := i.downFor()
	i.group.Go(func() error {
		defer i.harm.begin(p, what, false)()
		begin()
		time.Sleep(after)
		end()
		return nil
	})
}

func (i *injector) link(p *place) *proxy {
	return []*proxy{p.store, p.call, p.peer, p.app}[i.random.IntN(4)]
}

func (i *injector) delay(p *place) {
	x, d := i.link(p), time.Duration(20+i.random.IntN(200))*time.Millisecond
	i.during(nil, "delay", func() { x.SetLink(link{Delay: d}) }, func() { x.SetLink(link{}) })
}

func (i *injector) reset(p *place) {
	x := i.link(p)
	i.during(nil, "reset", x.Reset, func() {})
}

func (i *injector) silence(p *place) {
	x := i.link(p)
	i.during(nil, "silence", x.Silence, func() {})
}

func (i *injector) cutOneWay(p *place) {
	x, l := i.link(p), link{CutToServer: true}
	if i.random.IntN(2) == 0 {
		l = link{CutToClient: true}
	}
	i.during(nil, "cut one way", func() { x.SetLink(l) }, func() { x.SetLink(link{}) })
}

func (i *injector) cutStore(p *place) {
	i.during(p, "cut from the store", func() { p.store.SetLink(link{CutToClient: true}) }, func() { p.store.SetLink(link{}) })
}

// cutZone cuts the links to the nodes of a zone.
func (i *injector) cutZone(p *place) {
	set := func(l link) {
		for _, other := range i.fleet.places {
			if other.zone == p.zone {
				other.call.SetLink(l)
				other.peer.SetLink(l)
			}
		}
	}
	i.during(nil, "zone cut", func() { set(link{CutToClient: true, CutToServer: true}) }, func() { set(link{}) })
}

func (i *injector) storeDown(*place) {
	set := i.fleet.store.SetRefusing
	if i.random.IntN(2) == 0 {
		set = i.fleet.store.SetSilent
	}
	i.during(nil, "store down", func() { set(true) }, func() { set(false) })
}

func (i *injector) storeForgets(*place) {
	i.during(nil, "store forgets", i.fleet.store.DiscardHistory, func() {})
}
