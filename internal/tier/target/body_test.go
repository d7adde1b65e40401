package target_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// receivedRequest is a request as a target has received it.
type receivedRequest struct {
	method, path, id string
	body             []byte
}

// startRecordingTarget starts a target that answers each request once it has received it whole.
func startRecordingTarget() (address netip.AddrPort, received chan receivedRequest) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	received = make(chan receivedRequest, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, err := io.ReadAll(request.Body)
					if err != nil {
						return
					}
					r := receivedRequest{method: request.Method, path: request.URL.Path, id: request.Header.Get("Request"), body: body}
					received <- r
					if _, err := io.WriteString(c, okResponse(r.id, "part")); err != nil {
						return
					}
				}
			}()
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String()), received
}

var _ = Describe("The request that a target receives", func() {
	DescribeTable("has the body of the call and its length, also after others on the same connection", func(method string, size int) {
		address, received := startRecordingTarget()
		l := newLink(&fakeTarget{address: address})
		for _, id := range []string{"r1", "r2", "r3"} {
			call := newCall(id)
			call.Method, call.Body = method, bytes.Repeat([]byte(id), size)[:size]
			call.Head = []byte(strings.Replace(string(call.Head), "GET", method, 1))
			Expect(l.Send(call, &target.Cancel{})).To(HaveField("Outcome", target.Answered))
			r := <-received
			Expect(r.method + " " + r.path + " " + r.id).To(Equal(method + " /x " + id))
			Expect(string(r.body)).To(Equal(string(call.Body)))
		}
	},
		Entry("GET without a body", http.MethodGet, 0),
		Entry("GET with a body", http.MethodGet, 9),
		Entry("POST without a body", http.MethodPost, 0),
		Entry("POST with 1 byte", http.MethodPost, 1),
		Entry("PUT with a body that is written beside the reading of the answer", http.MethodPut, 40000),
	)
})
