package target

import (
	"errors"
	"io"
	"math"
	"sync/atomic"
)

const (
	// freeReplyBytes is the part of each response that does not count towards the limit of a replyMemory.
	freeReplyBytes = 4 << 10
	// usualReplyBytes is the size up to which responses may use the whole limit. Larger ones may use largeReplyShare of it, so that
	// targets that send bytes without end leave room for the responses of others.
	usualReplyBytes = 64 << 10
	largeReplyShare = 0.75
)

var (
	// errReplyMemory and errLargeReply mean that the responses that are being read have reached the memory limit. The size of a response of
	// over usualReplyBytes is held against its target.
	errReplyMemory = errors.New("no memory left for responses")
	errLargeReply  = errors.New("no memory left for responses of over 64 KB")
)

// replyMemory counts the bytes of the responses that are being read at the same time.
type replyMemory struct {
	limit int64
	used  atomic.Int64
}

func newReplyMemory(limit int64) *replyMemory { return &replyMemory{limit: limit} }

// reserve adds n bytes of a response that has the given size with them.
func (m *replyMemory) reserve(n, size int64) error {
	limit, exceeded := m.limit, errReplyMemory
	if size > usualReplyBytes {
		limit, exceeded = int64(largeReplyShare*float64(m.limit)), errLargeReply
	}
	if m.used.Add(n) > limit {
		m.used.Add(-n)

		return exceeded
	}

	return nil
}

// allowance limits what is read for one response, head and body together, whatever its framing.
type allowance struct {
	source io.Reader
	memory *replyMemory
	// left is the number of bytes that may still be read.
	left int64
	// read is the number of bytes read, and reserved the number of those that count towards the limit of memory.
	read, reserved int64
}

func newAllowance(source io.Reader, memory *replyMemory) *allowance {
	return &allowance{source: source, memory: memory}
}

// Read implements io.Reader. It returns io.EOF once nothing is left.
func (a *allowance) Read(p []byte) (n int, err error) {
	if a.left <= 0 {
		return 0, io.EOF
	}
	n, err = a.source.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	a.read += int64(n)
	if counted := a.read - freeReplyBytes - a.reserved; counted > 0 {
		if memoryErr := a.memory.reserve(counted, a.read); memoryErr != nil {
			// Nothing more is read for this response.
			a.left = math.MinInt64

			return n, memoryErr
		}
		a.reserved += counted
	}

	return n, err
}

// release ends the counting of the bytes of a response.
func (a *allowance) release() {
	a.memory.used.Add(-a.reserved)
	a.read, a.reserved = 0, 0
}
