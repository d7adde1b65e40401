package quota

import (
	"math"
	"time"
)

const (
	// limitedBelow and unlimitedAbove are fractions of the capacity. An account is limited when its level falls below the first, and until it
	// is above the second and has not been below the first for unlimitedAfter. A third of the capacity covers what instances admit until
	// they know of it. An account within its quota that sends a full burst every few seconds is not limited for ever.
	limitedBelow   = 1.0 / 3
	unlimitedAbove = 0.9
	unlimitedAfter = 5 * time.Second
	// initialFraction and takenFraction are the level of a bucket in a new ledger, as a fraction of the capacity: at the start of a fleet, and
	// if another instance has kept the ledger, which may have admitted a full bucket just before.
	initialFraction = 0.75
	takenFraction   = 0.5
	// unsureFraction is the fraction of the rate at which an instance grants that may not be the only one that does: a backup, an owner
	// without contact to the leader, and a new owner while the previous one may not know of it yet.
	unsureFraction = 0.25
	// unsureFillFraction is the fraction of the rate at which the bucket of an account that is not limited fills at such an instance. An
	// account within its quota then bears the loss of the leader for some seconds, and one that has twice its quota on both sides of a
	// partition is found out.
	unsureFillFraction = 0.5
	// handoverTime is the time for which a previous owner that is cut off may go on to grant at the full rate. It then notices that it has
	// no contact to the leader.
	handoverTime = 3 * time.Second
	// idleTime is the time without a message about an account after which a new owner or a backup assumes that another instance has counted
	// meanwhile.
	idleTime = time.Second
	// settledTime is the time after which an owner knows the accounts that have sent requests recently. An account that it does not know
	// has then not used its bucket.
	settledTime = 60 * time.Second
	// retention is the time for which the state of an account without requests is kept.
	retention = 60 * time.Second
	// maxAccounts and maxReporters bound the memory. The design goal is 10,000 accounts and 1,000 instances.
	maxAccounts  = 1 << 14
	maxReporters = 1 << 12
	// longestTick is the longest time between two calls of a Ledger while its process runs. A longer time is a pause of the process.
	longestTick = time.Second
)

// Standing is the position of an instance that keeps a ledger.
type Standing struct {
	// Owner is set if the instance is the owner in its own view. Otherwise it is the backup.
	Owner bool
	// CutOff is set if the instance has had no contact to the leader recently, so that another owner may have replaced it.
	CutOff bool
	// Since is when the instance became the owner, and Replaced is set if another instance was the owner before.
	Since    time.Time
	Replaced bool
	// Interval is the shortest time between two requests for tokens by one instance.
	Interval time.Duration
}

// Sure reports whether no other instance is likely to keep a ledger of the same accounts now. Only then do other instances believe that an
// account is not limited any more.
func (s Standing) Sure(now time.Time) bool {
	return s.Owner && !s.CutOff && now.Sub(s.Since) >= handoverTime
}

// unsure reports whether another instance may grant tokens of the same accounts.
func (s Standing) unsure(now time.Time) bool {
	return !s.Owner || s.CutOff || s.Replaced && now.Sub(s.Since) < handoverTime
}

// initialFraction returns the level of a new bucket, as a fraction of the capacity.
func (s Standing) initialFraction() float64 {
	if !s.Owner || s.Replaced {
		return takenFraction
	}

	return initialFraction
}

// Ledger counts the requests of accounts at their owner. It answers bursts of several times the quota, which it limits within a round trip
// of the reports, and the loss of owners, after which no more than half a bucket is admitted twice. It is not safe for concurrent use.
type Ledger struct {
	accounts  map[string]*bucket
	reporters map[string]*reporter // by instance
	// start is the origin of the times in the ledger, paused the sum of the pauses of the process, and lastCall the last call.
	start    time.Time
	paused   time.Duration
	lastCall time.Time
	// ended are the accounts that are not limited any more, since the last Sweep.
	ended []string
}

// bucket is the token bucket of an account. Times are those of Ledger.clock.
type bucket struct {
	limits Limits
	level  float64
	at     time.Duration
	// lowAt is when the level was last below limitedBelow.
	lowAt   time.Duration
	usedAt  time.Duration
	limited bool
	// inherited is set if the previous owner had limited the account, and inheritedAt is when this was last found out.
	inherited   bool
	inheritedAt time.Duration
	// ownLimit is set if this instance itself has limited the account since takenAt.
	ownLimit bool
	// unsure is set if another instance may grant tokens of the account as well.
	unsure bool
	// takenAt is when this instance began to count the account.
	takenAt time.Duration
}

// reporter is the last report of an instance for each group of accounts.
type reporter struct {
	last [Buckets]struct{ session, sequence uint64 }
	at   time.Duration
}

// NewLedger returns an empty Ledger.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{
		accounts: make(map[string]*bucket), reporters: make(map[string]*reporter), start: now, lastCall: now,
	}
}

// clock returns the time for which the process has run. An owner that was frozen has not counted meanwhile, so its buckets must not fill.
func (l *Ledger) clock(now time.Time) time.Duration {
	if gap := now.Sub(l.lastCall); gap > longestTick {
		l.paused += gap - longestTick
	}
	if now.After(l.lastCall) {
		l.lastCall = now
	}

	return max(l.lastCall.Sub(l.start)-l.paused, 0)
}

// Report counts a report, and returns the accounts in it that are limited and those of them that are limited from now on. limitsOf returns
// the quota of an account, and whether it has one.
func (l *Ledger) Report(
	now time.Time, r *Report, standing Standing, limitsOf func(account string) (Limits, bool),
) (limited, began []string) {
	at := l.clock(now)
	repeated := !l.isNext(r, at)
	for _, u := range r.Usage {
		limits, ok := limitsOf(u.Account)
		if !ok {
			continue
		}
		b := l.bucket(u.Account, now, at, limits, standing)
		if b == nil {
			continue
		}
		wasLimited := b.limited
		if !repeated {
			b.charge(at, float64(u.Admitted-u.Returned))
		}
		if b.limited {
			limited = append(limited, u.Account)
		}
		if b.limited && !wasLimited {
			began = append(began, u.Account)
		}
	}

	return limited, began
}

// isNext reports whether a report was not counted before, and remembers it.
func (l *Ledger) isNext(r *Report, at time.Duration) bool {
	from := l.reporters[r.Instance]
	if from == nil {
		if len(l.reporters) >= maxReporters {
			return true
		}
		from = &reporter{}
		l.reporters[r.Instance] = from
	}
	from.at = at
	last := &from.last[r.Bucket]
	if last.session == r.Session && r.Sequence <= last.sequence {
		return false
	}
	last.session, last.sequence = r.Session, r.Sequence

	return true
}

// Grant gives up to wanted tokens of an account that the asking instance knows as limited. began is set if the account is limited from now
// on.
func (l *Ledger) Grant(now time.Time, account string, wanted int, limits Limits, standing Standing) (grant Grant, began bool) {
	at := l.clock(now)
	b := l.bucket(account, now, at, limits, standing)
	if b == nil {
		return Grant{Limited: true, Again: standing.Interval}, false
	}
	wasLimited := b.limited
	if isNewOwner(now, standing) && at-b.takenAt < handoverTime && !b.ownLimit && b.inheritedAt < b.takenAt {
		b.inherit(at)
	}
	if b.level >= 1 && wanted > 0 {
		grant.Tokens = min(wanted, int(b.level))
		b.charge(at, float64(grant.Tokens))
	}
	b.usedAt = at
	grant.Limited = b.limited
	if grant.Tokens < wanted {
		grant.Again = max(standing.Interval, b.untilToken())
	}

	return grant, b.limited && !wasLimited
}

// isNewOwner reports whether the previous owner may still grant, or is not known to have stopped.
func isNewOwner(now time.Time, standing Standing) bool {
	return !standing.Owner || now.Sub(standing.Since) < handoverTime
}

// bucket returns the bucket of an account as of now. It is nil if there are too many.
func (l *Ledger) bucket(account string, now time.Time, at time.Duration, limits Limits, standing Standing) *bucket {
	b := l.accounts[account]
	if b == nil {
		if len(l.accounts) >= maxAccounts {
			return nil
		}
		b = &bucket{limits: limits, level: limits.capacity(), at: at, takenAt: at, usedAt: at, inheritedAt: -1}
		if !standing.Owner || now.Sub(standing.Since) < settledTime {
			b.level *= standing.initialFraction()
		}
		l.accounts[account] = b
	}
	unsure := standing.unsure(now) || b.inherited && at-b.inheritedAt < handoverTime
	// What has passed since the last call counts at the lower rate of then and now.
	b.unsure = b.unsure || unsure
	if b.advance(at) {
		l.ended = append(l.ended, account)
	}
	if unsure {
		// The other instance begins with as much.
		b.level = min(b.level, takenFraction*b.limits.capacity())
	}
	b.unsure = unsure
	if isNewOwner(now, standing) && at-b.usedAt > idleTime && (!standing.Owner || at-b.usedAt > now.Sub(standing.Since)) {
		b.takenAt, b.ownLimit = at, false
		b.level = min(b.level, takenFraction*limits.capacity())
		b.noteLevel(at)
	}
	if b.limits != limits {
		b.limits = limits
		b.level = min(b.level, limits.capacity())
		b.noteLevel(at)
	}

	return b
}

// inherit makes the bucket that of an account which another instance has limited, so that its tokens are already used.
func (b *bucket) inherit(at time.Duration) {
	b.limited, b.inherited, b.inheritedAt = true, true, at
	b.level = min(b.level, 0)
	b.lowAt = at
}

// rate returns the rate at which the bucket fills.
func (b *bucket) rate() float64 {
	switch {
	case b.unsure && b.limited:
		return b.limits.PerSecond * unsureFraction
	case b.unsure:
		return b.limits.PerSecond * unsureFillFraction
	default:
		return b.limits.PerSecond
	}
}

// advance fills the bucket up to the time at. It reports whether the account is not limited any more.
func (b *bucket) advance(at time.Duration) (ended bool) {
	if at <= b.at {
		return false
	}
	rate, capacity := b.rate(), b.limits.capacity()
	if low := limitedBelow*capacity - b.level; low > 0 {
		b.lowAt = min(b.at+time.Duration(min(low/rate, retention.Seconds())*float64(time.Second)), at)
	}
	b.level = min(b.level+rate*(at-b.at).Seconds(), capacity)
	b.at = at
	ended = b.limited && b.level >= unlimitedAbove*capacity && at-b.lowAt >= unlimitedAfter
	if ended {
		b.limited, b.inherited = false, false
	}

	return ended
}

// charge takes tokens from the bucket, or returns some if tokens is negative. The debt is bounded, so that a late report of old requests
// does not refuse an account for long.
func (b *bucket) charge(at time.Duration, tokens float64) {
	capacity := b.limits.capacity()
	b.level = min(max(b.level-tokens, -capacity-b.limits.PerSecond), capacity)
	b.usedAt = at
	b.noteLevel(at)
	b.ownLimit = b.ownLimit || b.level < limitedBelow*capacity
}

// noteLevel limits the account if the level has fallen too low.
func (b *bucket) noteLevel(at time.Duration) {
	if b.level < limitedBelow*b.limits.capacity() {
		b.limited, b.lowAt = true, at
	}
}

// untilToken returns the time until the bucket has a token.
func (b *bucket) untilToken() time.Duration {
	if b.level >= 1 {
		return 0
	}
	seconds := (1 - b.level) / max(b.rate(), math.SmallestNonzeroFloat64)

	return time.Duration(min(seconds, retention.Seconds()) * float64(time.Second))
}

// Sweep drops the accounts without recent requests and the instances without recent reports. It returns the accounts that are not limited
// any more. It has to be called at least once in longestTick, because a longer time counts as a pause of the process.
func (l *Ledger) Sweep(now time.Time) (ended []string) {
	at := l.clock(now)
	for account, b := range l.accounts {
		if b.limited && b.advance(at) {
			l.ended = append(l.ended, account)
		}
		if at-b.usedAt > retention {
			delete(l.accounts, account)
		}
	}
	for instance, r := range l.reporters {
		if at-r.at > retention {
			delete(l.reporters, instance)
		}
	}
	ended, l.ended = l.ended, nil

	return ended
}

// Tick tells the ledger that the process runs.
func (l *Ledger) Tick(now time.Time) { l.clock(now) }

// Accounts returns the number of accounts in the ledger.
func (l *Ledger) Accounts() int { return len(l.accounts) }
