// Package listdiff computes the difference between two versions of the lists of
// customers and plans.
//
//	for _, change := range listdiff.Compare(old, updated) {
//		fmt.Println(change)
//	}
package listdiff

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lavenderdeal/schema/lists"
)

// Lists holds both lists of one version.
type Lists struct {
	Customers lists.CustomerList
	Plans     lists.PlanList
}

// Kind is the kind of a change.
type Kind string

// Kinds of a change. A renamed entry is removed and added.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one entry that differs.
type Change struct {
	Kind Kind `json:"kind"`
	// Entry is customer, plan or service.
	Entry string `json:"entry"`
	Name  string `json:"name"`
	// Detail is a human-readable description of the difference. It is empty for
	// removed entries.
	Detail string `json:"detail,omitempty"`
}

// Compare returns all differences: services first, then plans, then customers, each
// sorted by name. The order of the entries in a list does not matter.
func Compare(old, updated Lists) []Change {
	var changes []Change
	changes = append(changes, compare("service", old.Plans.Services, updated.Plans.Services,
		func(s lists.Service) string { return s.Name }, describeService)...)
	changes = append(changes, compare("plan", old.Plans.Plans, updated.Plans.Plans,
		func(p lists.Plan) string { return p.Name }, describePlan)...)
	return append(changes, compare("customer", old.Customers.Customers, updated.Customers.Customers,
		func(c lists.Customer) string { return c.Name }, describeCustomer)...)
}

// compare returns the differences between two lists, whose entries are described by their
// fields, sorted by name.
func compare[T any](entry string, old, updated []T, name func(T) string, describe func(T) []string) []Change {
	before := make(map[string]T, len(old))
	for _, v := range old {
		before[name(v)] = v
	}
	var changes []Change
	for _, v := range updated {
		previous, ok := before[name(v)]
		delete(before, name(v))
		if !ok {
			changes = append(changes, Change{Added, entry, name(v), strings.Join(describe(v), ", ")})
			continue
		}
		if detail := differences(describe(previous), describe(v)); detail != "" {
			changes = append(changes, Change{Changed, entry, name(v), detail})
		}
	}
	for removed := range before {
		changes = append(changes, Change{Kind: Removed, Entry: entry, Name: removed})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// differences returns the fields that only old has, prefixed with "-", and those
// that only updated has, prefixed with "+".
func differences(old, updated []string) string {
	var parts []string
	for _, field := range old {
		if !slices.Contains(updated, field) {
			parts = append(parts, "-"+field)
		}
	}
	for _, field := range updated {
		if !slices.Contains(old, field) {
			parts = append(parts, "+"+field)
		}
	}
	return strings.Join(parts, " ")
}

func describeCustomer(c lists.Customer) []string {
	fields := []string{"plan=" + c.Plan}
	for _, hash := range c.KeyHashes {
		fields = append(fields, "keyHash="+hash)
	}
	return fields
}

func describeService(s lists.Service) []string {
	return []string{"timeout=" + s.Timeout.String()}
}

func describePlan(p lists.Plan) []string {
	var fields []string
	for _, u := range p.Uses {
		fields = append(fields, fmt.Sprintf("%s(priority=%s methods=%v pathPrefixes=%v callsPerSecond=%v concurrent=%d)",
			u.Service, u.Priority, u.Methods, u.PathPrefixes, u.CallsPerSecond, u.Concurrent))
	}
	return fields
}

// String returns the change in one line, such as
// "changed customer a: -plan=crew +plan=depot".
func (c Change) String() string {
	text := string(c.Kind) + " " + c.Entry + " " + c.Name
	if c.Detail != "" {
		text += ": " + c.Detail
	}
	return text
}
