package fanout

import (
	"cmp"
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// linearScanLimit is the number of merged hits up to which a scan for a duplicate key is cheaper than a map.
const linearScanLimit = 32

// compareHits orders hits by score descending, then by key. A NaN score comes last.
func compareHits(a, b target.Hit) int {
	if order := cmp.Compare(b.Score, a.Score); order != 0 {
		return order
	}

	return cmp.Compare(a.Key, b.Key)
}

// merge returns the best limit hits of all lists, without duplicate keys. It changes neither the lists nor their hits.
//
// Targets return sorted lists, so the lists are merged through a heap ordered by their first hits, which takes little more than
// limit steps. A list that is not sorted is copied and sorted first, because a faulty target may return unsorted hits.
func merge(lists [][]target.Hit, limit int) []target.Hit {
	heads := make([][]target.Hit, 0, len(lists))
	total := 0
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if !slices.IsSortedFunc(list, compareHits) {
			list = slices.Clone(list)
			slices.SortFunc(list, compareHits)
		}
		heads = append(heads, list)
		total += len(list)
	}
	for i := len(heads)/2 - 1; i >= 0; i-- {
		siftDown(heads, i)
	}

	merged := make([]target.Hit, 0, min(limit, total))
	var seen map[string]struct{}
	if cap(merged) > linearScanLimit {
		seen = make(map[string]struct{}, cap(merged))
	}
	for len(heads) > 0 && len(merged) < limit {
		hit := heads[0][0]
		if heads[0] = heads[0][1:]; len(heads[0]) == 0 {
			heads[0] = heads[len(heads)-1]
			heads = heads[:len(heads)-1]
		}
		siftDown(heads, 0)
		if !isDuplicate(merged, seen, hit.Key) {
			merged = append(merged, hit)
		}
	}

	return merged
}

// isDuplicate reports whether merged has a hit with key. If seen is not nil, it is searched instead, and key is added to it.
func isDuplicate(merged []target.Hit, seen map[string]struct{}, key string) bool {
	if seen == nil {
		return slices.ContainsFunc(merged, func(h target.Hit) bool { return h.Key == key })
	}
	before := len(seen)
	seen[key] = struct{}{}

	return len(seen) == before
}

// siftDown restores the heap order of heads below i.
func siftDown(heads [][]target.Hit, i int) {
	for {
		child := 2*i + 1
		if child >= len(heads) {
			return
		}
		if child+1 < len(heads) && compareHits(heads[child+1][0], heads[child][0]) < 0 {
			child++
		}
		if compareHits(heads[i][0], heads[child][0]) <= 0 {
			return
		}
		heads[i], heads[child] = heads[child], heads[i]
		i = child
	}
}
