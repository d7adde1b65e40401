package target_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire/target")
}

// serve answers the nth query on a raw listener with answer(n, query); an empty answer closes the connection. Every
// query that was read whole is counted on the returned channel.
func serve(answer func(n int, q *target.Query) string) (netip.AddrPort, chan target.Query) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	seen := make(chan target.Query, 16)
	go func() {
		n := 0
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(connection)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(request.Body)
				var q target.Query
				_ = json.Unmarshal(body, &q)
				seen <- q
				text := answer(n, &q)
				n++
				if text == "" {
					break
				}
				_, _ = io.WriteString(connection, text)
			}
			_ = connection.Close()
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String()), seen
}

func response(status int, body any) string {
	text, ok := body.(string)
	if !ok {
		data, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		text = string(data)
	}

	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
}

func replyTo(q *target.Query) target.Reply {
	return target.Reply{
		RequestID: q.RequestID, AttemptID: q.AttemptID, Service: q.Service,
		Version: q.Version, Shard: q.Shard, Shards: q.Shards, Hits: []target.Hit{},
	}
}

func query(id string) *target.Query {
	return &target.Query{
		RequestID: id, AttemptID: id + "/1", Service: "payout", Version: 7, Shard: 1, Shards: 3,
		Timeout: duration.Duration(time.Minute),
	}
}

func beFailure(outcome target.Outcome, code target.Code) OmegaMatcher {
	return And(HaveField("Outcome", outcome), HaveField("Code", code))
}

var _ = Describe("Client", func() {
	var client *target.Client
	BeforeEach(func() {
		client = target.NewClient(timer.New())
		DeferCleanup(client.Close)
	})

	It("does not repeat a query when a reused connection breaks, which would run it twice", func(ctx SpecContext) {
		address, seen := serve(func(n int, q *target.Query) string {
			if n == 0 {
				return response(http.StatusOK, replyTo(q))
			}
			return ""
		})
		_, err := client.Query(ctx, address, query("first"))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Query(ctx, address, query("second"))
		Expect(err).To(beFailure(target.Unknown, target.Broken))
		Expect(seen).To(HaveLen(2), "the second query must have been sent once")
	})

	It("dials after one of several old connections has broken, because the others are likely to break too", func(ctx SpecContext) {
		together := make(chan struct{})
		var arrived atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var q target.Query
			Expect(json.NewDecoder(r.Body).Decode(&q)).To(Succeed())
			// Two queries at a time have a connection each.
			if n := arrived.Add(1); n == 2 {
				close(together)
			} else if n == 3 {
				panic(http.ErrAbortHandler)
			}
			<-together
			_ = json.NewEncoder(w).Encode(replyTo(&q))
		}))
		DeferCleanup(server.Close)
		var dials atomic.Int32
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				dials.Add(1)
			}
		}
		server.Start()
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { _, _ = client.Query(ctx, address, query("first")) })
		}
		both.Wait()
		_, err := client.Query(ctx, address, query("second"))
		Expect(err).To(beFailure(target.Unknown, target.Broken))
		_, err = client.Query(ctx, address, query("third"))
		Expect(err).NotTo(HaveOccurred())
		Expect(dials.Load()).To(BeEquivalentTo(3), "the idle connection must not be used")
	})

	It("does not start an attempt without time, and passes on the remaining time less the margin", func(ctx SpecContext) {
		address, seen := serve(func(_ int, q *target.Query) string { return response(http.StatusOK, replyTo(q)) })
		late, cancel := context.WithTimeout(ctx, target.HopMargin/2)
		defer cancel()
		_, err := client.Query(late, address, query("late"))
		Expect(err).To(beFailure(target.NotRun, target.TooLate))
		Expect(seen).To(BeEmpty())

		short, cancel := context.WithTimeout(ctx, 30*time.Second)
		defer cancel()
		_, err = client.Query(short, address, query("short"))
		Expect(err).NotTo(HaveOccurred())
		Expect((<-seen).Timeout.Std()).To(BeNumerically("<=", 30*time.Second-target.HopMargin))
	})

	It("says not run when nothing listens, because no byte can have been sent", func(ctx SpecContext) {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := netip.MustParseAddrPort(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		_, err = client.Query(ctx, address, query("nobody"))
		Expect(err).To(beFailure(target.NotRun, target.Unreachable))
	})

	DescribeTable("never takes a bad answer for a reply or for a refusal",
		func(ctx SpecContext, answer func(q *target.Query) string, outcome target.Outcome, code target.Code) {
			address, _ := serve(func(_ int, q *target.Query) string { return answer(q) })
			_, err := client.Query(ctx, address, query("one"))
			Expect(err).To(beFailure(outcome, code))
		},
		Entry("a body over the bound", func(q *target.Query) string {
			reply := replyTo(q)
			reply.Hits = append(reply.Hits, target.Hit{Body: strings.Repeat("x", target.MaxReplyBytes)})
			return response(http.StatusOK, reply)
		}, target.Unknown, target.Malformed),
		Entry("an unknown field", func(*target.Query) string {
			return response(http.StatusOK, `{"Surprise":1}`)
		}, target.Unknown, target.Malformed),
		Entry("a reply from another version", func(q *target.Query) string {
			reply := replyTo(q)
			reply.Version++
			return response(http.StatusOK, reply)
		}, target.Unknown, target.Mismatched),
		Entry("a refusal of another query", func(q *target.Query) string {
			return response(http.StatusServiceUnavailable,
				target.Refusal{RequestID: q.RequestID, AttemptID: "other", Code: target.Shed, NotRun: true})
		}, target.Unknown, target.Mismatched),
		Entry("a refusal with an unknown code", func(q *target.Query) string {
			return response(http.StatusServiceUnavailable,
				target.Refusal{RequestID: q.RequestID, AttemptID: q.AttemptID, Code: "Odd", NotRun: true})
		}, target.Unknown, target.Malformed),
		Entry("a refusal that does not vouch for not run", func(q *target.Query) string {
			return response(http.StatusServiceUnavailable,
				target.Refusal{RequestID: q.RequestID, AttemptID: q.AttemptID, Code: target.TooLate})
		}, target.Unknown, target.TooLate),
		Entry("an error page", func(*target.Query) string {
			return response(http.StatusInternalServerError, "oops")
		}, target.Unknown, target.Malformed),
	)
})
