package target_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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

// codec uses names of its own, because this package does not know those of a platform.
var codec = target.Codec{
	AppendAttempt: func(head []byte, remaining time.Duration, id string) []byte {
		return fmt.Appendf(head, "Left: %d\r\nMeant: %s\r\n", remaining.Milliseconds(), id)
	},
	DecodeReply: func(header http.Header) (target.Reply, error) {
		reply := target.Reply{
			Stamp: header.Get("Stamp"), RequestID: header.Get("Request"), NotRun: header.Get("Not-Run") != "",
		}
		if load := header.Get("Load"); load != "" {
			reply.Fault = fmt.Errorf("Load: %q", load)
		}

		return reply, nil
	},
}

// script is a target that writes raw bytes for each request.
type script struct {
	address netip.AddrPort

	mu       sync.Mutex
	requests []string
	opened   int
	closed   int
}

// serve starts a target that calls answer for each request. An empty answer closes the connection.
func serve(answer func(n int, id string) string) *script {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &script{address: netip.MustParseAddrPort(listener.Addr().String())}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			s.mu.Unlock()
			go s.handle(c, answer)
		}
	}()

	return s
}

func (s *script) handle(c net.Conn, answer func(n int, id string) string) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		s.closed++
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request")
		s.mu.Lock()
		s.requests = append(s.requests, id)
		n := len(s.requests)
		s.mu.Unlock()
		text := answer(n, id)
		if text == "" {
			return
		}
		if text == "hang" {
			_, _ = reader.ReadByte()

			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

func (s *script) counts() (requests, opened, closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.requests), s.opened, s.closed
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func link(s *script, options ...target.Option) *target.Link {
	f := target.NewFleet(codec, timer.New(), options...)
	f.Update(directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: s.address, Slots: 2}}))
	DeferCleanup(f.Close)
	links := f.Links(nil, "s")
	Expect(links).To(HaveLen(1))

	return links[0]
}

func call(id string) *target.Call {
	return &target.Call{
		Route: "r", RequestID: id, Method: http.MethodGet, Deadline: time.Now().Add(5 * time.Second),
		Head: []byte("GET /x HTTP/1.1\r\nHost: a\r\nRequest: " + id + "\r\n"),
	}
}

var _ = Describe("Send", func() {
	It("reads a whole response and uses the connection again", func() {
		s := serve(func(_ int, id string) string { return ok(id, "body") })
		l := link(s)
		for i := range 3 {
			result := l.Send(call(fmt.Sprint("r", i)), &target.Cancel{})
			Expect(result.Err).NotTo(HaveOccurred())
			Expect(result.Success()).To(BeTrue())
			Expect(string(result.Body)).To(Equal("body"))
		}
		_, opened, _ := s.counts()
		Expect(opened).To(Equal(1))
	})

	DescribeTable("tells the ends of an attempt apart",
		func(answer string, outcome target.Outcome, success bool) {
			s := serve(func(int, string) string { return answer })
			result := link(s).Send(call("r1"), &target.Cancel{})
			Expect(result.Outcome).To(Equal(outcome))
			Expect(result.Success()).To(Equal(success))
		},
		Entry("a body that is cut short is no answer",
			"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nbo", target.Unknown, false),
		Entry("bytes that are no response say nothing of the request", "garbage\r\n\r\n", target.Unknown, false),
		Entry("a closed connection says nothing of the request", "", target.Unknown, false),
		Entry("a target that states so has not run it",
			"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", target.NotRun, false),
		Entry("another process at the address has not run it",
			"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", target.NotRun, false),
		Entry("a failure of the target itself has run",
			"HTTP/1.1 500 Failed\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n", target.Answered, false),
	)

	It("uses a response whose report of load cannot be read, and logs the header, so that its absence can be explained", func() {
		s := serve(func(_ int, id string) string {
			return strings.Replace(ok(id, "body"), "Stamp: s", "Stamp: s\r\nLoad: many", 1)
		})
		var lines bytes.Buffer
		result := link(s, target.WithLog(event.New(&lines, time.Now))).Send(call("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		Expect(lines.String()).To(And(ContainSubstring("Name=HeadersRejected"), ContainSubstring("many"), ContainSubstring("Request=r1")))
	})

	It("skips a late response to an earlier request, so that no caller gets another's answer", func() {
		s := serve(func(n int, id string) string {
			if n == 2 {
				return ok("r1", "old") + ok(id, "new")
			}

			return ok(id, "first")
		})
		l := link(s)
		l.Send(call("r1"), &target.Cancel{})
		result := l.Send(call("r2"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		Expect(string(result.Body)).To(Equal("new"))
	})

	It("does not use a connection again that carries bytes after a response", func() {
		s := serve(func(_ int, id string) string { return ok(id, "a") + "extra" })
		l := link(s)
		l.Send(call("r1"), &target.Cancel{})
		second := l.Send(call("r2"), &target.Cancel{})
		Expect(second.Success()).To(BeTrue())
		_, opened, _ := s.counts()
		Expect(opened).To(Equal(2))
	})

	It("closes the connection of a cancelled attempt, which makes the target drop the request", func() {
		s := serve(func(int, string) string { return "hang" })
		l := link(s)
		cancel := &target.Cancel{}
		done := make(chan target.Result, 1)
		go func() { done <- l.Send(call("r1"), cancel) }()
		Eventually(func() int { n, _, _ := s.counts(); return n }).Should(Equal(1))
		cancel.Do()
		var result target.Result
		Eventually(done).Should(Receive(&result))
		Expect(result.Cancelled).To(BeTrue())
		Expect(result.Outcome).To(Equal(target.Unknown))
		Eventually(func() int { _, _, closed := s.counts(); return closed }).Should(Equal(1))
	})

	It("holds no more connections than its share, because the target resets those beyond", func() {
		release := make(chan struct{})
		s := serve(func(_ int, id string) string { <-release; return ok(id, "a") })
		l := link(s, target.WithConnections(func(string) int { return 2 }))
		done := make(chan target.Result, 5)
		for i := range 5 {
			go func() { done <- l.Send(call(fmt.Sprint("r", i)), &target.Cancel{}) }()
		}
		Eventually(func() int { n, _, _ := s.counts(); return n }).Should(Equal(2))
		Consistently(func() int { _, opened, _ := s.counts(); return opened }, "100ms").Should(Equal(2))
		close(release)
		for range 5 {
			var result target.Result
			Eventually(done, "2s").Should(Receive(&result))
			Expect(result.Success()).To(BeTrue())
		}
	})

	It("sends nothing to a target whose connection does not open, and says that it has not run", func() {
		f := target.NewFleet(codec, timer.New())
		f.Update(directory.New([]*directory.Target{{
			ID: "i-2", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}}))
		result := f.Links(nil, "s")[0].Send(call("r1"), &target.Cancel{})
		Expect(result.Outcome).To(Equal(target.NotRun))
		Expect(result.Sent).To(BeFalse())
	})
})

var _ = Describe("Fleet", func() {
	entry := func(change func(*directory.Target)) *directory.Directory {
		t := &directory.Target{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1}
		change(t)

		return directory.New([]*directory.Target{t})
	}

	It("gives no link of a target that drains or is gone, so that it gets no new requests", func() {
		f := target.NewFleet(codec, timer.New())
		f.Update(entry(func(*directory.Target) {}))
		Expect(f.Links(nil, "s")).To(HaveLen(1))
		f.Update(entry(func(t *directory.Target) { t.Draining = true }))
		Expect(f.Links(nil, "s")).To(BeEmpty())
		f.Update(directory.New(nil))
		Expect(f.Links(nil, "s")).To(BeEmpty())
	})

	It("forgets what it saw of a process that has started again under its ID", func() {
		f := target.NewFleet(codec, timer.New())
		f.Update(entry(func(t *directory.Target) { t.Started = time.UnixMilli(1) }))
		first := f.Links(nil, "s")[0]
		f.Update(entry(func(t *directory.Target) { t.Started = time.UnixMilli(2) }))
		Expect(f.Links(nil, "s")[0]).NotTo(BeIdenticalTo(first))
	})

	It("keeps the link over a heartbeat, so that its connections stay open", func() {
		f := target.NewFleet(codec, timer.New())
		f.Update(entry(func(t *directory.Target) { t.Warmup = time.Second }))
		first := f.Links(nil, "s")[0]
		f.Update(entry(func(*directory.Target) {}))
		Expect(f.Links(nil, "s")[0]).To(BeIdenticalTo(first))
	})

	It("counts a warm connection in its share", func() {
		s := serve(func(_ int, id string) string { return ok(id, strings.Repeat("a", 10)) })
		f := target.NewFleet(codec, timer.New(), target.WithConnections(func(string) int { return 1 }))
		f.Update(directory.New([]*directory.Target{{ID: "i-1", Service: "s", Address: s.address, Slots: 2}}))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = f.Warm(ctx, func(string) bool { return true }) }()
		Eventually(func() int { _, opened, _ := s.counts(); return opened }, "3s").Should(Equal(1))
		result := f.Links(nil, "s")[0].Send(call("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue())
		_, opened, _ := s.counts()
		Expect(opened).To(Equal(1))
	})
})
