package plans

import (
	"lavenderdeal/schema/lists"
)

// Change is how the lists differ from those of another version.
type Change struct {
	// Removed and Added are customers. One that changed is in both.
	Removed, Added []lists.Customer
	// Plans is the whole list of plans, or nil when it did not change.
	Plans *lists.PlanList
}

// Update returns what [Build] returns for the lists of the previous version with
// the change applied, in a time that grows with the change. It returns false
// when the result would not be valid; Build says why. The previous version does
// not change.
func Update(previous *Version, number uint64, change Change) (*Version, bool) {
	b := builder{version: &Version{
		number:    number,
		customers: previous.customers,
		planOf:    previous.planOf,
		services:  previous.services,
		plans:     previous.plans,
	}}
	b.byKey.table, b.byName.table = &b.version.customers, &b.version.planOf
	if change.Plans != nil {
		b.version.services = make(map[string]lists.Service, len(change.Plans.Services))
		b.version.plans = make(map[string]map[string]use, len(change.Plans.Plans))
		b.addServices(change.Plans.Services)
		b.addPlans(change.Plans.Plans)
	}
	for _, c := range change.Removed {
		b.removeCustomer(c)
	}
	b.addCustomers(change.Added)
	if len(b.faults) > 0 || (change.Plans != nil && !b.version.hasAllPlans()) {
		return nil, false
	}
	return b.version, true
}

func (b *builder) removeCustomer(c lists.Customer) {
	if plan, ok := b.version.planOf.get(shardOfName(c.Name), c.Name); !ok || plan != c.Plan {
		b.fault("customers", "", "customer %s with plan %s is not in the previous version", c.Name, c.Plan)
		return
	}
	b.byName.remove(shardOfName(c.Name), c.Name)
	for _, text := range c.KeyHashes {
		if hash, ok := parseKey(text); ok {
			b.byKey.remove(shardOfKey(hash), hash)
		}
	}
}

// hasAllPlans says whether each customer's plan is listed.
func (v *Version) hasAllPlans() bool {
	for _, part := range v.planOf.shards {
		for _, plan := range part {
			if _, ok := v.plans[plan]; !ok {
				return false
			}
		}
	}
	return true
}
