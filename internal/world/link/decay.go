package link

import (
	"math"
	"time"
)

// decay returns the weight of a sample of the given age, relative to its weight at age 0. The weight halves with each
// latencyHalfLife.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}

	return math.Exp2(-float64(age) / float64(latencyHalfLife))
}
