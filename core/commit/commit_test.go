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
	"lavenderdeal/core/commit"
	"lavenderdeal/core/gc"
	"lavenderdeal/core/objectop"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/schema/objects"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// machine is the common interface of a publisher and a garbage collector.
type machine interface {
	Start() objectop.Action
	Step(event objectop.Event) objectop.Action
	Finished() bool
}

// process is a publisher or a garbage collector that is executed step by step.
type process struct {
	machine machine
	// commit is the machine of a publisher, or nil.
	commit *commit.Machine
	next   objectop.Action
	// restored is set if a backup was restored since the process started.
	restored bool
}

type object struct {
	value    []byte
	revision uint64
}

// platform is an object store in memory. Revisions are never reused.
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
		if p.objects[action.Key].revision != action.IfRevision {
			return objectop.Conflicted{}
		}
		p.revision++
		p.objects[action.Key] = object{value: action.Value, revision: p.revision}
		return objectop.Written{Revision: p.revision}
	case objectop.Delete:
		if p.objects[action.Key].revision != action.IfRevision {
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

// simulation runs several publishers and collectors against one platform.
type simulation struct {
	platform  platform
	processes []*process
	// inFlight holds the requests whose sender has timed out.
	inFlight []objectop.Action
	backup   map[string]object
	// confirmed is the highest version that a zone has confirmed.
	confirmed uint64
	// started numbers the operations.
	started int

	// applied holds the operation of each head that ever took effect.
	applied map[string]bool
	// denied holds the operations that a publisher reported as not applied.
	denied map[string]bool
	// superseded holds the heads that were replaced since the last restore.
	superseded []objects.Head
}

func newSimulation() *simulation {
	return &simulation{
		platform: platform{objects: make(map[string]object)},
		applied:  make(map[string]bool),
		denied:   make(map[string]bool),
	}
}

func (sim *simulation) head() (objects.Head, object) {
	o := sim.platform.objects[objectop.HeadKey]
	var head objects.Head
	if o.revision != 0 {
		if err := json.Unmarshal(o.value, &head); err != nil {
			panic(err)
		}
	}
	return head, o
}

func (sim *simulation) publish(t *rapid.T) {
	if len(sim.processes) > 5 {
		t.Skip("enough processes")
	}
	head, o := sim.head()
	base := commit.Base{Head: head, Value: o.value, Revision: o.revision, HighestVersion: max(sim.confirmed, highestCopy(&sim.platform))}
	sim.started++
	change := commit.Change{
		Operation: fmt.Sprintf("op%d", sim.started),
		Customers: randomChunks(t, "customers"),
		Plans:     randomChunks(t, "plans"),
	}
	m, err := commit.New(base, change)
	if err != nil {
		t.Fatal(err)
	}
	sim.add(&process{machine: m, commit: m})
}

func (sim *simulation) collect(t *rapid.T) {
	if len(sim.processes) > 5 {
		t.Skip("enough processes")
	}
	sim.add(&process{machine: gc.New(gc.WithMinAge(0))})
}

func (sim *simulation) add(p *process) {
	p.next = p.machine.Start()
	sim.processes = append(sim.processes, p)
}

// step executes the next action of one process, with or without a fault.
func (sim *simulation) step(t *rapid.T) {
	p := sim.pick(t)
	var event objectop.Event
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "refused", "answerLost", "requestLost", "late"}).Draw(t, "fault") {
	case "ok":
		event = sim.do(t, p.next)
	case "refused":
		event = objectop.Failed{NotRun: true, Err: errors.New("refused")}
	case "answerLost":
		sim.do(t, p.next)
		event = objectop.Failed{Err: errors.New("answer lost")}
	case "requestLost":
		event = objectop.Failed{Err: errors.New("request lost")}
	case "late":
		sim.inFlight = append(sim.inFlight, p.next)
		event = objectop.Failed{Err: errors.New("timeout")}
	}
	p.next = p.machine.Step(event)
	if p.machine.Finished() {
		sim.checkResult(t, p)
		sim.drop(p)
	}
}

func (sim *simulation) pick(t *rapid.T) *process {
	if len(sim.processes) == 0 {
		t.Skip("no process")
	}
	return sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, "process")]
}

func (sim *simulation) drop(p *process) {
	sim.processes = slices.DeleteFunc(sim.processes, func(other *process) bool { return other == p })
}

// do executes an action and checks each head that takes effect.
func (sim *simulation) do(t *rapid.T, action objectop.Action) objectop.Event {
	before, _ := sim.head()
	event := sim.platform.do(action)
	after, _ := sim.head()
	if after.Operation == before.Operation {
		return event
	}
	if sim.denied[after.Operation] {
		t.Fatalf("operation %s took effect after its publisher reported that it never would", after.Operation)
	}
	if after.Version <= sim.confirmed || after.Version <= before.Version {
		t.Fatalf("version %d was written; %d was confirmed and %d was the newest", after.Version, sim.confirmed, before.Version)
	}
	sim.applied[after.Operation] = true
	if before.Operation != "" {
		sim.superseded = append(sim.superseded, before)
	}
	return event
}

// checkResult verifies the result of a finished publisher.
func (sim *simulation) checkResult(t *rapid.T, p *process) {
	if p.commit == nil {
		return
	}
	operation := p.commit.Head().Operation
	applied := sim.applied[operation]
	switch r := p.commit.Result().(type) {
	case commit.Succeeded, commit.Superseded:
		if !applied {
			t.Fatalf("result %T, but the change did not take effect", r)
		}
	case commit.Conflicted, commit.RevisionChanged, commit.Abandoned:
		// A restored backup can remove a change that took effect before.
		if p.restored {
			return
		}
		if applied {
			t.Fatalf("result %T, but the change took effect", r)
		}
		sim.denied[operation] = true
	}
}

// deliver executes a delayed request after its sender has timed out.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "request")
	action := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	sim.do(t, action)
}

func (sim *simulation) crash(t *rapid.T) { sim.drop(sim.pick(t)) }

func (sim *simulation) confirm(*rapid.T) {
	head, _ := sim.head()
	sim.confirmed = max(sim.confirmed, head.Version)
}

func (sim *simulation) makeBackup(t *rapid.T) {
	if _, o := sim.head(); o.revision == 0 {
		t.Skip("nothing to back up")
	}
	sim.backup = maps.Clone(sim.platform.objects)
}

// restore restores the backup with new revisions and drops the requests in flight.
func (sim *simulation) restore(t *rapid.T) {
	if sim.backup == nil {
		t.Skip("no backup")
	}
	sim.restoreBackup()
}

func (sim *simulation) restoreBackup() {
	sim.platform.objects = make(map[string]object)
	for _, key := range slices.Sorted(maps.Keys(sim.backup)) {
		sim.platform.revision++
		sim.platform.objects[key] = object{value: sim.backup[key].value, revision: sim.platform.revision}
	}
	sim.inFlight = nil
	sim.superseded = nil
	for _, p := range sim.processes {
		p.restored = true
	}
}

// check verifies the invariants after each step.
func (sim *simulation) check(t *rapid.T) {
	head, o := sim.head()
	if o.revision != 0 {
		sim.checkWhole(t, "head", head)
	}
	for _, old := range sim.superseded {
		if _, ok := sim.platform.objects[commit.CopyKey(old)]; !ok {
			t.Fatalf("no copy of version %d", old.Version)
		}
		sim.checkWhole(t, "copy", old)
	}
}

// checkWhole verifies that all chunks of a head are in the platform.
func (sim *simulation) checkWhole(t *rapid.T, what string, head objects.Head) {
	for _, hash := range slices.Concat(head.CustomerChunks, head.PlanChunks) {
		o, ok := sim.platform.objects[objectop.ChunkPrefix+hash]
		if !ok {
			t.Fatalf("%s of version %d references chunk %s, which is missing", what, head.Version, hash)
		}
		if chunk.New(o.value).Hash != hash {
			t.Fatalf("chunk %s has other content", hash)
		}
	}
}

// TestPublishersRace runs several publishers and garbage collectors with lost, late and
// refused requests, crashes and restored backups. No reported result may be wrong, no
// version number up to the highest confirmed one may be written again, and no chunk of a
// head or a copy may be missing.
func TestPublishersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"publish": sim.publish,
			"collect": sim.collect,
			// Actions are drawn uniformly by name: several names make step more likely.
			"step":    sim.step,
			"step2":   sim.step,
			"step3":   sim.step,
			"step4":   sim.step,
			"step5":   sim.step,
			"step6":   sim.step,
			"deliver": sim.deliver,
			"crash":   sim.crash,
			"confirm": sim.confirm,
			"backup":  sim.makeBackup,
			"restore": sim.restore,
			"":        sim.check,
		})
	})
}

// TestResults checks the result of one publisher in the single cases that the package
// comment describes.
func TestResults(t *testing.T) {
	t.Run("one changed chunk", func(t *testing.T) {
		sim := newSimulation()
		first := run(t, sim, chunksOf("a", "b"), nil)
		second := run(t, sim, chunksOf("a", "c"), nil)
		assertResult[commit.Succeeded](t, first)
		assertResult[commit.Succeeded](t, second)
		if n := sim.platform.revision; n != 3+3 {
			t.Errorf("%d writes, want 3 for the first version and 3 for the second: chunk, copy and head", n)
		}
	})
	t.Run("lost response to the write of the head", func(t *testing.T) {
		sim := newSimulation()
		result := run(t, sim, chunksOf("a"), func(action objectop.Action, event objectop.Event) objectop.Event {
			if write, ok := action.(objectop.Write); ok && write.Key == objectop.HeadKey {
				return objectop.Failed{Err: errors.New("answer lost")}
			}
			return event
		})
		assertResult[commit.Succeeded](t, result)
	})
	t.Run("every request is refused", func(t *testing.T) {
		result := run(t, newSimulation(), chunksOf("a"), func(objectop.Action, objectop.Event) objectop.Event {
			return objectop.Failed{NotRun: true, Err: errors.New("refused")}
		})
		assertResult[commit.Abandoned](t, result)
	})
	t.Run("platform unreachable after the head was sent", func(t *testing.T) {
		sent := false
		result := run(t, newSimulation(), chunksOf("a"), func(action objectop.Action, event objectop.Event) objectop.Event {
			write, ok := action.(objectop.Write)
			sent = sent || ok && write.Key == objectop.HeadKey
			if sent {
				return objectop.Failed{Err: errors.New("gone")}
			}
			return event
		})
		assertResult[commit.Unknown](t, result)
	})
	t.Run("conflict after a lost response", func(t *testing.T) {
		sim := newSimulation()
		run(t, sim, chunksOf("a"), nil)
		result := run(t, sim, chunksOf("b"), loseHeadOnce(func() { run(t, sim, chunksOf("c"), nil) }))
		assertResult[commit.Superseded](t, result)
	})
	t.Run("conflict after a lost request", func(t *testing.T) {
		sim := newSimulation()
		run(t, sim, chunksOf("a"), nil)
		m := begin(t, sim, chunksOf("b"))
		stepToHead(sim, m)
		assertResult[commit.Succeeded](t, run(t, sim, chunksOf("c"), nil))
		action := m.Step(objectop.Failed{Err: errors.New("request lost")})
		finish(sim, m, action)
		assertResult[commit.Conflicted](t, m.Result())
	})
	t.Run("collection while a publisher pauses", func(t *testing.T) {
		sim := newSimulation()
		run(t, sim, chunksOf("a"), nil)
		m := begin(t, sim, chunksOf("b"))
		action := stepToHead(sim, m)
		report := runCollect(sim, nil)
		if report.Chunks != 1 || report.Err != nil {
			t.Errorf("report %+v, want 1 chunk removed", report)
		}
		finish(sim, m, action)
		assertResult[commit.RevisionChanged](t, m.Result())
	})
	t.Run("chunk used again while a collection pauses", func(t *testing.T) {
		sim := newSimulation()
		run(t, sim, chunksOf("a"), nil)
		stepToHead(sim, begin(t, sim, chunksOf("b")))
		sim.platform.do(objectop.Write{Key: objectop.ChunkPrefix + chunk.New([]byte("c")).Hash, Value: []byte("c")})
		report := runCollect(sim, func() {
			assertResult[commit.Succeeded](t, run(t, sim, chunksOf("b"), nil))
		})
		if report.Chunks != 1 {
			t.Errorf("report %+v, want only the chunk removed that no version references", report)
		}
		head, _ := sim.head()
		if _, ok := sim.platform.objects[objectop.ChunkPrefix+head.CustomerChunks[0]]; !ok {
			t.Errorf("a chunk of the newest version was removed")
		}
	})
	t.Run("backup restored meanwhile", func(t *testing.T) {
		sim := newSimulation()
		run(t, sim, chunksOf("a"), nil)
		sim.backup = maps.Clone(sim.platform.objects)
		m := begin(t, sim, chunksOf("b"))
		action := stepToHead(sim, m)
		run(t, sim, chunksOf("c"), nil)
		sim.restoreBackup()
		finish(sim, m, action)
		assertResult[commit.RevisionChanged](t, m.Result())
	})
	t.Run("version number above the highest confirmed", func(t *testing.T) {
		m, err := commit.New(commit.Base{HighestVersion: 41}, commit.Change{Operation: "op"})
		if err != nil || m.Head().Version != 42 {
			t.Errorf("version %v, error %v; want 42", m.Head().Version, err)
		}
	})
	t.Run("version numbers exhausted", func(t *testing.T) {
		_, err := commit.New(commit.Base{HighestVersion: commit.MaxVersion}, commit.Change{Operation: "op"})
		assertError(t, err, commit.ErrVersionsExhausted)
	})
	t.Run("head too large", func(t *testing.T) {
		_, err := commit.New(commit.Base{}, commit.Change{Operation: "op", Customers: make([]chunk.Chunk, 1), Reason: strings.Repeat("x", commit.MaxHeadBytes)})
		assertError(t, err, commit.ErrHeadTooLarge)
	})
}

// run commits one change without other processes. The filter may replace events.
func run(t *testing.T, sim *simulation, customers []chunk.Chunk, filter func(objectop.Action, objectop.Event) objectop.Event) commit.Result {
	t.Helper()
	m := begin(t, sim, customers)
	for action := m.Start(); !m.Finished(); {
		event := sim.platform.do(action)
		if filter != nil {
			event = filter(action, event)
		}
		action = m.Step(event)
	}
	return m.Result()
}

// begin returns a machine that has not started, for a change on top of the current head.
func begin(t *testing.T, sim *simulation, customers []chunk.Chunk) *commit.Machine {
	t.Helper()
	head, o := sim.head()
	sim.started++
	m, err := commit.New(
		commit.Base{Head: head, Value: o.value, Revision: o.revision},
		commit.Change{Operation: fmt.Sprintf("op%d", sim.started), Customers: customers, At: time.Unix(0, 0)},
	)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// stepToHead starts a machine and runs it up to the write of the head.
func stepToHead(sim *simulation, m *commit.Machine) objectop.Action {
	for action := m.Start(); ; action = m.Step(sim.platform.do(action)) {
		if write, ok := action.(objectop.Write); ok && write.Key == objectop.HeadKey {
			return action
		}
	}
}

// finish runs a machine to its end, starting with the action.
func finish(sim *simulation, m machine, action objectop.Action) {
	for !m.Finished() {
		action = m.Step(sim.platform.do(action))
	}
}

// runCollect runs one garbage collection. It calls beforeRemoval after the head is
// rewritten and before the first removal.
func runCollect(sim *simulation, beforeRemoval func()) gc.Report {
	m := gc.New(gc.WithMinAge(0))
	for action := m.Start(); !m.Finished(); action = m.Step(sim.platform.do(action)) {
		if _, ok := action.(objectop.Delete); ok && beforeRemoval != nil {
			beforeRemoval()
			beforeRemoval = nil
		}
	}
	return m.Report()
}

// loseHeadOnce returns a filter that replaces the response to the first write of
// the head by a failure, after calling fn.
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

// highestCopy returns the highest version number among the copies of heads, or 0.
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
		chunks = append(chunks, chunk.New([]byte(c)))
	}
	return chunks
}
