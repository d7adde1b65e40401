package peer

import (
	"context"

	"storj.io/drpc"
)

// description implements drpc.Description, as protoc-gen-go-drpc would generate it.
type description struct{}

// relayMethod has the types by which drpc recognises a call with one message each way. The relay sends another message of the
// same type before its reply when the attempt is late.
var relayMethod = func(*Server, context.Context, *relayRequest) (*relayReply, error) { return nil, errUnimplemented }

var _ drpc.Description = description{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 7 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	enc := encoding{code: codeMalformed}
	switch n {
	case 0:
		return rpcHello, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).hello(ctx, in.(*hello))
		}, (*Server).hello, true
	case 1:
		return rpcRelay, enc, func(srv any, ctx context.Context, in, stream any) (drpc.Message, error) {
			return srv.(*Server).relay(ctx, in.(*relayRequest), stream.(drpc.Stream))
		}, relayMethod, true
	case 2:
		return rpcPing, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).ping(ctx, in.(*ping))
		}, (*Server).ping, true
	case 3:
		return rpcPingRequest, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).pingRequest(ctx, in.(*pingRequest))
		}, (*Server).pingRequest, true
	case 4:
		return rpcSync, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).sync(ctx, in.(*syncRequest))
		}, (*Server).sync, true
	case 5:
		return rpcConfiguration, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).configuration(ctx, in.(*configurationRequest))
		}, (*Server).configuration, true
	case 6:
		return rpcPush, enc, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).push(ctx, in.(*record))
		}, (*Server).push, true
	default:
		return "", nil, nil, nil, false
	}
}
