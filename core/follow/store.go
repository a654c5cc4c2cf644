package follow

import (
	"slices"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/border"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

var (
	customersDecoder = border.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = border.MustNew[lists.PlanList](lists.PlansSchema, "")
)

// store keeps chunks by hash, with what was decoded from them, so that a change
// of one chunk decodes one chunk.
type store struct {
	chunks map[string]*stored
	shared map[string][]byte
}

type stored struct {
	data      []byte
	customers *lists.CustomerList
	plans     *lists.PlanList
}

func (s *store) hashOf(data []byte) string { return chunk.Of(data).Hash }

func (s *store) has(hash string) bool { return s.chunks[hash] != nil }

func (s *store) add(hash string, data []byte) {
	if s.chunks == nil {
		s.chunks = make(map[string]*stored)
	}
	s.chunks[hash] = &stored{data: data}
	s.shared = nil
}

// missing returns the hashes of a head that are not here, each once.
func (s *store) missing(head objects.Head) []string {
	var missing []string
	seen := make(map[string]bool)
	for hash := range hashes(head) {
		if s.chunks[hash] == nil && !seen[hash] {
			seen[hash] = true
			missing = append(missing, hash)
		}
	}
	return missing
}

// keep drops all chunks that none of the heads names.
func (s *store) keep(heads []objects.Head) {
	used := make(map[string]bool)
	for _, head := range heads {
		for hash := range hashes(head) {
			used[hash] = true
		}
	}
	for hash := range s.chunks {
		if !used[hash] {
			delete(s.chunks, hash)
			s.shared = nil
		}
	}
}

// snapshot returns the chunks by hash in a map that is not changed afterwards.
func (s *store) snapshot() map[string][]byte {
	if s.shared == nil {
		s.shared = make(map[string][]byte, len(s.chunks))
		for hash, c := range s.chunks {
			s.shared[hash] = c.data
		}
	}
	return s.shared
}

// change returns how the lists of two heads differ. It returns false when most
// chunks differ, as after a change of their number, or when a chunk cannot be
// decoded.
func (s *store) change(from, to objects.Head) (plans.Change, bool) {
	var change plans.Change
	removed, added := differing(from.CustomerChunks, to.CustomerChunks), differing(to.CustomerChunks, from.CustomerChunks)
	if 2*len(added) > len(to.CustomerChunks)+1 {
		return change, false
	}
	for _, part := range []struct {
		hashes    []string
		customers *[]lists.Customer
	}{{removed, &change.Removed}, {added, &change.Added}} {
		for _, hash := range part.hashes {
			list, err := s.chunks[hash].asCustomers()
			if err != nil {
				return change, false
			}
			*part.customers = append(*part.customers, list.Customers...)
		}
	}
	if slices.Equal(from.PlanChunks, to.PlanChunks) {
		return change, true
	}
	planList, reasons := s.planList(to)
	change.Plans = &planList
	return change, len(reasons) == 0
}

// differing returns the hashes of a that are not in b, as often as they are more
// often in a.
func differing(a, b []string) []string {
	count := make(map[string]int, len(b))
	for _, hash := range b {
		count[hash]++
	}
	var more []string
	for _, hash := range a {
		if count[hash]--; count[hash] < 0 {
			more = append(more, hash)
		}
	}
	return more
}

// lists decodes the chunks of a head and joins them, or returns why that fails.
func (s *store) lists(head objects.Head) (lists.CustomerList, lists.PlanList, []string) {
	var customers lists.CustomerList
	planList, reasons := s.planList(head)
	for _, hash := range head.CustomerChunks {
		part, err := s.chunks[hash].asCustomers()
		if err != nil {
			reasons = append(reasons, "customers: chunk "+hash+": "+err.Error())
			continue
		}
		customers.Customers = append(customers.Customers, part.Customers...)
	}
	return customers, planList, reasons
}

func (s *store) planList(head objects.Head) (lists.PlanList, []string) {
	var planList lists.PlanList
	var reasons []string
	for _, hash := range head.PlanChunks {
		part, err := s.chunks[hash].asPlans()
		if err != nil {
			reasons = append(reasons, "plans: chunk "+hash+": "+err.Error())
			continue
		}
		planList.Plans = append(planList.Plans, part.Plans...)
		planList.Services = append(planList.Services, part.Services...)
	}
	return planList, reasons
}

func (c *stored) asCustomers() (*lists.CustomerList, error) {
	if c.customers == nil {
		list, err := customersDecoder.Decode(c.data)
		if err != nil {
			return nil, err
		}
		c.customers = &list
	}
	return c.customers, nil
}

func (c *stored) asPlans() (*lists.PlanList, error) {
	if c.plans == nil {
		list, err := plansDecoder.Decode(c.data)
		if err != nil {
			return nil, err
		}
		c.plans = &list
	}
	return c.plans, nil
}

// hashes yields the hash of every chunk that a head names.
func hashes(head objects.Head) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, list := range [][]string{head.CustomerChunks, head.PlanChunks} {
			for _, hash := range list {
				if !yield(hash) {
					return
				}
			}
		}
	}
}
