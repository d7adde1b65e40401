package target

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

const (
	// Records is the number of records in each index version, over all shards.
	Records = 2000
	// On average, one record in matchInterval matches a given text.
	matchInterval = 4
)

type shardID struct{ shard, shards int }

// Key returns the key of record i.
func Key(i int) string {
	return fmt.Sprintf("record-%06d", i)
}

// allKeys returns the keys of all records. They are computed once because tests start many targets.
var allKeys = sync.OnceValue(func() []string {
	keys := make([]string, Records)
	for i := range keys {
		keys[i] = Key(i)
	}

	return keys
})

func keysInShard(id shardID) []string {
	var keys []string
	for _, key := range allKeys() {
		if wire.ShardOf(key, id.shards) == id.shard {
			keys = append(keys, key)
		}
	}

	return keys
}

// indexShard computes the keys of the shard of h before its first query. t.mu must be locked, unless t is not shared yet.
func (t *Target) indexShard(h wire.Holding) {
	id := shardID{h.Shard, h.Shards}
	if t.shardKeys[id] == nil {
		t.shardKeys[id] = keysInShard(id)
	}
}

// Hits returns the hits of a query for text on a shard, best first. They are the same for all stand-ins, so that tests can
// compute the expected answer.
func Hits(version uint64, shard, shards int, text string, limit int) []wire.Hit {
	return search(keysInShard(shardID{shard, shards}), version, text, limit)
}

// Record returns the record with the given key in a version. Any key is considered to exist in the shard that wire.ShardOf
// returns.
func Record(version uint64, key string) wire.Hit {
	return wire.Hit{Key: key, Score: 1, Body: recordBody(version, key)}
}

func search(keys []string, version uint64, text string, limit int) []wire.Hit {
	hits := []wire.Hit{}
	for _, key := range keys {
		sum := xxhash.Sum64String(text + "\x00" + key)
		if sum%matchInterval == 0 {
			hits = append(hits, wire.Hit{Key: key, Score: float64(sum>>11) / (1 << 53), Body: recordBody(version, key)})
		}
	}
	slices.SortFunc(hits, func(a, b wire.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}

	return hits
}

func recordBody(version uint64, key string) string {
	return fmt.Sprintf("version %d of %s", version, key)
}

// hitsFor returns the hits of q. It relies on admit to check that the target holds the shard.
func (t *Target) hitsFor(q *wire.Query) []wire.Hit {
	if q.Key != "" {
		if wire.ShardOf(q.Key, q.Shards) != q.Shard {
			return []wire.Hit{}
		}

		return []wire.Hit{Record(q.Version, q.Key)}
	}
	t.mu.Lock()
	keys := t.shardKeys[shardID{q.Shard, q.Shards}]
	t.mu.Unlock()
	if keys == nil {
		// The holdings were replaced while q ran. Answer it from the shard for which it was admitted.
		keys = keysInShard(shardID{q.Shard, q.Shards})
	}

	return search(keys, q.Version, q.Text, q.Limit)
}
