package target_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// endlessTarget writes a head and then a chunk again and again, each after a pause, until the client closes the connection.
type endlessTarget struct {
	fakeTarget
	written atomic.Int64
	ended   chan struct{}
}

func startEndlessTarget(head, chunk string, pause time.Duration) *endlessTarget {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	t := &endlessTarget{ended: make(chan struct{})}
	t.address = netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(t.ended)
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		_, err = c.Write([]byte(head))
		for err == nil {
			var n int
			n, err = c.Write([]byte(chunk))
			t.written.Add(int64(n))
			time.Sleep(pause)
		}
	}()

	return t
}

// socketBuffers bounds the bytes that loopback sockets hold, which the target has written but nobody has read.
const socketBuffers = 16 << 20

var _ = DescribeTable("A target that sends bytes without end",
	func(head, chunk string, pause time.Duration) {
		t := startEndlessTarget(head, chunk, pause)
		l := newLink(&t.fakeTarget)
		call := newCall("r1")
		call.MaxReplyBytes = target.PartReplyBytes
		call.Deadline = time.Now().Add(500 * time.Millisecond)
		result := l.Send(call, &target.Cancel{})
		Expect(result.Success()).To(BeFalse())
		Expect(result.Outcome).To(Equal(target.Unknown))
		Expect(time.Now()).To(BeTemporally("<", call.Deadline.Add(200*time.Millisecond)), "the request ends in its time")
		Eventually(t.ended, "1s").Should(BeClosed(), "the connection is closed")
		Expect(t.written.Load()).To(BeNumerically("<", socketBuffers), "bytes that the target could send")
		Expect(l.Facts("r", time.Now()).Failures).To(BeNumerically(">", 0), "the target is avoided")
	},
	Entry("in a header line is cut off at 64 KB", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1<<16), time.Duration(0)),
	Entry("in ever more header lines is cut off at 64 KB", "HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1<<12), time.Duration(0)),
	Entry("in the status line is cut off at 64 KB", "HTTP/1.1 200 ", strings.Repeat("x", 1<<16), time.Duration(0)),
	Entry("in interim responses is cut off after eight", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), time.Duration(0)),
	Entry("in chunks is cut off at the limit of the body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", time.Duration(0)),
	Entry("in chunks of one byte is cut off at the limit of the body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("1\r\nx\r\n", 1<<12), time.Duration(0)),
	Entry("in a trailer is cut off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		strings.Repeat("A: b\r\n", 1<<12), time.Duration(0)),
	Entry("in a body without a length is cut off at its limit", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<16), time.Duration(0)),
	Entry("after a length that is over the limit is not read", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n",
		strings.Repeat("x", 1<<16), time.Duration(0)),
	Entry("one at a time in a header is cut off at the deadline", "HTTP/1.1 200 OK\r\nX: ", "x", 5*time.Millisecond),
	Entry("one at a time in a body is cut off at the deadline", "HTTP/1.1 200 OK\r\n\r\n", "x", 5*time.Millisecond),
	Entry("that are no HTTP response is cut off", "", strings.Repeat("garbage", 1<<12), time.Duration(0)),
)

var _ = Describe("A second copy of a response", func() {
	It("without a request ID, sent before the response to the next request, does not answer that request", func() {
		server := startTarget(func(n int, id string) string {
			if n == 2 {
				return "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 3\r\n\r\nold" + okResponse(id, "new")
			}

			return okResponse(id, "first")
		})
		l := newLink(server)
		l.Send(newCall("r1"), &target.Cancel{})
		result := l.Send(newCall("r2"), &target.Cancel{})
		Expect(string(result.Body)).NotTo(Equal("old"))
		Expect(result.Success()).To(BeFalse())
		third := l.Send(newCall("r3"), &target.Cancel{})
		Expect(third.Success()).To(BeTrue(), "on a new connection")
	})

	It("in the middle of the response ends the request without an answer, because its body is not the target's", func() {
		server := startTarget(func(_ int, id string) string {
			whole := okResponse(id, "0123456789")

			return whole[:len(whole)-5] + okResponse("old", "x") + whole[len(whole)-5:]
		})
		l := newLink(server)
		first := l.Send(newCall("r1"), &target.Cancel{})
		second := l.Send(newCall("r2"), &target.Cancel{})
		for _, result := range []target.Result{first, second} {
			Expect(string(result.Body)).NotTo(Equal("x"))
		}
		_, opened, _ := server.counts()
		Expect(opened).To(Equal(2), "the connection is not used again")
	})

	It("that arrives while its connection is idle makes the connection unusable", func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		var opened atomic.Int64
		copied := make(chan struct{}, 2)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				opened.Add(1)
				go func() {
					request, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					answer := []byte(okResponse(request.Header.Get("Request"), "a"))
					_, _ = c.Write(answer)
					time.Sleep(20 * time.Millisecond)
					_, _ = c.Write(answer)
					copied <- struct{}{}
				}()
			}
		}()
		l := newLink(&fakeTarget{address: netip.MustParseAddrPort(listener.Addr().String())})
		first := l.Send(newCall("r1"), &target.Cancel{})
		Expect(first.Success()).To(BeTrue())
		Eventually(copied).Should(Receive())
		time.Sleep(10 * time.Millisecond)
		second := l.Send(newCall("r2"), &target.Cancel{})
		Expect(second.Success()).To(BeTrue())
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})
})

var _ = Describe("Send", func() {
	DescribeTable("fails at a status that is none of a response, instead of passing it on or waiting for another head (MIXED)",
		func(status string) {
			server := startTarget(func(_ int, id string) string {
				return strings.Replace(okResponse(id, "body"), "200 OK", status, 1)
			})
			l := newLink(server)
			call := newCall("r1")
			call.Deadline = time.Now().Add(time.Minute)
			result := l.Send(call, &target.Cancel{})
			Expect(result.Outcome).To(Equal(target.Unknown))
			Expect(result.Status).To(BeZero())
			Expect(result.ForwardableError()).To(BeFalse())
			Expect(l.Facts("r", time.Now()).Failures).To(BeNumerically(">", 0))
		},
		Entry("000", "000 X"), Entry("+20", "+20 X"), Entry("099", "099 X"), Entry("101", "101 Switching Protocols"),
		Entry("600", "600 X"), Entry("999", "999 X"),
	)

	It("skips interim responses, because they do not answer the request", func() {
		server := startTarget(func(_ int, id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + okResponse(id, "body") })
		result := newLink(server).Send(newCall("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		Expect(string(result.Body)).To(Equal("body"))
	})

	It("accepts a response to HEAD that names the length of the body that it leaves out", func() {
		server := startTarget(func(_ int, id string) string {
			return "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nStamp: s\r\nContent-Length: 9\r\n\r\n"
		})
		call := newCall("r1")
		call.Method = http.MethodHead
		call.Head = bytes.Replace(call.Head, []byte("GET"), []byte("HEAD"), 1)
		result := newLink(server).Send(call, &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
	})
})
