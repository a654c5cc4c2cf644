package plans_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
)

// TestUpdateIsBuild checks that a sequence of updates has the same result as Build
// on the complete lists, and that Update refuses exactly what Build refuses.
func TestUpdateIsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers := map[string]lists.Customer{}
		planList := planListOf("gold", "silver")
		version, _ := plans.Build(1, lists.CustomerList{}, planList)
		for number := range rapid.Uint64Range(2, 8).Draw(t, "changes") {
			next := maps.Clone(customers)
			var change plans.Change
			for range rapid.IntRange(0, 4).Draw(t, "customers") {
				drawChange(t, next)
			}
			for name, c := range customers {
				if now, ok := next[name]; !ok || !sameCustomer(now, c) {
					change.Removed = append(change.Removed, c)
				}
			}
			for name, c := range next {
				if before, ok := customers[name]; !ok || !sameCustomer(before, c) {
					change.Added = append(change.Added, c)
				}
			}
			nextPlans := planList
			if rapid.Bool().Draw(t, "plansChange") {
				nextPlans = planListOf(rapid.SampledFrom([]string{"gold", "bronze"}).Draw(t, "plan"), "silver")
				change.Plans = &nextPlans
			}
			built, faults := plans.Build(number+2, listOf(next), nextPlans)
			updated, ok := plans.Update(version, number+2, change)
			if ok != (len(faults) == 0) {
				t.Fatalf("update accepts: %v, faults of the build: %v", ok, faults)
			}
			if !ok {
				continue
			}
			assertSame(t, updated, built)
			customers, planList, version = next, nextPlans, updated
		}
	})
}

// TestUpdateLeavesPrevious checks that an update does not change the previous version, which
// calls still read while the new one is built.
func TestUpdateLeavesPrevious(t *testing.T) {
	a := lists.Customer{Name: "a", Plan: "gold", KeyHashes: []string{plans.HashKey("a")}}
	first, _ := plans.Build(1, lists.CustomerList{Customers: []lists.Customer{a}}, planListOf("gold", "silver"))
	second, ok := plans.Update(first, 2, plans.Change{Removed: []lists.Customer{a}})
	if !ok {
		t.Fatal("the change was refused")
	}
	if _, ok := first.Decide(plans.Request{Key: "a", Service: "s"}).(plans.Allowed); !ok {
		t.Error("the previous version changed")
	}
	if _, ok := second.Decide(plans.Request{Key: "a", Service: "s"}).(plans.Refused); !ok {
		t.Error("the removed customer is still allowed")
	}
}

// drawChange adds, replaces or removes one customer.
func drawChange(t *rapid.T, customers map[string]lists.Customer) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		delete(customers, name)
		return
	}
	c := lists.Customer{Name: name, Plan: rapid.SampledFrom([]string{"gold", "silver", "bronze"}).Draw(t, "plan")}
	for range rapid.IntRange(0, 2).Draw(t, "keys") {
		c.KeyHashes = append(c.KeyHashes, plans.HashKey(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"}).Draw(t, "key")))
	}
	customers[name] = c
}

func sameCustomer(a, b lists.Customer) bool {
	return a.Plan == b.Plan && slices.Equal(a.KeyHashes, b.KeyHashes)
}

func listOf(customers map[string]lists.Customer) lists.CustomerList {
	return lists.CustomerList{Customers: slices.Collect(maps.Values(customers))}
}

func planListOf(names ...string) lists.PlanList {
	list := lists.PlanList{Services: []lists.Service{{Name: "s", Timeout: units.Duration(time.Second)}}}
	for _, name := range names {
		list.Plans = append(list.Plans, lists.Plan{Name: name, Uses: []lists.Use{{Service: "s", Priority: lists.UsePriorityHigh}}})
	}
	return list
}

// assertSame checks that two versions have the same sizes and decisions.
func assertSame(t *rapid.T, got, want *plans.Version) {
	t.Helper()
	gotSizes, wantSizes := fmt.Sprint(got.Sizes()), fmt.Sprint(want.Sizes())
	if got.Number() != want.Number() || gotSizes != wantSizes {
		t.Fatalf("got version %d with sizes %s, want %d with %s", got.Number(), gotSizes, want.Number(), wantSizes)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		r := plans.Request{Service: "s"}
		if g, w := got.DecideFor(name, r), want.DecideFor(name, r); g != w {
			t.Fatalf("customer %s: got %+v, want %+v", name, g, w)
		}
	}
	for i := range 9 {
		r := plans.Request{Key: fmt.Sprint("k", i+1), Service: "s"}
		if g, w := got.Decide(r), want.Decide(r); g != w {
			t.Fatalf("key %s: got %+v, want %+v", r.Key, g, w)
		}
	}
}
