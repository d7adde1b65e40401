package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"unicode"
	"unicode/utf8"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Paths of the HTTP interface of the platform. A key or lease follows its path as one escaped segment.
const (
	StorePath  = "/store/"
	WatchPath  = "/watch/"
	LeasesPath = "/leases"
	ListPath   = "/list"
)

// Names in requests. The zone is sent query-escaped, because place names need not be ASCII.
const (
	ZoneHeader        = "Availability-Zone"
	ExpectedParameter = "Expected"
	AfterParameter    = "After"
)

// Bounds of what is sent and accepted.
const (
	// MaxKeyBytes leaves room for a RequestID of 128 bytes and a prefix.
	MaxKeyBytes = 256
	// MaxMessageBytes admits a value of MaxValueBytes in base64 with its envelope.
	MaxMessageBytes = 2 << 20
	// MaxListed is twice the 3,200 replicas and 450 instances of the expected size.
	MaxListed     = 8192
	MaxListBytes  = 4 << 20
	MaxNameLength = 128
)

// Write is the body of a compare-and-swap.
type Write struct {
	Value []byte
	// Expected is the version that is replaced; 0 means that the key must be absent.
	Expected uint64
	// Lease makes the key vanish when the lease lapses; empty means that the key stays.
	Lease LeaseID `json:",omitempty"`
}

// Stored is the reply to reads, watches and writes. A write is answered without the value.
type Stored struct {
	Version uint64
	Value   []byte `json:",omitempty"`
}

// Check returns the faults of s.
func (s *Stored) Check() error {
	var faults fault.List
	if len(s.Value) > MaxValueBytes {
		faults.Add("Value", "has %d bytes, at most %d are accepted", len(s.Value), MaxValueBytes)
	}
	if s.Version == 0 && len(s.Value) > 0 {
		faults.Add("Version", "is 0, which means absent, but there is a value")
	}

	return faults.Err()
}

// Grant is the body of a request for a lease and of the replies to grants and renewals.
type Grant struct {
	ID  LeaseID `json:",omitempty"`
	TTL duration.Duration
}

// Listing is the reply to a read of the list.
type Listing struct {
	Entries []Listed
}

// UnmarshalJSON decodes and checks l. All faults are reported, up to a bound.
func (l *Listing) UnmarshalJSON(data []byte) error {
	const maxFaults = 16
	var raw struct{ Entries []json.RawMessage }
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	var faults fault.List
	if len(raw.Entries) > MaxListed {
		faults.Add("Entries", "has %d entries, at most %d are accepted", len(raw.Entries), MaxListed)

		return faults.Err()
	}
	l.Entries = make([]Listed, 0, len(raw.Entries))
	for i, text := range raw.Entries {
		var entry Listed
		path := fmt.Sprintf("Entries[%d]", i)
		if err := json.Unmarshal(text, &entry); err != nil {
			faults.Add(path, "%v", err)
		} else {
			faults.Merge(path, entry.Faults())
		}
		if len(faults.Faults()) >= maxFaults {
			break
		}
		l.Entries = append(l.Entries, entry)
	}

	return faults.Err()
}

// Faults returns the faults of l.
func (l *Listed) Faults() (faults fault.List) {
	if l.Name == "" || len(l.Name) > MaxNameLength {
		faults.Add("Name", "must have 1 to %d characters", MaxNameLength)
	}
	if l.Kind != EntryInstance && l.Kind != Target {
		faults.Add("Kind", "%q is neither %s nor %s", l.Kind, EntryInstance, Target)
	}
	if !l.Address.IsValid() || l.Address.Port() == 0 {
		faults.Add("Address", "%q is not an IP address and port", l.Address)
	}
	if err := l.AvailabilityZone.Check(); err != nil {
		faults.Add("AvailabilityZone", "%v", err)
	}
	if l.State != Live && l.State != Leaving {
		faults.Add("State", "%q is neither %s nor %s", l.State, Live, Leaving)
	}

	return faults
}

// Code names the reason of a refusal.
type Code string

// The reasons that the platform gives. A refused call has had no effect.
const (
	Conflict    Code = "Conflict"
	LeaseLapsed Code = "LeaseLapsed"
	Overloaded  Code = "Overloaded"
	TooLarge    Code = "TooLarge"
	BadRequest  Code = "BadRequest"
)

// Refusal is the body of every reply that is not a success.
type Refusal struct {
	Code    Code
	Message string
}

// CheckKey returns an error if key is not a valid key of the store.
func CheckKey(key string) error {
	switch {
	case key == "" || len(key) > MaxKeyBytes:
		return fmt.Errorf("key: has %d bytes, 1 to %d are accepted", len(key), MaxKeyBytes)
	case key == "." || key == "..":
		return errors.New("key: must not be a dot segment of a path")
	case !utf8.ValidString(key):
		return errors.New("key: is not valid UTF-8")
	}
	for _, r := range key {
		if unicode.IsControl(r) {
			return fmt.Errorf("key: contains the control character %U", r)
		}
	}

	return nil
}

// EscapeZone returns the form of z that is sent in ZoneHeader.
func EscapeZone(z zone.Zone) string {
	return url.QueryEscape(string(z))
}

// UnescapeZone is the inverse of EscapeZone.
func UnescapeZone(header string) (zone.Zone, error) {
	name, err := url.QueryUnescape(header)
	if err != nil || name == "" {
		return "", err
	}
	z := zone.Zone(name)

	return z, z.Check()
}
