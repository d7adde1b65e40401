// Package retention decides for how long a target stays in use although its entry is missing from the registry.
//
// The entry is missing because the target has left, or because the entry expired in an outage of the store, after which live targets register
// again. The first calls for dropping the target within the drain bound, the second for keeping it. Each instance decides by what it knows of the
// target itself: when the registry last had it, and whether the store has returned from an outage since. A change of leader changes
// neither:
//
//	reader := retention.Reader{Policy: policy}
//	reader.TakeOver(confirmedAt)     // other instances have read the registry until then
//	reader.Succeed(began, now)       // this instance has read it
//	absence, keep := reader.Missing(target.Absence, now)
//
// A Reader is not safe for concurrent use.
package retention

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// Policy is for how long missing targets are kept.
type Policy struct {
	// Unseen is how long a target is kept after the registry last had it if its entry may have expired in an outage that no living instance
	// has seen. It is below the drain bound.
	Unseen time.Duration
	// Return is how long a target is kept after the store has returned from an outage, in which live targets register again.
	Return time.Duration
	// LeaseProof is the age of a leader's last read from which the next one proves an outage, because the lease would have ended if this
	// instance alone had been cut off from the store.
	LeaseProof time.Duration
}

// Until returns until when a missing target is kept.
func (p Policy) Until(a directory.Absence) (until time.Time) {
	if !a.RegisteredAt.IsZero() {
		until = a.RegisteredAt.Add(p.Unseen)
	}
	if !a.ReturnedAt.IsZero() {
		until = later(until, a.ReturnedAt.Add(p.Return))
	}

	return until
}

// Keeps reports whether a target is kept that was missing when the registry was last read, at readAt. After an outage it is not dropped without
// a read at the end of that time, because it may have registered since the last one.
func (p Policy) Keeps(a directory.Absence, readAt, now time.Time) bool {
	if a.ReturnedAt.IsZero() {
		readAt = now
	}

	return readAt.Before(p.Until(a))
}

// Expires reports whether a target is dropped at some time without a new read of the registry, and when.
func (p Policy) Expires(a directory.Absence) (at time.Time, expires bool) {
	return p.Until(a), a.Missing && a.ReturnedAt.IsZero()
}

// Reader is what an instance that reads the registry knows of the time before.
type Reader struct {
	Policy
	// Leads is set while this instance leads, so that its lease has not ended.
	Leads bool
	// lastKnown is when the registry last had the targets that are not known as missing, as of the last read before this instance took over
	// from others or was interrupted.
	lastKnown time.Time
	// readAt is when the last successful read began, and failedAt is when a read last failed.
	readAt, failedAt time.Time
	// returnedAt is when the store had returned from the last outage. If seeded is set, it is when this instance got targets from others.
	returnedAt time.Time
	seeded     bool
}

// TakeOver records that other instances have read the registry until a time, and that this instance reads it from now on.
func (r *Reader) TakeOver(confirmedAt time.Time) { r.lastKnown = later(r.lastKnown, confirmedAt) }

// Return records that the store has returned from an outage.
func (r *Reader) Return(now time.Time) { r.returnedAt, r.seeded = now, false }

// Seed records that this instance has its targets from others, and does not know when these last read the registry.
func (r *Reader) Seed(now time.Time) { r.returnedAt, r.seeded = now, true }

// Fail records a failed read.
func (r *Reader) Fail(now time.Time) { r.failedAt = now }

// Succeed records a successful read. If reads have failed since the registry was last read, by this instance or another one, that counts as an
// outage.
func (r *Reader) Succeed(began, now time.Time) {
	switch {
	case !r.failedAt.After(r.readAt), !r.failedAt.After(r.lastKnown):
	case r.Leads && began.Sub(r.readAt) < r.LeaseProof:
		r.lastKnown = later(r.lastKnown, r.readAt)
	default:
		r.Return(now)
	}
	r.readAt = began
}

// ReadAt returns when the last successful read began, the zero time if there was none.
func (r *Reader) ReadAt() time.Time { return r.readAt }

// Missing returns what is known of a target that the last read lacks, and whether it is kept. known is what was known of it before.
func (r *Reader) Missing(known directory.Absence, now time.Time) (a directory.Absence, keep bool) {
	returned := !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < r.Policy.Return
	switch {
	case !known.Missing:
		a = directory.Absence{Missing: true, RegisteredAt: r.lastKnown}
		if returned {
			a.Expired, a.ReturnedAt = !r.seeded, r.returnedAt
		}
	case known.Expired && returned && !r.seeded:
		// The target could not register again if the store was away again.
		a = known
		a.ReturnedAt = r.returnedAt
	default:
		a = known
	}

	return a, r.Keeps(a, now, now)
}

// Told returns what an instance knows of a target that another one, usually the leader, says is missing, because its entry may have expired in an
// outage if expired is set. known is what the instance knew of the target before, nil if it did not know it. Those that it did not know as missing
// were registered at confirmedAt. One that it knows to be missing does not stay for longer because of what others say.
func Told(known *directory.Absence, expired bool, confirmedAt, now time.Time) directory.Absence {
	if known != nil && known.Missing {
		return *known
	}
	a := directory.Absence{Missing: true, Expired: expired}
	if expired {
		a.ReturnedAt = now
	}
	if known != nil {
		a.RegisteredAt = confirmedAt
	}

	return a
}

// Adopt returns what an instance knows of a target that it was told is missing. own is what it knew of the target by its own reads, the last of
// which was at readAt, and told is the result of Told.
func Adopt(own, told directory.Absence, readAt, now time.Time) (a directory.Absence) {
	if own.Missing {
		a = own
		a.RegisteredAt = earlier(own.RegisteredAt, told.RegisteredAt)
	} else {
		a = told
		a.RegisteredAt = later(told.RegisteredAt, readAt)
	}
	if a.RegisteredAt.IsZero() && a.ReturnedAt.IsZero() {
		// This instance has started, and knows the target from others alone.
		a.ReturnedAt = now
	}

	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}

// earlier returns the earlier of two times. The zero time stands for one that is not known.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}
