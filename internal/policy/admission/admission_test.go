package admission_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/admission"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "admission")
}

func service(callerName string, worth float64, firstPort, replicas int) contract.Service {
	s := contract.Service{Caller: callerName, Class: contract.FullPage, Deadline: duration.Duration(time.Second), Worth: worth}
	for i := range replicas {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+i))
		s.Replicas = append(s.Replicas, contract.Replica{Address: address})
	}

	return s
}

func codeOf(err error) caller.Code {
	if err == nil {
		return ""
	}
	var refusal *caller.Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue())
	Expect(refusal.Outcome).To(Equal(target.NotRun))

	return refusal.Code
}

var _ = Describe("Controller", func() {
	var clock *clockwork.FakeClock
	var timers *timer.Service
	var log bytes.Buffer
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		timers = timer.New(timer.WithClock(clock))
		log.Reset()
	})
	create := func(options ...admission.Option) *admission.Controller {
		return admission.New(timers, append(options, admission.WithLog(event.New(&log, timers.Now)))...)
	}
	admit := func(c *admission.Controller, name string, s contract.Service) (func(admission.Result), error) {
		return c.Admit(context.Background(), name, s)
	}
	// admitted returns how many of n requests, one after the other, are admitted.
	admitted := func(c *admission.Controller, n int, name string, s contract.Service) int {
		count := 0
		for range n {
			done, err := admit(c, name, s)
			if err != nil {
				Expect(codeOf(err)).To(Equal(caller.Overloaded))

				continue
			}
			count++
			done(admission.Result{Answered: true})
		}

		return count
	}
	// reportDelay reports a queue delay for every window of the given time.
	reportDelay := func(c *admission.Controller, name string, delay, total time.Duration) {
		for range total / (100 * time.Millisecond) {
			c.Observe(name, delay)
			clock.Advance(100 * time.Millisecond)
		}
	}
	// enqueue starts a request that waits, and sends its name to order when it runs.
	enqueue := func(ctx context.Context, c *admission.Controller, name string, s contract.Service, order chan<- string) <-chan error {
		waiting := c.Stats().Queued
		ended := make(chan error, 1)
		go func() {
			done, err := c.Admit(ctx, name, s)
			if err == nil {
				order <- name
				done(admission.Result{Answered: true})
			}
			ended <- err
		}()
		Eventually(func() int { return c.Stats().Queued }).WithTimeout(time.Minute).Should(Equal(waiting + 1))

		return ended
	}

	Describe("under overload of targets", func() {
		// longDelay is twice the queue delay above which the threshold rises, which is 0.3 of the deadline of 1 s.
		const longDelay = 600 * time.Millisecond
		low, high, other := service("a", 1, 7000, 4), service("a", 10, 7002, 4), service("a", 1, 7100, 4)
		var c *admission.Controller
		BeforeEach(func() {
			c = create()
			for name, s := range map[string]contract.Service{"low": low, "high": high, "other": other} {
				Expect(admitted(c, 100, name, s)).To(Equal(100))
			}
		})

		It("refuses the lowest worth first, for all services on the same targets and no others", func() {
			reportDelay(c, "high", longDelay, time.Second)
			Expect(c.Threshold("low")).To(Equal(10.0))
			Expect(admitted(c, 1000, "low", low)).To(BeNumerically("~", 10, 2))
			Expect(admitted(c, 1000, "high", high)).To(Equal(1000))
			Expect(admitted(c, 1000, "other", other)).To(Equal(1000))
			Expect([]bool{c.Overloaded("low"), c.Overloaded("high"), c.Overloaded("other")}).To(Equal([]bool{true, true, false}))
		})

		It("raises the refused share of one worth gradually, so that requests of equal worth are not refused all at once", func() {
			reportDelay(c, "other", longDelay, 500*time.Millisecond)
			Expect(admitted(c, 1000, "other", other)).To(BeNumerically("~", 500, 2))
		})

		DescribeTable("admits at least 1% of the requests of each service at the highest threshold, so that no service starves",
			func(report func()) {
				for range 100 {
					report()
					clock.Advance(100 * time.Millisecond)
				}
				Expect(c.Threshold("low")).To(Equal(math.Inf(1)))
				Expect(admitted(c, 10000, "low", low)).To(BeNumerically(">=", 100))
				Expect(admitted(c, 10000, "high", high)).To(BeNumerically(">=", 100))
				Expect(c.Stats().LetThrough).To(BeNumerically(">=", 200))
			},
			Entry("when targets report long queue delays", func() { c.Observe("low", time.Second) }),
			Entry("when targets refuse requests", func() { c.ObserveRefusal("low") }),
		)

		It("admits all requests again when the overload has ended, with and without new observations", func() {
			reportDelay(c, "high", longDelay, 2*time.Second)
			Expect(c.Overloaded("high")).To(BeTrue())
			reportDelay(c, "high", 0, 10*time.Second)
			Expect(c.Overloaded("low")).To(BeFalse())
			Expect(admitted(c, 1000, "low", low)).To(Equal(1000))
			reportDelay(c, "high", longDelay, 2*time.Second)
			clock.Advance(time.Minute)
			Expect(admitted(c, 1000, "low", low)).To(Equal(1000))
			Expect(log.String()).To(MatchRegexp(`(?s)OverloadBegan Services=high,low .*OverloadEnded.*OverloadBegan.*OverloadEnded`))
		})

		It("detects no overload from short queue delays and few refusals", func() {
			for range 100 {
				for range 19 {
					c.Observe("low", longDelay/5)
				}
				c.ObserveRefusal("low")
				clock.Advance(100 * time.Millisecond)
			}
			Expect(c.Overloaded("low")).To(BeFalse())
		})

		It("keeps the level for a time once the lowest worth is refused, so that a backlog does not affect the next worth", func() {
			reportDelay(c, "high", longDelay, 1300*time.Millisecond)
			Expect(c.Threshold("low")).To(Equal(10.0))
			Expect(admitted(c, 1000, "high", high)).To(Equal(1000))
			reportDelay(c, "high", longDelay, time.Second)
			Expect(admitted(c, 1000, "high", high)).To(BeNumerically("<", 1000))
		})

		It("keeps the threshold when the contract changes, so that not all requests are admitted during an overload", func() {
			reportDelay(c, "high", longDelay, time.Second)
			changed := service("a", 2, 7000, 4)
			Expect(admitted(c, 1000, "low", changed)).To(BeNumerically("~", 10, 2))
		})
	})

	Describe("with a window of target requests in flight", func() {
		low, high, other := service("a", 1, 7000, 4), service("a", 10, 7000, 4), service("a", 1, 7100, 4)
		low.Slots, high.Slots, other.Slots = 2, 2, 2
		var c *admission.Controller
		// fill admits requests until one is refused, and returns the done functions of the admitted ones.
		fill := func(name string, s contract.Service) (done []func(admission.Result)) {
			for range 100 {
				d, err := admit(c, name, s)
				if err != nil {
					Expect(codeOf(err)).To(Equal(caller.Overloaded))

					break
				}
				done = append(done, d)
			}

			return done
		}
		BeforeEach(func() {
			c = create(admission.WithInstances(func() int { return 2 }))
			for name, s := range map[string]contract.Service{"low": low, "high": high, "other": other} {
				Expect(admitted(c, 1, name, s)).To(Equal(1))
				c.ObserveShards(name, 2)
			}
		})

		It("reserves half of the window for worths above the lowest, and counts each group of services separately", func() {
			// Two instances share a window of 8 target requests for each of 8 slots, and each request uses 2 shards.
			Expect(fill("low", low)).To(HaveLen(8))
			Expect(fill("high", high)).To(HaveLen(8))
			Expect(fill("other", other)).To(HaveLen(16))
		})

		It("admits requests again when others have ended, and reports overload for one second after the window was full", func() {
			for _, done := range fill("high", high) {
				done(admission.Result{Answered: true})
			}
			Expect(c.Overloaded("low")).To(BeTrue())
			Expect(fill("high", high)).To(HaveLen(16))
			clock.Advance(time.Minute)
			Expect(c.Overloaded("low")).To(BeFalse())
		})

		It("admits one request at a time when the cost of a request exceeds the window", func() {
			c.ObserveShards("high", 1000)
			Expect(fill("high", high)).To(HaveLen(1))
		})
	})

	Describe("with a full instance", func() {
		small, large := service("a", 1, 7000, 1), service("b", 1, 7100, 1)

		DescribeTable("serves callers by weighted fair queueing, regardless of the order of arrival",
			func(a, b contract.Service, options []admission.Option, want string) {
				c := create(append(options, admission.WithRunning(1))...)
				release, err := admit(c, "a", a)
				Expect(err).NotTo(HaveOccurred())
				order := make(chan string, 9)
				for range 6 {
					enqueue(context.Background(), c, "a", a, order)
				}
				for range 3 {
					enqueue(context.Background(), c, "b", b, order)
				}
				release(admission.Result{})
				got := ""
				for range 9 {
					got += <-order
				}
				Expect(got).To(Equal(want))
			},
			Entry("callers of equal weight alternate", small, large, nil, "abababaaa"),
			Entry("a caller of double weight is served twice as often", small, large,
				[]admission.Option{admission.WithWeight("a", 2)}, "abaabaaba"),
			Entry("a caller whose requests use more targets is served less often",
				service("a", 1, 7000, 3), large, nil, "abbbaaaaa"),
			Entry("a higher worth does not increase the share of a caller",
				service("a", 9, 7000, 1), large, nil, "abababaaa"),
		)

		It("gives a caller no priority for the time in which it sent no requests", func() {
			c := create(admission.WithRunning(1))
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			order := make(chan string)
			for range 6 {
				enqueue(context.Background(), c, "a", small, order)
			}
			release(admission.Result{})
			for range 3 {
				Expect(<-order).To(Equal("a"))
			}
			Eventually(func() int { return c.Stats().Queued }).WithTimeout(time.Minute).Should(Equal(2))
			for range 3 {
				enqueue(context.Background(), c, "b", large, order)
			}
			got := ""
			for range 6 {
				got += <-order
			}
			Expect(got).To(Equal("ababab"))
		})

		It("bounds the queue of each caller separately, and evicts a request for one of higher worth", func() {
			c := create(admission.WithRunning(1), admission.WithQueue(1))
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			order := make(chan string, 3)
			first := enqueue(context.Background(), c, "a", small, order)
			enqueue(context.Background(), c, "b", large, order)
			_, err = admit(c, "a", small)
			Expect(err).To(MatchError("Overloaded (NotRun): the queue is full"))
			higherWorth := make(chan error, 1)
			go func() {
				done, err := admit(c, "higher", service("a", 2, 7200, 1))
				if err == nil {
					done(admission.Result{})
				}
				higherWorth <- err
			}()
			Expect(<-first).To(MatchError("Overloaded (NotRun): a request of higher worth took its place in the queue"))
			release(admission.Result{})
			Expect(<-higherWorth).NotTo(HaveOccurred())
			Expect(c.Stats().QueueFull).To(Equal(uint64(2)))
		})

		It("refuses the requests of a new caller when the bound on callers is reached", func() {
			c := create(admission.WithRunning(1), admission.WithCallers(1))
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			defer release(admission.Result{})
			enqueue(context.Background(), c, "a", small, make(chan string, 1))
			_, err = admit(c, "b", large)
			Expect(codeOf(err)).To(Equal(caller.Overloaded))
		})

		It("raises a threshold when requests are refused because the queue of the controller is full", func() {
			c := create(admission.WithRunning(1), admission.WithQueue(1))
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			enqueue(context.Background(), c, "a", small, make(chan string, 1))
			for range 5 {
				for range 10 {
					_, err = admit(c, "a", small)
					Expect(codeOf(err)).To(Equal(caller.Overloaded))
				}
				clock.Advance(100 * time.Millisecond)
			}
			Expect(c.Overloaded("a")).To(BeTrue())
			Expect(c.Stats().Shed).To(BeNumerically(">", 0))
			release(admission.Result{})
		})

		It("limits the wait to the deadline less the expected duration of a request", func() {
			c := create(admission.WithRunning(1))
			for range 100 {
				done, err := admit(c, "a", small)
				Expect(err).NotTo(HaveOccurred())
				clock.Advance(200 * time.Millisecond)
				done(admission.Result{Answered: true})
			}
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			waiting := enqueue(context.Background(), c, "a", small, make(chan string, 1))
			clock.Advance(799 * time.Millisecond)
			Consistently(waiting).ShouldNot(Receive())
			clock.Advance(time.Millisecond + time.Second/100)
			Expect(<-waiting).To(MatchError("TooLate (NotRun): no time remained while the request waited"))

			ctx, cancel := timers.WithTimeout(context.Background(), 190*time.Millisecond)
			defer cancel()
			_, err = c.Admit(ctx, "a", small)
			Expect(err).To(MatchError("TooLate (NotRun): too little time remains"))
			release(admission.Result{})
			Expect(c.Stats().Running).To(Equal(0))
		})

		It("refuses a cancelled request and frees its place in the queue", func() {
			c := create(admission.WithRunning(1))
			release, err := admit(c, "a", small)
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			waiting := enqueue(ctx, c, "a", small, make(chan string, 1))
			cancel()
			Expect(<-waiting).To(MatchError("TooLate (NotRun): the request was cancelled while it waited"))
			_, err = c.Admit(ctx, "a", small)
			Expect(err).To(MatchError("TooLate (NotRun): the request was cancelled"))
			release(admission.Result{})
			release(admission.Result{})
			Expect(c.Stats()).To(Equal(admission.Stats{Callers: 1, Admitted: 1, TooLate: 2}), "a second call of done must not free a second place")
		})
	})

	It("frees the place of each request exactly once when admissions, cancellations and deadlines coincide", func() {
		c := admission.New(timer.New(), admission.WithRunning(3), admission.WithQueue(20))
		s := service("a", 1, 7000, 1)
		s.Deadline = duration.Duration(20 * time.Millisecond)
		var group sync.WaitGroup
		running := make(chan struct{}, 3)
		for i := range 400 {
			group.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				s := s
				s.Caller = fmt.Sprintf("caller-%d", i%5)
				if i%3 == 0 {
					go cancel()
				}
				defer cancel()
				done, err := c.Admit(ctx, "a", s)
				if err != nil {
					return
				}
				select {
				case running <- struct{}{}:
					<-running
				default:
					panic("more requests run than the bound allows")
				}
				done(admission.Result{Answered: i%2 == 0})
			})
		}
		group.Wait()
		Expect([]int{c.Stats().Running, c.Stats().Queued}).To(Equal([]int{0, 0}))
	})
})
