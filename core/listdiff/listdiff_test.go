package listdiff_test

import (
	"slices"
	"testing"

	"lavenderdeal/core/listdiff"
	"lavenderdeal/schema/lists"
)

// TestCompare checks that operators see each difference between two versions, and none if
// only the order of a list changed.
func TestCompare(t *testing.T) {
	customers := func(c ...lists.Customer) listdiff.Lists {
		return listdiff.Lists{Customers: lists.CustomerList{Customers: c}}
	}
	plans := func(uses ...lists.Use) listdiff.Lists {
		return listdiff.Lists{Plans: lists.PlanList{Plans: []lists.Plan{{Name: "crew", Uses: uses}}}}
	}
	a := lists.Customer{Name: "a", Plan: "crew", KeyHashes: []string{"1"}}
	b := lists.Customer{Name: "b", Plan: "crew", KeyHashes: []string{"2"}}
	moved := lists.Customer{Name: "a", Plan: "depot", KeyHashes: []string{"1"}}
	for _, tt := range []struct {
		name         string
		old, updated listdiff.Lists
		want         []string
	}{
		{"same in another order", customers(a, b), customers(b, a), nil},
		{"added and removed", customers(a), customers(b), []string{"removed customer a", "added customer b: plan=crew, keyHash=2"}},
		{"other plan", customers(a), customers(moved), []string{"changed customer a: -plan=crew +plan=depot"}},
		{
			"limit of a use", plans(lists.Use{Service: "tours", Priority: "high"}), plans(lists.Use{Service: "tours", Priority: "high", Concurrent: 3}),
			[]string{"changed plan crew: -tours(priority=high methods=[] pathPrefixes=[] callsPerSecond=0 concurrent=0) +tours(priority=high methods=[] pathPrefixes=[] callsPerSecond=0 concurrent=3)"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, change := range listdiff.Compare(tt.old, tt.updated) {
				got = append(got, change.String())
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("changes\n%q, want\n%q", got, tt.want)
			}
		})
	}
}
