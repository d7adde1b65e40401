package dispatch

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordSize is the size of a record. A shorter remainder at the end of a part is ignored.
const recordSize = 16

// record holds the bytes of a record as two big-endian numbers, which sort in the same order as the bytes.
type record struct{ high, low uint64 }

func compare(a, b record) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.low, b.low))
}

// merger selects the greatest records of all parts. Duplicates are kept as separate records.
type merger struct {
	limit int
	heap  minHeap
}

func newMerger(limit int) *merger {
	return &merger{limit: max(limit, 0)}
}

// add considers the records of a part.
func (m *merger) add(part []byte) {
	for ; len(part) >= recordSize; part = part[recordSize:] {
		r := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[recordSize/2:])}
		switch {
		case len(m.heap) < m.limit:
			heap.Push(&m.heap, r)
		case m.limit > 0 && compare(r, m.heap[0]) > 0:
			m.heap[0] = r
			heap.Fix(&m.heap, 0)
		}
	}
}

// encode returns the encoding of the selected records, in descending order.
func (m *merger) encode() []byte {
	slices.SortFunc(m.heap, func(a, b record) int { return compare(b, a) })
	out := make([]byte, 0, len(m.heap)*recordSize)
	for _, r := range m.heap {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}

	return out
}

// minHeap is a heap of records whose first one is the smallest.
type minHeap []record

// Len implements heap.Interface.
func (h minHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap) Less(i, j int) bool { return compare(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h minHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *minHeap) Push(x any) { *h = append(*h, x.(record)) }

// Pop implements heap.Interface.
func (h *minHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}
