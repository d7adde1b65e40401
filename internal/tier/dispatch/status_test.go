package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// replyRaw returns a handler that answers with the bytes of a response of the given status, which net/http would not write, and leaves the
// connection open until done is closed, as if another head could follow.
func replyRaw(status string, done <-chan struct{}) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nRequest: %s\r\nStamp: raw\r\nContent-Length: 16\r\n\r\n%-16s", status, r.Header.Get("Request"), "x")
		<-done
		_ = c.Close()
	}
}

var _ = Describe("A response with a status that is none of a response (MIXED)", func() {
	DescribeTable("reaches no caller as an answer, and another replica is asked where that does no harm",
		func(status string) {
			done := make(chan struct{})
			d := newDispatcher(options{allowance: 10, preferred: "bad"},
				newBackend("s1", "bad", replyRaw(status, done)), newBackend("s1", "well", reply("well", "x")))
			read := *forwardRoute()
			read.Timeout = 20 * time.Second
			answer := d.Forward(context.Background(), query(&read))
			Expect(answer.Status).To(Equal(dispatch.Answered))
			Expect(answer.Result.Reply.Stamp).To(Equal("well"))
			gathered := d.Gather(context.Background(), query(gatherRoute(1, "s1")))
			Expect(gathered.Stamps).To(Equal([]string{"well"}))

			write := read
			write.Idempotent = false
			alone := newDispatcher(options{allowance: 10}, newBackend("s1", "bad", replyRaw(status, done)))
			// The servers wait for their handlers when they are closed.
			DeferCleanup(func() { close(done) })
			answer = alone.Forward(context.Background(), query(&write))
			Expect(answer.Status).To(Equal(dispatch.Unknown), "it may have run")
			Expect(answer.Result.ForwardableError()).To(BeFalse())
		},
		Entry("000", "000"), Entry("+20", "+20"), Entry("099", "099"), Entry("101", "101"), Entry("600", "600"), Entry("999", "999"),
	)
})
