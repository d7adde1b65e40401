package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// smoothing is the weight of the newest value in the moving averages. One tenth follows a change within some twenty
// requests and gives a single straggler little weight.
const smoothing = 0.1

// A target gives back at most one in 20 of its requests, and at most maxMoves in a row. A queue that is long for its load, and
// not because of a straggler, would otherwise send all its requests to the end of other queues.
const (
	moveShare = 0.05
	maxMoves  = 2
)

// waiter is a request in a queue.
type waiter struct {
	worth    float64
	deadline time.Time
	limited  bool // whether there is a deadline
	seq      uint64
	entered  time.Time
	result   chan error // gets nil for a slot, once
}

// order compares by worth, highest first, then by deadline, then by age.
func order(a, b *waiter) int {
	if c := cmp.Compare(b.worth, a.worth); c != 0 {
		return c
	}
	if a.limited != b.limited {
		if a.limited {
			return -1
		}
		return 1
	}

	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.seq, b.seq))
}

// limiter is the state of one target. The lock of the table protects it.
type limiter struct {
	ceiling  int
	limit    float64 // 1 to ceiling
	inFlight int
	waiting  []*waiter // sorted by order, bounded by the queue of the table
	delay    time.Duration
	mean     time.Duration // recent time that a request holds a slot
	halved   time.Time
	used     time.Time
	moves    float64 // requests that may be given back
}

func (l *limiter) idle() bool { return l.inFlight == 0 && len(l.waiting) == 0 }
func (l *limiter) free() bool { return l.inFlight < int(l.limit) }

// adjust follows the ceiling of the latest attempt. A limit that was not lowered by shedding rises with its ceiling.
func (l *limiter) adjust(ceiling int, v Variant) {
	switch {
	case l.ceiling == 0:
		l.limit = float64(min(ceiling, v.start(ceiling)))
	case l.limit >= float64(l.ceiling) || l.limit > float64(ceiling):
		l.limit = float64(ceiling)
	}
	l.ceiling = ceiling
}

// place returns the index in the queue that w would get.
func (l *limiter) place(w *waiter) int {
	at, _ := slices.BinarySearchFunc(l.waiting, w, order)

	return at
}

func (l *limiter) insert(at int, w *waiter) {
	l.waiting = slices.Insert(l.waiting, at, w)
}

// remove takes w out of the queue and reports whether it was there.
func (l *limiter) remove(w *waiter) bool {
	at := slices.Index(l.waiting, w)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)

	return true
}

// move takes w out of the queue to be given back, if it is there and the bound allows it.
func (l *limiter) move(w *waiter) bool {
	if l.moves < 1 || !l.remove(w) {
		return false
	}
	l.moves--

	return true
}

func (l *limiter) evictLast() {
	last := len(l.waiting) - 1
	l.waiting[last].result <- refuse(target.QueueFull, "a request of higher worth took the place in the full queue")
	l.waiting = slices.Delete(l.waiting, last, last+1)
}

// dispatch gives free slots to the queue and refuses requests whose deadline has passed.
func (l *limiter) dispatch(now time.Time) {
	for l.free() && len(l.waiting) > 0 {
		w := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.observeDelay(now.Sub(w.entered))
		if w.limited && !now.Before(w.deadline) {
			w.result <- refuse(target.TooLate, "the deadline passed in the queue")
			continue
		}
		l.inFlight++
		w.result <- nil
	}
}

// expected returns the time until a request at this index of the queue would get a slot.
func (l *limiter) expected(at int) time.Duration {
	return l.mean * time.Duration(at+1) / time.Duration(int(l.limit))
}

// raise adds one step after a success. A full step of 1 takes as many successes as the limit, so the limit grows by one
// for each round of requests. A success that began before the last halving says nothing about the lower limit.
func (l *limiter) raise(started time.Time) {
	if !l.halved.IsZero() && started.Before(l.halved) {
		return
	}
	l.limit = min(float64(l.ceiling), l.limit+1/l.limit)
}

// halve lowers the limit and reports whether it did. Requests that began before the last halving were shed for the same
// reason and count once.
func (l *limiter) halve(started, now time.Time) bool {
	if !l.halved.IsZero() && started.Before(l.halved) {
		return false
	}
	before := int(l.limit)
	l.limit = max(1, l.limit/2)
	l.halved = now

	return int(l.limit) < before
}

func (l *limiter) observeDelay(d time.Duration) { l.delay = smooth(l.delay, d) }

func (l *limiter) observeTime(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		return
	}
	l.mean = smooth(l.mean, d)
}

func smooth(old, latest time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(latest-old))
}
