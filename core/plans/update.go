package plans

import (
	"lavenderdeal/schema/lists"
)

// Change is the difference between the lists of two versions.
type Change struct {
	// Removed and Added are customers. A modified customer is in both: in Removed as it
	// was, in Added as it is.
	Removed, Added []lists.Customer
	// Plans is the complete new list of plans, or nil if it did not change.
	Plans *lists.PlanList
}

// Update returns the version that [Build] returns for the lists of the previous
// version with the change applied, in time proportional to the change unless the plans
// changed. It returns false if the result is invalid or the change does not fit the
// previous version; call Build to get the faults. The previous version is not modified.
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
		b.addFault("customers", "", "customer %s with plan %s is not in the previous version", c.Name, c.Plan)
		return
	}
	b.byName.remove(shardOfName(c.Name), c.Name)
	for _, text := range c.KeyHashes {
		if hash, ok := parseKeyHash(text); ok {
			b.byKey.remove(shardOfKey(hash), hash)
		}
	}
}

// hasAllPlans reports whether the plan of every customer is listed.
func (v *Version) hasAllPlans() bool {
	for _, shard := range v.planOf.shards {
		for _, plan := range shard {
			if _, ok := v.plans[plan]; !ok {
				return false
			}
		}
	}
	return true
}
