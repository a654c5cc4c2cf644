package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/schema/messages"
)

// bucketCount is the number of buckets into which a zone's records are divided by
// their ids for a comparison. With 160 members a bucket has about ten.
const bucketCount = 16

// hashOf returns the hash of a record's zone, id, incarnation and health. It is 0
// for failed members, so that a node that dropped a tombstone has the same digest
// as one that still has it.
func hashOf(m messages.Member) uint64 {
	if m.Health == Failed {
		return 0
	}
	var order [9]byte
	binary.LittleEndian.PutUint64(order[:], m.Incarnation)
	order[8] = m.Health
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(m.Zone)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(m.Id)
	_, _ = h.Write(order[:])
	return h.Sum64()
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// addHash adds the hash of a record to the digests of its bucket, its zone and the
// table. Digests are sums, so they do not depend on the order of the records.
func (t *Table) addHash(z *zone, r *record, hash uint64) {
	z.buckets[bucketOf(r.Id)] += hash
	z.digest += hash
	t.digest += hash
}
