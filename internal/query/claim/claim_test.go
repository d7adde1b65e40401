package claim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/query/claim"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	adapter "github.com/hickorynotch/hickorynotch/platform"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "query/claim")
}

var _ = Describe("Claims", func() {
	// late is longer than the clock is moved while a claim is taken, and shorter than a slice.
	const late = duration.Duration(30 * time.Second)
	var (
		clock      *clockwork.FakeClock
		store      *standin.Platform
		client     *platform.Client
		one, other *claim.Claims
	)

	BeforeEach(func(ctx context.Context) {
		clock = clockwork.NewFakeClock()
		timers := timer.New(timer.WithClock(clock))
		store = standin.New(standin.WithTimers(timers))
		address, stop, err := store.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		// Calls end by cancellation in these tests and not by the client's timeout.
		calls := adapter.NewStore(address)
		DeferCleanup(calls.Close)
		client = platform.NewClient(calls.KeyStore(), calls.Targets(), timers, platform.WithTimeout(24*time.Hour))
		one = claim.New(timers, claim.WithStore(client))
		other = claim.New(timers, claim.WithStore(client))
		for _, c := range []*claim.Claims{one, other} {
			release, err := c.Take(ctx, "lease")
			Expect(err).NotTo(HaveOccurred())
			Expect(release(ctx)).To(Succeed())
		}
	})

	// passing runs do while the pauses between its repetitions pass.
	passing := func(do func()) {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			do()
		}()
		Eventually(func() chan struct{} {
			clock.Advance(25 * time.Millisecond)

			return done
		}).WithPolling(time.Millisecond).Should(BeClosed())
	}
	// giveUpFirst makes the first compare-and-swap of c end once the stand-in has it.
	giveUpFirst := func(c *claim.Claims, arrived func() bool) {
		swap, first := c.CompareAndSwap, true
		c.CompareAndSwap = func(
			ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
		) (uint64, error) {
			if first {
				first = false
				var cancel context.CancelFunc
				ctx, cancel = context.WithCancel(ctx)
				go func() {
					defer GinkgoRecover()
					defer cancel()
					Eventually(arrived).Should(BeTrue())
				}()
			}

			return swap(ctx, key, value, expected, lease)
		}
	}

	DescribeTable("gives a claim to one copy at most, whatever fault meets its write",
		func(ctx context.Context, fault standin.Fault, giveUp, lasting bool, wantErr, wantRelease error, leftBehind bool) {
			before := store.Calls().Total
			store.SetFaults(fault)
			if giveUp {
				giveUpFirst(one, func() bool {
					return fault.DelayWrite > 0 && store.Faults()[0].DelayWrite == 0 ||
						fault.Slow > 0 && store.Calls().Total > before
				})
			}
			taking, cancel := context.WithCancel(ctx)
			defer cancel()
			swap, attempts := one.CompareAndSwap, 0
			one.CompareAndSwap = func(
				ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
			) (uint64, error) {
				if attempts++; lasting && attempts == 3 {
					cancel()
				} else if !lasting && attempts == 2 && fault.Slow > 0 {
					store.SetFaults()
				}

				return swap(ctx, key, value, expected, lease)
			}
			var release func(context.Context) error
			var err error
			if fault.Overload > 0 {
				_, err = client.Read(ctx, "key")
				Expect(err).NotTo(HaveOccurred())
			}
			passing(func() { release, err = one.Take(taking, "r1") })
			store.SetFaults()
			if wantErr != nil {
				Expect(err).To(MatchError(wantErr))
				if leftBehind {
					Expect(err).To(MatchError(claim.ErrLeftBehind))
				} else {
					Expect(err).NotTo(MatchError(claim.ErrLeftBehind))
				}

				return
			}
			Expect(err).NotTo(HaveOccurred())
			_, err = other.Take(ctx, "r1")
			Expect(err).To(MatchError(claim.ErrDuplicate))
			if wantRelease != nil {
				Expect(release(ctx)).To(MatchError(wantRelease))
				if fault.DelayWrite > 0 {
					// The first write takes effect after the release, which is why a retry needs a new RequestID.
					Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
					clock.Advance(fault.DelayAfter.Std())
					Eventually(ctx, store.Calls).Should(HaveField("LateWrites", uint64(1)))
					_, err = other.Take(ctx, "r1")
					Expect(err).To(MatchError(claim.ErrDuplicate))
				}

				return
			}
			Expect(release(ctx)).To(Succeed())
			_, err = other.Take(ctx, "r1")
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("none", standin.Fault{}, false, false, nil, nil, false),
		Entry("LoseReply", standin.Fault{LoseReply: 1}, false, false, nil, nil, false),
		Entry("DelayWrite", standin.Fault{DelayWrite: 1, DelayAfter: late}, true, false, nil, claim.ErrLeftBehind, false),
		Entry("Slow for one write", standin.Fault{Slow: 1 << 60}, true, false, nil, claim.ErrLeftBehind, false),
		Entry("Down", standin.Fault{Down: true}, false, true, claim.ErrUnavailable, nil, true),
		Entry("Overload", standin.Fault{Overload: 1}, false, false, claim.ErrUnavailable, nil, false),
	)

	It("gives a claim to one of two copies that race while replies are lost", func(ctx context.Context) {
		store.SetFaults(standin.Fault{LoseReply: 2})
		results := make(chan error, 2)
		passing(func() {
			for _, c := range []*claim.Claims{one, other} {
				go func() {
					_, err := c.Take(ctx, "r1")
					results <- err
				}()
			}
			Eventually(results).Should(HaveLen(2))
		})
		Expect([]error{<-results, <-results}).To(ConsistOf(BeNil(), MatchError(claim.ErrDuplicate)))
	})

	It("refuses without a store, leaves nothing behind and grants no claim without a lease", func(ctx context.Context) {
		clock.Advance(time.Minute)
		store.SetFaults(standin.Fault{Down: true})
		_, err := one.Take(ctx, "r1")
		Expect(err).To(MatchError(claim.ErrUnavailable))
		Expect(err).NotTo(MatchError(claim.ErrLeftBehind))
	})

	It("says that a claim stays when it cannot be deleted", func(ctx context.Context) {
		release, err := one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		store.SetFaults(standin.Fault{Down: true})
		ending, cancel := context.WithCancel(ctx)
		cancel()
		Expect(release(ending)).To(MatchError(claim.ErrLeftBehind))
		store.SetFaults(standin.Fault{LoseReply: 1})
		passing(func() { err = release(ctx) })
		Expect(err).NotTo(HaveOccurred())
	})

	It("writes once for each claim and refuses more than its rate", func(ctx context.Context) {
		clock.Advance(time.Minute)
		before := store.Calls()
		for i := range claim.MaxRate {
			_, err := one.Take(ctx, string(rune('A'+i)))
			Expect(err).NotTo(HaveOccurred())
		}
		var refusal *claim.RateError
		_, err := one.Take(ctx, "r1")
		Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
		Expect(refusal.RetryAfter).To(Equal(time.Second))
		after := store.Calls()
		Expect(after.Commit - before.Commit).To(Equal(uint64(claim.MaxRate)))
		Expect(after.Total - before.Total).To(Equal(uint64(claim.MaxRate + 1)))
		clock.Advance(time.Second)
		_, err = one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps a claim for its lifetime, even one taken at the end of a slice", func(ctx context.Context) {
		clock.Advance(59 * time.Second)
		_, err := one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Calls().GrantLease).To(Equal(uint64(2)))
		clock.Advance(claim.Lifetime)
		_, err = other.Take(ctx, "r1")
		Expect(err).To(MatchError(claim.ErrDuplicate))
		clock.Advance(2 * time.Minute)
		_, err = other.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
	})

	It("takes a new lease when the store has lost the shared one", func(ctx context.Context) {
		store.Store().Lapse()
		_, err := one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Calls().GrantLease).To(Equal(uint64(3)))
	})

	It("gives up a claim written after a pause of the process, since it would not live long enough", func(ctx context.Context) {
		swap := one.CompareAndSwap
		one.CompareAndSwap = func(
			ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
		) (uint64, error) {
			clock.Advance(3 * time.Minute)

			return swap(ctx, key, value, expected, lease)
		}
		_, err := one.Take(ctx, "r1")
		Expect(err).To(MatchError(claim.ErrUnavailable))
		Expect(err).NotTo(MatchError(claim.ErrLeftBehind))
		_, err = other.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
	})
})
