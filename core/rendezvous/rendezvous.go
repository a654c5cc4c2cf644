// Package rendezvous chooses instances for a key by rendezvous hashing.
//
// Every node that knows the same ids chooses the same ones, with no agreement.
// When one id comes or goes, only the keys that it wins change hands. Nodes that
// know different ids choose different ones for a while, so a caller must bear
// that two nodes hold the same role at once:
//
//	readers := rendezvous.Top("reader/catania", ids, 2)
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of an id for a key. It depends on the two strings
// alone. Scores of one key are independent of those of another.
func Score(key, id string) uint64 {
	return mix(xxhash.Sum64String(id) ^ bits.RotateLeft64(xxhash.Sum64String(key), 31))
}

// Top returns the n ids with the highest scores, highest first; fewer when there
// are fewer ids. Equal scores are ordered by id. It does not change ids.
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

// compare orders the highest score first.
func compare(a, b candidate) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// mix spreads every bit over the whole word, as the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
