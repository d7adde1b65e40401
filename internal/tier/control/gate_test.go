package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

var _ = Describe("Gate", func() {
	It("makes one call at a time while the store fails, because failed calls have a cost too", func() {
		var calls atomic.Int64
		var unavailable atomic.Bool
		unavailable.Store(true)
		source := control.NewGate(timer.New(), func() bool { return false }).Targets(control.TargetSource{
			List: func(context.Context) (control.Listed, error) {
				calls.Add(1)
				if unavailable.Load() {
					return control.Listed{}, errors.New("store unavailable")
				}

				return control.Listed{}, nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var answered atomic.Int64
		for range 8 {
			go func() {
				for ctx.Err() == nil {
					if _, err := source.List(ctx); err == nil {
						answered.Add(1)

						return
					}
				}
			}()
		}
		// Without the gate, eight components that retry without a delay would make thousands of calls.
		Consistently(calls.Load, "1s").Should(BeNumerically("<", 20))
		unavailable.Store(false)
		Eventually(answered.Load, "5s").Should(BeEquivalentTo(8))
	})

	It("does not delay calls after a conflict, because a conflict is an answer of a working store", func() {
		store := control.NewGate(timer.New(), func() bool { return false }).KeyValueStore(control.KeyValueStore{
			Commit: func(context.Context, control.Transaction) (uint64, error) { return 0, control.ErrConflict },
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for range 50 {
			_, err := store.Commit(ctx, control.Transaction{})
			Expect(err).To(MatchError(control.ErrConflict))
		}
	})
})

// errSlowListing is the error of a listing that has made progress.
var errSlowListing = errors.Join(control.ErrIncomplete, context.DeadlineExceeded)

var _ = DescribeTable("Gate does not delay other calls, such as the renewal of a lease, after",
	func(answer error) {
		gate := control.NewGate(timer.New(), func() bool { return false })
		store := gate.KeyValueStore(control.KeyValueStore{
			Commit: func(context.Context, control.Transaction) (uint64, error) { return 0, answer },
		})
		targets := gate.Targets(control.TargetSource{List: func(context.Context) (control.Listed, error) { return control.Listed{}, answer }})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for range 50 {
			_, err := store.Commit(ctx, control.Transaction{})
			Expect(err).To(MatchError(answer))
			_, err = targets.List(ctx)
			Expect(err).To(MatchError(answer))
		}
	},
	Entry("a change that the store rejects", rejected),
	Entry("a listing that goes on with the next call", errSlowListing),
)

var _ = Describe("Gate with a long poll", func() {
	It("lets other calls probe a store that failed, so that a long poll does not block the read of a new configuration", func() {
		var failed atomic.Bool
		gate := control.NewGate(timer.New(), func() bool { return false })
		source := gate.Configurations(control.ConfigurationSource{
			Read: func(context.Context) (control.ConfigurationResult, error) {
				if failed.CompareAndSwap(false, true) {
					return control.ConfigurationResult{}, errors.New("store unavailable")
				}

				return control.ConfigurationResult{Revision: 7}, nil
			},
			Wait: func(ctx context.Context, _ uint64, _ time.Duration) (control.ConfigurationResult, error) {
				<-ctx.Done()

				return control.ConfigurationResult{}, ctx.Err()
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, err := source.Read(ctx)
		Expect(err).To(HaveOccurred())
		// A component that did not see the failure starts a long poll after the delay before the next probe.
		time.Sleep(200 * time.Millisecond)
		go func() { _, _ = source.Wait(ctx, 1, time.Minute) }()
		time.Sleep(50 * time.Millisecond)
		short, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		stored, err := source.Read(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Revision).To(BeEquivalentTo(7))
	})
})

var _ = Describe("Gate with a call that is close to its deadline", func() {
	It("leaves the probe to a call with its full timeout, because one that times out counts as a failure of the store", func() {
		var calls atomic.Int64
		source := control.NewGate(timer.New(), func() bool { return false }).Targets(control.TargetSource{
			List: func(ctx context.Context) (control.Listed, error) {
				if calls.Add(1) == 1 {
					return control.Listed{}, errors.New("store unavailable")
				}
				// The store is slow, but answers within the full timeout.
				select {
				case <-time.After(300 * time.Millisecond):
					return control.Listed{}, nil
				case <-ctx.Done():
					return control.Listed{}, ctx.Err()
				}
			},
		})
		_, err := source.List(context.Background())
		Expect(err).To(HaveOccurred())
		time.Sleep(200 * time.Millisecond)
		short, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer stop()
		_, err = source.List(short)
		Expect(err).To(HaveOccurred())
		Expect(calls.Load()).To(BeEquivalentTo(1))
		full, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer stop()
		_, err = source.List(full)
		Expect(err).NotTo(HaveOccurred())
	})
})
