package hop

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper for HTTP/1.x that returns no response whose head is invalid, or the header of an
// informational response before it. It closes the connection of such a response and returns an *InvalidHeadError instead.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests by base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) },
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
