package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// smoothing is the weight of the newest value in the moving averages. With one tenth, an average follows a change within
// about twenty requests, and a single straggler changes it little.
const smoothing = 0.1

// waiter is a request in a queue.
type waiter struct {
	worth       float64
	deadline    time.Time
	hasDeadline bool
	sequence    uint64
	enqueuedAt  time.Time
	result      chan error // receives one value: nil when a slot is assigned, or the refusal
}

// order sorts by worth, highest first, then by deadline, earliest first and requests without one last, then by arrival.
func order(a, b *waiter) int {
	if c := cmp.Compare(b.worth, a.worth); c != 0 {
		return c
	}
	if a.hasDeadline != b.hasDeadline {
		if a.hasDeadline {
			return -1
		}
		return 1
	}

	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.sequence, b.sequence))
}

// limiter is the limit and the queue of one target. The mu of the Table must be held for all uses.
type limiter struct {
	ceiling         int
	limit           float64 // 1 to ceiling
	inFlight        int
	waiting         []*waiter // sorted by order, at most maxQueue of the Table
	meanDelay       time.Duration
	meanServiceTime time.Duration // moving average of the time that a request occupies a slot
	halvedAt        time.Time
	lastUsed        time.Time
}

func (l *limiter) idle() bool { return l.inFlight == 0 && len(l.waiting) == 0 }
func (l *limiter) free() bool { return l.inFlight < int(l.limit) }

// setCeiling sets the ceiling to that of the latest attempt. A limit that shedding has not lowered rises with the ceiling.
func (l *limiter) setCeiling(ceiling int, v Variant) {
	switch {
	case l.ceiling == 0:
		l.limit = float64(min(ceiling, v.start(ceiling)))
	case l.limit >= float64(l.ceiling) || l.limit > float64(ceiling):
		l.limit = float64(ceiling)
	}
	l.ceiling = ceiling
}

// queueIndex returns the index at which w would be inserted in the queue.
func (l *limiter) queueIndex(w *waiter) int {
	at, _ := slices.BinarySearchFunc(l.waiting, w, order)

	return at
}

func (l *limiter) insert(at int, w *waiter) {
	l.waiting = slices.Insert(l.waiting, at, w)
}

// remove removes w from the queue and reports whether it was there.
func (l *limiter) remove(w *waiter) bool {
	at := slices.Index(l.waiting, w)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)

	return true
}

func (l *limiter) evictLast() {
	last := len(l.waiting) - 1
	l.waiting[last].result <- refuse(target.QueueFull, "a request of higher worth took the place in the full queue")
	l.waiting = slices.Delete(l.waiting, last, last+1)
}

// dispatch assigns free slots to the first requests of the queue and refuses those whose deadline has passed.
func (l *limiter) dispatch(now time.Time) {
	for l.free() && len(l.waiting) > 0 {
		w := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.observeDelay(now.Sub(w.enqueuedAt))
		if w.hasDeadline && !now.Before(w.deadline) {
			w.result <- refuse(target.TooLate, "the deadline passed in the queue")
			continue
		}
		l.inFlight++
		w.result <- nil
	}
}

// expectedDelay returns the expected time until a request at this index of the queue gets a slot.
func (l *limiter) expectedDelay(at int) time.Duration {
	return l.meanServiceTime * time.Duration(at+1) / time.Duration(int(l.limit))
}

// raise increases the limit by 1/limit after a success, so that it grows by about one after as many successes as the
// limit. A success that started before the last halving is ignored, because it ran under the previous limit.
func (l *limiter) raise(started time.Time) {
	if !l.halvedAt.IsZero() && started.Before(l.halvedAt) {
		return
	}
	l.limit = min(float64(l.ceiling), l.limit+1/l.limit)
}

// halve halves the limit and reports whether its integer part is lower. A request that started before the last halving does
// not halve the limit again, because it was shed under the previous limit.
func (l *limiter) halve(started, now time.Time) bool {
	if !l.halvedAt.IsZero() && started.Before(l.halvedAt) {
		return false
	}
	before := int(l.limit)
	l.limit = max(1, l.limit/2)
	l.halvedAt = now

	return int(l.limit) < before
}

func (l *limiter) observeDelay(d time.Duration) { l.meanDelay = smooth(l.meanDelay, d) }

func (l *limiter) observeServiceTime(d time.Duration) {
	if l.meanServiceTime == 0 {
		l.meanServiceTime = d
		return
	}
	l.meanServiceTime = smooth(l.meanServiceTime, d)
}

func smooth(old, latest time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(latest-old))
}
