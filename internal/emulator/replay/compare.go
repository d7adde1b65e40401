package replay

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
)

// confidence is that of the interval of a Difference.
const confidence = 0.95

// Difference is what a policy gains over another one, over several seeds.
type Difference struct {
	Worth, Other float64
	// Gain is the mean of the differences of the worth, and Margin the half width of its interval.
	Gain, Margin float64
	Seeds        int
}

// String returns the figures in one line.
func (d *Difference) String() string {
	return fmt.Sprintf("Worth=%.3f Other=%.3f Gain=%.3f Margin=%.3f Seeds=%d", d.Worth, d.Other, d.Gain, d.Margin, d.Seeds)
}

// Sure reports whether the gain is above zero by more than its margin.
func (d *Difference) Sure() bool { return d.Gain-d.Margin > 0 }

// Compare replays the pattern under both policies for the seeds from 1 on. Each seed gives both the same queries.
func Compare(p *pattern.Pattern, policy, other Policy, seeds int) (d Difference) {
	gains := make([]float64, 0, seeds)
	for seed := range uint64(seeds) {
		a, b := Run(p, policy, seed+1), Run(p, other, seed+1)
		d.Worth += a.Worth / float64(seeds)
		d.Other += b.Worth / float64(seeds)
		gains = append(gains, a.Worth-b.Worth)
	}
	mean, deviation := stat.MeanStdDev(gains, nil)
	d.Gain, d.Seeds = mean, seeds
	if seeds > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(seeds - 1)}
		d.Margin = student.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(seeds))
	}

	return d
}
