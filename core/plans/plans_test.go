package plans_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/plans"
	"lavenderdeal/core/priority"
	"lavenderdeal/internal/proptest"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// randomLists draws valid lists. The keys of customer i are key-i-0, key-i-1 and so
// on.
func randomLists(t *rapid.T) (lists.CustomerList, lists.PlanList) {
	var customers lists.CustomerList
	var planList lists.PlanList
	services := rapid.IntRange(1, 4).Draw(t, "services")
	for i := range services {
		planList.Services = append(planList.Services, lists.Service{Name: fmt.Sprintf("service-%d", i), Timeout: units.Duration(time.Second)})
	}
	n := rapid.IntRange(1, 4).Draw(t, "plans")
	for i := range n {
		plan := lists.Plan{Name: fmt.Sprintf("plan-%d", i)}
		for j := range services {
			if rapid.Bool().Draw(t, "uses") {
				plan.Uses = append(plan.Uses, randomUse(t, planList.Services[j].Name))
			}
		}
		planList.Plans = append(planList.Plans, plan)
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "customers") {
		c := lists.Customer{Name: fmt.Sprintf("customer-%d", i), Plan: rapid.SampledFrom(planList.Plans).Draw(t, "plan").Name}
		for j := range rapid.IntRange(1, 2).Draw(t, "keys") {
			c.KeyHashes = append(c.KeyHashes, plans.HashKey(keyOf(i, j)))
		}
		customers.Customers = append(customers.Customers, c)
	}
	return customers, planList
}

func randomUse(t *rapid.T, service string) lists.Use {
	return lists.Use{
		Service:        service,
		Priority:       rapid.SampledFrom([]lists.UsePriority{"urgent", "high", "normal", "bulk"}).Draw(t, "priority"),
		Methods:        rapid.SliceOfN(rapid.SampledFrom([]lists.UseMethodsElem{"GET", "POST"}), 0, 2).Draw(t, "methods"),
		PathPrefixes:   rapid.SliceOfN(rapid.SampledFrom([]string{"/a", "/a/b", "/c"}), 0, 2).Draw(t, "prefixes"),
		CallsPerSecond: float64(rapid.IntRange(0, 3).Draw(t, "rate")),
		Concurrent:     rapid.IntRange(0, 3).Draw(t, "concurrent"),
	}
}

func keyOf(customer, key int) string { return fmt.Sprintf("key-%d-%d", customer, key) }

// allowed is a reference implementation: it decides from the lists whether a call
// of a customer is permitted.
func allowed(customers lists.CustomerList, planList lists.PlanList, name string, r plans.Request) bool {
	i := slices.IndexFunc(customers.Customers, func(c lists.Customer) bool { return c.Name == name })
	if i < 0 {
		return false
	}
	p := slices.IndexFunc(planList.Plans, func(p lists.Plan) bool { return p.Name == customers.Customers[i].Plan })
	u := slices.IndexFunc(planList.Plans[p].Uses, func(u lists.Use) bool { return u.Service == r.Service })
	if u < 0 {
		return false
	}
	use := planList.Plans[p].Uses[u]
	method := len(use.Methods) == 0 || slices.Contains(use.Methods, lists.UseMethodsElem(r.Method))
	path := len(use.PathPrefixes) == 0 || slices.ContainsFunc(use.PathPrefixes, func(prefix string) bool { return strings.HasPrefix(r.Path, prefix) })
	return method && path
}

// TestDecide compares the decisions of random versions with a reference implementation.
// The order of the lists must not matter, since each node builds its own version.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers, planList := randomLists(t)
		version := build(t, customers, planList)
		i := rapid.IntRange(0, 7).Draw(t, "customer")
		r := plans.Request{
			Key:     keyOf(i, rapid.IntRange(0, 2).Draw(t, "key")),
			Service: fmt.Sprintf("service-%d", rapid.IntRange(0, 5).Draw(t, "service")),
			Method:  rapid.SampledFrom([]string{"GET", "POST", "BREW"}).Draw(t, "method"),
			Path:    rapid.SampledFrom([]string{"/", "/a", "/a/b/c", "/c"}).Draw(t, "path"),
		}
		name := fmt.Sprintf("customer-%d", i)
		known := i < len(customers.Customers) && slices.Contains(customers.Customers[i].KeyHashes, plans.HashKey(r.Key))
		want := allowed(customers, planList, name, r)

		assertDecision(t, version.Decide(r), known && want)
		assertDecision(t, version.DecideFor(name, r), want)
		if a, ok := version.DecideFor(name, r).(plans.Allowed); ok && (a.Customer != name || a.Timeout != time.Second || a.Priority >= priority.Count) {
			t.Fatalf("allowed as %+v, want the customer's name, the timeout of the service and a valid priority", a)
		}

		// The order of the lists does not matter.
		slices.Reverse(customers.Customers)
		slices.Reverse(planList.Plans)
		slices.Reverse(planList.Services)
		if again := build(t, customers, planList).Decide(r); again != version.Decide(r) {
			t.Fatalf("decision %+v, %+v with the lists reversed", version.Decide(r), again)
		}
	})
}

// TestFaults checks that each kind of fault is found in the right field, and that a key
// entered in place of its hash does not appear in a message.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*lists.CustomerList, *lists.PlanList)
		field  string
	}{
		{"service not listed", func(_ *lists.CustomerList, p *lists.PlanList) { p.Plans[0].Uses[0].Service = "x" }, "plans: plans[0].uses[0].service"},
		{"service removed", func(_ *lists.CustomerList, p *lists.PlanList) { p.Services = nil }, "plans: plans[0].uses[0].service"},
		{"service twice", func(_ *lists.CustomerList, p *lists.PlanList) { p.Services = append(p.Services, p.Services[0]) }, "plans: services[1].name"},
		{"no timeout", func(_ *lists.CustomerList, p *lists.PlanList) { p.Services[0].Timeout = 0 }, "plans: services[0].timeout"},
		{"plan twice", func(_ *lists.CustomerList, p *lists.PlanList) { p.Plans = append(p.Plans, p.Plans[0]) }, "plans: plans[1].name"},
		{"use twice", func(_ *lists.CustomerList, p *lists.PlanList) {
			p.Plans[0].Uses = append(p.Plans[0].Uses, p.Plans[0].Uses[0])
		}, "plans: plans[0].uses[1].service"},
		{"priority unknown", func(_ *lists.CustomerList, p *lists.PlanList) { p.Plans[0].Uses[0].Priority = "x" }, "plans: plans[0].uses[0].priority"},
		{"plan not listed", func(c *lists.CustomerList, _ *lists.PlanList) { c.Customers[0].Plan = "x" }, "customers: customers[0].plan"},
		{"customer twice", func(c *lists.CustomerList, _ *lists.PlanList) { c.Customers = append(c.Customers, c.Customers[0]) }, "customers: customers[1].name"},
		{"key of two customers", func(c *lists.CustomerList, _ *lists.PlanList) {
			c.Customers = append(c.Customers, lists.Customer{Name: "other", Plan: "crew", KeyHashes: c.Customers[0].KeyHashes})
		}, "customers: customers[1].keyHashes[0]"},
		{"key in place of its hash", func(c *lists.CustomerList, _ *lists.PlanList) { c.Customers[0].KeyHashes[0] = "clear-key" }, "customers: customers[0].keyHashes[0]"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			customers := lists.CustomerList{Customers: []lists.Customer{{Name: "palermo", Plan: "crew", KeyHashes: []string{plans.HashKey("key")}}}}
			planList := lists.PlanList{
				Services: []lists.Service{{Name: "tours", Timeout: units.Duration(time.Second)}},
				Plans:    []lists.Plan{{Name: "crew", Uses: []lists.Use{{Service: "tours", Priority: "high"}}}},
			}
			tt.change(&customers, &planList)
			version, faults := plans.Build(1, customers, planList)
			if version != nil {
				t.Error("a version with a fault was built")
			}
			if !slices.ContainsFunc(faults, func(f plans.Fault) bool { return strings.HasPrefix(f.String(), tt.field+": ") }) {
				t.Errorf("faults %v, want one in %s", faults, tt.field)
			}
			for _, f := range faults {
				if strings.Contains(f.Message, "clear-key") {
					t.Errorf("fault %v contains the key", f)
				}
			}
		})
	}
}

// TestDotSegments checks that a path cannot leave an allowed prefix by dot segments, which
// the backend server would resolve.
func TestDotSegments(t *testing.T) {
	use := lists.Use{Service: "tours", Priority: "high", PathPrefixes: []string{"/tickets"}}
	version, faults := plans.Build(1,
		lists.CustomerList{Customers: []lists.Customer{{Name: "palermo", Plan: "crew", KeyHashes: []string{plans.HashKey("key")}}}},
		lists.PlanList{
			Services: []lists.Service{{Name: "tours", Timeout: units.Duration(time.Second)}},
			Plans:    []lists.Plan{{Name: "crew", Uses: []lists.Use{use}}},
		})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for path, want := range map[string]bool{
		"/tickets/7":            true,
		"/tickets/7..8/.a":      true,
		"/tickets/../rosters":   false,
		"/tickets/./..":         false,
		`/tickets\..\rosters`:   false,
		"/tickets/..":           false,
		"/rosters":              false,
		"/x/../tickets/rosters": false,
	} {
		t.Run(path, func(t *testing.T) {
			_, got := version.Decide(plans.Request{Key: "key", Service: "tours", Method: "GET", Path: path}).(plans.Allowed)
			if got != want {
				t.Errorf("allowed %t, want %t", got, want)
			}
		})
	}
}

func build(t *rapid.T, customers lists.CustomerList, planList lists.PlanList) *plans.Version {
	version, faults := plans.Build(1, customers, planList)
	if len(faults) > 0 {
		t.Fatalf("faults %v", faults)
	}
	return version
}

func assertDecision(t *rapid.T, d plans.Decision, want bool) {
	switch d := d.(type) {
	case plans.Allowed:
		if !want {
			t.Fatalf("allowed %+v, want a refusal", d)
		}
	case plans.Refused:
		if want || d.Rule == "" {
			t.Fatalf("refused %+v, want allowed: %t", d, want)
		}
	}
}
