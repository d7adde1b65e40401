package account

import (
	"context"

	"github.com/hickorynotch/hickorynotch/internal/decision/quota"
)

// Run reports to the owners until ctx is done. It does nothing while the configuration has no accounts with a quota.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.notify(ctx)
	for ctx.Err() == nil {
		if s.active.Load() {
			s.work(ctx)

			continue
		}
		select {
		case <-s.activeChanged:
		case <-ctx.Done():
		}
	}

	return ctx.Err()
}

// work reports while there are accounts with a quota.
func (s *Service) work(ctx context.Context) {
	ticks := s.timers.Subscribe(tickInterval)
	defer ticks.Stop()
	for s.active.Load() {
		select {
		case <-ticks.C:
			s.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// notify tells the other instances which accounts are limited from now on, and which are not limited any more: the first at once, and others
// after an interval, because each time is a message to all instances.
func (s *Service) notify(ctx context.Context) {
	for {
		select {
		case <-s.announced:
		case <-ctx.Done():
			return
		}
		limited, unlimited, interval := s.takeChanges()
		if len(limited)+len(unlimited) == 0 {
			continue
		}
		s.calls.NotifyLimited(ctx, limited, unlimited)
		select {
		case <-s.timers.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// tick reports what is due, and drops what is not used any more.
func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return
	}
	now := s.timers.Now()
	s.ledger.Tick(now)
	if now.Sub(s.sweptAt) >= sweepInterval {
		s.sweptAt = now
		s.meter.Sweep(now)
		s.announceEnd(s.ledger.Sweep(now))
	}
	for bucket := range s.contacts {
		for _, instance := range s.contacts[bucket].Probes(now) {
			go s.report(ctx, bucket, instance, s.meter.Probe(bucket))
		}
		to, ok := s.contacts[bucket].Use()
		if !ok || s.reporting[bucket] || !s.meter.HasReport(bucket) || !s.paces[bucket].Take(now, s.interval()) {
			continue
		}
		if r := s.meter.Report(bucket, to); r != nil {
			s.reporting[bucket] = true
			go s.report(ctx, bucket, to, r)
		}
	}
}

// report sends a report and records the response.
func (s *Service) report(ctx context.Context, bucket int, to string, r *quota.Report) {
	defer func() { _ = s.log.Recovered(recover(), "Quota") }()

	limited, err := s.sendReport(ctx, to, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence > 0 {
		s.reporting[bucket] = false
		if err != nil {
			// The next instance gets the report at once.
			s.paces[bucket].Reset()
		}
	}
	if s.meter == nil {
		return
	}
	s.noteAnswer(bucket, to, err)
	if err == nil {
		s.meter.Reported(s.timers.Now(), r, limited)
	}
}

func (s *Service) sendReport(ctx context.Context, to string, r *quota.Report) (limited []string, err error) {
	if to == s.settings.Name {
		return s.HandleReport(r)
	}
	address, err := s.addressOf(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.timers.WithTimeout(ctx, askTimeout)
	defer cancel()

	return s.calls.Report(ctx, address, r)
}
