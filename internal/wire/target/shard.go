package target

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard that holds the record with the given key when the index is split into shards shards.
func ShardOf(key string, shards int) int {
	if shards < 2 {
		return 0
	}

	return int(xxhash.Sum64String(key) % uint64(shards))
}
