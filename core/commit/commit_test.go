package commit_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/collect"
	"lavenderdeal/core/commit"
	"lavenderdeal/core/objectop"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/objects"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// machine is what a publisher and a collector have in common.
type machine interface {
	Start() objectop.Action
	Step(event objectop.Event) objectop.Action
	Finished() bool
}

// process is a publisher or a collector that runs step by step.
type process struct {
	machine  machine
	commit   *commit.Machine
	next     objectop.Action
	restored bool
}

type object struct {
	value    []byte
	revision uint64
}

// platform is an object API in memory. Revisions are never used twice.
type platform struct {
	objects  map[string]object
	revision uint64
}

func (p *platform) do(action objectop.Action) objectop.Event {
	switch action := action.(type) {
	case objectop.Read:
		o, ok := p.objects[action.Key]
		if !ok {
			return objectop.Missing{}
		}
		return objectop.Found{Value: o.value, Revision: o.revision}
	case objectop.Write:
		if p.objects[action.Key].revision != action.After {
			return objectop.Conflicted{}
		}
		p.revision++
		p.objects[action.Key] = object{value: action.Value, revision: p.revision}
		return objectop.Written{Revision: p.revision}
	case objectop.Delete:
		if p.objects[action.Key].revision != action.After {
			return objectop.Conflicted{}
		}
		delete(p.objects, action.Key)
		return objectop.Written{}
	case objectop.List:
		return objectop.Listed{Entries: p.list(action.Prefix)}
	}
	panic(fmt.Sprintf("action %T", action))
}

func (p *platform) list(prefix string) []objectop.Entry {
	var entries []objectop.Entry
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, objectop.Entry{Key: key, Revision: p.objects[key].revision})
		}
	}
	return entries
}

// world joins several publishers and collectors over one platform.
type world struct {
	platform  platform
	processes []*process
	inFlight  []objectop.Action
	backup    map[string]object
	confirmed uint64
	started   int

	// applied holds the operation of each head that ever took effect.
	applied map[string]bool
	// denied holds the operations that a publisher said are not applied.
	denied map[string]bool
	// superseded holds the heads that were replaced since the last restore.
	superseded []objects.Head
}

func newWorld() *world {
	return &world{
		platform: platform{objects: make(map[string]object)},
		applied:  make(map[string]bool),
		denied:   make(map[string]bool),
	}
}

func (w *world) head() (objects.Head, object) {
	o := w.platform.objects[objectop.HeadKey]
	var head objects.Head
	if o.revision != 0 {
		if err := json.Unmarshal(o.value, &head); err != nil {
			panic(err)
		}
	}
	return head, o
}

func (w *world) publish(t *rapid.T) {
	if len(w.processes) > 5 {
		t.Skip("enough processes")
	}
	head, o := w.head()
	base := commit.Base{Head: head, Value: o.value, Revision: o.revision, Highest: max(w.confirmed, highestCopy(&w.platform))}
	w.started++
	change := commit.Change{
		Operation: fmt.Sprintf("op%d", w.started),
		Customers: randomChunks(t, "customers"),
		Plans:     randomChunks(t, "plans"),
	}
	m, err := commit.New(base, change)
	if err != nil {
		t.Fatal(err)
	}
	w.add(&process{machine: m, commit: m})
}

func (w *world) collect(t *rapid.T) {
	if len(w.processes) > 5 {
		t.Skip("enough processes")
	}
	w.add(&process{machine: collect.New(collect.WithMinAge(0))})
}

func (w *world) add(p *process) {
	p.next = p.machine.Start()
	w.processes = append(w.processes, p)
}

// step lets one process do its action, with or without a fault.
func (w *world) step(t *rapid.T) {
	p := w.pick(t)
	var event objectop.Event
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "refused", "answerLost", "requestLost", "late"}).Draw(t, "fate") {
	case "ok":
		event = w.do(t, p.next)
	case "refused":
		event = objectop.Failed{NotRun: true, Err: errors.New("refused")}
	case "answerLost":
		w.do(t, p.next)
		event = objectop.Failed{Err: errors.New("answer lost")}
	case "requestLost":
		event = objectop.Failed{Err: errors.New("request lost")}
	case "late":
		w.inFlight = append(w.inFlight, p.next)
		event = objectop.Failed{Err: errors.New("timeout")}
	}
	p.next = p.machine.Step(event)
	if p.machine.Finished() {
		w.settle(t, p)
		w.drop(p)
	}
}

func (w *world) pick(t *rapid.T) *process {
	if len(w.processes) == 0 {
		t.Skip("no process")
	}
	return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
}

func (w *world) drop(p *process) {
	w.processes = slices.DeleteFunc(w.processes, func(other *process) bool { return other == p })
}

// do executes an action and checks each head that takes effect.
func (w *world) do(t *rapid.T, action objectop.Action) objectop.Event {
	before, _ := w.head()
	event := w.platform.do(action)
	after, _ := w.head()
	if after.Operation == before.Operation {
		return event
	}
	if w.denied[after.Operation] {
		t.Fatalf("operation %s took effect after its publisher said that it never would", after.Operation)
	}
	if after.Version <= w.confirmed || after.Version <= before.Version {
		t.Fatalf("version %d was written; %d was confirmed and %d was the newest", after.Version, w.confirmed, before.Version)
	}
	w.applied[after.Operation] = true
	if before.Operation != "" {
		w.superseded = append(w.superseded, before)
	}
	return event
}

// settle checks what a publisher says of its change at the end.
func (w *world) settle(t *rapid.T, p *process) {
	if p.commit == nil {
		return
	}
	operation := p.commit.Head().Operation
	applied := w.applied[operation]
	switch r := p.commit.Result().(type) {
	case commit.Succeeded, commit.Superseded:
		if !applied {
			t.Fatalf("%T without effect", r)
		}
	case commit.Conflicted, commit.Moved, commit.Abandoned:
		// A restored backup can remove a change that took effect before.
		if p.restored {
			return
		}
		if applied {
			t.Fatalf("%T, yet the change took effect", r)
		}
		w.denied[operation] = true
	}
}

// deliver executes a request whose sender has given up waiting.
func (w *world) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "request")
	action := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	w.do(t, action)
}

func (w *world) crash(t *rapid.T) { w.drop(w.pick(t)) }

func (w *world) confirm(*rapid.T) {
	head, _ := w.head()
	w.confirmed = max(w.confirmed, head.Version)
}

func (w *world) makeBackup(t *rapid.T) {
	if _, o := w.head(); o.revision == 0 {
		t.Skip("nothing to back up")
	}
	w.backup = maps.Clone(w.platform.objects)
}

// restore brings the backup back under new revisions. Requests in flight do not
// outlive it.
func (w *world) restore(t *rapid.T) {
	if w.backup == nil {
		t.Skip("no backup")
	}
	w.restoreBackup()
}

func (w *world) restoreBackup() {
	w.platform.objects = make(map[string]object)
	for _, key := range slices.Sorted(maps.Keys(w.backup)) {
		w.platform.revision++
		w.platform.objects[key] = object{value: w.backup[key].value, revision: w.platform.revision}
	}
	w.inFlight = nil
	w.superseded = nil
	for _, p := range w.processes {
		p.restored = true
	}
}

// check looks at the promises after each step.
func (w *world) check(t *rapid.T) {
	head, o := w.head()
	if o.revision != 0 {
		w.checkWhole(t, "head", head)
	}
	for _, old := range w.superseded {
		if _, ok := w.platform.objects[commit.CopyKey(old)]; !ok {
			t.Fatalf("no copy of version %d", old.Version)
		}
		w.checkWhole(t, "copy", old)
	}
}

func (w *world) checkWhole(t *rapid.T, what string, head objects.Head) {
	for _, hash := range slices.Concat(head.CustomerChunks, head.PlanChunks) {
		o, ok := w.platform.objects[objectop.ChunkPrefix+hash]
		if !ok {
			t.Fatalf("%s of version %d names chunk %s, which is missing", what, head.Version, hash)
		}
		if chunk.Of(o.value).Hash != hash {
			t.Fatalf("chunk %s has other content", hash)
		}
	}
}

func TestPublishersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"collect": w.collect,
			// The name decides how often an action is drawn.
			"step":    w.step,
			"step2":   w.step,
			"step3":   w.step,
			"step4":   w.step,
			"step5":   w.step,
			"step6":   w.step,
			"deliver": w.deliver,
			"crash":   w.crash,
			"confirm": w.confirm,
			"backup":  w.makeBackup,
			"restore": w.restore,
			"":        w.check,
		})
	})
}

func TestResults(t *testing.T) {
	t.Run("one changed chunk", func(t *testing.T) {
		w := newWorld()
		first := run(t, w, chunksOf("a", "b"), nil)
		second := run(t, w, chunksOf("a", "c"), nil)
		assertResult[commit.Succeeded](t, first)
		assertResult[commit.Succeeded](t, second)
		if n := w.platform.revision; n != 3+3 {
			t.Errorf("%d writes, want 3 for the first version and 3 for the second: chunk, copy and head", n)
		}
	})
	t.Run("lost answer to the head", func(t *testing.T) {
		w := newWorld()
		result := run(t, w, chunksOf("a"), func(action objectop.Action, event objectop.Event) objectop.Event {
			if write, ok := action.(objectop.Write); ok && write.Key == objectop.HeadKey {
				return objectop.Failed{Err: errors.New("answer lost")}
			}
			return event
		})
		assertResult[commit.Succeeded](t, result)
	})
	t.Run("refused for good", func(t *testing.T) {
		result := run(t, newWorld(), chunksOf("a"), func(objectop.Action, objectop.Event) objectop.Event {
			return objectop.Failed{NotRun: true, Err: errors.New("refused")}
		})
		assertResult[commit.Abandoned](t, result)
	})
	t.Run("platform gone after the head was sent", func(t *testing.T) {
		sent := false
		result := run(t, newWorld(), chunksOf("a"), func(action objectop.Action, event objectop.Event) objectop.Event {
			write, ok := action.(objectop.Write)
			sent = sent || ok && write.Key == objectop.HeadKey
			if sent {
				return objectop.Failed{Err: errors.New("gone")}
			}
			return event
		})
		assertResult[commit.Unknown](t, result)
	})
	t.Run("conflict after a lost answer", func(t *testing.T) {
		w := newWorld()
		run(t, w, chunksOf("a"), nil)
		result := run(t, w, chunksOf("b"), loseHeadOnce(func() { run(t, w, chunksOf("c"), nil) }))
		assertResult[commit.Superseded](t, result)
	})
	t.Run("conflict after a lost request", func(t *testing.T) {
		w := newWorld()
		run(t, w, chunksOf("a"), nil)
		m := begin(t, w, chunksOf("b"))
		stepToHead(w, m)
		assertResult[commit.Succeeded](t, run(t, w, chunksOf("c"), nil))
		action := m.Step(objectop.Failed{Err: errors.New("request lost")})
		finish(w, m, action)
		assertResult[commit.Conflicted](t, m.Result())
	})
	t.Run("collection while a publisher pauses", func(t *testing.T) {
		w := newWorld()
		run(t, w, chunksOf("a"), nil)
		m := begin(t, w, chunksOf("b"))
		action := stepToHead(w, m)
		report := runCollect(w, nil)
		if report.Chunks != 1 || report.Err != nil {
			t.Errorf("report %+v, want 1 chunk removed", report)
		}
		finish(w, m, action)
		assertResult[commit.Moved](t, m.Result())
	})
	t.Run("chunk wanted again while a collection pauses", func(t *testing.T) {
		w := newWorld()
		run(t, w, chunksOf("a"), nil)
		stepToHead(w, begin(t, w, chunksOf("b")))
		w.platform.do(objectop.Write{Key: objectop.ChunkPrefix + chunk.Of([]byte("c")).Hash, Value: []byte("c")})
		report := runCollect(w, func() {
			assertResult[commit.Succeeded](t, run(t, w, chunksOf("b"), nil))
		})
		if report.Chunks != 1 {
			t.Errorf("report %+v, want only the chunk removed that no version names", report)
		}
		head, _ := w.head()
		if _, ok := w.platform.objects[objectop.ChunkPrefix+head.CustomerChunks[0]]; !ok {
			t.Errorf("a chunk of the newest version was removed")
		}
	})
	t.Run("backup restored meanwhile", func(t *testing.T) {
		w := newWorld()
		run(t, w, chunksOf("a"), nil)
		w.backup = maps.Clone(w.platform.objects)
		m := begin(t, w, chunksOf("b"))
		action := stepToHead(w, m)
		run(t, w, chunksOf("c"), nil)
		w.restoreBackup()
		finish(w, m, action)
		assertResult[commit.Moved](t, m.Result())
	})
	t.Run("number above all that was confirmed", func(t *testing.T) {
		m, err := commit.New(commit.Base{Highest: 41}, commit.Change{Operation: "op"})
		if err != nil || m.Head().Version != 42 {
			t.Errorf("version %v, error %v; want 42", m.Head().Version, err)
		}
	})
	t.Run("numbers used up", func(t *testing.T) {
		_, err := commit.New(commit.Base{Highest: commit.MaxVersion}, commit.Change{Operation: "op"})
		assertError(t, err, commit.ErrNumbersUsedUp)
	})
	t.Run("head too large", func(t *testing.T) {
		_, err := commit.New(commit.Base{}, commit.Change{Operation: "op", Customers: make([]chunk.Chunk, 1), Reason: strings.Repeat("x", commit.MaxHead)})
		assertError(t, err, commit.ErrHeadTooLarge)
	})
}

// run makes one change without other processes. The filter may replace events.
func run(t *testing.T, w *world, customers []chunk.Chunk, filter func(objectop.Action, objectop.Event) objectop.Event) commit.Result {
	t.Helper()
	m := begin(t, w, customers)
	for action := m.Start(); !m.Finished(); {
		event := w.platform.do(action)
		if filter != nil {
			event = filter(action, event)
		}
		action = m.Step(event)
	}
	return m.Result()
}

func begin(t *testing.T, w *world, customers []chunk.Chunk) *commit.Machine {
	t.Helper()
	head, o := w.head()
	w.started++
	m, err := commit.New(
		commit.Base{Head: head, Value: o.value, Revision: o.revision},
		commit.Change{Operation: fmt.Sprintf("op%d", w.started), Customers: customers, At: time.Unix(0, 0)},
	)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// stepToHead starts a machine and lets it run until it wants to write the head.
func stepToHead(w *world, m *commit.Machine) objectop.Action {
	for action := m.Start(); ; action = m.Step(w.platform.do(action)) {
		if write, ok := action.(objectop.Write); ok && write.Key == objectop.HeadKey {
			return action
		}
	}
}

func finish(w *world, m machine, action objectop.Action) {
	for !m.Finished() {
		action = m.Step(w.platform.do(action))
	}
}

// runCollect makes one collection. The function is called between the rewriting
// of the head and the first removal.
func runCollect(w *world, beforeRemoval func()) collect.Report {
	m := collect.New(collect.WithMinAge(0))
	for action := m.Start(); !m.Finished(); action = m.Step(w.platform.do(action)) {
		if _, ok := action.(objectop.Delete); ok && beforeRemoval != nil {
			beforeRemoval()
			beforeRemoval = nil
		}
	}
	return m.Report()
}

// loseHeadOnce loses the answer to the first write of the head and calls fn
// before the writer learns of it.
func loseHeadOnce(fn func()) func(objectop.Action, objectop.Event) objectop.Event {
	lost := false
	return func(action objectop.Action, event objectop.Event) objectop.Event {
		if write, ok := action.(objectop.Write); !ok || write.Key != objectop.HeadKey || lost {
			return event
		}
		lost = true
		fn()
		return objectop.Failed{Err: errors.New("answer lost")}
	}
}

func assertResult[R commit.Result](t *testing.T, got commit.Result) {
	t.Helper()
	if _, ok := got.(R); !ok {
		t.Errorf("result %T %+v, want %T", got, got, *new(R))
	}
}

func assertError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

func highestCopy(p *platform) uint64 {
	var highest uint64
	for _, entry := range p.list(objectop.CopyPrefix) {
		version, ok := commit.CopyVersion(entry.Key)
		if ok {
			highest = max(highest, version)
		}
	}
	return highest
}

func randomChunks(t *rapid.T, label string) []chunk.Chunk {
	return chunksOf(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 2).Draw(t, label)...)
}

func chunksOf(content ...string) []chunk.Chunk {
	var chunks []chunk.Chunk
	for _, c := range content {
		chunks = append(chunks, chunk.Of([]byte(c)))
	}
	return chunks
}
