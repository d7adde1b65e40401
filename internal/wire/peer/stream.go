package peer

import (
	"context"

	"github.com/zeebo/errs"
	"storj.io/drpc"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// receive makes a call that is answered by one or more messages, each of them decoded into out, until more returns false. It
// writes the request as drpcconn.Conn.Invoke does, in one piece; MsgSend would take a system call more.
func (l *link) receive(ctx context.Context, rpc string, in, out any, more func() bool) (err error) {
	data, err := encoding{}.Marshal(in)
	if err != nil {
		return err
	}
	opened, err := l.conn.NewStream(ctx, rpc, encoding{})
	if err != nil {
		return err
	}
	defer func() { err = errs.Combine(err, opened.Close()) }()

	stream, ok := opened.(*drpcstream.Stream)
	if !ok {
		return drpc.InternalError.New("a stream of the type %T", opened)
	}
	if err := stream.RawWrite(drpcwire.KindMessage, data); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	for {
		if err := stream.MsgRecv(out, encoding{}); err != nil {
			return err
		}
		if !more() {
			return nil
		}
	}
}
