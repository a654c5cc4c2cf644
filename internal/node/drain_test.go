package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestStopUnderLoad stops a node while calls with and without keys enter through
// it, run on its server or use other nodes only. No call may be cut off or refused.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	client := newClient(t)
	stopped := f.nodes[0]
	var done atomic.Bool
	var mu sync.Mutex
	outcomes := make(map[string]outcome)
	record := func(id string, o outcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[id] = o
	}
	const (
		workers = 48
		long    = 16
	)
	started := time.Now()
	inParallel(workers+long+1, workers+long+1, func(worker int) {
		switch {
		case worker < workers:
			for i := 0; !done.Load(); i++ {
				c := testCall{path: "/book", id: fmt.Sprint("drain-", worker, "-", i), work: "10ms"}
				if i%2 == 0 {
					c.key = uuid(worker<<20 + i)
				}
				record(c.id, send(client, f.nodes[1+worker%(len(f.nodes)-1)], c))
			}
		case worker < workers+long:
			// These enter through the node that stops and run for longer than
			// cfg.Drain.Announce.
			c := testCall{path: "/book", id: fmt.Sprint("long-", worker), work: "4s"}
			record(c.id, send(client, stopped, c))
		default:
			time.Sleep(300 * time.Millisecond)
			if err := stopped.Stop(context.Background()); err != nil {
				t.Error(err)
			}
			done.Store(true)
		}
	})
	t.Logf("%d calls in %v", len(outcomes), time.Since(started))
	runs := f.runs()
	for id, o := range outcomes {
		assertConsistent(t, id, []outcome{o}, runs[id])
		if !o.isOK() {
			t.Errorf("call %s: %v", id, o)
		}
	}
}

// TestHandOver resends calls after the home of their keys has left. Each must get its
// first answer again, without a second run.
func TestHandOver(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	client := newClient(t)
	const calls = 60
	first := make([]outcome, calls)
	sent := make([]testCall, calls)
	for i := range calls {
		sent[i] = testCall{path: "/book", key: uuid(i), id: fmt.Sprint("hand-", i)}
		if i%2 == 0 {
			sent[i].key = fmt.Sprint("order-", i)
		}
		if first[i] = send(client, f.nodes[1], sent[i]); !first[i].isOK() {
			t.Fatal(first[i])
		}
	}
	if err := f.nodes[0].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	for i := range calls {
		again := send(client, f.nodes[2], sent[i])
		if !again.isOK() || again.body != first[i].body || again.header.Get("Lavenderdeal-Repeated") != "true" {
			t.Errorf("call %s again: %v", sent[i].id, again)
		}
	}
	for id, n := range f.runs() {
		if n != 1 {
			t.Errorf("call %s ran %d times", id, n)
		}
	}
}
