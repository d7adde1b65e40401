package dispatch_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// refuse returns a handler that refuses requests and names a time to come back.
func refuse(after string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("After", after)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

var _ = Describe("A target that names a time to come back", func() {
	It("gets one request, and the other replica all others", func() {
		away, other := newBackend("s1", "a", refuse("10s")), newBackend("s1", "b", reply("p1", "x"))
		d := newDispatcher(options{allowance: 100, preferred: "a"}, away, other)
		for range 20 {
			Expect(d.Gather(context.Background(), query(gatherRoute(1, "s1"))).Status).To(Equal(dispatch.Answered))
		}
		Expect(away.requests.Load()).To(BeEquivalentTo(1))
	})

	It("makes requests end at once as not run, with the earliest time, if all replicas are away", func() {
		first, second := newBackend("s1", "a", refuse("10s")), newBackend("s1", "b", refuse("5s"))
		d := newDispatcher(options{allowance: 100}, first, second)
		forward := query(forwardRoute())
		d.Forward(context.Background(), forward)
		for _, answer := range []dispatch.Answer{
			d.Forward(context.Background(), query(forwardRoute())),
			d.Gather(context.Background(), query(gatherRoute(1, "s1"))),
		} {
			Expect(answer.Status).To(Equal(dispatch.NotRun))
			Expect(answer.TurnIn).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))
			Expect(answer.Attempts).To(BeZero())
		}
		Expect(first.requests.Load() + second.requests.Load()).To(BeEquivalentTo(2))
	})
})
