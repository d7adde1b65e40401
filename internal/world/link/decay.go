package link

import (
	"math"
	"time"
)

// decay returns the part of a sample's weight that is left after age.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}

	return math.Exp2(-float64(age) / float64(latencyHalfLife))
}
