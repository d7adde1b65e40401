package attempt

import (
	"math"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Check validates a. The error lists each field that is not valid.
func (a *Attempt) Check() error {
	var faults fault.List
	if !a.Replica.Address.IsValid() || a.Replica.Address.Port() == 0 {
		faults.Add("Replica.Address", "must be an address with a port")
	}
	if err := a.Replica.AvailabilityZone.Check(); err != nil {
		faults.Add("Replica.AvailabilityZone", "%v", err)
	}
	if a.Slots < 0 {
		faults.Add("Slots", "must not be negative")
	}
	if a.Connections < 0 {
		faults.Add("Connections", "must not be negative")
	}
	if math.IsNaN(a.Worth) || math.IsInf(a.Worth, 0) || a.Worth < 0 {
		faults.Add("Worth", "must be a number that is not negative")
	}
	if err := a.Query.Check(); err != nil {
		faults.Add("Query", "%v", err)
	}

	return faults.Err()
}
