// Package rendezvous selects ids for a key by rendezvous (highest random weight)
// hashing.
//
// All nodes with the same set of ids select the same ones without communication.
// When an id is added or removed, only the keys for which it is selected change. Nodes
// with different sets may select different ids for a while, so callers must
// tolerate that several nodes have the same role at once:
//
//	readers := rendezvous.Top("reader/catania", ids, 2)
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of an id for a key. It depends only on the two strings. The
// scores of different keys are independent.
func Score(key, id string) uint64 {
	return mix(xxhash.Sum64String(id) ^ bits.RotateLeft64(xxhash.Sum64String(key), 31))
}

// Top returns the n ids with the highest scores, highest first, or all of them if
// there are fewer. Equal scores are ordered by id. It does not modify ids.
func Top(key string, ids []string, n int) []string {
	if n <= 0 {
		return nil
	}
	found := make([]candidate, 0, n+1)
	for _, id := range ids {
		c := candidate{id: id, score: Score(key, id)}
		at, _ := slices.BinarySearchFunc(found, c, compare)
		if at == n {
			continue
		}
		found = slices.Insert(found, at, c)
		found = found[:min(len(found), n)]
	}
	top := make([]string, len(found))
	for i, c := range found {
		top[i] = c.id
	}
	return top
}

type candidate struct {
	id    string
	score uint64
}

// compare orders candidates by descending score, then by id.
func compare(a, b candidate) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// mix is the finalizer of SplitMix64. Each input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
