package hop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper for HTTP/1.x that never presents a broken response as a complete one.
//
// If the head of a response is invalid, or the header of an informational response before it, Transport closes the connection
// and returns an *InvalidHeadError. Reading a body without a length fails if its connection does not end in order.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests by base. It changes base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &orderlyConn{Conn: conn}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.roundTrip(req.Context(), req, func(httptrace.GotConnInfo) {})
}

// roundTrip sends a request with the given context in place of its own. It calls gotConn with the connection of the request.
func (t *Transport) roundTrip(ctx context.Context, req *http.Request, gotConn func(httptrace.GotConnInfo)) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn.Store(&info.Conn)
			gotConn(info)
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFields(header) },
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		if c := conn.Load(); c != nil {
			_ = (*c).Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
