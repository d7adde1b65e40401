package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// bufferedLines is the number of lines that wait for the output: 2 s of the highest rate.
	bufferedLines = 4096
	// flushPeriod is the time for which lines are collected before they are written together.
	flushPeriod = 50 * time.Millisecond
	// infoRate and otherRate bound the lines a second of each process. An instance serves up to 200 requests a second, with two
	// lines each at most; failures are rarer and always worth a line up to five times that.
	infoRate  = 400
	otherRate = 2000
)

// Buffer is a writer for a Log that never blocks it. Lines beyond its rate, or beyond what the output takes, are dropped and
// counted; a line of LinesDropped then says how many.
type Buffer struct {
	output io.Writer
	timers *timer.Service
	lines  chan []byte

	dropped atomic.Uint64
	mu      sync.Mutex
	second  int64
	counts  map[bool]int
	done    chan struct{}
	ended   chan struct{}
}

// NewBuffer returns a Buffer that writes to output until Close is called.
func NewBuffer(output io.Writer, timers *timer.Service) *Buffer {
	b := &Buffer{
		output: output, timers: timers, lines: make(chan []byte, bufferedLines), counts: make(map[bool]int),
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	go b.run()

	return b
}

// Write implements io.Writer. It takes one line.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}

	return len(line), nil
}

// Allow reports whether another line of the level is within the rate.
func (b *Buffer) Allow(level Level) bool {
	second := b.timers.Now().Unix()
	b.mu.Lock()
	defer b.mu.Unlock()
	if second != b.second {
		b.second = second
		clear(b.counts)
	}
	info := level == Info
	limit := otherRate
	if info {
		limit = infoRate
	}
	if b.counts[info] >= limit {
		b.dropped.Add(1)

		return false
	}
	b.counts[info]++

	return true
}

// Dropped returns the number of lines that were dropped since the last call.
func (b *Buffer) Dropped() uint64 { return b.dropped.Swap(0) }

// Close writes what is buffered.
func (b *Buffer) Close() {
	close(b.done)
	<-b.ended
}

func (b *Buffer) run() {
	defer close(b.ended)
	var batch []byte
	for {
		select {
		case line := <-b.lines:
			batch = append(batch[:0], line...)
			select {
			case <-b.timers.After(flushPeriod):
			case <-b.done:
			}
			batch = b.collect(batch)
		case <-b.done:
			batch = b.collect(batch[:0])
			// There is nowhere to report an output that fails.
			_, _ = b.output.Write(batch)

			return
		}
		_, _ = b.output.Write(batch)
	}
}

// collect appends the lines that wait.
func (b *Buffer) collect(batch []byte) []byte {
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
