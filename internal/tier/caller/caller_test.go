package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/caller"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

var codec = caller.Codec{
	DecodeRequest: func(header http.Header) (caller.Request, error) {
		r := caller.Request{ID: header.Get("Request")}
		if r.ID == "" {
			return r, errors.New("no ID")
		}
		if left := header.Get("Left"); left != "" {
			var err error
			if r.TimeLeft, err = time.ParseDuration(left); err != nil {
				return r, err
			}
		}

		return r, nil
	},
	Forwarded: func(name string) bool { return name != "Left" },
	Returned:  func(name string) bool { return name != "Load" },
	SetParts:  func(header http.Header, stamps []string, _ int) { header.Set("Stamps", strings.Join(stamps, ",")) },
	SetRetry:  func(header http.Header, after time.Duration) { header.Set("Retry-After", after.String()) },
}

func table() *route.Table {
	t, err := route.NewTable(7, []*route.Route{
		{Name: "g", Host: "a.example", Prefix: "/g/", Idempotent: true, Timeout: time.Second, Objective: 100 * time.Millisecond,
			Gather: &route.Gather{Shards: []string{"s"}, MaxRecords: 1}},
		{Name: "f", Host: "a.example", Prefix: "/f/", Timeout: time.Second, Service: "s"},
	}, nil, route.Limits{BodyBytes: 8})
	Expect(err).NotTo(HaveOccurred())

	return t
}

// serve passes a request to a handler whose dispatcher returns the given answer. It returns the response and the query that was
// dispatched, nil if none was.
func serve(t *route.Table, r *http.Request, answer dispatch.Answer) (*httptest.ResponseRecorder, *dispatch.Query) {
	var query *dispatch.Query
	respond := func(_ context.Context, q *dispatch.Query) dispatch.Answer {
		query = q

		return answer
	}
	h := caller.NewHandler(codec, func() *route.Table { return t }, caller.Dispatch{Gather: respond, Forward: respond}, timer.New())
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)

	return w, query
}

func request(method, path, body string) *http.Request {
	r := httptest.NewRequestWithContext(context.Background(), method, "http://a.example"+path, strings.NewReader(body))
	r.RequestURI = path
	r.Header.Set("Request", "r1")

	return r
}

var _ = Describe("Handler", func() {
	It("refuses requests with 503 and a retry delay while no configuration is known, instead of 404 for a missing route", func() {
		w, _ := serve(nil, request("GET", "/g/1", ""), dispatch.Answer{})
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	})

	DescribeTable("rejects invalid requests without dispatching them",
		func(method, path, body string, dropID bool, status int) {
			r := request(method, path, body)
			if dropID {
				r.Header.Del("Request")
			}
			w, query := serve(table(), r, dispatch.Answer{})
			Expect(w.Code).To(Equal(status))
			Expect(query).To(BeNil())
		},
		Entry("a path without a route", "GET", "/x/1", "", false, 404),
		Entry("a body over the limit", "POST", "/f/1", "123456789", false, 413),
		Entry("a request without an ID", "GET", "/g/1", "", true, 400),
	)

	It("answers 504 to requests in flight when the process is about to exit, because targets may have run them", func() {
		respond := func(ctx context.Context, _ *dispatch.Query) dispatch.Answer {
			<-ctx.Done()

			return dispatch.Answer{Status: dispatch.Abandoned}
		}
		h := caller.NewHandler(codec, table, caller.Dispatch{Gather: respond, Forward: respond}, timer.New())
		first := make(chan int, 1)
		go func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request("GET", "/g/1", ""))
			first <- w.Code
		}()
		Eventually(h.InFlight).Should(Equal(1))
		h.EndRequests()
		Eventually(first).Should(Receive(Equal(http.StatusGatewayTimeout)))
	})

	It("refuses requests that arrive when the process is about to exit as not run, without passing them on", func() {
		passedOn := 0
		respond := func(context.Context, *dispatch.Query) dispatch.Answer {
			passedOn++

			return dispatch.Answer{Status: dispatch.Abandoned}
		}
		h := caller.NewHandler(codec, table, caller.Dispatch{Gather: respond, Forward: respond}, timer.New())
		h.EndRequests()
		for _, path := range []string{"/g/1", "/f/1"} {
			late := httptest.NewRecorder()
			h.ServeHTTP(late, request("GET", path, ""))
			Expect(late.Code).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(passedOn).To(BeZero())
	})

	It("answers 502 to a request whose handling fails unexpectedly, and serves the next one", func() {
		fail := true
		respond := func(context.Context, *dispatch.Query) dispatch.Answer {
			if fail {
				fail = false
				panic("malformed message")
			}

			return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"s1"}}
		}
		var lines bytes.Buffer
		h := caller.NewHandler(codec, table, caller.Dispatch{Gather: respond, Forward: respond}, timer.New(),
			caller.WithLog(event.New(&lines, time.Now)))
		for _, status := range []int{http.StatusBadGateway, http.StatusOK} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request("GET", "/g/1", ""))
			Expect(w.Code).To(Equal(status))
		}
		Expect(lines.String()).To(And(ContainSubstring("Name=PanicRecovered"), ContainSubstring("Request=r1")))
	})

	It("ends a request whose body arrives one byte at a time when its caller's time is over, instead of keeping its connection", func() {
		respond := func(context.Context, *dispatch.Query) dispatch.Answer {
			return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"s1"}}
		}
		server := httptest.NewServer(
			caller.NewHandler(codec, table, caller.Dispatch{Gather: respond, Forward: respond}, timer.New()))
		DeferCleanup(server.Close)
		c, err := new(net.Dialer).DialContext(context.Background(), "tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = c.Write([]byte("POST /g/1 HTTP/1.1\r\nHost: a.example\r\nRequest: r1\r\nLeft: 300ms\r\n" +
			"Content-Length: 8\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		answer := make(chan string, 1)
		go func() {
			line, _ := bufio.NewReader(c).ReadString('\n')
			answer <- line
		}()
		for range 8 {
			if len(answer) == 0 {
				_, _ = c.Write([]byte("x"))
				time.Sleep(100 * time.Millisecond)
			}
		}
		Expect(answer).To(Receive(ContainSubstring("400")))
		Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond))
	})

	It("refuses a request over the concurrency limit with 503 and a retry delay, without dispatching it", func() {
		var h *caller.Handler
		release := make(chan struct{})
		respond := func(context.Context, *dispatch.Query) dispatch.Answer {
			<-release

			return dispatch.Answer{Status: dispatch.NotRun}
		}
		h = caller.NewHandler(codec, table, caller.Dispatch{Gather: respond, Forward: respond}, timer.New(), caller.WithLimit(1))
		first := make(chan int, 1)
		go func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request("GET", "/g/1", ""))
			first <- w.Code
		}()
		Eventually(h.InFlight).Should(Equal(1))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request("GET", "/g/1", ""))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		close(release)
		Eventually(first).Should(Receive(Equal(http.StatusServiceUnavailable)))
	})

	It("forwards method, path, body and headers unchanged, except hop-by-hop headers and those that the codec excludes", func() {
		r := request("POST", "/f/a%2Fb?q=1", "12345")
		r.Header.Set("X-Custom", "v")
		r.Header.Set("Connection", "keep-alive, X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("Left", "500ms")
		_, query := serve(table(), r, dispatch.Answer{Status: dispatch.NotRun})
		head := string(query.Head)
		Expect(head).To(HavePrefix("POST /f/a%2Fb?q=1 HTTP/1.1\r\nHost: a.example\r\n"))
		Expect(head).To(ContainSubstring("X-Custom: v\r\n"))
		Expect(head).NotTo(Or(ContainSubstring("X-Hop"), ContainSubstring("Left")))
		// The length is written together with the body, so that it never announces a body that is not sent.
		Expect(head).NotTo(ContainSubstring("Content-Length"))
		Expect(string(query.Body)).To(Equal("12345"))
	})

	It("sets a deadline before the caller gives up and no later than the timeout of the route", func() {
		r := request("GET", "/g/1", "")
		r.Header.Set("Left", "400ms")
		_, query := serve(table(), r, dispatch.Answer{Status: dispatch.NotRun})
		Expect(query.Deadline.Sub(query.Received)).To(BeNumerically("<", 400*time.Millisecond))
		r.Header.Set("Left", "10s")
		_, query = serve(table(), r, dispatch.Answer{Status: dispatch.NotRun})
		Expect(query.Deadline.Sub(query.Received)).To(Equal(time.Second))
	})

	DescribeTable("answers with the status code that says whether the request was run",
		func(status dispatch.Status, code int) {
			w, _ := serve(table(), request("GET", "/g/1", ""), dispatch.Answer{
				Status: status, Stamps: []string{"p"}, Records: []byte("r"),
			})
			Expect(w.Code).To(Equal(code))
		},
		Entry("200 if it was answered", dispatch.Answered, 200),
		Entry("503 if it was not run", dispatch.NotRun, 503),
		Entry("502 if it may have been run", dispatch.Unknown, 502),
		Entry("504 if it may have been run and timed out", dispatch.TimedOut, 504),
	)

	DescribeTable("answers 502, which promises nothing, instead of a target's response that did not answer the request",
		func(result *target.Result) {
			result.Outcome, result.Body = target.Answered, []byte("from the target")
			w, _ := serve(table(), request("GET", "/f/1", ""), dispatch.Answer{Status: dispatch.Unknown, Result: result})
			Expect(w.Code).To(Equal(502))
			Expect(w.Body.String()).NotTo(ContainSubstring("from the target"))
			Expect(w.Header().Get("Stamp")).To(BeEmpty())
		},
		Entry("a success in an encoding that was not asked for", &target.Result{Status: 200, Header: http.Header{
			"Stamp": {"s"}, "Content-Encoding": {"gzip"},
		}}),
		Entry("a success without a stamp", &target.Result{Status: 200, Header: http.Header{}}),
		Entry("a 503 of a target that does not state that it has not run it", &target.Result{Status: 503, Header: http.Header{"Stamp": {"s"}}}),
		Entry("a 429 of such a target", &target.Result{Status: 429, Header: http.Header{"Stamp": {"s"}}}),
		Entry("a 408 of such a target", &target.Result{Status: 408, Header: http.Header{"Stamp": {"s"}}}),
		Entry("an error in an encoding that was not asked for", &target.Result{Status: 500, Header: http.Header{
			"Stamp": {"s"}, "Content-Encoding": {"br"},
		}}),
	)

	It("returns a target's response with its status and body, without the header that reports the target's load", func() {
		result := &target.Result{
			Outcome: target.Answered, Status: 500, Body: []byte("failed"),
			Header: http.Header{"Stamp": {"s"}, "Load": {"1,2,3"}, "Content-Length": {"6"}},
		}
		w, _ := serve(table(), request("GET", "/f/1", ""), dispatch.Answer{Status: dispatch.Unknown, Result: result})
		Expect(w.Code).To(Equal(500))
		Expect(w.Body.String()).To(Equal("failed"))
		Expect(w.Header().Get("Stamp")).To(Equal("s"))
		Expect(w.Header().Get("Load")).To(BeEmpty())
	})
})
