package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// serveFollowers starts a server that serves followers with the given function.
func serveFollowers(serve peer.ServeFollower, options ...peer.ServerOption) netip.AddrPort {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(nil, nil, nil, nil, timer.New(), nil, append(options, peer.WithFollowers(serve))...)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = s.Serve(ctx, listener) }()

	return netip.MustParseAddrPort(listener.Addr().String())
}

var _ = Describe("Follow", func() {
	var (
		client  *peer.Client
		request *control.FollowRequest
	)

	BeforeEach(func() {
		client = peer.NewClient(timer.New())
		DeferCleanup(client.Close)
		request = &control.FollowRequest{
			Instance: control.Instance{
				Name: "a", Peer: netip.MustParseAddrPort("10.0.0.1:1"), AvailabilityZone: "Kochi", Processor: 0.4, LinkBits: 1e9,
			},
			Register: true, Leader: 5, Version: 7,
		}
	})

	It("carries the request and the leader's updates unchanged", func() {
		received := make(chan *control.FollowRequest, 1)
		address := serveFollowers(func(_ context.Context, r *control.FollowRequest, send func(*control.Update) error) error {
			received <- r
			_ = send(&control.Update{
				Term: 5, Version: 8, StoreAge: time.Second, ConfigurationAge: 2 * time.Second,
				Changes: &control.Changes{Reset: true, Entries: []control.Entry{
					{Key: "k", Value: []byte("v"), Revision: 3}, {Key: "gone", Revision: 4, Deleted: true},
				}},
				Configuration: &control.StoredConfiguration{Version: 8, Value: []byte(strings.Repeat("x", 1<<20))},
			})

			return control.ErrNotLeader
		})
		var updates []*control.Update
		err := client.Follow(context.Background(), address, request, func(u *control.Update) error {
			updates = append(updates, u)

			return nil
		})
		Expect(err).To(HaveOccurred())
		Expect(<-received).To(Equal(request))
		Expect(updates).To(HaveLen(1))
		Expect(updates[0].Term).To(BeEquivalentTo(5))
		Expect(updates[0].StoreAge).To(Equal(time.Second))
		Expect(updates[0].ConfigurationAge).To(Equal(2 * time.Second))
		Expect(updates[0].Changes.Reset).To(BeTrue())
		Expect(updates[0].Changes.Entries).To(Equal([]control.Entry{
			{Key: "k", Value: []byte("v"), Revision: 3}, {Key: "gone", Revision: 4, Deleted: true},
		}))
		Expect(updates[0].Configuration.Value).To(HaveLen(1 << 20))
	})

	It("carries what the follower reports about queries that crash targets unchanged, without waiting for an update", func() {
		records := []suspect.Record{{
			Fingerprint: suspect.NewFingerprint([]byte("a")), Epoch: 2, Blocks: 1, Left: time.Minute,
			Crashes: []suspect.Crash{{Process: "i-1@7", Alone: true}, {Process: "i-2"}},
		}}
		received := make(chan []suspect.Record, 1)
		address := serveFollowers(func(ctx context.Context, _ *control.FollowRequest, _ func(*control.Update) error) error {
			<-ctx.Done()

			return ctx.Err()
		}, peer.OnSuspects(func(r []suspect.Record) { received <- r }))
		request.Suspects = func(after uint64) ([]suspect.Record, uint64, <-chan struct{}) {
			if after == 0 {
				return records, 1, nil
			}

			return nil, after, nil
		}
		go func() {
			_ = client.Follow(context.Background(), address, request, func(*control.Update) error { return nil })
		}()
		Eventually(received, "1s").Should(Receive(Equal(records)))
	})

	It("carries what any instance observes of queries that crash targets unchanged, without a session", func() {
		records := []suspect.Record{{
			Fingerprint: suspect.NewFingerprint([]byte("a")), Epoch: 2, Crashes: []suspect.Crash{{Process: "i-1@7", Alone: true}, {Process: "i-2"}},
		}}
		received := make(chan []suspect.Record, 1)
		address := serveFollowers(nil, peer.OnSuspects(func(r []suspect.Record) { received <- r }))
		Expect(client.Suspects(context.Background(), address, records)).To(Succeed())
		Expect(received).To(Receive(Equal(records)))
	})

	It("carries which targets leave, and the start times of their processes, without waiting for an update", func() {
		targets := []*directory.Target{{ID: "i-1", Started: time.UnixMilli(1700000000123)}, {ID: "i-2"}}
		received := make(chan []*directory.Target, 1)
		address := serveFollowers(func(ctx context.Context, _ *control.FollowRequest, _ func(*control.Update) error) error {
			<-ctx.Done()

			return ctx.Err()
		}, peer.OnLeaving(func(t []*directory.Target) { received <- t }))
		request.Leaving = func() ([]*directory.Target, <-chan struct{}) { return targets, nil }
		go func() {
			_ = client.Follow(context.Background(), address, request, func(*control.Update) error { return nil })
		}()
		Eventually(received, "1s").Should(Receive(Equal(targets)))
	})

	It("carries what the follower reports about rate limits, within the second, and the start time of the target unchanged", func() {
		reports := []ratelimit.Report{
			{Target: "i-1", Started: time.UnixMilli(1700000000123), PerSecond: 21.7, Age: time.Second, Demand: 3.5},
			{Target: "i-2", Lifted: true, Age: ratelimit.MaximumAge},
		}
		request.Reports = func() []ratelimit.Report { return reports }
		received := make(chan []ratelimit.Report, 1)
		address := serveFollowers(func(ctx context.Context, _ *control.FollowRequest, send func(*control.Update) error) error {
			for ctx.Err() == nil {
				if err := send(&control.Update{Term: 5}); err != nil {
					return err
				}
				time.Sleep(100 * time.Millisecond)
			}

			return ctx.Err()
		}, peer.OnReports(func(instance string, r []ratelimit.Report) {
			Expect(instance).To(Equal("a"))
			select {
			case received <- r:
			default:
			}
		}))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = client.Follow(ctx, address, request, func(*control.Update) error { return nil }) }()
		Eventually(received, "2s").Should(Receive(Equal(reports)))
	})

	It("ends when the leader sends nothing any more, because it may be frozen or cut off", func() {
		address := serveFollowers(func(ctx context.Context, _ *control.FollowRequest, _ func(*control.Update) error) error {
			<-ctx.Done()

			return ctx.Err()
		})
		began := time.Now()
		Expect(client.Follow(context.Background(), address, request, nil)).NotTo(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})

	It("refuses a part of an update that decompresses to more than its limit, instead of running out of memory", func() {
		address := serveFollowers(func(_ context.Context, _ *control.FollowRequest, send func(*control.Update) error) error {
			return send(&control.Update{
				Term: 5, Configuration: &control.StoredConfiguration{Version: 8, Value: make([]byte, 17<<20)},
			})
		})
		err := client.Follow(context.Background(), address, request, func(*control.Update) error {
			return errors.New("received")
		})
		Expect(err).To(MatchError(ContainSubstring("over")))
	})

	It("rejects the request of an instance that does not describe itself", func() {
		request.Instance.Name = ""
		address := serveFollowers(func(context.Context, *control.FollowRequest, func(*control.Update) error) error {
			Fail("an invalid request was served")

			return nil
		})
		Expect(client.Follow(context.Background(), address, request, nil)).NotTo(Succeed())
	})

	It("and the other calls survive a call whose handling fails unexpectedly, which ends without taking the process down", func() {
		calls := 0
		address := serveFollowers(func(context.Context, *control.FollowRequest, func(*control.Update) error) error {
			calls++
			if calls == 1 {
				panic("malformed message")
			}

			return control.ErrNotLeader
		})
		Expect(client.Follow(context.Background(), address, request, nil)).To(MatchError(ContainSubstring("unexpected failure")))
		Expect(client.Follow(context.Background(), address, request, nil)).To(MatchError(ContainSubstring("does not lead")))
	})
})
