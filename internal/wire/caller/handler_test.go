package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "caller")
}

func echo(_ context.Context, r caller.Request) (caller.Answer, error) {
	return caller.Answer{RequestID: r.RequestID, Service: r.Service, Coverage: caller.Coverage{Asked: 1, Answered: 1, Whole: true}}, nil
}

// post sends body and returns the status and the refusal.
func post(h http.Handler, method, path, body string) (*httptest.ResponseRecorder, caller.Refusal) {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	var refusal caller.Refusal
	if recorder.Code != http.StatusOK && path == caller.QueryPath {
		Expect(json.Unmarshal(recorder.Body.Bytes(), &refusal)).To(Succeed())
	}

	return recorder, refusal
}

var _ = Describe("Handler", func() {
	DescribeTable("refuses bad input before the query starts",
		func(method, body string, status int, code caller.Code, message string) {
			h := caller.NewHandler(func(context.Context, caller.Request) (caller.Answer, error) {
				Fail("the query started")

				return caller.Answer{}, nil
			})
			recorder, refusal := post(h, method, caller.QueryPath, body)
			Expect(recorder.Code).To(Equal(status))
			Expect(refusal.Code).To(Equal(code))
			Expect(refusal.Outcome).To(Equal(target.NotRun))
			Expect(refusal.Message).To(Equal(message))
		},
		Entry("method", "GET", "", 400, caller.BadRequest, "the method must be POST"),
		Entry("empty", "POST", "", 400, caller.BadRequest, "unexpected end of JSON input"),
		Entry("null", "POST", "null", 400, caller.BadRequest, "caller: Service: must not be empty"),
		Entry("truncated", "POST", `{"Service":"a"`, 400, caller.BadRequest, "unexpected end of JSON input"),
		Entry("two documents", "POST", `{"Service":"a"}{}`, 400, caller.BadRequest, "invalid character '{' after top-level value"),
		Entry("unknown field", "POST", `{"Service":"a","Generated":true}`, 400, caller.BadRequest, `caller: json: unknown field "Generated"`),
		Entry("several faults", "POST", `{"Limit":1001,"Timeout":"-1s"}`, 400, caller.BadRequest,
			"caller: Service: must not be empty; Limit: 1001 is not within 0 to 1000; Timeout: must not be negative"),
		Entry("duration without unit", "POST", `{"Service":"a","Timeout":"5"}`, 400, caller.BadRequest, `caller: "5" is not a duration such as 170ms`),
		Entry("RequestID that would leave its place in the store", "POST", `{"Service":"a","RequestID":"../Configuration"}`, 400, caller.BadRequest,
			`caller: RequestID: "../Configuration" is not a letter or digit followed by letters, digits, '.', '_', ':' or '-'`),
		Entry("long RequestID", "POST", `{"Service":"a","RequestID":"`+strings.Repeat("x", 129)+`"}`, 400, caller.BadRequest,
			"caller: RequestID: has 129 characters, at most 128 are accepted"),
		Entry("oversized", "POST", `{"Service":"`+strings.Repeat("x", caller.MaxRequestBytes)+`"}`, 413, caller.TooLarge, "the body is over 65536 bytes"),
	)

	DescribeTable("sends what the query returned without a false claim about what ran",
		func(answer caller.Answer, err error, status int, want caller.Refusal) {
			var told *caller.Refusal
			h := caller.NewHandler(func(context.Context, caller.Request) (caller.Answer, error) { return answer, err },
				caller.WithRefused(func(r *caller.Refusal) { told = r }))
			recorder, refusal := post(h, "POST", caller.QueryPath, `{"Service":"a","RequestID":"r1"}`)
			want.RequestID, want.Service = "r1", "a"
			Expect(recorder.Code).To(Equal(status))
			Expect(refusal).To(Equal(want))
			Expect(*told).To(Equal(want))
		},
		Entry("error of another type", caller.Answer{}, errors.New("boom"), 502,
			caller.Refusal{Outcome: target.Unknown, Code: caller.Lost, Message: "boom"}),
		Entry("wrapped refusal", caller.Answer{}, fmt.Errorf("x: %w", &caller.Refusal{RequestID: "r2", Outcome: target.NotRun, Code: caller.Overloaded}), 429,
			caller.Refusal{Outcome: target.NotRun, Code: caller.Overloaded}),
		Entry("refusal without outcome", caller.Answer{}, &caller.Refusal{Code: caller.NoTarget}, 502,
			caller.Refusal{Outcome: target.Unknown, Code: caller.NoTarget}),
		Entry("answer to another request", caller.Answer{RequestID: "r2", Service: "a"}, nil, 502,
			caller.Refusal{Outcome: target.Unknown, Code: caller.Lost, Message: `the answer belongs to request "r2" of service "a"`}),
		Entry("answer of another service", caller.Answer{RequestID: "r1", Service: "b"}, nil, 502,
			caller.Refusal{Outcome: target.Unknown, Code: caller.Lost, Message: `the answer belongs to request "r1" of service "b"`}),
		Entry("answer that has no JSON form", caller.Answer{RequestID: "r1", Service: "a", Hits: []target.Hit{{Score: math.NaN()}}}, nil, 502,
			caller.Refusal{Outcome: target.Unknown, Code: caller.Lost, Message: "json: unsupported value: NaN"}),
	)

	DescribeTable("uses 429 and 503 only for requests that did not run, since a load balancer may repeat those",
		func(code caller.Code, notRun, unknown int) {
			Expect((&caller.Refusal{Code: code, Outcome: target.NotRun}).Status()).To(Equal(notRun))
			Expect((&caller.Refusal{Code: code, Outcome: target.Unknown}).Status()).To(Equal(unknown))
		},
		Entry(nil, caller.UnknownService, 404, 502), Entry(nil, caller.NotReady, 503, 502), Entry(nil, caller.Overloaded, 429, 502),
		Entry(nil, caller.TooLate, 503, 504), Entry(nil, caller.NoTarget, 503, 502), Entry(nil, caller.ClaimUnavailable, 503, 502),
		Entry(nil, caller.Duplicate, 409, 409), Entry(nil, caller.InsufficientCoverage, 503, 502), Entry(nil, caller.Lost, 503, 502),
	)

	It("generates a RequestID for a request without one and marks it, and says when to retry", func() {
		var seen caller.Request
		h := caller.NewHandler(func(_ context.Context, r caller.Request) (caller.Answer, error) {
			seen = r

			return caller.Answer{}, (&caller.Refusal{Outcome: target.NotRun, Code: caller.Overloaded}).After(1100 * time.Millisecond)
		}, caller.WithRequestID(func() string { return "generated-1" }))
		recorder, refusal := post(h, "POST", caller.QueryPath, `{"Service":"a"}`)
		Expect(seen).To(Equal(caller.Request{RequestID: "generated-1", Service: "a", Generated: true}))
		Expect(refusal.RequestID).To(Equal("generated-1"))
		Expect(refusal.RetryAfter).To(Equal(duration.Duration(1100 * time.Millisecond)))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("2"))
	})

	It("reports health and readiness apart", func() {
		reason := errors.New("no configuration")
		h := caller.NewHandler(echo, caller.WithReady(func() error { return reason }))
		recorder, _ := post(h, "GET", caller.ReadyPath, "")
		Expect(recorder.Code).To(Equal(503))
		Expect(recorder.Body.String()).To(Equal("no configuration\n"))
		recorder, _ = post(h, "GET", caller.HealthPath, "")
		Expect(recorder.Code).To(Equal(200))
		reason = nil
		recorder, _ = post(h, "GET", caller.ReadyPath, "")
		Expect(recorder.Code).To(Equal(200))
	})

	It("waits in Drain for requests in flight and refuses new ones, so that a stop interrupts none", func() {
		started, finish := make(chan struct{}), make(chan struct{})
		h := caller.NewHandler(func(ctx context.Context, r caller.Request) (caller.Answer, error) {
			close(started)
			<-finish

			return echo(ctx, r)
		})
		first := make(chan int)
		go func() {
			recorder, _ := post(h, "POST", caller.QueryPath, `{"Service":"a"}`)
			first <- recorder.Code
		}()
		<-started
		Expect(h.InFlight()).To(Equal(1))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(h.Drain(ended)).To(MatchError("caller: 1 requests are in flight: context canceled"))
		recorder, refusal := post(h, "POST", caller.QueryPath, `{"Service":"a"}`)
		Expect(recorder.Code).To(Equal(503))
		Expect([]any{refusal.Code, refusal.Outcome}).To(Equal([]any{caller.NotReady, target.NotRun}))
		recorder, _ = post(h, "GET", caller.ReadyPath, "")
		Expect(recorder.Code).To(Equal(503))
		close(finish)
		Expect(<-first).To(Equal(200))
		Expect(h.Drain(context.Background())).To(Succeed())
		Expect(h.InFlight()).To(Equal(0))
	})

	It("cancels the query when the caller goes away", func() {
		cancelled := make(chan struct{})
		h := caller.NewHandler(func(ctx context.Context, _ caller.Request) (caller.Answer, error) {
			defer close(cancelled)
			<-ctx.Done()

			return caller.Answer{}, ctx.Err()
		})
		address := serve(h)
		connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address.String())
		Expect(err).NotTo(HaveOccurred())
		body := `{"Service":"a"}`
		_, err = fmt.Fprintf(connection, "POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(h.InFlight).WithTimeout(time.Minute).Should(Equal(1))
		Expect(connection.Close()).To(Succeed())
		<-cancelled
	})
})

func listen() net.Listener {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())

	return listener
}

// serve runs h at a port that the kernel chooses until the test ends.
func serve(h http.Handler) netip.AddrPort {
	listener := listen()
	server := caller.NewServer(h)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)

	return netip.MustParseAddrPort(listener.Addr().String())
}

var _ = Describe("Client", func() {
	query := func(address netip.AddrPort, r caller.Request) (caller.Answer, *caller.Refusal) {
		client := caller.NewClient()
		defer client.Close()
		answer, err := client.Query(context.Background(), address, r)
		var refusal *caller.Refusal
		if err != nil {
			Expect(errors.As(err, &refusal)).To(BeTrue())
		}

		return answer, refusal
	}

	It("returns the answer, also for a request without RequestID", func() {
		address := serve(caller.NewHandler(echo))
		answer, refusal := query(address, caller.Request{RequestID: "r1", Service: "a"})
		Expect(refusal).To(BeNil())
		Expect(answer.RequestID).To(Equal("r1"))
		answer, refusal = query(address, caller.Request{Service: "a"})
		Expect(refusal).To(BeNil())
		Expect(answer.RequestID).NotTo(BeEmpty())
	})

	DescribeTable("reports a reply that cannot be trusted as unknown",
		func(reply, message string) {
			listener := listen()
			DeferCleanup(listener.Close)
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, strings.ReplaceAll(reply, "\n", "\r\n"))
			}()
			_, refusal := query(netip.MustParseAddrPort(listener.Addr().String()), caller.Request{RequestID: "r1", Service: "a"})
			Expect([]any{refusal.Outcome, refusal.Code}).To(Equal([]any{target.Unknown, caller.Lost}))
			Expect(refusal.Message).To(ContainSubstring(message))
		},
		Entry("nothing", "", "EOF"),
		Entry("cut", "HTTP/1.1 200 OK\nContent-Length: 90\n\n{}", "the reply is cut: unexpected EOF"),
		Entry("other request", "HTTP/1.1 200 OK\nContent-Length: 33\n\n"+`{"RequestID":"r2", "Service":"a"}`, `the answer belongs to request "r2"`),
		Entry("no JSON", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "status 200: invalid character"),
		Entry("503 that is no refusal, as from a balancer", "HTTP/1.1 503 X\nContent-Length: 2\n\n{}", "status 503: the body is no refusal"),
		Entry("refusal of another request", "HTTP/1.1 503 X\nContent-Length: 52\n\n"+`{"RequestID":"r2","Outcome":"NotRun","Code":"Shed"} `, `the refusal belongs to request "r2"`),
	)

	It("reports a request as not run only if no byte was handed to a connection", func() {
		listener := listen()
		Expect(listener.Close()).To(Succeed())
		_, refusal := query(netip.MustParseAddrPort(listener.Addr().String()), caller.Request{Service: "a"})
		Expect([]any{refusal.Outcome, refusal.Code}).To(Equal([]any{target.NotRun, caller.Unreachable}))

		_, refusal = query(netip.AddrPort{}, caller.Request{Limit: -1})
		Expect([]any{refusal.Outcome, refusal.Code}).To(Equal([]any{target.NotRun, caller.BadRequest}))

		ctx, cancel := context.WithCancel(context.Background())
		client := caller.NewClient(caller.WithDial(func(context.Context, string, string) (net.Conn, error) {
			cancel()

			return nil, context.Canceled
		}))
		_, err := client.Query(ctx, netip.MustParseAddrPort("127.0.0.1:1"), caller.Request{Service: "a"})
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect([]any{refusal.Outcome, refusal.Code}).To(Equal([]any{target.NotRun, caller.TooLate}))
	})

	It("is unknown once the request was sent and the caller gave up", func() {
		ctx, cancel := context.WithCancel(context.Background())
		address := serve(caller.NewHandler(func(ctx context.Context, _ caller.Request) (caller.Answer, error) {
			cancel()
			<-ctx.Done()

			return caller.Answer{}, ctx.Err()
		}))
		_, err := caller.NewClient().Query(ctx, address, caller.Request{Service: "a"})
		var refusal *caller.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect([]any{refusal.Outcome, refusal.Code}).To(Equal([]any{target.Unknown, caller.Lost}))
	})
})
