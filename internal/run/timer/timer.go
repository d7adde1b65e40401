// Package timer provides the clock of a process: the current time, timers, tickers and context timeouts.
//
// All components of a process use one Service instead of the functions of package time, so that a test can control the time
// of all of them with one fake clock:
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

// Service provides the time functions of one clock. It is safe for concurrent use.
type Service struct {
	clock clockwork.Clock
}

// Option configures a Service.
type Option func(*Service)

// WithClock makes the service use clock instead of the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// New returns a Service that uses the system clock unless WithClock sets another one.
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

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.clock.Since(t)
}

// Until returns the time remaining until t.
func (s *Service) Until(t time.Time) time.Duration {
	return s.clock.Until(t)
}

// After returns a channel on which the current time is sent after d has elapsed.
func (s *Service) After(d time.Duration) <-chan time.Time {
	return s.clock.After(d)
}

// AfterFunc calls f in its own goroutine after d has elapsed, unless stop is called before. Stop reports whether it prevented
// the call.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return s.clock.AfterFunc(d, f).Stop
}

// WithTimeout returns a copy of ctx that is cancelled after d has elapsed.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, fake := s.clock.(*clockwork.FakeClock); !fake {
		return clockwork.WithTimeout(ctx, s.clock, d)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, d)

	return fakeContext{ctx}, cancel
}

// fakeContext replaces the Err method of a context that follows a fake clock. The method of clockwork v0.5.0 blocks until the
// context is done, but context.Context requires that Err returns nil until then.
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

// Subscription delivers ticks on C until Stop is called. Like a time.Ticker, it drops ticks if the receiver is slow.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Subscribe returns a Subscription that delivers a tick once every period.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	ticker := s.clock.NewTicker(period)

	return &Subscription{C: ticker.Chan(), stop: ticker.Stop}
}

// Stop ends the subscription. It does not close C.
func (s *Subscription) Stop() {
	s.stop()
}
