// Package account applies the quotas of client accounts at an instance.
//
// A Service decides on each request of an account with a quota. It reports the admitted requests to the owners of the accounts, asks the
// owners for tokens of limited accounts, and keeps the ledgers of the accounts that this instance owns:
//
//	service := account.New(settings, calls, timers)
//	service.SetTable(table)    // the configuration in force
//	service.SetInstances(view) // the fleet
//	retry, ok := service.Charge(ctx, account, deadline)
//
// The decisions are made by package quota. Without accounts with a quota, the service sends no messages and keeps no state.
package account

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quota"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// askTimeout is the time limit of a call to an owner, and so the longest time that a request waits for a token. It is several times the
	// round trip between regions.
	askTimeout = 150 * time.Millisecond
	// tickInterval is the interval at which the service works. It is the shortest interval of reports.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which state that is not used any more is dropped.
	sweepInterval = time.Second
	// maxNotified is the maximum number of accounts in one message.
	maxNotified = 1024
)

var (
	// ErrNotOwner means that this instance is neither the owner nor the backup of the account in its own view.
	ErrNotOwner = errors.New("neither the owner nor the backup of the account")
	// errNotListed means that an owner is not in the list of instances any more.
	errNotListed = errors.New("the owner is not listed")
)

// Instance is an instance of the fleet.
type Instance struct {
	Name      string
	Peer      netip.AddrPort
	Processor float64
}

// Calls are the functions by which a Service reaches other instances and the leader.
type Calls struct {
	Report        func(ctx context.Context, address netip.AddrPort, r *quota.Report) (limited []string, err error)
	RequestTokens func(ctx context.Context, address netip.AddrPort, account string, wanted int) (quota.Grant, error)
	// NotifyLimited tells all other instances which accounts are limited from now on, and which are not limited any more.
	NotifyLimited func(ctx context.Context, limited, unlimited []string)
	// CutOff reports whether this instance has had no contact to the leader recently.
	CutOff func() bool
}

// Settings describes the instance of a Service.
type Settings struct {
	Name string
	// Slack is the number of requests in a window by which an account may exceed its quota.
	Slack float64
}

// Service applies the quotas at one instance. It is safe for concurrent use.
type Service struct {
	settings Settings
	calls    Calls
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set

	// active is set while the configuration has accounts with a quota, and activeChanged receives a value when it changes.
	active        atomic.Bool
	activeChanged chan struct{}
	// announced receives a value when there is something in changes.
	announced chan struct{}

	mu        sync.Mutex
	limits    map[string]*route.Account
	instances map[string]Instance
	size      int // the number of instances among which the quotas are shared
	owners    *quota.Owners
	since     [quota.Buckets]time.Time // when this instance became the owner
	replaced  [quota.Buckets]bool      // another instance was the owner before
	contacts  [quota.Buckets]quota.Contact
	reporting [quota.Buckets]bool
	paces     [quota.Buckets]quota.Pace
	sweptAt   time.Time
	meter     *quota.Meter
	ledger    *quota.Ledger
	asks      map[string]*ask
	// changes are the accounts that the other instances have to be told of, with whether they are limited.
	changes  map[string]bool
	refusals refusals
}

// ask is a request for tokens that has not been answered yet.
type ask struct {
	account  string
	bucket   int
	underWay bool
	waiting  []*waiter
}

// waiter is a request that waits for a token.
type waiter struct {
	verdict chan quota.Verdict
	limits  quota.Limits
}

// Option configures a Service.
type Option func(*Service)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(s *Service) { s.log = log }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *metric.Set) Option {
	return func(s *Service) { s.metrics = metrics }
}

// New returns a Service. Run has to be called for it to report.
func New(settings Settings, calls Calls, timers *timer.Service, options ...Option) *Service {
	s := &Service{
		settings: settings, calls: calls, timers: timers,
		activeChanged: make(chan struct{}, 1), announced: make(chan struct{}, 1), owners: &quota.Owners{},
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// SetTable sets the configuration in force.
func (s *Service) SetTable(t *route.Table) {
	limits := make(map[string]*route.Account)
	for _, a := range t.Accounts() {
		if a.Limited() {
			limits[a.Name] = a
		}
	}
	s.mu.Lock()
	s.limits = limits
	if len(limits) == 0 {
		s.meter, s.ledger, s.asks, s.changes = nil, nil, nil, nil
		s.refusals = refusals{}
	} else if s.meter == nil {
		s.start()
		s.logOwned()
	}
	s.mu.Unlock()
	s.active.Store(len(limits) > 0)
	select {
	case s.activeChanged <- struct{}{}:
	default:
	}
}

// start creates the state. s.mu must be held.
func (s *Service) start() {
	now := s.timers.Now()
	s.meter, s.ledger = quota.NewMeter(now, s.settings.Name, rand.Uint64()), quota.NewLedger(now)
	s.asks, s.changes = make(map[string]*ask), make(map[string]bool)
}

// KnowsInstances reports whether SetInstances was called with any instances.
func (s *Service) KnowsInstances() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.instances) > 0
}

// SetInstances sets the instances that the leader lists, and the size of the fleet including those that may be cut off.
func (s *Service) SetInstances(instances []Instance, size int) {
	byName := make(map[string]Instance, len(instances))
	candidates := make([]quota.Candidate, 0, len(instances))
	for _, i := range instances {
		byName[i.Name] = i
		candidates = append(candidates, quota.Candidate{Name: i.Name, Processor: i.Processor})
	}
	owners := quota.NewOwners(candidates)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	changed := false
	for bucket := range owners {
		isOwner, wasOwner := owners[bucket].Owner == s.settings.Name, s.owners[bucket].Owner == s.settings.Name
		if isOwner && !wasOwner {
			s.since[bucket], s.replaced[bucket] = now, s.owners[bucket].Owner != ""
		}
		changed = changed || isOwner != wasOwner
		s.contacts[bucket].Update(owners[bucket].Owner, owners[bucket].Backup)
	}
	s.instances, s.owners, s.size = byName, owners, max(size, len(instances))
	if changed && s.meter != nil {
		s.logOwned()
	}
}

// logOwned logs how many groups of accounts this instance owns. s.mu must be held.
func (s *Service) logOwned() {
	owned := 0
	for bucket := range s.owners {
		if s.owners[bucket].Owner == s.settings.Name {
			owned++
		}
	}
	s.log.Log(event.QuotaOwnerChanged, "Groups", owned, "Of", quota.Buckets, "Instances", len(s.instances))
}

// limitsOf returns the limits of an account by its quota.
func (s *Service) limitsOf(a *route.Account) quota.Limits {
	return quota.Limits{PerSecond: a.PerSecond, Burst: a.Burst, Slack: s.settings.Slack}
}

// lookUp returns the limits of an account by its quota in the configuration in force, and whether it has one. s.mu must be held.
func (s *Service) lookUp(account string) (quota.Limits, bool) {
	a := s.limits[account]
	if a == nil {
		return quota.Limits{}, false
	}

	return s.limitsOf(a), true
}

// interval returns the mean interval of reports. s.mu must be held.
func (s *Service) interval() time.Duration {
	return quota.Interval(len(s.instances))
}

// situation returns what a decision on a request of a group of accounts depends on. s.mu must be held.
func (s *Service) situation(bucket int) quota.Situation {
	contact := &s.contacts[bucket]

	return quota.Situation{
		Detached: contact.Detached(), Uncounted: contact.Uncounted(), Instances: s.size, Random: rand.Float64(),
	}
}

// Charge counts a request of an account, and reports whether it is within the quota. If it is not, retry is the time after which the
// request may be tried again. Charge waits for the owner of a limited account, for askTimeout at most, but not longer than until deadline
// or until ctx is done.
func (s *Service) Charge(ctx context.Context, account *route.Account, deadline time.Time) (retry time.Duration, ok bool) {
	if !account.Limited() {
		return 0, true
	}
	limits, bucket := s.limitsOf(account), quota.BucketOf(account.Name)
	s.mu.Lock()
	if s.meter == nil {
		// The configuration in force is just being replaced.
		s.mu.Unlock()

		return 0, true
	}
	verdict := s.meter.Charge(s.timers.Now(), account.Name, limits, s.situation(bucket))
	if verdict.Full {
		s.metrics.BoundReached(ctx, "quota accounts")
	}
	if verdict.Outcome == quota.Ask {
		w := &waiter{verdict: make(chan quota.Verdict, 1), limits: limits}
		s.wait(account.Name, bucket, w)
		s.mu.Unlock()
		verdict = s.await(ctx, account.Name, w, deadline)
		s.mu.Lock()
	}
	if verdict.Outcome != quota.Admitted {
		s.refusals.count(account.Name)
	}
	s.mu.Unlock()

	return verdict.Retry, verdict.Outcome == quota.Admitted
}

// wait adds a request to those that wait for tokens of the account, and asks for some if that is not under way. s.mu must be held.
func (s *Service) wait(account string, bucket int, w *waiter) {
	a := s.asks[account]
	if a == nil {
		a = &ask{account: account, bucket: bucket}
		s.asks[account] = a
	}
	a.waiting = append(a.waiting, w)
	if len(a.waiting) == 1 && !a.underWay {
		s.startAsk(a)
	}
}

// startAsk asks for the tokens of the requests that wait. s.mu must be held.
func (s *Service) startAsk(a *ask) {
	owner, ok := s.contacts[a.bucket].Use()
	if !ok {
		s.decideWaiting(a, true)

		return
	}
	a.underWay = true
	wanted := s.meter.Wanted(s.timers.Now(), a.account, len(a.waiting))
	// The call has its own time limit, and goes on for other requests if the caller of this one leaves.
	go s.ask(a, owner, wanted)
}

// await waits for the verdict on a request.
func (s *Service) await(ctx context.Context, account string, w *waiter, deadline time.Time) quota.Verdict {
	limit := min(s.timers.Until(deadline), askTimeout)
	select {
	case verdict := <-w.verdict:
		return verdict
	case <-ctx.Done():
	case <-s.timers.After(limit):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case verdict := <-w.verdict:
		if verdict.Outcome == quota.Admitted && ctx.Err() != nil && s.meter != nil {
			s.meter.Return(account)
		}

		return verdict
	default:
	}
	if a := s.asks[account]; a != nil {
		a.remove(w)
	}
	switch {
	case ctx.Err() != nil:
		return quota.Verdict{Outcome: quota.Refused, Retry: s.interval()}
	case s.meter == nil:
		// The configuration has no quotas any more.
		return quota.Verdict{}
	}
	// The owner has not answered in time.
	situation := s.situation(quota.BucketOf(account))
	situation.Detached = true

	return s.meter.Waited(s.timers.Now(), account, w.limits, situation)
}

func (a *ask) remove(w *waiter) {
	for k := range a.waiting {
		if a.waiting[k] == w {
			a.waiting = append(a.waiting[:k], a.waiting[k+1:]...)

			return
		}
	}
}

// ask asks an owner or a backup for tokens, and decides on the requests that wait.
func (s *Service) ask(a *ask, owner string, wanted int) {
	defer func() { _ = s.log.Recovered(recover(), "Quota") }()

	grant, err := s.requestTokens(owner, a.account, wanted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return
	}
	a.underWay = false
	s.noteAnswer(a.bucket, owner, err)
	if err == nil {
		s.meter.Granted(s.timers.Now(), a.account, owner, grant)
	}
	// After a call that has failed early, there is time to ask the backup.
	_, canAsk := s.contacts[a.bucket].Use()
	s.decideWaiting(a, err != nil && !canAsk)
}

func (s *Service) requestTokens(owner, account string, wanted int) (quota.Grant, error) {
	if owner == s.settings.Name {
		return s.HandleRequestTokens(account, wanted)
	}
	address, err := s.addressOf(owner)
	if err != nil {
		return quota.Grant{}, err
	}
	ctx, cancel := s.timers.WithTimeout(context.Background(), askTimeout)
	defer cancel()

	return s.calls.RequestTokens(ctx, address, account, wanted)
}

func (s *Service) addressOf(instance string) (netip.AddrPort, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.instances[instance]
	if !ok {
		return netip.AddrPort{}, errNotListed
	}

	return i.Peer, nil
}

// decideWaiting decides on the requests that wait for tokens of an account, in order of their arrival, and asks again for those that need
// more. They wait for askTimeout at most. If detached is set, this instance decides by its own share. s.mu must be held.
func (s *Service) decideWaiting(a *ask, detached bool) {
	now, situation := s.timers.Now(), s.situation(a.bucket)
	situation.Detached = situation.Detached || detached
	waiting := a.waiting
	a.waiting = nil
	for _, w := range waiting {
		verdict := s.meter.Waited(now, a.account, w.limits, situation)
		if verdict.Outcome == quota.Ask {
			a.waiting = append(a.waiting, w)

			continue
		}
		w.verdict <- verdict
	}
	switch {
	case len(a.waiting) > 0:
		s.startAsk(a)
	case s.asks[a.account] == a:
		delete(s.asks, a.account)
	}
}

// noteAnswer records whether an instance has answered. s.mu must be held.
func (s *Service) noteAnswer(bucket int, instance string, err error) {
	contact := &s.contacts[bucket]
	switch {
	case err != nil:
		if contact.Failed(s.timers.Now(), instance, errors.Is(err, peer.ErrUnknownCall)) {
			s.log.Log(event.QuotaOwnerLost, "Group", bucket, "Owner", s.owners[bucket].Owner, "Backup", s.owners[bucket].Backup, "Error", err)
		}
	case contact.Answered(instance):
		s.meter.Attached(s.timers.Now(), bucket)
		s.log.Log(event.QuotaOwnerReturned, "Group", bucket, "Instance", instance)
	}
}
