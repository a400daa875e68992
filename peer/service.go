package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1/peerv1connect"
	"github.com/dottereltiller/dottereltiller/wire"
)

// maxMessageBytes limits the size of a control message.
const maxMessageBytes = 4 << 20

// Service handles the control messages of other daemons. A message whose
// function is nil gets a response with connect.CodeUnimplemented.
type Service struct {
	Exchanger *Exchanger
	Ping      func(context.Context, *peerv1.PingRequest) (*peerv1.PingResponse, error)
	Probe     func(context.Context, *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	HandOver  func(context.Context, *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Handler returns the HTTP handler of a Service. It rejects messages without
// the secret.
func Handler(s *Service, secret string) http.Handler {
	_, h := peerv1connect.NewPeerServiceHandler(connectAdapter{s},
		connect.WithInterceptors(authInterceptor(secret)),
		connect.WithReadMaxBytes(maxMessageBytes))
	return h
}

var (
	errUnauthenticated = errors.New("peer not authenticated")
	errUnimplemented   = errors.New("message not implemented by this daemon")
)

// authInterceptor returns an interceptor for clients and servers. It adds the
// secret to messages sent, and rejects received messages without the secret.
func authInterceptor(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				req.Header().Set(wire.HeaderAuth, secret)
				return next(ctx, req)
			}
			receivedSecret := req.Header().Get(wire.HeaderAuth)
			if subtle.ConstantTimeCompare([]byte(receivedSecret), []byte(secret)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
			}
			return next(ctx, req)
		}
	}
}

// connectAdapter adapts a Service to connect.
type connectAdapter struct{ s *Service }

func (a connectAdapter) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return connect.NewResponse(a.s.Exchanger.Handle(r.Msg)), nil
}

func (a connectAdapter) Probe(ctx context.Context, r *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	return serveMessage(ctx, a.s.Probe, r)
}

func (a connectAdapter) Ping(ctx context.Context, r *connect.Request[peerv1.PingRequest]) (*connect.Response[peerv1.PingResponse], error) {
	return serveMessage(ctx, a.s.Ping, r)
}

func (a connectAdapter) HandOver(ctx context.Context, r *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	return serveMessage(ctx, a.s.HandOver, r)
}

// serveMessage handles a message with f. If f is nil, it returns an error with
// connect.CodeUnimplemented.
func serveMessage[Q, R any](ctx context.Context, f func(context.Context, *Q) (*R, error), r *connect.Request[Q]) (*connect.Response[R], error) {
	if f == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errUnimplemented)
	}
	resp, err := f(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}
