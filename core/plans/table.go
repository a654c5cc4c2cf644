package plans

import "maps"

// shardCount is the number of parts of a table. A change of one entry copies one
// part.
const shardCount = 1024

// table is a map in parts, so that a version shares with the one before it all
// parts that did not change. The owner computes the shard of a key.
type table[K comparable, V any] struct {
	shards [shardCount]map[K]V
	n      int
}

func (t *table[K, V]) get(shard uint64, key K) (V, bool) {
	v, ok := t.shards[shard%shardCount][key]
	return v, ok
}

// tableEditor changes a table that shares its parts with another one. The zero
// value of owned belongs to a table that shares all of them.
type tableEditor[K comparable, V any] struct {
	table *table[K, V]
	owned [shardCount]bool
}

func (e *tableEditor[K, V]) set(shard uint64, key K, v V) {
	part := e.part(shard % shardCount)
	before := len(part)
	part[key] = v
	e.table.n += len(part) - before
}

func (e *tableEditor[K, V]) remove(shard uint64, key K) {
	part := e.part(shard % shardCount)
	before := len(part)
	delete(part, key)
	e.table.n += len(part) - before
}

// part returns a part that only this table has.
func (e *tableEditor[K, V]) part(i uint64) map[K]V {
	if !e.owned[i] {
		e.owned[i] = true
		e.table.shards[i] = maps.Clone(e.table.shards[i])
	}
	if e.table.shards[i] == nil {
		e.table.shards[i] = make(map[K]V)
	}
	return e.table.shards[i]
}
