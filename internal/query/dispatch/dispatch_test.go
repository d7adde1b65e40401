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

// world records where the attempts of one dispatcher go.
type world struct {
	clock  *clockwork.FakeClock
	owners []instance.Instance // in order for the attempt
	live   []instance.Instance
	// relay gives the result of a relay to the instance at a place in order.
	relay func(place int) error
	sent  []int // places of the relays
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

func newWorld(relay func(place int) error) *world {
	w := &world{clock: clockwork.NewFakeClock(), relay: relay}
	for i := range 5 {
		w.live = append(w.live, instance.Instance{
			Name: string(rune('a' + i)), AvailabilityZone: "Kochi", Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		})
	}
	w.owners = ownership.Owners(newAttempt(true).Replica, w.live)

	return w
}

// dispatcher returns that of the instance at a place in order, or of one in another zone.
func (w *world) dispatcher(place int) *dispatch.Dispatcher {
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

func first(n int, err error) func(int) error {
	return func(place int) error {
		if place < n {
			return err
		}

		return nil
	}
}

var _ = Describe("Do", func() {
	DescribeTable("runs the attempt at the first instance in order that is reached",
		func(place int, relay func(int) error, sent []int, where string) {
			w := newWorld(relay)
			reply, err := w.dispatcher(place).Do(context.Background(), newAttempt(false))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.RequestID).To(Equal(where))
			Expect(w.sent).To(Equal(sent))
			Expect(w.runs).To(HaveLen(1))
			if where == "direct" {
				Expect(w.runs[0].Slots).To(Equal(1), "without the owner no one knows how many slots are free")
				Expect(w.runs[0].Connections).To(Equal(1))
			} else {
				Expect(w.runs[0].Slots).To(Equal(2))
			}
		},
		Entry("the owner itself", 0, first(0, nil), nil, "local"),
		Entry("another instance", 3, first(0, nil), []int{0}, "relay"),
		Entry("an instance of another zone", -1, first(0, nil), []int{0}, "relay"),
		Entry("the owner not reached, this instance next in order", 1, first(1, unreached()), []int{0}, "local"),
		Entry("the owner not reached", -1, first(1, unreached()), []int{0, 1}, "relay"),
		Entry("the owner leaving", -1, first(1, failed(target.NotRun, target.OwnerLeaving)), []int{0, 1}, "relay"),
		Entry("no one reached, bounded to two relays", -1, first(5, unreached()), []int{0, 1}, "direct"),
	)

	It("sends directly when no instance is known", func() {
		w := newWorld(first(0, nil))
		w.live = nil
		_, err := w.dispatcher(-1).Do(context.Background(), newAttempt(true))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.where).To(Equal("direct"))
	})

	DescribeTable("never sends again what may have run, and leaves refusals to the caller's retry policy",
		func(err error, outcome target.Outcome, code target.Code) {
			for _, idempotent := range []bool{false, true} {
				w := newWorld(first(5, err))
				_, got := w.dispatcher(-1).Do(context.Background(), newAttempt(idempotent))
				var failure *target.Failure
				Expect(errors.As(got, &failure)).To(BeTrue())
				Expect(failure.Outcome).To(Equal(outcome))
				Expect(failure.Code).To(Equal(code))
				Expect(w.sent).To(Equal([]int{0}))
				Expect(w.runs).To(BeEmpty())
			}
		},
		Entry("a lost reply", failed(target.Unknown, target.Broken), target.Unknown, target.Broken),
		Entry("a stalled peer", failed(target.Unknown, target.Stalled), target.Unknown, target.Stalled),
		Entry("an unreachable target that may have run it", failed(target.Unknown, target.Unreachable), target.Unknown, target.Unreachable),
		Entry("an error without type", errors.New("fault"), target.Unknown, target.Broken),
		Entry("a lost target, of which other instances would only find the same", failed(target.NotRun, target.Unreachable),
			target.NotRun, target.Unreachable),
		Entry("a target that sheds", failed(target.NotRun, target.Shed), target.NotRun, target.Shed),
		Entry("a full queue at the owner", failed(target.NotRun, target.QueueFull), target.NotRun, target.QueueFull),
	)

	It("runs a relayed attempt locally whatever it thinks of ownership, so that two views make no loop", func() {
		w := newWorld(first(0, nil))
		_, err := w.dispatcher(3).HandleRelay(context.Background(), peer.Sender{}, newAttempt(false))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.where).To(Equal("local"))
		Expect(w.sent).To(BeEmpty())
	})

	It("passes over a peer that was not reached for a time, and only such a one", func() {
		w := newWorld(first(1, unreached()))
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

		w = newWorld(first(1, failed(target.NotRun, target.OwnerLeaving)))
		d = w.dispatcher(-1)
		do()
		do()
		Expect(w.sent).To(Equal([]int{0, 1, 0, 1}), "a leaving owner was reached, and the members tell soon")
	})

	It("passes on the time that remains and starts nothing when none does", func() {
		w := newWorld(nil)
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

	It("starts nothing for a caller that is gone", func() {
		w := newWorld(first(0, nil))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := w.dispatcher(0).Do(ctx, newAttempt(false))
		Expect(target.OutcomeOf(err)).To(Equal(target.NotRun))
		Expect(w.runs).To(BeEmpty())
	})
})
