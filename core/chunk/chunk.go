// Package chunk splits the lists of customers and of plans into content-addressed
// chunks.
//
// # Chunks
//
// Each entry of a list is assigned to a bucket by the hash of its name, and each
// bucket is encoded as one [Chunk], so that a change of one entry changes one chunk.
// The number of buckets is a power of two and follows the length of the list with
// hysteresis, so that it rarely changes.
//
//	chunks, err := chunk.SplitCustomers(list, 0)
//	hashes := chunk.Hashes(chunks)
package chunk

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/schema/lists"
)

const (
	// targetEntries is the intended number of entries per bucket.
	targetEntries = 128
	// maxBuckets is the maximum number of chunks of a list, and so bounds the size of
	// the head that lists them.
	maxBuckets = 4096
	// maxChunkBytes is the size of a chunk in bytes above which the number of buckets is
	// doubled.
	maxChunkBytes = 512 << 10
)

// Chunk is an immutable part of a list.
type Chunk struct {
	// Hash is the SHA-256 of Data in lower-case hex.
	Hash string
	// Data is the part as a JSON document that matches the schema of the list.
	Data []byte
}

// New returns the chunk with this data.
func New(data []byte) Chunk {
	sum := sha256.Sum256(data)
	return Chunk{Hash: hex.EncodeToString(sum[:]), Data: data}
}

// Hashes returns the hashes of the chunks, in order.
func Hashes(chunks []Chunk) []string {
	hashes := make([]string, len(chunks))
	for i, c := range chunks {
		hashes[i] = c.Hash
	}
	return hashes
}

// SplitCustomers splits the list of customers. previousBuckets is the number of
// buckets of the previous version, or 0 if there is none; it stabilizes the new
// number. The result does not depend on the order of the list. The error is that of the
// JSON encoding.
func SplitCustomers(list lists.CustomerList, previousBuckets int) ([]Chunk, error) {
	return split(BucketCount(len(list.Customers), previousBuckets), func(n int) []lists.CustomerList {
		return customerParts(list, n)
	})
}

// SplitPlans splits the list of plans like [SplitCustomers]. A plan counts as one
// entry plus one for each of its uses, since those make up most of its length.
func SplitPlans(list lists.PlanList, previousBuckets int) ([]Chunk, error) {
	entries := len(list.Services)
	for _, p := range list.Plans {
		entries += 1 + len(p.Uses)
	}
	return split(BucketCount(entries, previousBuckets), func(n int) []lists.PlanList {
		return planParts(list, n)
	})
}

// split encodes the parts. It doubles the number of buckets until no chunk exceeds
// maxChunkBytes or maxBuckets is reached. A single entry can still exceed the size.
func split[T any](buckets int, parts func(n int) []T) ([]Chunk, error) {
	for {
		chunks, largest, err := encode(parts(buckets))
		if err != nil {
			return nil, err
		}
		if largest <= maxChunkBytes || buckets >= maxBuckets {
			return chunks, nil
		}
		buckets *= 2
	}
}

// customerParts divides the list into n buckets, each sorted by name.
func customerParts(list lists.CustomerList, n int) []lists.CustomerList {
	parts := make([]lists.CustomerList, n)
	for i := range parts {
		parts[i].Customers = []lists.Customer{}
	}
	for _, c := range list.Customers {
		part := &parts[bucketOf(c.Name, n)]
		part.Customers = append(part.Customers, c)
	}
	for i := range parts {
		slices.SortFunc(parts[i].Customers, func(a, b lists.Customer) int { return cmp.Compare(a.Name, b.Name) })
	}
	return parts
}

// planParts divides the plans and services into n buckets, each sorted by name.
func planParts(list lists.PlanList, n int) []lists.PlanList {
	parts := make([]lists.PlanList, n)
	for i := range parts {
		parts[i].Plans, parts[i].Services = []lists.Plan{}, []lists.Service{}
	}
	for _, p := range list.Plans {
		part := &parts[bucketOf(p.Name, n)]
		part.Plans = append(part.Plans, p)
	}
	for _, s := range list.Services {
		part := &parts[bucketOf(s.Name, n)]
		part.Services = append(part.Services, s)
	}
	for i := range parts {
		slices.SortFunc(parts[i].Plans, func(a, b lists.Plan) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(parts[i].Services, func(a, b lists.Service) int { return cmp.Compare(a.Name, b.Name) })
	}
	return parts
}

// BucketCount returns the number of buckets for a list of n entries. previous is the
// previous number, a power of two, or 0 if there is none. It is kept while the average
// number of entries per bucket is between half and twice targetEntries.
func BucketCount(n, previous int) int {
	buckets := max(previous, 1)
	for buckets < maxBuckets && n > 2*targetEntries*buckets {
		buckets *= 2
	}
	for buckets > 1 && 2*n < targetEntries*buckets {
		buckets /= 2
	}
	return buckets
}

func bucketOf(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}

// encode returns the chunks of the parts and the size of the largest one in bytes.
func encode[T any](parts []T) (chunks []Chunk, largest int, err error) {
	chunks = make([]Chunk, len(parts))
	for i := range parts {
		data, err := json.Marshal(parts[i])
		if err != nil {
			return nil, 0, err
		}
		chunks[i] = New(data)
		largest = max(largest, len(data))
	}
	return chunks, largest, nil
}
