package account

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quota"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// standing returns the position of this instance for a group of accounts, and false if it is neither its owner nor its backup. An instance
// that knows no list of instances yet may be the owner, as those say that call it. s.mu must be held.
func (s *Service) standing(bucket int) (quota.Standing, bool) {
	owners := s.owners[bucket]
	if s.ledger != nil && owners.Owner == "" {
		return quota.Standing{Owner: true, Since: s.timers.Now(), Interval: s.interval()}, true
	}
	if s.ledger == nil || owners.Owner != s.settings.Name && owners.Backup != s.settings.Name {
		return quota.Standing{}, false
	}

	return quota.Standing{
		Owner: owners.Owner == s.settings.Name, CutOff: s.calls.CutOff(), Since: s.since[bucket], Replaced: s.replaced[bucket],
		Interval: s.interval(),
	}, true
}

// HandleReport counts the report of an instance, and returns the accounts in it that are limited.
func (s *Service) HandleReport(r *quota.Report) (limited []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, ok := s.standing(r.Bucket)
	if !ok {
		return nil, ErrNotOwner
	}
	limited, began := s.ledger.Report(s.timers.Now(), r, standing, s.lookUp)
	s.announce(began)

	return limited, nil
}

// HandleRequestTokens answers an instance that asks for tokens of an account.
func (s *Service) HandleRequestTokens(account string, wanted int) (quota.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, ok := s.standing(quota.BucketOf(account))
	if !ok {
		return quota.Grant{}, ErrNotOwner
	}
	limits, ok := s.lookUp(account)
	if !ok {
		// The account has no quota in the configuration in force here.
		return quota.Grant{Tokens: wanted}, nil
	}
	grant, began := s.ledger.Grant(s.timers.Now(), account, wanted, limits, standing)
	if began {
		s.announce([]string{account})
	}

	return grant, nil
}

// HandleNotifyLimited records which accounts an owner has limited, and which it does not limit any more.
func (s *Service) HandleNotifyLimited(limited, unlimited []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return
	}
	now := s.timers.Now()
	for _, account := range limited {
		if _, ok := s.limits[account]; ok {
			s.meter.Limit(now, account)
		}
	}
	for _, account := range unlimited {
		s.meter.Unlimit(account)
	}
}

// announce logs which accounts are limited from now on and has the other instances told. s.mu must be held.
func (s *Service) announce(limited []string) {
	if len(limited) == 0 {
		return
	}
	now := s.timers.Now()
	for _, account := range limited {
		s.meter.Limit(now, account)
		s.log.Log(event.AccountLimited, "Account", account, "PerSecond", s.limits[account].PerSecond, "Burst", s.limits[account].Burst)
	}
	s.queue(limited, true)
}

// announceEnd is announce for accounts that are not limited any more. Only an owner that is sure announces them. s.mu must be held.
func (s *Service) announceEnd(ended []string) {
	now := s.timers.Now()
	var unlimited []string
	for _, account := range ended {
		standing, ok := s.standing(quota.BucketOf(account))
		if !ok || !standing.Sure(now) {
			continue
		}
		s.meter.Unlimit(account)
		s.log.Log(event.AccountUnlimited, "Account", account)
		unlimited = append(unlimited, account)
	}
	if len(unlimited) > 0 {
		s.queue(unlimited, false)
	}
}

// queue has the other instances told of accounts. s.mu must be held.
func (s *Service) queue(accounts []string, limited bool) {
	for _, account := range accounts {
		s.changes[account] = limited
	}
	s.signal()
}

// signal wakes notify.
func (s *Service) signal() {
	select {
	case s.announced <- struct{}{}:
	default:
	}
}

// takeChanges returns the accounts that the other instances have to be told of, as many as a message holds, and the time until the next
// message.
func (s *Service) takeChanges() (limited, unlimited []string, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, isLimited := range s.changes {
		if len(limited)+len(unlimited) >= maxNotified {
			s.signal()

			break
		}
		if isLimited {
			limited = append(limited, account)
		} else {
			unlimited = append(unlimited, account)
		}
		delete(s.changes, account)
	}

	return limited, unlimited, s.interval()
}
