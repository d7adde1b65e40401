package dispatch_test

import (
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// replyWith returns a handler that answers with a status and headers, and the body of a target that has run the request.
func replyWith(status int, headers ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		for k := 0; k < len(headers); k += 2 {
			w.Header().Set(headers[k], headers[k+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "0123456789abcdef")
	}
}

var _ = Describe("A request to one target, whose answer cannot be passed on", func() {
	DescribeTable("may have been run, and is not sent again if it is not idempotent",
		func(idempotent bool, attempts int, status int, headers ...string) {
			a, b := newBackend("s", "a", replyWith(status, headers...)), newBackend("s", "b", replyWith(status, headers...))
			d := newDispatcher(options{allowance: 10}, a, b)
			r := gatherRoute(1, "s")
			r.Gather, r.Service, r.Idempotent = nil, "s", idempotent
			answer := d.Forward(context.Background(), query(r))
			Expect(answer.Status).To(Equal(dispatch.Unknown))
			Expect(answer.Result.ForwardableError()).To(BeFalse())
			Expect(a.requests.Load() + b.requests.Load()).To(BeEquivalentTo(attempts))
		},
		Entry("a success in an encoding that was not asked for", false, 1, 200, "Stamp", "s", "Content-Encoding", "gzip"),
		Entry("a success without a stamp", false, 1, 200),
		Entry("an error in an encoding that was not asked for", false, 1, 500, "Stamp", "s", "Content-Encoding", "gzip"),
		Entry("a 503 of a target that does not state that it has not run it", false, 1, 503, "Stamp", "s"),
		Entry("a 429 of such a target", false, 1, 429, "Stamp", "s"),
		Entry("several 503 of such targets", true, 2, 503, "Stamp", "s"),
		Entry("several successes in an encoding that was not asked for", true, 2, 200, "Stamp", "s", "Content-Encoding", "gzip"),
		Entry("several successes without a stamp", true, 2, 200),
	)

	It("is answered with the error of a target that has run it", func() {
		a := newBackend("s", "a", replyWith(500, "Stamp", "s"))
		d := newDispatcher(options{allowance: 10}, a)
		r := gatherRoute(1, "s")
		r.Gather, r.Service, r.Idempotent = nil, "s", false
		answer := d.Forward(context.Background(), query(r))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Result.ForwardableError()).To(BeTrue())
	})
})
