package pick_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderdeal/core/pick"
	messages "lavenderdeal/schema/roster"
)

var begin = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func entry(node, zone string) messages.Entry {
	return messages.Entry{Node: node, Zone: zone, Server: "i-" + node, Slots: 10, State: messages.EntryStateReady}
}

func request() pick.Request {
	return pick.Request{Zone: "a", Class: "stock", TimeLeft: 500 * time.Millisecond, Random: func() float64 { return 0 }}
}

func ExamplePicker() {
	var p pick.Picker
	ready := []messages.Entry{entry("far", "b"), entry("near", "a")}
	choice, _ := p.Pick(begin, ready, request())
	fmt.Println(choice.Entry.Node)
	// Output: near
}

func assertPick(t *testing.T, p *pick.Picker, now time.Time, ready []messages.Entry, r pick.Request, want string) {
	t.Helper()
	choice, ok := p.Pick(now, ready, r)
	if !ok || choice.Entry.Node != want {
		t.Fatalf("picked %q, %v, want %q", choice.Entry.Node, ok, want)
	}
}

// Guards against requests sent to a server that is busier, slower, failing or farther
// away than another, or whose node is stopping.
func TestPick(t *testing.T) {
	near, other, far := entry("near", "a"), entry("other", "a"), entry("far", "b")
	answered := func(p *pick.Picker, e messages.Entry, l pick.Load) {
		p.Sent(e)
		p.Answered(begin, e, "stock", l)
	}
	t.Run("the less loaded server of the zone", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 5, Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, other}, request(), "other")
	})
	t.Run("a server of the zone with a free slot, though one of another zone is idle", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 9, Limit: 10})
		answered(&p, far, pick.Load{Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, far}, request(), "near")
	})
	t.Run("another zone rather than a server that is too slow", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 9, Limit: 10, RunTime: time.Second})
		answered(&p, far, pick.Load{Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, far}, request(), "far")
	})
	t.Run("another zone rather than a queue", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 10, Queued: 2, Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, far}, request(), "far")
	})
	t.Run("no stopping node, until it answers again or its process is replaced", func(t *testing.T) {
		var p pick.Picker
		p.Sent(near)
		p.Stopping(begin, near)
		if choice, ok := p.Pick(begin, []messages.Entry{near}, request()); ok {
			t.Fatalf("picked %+v, want no node", choice)
		}
		assertPick(t, &p, begin, []messages.Entry{near, far}, request(), "far")
		next := near
		next.Epoch++
		assertPick(t, &p, begin, []messages.Entry{next, far}, request(), "near")
		p.Restore(near)
		assertPick(t, &p, begin, []messages.Entry{near, far}, request(), "near")
	})
	t.Run("not another zone for a large body", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 10, Queued: 2, Limit: 10})
		r := request()
		r.BodyBytes = 300 << 10
		assertPick(t, &p, begin, []messages.Entry{near, far}, r, "near")
	})
	t.Run("a failing server gets what the others cannot take", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 1, Limit: 10, FailureRate: 0.5})
		answered(&p, other, pick.Load{Running: 9, Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, other}, request(), "other")
		answered(&p, other, pick.Load{Running: 10, Queued: 8, Limit: 10})
		assertPick(t, &p, begin, []messages.Entry{near, other}, request(), "near")
	})
	t.Run("the faster of two idle servers", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 1, Limit: 10, RunTime: 300 * time.Millisecond})
		answered(&p, other, pick.Load{Running: 1, Limit: 10, RunTime: 100 * time.Millisecond})
		assertPick(t, &p, begin, []messages.Entry{near, other}, request(), "other")
	})
	t.Run("an old load report expires", func(t *testing.T) {
		var p pick.Picker
		answered(&p, near, pick.Load{Running: 10, Queued: 30, Limit: 10})
		assertPick(t, &p, begin.Add(2*time.Second), []messages.Entry{near, far}, request(), "near")
	})
	t.Run("no node is left", func(t *testing.T) {
		var p pick.Picker
		r := request()
		r.Tried = []string{"near"}
		if _, ok := p.Pick(begin, []messages.Entry{near}, r); ok {
			t.Fatal("a node was picked, want none")
		}
	})
}

// TestUnreachable checks that an unreachable node is excluded until it answers, for
// longer after each failure, and is picked if there is no other.
func TestUnreachable(t *testing.T) {
	var p pick.Picker
	near, far := entry("near", "a"), entry("far", "b")
	ready := []messages.Entry{near, far}
	p.Sent(near)
	p.Failed(begin, near)
	assertPick(t, &p, begin, ready, request(), "far")
	assertPick(t, &p, begin, ready[:1], request(), "near")
	later := begin.Add(5 * time.Second)
	assertPick(t, &p, later, ready, request(), "far")
	t.Run("until it answers", func(t *testing.T) {
		p.Restore(near)
		assertPick(t, &p, later, ready, request(), "near")
	})
	t.Run("and for longer when it fails again", func(t *testing.T) {
		p.Sent(near)
		p.Failed(later, near)
		p.Restore(near)
		assertPick(t, &p, later.Add(300*time.Millisecond), ready, request(), "far")
		assertPick(t, &p, later.Add(400*time.Millisecond), ready, request(), "near")
	})
	t.Run("a new epoch of the node starts afresh", func(t *testing.T) {
		next := near
		next.Epoch++
		assertPick(t, &p, later, []messages.Entry{next, far}, request(), "near")
	})
}

// TestRefused checks that a node that has just refused a request counts as full. Under
// steady overload, requests would otherwise be sent to full servers again and again.
func TestRefused(t *testing.T) {
	var p pick.Picker
	near := entry("near", "a")
	p.Refused(begin, near, time.Second)
	choice, ok := p.Pick(begin, []messages.Entry{near}, request())
	if !ok || !choice.Full {
		t.Fatalf("choice %+v, want a full node", choice)
	}
	t.Run("not full for long", func(t *testing.T) {
		choice, _ := p.Pick(begin.Add(30*time.Millisecond), []messages.Entry{near}, request())
		if choice.Full {
			t.Fatal("still full")
		}
	})
	t.Run("a full link refuses only large bodies", func(t *testing.T) {
		var p pick.Picker
		p.RefusedLargeBody(begin, near, time.Second)
		if choice, _ := p.Pick(begin, []messages.Entry{near}, request()); choice.Full {
			t.Fatal("full for a request without a body")
		}
		long := request()
		long.BodyBytes = pick.LargeBodyBytes
		if choice, _ := p.Pick(begin, []messages.Entry{near}, long); !choice.Full {
			t.Fatal("not full for a large body")
		}
	})
}

// Guards against a running request that is given up for a node that would refuse it.
func TestHasFree(t *testing.T) {
	node, tried := entry("other", "a"), entry("tried", "a")
	r := request()
	r.Tried = []string{"tried"}
	for name, c := range map[string]struct {
		change func(p *pick.Picker)
		after  time.Duration
		want   bool
	}{
		"an unknown node":          {func(*pick.Picker) {}, 0, true},
		"free slots":               {func(p *pick.Picker) { p.Answered(begin, node, "stock", pick.Load{Running: 9, Limit: 10}) }, 0, true},
		"all slots in use":         {func(p *pick.Picker) { p.Answered(begin, node, "stock", pick.Load{Running: 10, Limit: 10}) }, 0, false},
		"all in use long ago":      {func(p *pick.Picker) { p.Answered(begin, node, "stock", pick.Load{Running: 10, Limit: 10}) }, time.Second, true},
		"a refusal":                {func(p *pick.Picker) { p.Refused(begin, node, time.Second) }, 0, false},
		"a refusal, some time ago": {func(p *pick.Picker) { p.Refused(begin, node, time.Second) }, time.Second, true},
		"an unreachable node":      {func(p *pick.Picker) { p.Failed(begin, node) }, 0, false},
		"a stopping node":          {func(p *pick.Picker) { p.Stopping(begin, node) }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p pick.Picker
			c.change(&p)
			if got := p.HasFree(begin.Add(c.after), []messages.Entry{tried, node}, r); got != c.want {
				t.Fatalf("HasFree returns %v, want %v", got, c.want)
			}
		})
	}
	t.Run("no other node", func(t *testing.T) {
		var p pick.Picker
		if p.HasFree(begin, []messages.Entry{tried}, r) {
			t.Fatal("HasFree returns true")
		}
	})
}
