package publish_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/gc"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

const (
	manyCustomers = 100_000
	// maxHeadBytes is a tenth of the platform's limit of 1 MB for a value.
	maxHeadBytes = 100 << 10
)

var change = publish.Change{Author: "test", Reason: "trial"}

// start runs a stand-in for the platform and returns it with a client.
func start(t *testing.T) (*objectapi.Store, publish.Store) {
	t.Helper()
	store := objectapi.New()
	client := platform.New(testserver.Start(t, store).Addr())
	t.Cleanup(client.Close)
	return store, publish.Store{Objects: client}
}

func customersOf(n int) lists.CustomerList {
	list := lists.CustomerList{Customers: make([]lists.Customer, n)}
	for i := range list.Customers {
		name := fmt.Sprintf("customer-%06d", i)
		list.Customers[i] = lists.Customer{Name: name, Plan: "basic", KeyHashes: []string{plans.HashKey(name)}}
	}
	return list
}

func planList() lists.PlanList {
	return lists.PlanList{
		Services: []lists.Service{{Name: "tours", Timeout: units.Duration(time.Second)}},
		Plans: []lists.Plan{
			{Name: "basic", Uses: []lists.Use{{Service: "tours", Priority: "normal", Methods: []lists.UseMethodsElem{}, PathPrefixes: []string{}}}},
			{Name: "better", Uses: []lists.Use{}},
		},
	}
}

func apply(t *testing.T, s publish.Store, customers lists.CustomerList) objects.Head {
	t.Helper()
	head, err := s.Apply(t.Context(), current(t, s), customers, planList(), change)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

func current(t *testing.T, s publish.Store) publish.Current {
	t.Helper()
	c, err := s.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestOneChangeMovesOneChunk guards against a change of one customer that writes more
// than the chunk with this customer, and against a head that grows too large for the
// platform with many customers.
func TestOneChangeMovesOneChunk(t *testing.T) {
	api, store := start(t)
	customers := customersOf(manyCustomers)
	apply(t, store, customers)
	before := api.Counts()
	customers.Customers[manyCustomers/2].Plan = "better"
	head := apply(t, store, customers)

	if n := api.Counts().Writes - before.Writes; n != 3 {
		t.Errorf("%d writes, want 3: one chunk, the copy of the old head and the head", n)
	}
	value := len(current(t, store).Value)
	if value > maxHeadBytes {
		t.Errorf("head of %d bytes, want at most %d", value, maxHeadBytes)
	}
	t.Logf("head %d bytes, %d and %d chunks", value, len(head.CustomerChunks), len(head.PlanChunks))
	loaded, _, err := store.Load(t.Context(), head)
	if err != nil || len(loaded.Customers) != manyCustomers {
		t.Errorf("%d customers loaded, error %v; want all customers", len(loaded.Customers), err)
	}
}

// TestApply guards against a wrong report of the outcome: a change reported as failed
// although it was made, or as made although it was not. This happens when an answer of
// the platform is lost or another publisher writes first. It also guards against
// writing lists that nodes would reject.
func TestApply(t *testing.T) {
	t.Run("lost answer", func(t *testing.T) {
		api, store := start(t)
		apply(t, store, customersOf(3))
		c := current(t, store)
		// The answers to the writes of the chunk, the copy and the head are lost.
		api.SetFaults(objectapi.Faults{LostWriteResponses: 3})
		head, err := store.Apply(t.Context(), c, customersOf(4), planList(), change)
		if err != nil || head.Version != 2 {
			t.Fatalf("version %d, error %v; want 2", head.Version, err)
		}
		assertNewest(t, store, head)
	})
	t.Run("conflict", func(t *testing.T) {
		_, store := start(t)
		apply(t, store, customersOf(3))
		stale := current(t, store)
		winner := apply(t, store, customersOf(4))
		_, err := store.Apply(t.Context(), stale, customersOf(5), planList(), change)
		var conflict *publish.ConflictError
		if !errors.As(err, &conflict) || conflict.Winner.Operation != winner.Operation {
			t.Errorf("error %v, want a conflict won by %s", err, winner.Operation)
		}
		assertNewest(t, store, winner)
	})
	t.Run("invalid lists", func(t *testing.T) {
		api, store := start(t)
		_, err := store.Apply(t.Context(), publish.Current{}, customersOf(1), lists.PlanList{}, change)
		assertNothingWritten(t, api, err, "plan basic is not listed")
	})
	t.Run("author that nodes would reject", func(t *testing.T) {
		api, store := start(t)
		_, err := store.Apply(t.Context(), publish.Current{}, customersOf(1), planList(), publish.Change{Author: strings.Repeat("x", 1000)})
		assertNothingWritten(t, api, err, "author")
	})
	t.Run("entry that nodes would reject", func(t *testing.T) {
		api, store := start(t)
		customers := customersOf(1)
		customers.Customers[0].KeyHashes = nil
		_, err := store.Apply(t.Context(), publish.Current{}, customers, planList(), change)
		assertNothingWritten(t, api, err, "customers[0].keyHashes")
	})
	t.Run("platform unreachable", func(t *testing.T) {
		api, store := start(t)
		c := current(t, store)
		api.SetFaults(objectapi.Faults{Down: true})
		_, err := store.Apply(t.Context(), c, customersOf(1), planList(), change)
		var unknown *publish.UnknownError
		if err == nil || errors.As(err, &unknown) {
			t.Errorf("error %v, want an error other than *publish.UnknownError", err)
		}
	})
	t.Run("rate limit of the platform", func(t *testing.T) {
		api, store := start(t)
		c := current(t, store)
		api.SetLimits(objectapi.Limits{WritesPerSecond: 50})
		if _, err := store.Apply(t.Context(), c, customersOf(20_000), planList(), change); err != nil {
			t.Errorf("error %v, want the writes to be retried", err)
		}
		if api.Counts().Refused == 0 {
			t.Error("the rate limit refused no request")
		}
	})
	t.Run("context canceled after the head was sent", func(t *testing.T) {
		api, store := start(t)
		c := current(t, store)
		ctx, cancel := context.WithCancel(t.Context())
		store.Objects = &cancelAtHead{Objects: store.Objects, api: api, cancel: cancel}
		_, err := store.Apply(ctx, c, customersOf(1), planList(), change)
		var unknown *publish.UnknownError
		if !errors.As(err, &unknown) || unknown.Operation == "" {
			t.Errorf("error %v, want a *publish.UnknownError with the operation", err)
		}
	})
}

// cancelAtHead drops the answer to the write of the head and then cancels the
// writer's context.
type cancelAtHead struct {
	publish.Objects
	api    *objectapi.Store
	cancel context.CancelFunc
}

func (c *cancelAtHead) Put(ctx context.Context, key string, value []byte, after platform.Revision) (platform.Revision, error) {
	if key != publish.HeadKey {
		return c.Objects.Put(ctx, key, value, after)
	}
	c.api.SetFaults(objectapi.Faults{LostWriteResponses: 1})
	defer c.cancel()
	return c.Objects.Put(ctx, key, value, after)
}

// TestRace runs concurrent publishers and garbage collections over real sockets
// while answers are lost. Each change must be made once or be refused, and every
// version must stay readable.
func TestRace(t *testing.T) {
	const publishers, changes = 4, 6
	api, store := start(t)
	apply(t, store, customersOf(1))
	var mu sync.Mutex
	made, refused := map[string]bool{}, 0
	var group errgroup.Group
	for p := range publishers {
		group.Go(func() error {
			for n := range changes {
				api.SetFaults(objectapi.Faults{LostWriteResponses: 1})
				c, err := store.Current(t.Context())
				if err != nil {
					return err
				}
				head, err := store.Apply(t.Context(), c, customersOf(1+p+publishers*n), planList(), change)
				var unknown *publish.UnknownError
				var superseded *publish.SupersededError
				mu.Lock()
				switch {
				case err == nil, errors.As(err, &superseded):
					made[head.Operation] = true
				case errors.As(err, &unknown):
					t.Errorf("error %v, want the outcome to be known", err)
				default:
					// With any other error nothing was changed.
					refused++
				}
				mu.Unlock()
				store.Collect(t.Context(), gc.WithMinAge(0))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	heads, err := store.History(t.Context(), 1+publishers*changes)
	if err != nil {
		t.Fatal(err)
	}
	// The first version was made before the race.
	if len(heads) != 1+len(made) || len(made)+refused != publishers*changes {
		t.Errorf("%d versions, %d changes made and %d refused; want one version more than changes made, and each change made or refused", len(heads), len(made), refused)
	}
	for i, head := range heads[:len(heads)-1] {
		if !made[head.Operation] || head.Version <= heads[i+1].Version {
			t.Errorf("version %d by operation %s after version %d, made %t", head.Version, head.Operation, heads[i+1].Version, made[head.Operation])
		}
		if _, _, err := store.Load(t.Context(), head); err != nil {
			t.Errorf("version %d: %v", head.Version, err)
		}
	}
	t.Logf("%d made, %d refused", len(made), refused)
}

// TestRestoredPlatform guards against a version number that is used twice: a platform
// that was restored from a backup has lost the newest heads, but nodes still have
// those versions in force.
func TestRestoredPlatform(t *testing.T) {
	api, store := start(t)
	apply(t, store, customersOf(1))
	backup := api.Snapshot()
	second := apply(t, store, customersOf(2))

	t.Run("a zone has a higher version", func(t *testing.T) {
		api.Restore(backup)
		putStatus(t, store, objects.ZoneStatus{Zone: "palermo", Version: second.Version, Operation: second.Operation})
		c := current(t, store)
		if !strings.Contains(c.RollbackReason, "palermo") {
			t.Errorf("rollback reason %q, want the name of the zone in it", c.RollbackReason)
		}
		if head := apply(t, store, customersOf(3)); head.Version != second.Version+1 {
			t.Errorf("version %d, want %d", head.Version, second.Version+1)
		}
	})
	t.Run("other content under a confirmed number", func(t *testing.T) {
		api.Restore(backup)
		other := apply(t, store, customersOf(4))
		putStatus(t, store, objects.ZoneStatus{Zone: "palermo", Version: other.Version, Operation: second.Operation})
		if c := current(t, store); !strings.Contains(c.RollbackReason, "other content") {
			t.Errorf("rollback reason %q, want other content under the version", c.RollbackReason)
		}
	})
	t.Run("all objects but a status lost", func(t *testing.T) {
		api.Restore(nil)
		putStatus(t, store, objects.ZoneStatus{Zone: "palermo", Version: 41})
		if head := apply(t, store, customersOf(1)); head.Version != 42 {
			t.Errorf("version %d, want 42", head.Version)
		}
	})
}

// TestHistory guards against earlier versions that can't be listed or restored.
func TestHistory(t *testing.T) {
	_, store := start(t)
	for n := range 4 {
		apply(t, store, customersOf(n+1))
	}
	t.Run("newest first", func(t *testing.T) {
		heads, err := store.History(t.Context(), 3)
		if err != nil || len(heads) != 3 || heads[0].Version != 4 || heads[2].Version != 2 {
			t.Errorf("history %v, error %v; want versions 4, 3, 2", heads, err)
		}
	})
	t.Run("restore", func(t *testing.T) {
		head, err := store.Restore(t.Context(), current(t, store), 2, change)
		if err != nil || head.Version != 5 {
			t.Fatalf("version %d, error %v; want 5", head.Version, err)
		}
		customers, _, err := store.Load(t.Context(), head)
		if err != nil || len(customers.Customers) != 2 {
			t.Errorf("%d customers, error %v; want 2", len(customers.Customers), err)
		}
	})
	t.Run("restore a version that never existed", func(t *testing.T) {
		_, err := store.Restore(t.Context(), current(t, store), 77, change)
		if !errors.Is(err, publish.ErrVersionNotFound) {
			t.Errorf("error %v, want %v", err, publish.ErrVersionNotFound)
		}
	})
}

// TestCollect guards against a collection that leaves unreferenced chunks or removes
// chunks of the versions that it keeps.
func TestCollect(t *testing.T) {
	_, store := start(t)
	for n := range 4 {
		apply(t, store, customersOf(n+1))
	}
	report := store.Collect(t.Context(), gc.WithKeep(1), gc.WithMinAge(0))
	// Versions 1 and 2 are removed, each with its chunk of customers.
	if report.Err != nil || report.Chunks != 2 || report.Copies != 2 {
		t.Errorf("report %+v, want 2 chunks and 2 copies removed", report)
	}
	for _, version := range []uint64{3, 4} {
		head, err := store.Find(t.Context(), version)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := store.Load(t.Context(), head); err != nil {
			t.Errorf("version %d: %v", version, err)
		}
	}
}

func putStatus(t *testing.T, s publish.Store, status objects.ZoneStatus) {
	t.Helper()
	status.Writer = "test"
	value := marshal(t, status)
	object, err := s.Objects.Get(t.Context(), publish.StatusPrefix+status.Zone)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := s.Objects.Put(t.Context(), publish.StatusPrefix+status.Zone, value, object.Revision); err != nil {
		t.Fatal(err)
	}
}

func assertNothingWritten(t *testing.T, api *objectapi.Store, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q in it", err, want)
	}
	if n := api.Counts().Writes; n != 0 {
		t.Errorf("%d writes, want none", n)
	}
}

func assertNewest(t *testing.T, s publish.Store, head objects.Head) {
	t.Helper()
	if c := current(t, s); c.Head.Operation != head.Operation {
		t.Errorf("newest is version %d by operation %s, want operation %s", c.Head.Version, c.Head.Operation, head.Operation)
	}
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
