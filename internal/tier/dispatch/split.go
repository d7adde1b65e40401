package dispatch

import (
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// weightedRoundRobin is a smooth weighted round robin over the shares of a route. Unlike a random choice, it matches the weights
// closely even over a few requests.
type weightedRoundRobin struct {
	shares         []route.Share
	currentWeights []float64
}

// nextSplitService returns the service that the next request of a route is sent to.
func (d *Dispatcher) nextSplitService(r *route.Route) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.roundRobins[r.Name]
	if w == nil || !sameShares(w.shares, r.Split) {
		w = &weightedRoundRobin{shares: r.Split, currentWeights: make([]float64, len(r.Split))}
		d.roundRobins[r.Name] = w
	}

	return w.next()
}

func sameShares(a, b []route.Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}

	return true
}

// next returns the service with the greatest accumulated weight and lowers that weight by the sum of all weights.
func (w *weightedRoundRobin) next() string {
	total, best := 0.0, 0
	for i, share := range w.shares {
		w.currentWeights[i] += share.Weight
		total += share.Weight
		if w.currentWeights[i] > w.currentWeights[best] {
			best = i
		}
	}
	w.currentWeights[best] -= total

	return w.shares[best].Service
}
