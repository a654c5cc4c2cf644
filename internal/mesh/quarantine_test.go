package mesh_test

import (
	"net/http"
	"testing"
)

// poison is the path of a request that crashes each server that runs it.
const poison = "/stock/poison"

// addCrashing adds a node whose server of availability crashes when it runs the poison.
func (f *fleet) addCrashing(zone string) *member {
	m := f.add(zone, "availability", 4)
	m.server.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == poison {
			go m.server.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		return false
	})
	return m
}

// poisonRuns returns how often the servers of the nodes have run the poison.
func poisonRuns(nodes ...*member) int {
	n := 0
	for _, m := range nodes {
		for _, r := range m.server.Runs() {
			if r.URI == poison {
				n++
			}
		}
	}
	return n
}

// newPoisoned starts a node beside a server of bookings, and four beside servers of
// availability, of which two or three have crashed so that the poison is in quarantine there.
// The last node is the only one of its zone, and its server sends its first heartbeat after the
// crashes. The settings of that node are changed by the function before it starts.
func newPoisoned(t *testing.T, change func(*member)) (f *fleet, near, last *member) {
	f = newFleet(t)
	near = f.add("a", "bookings", 4)
	near.sendHeartbeat(t, "ready")
	last = f.addCrashing("c")
	if change != nil {
		f.kill(last)
		change(last)
		f.start(last)
	}
	var others []*member
	for range 3 {
		m := f.addCrashing("a")
		m.sendHeartbeat(t, "ready")
		others = append(others, m)
	}
	for _, m := range f.nodes {
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == len(f.nodes) })
	}
	f.waitServed(near, "/stock/1")
	f.eventually("the poison is in quarantine", func() bool {
		_, _ = f.call(near, http.MethodGet, poison, "")
		for _, m := range others {
			f.eventually("each crash is known", func() bool { return m.lines.Totals()["serverCrashed"] >= uint64(poisonRuns(others...)) })
		}
		return others[0].lines.Totals()["requestQuarantined"] > 0
	})
	last.sendHeartbeat(t, "ready")
	return f, near, last
}

// restart ends a node and starts another process of it beside its running server.
func (f *fleet) restart(m *member) {
	f.t.Helper()
	f.kill(m)
	f.start(m)
	m.sendHeartbeat(f.t, "ready")
}

// assertQuarantine sends the poison to nodes and fails the test if one does not refuse it at
// once, or if a server runs it.
func (f *fleet) assertQuarantine(nodes ...*member) {
	f.t.Helper()
	before := poisonRuns(f.nodes...)
	for _, m := range nodes {
		for range 10 {
			a, err := f.call(m, http.MethodGet, poison, "")
			assertRefusal(f.t, a, err)
		}
	}
	if n := poisonRuns(f.nodes...) - before; n > 0 {
		f.t.Fatalf("%d servers crashed after the quarantine, want none", n)
	}
}

// Guards against a request that crashes servers again and again although nodes refuse it
// (BUDGET): a process that has not received the reports of the crashes runs it.
func TestQuarantineAtOtherProcesses(t *testing.T) {
	t.Run("a node was restarted", func(t *testing.T) {
		t.Parallel()
		f, _, last := newPoisoned(t, nil)
		f.restart(last)
		f.waitServed(last, "/stock/1")
		f.assertQuarantine(last)
	})
	t.Run("a node was added", func(t *testing.T) {
		t.Parallel()
		f, _, _ := newPoisoned(t, nil)
		added := f.addCrashing("d")
		added.sendHeartbeat(t, "ready")
		f.waitServed(added, "/stock/1")
		f.assertQuarantine(added)
	})
	t.Run("all nodes were restarted one after the other", func(t *testing.T) {
		t.Parallel()
		f, near, last := newPoisoned(t, nil)
		for _, m := range f.nodes {
			f.kill(m)
			f.start(m)
			f.eventually("the node asked others", func() bool { return m.lines.Totals()["crashesLearned"] > 0 })
		}
		near.sendHeartbeat(t, "ready")
		last.sendHeartbeat(t, "ready")
		f.waitServed(last, "/stock/1")
		f.waitServed(near, "/stock/1")
		f.assertQuarantine(last, near)
	})
	t.Run("a node did not get the reports", func(t *testing.T) {
		t.Parallel()
		var s *silencer
		f, _, last := newPoisoned(t, func(m *member) {
			s = newSilencer(t, m.cfg.Listen.Peer)
			m.cfg.Announce.Peer = &s.addr
			s.isHeld.Store(true)
		})
		f.eventually("both attempts to report two crashes have failed", func() bool {
			failed := uint64(0)
			for _, m := range f.nodes {
				failed += m.lines.Totals()["crashNotReported"]
			}
			return failed >= 4
		})
		s.isHeld.Store(false)
		f.eventually("the node learns of the crashes", func() bool { return last.lines.Totals()["requestQuarantined"] > 0 })
		f.assertQuarantine(last)
	})
	t.Run("the route moves to another service", func(t *testing.T) {
		t.Parallel()
		f, near, _ := newPoisoned(t, nil)
		list := routes()
		list[0].Service = "bookings"
		f.configure(2, list)
		f.eventually("the version is in force", func() bool { return near.node.Version() == 2 })
		f.eventually("the node is told", func() bool { return near.lines.Totals()["requestQuarantined"] > 0 })
		f.assertQuarantine(near)
	})
}
