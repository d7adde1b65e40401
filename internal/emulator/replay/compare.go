package replay

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
)

// confidence is the confidence level of the interval of a Difference.
const confidence = 0.95

// Difference is the difference in worth between two policies over several seeds.
type Difference struct {
	// Worth is the mean worth under the first policy, and Other the mean worth under the second.
	Worth, Other float64
	// Gain is the mean over the seeds of the difference in worth, and Margin half the width of its confidence interval.
	Gain, Margin float64
	Seeds        int
}

// String formats the figures as one line of text.
func (d *Difference) String() string {
	return fmt.Sprintf("Worth=%.3f Other=%.3f Gain=%.3f Margin=%.3f Seeds=%d", d.Worth, d.Other, d.Gain, d.Margin, d.Seeds)
}

// Significant reports whether the gain is significant: the whole confidence interval is above zero.
func (d *Difference) Significant() bool { return d.Gain-d.Margin > 0 }

// Compare replays the pattern under both policies with each seed from 1 to seeds, and compares the results seed by seed.
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
