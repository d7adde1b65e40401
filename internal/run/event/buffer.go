package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// queueCapacity is the capacity of the queue of lines. It is enough for 2 s at the highest rate.
	queueCapacity = 4096
	// flushPeriod is the time for which lines are collected into one write.
	flushPeriod = 50 * time.Millisecond
	// infoLinesPerSecond and otherLinesPerSecond are the rate limits of a process for level Info and for all other levels together.
	// An instance serves up to 200 requests per second and logs at most two lines for each. Failures are rarer but should always
	// be logged, so their limit is five times as high.
	infoLinesPerSecond  = 400
	otherLinesPerSecond = 2000
)

// Buffer is the asynchronous output of a Log, so that a slow output never blocks the process. Lines that exceed the rate limit of
// their level, and lines written while the queue is full, are dropped and counted. The Log reports their number with LinesDropped.
type Buffer struct {
	output io.Writer
	timers *timer.Service
	queue  chan []byte

	dropped       atomic.Uint64
	mu            sync.Mutex
	countedSecond int64
	// counts contains the number of lines allowed in countedSecond. The key is true for level Info and false for all other levels.
	counts  map[bool]int
	closing chan struct{} // closed by Close
	stopped chan struct{} // closed when all queued lines have been written
}

// NewBuffer returns a Buffer that writes to output from a goroutine of its own until Close is called.
func NewBuffer(output io.Writer, timers *timer.Service) *Buffer {
	b := &Buffer{
		output: output, timers: timers, queue: make(chan []byte, queueCapacity), counts: make(map[bool]int),
		closing: make(chan struct{}), stopped: make(chan struct{}),
	}
	go b.run()

	return b
}

// Write queues a copy of one line, or drops the line if the queue is full. It implements io.Writer and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}

	return len(line), nil
}

// Allow reports whether another line of the level is within the rate limit. If it is not, Allow counts the line as dropped.
func (b *Buffer) Allow(level Level) bool {
	second := b.timers.Now().Unix()
	b.mu.Lock()
	defer b.mu.Unlock()
	if second != b.countedSecond {
		b.countedSecond = second
		clear(b.counts)
	}
	isInfo := level == Info
	limit := otherLinesPerSecond
	if isInfo {
		limit = infoLinesPerSecond
	}
	if b.counts[isInfo] >= limit {
		b.dropped.Add(1)

		return false
	}
	b.counts[isInfo]++

	return true
}

// Dropped returns the number of lines dropped since the previous call.
func (b *Buffer) Dropped() uint64 { return b.dropped.Swap(0) }

// Close writes the queued lines to the output and stops the Buffer. It must be called once only.
func (b *Buffer) Close() {
	close(b.closing)
	<-b.stopped
}

func (b *Buffer) run() {
	defer close(b.stopped)
	var batch []byte
	for {
		select {
		case line := <-b.queue:
			batch = append(batch[:0], line...)
			select {
			case <-b.timers.After(flushPeriod):
			case <-b.closing:
			}
			batch = b.collect(batch)
		case <-b.closing:
			batch = b.collect(batch[:0])
			// A failure of the log output cannot be reported anywhere.
			_, _ = b.output.Write(batch)

			return
		}
		_, _ = b.output.Write(batch)
	}
}

// collect appends all queued lines to batch.
func (b *Buffer) collect(batch []byte) []byte {
	for {
		select {
		case line := <-b.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
