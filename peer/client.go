package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/hop"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1/peerv1connect"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = time.Minute
	maxIdleConns    = maxLocalNeighbours + maxRemoteNeighbours + 4
)

// Client sends control messages to other daemons. It is safe for concurrent
// use.
type Client struct {
	http    *http.Client
	options []connect.ClientOption
}

// DialFunc connects to an address and does the TLS handshake, if any.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client that uses plain TCP and authenticates with the
// secret.
func NewClient(secret string) *Client {
	return NewClientWithDial(secret, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWithDial returns a Client that connects with dial and authenticates
// with the secret.
func NewClientWithDial(secret string, dial DialFunc) *Client {
	return &Client{
		http: &http.Client{
			Transport: hop.NewTransport(&http.Transport{
				Proxy:               nil,
				DialContext:         dial,
				MaxIdleConns:        maxIdleConns,
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		options: []connect.ClientOption{
			connect.WithInterceptors(authInterceptor(secret)),
			connect.WithReadMaxBytes(maxMessageBytes),
			// Gzip is turned off. Messages are small and compact already; a gzip
			// writer for each would cost more than the rest of a round.
			connect.WithAcceptCompression("gzip", nil, nil),
		},
	}
}

// To returns an RPC client that sends control messages to one daemon.
func (c *Client) To(d model.DaemonID) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.http, "http://"+string(d), c.options...)
}

// Exchange implements Transport.
func (c *Client) Exchange(ctx context.Context, to model.DaemonID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	resp, err := c.To(to).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Ping asks a daemon whether it is alive or, if the request names a target,
// whether it can reach that target.
func (c *Client) Ping(ctx context.Context, to model.DaemonID, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	resp, err := c.To(to).Ping(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
