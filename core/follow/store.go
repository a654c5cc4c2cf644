package follow

import (
	"slices"

	"lavenderdeal/core/chunk"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/document"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

var (
	customersDecoder = document.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = document.MustNew[lists.PlanList](lists.PlansSchema, "")
)

// store caches chunks by hash together with their decoded lists, so that a change
// of one chunk decodes only that chunk.
type store struct {
	chunks map[string]*cachedChunk
	// snapshotCache is the result of snapshot, or nil after a change.
	snapshotCache map[string][]byte
}

// cachedChunk is a chunk with its decoded list, which is nil until it is needed.
type cachedChunk struct {
	data      []byte
	customers *lists.CustomerList
	plans     *lists.PlanList
}

func (s *store) hashOf(data []byte) string { return chunk.New(data).Hash }

func (s *store) has(hash string) bool { return s.chunks[hash] != nil }

func (s *store) add(hash string, data []byte) {
	if s.chunks == nil {
		s.chunks = make(map[string]*cachedChunk)
	}
	s.chunks[hash] = &cachedChunk{data: data}
	s.snapshotCache = nil
}

// missing returns the hashes of a head that are not in the store, without
// duplicates.
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

// retain drops all chunks that none of the heads references.
func (s *store) retain(heads []objects.Head) {
	used := make(map[string]bool)
	for _, head := range heads {
		for hash := range hashes(head) {
			used[hash] = true
		}
	}
	for hash := range s.chunks {
		if !used[hash] {
			delete(s.chunks, hash)
			s.snapshotCache = nil
		}
	}
}

// snapshot returns the chunks by hash. The map is not modified afterwards.
func (s *store) snapshot() map[string][]byte {
	if s.snapshotCache == nil {
		s.snapshotCache = make(map[string][]byte, len(s.chunks))
		for hash, c := range s.chunks {
			s.snapshotCache[hash] = c.data
		}
	}
	return s.snapshotCache
}

// diff returns the difference between the lists of two heads. It returns false if
// more than half of the customer chunks differ, as after a change of their number,
// or if a chunk cannot be decoded.
func (s *store) diff(from, to objects.Head) (plans.Change, bool) {
	var change plans.Change
	removed, added := multisetDifference(from.CustomerChunks, to.CustomerChunks), multisetDifference(to.CustomerChunks, from.CustomerChunks)
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

// multisetDifference returns the hashes of a without those of b. A hash that
// occurs more often in a than in b is returned for each extra occurrence.
func multisetDifference(a, b []string) []string {
	count := make(map[string]int, len(b))
	for _, hash := range b {
		count[hash]++
	}
	var extra []string
	for _, hash := range a {
		if count[hash]--; count[hash] < 0 {
			extra = append(extra, hash)
		}
	}
	return extra
}

// lists decodes and concatenates the chunks of a head. It returns a reason for
// each chunk that fails to decode.
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

// planList decodes and concatenates the plan chunks of a head, like lists.
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

func (c *cachedChunk) asCustomers() (*lists.CustomerList, error) {
	if c.customers == nil {
		list, err := customersDecoder.Decode(c.data)
		if err != nil {
			return nil, err
		}
		c.customers = &list
	}
	return c.customers, nil
}

func (c *cachedChunk) asPlans() (*lists.PlanList, error) {
	if c.plans == nil {
		list, err := plansDecoder.Decode(c.data)
		if err != nil {
			return nil, err
		}
		c.plans = &list
	}
	return c.plans, nil
}

// hashes yields the hash of every chunk that a head references.
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
