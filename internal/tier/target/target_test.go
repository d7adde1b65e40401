package target_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

// codec uses header names of its own, because the package under test does not depend on those of a platform.
var codec = target.Codec{
	AppendAttempt: func(head []byte, remaining time.Duration, id string) []byte {
		return fmt.Appendf(head, "Remaining-Ms: %d\r\nTarget: %s\r\n", remaining.Milliseconds(), id)
	},
	DecodeReply: func(header http.Header) (target.Reply, error) {
		reply := target.Reply{
			Stamp: header.Get("Stamp"), RequestID: header.Get("Request"), NotRun: header.Get("Not-Run") != "",
			Leaving: header.Get("Leaving") != "",
		}
		if after, err := time.ParseDuration(header.Get("After")); err == nil {
			reply.RetryAfter = after
		}
		if load := header.Get("Load"); load != "" {
			reply.Fault = fmt.Errorf("Load: %q", load)
		}
		if limit := header.Get("Limit"); limit != "" {
			perSecond, err := strconv.ParseFloat(limit, 64)
			reply.RateLimitInvalid = err != nil
			if err == nil {
				reply.RateLimit = &perSecond
			}
		}

		return reply, nil
	},
}

// fakeTarget is a target that responds to each request with raw bytes, and counts requests and connections.
type fakeTarget struct {
	address netip.AddrPort
	// closeAfter makes the target close each connection after a response.
	closeAfter bool

	mu       sync.Mutex
	requests []string
	opened   int
	closed   int
}

// startTarget starts a target. For its n-th request, which has the given ID, it writes the bytes that answer returns. If answer
// returns an empty string, it closes the connection. If answer returns "hang", it writes nothing until the client closes the
// connection.
func startTarget(answer func(n int, id string) string) *fakeTarget {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &fakeTarget{address: netip.MustParseAddrPort(listener.Addr().String())}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.opened++
			t.mu.Unlock()
			go t.handle(c, answer)
		}
	}()

	return t
}

func (t *fakeTarget) handle(c net.Conn, answer func(n int, id string) string) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		t.closed++
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request")
		t.mu.Lock()
		t.requests = append(t.requests, id)
		n := len(t.requests)
		t.mu.Unlock()
		text := answer(n, id)
		if text == "" {
			return
		}
		if text == "hang" {
			_, _ = reader.ReadByte()

			return
		}
		if _, err := c.Write([]byte(text)); err != nil || t.closeAfter {
			return
		}
	}
}

func (t *fakeTarget) counts() (requests, opened, closed int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.requests), t.opened, t.closed
}

// okResponse returns the bytes of a response to the request with the given ID.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newLink returns the link to the given target of a pool that has no other targets.
func newLink(t *fakeTarget, options ...target.Option) *target.Link {
	pool := target.NewPool(codec, timer.New(), options...)
	pool.Update(directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: t.address, Slots: 2}}))
	DeferCleanup(pool.Close)
	links := pool.Links(nil, "s")
	Expect(links).To(HaveLen(1))

	return links[0]
}

// newCall returns a GET request with the given ID.
func newCall(id string) *target.Call {
	return &target.Call{
		Route: "r", RequestID: id, Method: http.MethodGet, Deadline: time.Now().Add(5 * time.Second),
		Head: []byte("GET /x HTTP/1.1\r\nHost: a\r\nRequest: " + id + "\r\n"),
	}
}

var _ = Describe("Send", func() {
	It("reads the complete response and reuses the connection for the next request", func() {
		server := startTarget(func(_ int, id string) string { return okResponse(id, "body") })
		l := newLink(server)
		for i := range 3 {
			result := l.Send(newCall(fmt.Sprint("r", i)), &target.Cancel{})
			Expect(result.Err).NotTo(HaveOccurred())
			Expect(result.Success()).To(BeTrue())
			Expect(string(result.Body)).To(Equal("body"))
		}
		_, opened, _ := server.counts()
		Expect(opened).To(Equal(1))
	})

	DescribeTable("derives the outcome of an attempt from the bytes that the target sends",
		func(answer string, outcome target.Outcome, success bool) {
			server := startTarget(func(int, string) string { return answer })
			result := newLink(server).Send(newCall("r1"), &target.Cancel{})
			Expect(result.Outcome).To(Equal(outcome))
			Expect(result.Success()).To(Equal(success))
		},
		Entry("a truncated body leaves open whether the request was executed",
			"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbo", target.Unknown, false),
		Entry("a malformed response leaves open whether the request was executed", "garbage\r\n\r\n", target.Unknown, false),
		Entry("a connection closed without a response leaves open whether the request was executed", "", target.Unknown, false),
		Entry("a response with the header Not-Run means that the request was not executed",
			"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", target.NotRun, false),
		Entry("a misdirected request (status 421) was not executed, because another process answers at the address",
			"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", target.NotRun, false),
		Entry("a status 500 that does not state that the request was not executed counts as an answer",
			"HTTP/1.1 500 Failed\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n", target.Answered, false),
	)

	It("accepts a response with a malformed load header, and logs that header to explain the missing load", func() {
		server := startTarget(func(_ int, id string) string {
			return strings.Replace(okResponse(id, "body"), "Stamp: s", "Stamp: s\r\nLoad: many", 1)
		})
		var lines bytes.Buffer
		result := newLink(server, target.WithLog(event.New(&lines, time.Now))).Send(newCall("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		Expect(lines.String()).To(And(
			ContainSubstring("Name=HeadersRejected"), ContainSubstring("many"), ContainSubstring("Request=r1"),
		))
	})

	It("discards a late response to an earlier request, so that no caller receives the answer to another request", func() {
		server := startTarget(func(n int, id string) string {
			if n == 2 {
				return okResponse("r1", "old") + okResponse(id, "new")
			}

			return okResponse(id, "first")
		})
		l := newLink(server)
		l.Send(newCall("r1"), &target.Cancel{})
		result := l.Send(newCall("r2"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		Expect(string(result.Body)).To(Equal("new"))
	})

	It("does not reuse a connection on which more bytes follow the response", func() {
		server := startTarget(func(_ int, id string) string { return okResponse(id, "a") + "extra" })
		l := newLink(server)
		l.Send(newCall("r1"), &target.Cancel{})
		second := l.Send(newCall("r2"), &target.Cancel{})
		Expect(second.Success()).To(BeTrue())
		_, opened, _ := server.counts()
		Expect(opened).To(Equal(2))
	})

	It("closes the connection of a cancelled attempt, so that the target drops the request", func() {
		server := startTarget(func(int, string) string { return "hang" })
		l := newLink(server)
		cancel := &target.Cancel{}
		done := make(chan target.Result, 1)
		go func() { done <- l.Send(newCall("r1"), cancel) }()
		Eventually(func() int { n, _, _ := server.counts(); return n }).Should(Equal(1))
		cancel.Cancel()
		var result target.Result
		Eventually(done).Should(Receive(&result))
		Expect(result.Cancelled).To(BeTrue())
		Expect(result.Outcome).To(Equal(target.Unknown))
		Eventually(func() int { _, _, closed := server.counts(); return closed }).Should(Equal(1))
	})

	It("opens no more connections than the limit, because a target resets excess connections", func() {
		release := make(chan struct{})
		server := startTarget(func(_ int, id string) string { <-release; return okResponse(id, "a") })
		l := newLink(server, target.WithConnections(func(string) int { return 2 }))
		done := make(chan target.Result, 5)
		for i := range 5 {
			go func() { done <- l.Send(newCall(fmt.Sprint("r", i)), &target.Cancel{}) }()
		}
		Eventually(func() int { n, _, _ := server.counts(); return n }).Should(Equal(2))
		Consistently(func() int { _, opened, _ := server.counts(); return opened }, "100ms").Should(Equal(2))
		close(release)
		for range 5 {
			var result target.Result
			Eventually(done, "2s").Should(Receive(&result))
			Expect(result.Success()).To(BeTrue())
		}
	})

	It("reports that a request was neither sent nor executed if no connection to the target can be opened", func() {
		pool := target.NewPool(codec, timer.New())
		pool.Update(directory.New([]*directory.Target{{
			ID: "i-2", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}}))
		result := pool.Links(nil, "s")[0].Send(newCall("r1"), &target.Cancel{})
		Expect(result.Outcome).To(Equal(target.NotRun))
		Expect(result.Sent).To(BeFalse())
	})
})

var _ = Describe("Pool", func() {
	entry := func(change func(*directory.Target)) *directory.Directory {
		t := &directory.Target{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1}
		change(t)

		return directory.New([]*directory.Target{t})
	}

	It("returns no link to a target that is draining or no longer in the directory, so that it receives no new requests", func() {
		pool := target.NewPool(codec, timer.New())
		pool.Update(entry(func(*directory.Target) {}))
		Expect(pool.Links(nil, "s")).To(HaveLen(1))
		pool.Update(entry(func(t *directory.Target) { t.Draining = true }))
		Expect(pool.Links(nil, "s")).To(BeEmpty())
		pool.Update(directory.New(nil))
		Expect(pool.Links(nil, "s")).To(BeEmpty())
	})

	It("replaces the link to a target that restarted under the same ID, so that old latencies and failures do not count", func() {
		pool := target.NewPool(codec, timer.New())
		pool.Update(entry(func(t *directory.Target) { t.Started = time.UnixMilli(1) }))
		first := pool.Links(nil, "s")[0]
		pool.Update(entry(func(t *directory.Target) { t.Started = time.UnixMilli(2) }))
		Expect(pool.Links(nil, "s")[0]).NotTo(BeIdenticalTo(first))
	})

	It("keeps the link when a heartbeat changes only the warm-up time, so that its connections stay open", func() {
		pool := target.NewPool(codec, timer.New())
		pool.Update(entry(func(t *directory.Target) { t.Warmup = time.Second }))
		first := pool.Links(nil, "s")[0]
		pool.Update(entry(func(*directory.Target) {}))
		Expect(pool.Links(nil, "s")[0]).To(BeIdenticalTo(first))
	})

	It("counts a connection that was opened in advance towards the limit, and uses it for the next request", func() {
		server := startTarget(func(_ int, id string) string { return okResponse(id, strings.Repeat("a", 10)) })
		pool := target.NewPool(codec, timer.New(), target.WithConnections(func(string) int { return 1 }))
		pool.Update(directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: server.address, Slots: 2}}))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = pool.KeepWarm(ctx, func(string) bool { return true }) }()
		Eventually(func() int { _, opened, _ := server.counts(); return opened }, "3s").Should(Equal(1))
		result := pool.Links(nil, "s")[0].Send(newCall("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		_, opened, _ := server.counts()
		Expect(opened).To(Equal(1))
	})
})
