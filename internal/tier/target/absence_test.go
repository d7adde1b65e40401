package target_test

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// refusal returns the bytes of a response that refuses the request with the given ID and names a time.
func refusal(id string, status int, after time.Duration) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest: %s\r\nNot-Run: 1\r\nAfter: %v\r\nContent-Length: 0\r\n\r\n", status, id, after)
}

var _ = Describe("A target that refuses a request and names a time to come back", func() {
	send := func(l *target.Link, id string) target.Result { return l.Send(newCall(id), &target.Cancel{}) }
	reserve := func(l *target.Link, maxWait time.Duration) bool {
		_, ok := l.Reserve(time.Now(), maxWait)

		return ok
	}

	It("gets no requests until then, and none that waited", func() {
		l := newLink(startTarget(func(_ int, id string) string { return refusal(id, 503, 300*time.Millisecond) }))
		send(l, "r1")
		Expect(reserve(l, 0)).To(BeFalse())
		Expect(reserve(l, time.Minute)).To(BeFalse())
		Expect(l.TurnIn(time.Now())).To(BeNumerically("~", 300*time.Millisecond, 50*time.Millisecond))
		Eventually(func() bool { return reserve(l, 0) }, "1s", "10ms").Should(BeTrue())
	})

	It("does not get a burst when the time has passed, but twice as many requests after each success", func() {
		var refusing atomic.Bool
		refusing.Store(true)
		l := newLink(startTarget(func(_ int, id string) string {
			if refusing.Load() {
				return refusal(id, 503, 50*time.Millisecond)
			}

			return okResponse(id, "x")
		}))
		send(l, "r1")
		refusing.Store(false)
		time.Sleep(60 * time.Millisecond)
		for round, allowed := range []int{1, 2, 4} {
			for range allowed {
				Expect(reserve(l, 0)).To(BeTrue(), "round %d", round)
			}
			Expect(reserve(l, 0)).To(BeFalse(), "round %d", round)
			for range allowed {
				l.Refund()
			}
			send(l, "r2")
		}
	})

	It("gets none either if the attempt that it refused was cancelled before the refusal arrived (BUDGET)", func() {
		answered, cancelled := make(chan struct{}, 1), make(chan struct{})
		server := startTarget(func(n int, id string) string {
			if n == 1 {
				return okResponse(id, "x")
			}
			answered <- struct{}{}
			<-cancelled

			return refusal(id, 503, time.Minute)
		})
		// The time of the instance stands still, so that a busy machine is not slower than the refusal may be.
		pool := target.NewPool(codec, timer.New(timer.WithClock(clockwork.NewFakeClockAt(time.Now()))))
		DeferCleanup(pool.Close)
		pool.Update(directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: server.address, Slots: 2}}))
		l := pool.Links(nil, "s")[0]
		send(l, "r1")
		var cancel target.Cancel
		result := make(chan target.Result, 1)
		go func() { result <- l.Send(newCall("r2"), &cancel) }()
		<-answered
		cancel.Cancel()
		close(cancelled)
		Expect((<-result).Cancelled).To(BeTrue())
		Expect(l.TurnIn(time.Now())).To(BeNumerically(">", 50*time.Second))
		Expect(reserve(l, 0)).To(BeFalse())
	})

	It("closes the connection of a cancelled attempt that it neither refuses nor answers, so that the target drops the request (GONE)", func() {
		received := make(chan struct{}, 1)
		server := startTarget(func(int, string) string {
			received <- struct{}{}

			return "hang"
		})
		l := newLink(server)
		var cancel target.Cancel
		go func() { l.Send(newCall("r1"), &cancel) }()
		<-received
		cancel.Cancel()
		Eventually(func() int {
			_, _, closed := server.counts()

			return closed
		}, "5s", "5ms").Should(Equal(1))
	})

	It("does not get the requests that waited for a connection meanwhile", func() {
		server := startTarget(func(n int, id string) string {
			time.Sleep(50 * time.Millisecond)

			return refusal(id, 503, time.Minute)
		})
		l := newLink(server, target.WithConnections(func(string) int { return 1 }))
		results := make(chan target.Result, 4)
		for n := range cap(results) {
			go func() { results <- send(l, fmt.Sprint("r", n)) }()
		}
		for range cap(results) {
			Expect(<-results).To(HaveField("Outcome", target.NotRun))
		}
		requests, _, _ := server.counts()
		Expect(requests).To(Equal(1))
	})

	It("is not forgotten if its entry is missing for a while", func() {
		server := startTarget(func(_ int, id string) string { return refusal(id, 503, time.Minute) })
		pool := target.NewPool(codec, timer.New())
		DeferCleanup(pool.Close)
		entry := directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: server.address, Slots: 2}})
		pool.Update(entry)
		send(pool.Links(nil, "s")[0], "r1")
		pool.Update(directory.New(nil))
		pool.Update(entry)
		Expect(reserve(pool.Links(nil, "s")[0], 0)).To(BeFalse())
	})

	It("is not avoided if it names a time with another status", func() {
		l := newLink(startTarget(func(_ int, id string) string { return refusal(id, 429, time.Minute) }))
		send(l, "r1")
		Expect(reserve(l, 0)).To(BeTrue())
	})
})
