package follow_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/follow"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

var now = time.Unix(1_000_000, 0)

// publishedVersion is an encoded head with its chunks.
type publishedVersion struct {
	raw    []byte
	chunks [][]byte
}

// versionOf returns a version with one customer per name. The only listed plan is
// gold; any other plan makes the version invalid.
func versionOf(number uint64, plan string, names ...string) publishedVersion {
	var s publishedVersion
	head := objects.Head{Version: number, Operation: plans.HashKey(strings.Join(append([]string{plan}, names...), "-")), ChangedAt: now.UTC()}
	add := func(list any) string {
		c := chunk.New(mustMarshal(list))
		s.chunks = append(s.chunks, c.Data)
		return c.Hash
	}
	for _, name := range names {
		head.CustomerChunks = append(head.CustomerChunks, add(lists.CustomerList{Customers: []lists.Customer{
			{Name: name, Plan: plan, KeyHashes: []string{plans.HashKey(name)}},
		}}))
	}
	head.PlanChunks = []string{add(lists.PlanList{
		Services: []lists.Service{{Name: "s", Timeout: units.Duration(time.Second)}},
		Plans:    []lists.Plan{{Name: "gold", Uses: []lists.Use{{Service: "s", Priority: lists.UsePriorityHigh}}}},
	})}
	s.raw = mustMarshal(head)
	return s
}

// passVersion passes a head and its chunks to a machine and returns all effects.
func passVersion(m *follow.Machine, from follow.Source, s publishedVersion) []follow.Effect {
	effects := slices.Clone(m.Step(now, follow.HeadReceived{From: from, Raw: s.raw}))
	return append(effects, m.Step(now, follow.ChunksReceived{From: from, Chunks: s.chunks})...)
}

// TestMachine checks which version a node applies and what it fetches, in single cases
// that TestCluster reaches only by chance.
func TestMachine(t *testing.T) {
	t.Run("a change of one chunk fetches one chunk", func(t *testing.T) {
		var m follow.Machine
		passVersion(&m, follow.Platform, versionOf(1, "gold", "a", "b", "c"))
		next := versionOf(2, "gold", "a", "b", "d")
		fetch := onlyEffect[follow.FetchChunks](t, m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: next.raw}))
		assertEqual(t, len(fetch.Hashes), 1)
		assertEqual(t, fetch.Hashes[0], chunk.New(next.chunks[2]).Hash)
	})
	t.Run("a bad version is reported once and does not stop the next", func(t *testing.T) {
		var m follow.Machine
		bad := versionOf(1, "none", "a")
		rejected := onlyEffect[follow.Reject](t, passVersion(&m, follow.Platform, bad))
		assertEqual(t, rejected.Number, 1)
		assertEqual(t, len(rejected.Reasons), 1)
		assertEqual(t, len(m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: bad.raw})), 0)
		applied := onlyEffect[follow.Apply](t, passVersion(&m, follow.Platform, versionOf(2, "gold", "a")))
		assertEqual(t, applied.Version.Number(), 2)
	})
	t.Run("the version before a bad one is applied", func(t *testing.T) {
		var m follow.Machine
		good, bad := versionOf(1, "gold", "a"), versionOf(2, "none", "b")
		m.Step(now, follow.HeadReceived{From: "n1", Raw: good.raw})
		passVersion(&m, "n2", bad)
		applied := onlyEffect[follow.Apply](t, m.Step(now, follow.ChunksReceived{From: "n1", Chunks: good.chunks}))
		assertEqual(t, applied.Version.Number(), 1)
	})
	t.Run("a rejected number is searched for when peers hold other content", func(t *testing.T) {
		var m follow.Machine
		passVersion(&m, follow.Platform, versionOf(1, "none", "a"))
		m.Step(now, follow.PeersChanged{Peers: []follow.Source{"n1"}})
		onlyEffect[follow.FetchHead](t, m.Step(now, follow.VersionReported{Number: 1}))
		applied := onlyEffect[follow.Apply](t, passVersion(&m, "n1", versionOf(1, "gold", "a")))
		assertEqual(t, applied.Version.Number(), 1)
	})
	t.Run("a rejected version that peers hold is not requested again", func(t *testing.T) {
		var m follow.Machine
		bad := versionOf(1, "none", "a")
		passVersion(&m, follow.Platform, bad)
		m.Step(now, follow.PeersChanged{Peers: []follow.Source{"n1"}})
		onlyEffect[follow.FetchHead](t, m.Step(now, follow.VersionReported{Number: 1}))
		m.Step(now, follow.HeadReceived{From: "n1", Raw: bad.raw})
		assertEqual(t, len(m.Step(now, follow.VersionReported{Number: 1})), 0)
	})
	t.Run("other content under the same number is a conflict, reported once", func(t *testing.T) {
		var m follow.Machine
		passVersion(&m, follow.Platform, versionOf(3, "gold", "a"))
		other := versionOf(3, "gold", "b")
		conflict := onlyEffect[follow.Conflict](t, m.Step(now, follow.HeadReceived{From: "n1", Raw: other.raw}))
		assertEqual(t, conflict.Number, 3)
		assertEqual(t, len(m.Step(now, follow.HeadReceived{From: "n1", Raw: other.raw})), 0)
		if _, ok := m.Version().DecideFor("a", plans.Request{Service: "s"}).(plans.Allowed); !ok {
			t.Error("the content changed under the same number")
		}
	})
	t.Run("a platform that falls behind is reported once, and once when it is back", func(t *testing.T) {
		var m follow.Machine
		old, held := versionOf(2, "gold", "a"), versionOf(5, "gold", "b")
		passVersion(&m, follow.Platform, held)
		behind := onlyEffect[follow.PlatformBehind](t, m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: old.raw}))
		assertEqual(t, behind.Platform, 2)
		assertEqual(t, len(m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: old.raw})), 0)
		onlyEffect[follow.PlatformBehind](t, m.Step(now, follow.PlatformEmpty{}))
		onlyEffect[follow.PlatformCaughtUp](t, m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: held.raw}))
		assertEqual(t, m.Held().Version, 5)
	})
	t.Run("a lost answer leads to a request to another source", func(t *testing.T) {
		var m follow.Machine
		m.Step(now, follow.PeersChanged{Peers: []follow.Source{"n1", "n2"}})
		v := versionOf(1, "gold", "a")
		assertEqual(t, onlyEffect[follow.FetchChunks](t, m.Step(now, follow.HeadReceived{From: "n1", Raw: v.raw})).From, "n1")
		later := now.Add(time.Minute)
		assertEqual(t, onlyEffect[follow.FetchChunks](t, m.Step(later, follow.Tick{})).From, "n2")
	})
	t.Run("fewer chunks are requested from a source that is too slow for a batch", func(t *testing.T) {
		var m follow.Machine
		names := make([]string, 40)
		for i := range names {
			names[i] = fmt.Sprintf("customer-%d", i)
		}
		v := versionOf(1, "gold", names...)
		m.Step(now, follow.PeersChanged{Peers: []follow.Source{"n1"}})
		requested := len(onlyEffect[follow.FetchChunks](t, m.Step(now, follow.HeadReceived{From: "n1", Raw: v.raw})).Hashes)
		at := now
		for requested > 1 {
			at = at.Add(time.Minute)
			m.Step(at, follow.FetchFailed{From: "n1"})
			at = at.Add(time.Minute)
			fewer := len(onlyEffect[follow.FetchChunks](t, m.Step(at, follow.Tick{})).Hashes)
			if fewer >= requested {
				t.Fatalf("%d chunks after a failure, %d before", fewer, requested)
			}
			requested = fewer
		}
	})
	t.Run("chunks that do not match their hash are reported and not stored", func(t *testing.T) {
		var m follow.Machine
		v := versionOf(1, "gold", "a")
		m.Step(now, follow.HeadReceived{From: "n1", Raw: v.raw})
		effects := m.Step(now, follow.ChunksReceived{From: "n1", Chunks: [][]byte{[]byte(`{"customers":[]}`)}})
		assertEqual(t, onlyEffect[follow.InvalidData](t, effects).From, "n1")
		assertEqual(t, len(m.Chunks()), 0)
	})
	t.Run("a malformed head from the platform is rejected", func(t *testing.T) {
		var m follow.Machine
		rejected := onlyEffect[follow.Reject](t, m.Step(now, follow.HeadReceived{From: follow.Platform, Raw: []byte("{}")}))
		assertEqual(t, rejected.Number, 0)
	})
	t.Run("chunks of old versions are dropped", func(t *testing.T) {
		var m follow.Machine
		passVersion(&m, follow.Platform, versionOf(1, "gold", "a", "b"))
		passVersion(&m, follow.Platform, versionOf(2, "gold", "a", "c"))
		assertEqual(t, len(m.Chunks()), 3)
	})
}

// TestAnnouncement checks that a receiver rebuilds exactly the announced head or none. A
// head that differs in one byte has another hash, and peers would report a conflict.
func TestAnnouncement(t *testing.T) {
	base, next := decode(t, versionOf(1, "gold", "a", "b", "c", "d", "e")), decode(t, versionOf(2, "gold", "a", "b", "x", "d", "e"))
	t.Run("the receiver rebuilds the head byte for byte", func(t *testing.T) {
		raw, ok := follow.Patch(base, follow.Announcement("n1", next, base))
		if !ok || !bytes.Equal(raw, next.Raw) {
			t.Fatalf("got %s, %v, want %s", raw, ok, next.Raw)
		}
	})
	t.Run("edits that do not result in the announced hash are refused", func(t *testing.T) {
		a := follow.Announcement("n1", next, base)
		a.CustomerEdits = nil
		if _, ok := follow.Patch(base, a); ok {
			t.Fatal("a head was rebuilt that was never published")
		}
	})
	t.Run("edits of another base are refused", func(t *testing.T) {
		if _, ok := follow.Patch(next, follow.Announcement("n1", next, base)); ok {
			t.Fatal("edits were applied to another head")
		}
	})
	t.Run("a head with another number of chunks is announced without edits", func(t *testing.T) {
		a := follow.Announcement("n1", decode(t, versionOf(2, "gold", "a")), base)
		assertEqual(t, a.Base, "")
	})
}

// FuzzPatch applies arbitrary edits. The result must have the announced hash.
func FuzzPatch(f *testing.F) {
	v := versionOf(1, "gold", "a", "b")
	base, err := follow.DecodeHead(v.raw)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(mustMarshal(messages.Announce{Base: base.Hash, CustomerEdits: []messages.Edit{{Index: 9, Hash: "x"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a messages.Announce
		if json.Unmarshal(data, &a) != nil {
			return
		}
		a.Base = base.Hash
		if raw, ok := follow.Patch(base, a); ok && chunk.New(raw).Hash != a.Hash {
			t.Fatal("a head was accepted that does not match its hash")
		}
	})
}

// FuzzDecodeHead decodes arbitrary heads. None without a version number may be accepted.
func FuzzDecodeHead(f *testing.F) {
	f.Add(versionOf(1, "gold", "a").raw)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if head, err := follow.DecodeHead(data); err == nil && head.Version == 0 {
			t.Fatal("a head without a version was accepted")
		}
	})
}

func decode(t *testing.T, s publishedVersion) follow.Head {
	t.Helper()
	head, err := follow.DecodeHead(s.raw)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// onlyEffect returns the single effect of a type.
func onlyEffect[E follow.Effect](t *testing.T, effects []follow.Effect) E {
	t.Helper()
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d effects %T in %+v, want one", len(found), *new(E), effects)
	}
	return found[0]
}

func assertEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
