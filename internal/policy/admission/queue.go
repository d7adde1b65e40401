package admission

import (
	"slices"
	"time"
)

// waiter is a request that Admit is deciding on, queued or not.
type waiter struct {
	service *service
	caller  string
	worth   float64
	cost    float64
	// protected is true if the request was admitted as part of minAdmittedShare. A request of higher worth does not evict it.
	protected bool
	// chargedCost is the number of target requests that grant added to inFlight of the service.
	chargedCost float64
	arrived     time.Time
	latestStart time.Time
	// queued is true while the request is in the queue. result receives one value when a queued request is admitted or refused.
	queued bool
	result chan error
}

// callerQueue holds the waiting requests of one caller in the order of their arrival.
type callerQueue struct {
	name   string
	weight float64
	// virtualFinish is the virtual time at which the last served request of the caller ends: each served request adds its cost
	// divided by the weight. The caller with the lowest value is served next.
	virtualFinish float64
	items         []*waiter
}

// fairQueue serves the queues of callers by weighted fair queueing. A caller is charged when a request is served rather than
// when it arrives, so that it is not charged for requests that are evicted or whose deadline passes in the queue.
type fairQueue struct {
	maxCallers int
	weights    map[string]float64
	// virtual is the virtual time of the request that was served last.
	virtual float64
	// callers holds every caller with queued requests. A caller whose queue is empty is removed only when maxCallers is
	// reached, because its virtualFinish may be ahead of the virtual time.
	callers map[string]*callerQueue
	length  int
}

// push adds w and reports whether there was room. To make room, it may evict a queued request of the same caller.
func (f *fairQueue) push(w *waiter, maxItems int) (evicted *waiter, ok bool) {
	q := f.queueOf(w.caller)
	if q == nil {
		return nil, false
	}
	if len(q.items) >= maxItems {
		evicted = q.leastWorth()
		if evicted == nil || evicted.worth >= w.worth && !w.protected {
			return nil, false
		}
		f.remove(evicted)
	}
	if len(q.items) == 0 {
		// The time in which a caller had no requests does not give it priority over others later.
		q.virtualFinish = max(q.virtualFinish, f.virtual)
	}
	f.callers[w.caller] = q
	q.items = append(q.items, w)
	w.queued = true
	f.length++

	return evicted, true
}

// pop removes the next request of the caller with the lowest virtualFinish. The queue must not be empty.
func (f *fairQueue) pop() *waiter {
	var next *callerQueue
	for _, q := range f.callers {
		if len(q.items) == 0 {
			continue
		}
		if next == nil || q.virtualFinish < next.virtualFinish || q.virtualFinish == next.virtualFinish && q.name < next.name {
			next = q
		}
	}
	w := next.items[0]
	f.virtual = next.virtualFinish
	next.virtualFinish += w.cost / next.weight
	f.remove(w)

	return w
}

func (f *fairQueue) remove(w *waiter) {
	q := f.callers[w.caller]
	i := slices.Index(q.items, w)
	q.items = slices.Delete(q.items, i, i+1)
	w.queued = false
	f.length--
}

// queueOf returns the queue of a caller, which may be new, or nil if maxCallers callers have queued requests.
func (f *fairQueue) queueOf(name string) *callerQueue {
	if q, ok := f.callers[name]; ok {
		return q
	}
	if len(f.callers) >= f.maxCallers {
		f.removeIdle()
	}
	if len(f.callers) >= f.maxCallers {
		return nil
	}
	weight, ok := f.weights[name]
	if !ok {
		weight = 1
	}

	return &callerQueue{name: name, weight: weight}
}

// removeIdle removes the callers without queued requests.
func (f *fairQueue) removeIdle() {
	for name, q := range f.callers {
		if len(q.items) == 0 {
			delete(f.callers, name)
		}
	}
}

// leastWorth returns the request of lowest worth that may be evicted, and of several the one that arrived last, or nil.
func (q *callerQueue) leastWorth() *waiter {
	var least *waiter
	for _, w := range q.items {
		if !w.protected && (least == nil || w.worth <= least.worth) {
			least = w
		}
	}

	return least
}
