package inbound

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// acceptDelay is the time after which connections are accepted again if no file descriptor was left.
const acceptDelay = 100 * time.Millisecond

// ServePeers accepts connections on listener and has server handle their calls until ctx is done. It does what the Serve method of server
// does, and gives the calls the connection in their context, for Handler.
func ServePeers(ctx context.Context, listener net.Listener, server *drpcserver.Server, timers *timer.Service) error {
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			// An error of a connection ends that one alone, and its client sees it.
			tracker.Run(func(ctx context.Context) { _ = server.ServeOne(NewContext(ctx, conn), conn) })
		case ctx.Err() != nil:
			return nil
		case !isTemporary(err):
			return err
		default:
			select {
			case <-timers.After(acceptDelay):
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// isTemporary reports whether the next connection may be accepted after an error.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, temporary) {
			return true
		}
	}

	return false
}

// Handler returns a handler that marks the connection of a call as served until next has returned.
func Handler(next drpc.Handler) drpc.Handler { return handler{next} }

type handler struct{ next drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if c := fromContext(stream.Context()); c != nil {
		c.guard.ledger.Admit(c.client)
		defer func() { c.guard.ledger.Wait(c.client, c.guard.timers.Now()) }()
	}

	return h.next.HandleRPC(stream, rpc)
}
