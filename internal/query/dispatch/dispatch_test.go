package dispatch_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fixture records the instances at which the attempts of one dispatcher run.
type fixture struct {
	clock  *clockwork.FakeClock
	owners []instance.Instance // in the order of owners for the attempt
	live   []instance.Instance
	// relay returns the error of a relay to the owner at index place.
	relay func(place int) error
	sent  []int // the owners that were sent a relay, as indexes of owners
	runs  []attempt.Attempt
	where string
}

func newAttempt(idempotent bool) attempt.Attempt {
	return attempt.Attempt{
		Replica: contract.Replica{Address: netip.MustParseAddrPort("10.1.0.1:80"), AvailabilityZone: "Kochi"},
		Slots:   2, Connections: 25,
		Query: target.Query{RequestID: "r", AttemptID: "a", Shards: 1, Idempotent: idempotent, Timeout: duration.Duration(100 * time.Millisecond)},
	}
}

func newFixture(relay func(place int) error) *fixture {
	w := &fixture{clock: clockwork.NewFakeClock(), relay: relay}
	for i := range 5 {
		w.live = append(w.live, instance.Instance{
			Name: string(rune('a' + i)), AvailabilityZone: "Kochi", Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		})
	}
	w.owners = ownership.Owners(newAttempt(true).Replica, w.live)

	return w
}

// dispatcher returns the dispatcher of the owner at index place, or of an instance in another availability zone if place is
// negative.
func (w *fixture) dispatcher(place int) *dispatch.Dispatcher {
	name := "elsewhere"
	if place >= 0 {
		name = w.owners[place].Name
	}
	run := func(where string) func(context.Context, attempt.Attempt) (target.Reply, error) {
		return func(_ context.Context, a attempt.Attempt) (target.Reply, error) {
			w.where = where
			w.runs = append(w.runs, a)

			return target.Reply{RequestID: where}, nil
		}
	}

	return dispatch.New(name, timer.New(timer.WithClock(w.clock)), dispatch.Functions{
		Live:   func() []instance.Instance { return w.live },
		Local:  run("local"),
		Direct: run("direct"),
		Relay: func(_ context.Context, to netip.AddrPort, a attempt.Attempt) (target.Reply, error) {
			for place, owner := range w.owners {
				if owner.Peer == to {
					w.sent = append(w.sent, place)
					if err := w.relay(place); err != nil {
						return target.Reply{}, err
					}
				}
			}

			return run("relay")(context.Background(), a)
		},
	})
}

func failed(outcome target.Outcome, code target.Code) error {
	return &target.Failure{Outcome: outcome, Code: code}
}

func unreached() error {
	return &peer.Unreached{Failure: &target.Failure{Outcome: target.NotRun, Code: target.Unreachable}}
}

func failFirst(n int, err error) func(int) error {
	return func(place int) error {
		if place < n {
			return err
		}

		return nil
	}
}

var _ = Describe("Dispatcher.Do", func() {
	DescribeTable("runs the attempt at the first owner that can be reached",
		func(place int, relay func(int) error, sent []int, where string) {
			w := newFixture(relay)
			reply, err := w.dispatcher(place).Do(context.Background(), newAttempt(false))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.RequestID).To(Equal(where))
			Expect(w.sent).To(Equal(sent))
			Expect(w.runs).To(HaveLen(1))
			if where == "direct" {
				Expect(w.runs[0].Slots).To(Equal(1), "the number of free slots is unknown without the owner")
				Expect(w.runs[0].Connections).To(Equal(1))
			} else {
				Expect(w.runs[0].Slots).To(Equal(2))
			}
		},
		Entry("this instance is the owner", 0, failFirst(0, nil), nil, "local"),
		Entry("this instance is a later owner", 3, failFirst(0, nil), []int{0}, "relay"),
		Entry("this instance is in another availability zone", -1, failFirst(0, nil), []int{0}, "relay"),
		Entry("the owner is not reached and this instance is the next one", 1, failFirst(1, unreached()), []int{0}, "local"),
		Entry("the owner is not reached", -1, failFirst(1, unreached()), []int{0, 1}, "relay"),
		Entry("the owner is leaving", -1, failFirst(1, failed(target.NotRun, target.OwnerLeaving)), []int{0, 1}, "relay"),
		Entry("no owner is reached within two relays", -1, failFirst(5, unreached()), []int{0, 1}, "direct"),
	)

	It("sends the attempt directly to the target when no instance is known", func() {
		w := newFixture(failFirst(0, nil))
		w.live = nil
		_, err := w.dispatcher(-1).Do(context.Background(), newAttempt(true))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.where).To(Equal("direct"))
	})

	DescribeTable("never resends an attempt that may have run, and leaves refusals to the retry policy of the query",
		func(err error, outcome target.Outcome, code target.Code) {
			for _, idempotent := range []bool{false, true} {
				w := newFixture(failFirst(5, err))
				_, got := w.dispatcher(-1).Do(context.Background(), newAttempt(idempotent))
				var failure *target.Failure
				Expect(errors.As(got, &failure)).To(BeTrue())
				Expect(failure.Outcome).To(Equal(outcome))
				Expect(failure.Code).To(Equal(code))
				Expect(w.sent).To(Equal([]int{0}))
				Expect(w.runs).To(BeEmpty())
			}
		},
		Entry("the reply is lost", failed(target.Unknown, target.Broken), target.Unknown, target.Broken),
		Entry("the peer has stalled", failed(target.Unknown, target.Stalled), target.Unknown, target.Stalled),
		Entry("the target is unreachable but may have run the attempt",
			failed(target.Unknown, target.Unreachable), target.Unknown, target.Unreachable),
		Entry("the error is not a *target.Failure", errors.New("fault"), target.Unknown, target.Broken),
		Entry("the target is unreachable, which it would be for other instances too", failed(target.NotRun, target.Unreachable),
			target.NotRun, target.Unreachable),
		Entry("the target sheds load", failed(target.NotRun, target.Shed), target.NotRun, target.Shed),
		Entry("the queue of the owner is full", failed(target.NotRun, target.QueueFull), target.NotRun, target.QueueFull),
	)

	It("runs a relayed attempt locally even if this instance is not the owner, so that it is not relayed in a loop", func() {
		w := newFixture(failFirst(0, nil))
		_, err := w.dispatcher(3).HandleRelay(context.Background(), peer.Sender{}, newAttempt(false))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.where).To(Equal("local"))
		Expect(w.sent).To(BeEmpty())
	})

	It("skips a peer for some time only if the peer was not reached", func() {
		w := newFixture(failFirst(1, unreached()))
		d := w.dispatcher(-1)
		do := func() {
			_, err := d.Do(context.Background(), newAttempt(true))
			Expect(err).NotTo(HaveOccurred())
		}
		do()
		do()
		w.clock.Advance(time.Second)
		do()
		Expect(w.sent).To(Equal([]int{0, 1, 1, 0, 1}))
		Expect(d.Counts()).To(Equal(dispatch.Counts{Relayed: 3, Avoided: 1}))

		w = newFixture(failFirst(1, failed(target.NotRun, target.OwnerLeaving)))
		d = w.dispatcher(-1)
		do()
		do()
		Expect(w.sent).To(Equal([]int{0, 1, 0, 1}),
			"an owner that is leaving was reached, and the membership protocol will soon report that it left")
	})

	It("reduces the timeout to the remaining time and sends nothing when no time remains", func() {
		w := newFixture(nil)
		w.relay = func(place int) error {
			if place == 0 {
				w.clock.Advance(60 * time.Millisecond)

				return unreached()
			}

			return nil
		}
		_, err := w.dispatcher(-1).Do(context.Background(), newAttempt(true))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.runs[0].Query.Timeout.Std()).To(Equal(38 * time.Millisecond))

		w.relay = func(int) error {
			w.clock.Advance(60 * time.Millisecond)

			return unreached()
		}
		w.clock.Advance(time.Second)
		_, err = w.dispatcher(-1).Do(context.Background(), newAttempt(true))
		Expect(target.OutcomeOf(err)).To(Equal(target.NotRun))
		Expect(err).To(MatchError(ContainSubstring("TooLate")))
	})

	It("runs nothing for a caller that has disconnected", func() {
		w := newFixture(failFirst(0, nil))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := w.dispatcher(0).Do(ctx, newAttempt(false))
		Expect(target.OutcomeOf(err)).To(Equal(target.NotRun))
		Expect(w.runs).To(BeEmpty())
	})
})
