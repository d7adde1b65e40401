package directory

import "time"

// Absence is what an instance knows of a target in its directory whose entry is missing from the registry. The zero value stands for a target
// that is registered. Its times are of this instance's clock and are not passed on.
type Absence struct {
	// Missing is set if the registry did not have the target when it was last read.
	Missing bool
	// RegisteredAt is when the registry last had the target, zero if that is not known.
	RegisteredAt time.Time
	// Expired is set if the entry may have expired in an outage of the store that an instance has seen.
	Expired bool
	// ReturnedAt is when this instance learned that the store had returned from the outage, or, if Expired is not set, when it learned of the
	// target without having known any before. It is zero if neither applies.
	ReturnedAt time.Time
}
