package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lavenderdeal/schema/messages"
)

// bucketCount is the number of parts into which a zone is divided for a
// comparison. With 160 members a part has about ten.
const bucketCount = 16

// hashOf returns the hash of what orders a record. Failed members have none: a
// node that dropped a tombstone agrees with one that still has it.
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

// addHash adds to the sums that hold a record. Sums do not depend on the order.
func (t *Table) addHash(z *zone, r *record, hash uint64) {
	z.buckets[bucketOf(r.Id)] += hash
	z.digest += hash
	t.digest += hash
}
