package control

import (
	"context"
	"errors"
	"time"
)

// The texts of these errors can reach callers: they are part of the message of a refused request when its claim in the store fails.
var (
	// ErrConflict means that the revision of a key is not the one that the transaction expected. Nothing was written.
	ErrConflict = errors.New("a key has another revision than expected")
	// ErrLeaseEnded means that the lease has expired or was revoked, and that its keys have been deleted.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrNoEffect means that a call certainly had no effect, because it did not reach the store or because the store rejected it.
	ErrNoEffect = errors.New("the store did not take the call")
	// ErrRejected means that the store has rejected the content of a call, which had no effect, and would reject it again. It comes with
	// ErrNoEffect.
	ErrRejected = errors.New("the store rejects the content of the call")
	// ErrIncomplete means that a listing did not end in time, and that the next call goes on with it.
	ErrIncomplete = errors.New("the listing is not complete yet")
	// ErrRestored means that a transaction was applied to a store that has come back from an older copy, where the expected revisions
	// may be those of other values.
	ErrRestored = errors.New("the store has come back from an older copy")
)

// Entry is a key of the store with its value, or the deletion of a key.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted is set if the key was deleted or does not exist.
	Deleted bool
}

// Lease identifies a lease of the store. Zero means no lease.
type Lease uint64

// Put writes a key. With a lease, the store deletes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Transaction is a set of changes that is applied atomically if each key in Expect has the given revision. An expected revision of
// 0 means that the key must not exist.
type Transaction struct {
	Expect  map[string]uint64
	Puts    []Put
	Deletes []string
}

// entries returns the changes of a transaction that was committed with a revision.
func (t *Transaction) entries(revision uint64) []Entry {
	entries := make([]Entry, 0, len(t.Puts)+len(t.Deletes))
	for _, p := range t.Puts {
		entries = append(entries, Entry{Key: p.Key, Value: p.Value, Revision: revision})
	}
	for _, key := range t.Deletes {
		entries = append(entries, Entry{Key: key, Revision: revision, Deleted: true})
	}

	return entries
}

// MaxChanges is the store's limit for the sum of expected keys, puts and deletes in one transaction.
const MaxChanges = 32

// MaxKeyBytes is the store's limit for the length of a key.
const MaxKeyBytes = 200

// KeyValueStore reads and writes the keys that the instances keep in the store. The function fields must be set before the first
// use. All revisions are ordered revisions, as returned by OrderRevision.
type KeyValueStore struct {
	// Generation returns the highest generation of the store that a response has shown.
	Generation func() uint64
	// Get returns one entry, whose Deleted is set if the key does not exist, and a revision. Later changes may not be reflected in
	// it.
	Get func(ctx context.Context, key string) (Entry, uint64, error)
	// List returns all entries below a prefix, and a revision. Later changes may not be reflected in them.
	List func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Wait is a long poll: it returns the changes below a prefix after a revision and the revision from which to continue, or no
	// changes if there are none within wait. It fails with ErrCompacted if the changes after the revision are not known, also because
	// the revision is one of an earlier generation.
	Wait func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Commit applies a transaction. Revisions of an earlier generation are not the expected ones. After an error other than
	// ErrConflict, ErrLeaseEnded and ErrNoEffect, it is unknown whether the transaction was applied.
	Commit func(ctx context.Context, t Transaction) (revision uint64, err error)
	// Grant creates a lease and returns its actual TTL.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew extends a lease.
	Renew func(ctx context.Context, lease Lease) error
	// End revokes a lease, which deletes its keys.
	End func(ctx context.Context, lease Lease) error
}
