package dispatch

import (
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// rotation is a smooth weighted round robin over the shares of a route. Unlike a random choice, it matches the weights closely even
// over a few requests.
type rotation struct {
	shares  []route.Share
	current []float64
}

// split returns the service that the next request of a route is sent to.
func (d *Dispatcher) split(r *route.Route) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shares[r.Name]
	if s == nil || !sameShares(s.shares, r.Split) {
		s = &rotation{shares: r.Split, current: make([]float64, len(r.Split))}
		d.shares[r.Name] = s
	}

	return s.next()
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
func (s *rotation) next() string {
	total, best := 0.0, 0
	for i, share := range s.shares {
		s.current[i] += share.Weight
		total += share.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= total

	return s.shares[best].Service
}
