package control

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict means that a key has another revision than a transaction expected; nothing was written.
	ErrConflict = errors.New("a key has another revision than expected")
	// ErrLeaseEnded means that the lease is gone, and its keys with it.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrNotMade means that a call had no effect: it did not reach the store, or the store refused it.
	ErrNotMade = errors.New("the store did not take the call")
)

// Entry is a key of the store with its value, or its removal.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	// Gone is set in a change that removed the key.
	Gone bool
}

// Lease identifies a lease of the store; zero is none.
type Lease uint64

// Put writes a key under a lease, or for good if there is none.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Transaction is a set of changes that is made as a whole, if each expected key has its revision; 0 means that it is absent.
type Transaction struct {
	Expect  map[string]uint64
	Puts    []Put
	Deletes []string
}

// MaxChanges is the number of expected keys, puts and deletes that the store takes in one transaction.
const MaxChanges = 32

// OwnStore reads and writes the instances' own keys. Function fields are set before the first use.
type OwnStore struct {
	// Get returns one entry, which is Gone if the key does not exist, and a revision after which changes may be missing.
	Get func(ctx context.Context, key string) (Entry, uint64, error)
	// List returns all entries below a prefix and a revision after which changes may be missing.
	List func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Wait returns the changes below a prefix after a revision, none once wait has passed.
	Wait func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Commit makes a transaction. After an error other than ErrConflict, ErrLeaseEnded and ErrNotMade it may have been made.
	Commit func(ctx context.Context, t Transaction) (revision uint64, err error)
	// Grant creates a lease and returns the time that it lasts, Renew extends it, End gives it back with its keys.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew func(ctx context.Context, lease Lease) error
	End   func(ctx context.Context, lease Lease) error
}
