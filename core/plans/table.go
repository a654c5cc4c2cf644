package plans

import "maps"

// shardCount is the number of shards of a table. A change of one entry copies one
// shard.
const shardCount = 1024

// table is a sharded copy-on-write map: a version shares all unchanged shards with
// the previous version. The caller computes the shard of a key.
type table[K comparable, V any] struct {
	shards [shardCount]map[K]V
	count  int
}

func (t *table[K, V]) get(shard uint64, key K) (V, bool) {
	v, ok := t.shards[shard%shardCount][key]
	return v, ok
}

// tableEditor modifies a table that shares shards with another one. owned marks the
// shards that were copied already and are no longer shared.
type tableEditor[K comparable, V any] struct {
	table *table[K, V]
	owned [shardCount]bool
}

func (e *tableEditor[K, V]) set(shard uint64, key K, v V) {
	m := e.ownedShard(shard % shardCount)
	before := len(m)
	m[key] = v
	e.table.count += len(m) - before
}

func (e *tableEditor[K, V]) remove(shard uint64, key K) {
	m := e.ownedShard(shard % shardCount)
	before := len(m)
	delete(m, key)
	e.table.count += len(m) - before
}

// ownedShard returns a shard for modification. A shared shard is copied first.
func (e *tableEditor[K, V]) ownedShard(i uint64) map[K]V {
	if !e.owned[i] {
		e.owned[i] = true
		e.table.shards[i] = maps.Clone(e.table.shards[i])
	}
	if e.table.shards[i] == nil {
		e.table.shards[i] = make(map[K]V)
	}
	return e.table.shards[i]
}
