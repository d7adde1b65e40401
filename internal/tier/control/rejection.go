package control

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// rejectionRetryInterval is the interval at which a change that the store has rejected is tried again.
	rejectionRetryInterval = time.Minute
	// maxRejections is the number of changes that may be rejected in one call of commitAccepted. If there are more, the next call goes on.
	maxRejections = 8
)

// rejection is a change of a key that the store has rejected.
type rejection struct {
	// value is the hash of the value, zero for a deletion.
	value [sha256.Size]byte
	at    time.Time
}

// rejections are the rejected changes by key. They are left out of further transactions, which would be rejected as a whole.
type rejections map[string]rejection

// hasPut reports whether the store has recently rejected to write the value.
func (r rejections) hasPut(key string, value []byte, now time.Time) bool {
	known, ok := r[key]

	return ok && now.Sub(known.at) < rejectionRetryInterval && known.value == sha256.Sum256(value)
}

// hasDelete reports whether the store has recently rejected to delete the key.
func (r rejections) hasDelete(key string, now time.Time) bool {
	known, ok := r[key]

	return ok && now.Sub(known.at) < rejectionRetryInterval && known.value == [sha256.Size]byte{}
}

// add records the rejection of the only change of a transaction, and drops those that are tried again.
func (r rejections) add(t *Transaction, now time.Time) (key string) {
	for old, known := range r {
		if now.Sub(known.at) >= rejectionRetryInterval {
			delete(r, old)
		}
	}
	rejected := rejection{at: now}
	if len(t.Puts) > 0 {
		key, rejected.value = t.Puts[0].Key, sha256.Sum256(t.Puts[0].Value)
	} else {
		key = t.Deletes[0]
	}
	r[key] = rejected

	return key
}

// commitAccepted commits the changes that the store accepts, and returns the keys of the others. A transaction that is rejected is split until
// the rejected changes are known, so that one of them does not keep the others from being written. commit commits a part of the changes.
func (t *term) commitAccepted(
	ctx context.Context, changes Transaction, commit func(ctx context.Context, part Transaction) error,
) (rejected []string, err error) {
	pending := []Transaction{changes}
	for len(pending) > 0 {
		part := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		part.Expect = map[string]uint64{leaderKey: t.revision}
		err := commit(ctx, part)
		switch size := len(part.Puts) + len(part.Deletes); {
		case err == nil:
		case !errors.Is(err, ErrRejected), len(rejected) >= maxRejections:
			return rejected, err
		case size == 1:
			key := t.rejected.add(&part, t.timers.Now())
			rejected = append(rejected, key)
			t.log.Log(event.WriteRejected, "Key", key, "Error", err)
		default:
			first, second := part.split(size / 2)
			pending = append(pending, second, first)
		}
	}

	return rejected, nil
}

// split returns two transactions, the first with n of the changes.
func (t *Transaction) split(n int) (first, second Transaction) {
	puts := min(n, len(t.Puts))
	first = Transaction{Puts: t.Puts[:puts], Deletes: t.Deletes[:n-puts]}
	second = Transaction{Puts: t.Puts[puts:], Deletes: t.Deletes[n-puts:]}

	return first, second
}
