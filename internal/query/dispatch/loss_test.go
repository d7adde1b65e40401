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

// pipes is a listener whose connections are in memory, so that they follow virtual time.
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

// held is a connection over which nothing passes while the peer does not run.
type held struct {
	net.Conn
	lost *atomic.Bool
}

func (h held) Write(data []byte) (int, error) {
	if h.lost.Load() {
		return len(data), nil
	}

	return h.Conn.Write(data)
}

// TestLoss relays to an owner at the expected rate, in virtual time and with real clients. It guards against late relays in the time
// until the members fail a lost owner, which come from dials that hang and from relays to a peer that answers none.
func TestLoss(t *testing.T) {
	const (
		deadline = 170 * time.Millisecond
		interval = time.Second / 65 // relays to one peer at the expected size
		lostAt   = time.Second
		failedAt = 11 * time.Second // until all know, at the expected size
		relays   = 975              // for 15 s
		burst    = 16               // relays at once at the start, after which as many connections are open
	)
	for _, c := range []struct {
		name string
		// dial opens a connection to the lost peer.
		dial func(ctx context.Context) (net.Conn, error)
		// back is when the peer answers again, 0 for never.
		back time.Duration
		// late bounds the relays that have no answer at the deadline: those in flight at the loss, and until the silence is noticed.
		late int32
	}{
		{name: "dead, dials hang", dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}, late: 15},
		{name: "dead, dials are refused", dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }, late: 15},
		{name: "frozen, takes connections", dial: func(context.Context) (net.Conn, error) {
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
		{name: "slow once", back: lostAt + 300*time.Millisecond, dial: func(ctx context.Context) (net.Conn, error) {
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
				var lost, failed atomic.Bool
				var late, owned atomic.Int32
				var running sync.WaitGroup
				w := newWorld(nil)
				listeners := map[netip.AddrPort]pipes{}
				for place, owner := range w.owners[:2] {
					listener := make(pipes)
					listeners[owner.Peer] = listener
					server := peer.NewServer(peer.WithRelay(func(_ context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
						time.Sleep(25 * time.Millisecond) // a round trip between regions
						if place == 0 {
							owned.Add(1)
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
							return held{Conn: conn, lost: &lost}, nil
						}

						return conn, nil
					}))
				w.live = w.owners[:2]
				d := dispatch.New("elsewhere", timers, dispatch.Functions{
					Live: func() []instance.Instance {
						if failed.Load() {
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
					time.AfterFunc(failedAt, func() { failed.Store(true) })
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
				t.Logf("%s: %d late of %d, %d at the owner, %+v", c.name, late.Load(), relays, owned.Load(), d.Counts())
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
