package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"lavenderdeal/internal/standin/objectapi"
)

// uuid returns a UUID of version 7 with the current time and n as its random part.
func uuid(n int) string {
	ms := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// TestKeyedCalls guards against a call with an idempotency key that runs more than once,
// or gets the answer of another call, when its caller sends it again or through several
// nodes at once.
func TestKeyedCalls(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	client := newClient(t)
	t.Run("a call sent through all nodes at once runs once", func(t *testing.T) {
		const calls = 100
		for i := range calls {
			key, id := uuid(i), fmt.Sprint("once-", i)
			if i%2 == 0 {
				key = fmt.Sprint("order-", i)
			}
			outcomes := make([]outcome, len(f.nodes))
			inParallel(len(f.nodes), len(f.nodes), func(j int) {
				outcomes[j] = send(client, f.nodes[j], testCall{path: "/book", key: key, id: id, work: "5ms", body: "two tickets"})
			})
			for _, o := range outcomes {
				if !o.isOK() || o.verdict != "ran" || o.body != outcomes[0].body {
					t.Fatalf("call %s: got %v, want the answer %q", id, o, outcomes[0].body)
				}
			}
			if got := f.runs()[id]; got != 1 {
				t.Fatalf("call %s ran %d times", id, got)
			}
		}
	})
	t.Run("a repeat is marked", func(t *testing.T) {
		c := testCall{path: "/book", key: uuid(1), id: "marked"}
		first, second := send(client, f.nodes[0], c), send(client, f.nodes[1], c)
		if !first.isOK() || first.header.Get("Lavenderdeal-Repeated") != "" {
			t.Fatalf("first: %v %v", first, first.header)
		}
		if !second.isOK() || second.header.Get("Lavenderdeal-Repeated") != "true" {
			t.Fatalf("second: %v %v", second, second.header)
		}
	})
	t.Run("a key with other content is refused", func(t *testing.T) {
		c := testCall{path: "/book", key: uuid(2), id: "reused", body: "two"}
		if o := send(client, f.nodes[0], c); !o.isOK() {
			t.Fatal(o)
		}
		for name, other := range map[string]testCall{
			"body":   {path: c.path, key: c.key, id: c.id, body: "six"},
			"path":   {path: "/other", key: c.key, id: c.id, body: c.body},
			"method": {method: http.MethodPut, path: c.path, key: c.key, id: c.id, body: c.body},
		} {
			o := send(client, f.nodes[1], other)
			if o.status != http.StatusUnprocessableEntity || o.rule != "keyReused" || o.verdict != "notRun" {
				t.Errorf("other %s: %v", name, o)
			}
		}
	})
	t.Run("the times of keys are checked", func(t *testing.T) {
		ms := time.Now().Add(-time.Hour).UnixMilli()
		old := fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, 1)
		if o := send(client, f.nodes[0], testCall{path: "/book", key: old, id: "old"}); o.rule != "keyTooOld" || o.verdict != "mayHaveRun" {
			t.Error(o)
		}
	})
	t.Run("the run goes on when the caller leaves", func(t *testing.T) {
		impatient := newClient(t)
		impatient.Timeout = 100 * time.Millisecond
		c := testCall{path: "/book", key: uuid(3), id: "impatient", work: "300ms"}
		if o := send(impatient, f.nodes[0], c); o.err == nil {
			t.Fatalf("got %v before the work was done", o)
		}
		if o := send(client, f.nodes[1], c); !o.isOK() {
			t.Fatal(o)
		}
		if got := f.runs()["impatient"]; got != 1 {
			t.Fatalf("ran %d times", got)
		}
	})
}

// TestKeyedCallsWithoutPlatform guards against homes that fence themselves during an
// outage of the platform. Once the platform's confirmation of the roster has expired,
// the homes must confirm the roster to each other.
func TestKeyedCallsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	client := newClient(t)
	f.store.SetFaults(objectapi.Faults{Down: true})
	// Longer than fence.ConfirmationTTL.
	until := time.Now().Add(12 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		c := testCall{path: "/book", key: uuid(i), id: fmt.Sprint("outage-", i)}
		for _, n := range f.nodes {
			if o := send(client, n, c); !o.isOK() {
				t.Fatalf("call %s: %v", c.id, o)
			}
		}
		time.Sleep(pollInterval)
	}
	for id, n := range f.runs() {
		if n != 1 {
			t.Errorf("call %s ran %d times", id, n)
		}
	}
}

// TestKilledHome kills the home of some keys under load. Each caller retries its call
// through other nodes until it is answered, up to three attempts. It guards against a
// call that ran on the killed home and runs again on another node.
func TestKilledHome(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	client := newClient(t)
	const calls = 600
	var mu sync.Mutex
	seen := make(map[string][]outcome)
	killed := make(chan struct{})
	inParallel(32, calls, func(i int) {
		if i == calls/3 {
			f.nodes[0].Kill()
			close(killed)
		}
		c := testCall{path: "/book", key: uuid(i), id: fmt.Sprint("kill-", i), work: "5ms"}
		for try := range 3 {
			o := send(client, f.nodes[1+(i+try)%(len(f.nodes)-1)], c)
			mu.Lock()
			seen[c.id] = append(seen[c.id], o)
			mu.Unlock()
			if o.isOK() {
				break
			}
		}
	})
	<-killed
	runs := f.runs()
	answered := 0
	rules := make(map[string]int)
	for id, outcomes := range seen {
		assertConsistent(t, id, outcomes, runs[id])
		for _, o := range outcomes {
			rules[o.verdict+" "+o.rule]++
			if o.err != nil {
				t.Errorf("call %s: the node that took it broke the connection: %v", id, o)
			}
		}
		if outcomes[len(outcomes)-1].isOK() {
			answered++
		}
	}
	if answered < calls/3 {
		t.Errorf("%d of %d calls were answered, want at least the third before the kill", answered, calls)
	}
	t.Logf("%d of %d calls were answered, by verdict and rule: %v", answered, calls, rules)
}

// TestKilledServer stops a backend server under load and then kills its node. Nodes
// may retry calls without a key only if they did not run.
func TestKilledServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	client := newClient(t)
	const calls = 400
	outcomes := make([]outcome, calls)
	inParallel(32, calls, func(i int) {
		switch i {
		case calls / 3:
			_ = f.listeners[0].Close()
		case 2 * calls / 3:
			f.nodes[0].Kill()
		}
		c := testCall{path: "/book", id: fmt.Sprint("server-", i), work: "5ms"}
		outcomes[i] = send(client, f.nodes[len(f.nodes)-1], c)
	})
	runs := f.runs()
	for i, o := range outcomes {
		id := fmt.Sprint("server-", i)
		assertConsistent(t, id, []outcome{o}, runs[id])
		if o.err != nil {
			t.Errorf("call %s: %v", id, o)
		}
	}
}
