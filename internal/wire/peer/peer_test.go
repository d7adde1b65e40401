package peer_test

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

func newAttempt() attempt.Attempt {
	return attempt.Attempt{
		Replica:     contract.Replica{Address: netip.MustParseAddrPort("10.0.0.1:80"), AvailabilityZone: "Kochi"},
		Slots:       2,
		Connections: 25,
		Worth:       10,
		Query: target.Query{
			RequestID: "r", AttemptID: "a", Service: "catalogue", Class: contract.FullPage, Version: 7, Shard: 1, Shards: 20,
			Limit: 10, Timeout: duration.Duration(time.Minute),
		},
	}
}

func replyTo(q target.Query) target.Reply {
	return target.Reply{
		RequestID: q.RequestID, AttemptID: q.AttemptID, Service: q.Service, Version: q.Version, Shard: q.Shard, Shards: q.Shards,
		Hits:   []target.Hit{{Key: "k", Score: 0.5, Body: "b"}},
		Report: target.Report{Incarnation: 1, Service: q.Service, Holdings: []target.Holding{{Version: 7, Shard: 1, Shards: 20}}},
	}
}

var self = instance.Instance{
	Name: "one", AvailabilityZone: "Logroño", Peer: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 3, State: instance.Alive,
}

// rig is a server and a client whose connections the test sees.
type rig struct {
	server  *peer.Server
	client  *peer.Client
	address netip.AddrPort
	dials   atomic.Int32
	last    atomic.Pointer[net.Conn]
}

func newRig(serverOptions []peer.ServerOption, clientOptions ...peer.ClientOption) *rig {
	r := &rig{server: peer.NewServer(serverOptions...)}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.address = netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- r.server.Serve(ctx, listener) }()
	options := append([]peer.ClientOption{
		peer.WithSender(peer.Sender{Name: "one", AvailabilityZone: "Logroño", Process: 11}),
		peer.WithDialer(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			r.dials.Add(1)
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
			r.last.Store(&conn)

			return conn, err
		}),
		// Only faults that the test makes may end a call.
		peer.WithTimeouts(time.Minute, time.Minute),
	}, clientOptions...)
	r.client = peer.NewClient(timer.New(), options...)
	DeferCleanup(func() {
		r.client.Close()
		cancel()
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})

	return r
}

func relay(f func(ctx context.Context, from peer.Sender, a attempt.Attempt) (target.Reply, error)) []peer.ServerOption {
	return []peer.ServerOption{peer.WithRelay(f)}
}

func expectFailure(err error, outcome target.Outcome, code target.Code) {
	GinkgoHelper()
	var failure *target.Failure
	Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
	Expect(failure.Outcome).To(Equal(outcome), "%v", err)
	Expect(failure.Code).To(Equal(code), "%v", err)
}

var _ = Describe("Relay", func() {
	answer := func(_ context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
		return replyTo(a.Query), nil
	}

	It("carries attempt, reply and sender unchanged over one connection", func() {
		var got attempt.Attempt
		var from peer.Sender
		r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
			got, from = a, s

			return answer(ctx, s, a)
		}))
		for range 3 {
			reply, err := r.client.Relay(context.Background(), r.address, newAttempt())
			Expect(err).NotTo(HaveOccurred())
			Expect(reply).To(Equal(replyTo(newAttempt().Query)))
		}
		Expect(got).To(Equal(newAttempt()))
		Expect(from).To(Equal(peer.Sender{Name: "one", AvailabilityZone: "Logroño", Process: 11}))
		Expect(r.dials.Load()).To(BeEquivalentTo(1))
	})

	It("does not lose a call to the end of an earlier call's context on the same connection", func() {
		r := newRig(relay(answer))
		var running sync.WaitGroup
		var failed atomic.Pointer[error]
		for range 16 {
			running.Go(func() {
				for range 1000 {
					ctx, cancel := context.WithCancel(context.Background())
					_, err := r.client.Relay(ctx, r.address, newAttempt())
					cancel()
					if err != nil {
						failed.Store(&err)
					}
				}
			})
		}
		running.Wait()
		if err := failed.Load(); err != nil {
			Fail((*err).Error())
		}
	})

	DescribeTable("tells a sender that asks for it that the attempt is late, once and before the reply",
		func(asks bool, times, told int) {
			r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
				Expect(a.Late != nil).To(Equal(asks))
				for range times {
					a.Late()
				}

				return answer(ctx, s, a)
			}))
			for range 3 {
				a, n := newAttempt(), 0
				if asks {
					a.Late = func() { n++ }
				}
				reply, err := r.client.Relay(context.Background(), r.address, a)
				Expect(err).NotTo(HaveOccurred())
				Expect(reply).To(Equal(replyTo(a.Query)))
				Expect(n).To(Equal(told))
			}
			Expect(r.dials.Load()).To(BeEquivalentTo(1))
		},
		Entry("an attempt in time has one message", true, 0, 0),
		Entry("a late attempt", true, 1, 1),
		Entry("a repeated call does not fail the relay", true, 2, 1),
		Entry("a request that is not idempotent is never told of", false, 0, 0),
	)

	DescribeTable("reports what the peer says, and Unknown for what it leaves open",
		func(reply target.Reply, failure error, outcome target.Outcome, code target.Code) {
			r := newRig(relay(func(context.Context, peer.Sender, attempt.Attempt) (target.Reply, error) { return reply, failure }))
			_, err := r.client.Relay(context.Background(), r.address, newAttempt())
			expectFailure(err, outcome, code)
		},
		Entry("a refusal of the target", target.Reply{}, &target.Failure{Outcome: target.NotRun, Code: target.Shed}, target.NotRun, target.Shed),
		Entry("a loss at the target", target.Reply{}, &target.Failure{Outcome: target.Unknown, Code: target.Stalled}, target.Unknown, target.Stalled),
		Entry("an untyped error", target.Reply{}, errors.New("fault"), target.Unknown, target.Broken),
		Entry("the reply to another attempt", replyTo(target.Query{RequestID: "r", AttemptID: "other", Shards: 1}), nil, target.Unknown, target.Mismatched),
		Entry("a failure without outcome", target.Reply{}, &target.Failure{Code: target.Shed}, target.Unknown, target.Malformed),
		Entry("a reply over the limit", func() target.Reply {
			reply := replyTo(newAttempt().Query)
			reply.Hits[0].Body = strings.Repeat("x", peer.MaxMessageBytes)

			return reply
		}(), nil, target.Unknown, target.Broken),
	)

	DescribeTable("is not run when nothing was handed over or the peer refused the message",
		func(change func(*attempt.Attempt), code target.Code, clientOptions ...peer.ClientOption) {
			ran := false
			r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
				ran = true

				return answer(ctx, s, a)
			}), clientOptions...)
			a := newAttempt()
			change(&a)
			_, err := r.client.Relay(context.Background(), r.address, a)
			expectFailure(err, target.NotRun, code)
			Expect(ran).To(BeFalse())
		},
		Entry("a dial that fails", func(*attempt.Attempt) {}, target.Unreachable,
			peer.WithDialer(func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("refused") })),
		Entry("a peer that accepts connections and does not answer, as a paused one", func(*attempt.Attempt) {}, target.Unreachable,
			peer.WithTimeouts(time.Minute, 50*time.Millisecond),
			peer.WithDialer(func(context.Context, netip.AddrPort) (net.Conn, error) {
				silent, other := net.Pipe()
				go func() {
					buffer := make([]byte, 1024)
					for {
						if _, err := other.Read(buffer); err != nil {
							return
						}
					}
				}()

				return silent, nil
			})),
		Entry("an attempt over the limit", func(a *attempt.Attempt) { a.Query.Text = strings.Repeat("x", peer.MaxMessageBytes) }, target.BadQuery),
		Entry("an attempt that does not check", func(a *attempt.Attempt) { a.Query.Shard = 99 }, target.BadQuery),
	)

	It("is Unknown when the connection breaks after the request, and the next call dials", func() {
		var r *rig
		first := true
		r = newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
			if first {
				first = false
				_ = (*r.last.Load()).Close()
				<-ctx.Done()
			}

			return answer(ctx, s, a)
		}))
		_, err := r.client.Relay(context.Background(), r.address, newAttempt())
		expectFailure(err, target.Unknown, target.Broken)
		_, err = r.client.Relay(context.Background(), r.address, newAttempt())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.dials.Load()).To(BeEquivalentTo(2))
	})

	It("is Stalled when the time runs out after the request, and the connection is replaced", func() {
		ended := make(chan struct{}, 1)
		stall := atomic.Bool{}
		r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
			if stall.Load() {
				<-ctx.Done()
				ended <- struct{}{}
			}

			return answer(ctx, s, a)
		}))
		_, err := r.client.Relay(context.Background(), r.address, newAttempt())
		Expect(err).NotTo(HaveOccurred())
		stall.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = r.client.Relay(ctx, r.address, newAttempt())
		expectFailure(err, target.Unknown, target.Stalled)
		Eventually(ended, "10s").Should(Receive())
		stall.Store(false)
		_, err = r.client.Relay(context.Background(), r.address, newAttempt())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.dials.Load()).To(BeEquivalentTo(2))
	})

	It("passes a cancellation on and keeps the connection, so that lost hedges cost neither slots nor dials", func() {
		began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		wait := atomic.Bool{}
		wait.Store(true)
		r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
			if wait.Load() {
				began <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
			}

			return answer(ctx, s, a)
		}))
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() {
			_, err := r.client.Relay(ctx, r.address, newAttempt())
			result <- err
		}()
		Eventually(began, "10s").Should(Receive())
		wait.Store(false)
		cancel()
		var err error
		Eventually(result, "10s").Should(Receive(&err))
		expectFailure(err, target.Unknown, target.Cancelled)
		Eventually(ended, "10s").Should(Receive())
		_, err = r.client.Relay(context.Background(), r.address, newAttempt())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.dials.Load()).To(BeEquivalentTo(1))
	})

	It("refuses calls over the bound of its pool as not run", func() {
		began := make(chan struct{}, 1)
		r := newRig(relay(func(ctx context.Context, _ peer.Sender, _ attempt.Attempt) (target.Reply, error) {
			began <- struct{}{}
			<-ctx.Done()

			return target.Reply{}, ctx.Err()
		}), peer.WithPool(1, 0))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _, _ = r.client.Relay(ctx, r.address, newAttempt()) }()
		Eventually(began, "10s").Should(Receive())
		_, err := r.client.Relay(context.Background(), r.address, newAttempt())
		expectFailure(err, target.NotRun, target.QueueFull)
	})

	It("finishes relays in flight at a shutdown and refuses new ones as not run", func() {
		began, finish := make(chan struct{}, 1), make(chan struct{})
		r := newRig(relay(func(ctx context.Context, s peer.Sender, a attempt.Attempt) (target.Reply, error) {
			began <- struct{}{}
			<-finish

			return answer(ctx, s, a)
		}))
		result, stopped := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := r.client.Relay(context.Background(), r.address, newAttempt())
			result <- err
		}()
		Eventually(began, "10s").Should(Receive())
		go func() { stopped <- r.server.Shutdown(context.Background()) }()
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := r.client.Relay(ctx, r.address, newAttempt())

			return err
		}, "10s").Should(MatchError(ContainSubstring("leaving")))
		Consistently(stopped, "20ms").ShouldNot(Receive())
		close(finish)
		Eventually(result, "10s").Should(Receive(BeNil()))
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})
})

var _ = Describe("Blocked zones", func() {
	It("stall open connections and leave relays on new ones not run, as a partition does", func() {
		var blocked atomic.Bool
		r := newRig([]peer.ServerOption{
			peer.WithRelay(func(_ context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
				return replyTo(a.Query), nil
			}),
			peer.WithBlocked(func(z zone.Zone) bool { return blocked.Load() && z == "Logroño" }),
		}, peer.WithTimeouts(50*time.Millisecond, 50*time.Millisecond))
		_, err := r.client.Relay(context.Background(), r.address, newAttempt())
		Expect(err).NotTo(HaveOccurred())
		blocked.Store(true)
		a := newAttempt()
		a.Query.Timeout = duration.Duration(time.Millisecond)
		_, err = r.client.Relay(context.Background(), r.address, a)
		expectFailure(err, target.Unknown, target.Stalled)
		_, err = r.client.Relay(context.Background(), r.address, a)
		expectFailure(err, target.NotRun, target.Unreachable)
	})
})

var _ = Describe("The control plane", func() {
	gossip := peer.Gossip{Self: self, Revision: 4, Updates: []instance.Instance{self}}
	table := peer.Table{Self: self, Revision: 4, Digest: 9, Members: []instance.Instance{self}}

	It("carries each call and its reply", func() {
		var pushed []byte
		r := newRig([]peer.ServerOption{
			peer.WithPing(func(_ context.Context, _ peer.Sender, g peer.Gossip) (peer.Gossip, error) { return g, nil }),
			peer.WithPingRequest(func(_ context.Context, _ peer.Sender, m instance.Instance, _ peer.Gossip) (peer.Gossip, error) {
				return peer.Gossip{Self: m}, nil
			}),
			peer.WithSync(func(_ context.Context, _ peer.Sender, t peer.Table) (peer.Table, error) { return t, nil }),
			peer.WithConfiguration(func(_ context.Context, _ peer.Sender, have uint64) ([]byte, error) { return []byte{byte(have)}, nil }),
			peer.WithPush(func(_ context.Context, _ peer.Sender, raw []byte) error {
				pushed = raw

				return nil
			}),
		})
		ctx := context.Background()
		Expect(r.client.Ping(ctx, r.address, gossip)).To(Equal(gossip))
		Expect(r.client.PingRequest(ctx, r.address, self, gossip)).To(Equal(peer.Gossip{Self: self}))
		Expect(r.client.Sync(ctx, r.address, table)).To(Equal(table))
		Expect(r.client.Configuration(ctx, r.address, 5)).To(Equal([]byte{5}))
		Expect(r.client.Push(ctx, r.address, []byte("{}"))).To(Succeed())
		Expect(string(pushed)).To(Equal("{}"))
	})

	DescribeTable("refuses messages over their bounds, which would let one peer exhaust another's memory",
		func(call func(*rig) error, message string) {
			r := newRig([]peer.ServerOption{
				peer.WithPing(func(_ context.Context, _ peer.Sender, g peer.Gossip) (peer.Gossip, error) { return g, nil }),
				peer.WithPush(func(context.Context, peer.Sender, []byte) error { return nil }),
			})
			Expect(call(r)).To(MatchError(ContainSubstring(message)))
		},
		Entry("too many updates", func(r *rig) error {
			_, err := r.client.Ping(context.Background(), r.address, peer.Gossip{Self: self, Updates: slices.Repeat([]instance.Instance{self}, peer.MaxUpdates+1)})

			return err
		}, "Gossip.Updates: 9 entries, at most 8 are accepted"),
		Entry("a member without name", func(r *rig) error {
			_, err := r.client.Ping(context.Background(), r.address, peer.Gossip{Self: self, Updates: make([]instance.Instance, 1)})

			return err
		}, "Gossip.Updates[0]: Name: must have 1 to 128 characters"),
		Entry("too large a record", func(r *rig) error {
			return r.client.Push(context.Background(), r.address, make([]byte, peer.MaxRecordBytes+1))
		}, "Record: 1048577 bytes"),
		Entry("a small record that expands to too large a one", func(*rig) error {
			var packed bytes.Buffer
			w, err := flate.NewWriter(&packed, flate.BestCompression)
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Write(make([]byte, peer.MaxRecordBytes+1))).To(Equal(peer.MaxRecordBytes + 1))
			Expect(w.Close()).To(Succeed())
			Expect(packed.Len()).To(BeNumerically("<", 4096))
			_, err = peer.Unpack(packed.Bytes())

			return err
		}, "Record: expands to over 1048576 bytes"),
		Entry("a call that the server lacks", func(r *rig) error {
			_, err := r.client.Configuration(context.Background(), r.address, 1)

			return err
		}, "does not answer the call"),
	)
})
