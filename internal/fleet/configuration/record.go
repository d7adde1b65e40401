package configuration

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// MaxHistory is the number of earlier applies that a record remembers. An operator whose write was superseded more than
// MaxHistory times before its reply was looked for is told that the outcome is unknown.
const MaxHistory = 64

// Applied says who put a revision into the store.
type Applied struct {
	Revision uint64
	// ApplyID is unique for each run of the apply command.
	ApplyID  string
	Operator string
	At       time.Time
}

// Record is the accepted configuration as it stands in the platform's store.
type Record struct {
	Applied
	// History lists the applies before this one, newest first.
	History []Applied
	// Base is the base file, and Overlays the overlay of each availability zone that has one, all as JSON.
	Base     json.RawMessage
	Overlays map[zone.Zone]json.RawMessage
}

// Decode decodes and checks a record from the store or from a peer.
func Decode(data []byte) (r Record, err error) {
	defer func() { err = Error.Wrap(err) }()

	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Record{}, err
	}
	if err := r.Check(); err != nil {
		return Record{}, err
	}

	return r, nil
}

// Check returns the faults of r itself. The contents of base and overlays are checked by package contract.
func (r *Record) Check() error {
	var faults fault.List
	if r.Revision == 0 {
		faults.Add("Revision", "must be at least 1")
	}
	if r.ApplyID == "" {
		faults.Add("ApplyID", "must not be empty")
	}
	if len(r.Base) == 0 {
		faults.Add("Base", "must not be empty")
	}
	if len(r.History) > MaxHistory {
		faults.Add("History", "has %d entries, at most %d are accepted", len(r.History), MaxHistory)
	}

	return faults.Err()
}
