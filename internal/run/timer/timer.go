// Package timer provides the time service that all parts of a process subscribe to.
//
// A part never calls the time package for the current time, sleeps or tickers. It asks a Service, so that a test drives
// every part of a process with one fake clock:
//
//	clock := clockwork.NewFakeClock()
//	timers := timer.New(timer.WithClock(clock))
//	ticks := timers.Subscribe(time.Second)
//	defer ticks.Stop()
//	clock.Advance(time.Second)
//	<-ticks.C
package timer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Service tells the time and delivers ticks. It is safe for concurrent use.
type Service struct {
	clock clockwork.Clock
}

// Option configures a Service.
type Option func(*Service)

// WithClock makes the service follow clock instead of the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// New returns a Service that follows the system clock unless an option says otherwise.
func New(options ...Option) *Service {
	s := &Service{clock: clockwork.NewRealClock()}
	for _, option := range options {
		option(s)
	}

	return s
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	return s.clock.Now()
}

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.clock.Since(t)
}

// Until returns the time that remains until t.
func (s *Service) Until(t time.Time) time.Duration {
	return s.clock.Until(t)
}

// After returns a channel that receives the time once d has passed.
func (s *Service) After(d time.Duration) <-chan time.Time {
	return s.clock.After(d)
}

// AfterFunc calls f in its own goroutine once d has passed, unless the returned function is called before.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return s.clock.AfterFunc(d, f).Stop
}

// WithTimeout returns a copy of ctx that is cancelled once d has passed.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, fake := s.clock.(*clockwork.FakeClock); !fake {
		return clockwork.WithTimeout(ctx, s.clock, d)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, d)

	return fakeContext{ctx}, cancel
}

// fakeContext gives the context of a fake clock an Err that does not wait for the end of the context, as that of
// clockwork v0.5.0 does.
type fakeContext struct{ context.Context }

// Err implements context.Context.
func (c fakeContext) Err() error {
	select {
	case <-c.Done():
		return c.Context.Err()
	default:
		return nil
	}
}

// Subscription delivers ticks until it is stopped. Ticks that the subscriber is too slow for are dropped.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Subscribe returns a subscription to ticks that are period apart.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	ticker := s.clock.NewTicker(period)

	return &Subscription{C: ticker.Chan(), stop: ticker.Stop}
}

// Stop ends the subscription.
func (s *Subscription) Stop() {
	s.stop()
}
