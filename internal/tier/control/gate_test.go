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
	It("makes one call at a time while the store fails, because refused calls are paid for as well", func() {
		var calls atomic.Int64
		var away atomic.Bool
		away.Store(true)
		source := control.NewGate(timer.New(), func() bool { return false }).Targets(control.TargetSource{
			List: func(context.Context) (control.Listed, error) {
				calls.Add(1)
				if away.Load() {
					return control.Listed{}, errors.New("away")
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
		// Eight parts that repeat without a pause would make thousands of calls.
		Consistently(calls.Load, "1s").Should(BeNumerically("<", 20))
		away.Store(false)
		Eventually(answered.Load, "5s").Should(BeEquivalentTo(8))
	})

	It("does not wait after a conflict, which is an answer of the store", func() {
		store := control.NewGate(timer.New(), func() bool { return false }).Own(control.OwnStore{
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
