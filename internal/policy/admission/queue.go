package admission

import (
	"slices"
	"time"
)

// waiter is one request on its way through admission.
type waiter struct {
	service *service
	caller  string
	worth   float64
	cost    float64
	// protected marks a request of the share that is let through under overload. A request of higher worth does not evict it.
	protected bool
	// taken is what the grant added to inFlight of the service.
	taken   float64
	arrived time.Time
	latest  time.Time
	// queued is true while the request is in the queue, and result receives one value when it leaves it.
	queued bool
	result chan error
}

// callerQueue holds the waiting requests of one caller in the order of their arrival.
type callerQueue struct {
	name   string
	weight float64
	// served is the virtual time at which the caller is next in turn: the cost of its served requests by weight.
	served float64
	items  []*waiter
}

// fairQueue serves the queues of callers in weighted fair order. A caller is charged when a request is served rather than when
// it arrives, so that requests that are evicted or run out of time cost it nothing.
type fairQueue struct {
	maxCallers int
	weights    map[string]float64
	// virtual is the virtual time of the request that was served last.
	virtual float64
	// callers holds every caller with waiting requests, and those that were served ahead of the virtual time.
	callers map[string]*callerQueue
	length  int
}

// push adds w and reports whether there was room. It may evict a waiting request of the same caller for it.
func (f *fairQueue) push(w *waiter, maxItems int) (evicted *waiter, ok bool) {
	q := f.callerOf(w.caller)
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
		// A caller earns nothing by staying away.
		q.served = max(q.served, f.virtual)
	}
	f.callers[w.caller] = q
	q.items = append(q.items, w)
	w.queued = true
	f.length++

	return evicted, true
}

// pop removes the request that is next in turn. The queue must not be empty.
func (f *fairQueue) pop() *waiter {
	var next *callerQueue
	for _, q := range f.callers {
		if len(q.items) == 0 {
			continue
		}
		if next == nil || q.served < next.served || q.served == next.served && q.name < next.name {
			next = q
		}
	}
	w := next.items[0]
	f.virtual = next.served
	next.served += w.cost / next.weight
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

// callerOf returns the queue of a caller, or nil if there are too many callers.
func (f *fairQueue) callerOf(name string) *callerQueue {
	if q, ok := f.callers[name]; ok {
		return q
	}
	if len(f.callers) >= f.maxCallers {
		f.forget()
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

// forget drops the callers without waiting requests.
func (f *fairQueue) forget() {
	for name, q := range f.callers {
		if len(q.items) == 0 {
			delete(f.callers, name)
		}
	}
}

// leastWorth returns the latest of the requests of lowest worth that may be evicted.
func (q *callerQueue) leastWorth() *waiter {
	var least *waiter
	for _, w := range q.items {
		if !w.protected && (least == nil || w.worth <= least.worth) {
			least = w
		}
	}

	return least
}
