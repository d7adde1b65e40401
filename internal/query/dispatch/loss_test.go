package dispatch_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// pipes is a listener with in-memory connections, which work with the virtual time of synctest.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}

	return conn, nil
}

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// lossyConn is a connection that discards all writes while lost is true.
type lossyConn struct {
	net.Conn
	lost *atomic.Bool
}

func (c lossyConn) Write(data []byte) (int, error) {
	if c.lost.Load() {
		return len(data), nil
	}

	return c.Conn.Write(data)
}

// TestLoss relays attempts to an owner at the expected rate, in virtual time and with real clients. It guards against attempts that
// miss their deadline between the loss of the owner and its detection by the membership protocol. They are caused by dials that
// hang and by relays to a peer that does not answer.
func TestLoss(t *testing.T) {
	const (
		deadline   = 170 * time.Millisecond
		interval   = time.Second / 65 // relays to one peer at the expected number of instances
		lostAt     = time.Second
		detectedAt = 11 * time.Second // when all instances have detected the loss, at their expected number
		relays     = 975              // for 15 s
		burst      = 16               // concurrent relays at the start, which open as many connections
	)
	for _, c := range []struct {
		name string
		// dial opens a connection to the lost peer.
		dial func(ctx context.Context) (net.Conn, error)
		// back is the time at which the peer answers again, or 0 if it never does.
		back time.Duration
		// late is the maximum number of relays without an answer at the deadline: those in flight at the loss, and those sent
		// before the peer is avoided.
		late int32
	}{
		{name: "the peer is dead and dials hang", dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}, late: 15},
		{name: "the peer is dead and dials are refused",
			dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }, late: 15},
		{name: "the peer is frozen and accepts connections", dial: func(context.Context) (net.Conn, error) {
			conn, other := net.Pipe()
			go func() {
				buffer := make([]byte, 4096)
				for {
					if _, err := other.Read(buffer); err != nil {
						return
					}
				}
			}()

			return conn, nil
		}, late: 15},
		{name: "the peer is slow once", back: lostAt + 300*time.Millisecond, dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}, late: 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				timers := timer.New()
				var lost, detected atomic.Bool
				var late, runByOwner atomic.Int32
				var running sync.WaitGroup
				w := newFixture(nil)
				listeners := map[netip.AddrPort]pipes{}
				for place, owner := range w.owners[:2] {
					listener := make(pipes)
					listeners[owner.Peer] = listener
					server := peer.NewServer(peer.WithRelay(func(_ context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
						time.Sleep(25 * time.Millisecond) // a round trip between regions
						if place == 0 {
							runByOwner.Add(1)
						}

						return target.Reply{
							RequestID: a.Query.RequestID, AttemptID: a.Query.AttemptID, Service: a.Query.Service, Version: 7, Shards: 1,
							Report: target.Report{Incarnation: 1, Service: a.Query.Service, Holdings: []target.Holding{{Version: 7, Shards: 1}}},
						}, nil
					}))
					running.Go(func() { _ = server.Serve(ctx, listener) })
				}
				client := peer.NewClient(timers, peer.WithSender(peer.Sender{Name: "elsewhere", AvailabilityZone: "Kochi"}),
					peer.WithDialer(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
						if address == w.owners[0].Peer && lost.Load() {
							return c.dial(ctx)
						}
						time.Sleep(time.Millisecond)
						conn, other := net.Pipe()
						listeners[address] <- other
						if address == w.owners[0].Peer {
							return lossyConn{Conn: conn, lost: &lost}, nil
						}

						return conn, nil
					}))
				w.live = w.owners[:2]
				d := dispatch.New("elsewhere", timers, dispatch.Functions{
					Live: func() []instance.Instance {
						if detected.Load() {
							return w.live[1:]
						}

						return w.live
					},
					Relay: client.Relay,
				})
				w.live = ownership.Owners(newAttempt(true).Replica, w.live)
				time.AfterFunc(lostAt, func() { lost.Store(true) })
				if c.back > 0 {
					time.AfterFunc(c.back, func() { lost.Store(false) })
				} else {
					time.AfterFunc(detectedAt, func() { detected.Store(true) })
				}
				var attempts sync.WaitGroup
				for i := range relays {
					attempts.Go(func() {
						attemptCtx, stop := context.WithCancel(ctx)
						defer stop()
						defer time.AfterFunc(deadline, stop).Stop()
						a := newAttempt(true)
						a.Query.Service, a.Query.Class, a.Query.Version, a.Query.Limit = "catalogue", contract.FullPage, 7, 10
						a.Query.Timeout = duration.Duration(deadline - 2*time.Millisecond)
						if _, err := d.Do(attemptCtx, a); err != nil {
							late.Add(1)
						}
					})
					if i >= burst {
						time.Sleep(interval)
					}
				}
				attempts.Wait()
				t.Logf("%s: %d of %d relays late, %d run by the owner, %+v",
					c.name, late.Load(), relays, runByOwner.Load(), d.Counts())
				client.Close()
				cancel()
				for _, listener := range listeners {
					close(listener)
				}
				running.Wait()
				g.Expect(late.Load()).To(BeNumerically("<=", c.late))
			})
		})
	}
}
