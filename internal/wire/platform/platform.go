// Package platform speaks to the platform's key-value store and its list of instances and targets.
//
// It is the only package that knows that protocol. The store gives compare-and-swap, leases and watches, and has
// outages. A write whose reply is lost is neither done nor undone for the writer, so errors tell three cases apart:
//
//	ErrConflict     the expected version was not the current one; nothing was written
//	ErrUnavailable  the request did not reach the store; nothing was written
//	ErrUnknown      the request may have reached the store; the write may be in effect now or later
//
// ErrLeaseLapsed means that the lease is gone and that nothing was written. Any other error means that the call was refused
// as wrong and had no effect. The client decides between ErrUnavailable and ErrUnknown by whether a byte of the request was
// written to a connection, and never sends a write twice.
//
//	client := platform.NewClient(address, timers)
//	version, err := client.CompareAndSwap(ctx, "Claims/17", token, 0, lease)
package platform

import (
	"errors"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

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

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Entry is a key of the store with its value. Version 0 means that the key is absent.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// LeaseID identifies a lease of the store. The zero value is no lease.
type LeaseID string

// Lease is a granted lease.
type Lease struct {
	ID LeaseID
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
