package platform_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	adapter "github.com/hickorynotch/hickorynotch/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "wire/platform")
}

var _ = Describe("Client against the stand-in", func() {
	const second = duration.Duration(time.Second)
	var (
		clock  *clockwork.FakeClock
		timers *timer.Service
		store  *standin.Platform
		client *platform.Client
		other  *platform.Client
	)

	BeforeEach(func(ctx context.Context) {
		clock = clockwork.NewFakeClock()
		timers = timer.New(timer.WithClock(clock))
		store = standin.New(standin.WithTimers(timers), standin.WithListLag(3*time.Second))
		clientIn := func(z zone.Zone) *platform.Client {
			address, stop, err := store.StartIn(z)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stop)
			calls := adapter.NewStore(address)
			DeferCleanup(calls.Close)

			return platform.NewClient(calls.KeyValueStore(), calls.Targets(), timers)
		}
		client, other = clientIn("Logroño"), clientIn("Vitoria")
	})

	// waiting runs call and lets d pass once that many timers are set and no write is left to delay, which shows that the
	// call has reached the stand-in.
	waiting := func(ctx context.Context, waiters int, d time.Duration, call func() error) error {
		done := make(chan error, 1)
		go func() { done <- call() }()
		Expect(clock.BlockUntilContext(ctx, waiters)).To(Succeed())
		Eventually(ctx, store.Faults).ShouldNot(ContainElement(HaveField("DelayWrite", BeNumerically(">", 0))))
		clock.Advance(d)

		return <-done
	}
	compareAndSwap := func(ctx context.Context) error {
		_, err := client.CompareAndSwap(ctx, "key", []byte("new"), 0, 0)

		return err
	}

	DescribeTable("tells whether a write under a fault may be in effect",
		func(ctx context.Context, fault standin.Fault, waiters int, want error, written bool) {
			store.SetFaults(fault)
			if fault.Overload > 0 {
				_, err := client.Read(ctx, "key")
				Expect(err).NotTo(HaveOccurred())
			}
			var err error
			if waiters == 0 {
				err = compareAndSwap(ctx)
			} else {
				err = waiting(ctx, waiters, 2*time.Second, func() error { return compareAndSwap(ctx) })
			}
			Expect(err).To(MatchError(want))
			if fault.DelayWrite > 0 {
				Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
				clock.Advance(fault.DelayAfter.Std())
				Eventually(ctx, store.Calls).Should(HaveField("LateWrites", uint64(1)))
			}
			store.SetFaults()
			entry, err := client.Read(ctx, "key")
			Expect(err).NotTo(HaveOccurred())
			Expect(entry.Version > 0).To(Equal(written))
			// A second write of the client would make a lost reply look like a conflict.
			Expect(store.Calls().Commit).To(BeNumerically("<=", 1))
		},
		Entry("Down", standin.Fault{Down: true}, 0, platform.ErrUnknown, false),
		Entry("Slow", standin.Fault{Slow: 5 * second}, 2, platform.ErrUnknown, false),
		Entry("LoseReply", standin.Fault{LoseReply: 1}, 0, platform.ErrUnknown, true),
		Entry("DelayWrite", standin.Fault{DelayWrite: 1, DelayAfter: second}, 1, platform.ErrUnknown, true),
		Entry("Overload", standin.Fault{Overload: 1}, 0, platform.ErrUnavailable, false),
	)

	It("says unavailable when no connection opens, so that a refusal may say not run", func(ctx context.Context) {
		var config net.ListenConfig
		closed, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		calls := adapter.NewStore(netip.MustParseAddrPort(closed.Addr().String()))
		client = platform.NewClient(calls.KeyValueStore(), calls.Targets(), timers)
		Expect(compareAndSwap(ctx)).To(MatchError(platform.ErrUnavailable))

		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(compareAndSwap(ended)).To(MatchError(platform.ErrUnavailable))
	})

	It("passes over a partition of one availability zone from the platform", func(ctx context.Context) {
		store.SetFaults(standin.Fault{AvailabilityZones: []zone.Zone{"Logroño"}, Down: true})
		_, err := client.Read(ctx, "key")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		_, err = other.Read(ctx, "key")
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps versions, conflicts and leases apart", func(ctx context.Context) {
		lease, err := client.GrantLease(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		key := "Claims/a/../ü?%"
		first, err := client.CompareAndSwap(ctx, key, []byte("1"), 0, lease.ID)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.CompareAndSwap(ctx, key, []byte("2"), 0, 0)
		Expect(err).To(MatchError(platform.ErrConflict))
		clock.Advance(59 * time.Second)
		Expect(store.Store().KeyValueStore().Renew(ctx, lease.ID)).To(Succeed())
		clock.Advance(59 * time.Second)
		entry, err := client.Read(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(platform.Entry{Key: key, Value: []byte("1"), Version: first}))
		clock.Advance(time.Second)
		entry, err = client.Read(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Version).To(BeZero())
		_, err = client.CompareAndSwap(ctx, key, []byte("3"), 0, lease.ID)
		Expect(err).To(MatchError(platform.ErrLeaseLapsed))

		again, err := client.CompareAndSwap(ctx, key, []byte("4"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeNumerically(">", first))
		Expect(client.Delete(ctx, key, first)).To(MatchError(platform.ErrConflict))
		Expect(client.Delete(ctx, key, again)).To(Succeed())
		_, err = client.CompareAndSwap(ctx, key, make([]byte, platform.MaxValueBytes), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.CompareAndSwap(ctx, key, make([]byte, platform.MaxValueBytes+1), 0, 0)
		Expect(err).To(MatchError(ContainSubstring("value: has 1048577 bytes")))
	})

	It("watches until a change, the platform's bound, or its own timeout", func(ctx context.Context) {
		change := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			Eventually(ctx, store.Calls).Should(HaveField("Waiting", 1))
			_, err := other.CompareAndSwap(ctx, "key", []byte("1"), 0, 0)
			change <- err
		}()
		entry, err := client.Watch(ctx, "key", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-change).To(Succeed())
		Expect(entry.Value).To(Equal([]byte("1")))

		watch := func() error {
			same, err := client.Watch(ctx, "key", entry.Version)
			if err == nil {
				Expect(same).To(Equal(entry))
			}

			return err
		}
		Expect(waiting(ctx, 2, 28*time.Second, watch)).To(Succeed())
		store.SetFaults(standin.Fault{SilentWatch: true})
		silent := make(chan error, 1)
		go func() { silent <- watch() }()
		// The stand-in sets no timer for a watch that it does not answer, so the client's timer alone does not show that it has the call.
		Eventually(ctx, store.Calls).Should(And(HaveField("Watch", uint64(3)), HaveField("Waiting", 1)))
		clock.Advance(45 * time.Second)
		Expect(<-silent).To(MatchError(platform.ErrUnavailable))
	})

	It("reads an entry again whose changes the store has forgotten", func(ctx context.Context) {
		first, err := client.CompareAndSwap(ctx, "key", []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.CompareAndSwap(ctx, "key", []byte("2"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		store.Store().Compact()
		entry, err := client.Watch(ctx, "key", first)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Value).To(Equal([]byte("2")))
	})

	It("lists the instances that are registered beside the targets", func(ctx context.Context) {
		self := control.Instance{
			Name: "e1", Peer: netip.MustParseAddrPort("127.0.0.1:8"), AvailabilityZone: "Vitoria", Processor: 1,
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() { _ = control.NewRegistration(store.Store().KeyValueStore(), self, timers, nil).Run(ctx) }()
		Eventually(ctx, func() ([]platform.Listed, error) { return client.List(ctx) }).Should(Equal([]platform.Listed{{
			Name: "e1", Kind: platform.EntryInstance, Address: self.Peer, AvailabilityZone: "Vitoria", State: platform.Live,
		}}))
	})

	It("shows the list with its lag, and as it was while frozen", func(ctx context.Context) {
		target := platform.Listed{
			Name: "t1", Kind: platform.Target, Address: netip.MustParseAddrPort("127.0.0.1:9"),
			AvailabilityZone: "Vitoria", State: platform.Live,
		}
		Expect(store.UpdateList(standin.Update{Entries: []platform.Listed{target}})).To(Succeed())
		Expect(client.List(ctx)).To(BeEmpty())
		clock.Advance(3 * time.Second)
		// The clock runs what is due in goroutines of their own.
		Eventually(ctx, func() ([]platform.Listed, error) { return client.List(ctx) }).Should(Equal([]platform.Listed{target}))

		store.SetFaults(standin.Fault{FreezeList: true})
		target.State = platform.Leaving
		Expect(store.UpdateList(standin.Update{Entries: []platform.Listed{target}})).To(Succeed())
		clock.Advance(time.Minute)
		Eventually(ctx, func() (string, error) {
			entry, _, err := store.Store().KeyValueStore().Get(ctx, operator.EntryKey(target.Name))

			return string(entry.Value), err
		}).Should(ContainSubstring("draining"))
		Expect(client.List(ctx)).To(HaveExactElements(HaveField("State", platform.Live)))
		store.SetFaults()
		Expect(client.List(ctx)).To(Equal([]platform.Listed{target}))
	})
})

var _ = Describe("Client against a server that breaks the protocol", func() {
	serve := func(handler http.HandlerFunc) netip.AddrPort {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)

		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	clientOf := func(handler http.HandlerFunc) *platform.Client {
		calls := adapter.NewStore(serve(handler))
		DeferCleanup(calls.Close)

		return platform.NewClient(calls.KeyValueStore(), calls.Targets(), timer.New())
	}

	DescribeTable("takes a reply that proves nothing as unknown and does not send the write again",
		func(ctx context.Context, status int, body string) {
			var calls atomic.Int32
			client := clientOf(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.Header().Set("Location", "/store/key")
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			_, err := client.CompareAndSwap(ctx, "key", nil, 0, 0)
			Expect(err).To(MatchError(platform.ErrUnknown))
			Expect(calls.Load()).To(Equal(int32(1)))
			if status != http.StatusOK {
				// Without a body, net/http would follow a redirect of a deletion.
				Expect(client.Delete(ctx, "key", 1)).To(MatchError(platform.ErrUnknown))
				Expect(calls.Load()).To(Equal(int32(2)))
			}
		},
		Entry("success without a body", 200, ""),
		Entry("success without a version", 200, `{}`),
		Entry("truncated success", 200, `{"revision":`),
		Entry("oversized reply", 200, strings.Repeat(" ", 5<<20)),
		Entry("redirect", 307, ""),
		Entry("error of a proxy", 502, "<html>"),
		Entry("error of the server", 500, ""),
	)

	It("does not repeat a write whose reused connection breaks", func(ctx context.Context) {
		var calls atomic.Int32
		client := clientOf(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(`{"revision":1}`))
		})
		_, err := client.CompareAndSwap(ctx, "key", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Delete(ctx, "key", 1)).To(MatchError(platform.ErrUnknown))
		Expect(calls.Load()).To(Equal(int32(2)))
	})

	It("names the first entry that names no target, and lists the others", func(ctx context.Context) {
		var lines bytes.Buffer
		pages := map[string]string{
			"servers/": `{"items":[{"key":"servers/a","value":"e30="},{"key":"servers/b","value":"` + base64.StdEncoding.EncodeToString(
				operator.Entry{Service: "s", Address: "127.0.0.1:9", AvailabilityZone: "Kochi", Slots: 2}.Encode()) + `"}]}`,
		}
		calls := adapter.NewStore(serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, cmp.Or(pages[r.URL.Query().Get("prefix")], "{}"))
		}))
		client := platform.NewClient(calls.KeyValueStore(), calls.Targets(), timer.New(), platform.WithLog(event.New(&lines, time.Now)))
		Expect(client.List(ctx)).To(HaveExactElements(HaveField("Name", "b")))
		Expect(lines.String()).To(And(ContainSubstring("Name=TargetRejected"), ContainSubstring("servers/a: service")))
	})
})
