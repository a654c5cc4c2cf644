package collect_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"lavenderdeal/core/collect"
	"lavenderdeal/core/objectop"
	"lavenderdeal/schema/objects"
)

// world is a platform that answers a collection.
type world struct {
	chunks, copies []objectop.Entry
	head           objects.Head
	headValue      []byte
	copyOf         map[string]objects.Head
	deleted        []string
	// fenceFails is how many writes of the head fail without effect.
	fenceFails int
}

func (w *world) do(action objectop.Action) objectop.Event {
	switch action := action.(type) {
	case objectop.List:
		if action.Prefix == objectop.ChunkPrefix {
			return objectop.Listed{Entries: w.chunks}
		}
		return objectop.Listed{Entries: w.copies}
	case objectop.Read:
		return w.read(action.Key)
	case objectop.Write:
		if w.fenceFails > 0 {
			w.fenceFails--
			return objectop.Failed{Err: errors.New("no answer")}
		}
		return objectop.Written{Revision: 2}
	case objectop.Delete:
		w.deleted = append(w.deleted, action.Key)
		return objectop.Written{}
	}
	panic(fmt.Sprintf("action %T", action))
}

func (w *world) read(key string) objectop.Event {
	if key == objectop.HeadKey {
		if w.headValue != nil {
			return objectop.Found{Value: w.headValue, Revision: 1}
		}
		return found(w.head)
	}
	head, ok := w.copyOf[key]
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

func run(w *world, opts ...collect.Option) collect.Report {
	m := collect.New(opts...)
	for action := m.Start(); !m.Finished(); action = m.Step(w.do(action)) {
	}
	return m.Report()
}

func newWorld() *world {
	old := time.Hour
	return &world{
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

func TestCollect(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*world)
		keep    int
		deleted []string
		fails   bool
	}{
		{name: "all copies kept", keep: 2, deleted: []string{"chunks/lost"}},
		{name: "older copy dropped with its chunk", keep: 1, deleted: []string{"heads/1-a", "chunks/copy1", "chunks/lost"}},
		{
			name: "young copy keeps its chunk", keep: 1, deleted: []string{"chunks/lost"},
			change: func(w *world) { w.copies[0].Age = time.Second },
		},
		{
			name: "nothing to remove", keep: 2,
			change: func(w *world) { w.chunks = w.chunks[:3] },
		},
		{
			name: "unreadable head", keep: 2, fails: true,
			change: func(w *world) { w.headValue = []byte("{") },
		},
		{
			name: "head of a newer release", keep: 2, fails: true,
			change: func(w *world) { w.headValue = []byte(`{"version": 7, "moreChunks": ["lost"]}`) },
		},
		{
			name: "lost answer to the rewriting", keep: 2, deleted: []string{"chunks/lost"},
			change: func(w *world) { w.fenceFails = 2 },
		},
		{
			name: "head cannot be rewritten", keep: 2, fails: true,
			change: func(w *world) { w.fenceFails = 100 },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld()
			if tt.change != nil {
				tt.change(w)
			}
			report := run(w, collect.WithKeep(tt.keep), collect.WithMinAge(time.Minute))
			if !slices.Equal(w.deleted, tt.deleted) {
				t.Errorf("deleted %v, want %v", w.deleted, tt.deleted)
			}
			if (report.Err != nil) != tt.fails {
				t.Errorf("error %v, want one: %t", report.Err, tt.fails)
			}
		})
	}
}
