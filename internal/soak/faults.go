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

	"lavenderdeal/core/rendezvous"
	"lavenderdeal/internal/wait"
)

const (
	// faultInterval is the typical time between two faults; the actual time is random, from
	// 0.25 to 1.25 times as long. It is shorter than typicalDownTime, so that faults overlap.
	faultInterval = 500 * time.Millisecond
	// startupTime is how long a process may take to start. The fault that restarted it
	// counts as lasting until then.
	startupTime = 300 * time.Millisecond
	// typicalDownTime is the typical time for which a process is down or paused or a link is
	// cut; the actual time is random, from 0.25 to 1.25 times as long.
	typicalDownTime = 1500 * time.Millisecond
)

// faultLog records the injected faults with their times.
type faultLog struct {
	mu     sync.Mutex
	faults []fault
}

// fault is one injected fault.
type fault struct {
	// instance is nil when the fault can affect all instances.
	instance *instance
	// to is zero while the fault lasts.
	from, to time.Time
	what     string
	// planned is true for planned work.
	planned bool
}

// begin records a fault that lasts until the returned function is called. It affects the
// instance, or all instances if inst is nil.
func (l *faultLog) begin(inst *instance, what string, planned bool) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.faults)
	l.faults = append(l.faults, fault{instance: inst, from: time.Now(), what: what, planned: planned})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.faults[i].to = time.Now()
	}
}

// isUnaffected reports whether no fault affected the instance at any time between from
// and to.
func (l *faultLog) isUnaffected(inst *instance, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		if f.instance != nil && f.instance != inst || f.from.After(to) || !f.to.IsZero() && f.to.Before(from) {
			continue
		}
		return false
	}
	return true
}

// affected reports whether a fault was one of the instance alone.
func (l *faultLog) affected(inst *instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.faults, func(f fault) bool { return f.instance == inst })
}

// onlyPlanned reports whether all faults so far were planned work.
func (l *faultLog) onlyPlanned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.faults, func(f fault) bool { return !f.planned })
}

// String returns the faults, one per line, in the order in which they began.
func (l *faultLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, f := range l.faults {
		name := "all"
		if f.instance != nil {
			name = f.instance.name
		}
		text += fmt.Sprintf("%s to %s: %s at %s\n", f.from.Format("05.000"), f.to.Format("05.000"), f.what, name)
	}
	return text
}

// injector injects random faults into a fleet, from outside the processes.
type injector struct {
	fleet    *fleet
	faultLog *faultLog
	random   *rand.Rand
	group    errgroup.Group

	mu sync.Mutex
	// busy holds the instances whose process or server has a fault at present.
	busy map[*instance]bool
}

// run injects faults until ctx is done, and returns after all of them have ended. A
// planned run only restarts nodes and drains servers.
func (i *injector) run(ctx context.Context, planned bool) error {
	actions := []func(*instance){i.restartNode, i.drainServer, i.restartOthers}
	if !planned {
		actions = append(actions, i.killNode, i.pauseNode, i.killMost, i.delayLink, i.resetLink, i.stallLink, i.cutStoreLink, i.cutLinkOneWay, i.stopStore, i.discardStoreHistory, i.cutZone, i.crashServer)
	}
	for {
		select {
		case <-ctx.Done():
			return i.group.Wait()
		case <-time.After(faultInterval/4 + time.Duration(i.random.Int64N(int64(faultInterval)))):
		}
		actions[i.random.IntN(len(actions))](i.fleet.instances[i.random.IntN(len(i.fleet.instances))])
	}
}

// runScenario brings about the fault of a scenario after a third of a run's duration.
func (i *injector) runScenario(ctx context.Context, s Scenario, duration time.Duration) error {
	if !wait.For(ctx, duration/3) {
		return nil
	}
	switch s {
	case HomeKilled:
		i.killNode(i.homeOf(flooder.account, i.fleet.instances[0].zone))
	case ZoneCut:
		i.cutZone(i.fleet.instances[0])
	case AnyFaults:
	}
	return i.group.Wait()
}

// homeOf returns the instance that is the home of an account in a zone.
func (i *injector) homeOf(account, zone string) *instance {
	byName := make(map[string]*instance)
	var names []string
	for _, inst := range i.fleet.instances {
		if inst.zone == zone {
			byName[inst.name], names = inst, append(names, inst.name)
		}
	}
	return byName[rendezvous.Top("quota/"+account, names, 1)[0]]
}

// injectExclusive runs fn in the background, unless another fault affects the instance's
// process or server. In that case it does nothing.
func (i *injector) injectExclusive(inst *instance, fn func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[inst] {
		return
	}
	if i.busy == nil {
		i.busy = make(map[*instance]bool)
	}
	i.busy[inst] = true
	i.group.Go(func() error {
		fn()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.busy, inst)
		return nil
	})
}

// randomDownTime returns a time from 0.25 to 1.25 times typicalDownTime.
func (i *injector) randomDownTime() time.Duration {
	return typicalDownTime/4 + time.Duration(i.random.Int64N(int64(typicalDownTime)))
}

// restartNode stops the node with SIGTERM, as planned work, and starts it again. It kills
// a node that has not exited after gracePeriod.
func (i *injector) restartNode(inst *instance) {
	i.injectExclusive(inst, func() {
		defer i.faultLog.begin(inst, "SIGTERM", true)()
		inst.signal(syscall.SIGTERM)
		if !inst.wait(gracePeriod) {
			inst.signal(syscall.SIGKILL)
			inst.wait(gracePeriod)
		}
		i.fleet.startNode(inst)
		time.Sleep(startupTime)
	})
}

// restartOthers restarts all other nodes of the instance's service at the same time, so
// that their shutdowns overlap.
func (i *injector) restartOthers(inst *instance) {
	for _, other := range i.fleet.instances {
		if other.service == inst.service && other != inst {
			i.restartNode(other)
		}
	}
}

// drainServer drains and stops the backend server, as planned work, and starts another in
// its place.
func (i *injector) drainServer(inst *instance) {
	after := i.randomDownTime()
	i.injectExclusive(inst, func() {
		defer i.faultLog.begin(inst, "server drained", true)()
		inst.mu.Lock()
		s := inst.server
		inst.heartbeatsStopped = true
		inst.mu.Unlock()
		old := retiredServer{server: s}
		if status, err := s.SendHeartbeat(inst.control, "draining"); err == nil && status == http.StatusOK {
			old.acked = time.Now()
		}
		time.Sleep(drainPeriod + after/4)
		// The node may be down, so an error is ignored: the server stops anyway.
		_, _ = s.Leave(inst.control)
		inst.mu.Lock()
		inst.retired = append(inst.retired, old)
		inst.mu.Unlock()
		s.Close()
		i.fleet.startServer(inst)
	})
}

// crashServer stops the backend server without draining and starts another in its place.
func (i *injector) crashServer(inst *instance) {
	after := i.randomDownTime()
	i.injectExclusive(inst, func() {
		defer i.faultLog.begin(inst, "server crashes", false)()
		inst.mu.Lock()
		s := inst.server
		inst.heartbeatsStopped = true
		inst.retired = append(inst.retired, retiredServer{server: s})
		inst.mu.Unlock()
		s.Close()
		time.Sleep(after)
		i.fleet.startServer(inst)
	})
}

// killNode stops the node with SIGKILL and starts it again.
func (i *injector) killNode(inst *instance) {
	after := i.randomDownTime()
	i.injectExclusive(inst, func() {
		defer i.faultLog.begin(inst, "SIGKILL", false)()
		inst.signal(syscall.SIGKILL)
		inst.wait(gracePeriod)
		time.Sleep(after / 2)
		i.fleet.startNode(inst)
		time.Sleep(startupTime)
	})
}

// killMost kills about two thirds of the nodes at once. It does so in about one of three
// calls and otherwise does nothing.
func (i *injector) killMost(*instance) {
	if i.random.IntN(3) > 0 {
		return
	}
	for _, inst := range i.fleet.instances {
		if i.random.IntN(3) > 0 {
			i.killNode(inst)
		}
	}
}

// pauseNode suspends the node's process with SIGSTOP for a random time.
func (i *injector) pauseNode(inst *instance) {
	after := i.randomDownTime()
	i.injectExclusive(inst, func() {
		defer i.faultLog.begin(inst, "SIGSTOP", false)()
		inst.signal(syscall.SIGSTOP)
		time.Sleep(after)
		inst.signal(syscall.SIGCONT)
	})
}

// injectLinkFault calls begin and, after a random time, end, in the background. It records
// the fault for the instance, or for all instances if inst is nil because the fault can
// also affect other nodes.
func (i *injector) injectLinkFault(inst *instance, what string, begin, end func()) {
	after := i.randomDownTime()
	i.group.Go(func() error {
		defer i.faultLog.begin(inst, what, false)()
		begin()
		time.Sleep(after)
		end()
		return nil
	})
}

// randomLink returns the proxy of one of the instance's links.
func (i *injector) randomLink(inst *instance) *proxy {
	return []*proxy{inst.storeProxy, inst.callProxy, inst.peerProxy, inst.serverProxy}[i.random.IntN(4)]
}

// delayLink delays the data on a random link by 20 to 219 ms in each direction.
func (i *injector) delayLink(inst *instance) {
	x, d := i.randomLink(inst), time.Duration(20+i.random.IntN(200))*time.Millisecond
	i.injectLinkFault(nil, "delay", func() { x.SetFaults(linkFaults{Delay: d}) }, func() { x.SetFaults(linkFaults{}) })
}

// resetLink resets all connections of a random link.
func (i *injector) resetLink(inst *instance) {
	x := i.randomLink(inst)
	i.injectLinkFault(nil, "reset", x.Reset, func() {})
}

// stallLink makes all connections of a random link carry no more data, without closing
// them. New connections work.
func (i *injector) stallLink(inst *instance) {
	x := i.randomLink(inst)
	i.injectLinkFault(nil, "silence", x.Stall, func() {})
}

// cutLinkOneWay holds back the data in one direction of a random link.
func (i *injector) cutLinkOneWay(inst *instance) {
	x, l := i.randomLink(inst), linkFaults{CutToServer: true}
	if i.random.IntN(2) == 0 {
		l = linkFaults{CutToClient: true}
	}
	i.injectLinkFault(nil, "cut one way", func() { x.SetFaults(l) }, func() { x.SetFaults(linkFaults{}) })
}

// cutStoreLink holds back the store's responses to the node.
func (i *injector) cutStoreLink(inst *instance) {
	i.injectLinkFault(inst, "cut from the store", func() { inst.storeProxy.SetFaults(linkFaults{CutToClient: true}) }, func() { inst.storeProxy.SetFaults(linkFaults{}) })
}

// cutZone holds back all data on the links through which other nodes reach the nodes of
// the instance's zone.
func (i *injector) cutZone(inst *instance) {
	set := func(l linkFaults) {
		for _, other := range i.fleet.instances {
			if other.zone == inst.zone {
				other.callProxy.SetFaults(l)
				other.peerProxy.SetFaults(l)
			}
		}
	}
	i.injectLinkFault(nil, "zone cut", func() { set(linkFaults{CutToClient: true, CutToServer: true}) }, func() { set(linkFaults{}) })
}

// stopStore makes the store refuse requests or leave them without a response.
func (i *injector) stopStore(*instance) {
	set := i.fleet.store.SetRefusing
	if i.random.IntN(2) == 0 {
		set = i.fleet.store.SetSilent
	}
	i.injectLinkFault(nil, "store down", func() { set(true) }, func() { set(false) })
}

// discardStoreHistory makes the store forget its past events, so that watches from an
// earlier revision fail.
func (i *injector) discardStoreHistory(*instance) {
	i.injectLinkFault(nil, "store history discarded", i.fleet.store.DiscardHistory, func() {})
}
