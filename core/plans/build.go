package plans

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/core/priority"
	"lavenderdeal/schema/lists"
)

// Fault is a validation error in the content of the lists.
type Fault struct {
	// List is "customers" or "plans".
	List string
	// Field is the path to the value, such as "plans[2].uses[0].service".
	Field   string
	Message string
}

// Build validates both lists and returns the version, or all faults. The result
// depends only on the content, so that all nodes get the same one.
func Build(number uint64, customers lists.CustomerList, plans lists.PlanList) (*Version, []Fault) {
	b := builder{
		version: &Version{
			number:   number,
			services: make(map[string]lists.Service, len(plans.Services)),
			plans:    make(map[string]map[string]use, len(plans.Plans)),
		},
	}
	b.byKey.table, b.byName.table = &b.version.customers, &b.version.planOf
	b.addServices(plans.Services)
	b.addPlans(plans.Plans)
	b.addCustomers(customers.Customers)
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.version, nil
}

// builder adds lists to a version and collects their faults. byKey and byName edit the
// version's tables of customers.
type builder struct {
	version *Version
	byKey   tableEditor[[sha256.Size]byte, customer]
	byName  tableEditor[string, string]
	faults  []Fault
}

func (b *builder) addFault(list, field, format string, args ...any) {
	b.faults = append(b.faults, Fault{List: list, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (b *builder) addServices(services []lists.Service) {
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		if _, ok := b.version.services[service.Name]; ok {
			b.addFault("plans", field+".name", "service %s is listed twice", service.Name)
		}
		if service.Timeout <= 0 {
			b.addFault("plans", field+".timeout", "timeout %s is not positive", service.Timeout)
		}
		b.version.services[service.Name] = service
	}
}

func (b *builder) addPlans(plans []lists.Plan) {
	for i, plan := range plans {
		field := fmt.Sprintf("plans[%d]", i)
		if _, ok := b.version.plans[plan.Name]; ok {
			b.addFault("plans", field+".name", "plan %s is listed twice", plan.Name)
		}
		uses := make(map[string]use, len(plan.Uses))
		for j, u := range plan.Uses {
			b.addUse(uses, u, fmt.Sprintf("%s.uses[%d]", field, j))
		}
		b.version.plans[plan.Name] = uses
	}
}

func (b *builder) addUse(uses map[string]use, u lists.Use, field string) {
	if _, ok := b.version.services[u.Service]; !ok {
		b.addFault("plans", field+".service", "service %s is not listed", u.Service)
	}
	if _, ok := uses[u.Service]; ok {
		b.addFault("plans", field+".service", "service %s is used twice by this plan", u.Service)
	}
	p, err := priority.Parse(string(u.Priority))
	if err != nil {
		b.addFault("plans", field+".priority", "%v", err)
	}
	uses[u.Service] = use{Use: u, priority: p}
}

func (b *builder) addCustomers(customers []lists.Customer) {
	for i, c := range customers {
		if _, ok := b.version.planOf.get(shardOfName(c.Name), c.Name); ok {
			b.addFault("customers", fmt.Sprintf("customers[%d].name", i), "customer %s is listed twice", c.Name)
		}
		b.byName.set(shardOfName(c.Name), c.Name, c.Plan)
		if _, ok := b.version.plans[c.Plan]; !ok {
			b.addFault("customers", fmt.Sprintf("customers[%d].plan", i), "plan %s is not listed", c.Plan)
		}
		for j, text := range c.KeyHashes {
			b.addKeyHash(c, text, i, j)
		}
	}
}

func (b *builder) addKeyHash(c lists.Customer, text string, i, j int) {
	hash, ok := parseKeyHash(text)
	if !ok {
		b.addFault("customers", fmt.Sprintf("customers[%d].keyHashes[%d]", i, j), "not a SHA-256 in hex")
		return
	}
	if other, ok := b.version.customers.get(shardOfKey(hash), hash); ok {
		b.addFault("customers", fmt.Sprintf("customers[%d].keyHashes[%d]", i, j), "customer %s has the same key", other.name)
	}
	b.byKey.set(shardOfKey(hash), hash, customer{name: c.Name, plan: c.Plan})
}

// parseKeyHash decodes the hash of a key from its form in the list.
func parseKeyHash(text string) (hash [sha256.Size]byte, ok bool) {
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}

// shardOfKey returns the shard of a key by its hash, and shardOfName that of a customer.
func shardOfKey(hash [sha256.Size]byte) uint64 { return binary.LittleEndian.Uint64(hash[:]) }

func shardOfName(name string) uint64 { return xxhash.Sum64String(name) }

// String returns the fault in one line, such as "plans: plans[2].name: plan crew is listed
// twice".
func (f Fault) String() string { return f.List + ": " + f.Field + ": " + f.Message }
