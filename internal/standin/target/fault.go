package target

import (
	"bytes"
	"encoding/json"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Fault lists the faults in force. It is the body of PUT /fault.
type Fault struct {
	// SlowFraction of the queries take SlowFactor times as long.
	SlowFraction float64 `json:",omitempty"`
	SlowFactor   float64 `json:",omitempty"`
	// Freeze accepts queries and status polls and never answers them.
	Freeze bool `json:",omitempty"`
	Shed   bool `json:",omitempty"`
	Drain  bool `json:",omitempty"`
	Cold   bool `json:",omitempty"`
	// RefuseConnections closes the listener until the fault is lifted. Open connections go on.
	RefuseConnections bool `json:",omitempty"`
	// SilenceConnections makes the connections that are open when the fault is set carry no more data, for ever.
	SilenceConnections bool `json:",omitempty"`
	ResetBeforeRun     bool `json:",omitempty"`
	ResetAfterRun      bool `json:",omitempty"`
	// Truncate closes the connection in the middle of a reply.
	Truncate bool `json:",omitempty"`
	// Late holds back each reply for this time after the query ran.
	Late duration.Duration `json:",omitempty"`
	// Duplicate sends each reply twice.
	Duplicate bool `json:",omitempty"`
	// Misdirect gives each query the reply of the query before it.
	Misdirect bool `json:",omitempty"`
	// WrongReport claims idleness, more slots and versions that are not held.
	WrongReport bool `json:",omitempty"`
	// WithdrawVersion and AddHolding change the holdings when the fault is set; lifting it does not change them back.
	WithdrawVersion uint64        `json:",omitempty"`
	AddHolding      *wire.Holding `json:",omitempty"`
}

// UnmarshalJSON decodes and checks f. Unknown fields are an error.
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

// Check returns the faults of f as an input.
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

// SetFault replaces the faults in force.
func (t *Target) SetFault(f Fault) error {
	return t.setFault(f, nil)
}

// setFault replaces the faults in force. The connection that carries the change is never silenced.
func (t *Target) setFault(f Fault, carrier *conn) (err error) {
	defer func() { err = Error.Wrap(err) }()

	if err := f.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	t.fault = f
	if f.WithdrawVersion != 0 {
		t.withdraw(f.WithdrawVersion)
	}
	if f.AddHolding != nil {
		t.hold(*f.AddHolding)
	}
	if f.SilenceConnections {
		for c := range t.conns {
			if c != carrier {
				c.silent.Store(true)
			}
		}
	}
	l := t.listener
	t.mu.Unlock()

	if l == nil {
		return nil
	}

	return l.refuse(f.RefuseConnections)
}

func (t *Target) faults() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fault
}
