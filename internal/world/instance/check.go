package instance

import (
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Bounds that Check enforces on the fields of an Instance.
const (
	MaxNameLength = 128
	// MaxIncarnation is far above the incarnations that refutations reach. Decoders represent integers up to it exactly,
	// even if they decode numbers as float64.
	MaxIncarnation = 1 << 53
)

// Check returns an error that lists all faults of i, or nil.
func (i *Instance) Check() error {
	var faults fault.List
	if i.Name == "" || len(i.Name) > MaxNameLength {
		faults.Add("Name", "must have 1 to %d characters", MaxNameLength)
	}
	if err := i.AvailabilityZone.Check(); err != nil {
		faults.Add("AvailabilityZone", "%v", err)
	}
	if !i.Peer.IsValid() || i.Peer.Port() == 0 {
		faults.Add("Peer", "must be an address with a port")
	}
	if i.Incarnation > MaxIncarnation {
		faults.Add("Incarnation", "%d is over %d", i.Incarnation, uint64(MaxIncarnation))
	}
	if i.State > Failed {
		faults.Add("State", "%d is not a state", i.State)
	}

	return faults.Err()
}
