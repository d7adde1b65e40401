package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// Instance is the registration by which an instance describes itself to the others.
type Instance struct {
	Name             string
	Peer             netip.AddrPort
	AvailabilityZone string
	// Processor is the number of cores that are available to the instance, which may be a fraction.
	Processor float64
	// LinkBits is the bandwidth of the machine's network link in bits a second.
	LinkBits float64
	// Unreachable is set by the leader while the instance reports that it has no connectivity to the targets.
	Unreachable bool `json:",omitempty"`
}

// Check returns an error if a required field is missing or invalid. LinkBits may be zero.
func (i *Instance) Check() error {
	switch {
	case i.Name == "":
		return errors.New("field Name is empty")
	case !i.Peer.IsValid():
		return errors.New("field Peer is not an IP address and port")
	case i.AvailabilityZone == "":
		return errors.New("field AvailabilityZone is empty")
	case i.Processor <= 0:
		return errors.New("field Processor is not positive")
	}

	return nil
}

// UnmarshalJSON decodes and validates the value of a key below instancePrefix.
func (i *Instance) UnmarshalJSON(data []byte) error {
	type plain Instance
	if err := json.Unmarshal(data, (*plain)(i)); err != nil {
		return err
	}

	return i.Check()
}

// leader is the value of leaderKey.
type leader struct {
	Name string
	// Synced is set once the leader has brought the mirror up to date with the registry of targets.
	Synced bool
	// Generation is the generation of the store in which the leader has brought the mirror up to date. In a later one, the mirror is
	// that of an older copy.
	Generation uint64
	// Term tells the key of one term from those of the others, 0 if the leader's version is older than that. The revision of the key can
	// change within a term.
	Term uint64 `json:",omitempty"`
	// Peer is the address at which other instances can follow the leader, invalid if the leader's version is older than that.
	Peer netip.AddrPort
}

// syncedAt reports whether the mirror is up to date, if the leader's key has the given revision.
func (l *leader) syncedAt(revision uint64) bool {
	generation, _ := SplitRevision(revision)

	return l.Synced && l.Generation == generation
}

// UnmarshalJSON decodes and validates the value.
func (l *leader) UnmarshalJSON(data []byte) error {
	type plain leader
	if err := json.Unmarshal(data, (*plain)(l)); err != nil {
		return err
	}
	if l.Name == "" {
		return errors.New("field Name is empty")
	}

	return nil
}

// mirrored is the value of a key below mirrorPrefix: a target.
type mirrored struct {
	// ID is the ID of the target, empty if it is the rest of the key.
	ID               string `json:",omitempty"`
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Draining         bool
	Warmup           time.Duration
	Started          time.Time
	// Missing is set if the registry lacks the target, and Expired if its entry may have expired in an outage of the store. An earlier version
	// does not pass them on, and takes such a target for a registered one.
	Missing bool `json:",omitempty"`
	Expired bool `json:",omitempty"`
	// Sequence is that of the target's entry that Warmup is from, 0 if Warmup is 0 or the leader's version does not pass it on. It tells a
	// warm-up from an earlier one that took as long.
	Sequence int64 `json:",omitempty"`
}

// UnmarshalJSON decodes and validates the value.
func (m *mirrored) UnmarshalJSON(data []byte) error {
	type plain mirrored
	if err := json.Unmarshal(data, (*plain)(m)); err != nil {
		return err
	}
	switch {
	case m.Service == "":
		return errors.New("field Service is empty")
	case !m.Address.IsValid():
		return errors.New("field Address is not an IP address and port")
	case m.AvailabilityZone == "":
		return errors.New("field AvailabilityZone is empty")
	case m.Slots <= 0:
		return errors.New("field Slots is not positive")
	}

	return nil
}

func newMirrored(t *directory.Target) mirrored {
	m := mirrored{
		Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone, Slots: t.Slots, Draining: t.Draining,
		Warmup: t.Warmup, Started: t.Started, Missing: t.Absence.Missing, Expired: t.Absence.Expired,
	}
	if m.Warmup > 0 {
		m.Sequence = t.Sequence
	}
	if mirrorName(t.ID) != t.ID {
		m.ID = t.ID
	}

	return m
}

// same reports whether the mirror, in which a target has a name, says of it what is known now, apart from its warm-up.
func (m *mirrored) same(t *directory.Target, name string) bool {
	return t.Same(m.target(name)) && t.Absence.Missing == m.Missing && t.Absence.Expired == m.Expired
}

// absent returns what the mirror says of the absence of a target's entry.
func (m *mirrored) absent() directory.Absence {
	return directory.Absence{Missing: m.Missing, Expired: m.Expired}
}

// hashedNamePrefix is the prefix of a mirrorName that is a hash.
const hashedNamePrefix = "~"

// mirrorName returns the rest of the key below mirrorPrefix under which a target is mirrored: its ID, or a hash of it if the key would be
// longer than the store allows. Targets register under a shorter prefix.
func mirrorName(id string) string {
	if len(mirrorPrefix)+len(id) <= MaxKeyBytes && !strings.HasPrefix(id, hashedNamePrefix) {
		return id
	}
	sum := sha256.Sum256([]byte(id))

	return hashedNamePrefix + hex.EncodeToString(sum[:])
}

// target returns the target that is mirrored under a name.
func (m *mirrored) target(name string) *directory.Target {
	id := m.ID
	if id == "" {
		id = name
	}

	return &directory.Target{
		ID: id, Service: m.Service, Address: m.Address, AvailabilityZone: m.AvailabilityZone, Slots: m.Slots, Draining: m.Draining,
		Warmup: m.Warmup, Started: m.Started, Sequence: m.Sequence, Absence: m.absent(),
	}
}

// decodeEntry decodes the value of a key that the instances write. It logs an invalid value and treats the key as absent.
func decodeEntry[T any](log *event.Log, e *Entry) (value T, ok bool) {
	if e.Deleted {
		return value, false
	}
	if err := json.Unmarshal(e.Value, &value); err != nil {
		log.Log(event.OwnValueRejected, "Key", e.Key, "Revision", e.Revision, "Error", err)

		var zero T

		return zero, false
	}

	return value, true
}
