package target

import (
	"bytes"
	"encoding/json"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Fault is the set of active faults. It is the body of GET and PUT /fault.
type Fault struct {
	// SlowFraction is the fraction of the queries whose service time is multiplied by SlowFactor.
	SlowFraction float64 `json:",omitempty"`
	SlowFactor   float64 `json:",omitempty"`
	// Freeze reads queries and status polls but never answers them.
	Freeze bool `json:",omitempty"`
	// Shed refuses queries as an overloaded target does, and Drain as a target that shuts down.
	Shed  bool `json:",omitempty"`
	Drain bool `json:",omitempty"`
	// Cold applies the factor of WithColdStart to service times.
	Cold bool `json:",omitempty"`
	// RefuseConnections closes the listening port until the fault is cleared. Open connections stay usable.
	RefuseConnections bool `json:",omitempty"`
	// SilenceConnections discards all further data in both directions on the connections that are open when the fault is set,
	// except the one that carried PUT /fault. Clearing the fault does not restore them.
	SilenceConnections bool `json:",omitempty"`
	// ResetBeforeRun and ResetAfterRun reset the connection of a query before it runs or after it ran.
	ResetBeforeRun bool `json:",omitempty"`
	ResetAfterRun  bool `json:",omitempty"`
	// Truncate closes the connection after the first half of a reply.
	Truncate bool `json:",omitempty"`
	// Late delays each reply for this time after the query ran.
	Late duration.Duration `json:",omitempty"`
	// Duplicate sends each reply twice.
	Duplicate bool `json:",omitempty"`
	// Misdirect answers each query with the reply to the query received before it.
	Misdirect bool `json:",omitempty"`
	// WrongReport makes reports claim that the target is idle, warm and not draining, that it has ten times its slots, and that
	// the version of each holding is one higher than it is.
	WrongReport bool `json:",omitempty"`
	// WithdrawVersion and AddHolding change the holdings when the fault is set. Clearing the fault does not undo the change.
	WithdrawVersion uint64        `json:",omitempty"`
	AddHolding      *wire.Holding `json:",omitempty"`
}

// UnmarshalJSON decodes f and validates it. It rejects unknown fields.
func (f *Fault) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()

	type plain Fault
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(f)); err != nil {
		return err
	}

	return f.Check()
}

// Check reports the fields of f that have invalid values.
func (f *Fault) Check() error {
	var faults fault.List
	if f.SlowFraction < 0 || f.SlowFraction > 1 {
		faults.Add("SlowFraction", "%v is not within 0 to 1", f.SlowFraction)
	}
	if f.SlowFactor < 0 || f.SlowFraction > 0 && f.SlowFactor == 0 {
		faults.Add("SlowFactor", "must be positive")
	}
	if f.Late < 0 {
		faults.Add("Late", "must not be negative")
	}
	if h := f.AddHolding; h != nil && (h.Shards < 1 || h.Shard < 0 || h.Shard >= h.Shards) {
		faults.Add("AddHolding.Shard", "%d is not one of %d shards", h.Shard, h.Shards)
	}

	return faults.Err()
}

// SetFault replaces the active faults.
func (t *Target) SetFault(f Fault) error {
	return t.setFault(f, nil)
}

// setFault replaces the active faults. It does not silence requestConn, the connection of the request that sets them.
func (t *Target) setFault(f Fault, requestConn *conn) (err error) {
	defer func() { err = Error.Wrap(err) }()

	if err := f.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	t.fault = f
	if f.WithdrawVersion != 0 {
		t.removeVersion(f.WithdrawVersion)
	}
	if f.AddHolding != nil {
		t.addHolding(*f.AddHolding)
	}
	if f.SilenceConnections {
		for c := range t.openConns {
			if c != requestConn {
				c.silent.Store(true)
			}
		}
	}
	l := t.listener
	t.mu.Unlock()

	if l == nil {
		return nil
	}

	return l.setRefusing(f.RefuseConnections)
}

// activeFault returns the active faults.
func (t *Target) activeFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fault
}
