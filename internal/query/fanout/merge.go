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
	heap := make([][]target.Hit, 0, len(lists))
	total := 0
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if !slices.IsSortedFunc(list, compareHits) {
			list = slices.Clone(list)
			slices.SortFunc(list, compareHits)
		}
		heap = append(heap, list)
		total += len(list)
	}
	for i := len(heap)/2 - 1; i >= 0; i-- {
		siftDown(heap, i)
	}

	merged := make([]target.Hit, 0, min(limit, total))
	var seen map[string]struct{}
	if cap(merged) > linearScanLimit {
		seen = make(map[string]struct{}, cap(merged))
	}
	for len(heap) > 0 && len(merged) < limit {
		hit := heap[0][0]
		if heap[0] = heap[0][1:]; len(heap[0]) == 0 {
			heap[0] = heap[len(heap)-1]
			heap = heap[:len(heap)-1]
		}
		siftDown(heap, 0)
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

// siftDown moves the list at index i down until heap is ordered again.
func siftDown(heap [][]target.Hit, i int) {
	for {
		child := 2*i + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && compareHits(heap[child+1][0], heap[child][0]) < 0 {
			child++
		}
		if compareHits(heap[i][0], heap[child][0]) <= 0 {
			return
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
