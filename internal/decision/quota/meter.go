package quota

import (
	"math"
	"time"
)

const (
	// tokenLifetime is the time within which tokens are used. Tokens that an instance keeps longer are missing elsewhere.
	tokenLifetime = 500 * time.Millisecond
	// expectedTime is the time for which an instance asks for tokens in advance, so that a limited account does not cost a call for each
	// request.
	expectedTime = 100 * time.Millisecond
	// demandTime and admittedTime are the times over which the rates of an instance are averaged: of the requests that arrive, and of those
	// that are admitted.
	demandTime   = time.Second
	admittedTime = 10 * time.Second
	// ownFraction is the fraction of the rate of its own admitted requests that an instance uses without an owner, and equalFraction the
	// fraction of the quota that is divided equally among all instances, so that requests which move to other instances find some.
	ownFraction   = 0.8
	equalFraction = 0.2
	// shareCapacity is the capacity of the token bucket of an instance without an owner, and initialShare the sum of the initial levels over
	// all instances, as a fraction of the capacity of the owner's bucket. The owner may have admitted a full bucket just before.
	shareCapacity = 1.0
	initialShare  = 0.5
	// maxUsage is the number of accounts in one report. The next report has the others.
	maxUsage = 1024
)

// Outcome is what becomes of a request.
type Outcome int

// The outcomes.
const (
	// Admitted requests are passed on.
	Admitted Outcome = iota
	// Refused requests are over the quota.
	Refused
	// Ask means that the owner has to be asked for a token first.
	Ask
)

// Verdict is the decision on a request.
type Verdict struct {
	Outcome Outcome
	// Retry is the time after which a refused request may be tried again.
	Retry time.Duration
	// Full is set if the request was admitted because the meter has too many accounts.
	Full bool
}

// Situation is what the decision of an instance depends on besides the account.
type Situation struct {
	// Detached is set if neither the owner of the account nor its backup can be reached.
	Detached bool
	// Uncounted is set if nobody counts the requests of the account, as Contact.Uncounted says.
	Uncounted bool
	// Instances is the number of instances.
	Instances int
	// Random is a random number from 0 to less than 1.
	Random float64
}

// Meter admits the requests that arrive at one instance. It answers accounts within their quota without a message before the request, limited
// accounts with the tokens of the owner, and the loss of all owners with the share of this instance, by the requests that it admitted before.
// It is not safe for concurrent use.
type Meter struct {
	instance string
	session  uint64
	start    time.Time
	accounts map[string]*metered
	groups   [Buckets]group
}

// group is the state of reports of one group of accounts.
type group struct {
	// pending are the accounts with usage that is not in a report yet.
	pending []string
	// unanswered is the report that was sent and not answered yet.
	unanswered *Report
	sequence   uint64
	// attachedAt is when an owner or a backup was last found to answer again.
	attachedAt time.Duration
}

// metered is the state of an account. Times are since Meter.start.
type metered struct {
	granter string // the instance that granted the tokens
	// admitted and returned are the usage that is not in a report yet.
	admitted, returned int32
	tokens             int32
	listed             bool // in group.pending
	limited            bool
	shared             bool // the share is in use
	tokensUntil        time.Duration
	refusedUntil       time.Duration
	usedAt             time.Duration
	demand, own        average
	share              float64
	shareAt            time.Duration
}

// average is an exponential moving average of a rate.
type average struct {
	perSecond float64
	at        time.Duration
}

func (a *average) count(at, over time.Duration) {
	a.decay(at, over)
	a.perSecond += 1 / over.Seconds()
}

func (a *average) decay(at, over time.Duration) {
	if at > a.at {
		a.perSecond *= math.Exp(-float64(at-a.at) / float64(over))
		a.at = at
	}
}

// NewMeter returns the Meter of the named instance. session differs for each process of the instance.
func NewMeter(now time.Time, instance string, session uint64) *Meter {
	return &Meter{instance: instance, session: session, start: now, accounts: make(map[string]*metered)}
}

// Charge decides on a request of an account.
func (m *Meter) Charge(now time.Time, account string, limits Limits, s Situation) Verdict {
	at := now.Sub(m.start)
	a := m.accounts[account]
	if a == nil {
		if len(m.accounts) >= maxAccounts {
			return Verdict{Full: true}
		}
		a = &metered{}
		m.accounts[account] = a
	}
	a.usedAt = at
	a.demand.count(at, demandTime)

	return m.decide(at, account, a, limits, s)
}

// decide decides on a request that is counted as demand already.
func (m *Meter) decide(at time.Duration, account string, a *metered, limits Limits, s Situation) Verdict {
	m.expire(at, account, a)
	if !s.Detached || m.groups[BucketOf(account)].attachedAt > a.shareAt {
		a.shared = false
	}
	switch {
	case s.Uncounted:
	case a.tokens > 0:
		a.tokens--
	case s.Detached:
		return a.useShare(at, limits, s)
	case !a.limited:
		a.admitted++
		m.list(account, a)
	case at < a.refusedUntil:
		return Verdict{Outcome: Refused, Retry: a.refusedUntil - at}
	default:
		return Verdict{Outcome: Ask}
	}
	a.own.count(at, admittedTime)

	return Verdict{}
}

// useShare decides on a request by the share of this instance. It is not reported, because no owner counts on it.
func (a *metered) useShare(at time.Duration, limits Limits, s Situation) Verdict {
	instances := float64(max(s.Instances, 1))
	if !a.shared {
		// The rate of its own requests stays as it was when the owner was lost.
		a.own.decay(at, admittedTime)
		a.shared, a.share, a.shareAt = true, 0, at
		if !a.limited && s.Random < initialShare*limits.capacity()/instances {
			a.share = shareCapacity
		}
	}
	rate := ownFraction*min(a.own.perSecond, limits.PerSecond) + equalFraction*limits.PerSecond/instances
	a.share = min(a.share+rate*(at-a.shareAt).Seconds(), shareCapacity)
	a.shareAt = at
	if a.share < 1 {
		wait := min((1-a.share)/max(rate, math.SmallestNonzeroFloat64), retention.Seconds())

		return Verdict{Outcome: Refused, Retry: time.Duration(wait * float64(time.Second))}
	}
	a.share--

	return Verdict{}
}

// Attached records that the owner or the backup of a group of accounts answers again. The shares of its accounts begin anew when it is lost
// the next time, so that they do not fill meanwhile.
func (m *Meter) Attached(now time.Time, group int) { m.groups[group].attachedAt = now.Sub(m.start) }

// Wanted returns the number of tokens to ask for: those of the waiting requests and of the requests that are expected soon.
func (m *Meter) Wanted(now time.Time, account string, waiting int) int {
	a := m.accounts[account]
	if a == nil {
		return waiting
	}
	a.demand.decay(now.Sub(m.start), demandTime)

	return waiting + int(a.demand.perSecond*expectedTime.Seconds())
}

// Granted records the response of an instance to a request for tokens.
func (m *Meter) Granted(now time.Time, account, granter string, grant Grant) {
	at, a := now.Sub(m.start), m.accounts[account]
	if a == nil {
		return
	}
	m.expire(at, account, a)
	if a.granter != granter {
		// Tokens go back to the instance that granted them only.
		a.returned = 0
	}
	a.granter = granter
	a.tokens += int32(grant.Tokens)
	if grant.Tokens > 0 {
		a.tokensUntil = at + tokenLifetime
	}
	a.limited = grant.Limited
	a.refusedUntil = 0
	if grant.Again > 0 {
		a.refusedUntil = at + grant.Again
	}
}

// Waited decides on a request that has waited for Granted or for as long as it may. The outcome is Ask again if the owner has granted all
// tokens that it was asked for, but other requests use them.
func (m *Meter) Waited(now time.Time, account string, limits Limits, s Situation) Verdict {
	a := m.accounts[account]
	if a == nil {
		return m.Charge(now, account, limits, s)
	}

	return m.decide(now.Sub(m.start), account, a, limits, s)
}

// Return gives back the token of a request that was admitted after it had ended.
func (m *Meter) Return(account string) {
	if a := m.accounts[account]; a != nil && a.limited {
		a.tokens++
	}
}

// Unlimit marks an account as not limited.
func (m *Meter) Unlimit(account string) {
	if a := m.accounts[account]; a != nil {
		a.limited = false
	}
}

// Limit marks an account as limited.
func (m *Meter) Limit(now time.Time, account string) {
	at, a := now.Sub(m.start), m.accounts[account]
	if a == nil {
		if len(m.accounts) >= maxAccounts {
			return
		}
		a = &metered{usedAt: at}
		m.accounts[account] = a
	}
	a.limited = true
}

// expire returns the tokens that were not used in time.
func (m *Meter) expire(at time.Duration, account string, a *metered) {
	if a.tokens > 0 && at > a.tokensUntil {
		a.returned += a.tokens
		a.tokens = 0
		m.list(account, a)
	}
}

// list makes the account part of the next report.
func (m *Meter) list(account string, a *metered) {
	if !a.listed {
		a.listed = true
		g := &m.groups[BucketOf(account)]
		g.pending = append(g.pending, account)
	}
}

// HasReport reports whether there is a report to send for a group of accounts.
func (m *Meter) HasReport(group int) bool {
	g := &m.groups[group]

	return g.unanswered != nil || len(g.pending) > 0
}

// Report returns the report to send to an instance for a group of accounts, nil if there is none. It is the previous one until that one is
// answered.
func (m *Meter) Report(group int, to string) *Report {
	g := &m.groups[group]
	if g.unanswered != nil || len(g.pending) == 0 {
		return g.unanswered
	}
	n := min(len(g.pending), maxUsage)
	usage := make([]Usage, 0, n)
	for _, account := range g.pending[:n] {
		a := m.accounts[account]
		if a == nil {
			continue
		}
		u := Usage{Account: account, Admitted: int(a.admitted)}
		if a.granter == to {
			u.Returned = int(a.returned)
		}
		a.admitted, a.returned, a.listed = 0, 0, false
		if u.Admitted > 0 || u.Returned > 0 {
			usage = append(usage, u)
		}
	}
	g.pending = append(g.pending[:0], g.pending[n:]...)
	if len(usage) == 0 {
		return nil
	}
	g.sequence++
	g.unanswered = &Report{Instance: m.instance, Bucket: group, Session: m.session, Sequence: g.sequence, Usage: usage}

	return g.unanswered
}

// Probe returns a report without usage, by which an instance finds out whether an owner answers again.
func (m *Meter) Probe(group int) *Report {
	return &Report{Instance: m.instance, Bucket: group, Session: m.session}
}

// Reported records the response to a report: the accounts that are limited.
func (m *Meter) Reported(now time.Time, r *Report, limited []string) {
	if g := &m.groups[r.Bucket]; g.unanswered == r {
		g.unanswered = nil
	}
	for _, account := range limited {
		m.Limit(now, account)
	}
}

// Sweep returns unused tokens, and drops the accounts without recent requests.
func (m *Meter) Sweep(now time.Time) {
	at := now.Sub(m.start)
	for account, a := range m.accounts {
		m.expire(at, account, a)
		if at-a.usedAt > retention && !a.listed {
			delete(m.accounts, account)
		}
	}
}

// Accounts returns the number of accounts in the meter.
func (m *Meter) Accounts() int { return len(m.accounts) }
