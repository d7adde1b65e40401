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
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "query/claim")
}

var _ = Describe("Claims", func() {
	// late is longer than the time that passes while a claim is created, and shorter than the time for which claims share a lease.
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
		// The calls in these tests end by cancellation. The timeout of the client is too long to have an effect.
		calls := adapter.NewStore(address)
		DeferCleanup(calls.Close)
		client = platform.NewClient(calls.KeyValueStore(), calls.Targets(), timers, platform.WithTimeout(24*time.Hour))
		one = claim.New(timers, claim.WithStore(client))
		other = claim.New(timers, claim.WithStore(client))
		for _, c := range []*claim.Claims{one, other} {
			release, err := c.Take(ctx, "lease")
			Expect(err).NotTo(HaveOccurred())
			Expect(release(ctx)).To(Succeed())
		}
	})

	// advanceDuring runs do and advances the clock until do returns, so that the delays between repetitions pass.
	advanceDuring := func(do func()) {
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
	// cancelFirst cancels the first compare-and-swap of c after the stand-in has received it.
	cancelFirst := func(c *claim.Claims, arrived func() bool) {
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

	DescribeTable("grants the claim to at most one copy under each fault of the store",
		func(ctx context.Context, fault standin.Fault, cancelsFirst, lasting bool, wantErr, wantRelease error, leftBehind bool) {
			before := store.Calls().Total
			store.SetFaults(fault)
			if cancelsFirst {
				cancelFirst(one, func() bool {
					return fault.DelayWrite > 0 && store.Faults()[0].DelayWrite == 0 ||
						fault.Slow > 0 && store.Calls().Total > before
				})
			}
			takeCtx, cancel := context.WithCancel(ctx)
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
			advanceDuring(func() { release, err = one.Take(takeCtx, "r1") })
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
					// The first write takes effect after the release. This is the reason why a retry needs a new RequestID.
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
		Entry("no fault occurs", standin.Fault{}, false, false, nil, nil, false),
		Entry("a reply is lost (LoseReply)", standin.Fault{LoseReply: 1}, false, false, nil, nil, false),
		Entry("a write takes effect late (DelayWrite)",
			standin.Fault{DelayWrite: 1, DelayAfter: late}, true, false, nil, claim.ErrLeftBehind, false),
		Entry("one write is slow (Slow)", standin.Fault{Slow: 1 << 60}, true, false, nil, claim.ErrLeftBehind, false),
		Entry("the store is down (Down)", standin.Fault{Down: true}, false, true, claim.ErrUnavailable, nil, true),
		Entry("the store is overloaded (Overload)", standin.Fault{Overload: 1}, false, false, claim.ErrUnavailable, nil, false),
	)

	It("grants the claim to exactly one of two concurrent copies while replies are lost", func(ctx context.Context) {
		store.SetFaults(standin.Fault{LoseReply: 2})
		results := make(chan error, 2)
		advanceDuring(func() {
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

	It("refuses a claim without leaving one behind when the store is down and no lease can be granted", func(ctx context.Context) {
		clock.Advance(time.Minute)
		store.SetFaults(standin.Fault{Down: true})
		_, err := one.Take(ctx, "r1")
		Expect(err).To(MatchError(claim.ErrUnavailable))
		Expect(err).NotTo(MatchError(claim.ErrLeftBehind))
	})

	It("reports that a claim that cannot be deleted may remain, and deletes it when the store is back", func(ctx context.Context) {
		release, err := one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		store.SetFaults(standin.Fault{Down: true})
		cancelledCtx, cancel := context.WithCancel(ctx)
		cancel()
		Expect(release(cancelledCtx)).To(MatchError(claim.ErrLeftBehind))
		store.SetFaults(standin.Fault{LoseReply: 1})
		advanceDuring(func() { err = release(ctx) })
		Expect(err).NotTo(HaveOccurred())
	})

	It("writes once for each claim and refuses claims beyond the maximum rate", func(ctx context.Context) {
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

	It("keeps a claim for its lifetime even if it was created just before the shared lease is replaced", func(ctx context.Context) {
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

	It("requests a new lease when the store has lost the shared one", func(ctx context.Context) {
		store.Store().EndAllLeases()
		_, err := one.Take(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Calls().GrantLease).To(Equal(uint64(3)))
	})

	It("releases a claim written after a pause of the process, whose lease would expire too early", func(ctx context.Context) {
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
