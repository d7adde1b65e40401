package target_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "standin/target")
}

const timeout = time.Second

var holding = wire.Holding{Version: 7, Shard: 1, Shards: 3}

func query(id string) *wire.Query {
	return &wire.Query{
		RequestID: id, AttemptID: id + "/1", Service: "payout", Version: 7, Shard: 1, Shards: 3,
		Text: "glaze", Limit: 10, Timeout: duration.Duration(timeout),
	}
}

type bench struct {
	clock   *clockwork.FakeClock
	target  *target.Target
	client  *wire.Client
	address netip.AddrPort
}

// start serves a stand-in on a port of the kernel's choice, on a fake clock.
func start(options ...target.Option) *bench {
	b := &bench{clock: clockwork.NewFakeClock()}
	timers := timer.New(timer.WithClock(b.clock))
	b.target = target.New(timers, append([]target.Option{
		target.WithService("payout"), target.WithHoldings(holding),
	}, options...)...)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.address = netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- b.target.Serve(ctx, listener) }()
	// A port that is closed before Serve has taken the listener resets the connections in its backlog, which a client
	// cannot tell from a request that was read.
	Eventually(b.target.Serving()).Should(BeClosed())
	b.client = wire.NewClient(timers)
	DeferCleanup(func() {
		cancel()
		Eventually(served).Should(Receive(Not(HaveOccurred())))
		b.client.Close()
	})

	return b
}

type result struct {
	Reply wire.Reply
	Err   error
}

// send starts a query and returns the channel of its result.
func (b *bench) send(ctx context.Context, q *wire.Query) <-chan result {
	done := make(chan result, 1)
	go func() {
		reply, err := b.client.Query(ctx, b.address, q)
		done <- result{reply, err}
	}()

	return done
}

func (b *bench) received() int { return b.target.Journal().Received }
func (b *bench) silenced() int { return b.target.Journal().Silenced }
func (b *bench) ran() int      { return len(b.target.Journal().Entries) }
func (b *bench) inFlight() int { return b.target.Report().InFlight }

func beFailure(outcome wire.Outcome, code wire.Code) OmegaMatcher {
	return And(HaveField("Outcome", outcome), HaveField("Code", code))
}

const (
	none      = "none"
	finished  = "finished"
	cancelled = "cancelled"
)

// journal returns what the journal says of the query with the given RequestID.
func (b *bench) journal(id string) string {
	state := none
	for _, e := range b.target.Journal().Entries {
		switch {
		case e.RequestID != id:
		case state != none:
			return "ran twice"
		case !e.Finished.IsZero():
			state = finished
		case !e.Cancelled.IsZero():
			state = cancelled
		default:
			state = "running"
		}
	}

	return state
}

var _ = Describe("Client against the stand-in", func() {
	It("gets the hits that belong to the shard and name the version", func(ctx SpecContext) {
		b := start()
		reply, err := b.client.Query(ctx, b.address, query("one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Hits).To(HaveLen(10))
		Expect(reply.Hits).To(Equal(target.Hits(7, 1, 3, "glaze", 10)))
		for _, hit := range reply.Hits {
			Expect(wire.ShardOf(hit.Key, 3)).To(Equal(1))
			Expect(hit.Body).To(HavePrefix("version 7 "))
		}
		Expect(reply.Report.Holdings).To(ConsistOf(holding))
		Expect(b.journal("one")).To(Equal(finished))

		report, err := b.client.Status(ctx, b.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(b.target.Report()))
	})

	// Each fault is put in force after one good query, so that the faulty one meets a reused connection. wait names the
	// condition after which the clock passes the deadline of the query.
	DescribeTable("under a fault",
		func(ctx SpecContext, fault target.Fault, expected OmegaMatcher, journal string, wait func(*bench) func() int) {
			b := start()
			_, err := b.client.Query(ctx, b.address, query("before"))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.target.SetFault(fault)).To(Succeed())

			done := b.send(ctx, query("one"))
			if wait != nil {
				before := wait(b)()
				Eventually(wait(b)).Should(BeNumerically(">", min(before, 1)))
				b.clock.Advance(2 * timeout)
			}
			var got result
			Eventually(done).Should(Receive(&got))
			Expect(got.Err).To(expected)
			Eventually(func() string { return b.journal("one") }).Should(Equal(journal))

			// The fault leaves nothing behind on the client's side.
			Expect(b.target.SetFault(target.Fault{AddHolding: &holding})).To(Succeed())
			_, err = b.client.Query(ctx, b.address, query("after"))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.journal("after")).To(Equal(finished))
		},
		Entry("Freeze", target.Fault{Freeze: true}, beFailure(wire.Unknown, wire.Stalled), none,
			func(b *bench) func() int { return b.received }),
		Entry("Shed", target.Fault{Shed: true}, beFailure(wire.NotRun, wire.Shed), none, nil),
		Entry("Drain", target.Fault{Drain: true}, And(beFailure(wire.NotRun, wire.Draining),
			HaveField("Report.Draining", true)), none, nil),
		Entry("Cold", target.Fault{Cold: true}, BeNil(), finished, nil),
		Entry("SilenceConnections", target.Fault{SilenceConnections: true}, beFailure(wire.Unknown, wire.Stalled), none,
			func(b *bench) func() int { return func() int { return b.silenced() + 1 } }),
		Entry("ResetBeforeRun", target.Fault{ResetBeforeRun: true}, beFailure(wire.Unknown, wire.Broken), none, nil),
		Entry("ResetAfterRun", target.Fault{ResetAfterRun: true}, beFailure(wire.Unknown, wire.Broken), finished, nil),
		Entry("Truncate", target.Fault{Truncate: true}, beFailure(wire.Unknown, wire.Malformed), finished, nil),
		Entry("Late", target.Fault{Late: duration.Duration(time.Hour)}, beFailure(wire.Unknown, wire.Stalled), finished,
			func(b *bench) func() int { return b.ran }),
		Entry("Misdirect", target.Fault{Misdirect: true}, beFailure(wire.Unknown, wire.Mismatched), finished, nil),
		Entry("WrongReport", target.Fault{WrongReport: true}, BeNil(), finished, nil),
		Entry("WithdrawVersion", target.Fault{WithdrawVersion: 7}, beFailure(wire.NotRun, wire.VersionUnavailable), none, nil),
	)

	It("says not run while connections are refused, and dials again afterwards", func(ctx SpecContext) {
		b := start()
		Expect(b.target.SetFault(target.Fault{RefuseConnections: true})).To(Succeed())
		_, err := b.client.Query(ctx, b.address, query("one"))
		Expect(err).To(beFailure(wire.NotRun, wire.Unreachable))
		Expect(b.target.SetFault(target.Fault{})).To(Succeed())
		_, err = b.client.Query(ctx, b.address, query("two"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.journal("one")).To(Equal(none))
	})

	It("takes a duplicated reply once and never for the reply of the next query", func(ctx SpecContext) {
		b := start()
		Expect(b.target.SetFault(target.Fault{Duplicate: true})).To(Succeed())
		reply, err := b.client.Query(ctx, b.address, query("one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RequestID).To(Equal("one"))
		Expect(b.target.SetFault(target.Fault{})).To(Succeed())
		reply, err = b.client.Query(ctx, b.address, query("two"))
		if err == nil {
			Expect(reply.RequestID).To(Equal("two"))
		} else {
			// The second copy came after the query was written; whether it ran cannot be known.
			Expect(wire.OutcomeOf(err)).To(Equal(wire.Unknown))
		}
	})

	It("closes idle connections that stalled with the used one, so that the next attempts dial", func(ctx SpecContext) {
		b := start(target.WithServiceTime(time.Millisecond, 0))
		first, second := b.send(ctx, query("first")), b.send(ctx, query("second"))
		Eventually(b.ran).Should(Equal(2))
		Expect(b.clock.BlockUntilContext(ctx, 6)).To(Succeed(), "two deadlines on each side and two service times")
		b.clock.Advance(time.Millisecond)
		Eventually(first).Should(Receive(HaveField("Err", BeNil())))
		Eventually(second).Should(Receive(HaveField("Err", BeNil())))
		Expect(b.target.Journal().Connections).To(Equal(2))

		b.clock.Advance(time.Millisecond)
		Expect(b.target.SetFault(target.Fault{SilenceConnections: true})).To(Succeed())
		stalled := b.send(ctx, query("stalled"))
		Eventually(b.silenced).Should(Equal(1))
		b.clock.Advance(2 * timeout)
		Eventually(stalled).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Stalled))))
		next := b.send(ctx, query("next"))
		Eventually(b.ran).Should(Equal(3))
		Eventually(func() int { b.clock.Advance(time.Millisecond); return len(next) }).Should(Equal(1))
		Expect(next).To(Receive(HaveField("Err", BeNil())))
		Expect(b.target.Journal().Connections).To(Equal(3))
	})

	It("queues up to its bound, sheds beyond it, and stops work that is cancelled", func(ctx SpecContext) {
		b := start(target.WithSlots(1), target.WithQueue(1), target.WithServiceTime(time.Minute, 0))
		running, cancel := context.WithCancel(ctx)
		first := b.send(running, query("first"))
		Eventually(b.inFlight).Should(Equal(1))
		waiting, stop := context.WithCancel(ctx)
		second := b.send(waiting, query("second"))
		Eventually(b.inFlight).Should(Equal(2))
		_, err := b.client.Query(ctx, b.address, query("third"))
		Expect(err).To(beFailure(wire.NotRun, wire.Shed))
		stop()
		Eventually(second).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Cancelled))))
		Eventually(b.inFlight).Should(Equal(1))
		cancel()
		Eventually(first).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Cancelled))))
		Eventually(func() string { return b.journal("first") }).Should(Equal(cancelled))
		Expect(b.journal("second")).To(Equal(none))
	})

	It("refuses queries on connections over the limit as not run", func(ctx SpecContext) {
		b := start(target.WithConnections(1), target.WithServiceTime(time.Minute, 0))
		running, cancel := context.WithCancel(ctx)
		defer cancel()
		b.send(running, query("first"))
		Eventually(b.ran).Should(Equal(1))
		_, err := b.client.Query(ctx, b.address, query("second"))
		Expect(err).To(beFailure(wire.NotRun, wire.Overconnected))
	})

	It("says not run when the client's own connections to the target are all in use", func(ctx SpecContext) {
		b := start(target.WithServiceTime(time.Minute, 0))
		client := wire.NewClient(timer.New(timer.WithClock(b.clock)), wire.WithConnections(1))
		reached := make(chan netip.AddrPort, 1)
		client.OnBound = func(address netip.AddrPort) { reached <- address }
		b.client = client
		first := b.send(ctx, query("first"))
		Eventually(b.ran).Should(Equal(1))
		short := query("second")
		short.Timeout /= 2
		second := b.send(ctx, short)
		Expect(b.clock.BlockUntilContext(ctx, 4)).To(Succeed(), "three waits for the first query, a deadline for the second")
		b.clock.Advance(timeout * 3 / 4)
		Eventually(second).Should(Receive(HaveField("Err", beFailure(wire.NotRun, wire.TooLate))))
		Expect(reached).To(Receive(Equal(b.address)))
		Expect(b.target.Journal().Connections).To(Equal(1))
		b.clock.Advance(timeout)
		// The clock passes the deadlines of both sides, so the target's refusal may or may not come first.
		Eventually(first).Should(Receive(HaveField("Err", HaveField("Outcome", wire.Unknown))))
	})

	It("is slower when cold or slow, by the factor", func(ctx SpecContext) {
		b := start(target.WithServiceTime(time.Millisecond, 0), target.WithColdStart(time.Second, 4))
		Expect(b.target.Report().Cold).To(BeTrue())
		done := b.send(ctx, query("cold"))
		Eventually(b.ran).Should(Equal(1))
		Expect(b.clock.BlockUntilContext(ctx, 3)).To(Succeed(), "a deadline on each side and the service time")
		b.clock.Advance(3 * time.Millisecond)
		Consistently(done, "20ms").ShouldNot(Receive())
		b.clock.Advance(time.Millisecond)
		Eventually(done).Should(Receive(HaveField("Err", BeNil())))
		b.clock.Advance(time.Second)
		Expect(b.target.Report().Cold).To(BeFalse())

		Expect(b.target.SetFault(target.Fault{SlowFraction: 1, SlowFactor: 3})).To(Succeed())
		done = b.send(ctx, query("slow"))
		Eventually(b.ran).Should(Equal(2))
		Expect(b.clock.BlockUntilContext(ctx, 3)).To(Succeed())
		b.clock.Advance(2 * time.Millisecond)
		Consistently(done, "20ms").ShouldNot(Receive())
		b.clock.Advance(time.Millisecond)
		Eventually(done).Should(Receive(HaveField("Err", BeNil())))
	})

	It("takes faults and shows the journal over HTTP, and names the field of a bad fault", func(ctx SpecContext) {
		b := start()
		put := func(body string) int {
			r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.address.String()+target.FaultPath, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(put(`{"SilenceConnections":true,"AddHolding":{"Version":8,"Shard":0,"Shards":2}}`)).To(Equal(http.StatusNoContent))
		Expect(b.target.Report().Holdings).To(HaveLen(2))
		Expect(put(`{"SlowFraction":2}`)).To(Equal(http.StatusBadRequest))
		Expect(put(`{"Surprise":true}`)).To(Equal(http.StatusBadRequest))

		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.address.String()+target.JournalPath, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var journal target.Journal
		Expect(json.NewDecoder(response.Body).Decode(&journal)).To(Succeed())
		Expect(journal.Incarnation).To(Equal(b.target.Report().Incarnation))
		http.DefaultClient.CloseIdleConnections()
	})
})
