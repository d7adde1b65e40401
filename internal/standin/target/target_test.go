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
	// The timeout only ends tests that hang. It is long so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "standin/target")
}

// timeout is the timeout of each query.
const timeout = time.Second

var holding = wire.Holding{Version: 7, Shard: 1, Shards: 3}

func query(id string) *wire.Query {
	return &wire.Query{
		RequestID: id, AttemptID: id + "/1", Service: "payout", Version: 7, Shard: 1, Shards: 3,
		Text: "glaze", Limit: 10, Timeout: duration.Duration(timeout),
	}
}

// fixture is a served stand-in with a client. Both use the same fake clock.
type fixture struct {
	clock   *clockwork.FakeClock
	target  *target.Target
	client  *wire.Client
	address netip.AddrPort
}

// startFixture serves a stand-in with a fake clock on a port that the kernel chooses.
func startFixture(options ...target.Option) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	timers := timer.New(timer.WithClock(f.clock))
	f.target = target.New(timers, append([]target.Option{
		target.WithService("payout"), target.WithHoldings(holding),
	}, options...)...)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.target.Serve(ctx, listener) }()
	// Until Serve has set up the listener, new connections wait in the backlog of the port. If the port is closed meanwhile, they
	// are reset, and a client cannot tell such a reset from one after its request was read.
	Eventually(f.target.Serving()).Should(BeClosed())
	f.client = wire.NewClient(timers)
	DeferCleanup(func() {
		cancel()
		Eventually(served).Should(Receive(Not(HaveOccurred())))
		f.client.Close()
	})

	return f
}

type result struct {
	Reply wire.Reply
	Err   error
}

// send sends a query in the background and returns the channel on which its result arrives.
func (f *fixture) send(ctx context.Context, q *wire.Query) <-chan result {
	done := make(chan result, 1)
	go func() {
		reply, err := f.client.Query(ctx, f.address, q)
		done <- result{reply, err}
	}()

	return done
}

func (f *fixture) receivedCount() int { return f.target.Journal().Received }
func (f *fixture) silencedCount() int { return f.target.Journal().Silenced }
func (f *fixture) runCount() int      { return len(f.target.Journal().Entries) }
func (f *fixture) inFlightCount() int { return f.target.Report().InFlight }

func beFailure(outcome wire.Outcome, code wire.Code) OmegaMatcher {
	return And(HaveField("Outcome", outcome), HaveField("Code", code))
}

const (
	noEntry   = "none"
	finished  = "finished"
	cancelled = "cancelled"
)

// journalState returns the state of the query with the given RequestID according to the journal of the target.
func (f *fixture) journalState(id string) string {
	state := noEntry
	for _, e := range f.target.Journal().Entries {
		switch {
		case e.RequestID != id:
		case state != noEntry:
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

var _ = Describe("A client that queries a stand-in target", func() {
	It("returns the hits of the queried shard and version, and the state that the target reports", func(ctx SpecContext) {
		f := startFixture()
		reply, err := f.client.Query(ctx, f.address, query("one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Hits).To(HaveLen(10))
		Expect(reply.Hits).To(Equal(target.Hits(7, 1, 3, "glaze", 10)))
		for _, hit := range reply.Hits {
			Expect(wire.ShardOf(hit.Key, 3)).To(Equal(1))
			Expect(hit.Body).To(HavePrefix("version 7 "))
		}
		Expect(reply.Report.Holdings).To(ConsistOf(holding))
		Expect(f.journalState("one")).To(Equal(finished))

		report, err := f.client.Status(ctx, f.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(f.target.Report()))
	})

	// Each fault is set after a successful query, so that the next query uses an existing connection. progress returns a counter
	// that is at least 1 before that query. Once the counter exceeds 1, the clock advances past the deadline of the query.
	DescribeTable("reports the correct outcome under a fault and recovers when the fault is cleared",
		func(ctx SpecContext, fault target.Fault, expected OmegaMatcher, journal string, progress func(*fixture) func() int) {
			f := startFixture()
			_, err := f.client.Query(ctx, f.address, query("before"))
			Expect(err).NotTo(HaveOccurred())
			Expect(f.target.SetFault(fault)).To(Succeed())

			done := f.send(ctx, query("one"))
			if progress != nil {
				before := progress(f)()
				Eventually(progress(f)).Should(BeNumerically(">", min(before, 1)))
				f.clock.Advance(2 * timeout)
			}
			var got result
			Eventually(done).Should(Receive(&got))
			Expect(got.Err).To(expected)
			Eventually(func() string { return f.journalState("one") }).Should(Equal(journal))

			// Once the fault is cleared, the client works again.
			Expect(f.target.SetFault(target.Fault{AddHolding: &holding})).To(Succeed())
			_, err = f.client.Query(ctx, f.address, query("after"))
			Expect(err).NotTo(HaveOccurred())
			Expect(f.journalState("after")).To(Equal(finished))
		},
		Entry("Freeze leaves the query unanswered until its deadline",
			target.Fault{Freeze: true}, beFailure(wire.Unknown, wire.Stalled), noEntry,
			func(f *fixture) func() int { return f.receivedCount }),
		Entry("Shed refuses the query",
			target.Fault{Shed: true}, beFailure(wire.NotRun, wire.Shed), noEntry, nil),
		Entry("Drain refuses the query and reports draining",
			target.Fault{Drain: true}, And(beFailure(wire.NotRun, wire.Draining),
				HaveField("Report.Draining", true)), noEntry, nil),
		Entry("Cold does not fail the query", target.Fault{Cold: true}, BeNil(), finished, nil),
		Entry("SilenceConnections discards the query on the existing connection",
			target.Fault{SilenceConnections: true}, beFailure(wire.Unknown, wire.Stalled), noEntry,
			func(f *fixture) func() int { return func() int { return f.silencedCount() + 1 } }),
		Entry("ResetBeforeRun breaks the connection without running the query",
			target.Fault{ResetBeforeRun: true}, beFailure(wire.Unknown, wire.Broken), noEntry, nil),
		Entry("ResetAfterRun breaks the connection after the query ran",
			target.Fault{ResetAfterRun: true}, beFailure(wire.Unknown, wire.Broken), finished, nil),
		Entry("Truncate makes the reply of a finished query malformed",
			target.Fault{Truncate: true}, beFailure(wire.Unknown, wire.Malformed), finished, nil),
		Entry("Late delays the reply of a finished query beyond its deadline",
			target.Fault{Late: duration.Duration(time.Hour)}, beFailure(wire.Unknown, wire.Stalled), finished,
			func(f *fixture) func() int { return f.runCount }),
		Entry("Misdirect answers with the reply to another query",
			target.Fault{Misdirect: true}, beFailure(wire.Unknown, wire.Mismatched), finished, nil),
		Entry("WrongReport does not fail the query", target.Fault{WrongReport: true}, BeNil(), finished, nil),
		Entry("WithdrawVersion makes the target refuse the version",
			target.Fault{WithdrawVersion: 7}, beFailure(wire.NotRun, wire.VersionUnavailable), noEntry, nil),
	)

	It("reports a query as not run while connections are refused, and connects again afterwards", func(ctx SpecContext) {
		f := startFixture()
		Expect(f.target.SetFault(target.Fault{RefuseConnections: true})).To(Succeed())
		_, err := f.client.Query(ctx, f.address, query("one"))
		Expect(err).To(beFailure(wire.NotRun, wire.Unreachable))
		Expect(f.target.SetFault(target.Fault{})).To(Succeed())
		_, err = f.client.Query(ctx, f.address, query("two"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.journalState("one")).To(Equal(noEntry))
	})

	It("returns a duplicated reply once and never as the reply to the next query", func(ctx SpecContext) {
		f := startFixture()
		Expect(f.target.SetFault(target.Fault{Duplicate: true})).To(Succeed())
		reply, err := f.client.Query(ctx, f.address, query("one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RequestID).To(Equal("one"))
		Expect(f.target.SetFault(target.Fault{})).To(Succeed())
		reply, err = f.client.Query(ctx, f.address, query("two"))
		if err == nil {
			Expect(reply.RequestID).To(Equal("two"))
		} else {
			// The second copy arrived after the query was written, so the client cannot know whether the query ran.
			Expect(wire.OutcomeOf(err)).To(Equal(wire.Unknown))
		}
	})

	It("closes idle connections to a target after a stall, so that the next query opens a new one", func(ctx SpecContext) {
		f := startFixture(target.WithServiceTime(time.Millisecond, 0))
		first, second := f.send(ctx, query("first")), f.send(ctx, query("second"))
		Eventually(f.runCount).Should(Equal(2))
		Expect(f.clock.BlockUntilContext(ctx, 6)).To(Succeed(), "two deadlines on each side and two service times")
		f.clock.Advance(time.Millisecond)
		Eventually(first).Should(Receive(HaveField("Err", BeNil())))
		Eventually(second).Should(Receive(HaveField("Err", BeNil())))
		Expect(f.target.Journal().Connections).To(Equal(2))

		f.clock.Advance(time.Millisecond)
		Expect(f.target.SetFault(target.Fault{SilenceConnections: true})).To(Succeed())
		stalled := f.send(ctx, query("stalled"))
		Eventually(f.silencedCount).Should(Equal(1))
		f.clock.Advance(2 * timeout)
		Eventually(stalled).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Stalled))))
		next := f.send(ctx, query("next"))
		Eventually(f.runCount).Should(Equal(3))
		Eventually(func() int { f.clock.Advance(time.Millisecond); return len(next) }).Should(Equal(1))
		Expect(next).To(Receive(HaveField("Err", BeNil())))
		Expect(f.target.Journal().Connections).To(Equal(3))
	})

	It("queues queries up to the limit, sheds those beyond it, and stops queries that are cancelled", func(ctx SpecContext) {
		f := startFixture(target.WithSlots(1), target.WithQueue(1), target.WithServiceTime(time.Minute, 0))
		firstCtx, cancelFirst := context.WithCancel(ctx)
		first := f.send(firstCtx, query("first"))
		Eventually(f.inFlightCount).Should(Equal(1))
		secondCtx, cancelSecond := context.WithCancel(ctx)
		second := f.send(secondCtx, query("second"))
		Eventually(f.inFlightCount).Should(Equal(2))
		_, err := f.client.Query(ctx, f.address, query("third"))
		Expect(err).To(beFailure(wire.NotRun, wire.Shed))
		cancelSecond()
		Eventually(second).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Cancelled))))
		Eventually(f.inFlightCount).Should(Equal(1))
		cancelFirst()
		Eventually(first).Should(Receive(HaveField("Err", beFailure(wire.Unknown, wire.Cancelled))))
		Eventually(func() string { return f.journalState("first") }).Should(Equal(cancelled))
		Expect(f.journalState("second")).To(Equal(noEntry))
	})

	It("refuses queries on connections beyond the limit and reports them as not run", func(ctx SpecContext) {
		f := startFixture(target.WithConnections(1), target.WithServiceTime(time.Minute, 0))
		firstCtx, cancelFirst := context.WithCancel(ctx)
		defer cancelFirst()
		f.send(firstCtx, query("first"))
		Eventually(f.runCount).Should(Equal(1))
		_, err := f.client.Query(ctx, f.address, query("second"))
		Expect(err).To(beFailure(wire.NotRun, wire.Overconnected))
	})

	It("reports a query as not run if all connections of the client stay in use until its deadline", func(ctx SpecContext) {
		f := startFixture(target.WithServiceTime(time.Minute, 0))
		client := wire.NewClient(timer.New(timer.WithClock(f.clock)), wire.WithConnections(1))
		saturated := make(chan netip.AddrPort, 1)
		client.OnBound = func(address netip.AddrPort) { saturated <- address }
		f.client = client
		first := f.send(ctx, query("first"))
		Eventually(f.runCount).Should(Equal(1))
		short := query("second")
		short.Timeout /= 2
		second := f.send(ctx, short)
		Expect(f.clock.BlockUntilContext(ctx, 4)).To(Succeed(), "three timers of the first query, the deadline of the second")
		f.clock.Advance(timeout * 3 / 4)
		Eventually(second).Should(Receive(HaveField("Err", beFailure(wire.NotRun, wire.TooLate))))
		Expect(saturated).To(Receive(Equal(f.address)))
		Expect(f.target.Journal().Connections).To(Equal(1))
		f.clock.Advance(timeout)
		// The clock passes the deadlines of the client and of the target, so either the client's timeout or the target's refusal
		// ends the query.
		Eventually(first).Should(Receive(HaveField("Err", HaveField("Outcome", wire.Unknown))))
	})

	It("multiplies service times by the factors of a cold start and of slow queries", func(ctx SpecContext) {
		f := startFixture(target.WithServiceTime(time.Millisecond, 0), target.WithColdStart(time.Second, 4))
		Expect(f.target.Report().Cold).To(BeTrue())
		done := f.send(ctx, query("cold"))
		Eventually(f.runCount).Should(Equal(1))
		Expect(f.clock.BlockUntilContext(ctx, 3)).To(Succeed(), "a deadline on each side and the service time")
		f.clock.Advance(3 * time.Millisecond)
		Consistently(done, "20ms").ShouldNot(Receive())
		f.clock.Advance(time.Millisecond)
		Eventually(done).Should(Receive(HaveField("Err", BeNil())))
		f.clock.Advance(time.Second)
		Expect(f.target.Report().Cold).To(BeFalse())

		Expect(f.target.SetFault(target.Fault{SlowFraction: 1, SlowFactor: 3})).To(Succeed())
		done = f.send(ctx, query("slow"))
		Eventually(f.runCount).Should(Equal(2))
		Expect(f.clock.BlockUntilContext(ctx, 3)).To(Succeed())
		f.clock.Advance(2 * time.Millisecond)
		Consistently(done, "20ms").ShouldNot(Receive())
		f.clock.Advance(time.Millisecond)
		Eventually(done).Should(Receive(HaveField("Err", BeNil())))
	})

	It("accepts faults and serves the journal over HTTP, and rejects invalid and unknown fields of faults", func(ctx SpecContext) {
		f := startFixture()
		put := func(body string) int {
			r, err := http.NewRequestWithContext(
				ctx, http.MethodPut, "http://"+f.address.String()+target.FaultPath, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(put(`{"SilenceConnections":true,"AddHolding":{"Version":8,"Shard":0,"Shards":2}}`)).To(Equal(http.StatusNoContent))
		Expect(f.target.Report().Holdings).To(HaveLen(2))
		Expect(put(`{"SlowFraction":2}`)).To(Equal(http.StatusBadRequest))
		Expect(put(`{"Surprise":true}`)).To(Equal(http.StatusBadRequest))

		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address.String()+target.JournalPath, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var journal target.Journal
		Expect(json.NewDecoder(response.Body).Decode(&journal)).To(Succeed())
		Expect(journal.Incarnation).To(Equal(f.target.Report().Incarnation))
		http.DefaultClient.CloseIdleConnections()
	})
})
