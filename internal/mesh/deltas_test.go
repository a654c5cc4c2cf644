package mesh_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against nodes that read each version from the store although other nodes of the
// zone have it: calls to the store would grow with nodes times versions. Copies of the store
// are behind, so each reading node would need two calls.
func TestVersionsTravelBetweenNodes(t *testing.T) {
	const (
		nodes, versions = 6, 8
		gap             = 300 * time.Millisecond
		applyTime       = 2 * time.Second
	)
	f := newFleet(t)
	for range nodes {
		f.add("a", "availability", 4).sendHeartbeat(t, "ready")
	}
	for _, m := range f.nodes {
		f.eventually("all nodes are known", func() bool { return m.node.NodeCount() == nodes })
		f.waitServed(m, "/stock/1")
	}
	var others []*member
	f.eventually("two nodes watch", func() bool {
		others = nil
		for _, m := range f.nodes {
			if !m.node.IsWatching() {
				others = append(others, m)
			}
		}
		return len(others) == nodes-2
	})
	f.store.SetCopyLag(3 * time.Second)
	for v := range versions {
		list := routes()
		list[0].Prefix = fmt.Sprintf("/moved-%d/", v)
		f.configure(2+v, list)
		if v < versions-1 {
			time.Sleep(gap)
		}
	}
	written := time.Now()
	for _, m := range f.nodes {
		f.waitServed(m, fmt.Sprintf("/moved-%d/1", versions-1))
		if took := time.Since(written); took > applyTime {
			t.Errorf("%s applied the last version after %s, want at most %s", m.cfg.Node, took, applyTime)
		}
	}
	for _, m := range others {
		if n := m.lines.Totals()["copyRead"]; n != 0 {
			t.Errorf("%s has read the store %d times for %d versions, want none", m.cfg.Node, n, versions)
		}
		if n := m.lines.Totals()["deltaRejected"]; n != 0 {
			t.Errorf("%s has rejected %d deltas, want none", m.cfg.Node, n)
		}
	}
}

// Guards against a zone whose nodes all ask the one node of another zone that has found a
// version, since the node that passes the announcement on does not have it yet. Both nodes
// that watch the store for the zone are cut off from it.
func TestChangesStayInZone(t *testing.T) {
	const (
		versions = 4
		gap      = time.Second
	)
	f, watching, others := newZoneWithWatchers(t)
	// The periodic checks, which may read a copy, must not be needed.
	f.store.SetCopyLag(time.Minute)
	for _, m := range watching {
		m.node.DisconnectStore()
	}
	asked := make([]int64, len(others))
	for i, m := range others {
		asked[i] = int64(m.lines.Totals()["changesAsked"])
	}
	for v := range versions {
		prefix := fmt.Sprintf("/moved-%d/", v)
		f.moveStock(2+v, prefix)
		for _, m := range others {
			f.waitServed(m, prefix+"1")
		}
		time.Sleep(gap)
	}
	for i, m := range others {
		if n := int64(m.lines.Totals()["changesAsked"]) - asked[i]; n > versions {
			t.Errorf("%s asked %d times for %d versions, want once each", m.cfg.Node, n, versions)
		}
	}
}

// Guards against a node that stays behind because the others no longer have the changes
// since its version. It was cut off from all of them and reads the store in their place.
func TestVersionWithoutChanges(t *testing.T) {
	f, near, far := newPair(t)
	f.kill(far)
	for v := range 80 {
		list := routes()
		list[0].Prefix = fmt.Sprintf("/moved-%d/", v)
		f.configure(2+v, list)
	}
	f.waitServedElsewhere(near, "/moved-79/1")
	f.start(far)
	far.sendHeartbeat(t, "ready")
	f.waitServed(far, "/moved-79/1")
}

// waitServedElsewhere waits until a node has a route for a request, whether or not a server
// is there to run it.
func (f *fleet) waitServedElsewhere(at *member, uri string) {
	f.t.Helper()
	f.eventually("there is a route for "+uri, func() bool {
		a, err := f.call(at, http.MethodGet, uri, "")
		return err == nil && a.status != http.StatusNotFound
	})
}
