package gc_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"lavenderdeal/core/gc"
	"lavenderdeal/core/objectop"
	"lavenderdeal/schema/objects"
)

// fakePlatform simulates the platform for a collection.
type fakePlatform struct {
	chunks, copies []objectop.Entry
	head           objects.Head
	// headValue replaces the encoded head if it is not nil.
	headValue []byte
	// copyOf holds the copies of heads by key.
	copyOf  map[string]objects.Head
	deleted []string
	// failingHeadWrites is the number of writes of the head that fail without effect.
	failingHeadWrites int
}

func (p *fakePlatform) do(action objectop.Action) objectop.Event {
	switch action := action.(type) {
	case objectop.List:
		if action.Prefix == objectop.ChunkPrefix {
			return objectop.Listed{Entries: p.chunks}
		}
		return objectop.Listed{Entries: p.copies}
	case objectop.Read:
		return p.read(action.Key)
	case objectop.Write:
		if p.failingHeadWrites > 0 {
			p.failingHeadWrites--
			return objectop.Failed{Err: errors.New("no answer")}
		}
		return objectop.Written{Revision: 2}
	case objectop.Delete:
		p.deleted = append(p.deleted, action.Key)
		return objectop.Written{}
	}
	panic(fmt.Sprintf("action %T", action))
}

func (p *fakePlatform) read(key string) objectop.Event {
	if key == objectop.HeadKey {
		if p.headValue != nil {
			return objectop.Found{Value: p.headValue, Revision: 1}
		}
		return found(p.head)
	}
	head, ok := p.copyOf[key]
	if !ok {
		return objectop.Missing{}
	}
	return found(head)
}

func found(head objects.Head) objectop.Event {
	value, err := json.Marshal(head)
	if err != nil {
		panic(err)
	}
	return objectop.Found{Value: value, Revision: 1}
}

func run(p *fakePlatform, opts ...gc.Option) gc.Report {
	m := gc.New(opts...)
	for action := m.Start(); !m.Finished(); action = m.Step(p.do(action)) {
	}
	return m.Report()
}

func newFakePlatform() *fakePlatform {
	old := time.Hour
	return &fakePlatform{
		chunks: []objectop.Entry{
			{Key: "chunks/head", Age: old},
			{Key: "chunks/copy1", Age: old},
			{Key: "chunks/copy2", Age: old},
			{Key: "chunks/lost", Age: old},
			{Key: "chunks/young", Age: time.Second},
		},
		copies: []objectop.Entry{{Key: "heads/1-a", Age: old}, {Key: "heads/2-b", Age: old}},
		head:   objects.Head{CustomerChunks: []string{"head"}},
		copyOf: map[string]objects.Head{
			"heads/1-a": {CustomerChunks: []string{"copy1"}},
			"heads/2-b": {PlanChunks: []string{"copy2"}},
		},
	}
}

// TestCollect checks which objects a collection removes, and that it removes none when it
// cannot tell which chunks are referenced or cannot rewrite the head.
func TestCollect(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*fakePlatform)
		keep    int
		deleted []string
		fails   bool
	}{
		{name: "all copies kept", keep: 2, deleted: []string{"chunks/lost"}},
		{name: "older copy dropped with its chunk", keep: 1, deleted: []string{"heads/1-a", "chunks/copy1", "chunks/lost"}},
		{
			name: "young copy keeps its chunk", keep: 1, deleted: []string{"chunks/lost"},
			change: func(p *fakePlatform) { p.copies[0].Age = time.Second },
		},
		{
			name: "nothing to remove", keep: 2,
			change: func(p *fakePlatform) { p.chunks = p.chunks[:3] },
		},
		{
			name: "unreadable head", keep: 2, fails: true,
			change: func(p *fakePlatform) { p.headValue = []byte("{") },
		},
		{
			name: "head of a newer release", keep: 2, fails: true,
			change: func(p *fakePlatform) { p.headValue = []byte(`{"version": 7, "moreChunks": ["lost"]}`) },
		},
		{
			name: "lost answer to the rewriting", keep: 2, deleted: []string{"chunks/lost"},
			change: func(p *fakePlatform) { p.failingHeadWrites = 2 },
		},
		{
			name: "head cannot be rewritten", keep: 2, fails: true,
			change: func(p *fakePlatform) { p.failingHeadWrites = 100 },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newFakePlatform()
			if tt.change != nil {
				tt.change(p)
			}
			report := run(p, gc.WithKeep(tt.keep), gc.WithMinAge(time.Minute))
			if !slices.Equal(p.deleted, tt.deleted) {
				t.Errorf("deleted %v, want %v", p.deleted, tt.deleted)
			}
			if (report.Err != nil) != tt.fails {
				t.Errorf("got error %v, want an error: %t", report.Err, tt.fails)
			}
		})
	}
}
