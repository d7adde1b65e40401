// Package platform is what `serve` uses of the platform: single keys of its store, and a list of instances and targets. The calls
// themselves are those of control.KeyValueStore and control.TargetSource, which the adapter for a platform provides.
//
// The store gives compare-and-swap, leases and watches, and has outages. A write whose reply is lost is neither done nor undone
// for the writer, so errors tell three cases apart:
//
//	ErrConflict     the expected version was not the current one; nothing was written
//	ErrUnavailable  the store did not take the request; nothing was written
//	ErrUnknown      the request may have reached the store; the write may be in effect now or later
//
// ErrLeaseLapsed means that the lease is gone and that nothing was written. Any other error means that the call was refused
// as wrong and had no effect.
//
//	client := platform.NewClient(store.KeyValueStore(), store.Targets(), timers)
//	version, err := client.CompareAndSwap(ctx, "Claims/17", token, 0, lease)
package platform

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Error is the class of the errors of this package.
var Error = errs.Class("platform")

// The cases that a caller of the store has to tell apart.
var (
	ErrConflict    = errors.New("the key has another version than expected")
	ErrUnavailable = errors.New("the store was not reached")
	ErrUnknown     = errors.New("the store may have taken the request")
	ErrLeaseLapsed = errors.New("the lease has lapsed")
)

const (
	// MaxValueBytes is the largest value that the store holds.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the longest key that the users' platform takes. It leaves room for a RequestID of 128 bytes and a prefix.
	MaxKeyBytes = 200
)

// Entry is a key of the store with its value. Version 0 means that the key is absent.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Lease is a granted lease.
type Lease struct {
	// ID is 0 for no lease.
	ID control.Lease
	// TTL is how long the lease lasts without renewal.
	TTL time.Duration
}

// Kind says what a listed process is.
type Kind string

// The kinds of listed processes.
const (
	EntryInstance Kind = "Instance"
	Target        Kind = "Target"
)

// State is what the list says of a process. It lags.
type State string

// The states of listed processes.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Listed is one process on the platform's list.
type Listed struct {
	Name             string
	Kind             Kind
	Address          netip.AddrPort
	AvailabilityZone zone.Zone
	State            State
}

// CheckKey returns an error if key is not a valid key of the store.
func CheckKey(key string) error {
	switch {
	case key == "" || len(key) > MaxKeyBytes:
		return fmt.Errorf("key: has %d bytes, 1 to %d are accepted", len(key), MaxKeyBytes)
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
