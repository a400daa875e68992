package daemon

import (
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/wire"
)

// ListenError is the error of a daemon that cannot listen on an address in its settings.
type ListenError struct {
	// Path is the JSON path of the setting with the address.
	Path    string
	Address string
	Err     error
}

// Error returns the setting, the cause and the address on one line.
func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v (got %q)", e.Path, e.Err, e.Address) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listen binds the listeners for callers, peers and admin. If one address cannot be
// bound, listen closes the listeners already bound and returns a *ListenError.
func (d *Daemon) listen() error {
	var boundListeners []net.Listener
	for _, l := range []struct {
		path     string
		address  string
		listener *net.Listener
	}{
		{"listen.callers", d.settings.Listen.Callers, &d.callerLn},
		{"listen.peers", d.settings.Listen.Peers, &d.peerLn},
		{"listen.admin", d.settings.Listen.Admin, &d.adminLn},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, b := range boundListeners {
				_ = b.Close()
			}
			return &ListenError{Path: l.path, Address: l.address, Err: err}
		}
		boundListeners = append(boundListeners, ln)
		*l.listener = ln
	}
	return nil
}

// loadCredentials reads the certificates and keys that the settings name.
func (d *Daemon) loadCredentials() error {
	var err error
	if d.callerTLS, err = identity.Load("callers.tls", d.settings.Callers.TLS); err != nil {
		return err
	}
	d.peerTLS, err = identity.Load("peers.tls", d.settings.Peers.TLS)
	return err
}

// peerDial returns a function that connects to other daemons.
func (d *Daemon) peerDial() identity.DialFunc { return d.peerTLS.PeerDialer(peerDialTimeout) }

// buildServers sets up the servers for callers, peers and admin.
func (d *Daemon) buildServers() {
	callerSettings := d.settings.Callers
	stallTimeout := time.Duration(callerSettings.StallTimeout)
	callerHandler := &stallLimiter{
		timeout: stallTimeout,
		stalls:  d.scope("callers").Counter("stalls"),
		next:    d.serveKeys(d.tracer.Handler("entry", d.Entry)),

		closeChunked: true,
	}
	// If a caller reads slowly, the daemon that accepted its request also reads slowly
	// from this daemon. The longer timeout for peers lets that daemon abort the
	// caller's request before this daemon aborts the forwarded call.
	peerHandler := &stallLimiter{
		timeout: peerStallFactor * stallTimeout,
		stalls:  d.scope("peers").Counter("stalls"),
		next:    d.peerHandler(),
	}
	adminHandler := &stallLimiter{
		timeout: stallTimeout,
		stalls:  d.scope("admin").Counter("stalls"),
		next:    d.adminHandler(),
	}
	d.callerServer = newServer(serverOptions{
		name:           "callers",
		listener:       d.callerLn,
		handler:        d.supervisor.recoverPanics("callers", callerHandler),
		headerTimeout:  time.Duration(callerSettings.HeaderTimeout),
		idleTimeout:    time.Duration(callerSettings.IdleTimeout),
		maxHeaderBytes: callerSettings.MaxHeaderBytes,
		tls:            d.callerTLS.CallerServerConfig(),
		http2:          true,
		connErrors:     d.scope("callers").Counter("connection_errors"),
		maxConnections: callerSettings.MaxConnections,
		refusedConns:   d.scope("callers").Counter("connections_refused"),
	})
	d.peerServer = newServer(serverOptions{
		name:           "peers",
		listener:       d.peerLn,
		handler:        d.supervisor.recoverPanics("peers", peerHandler),
		headerTimeout:  peerHeaderTimeout,
		idleTimeout:    peerIdleTimeout,
		maxHeaderBytes: maxPeerHeaderBytes,
		tls:            d.peerTLS.PeerServerConfig(),
		http2:          true,
		connErrors:     d.scope("peers").Counter("connection_errors"),
		maxConnections: maxPeerConnections,
		refusedConns:   d.scope("peers").Counter("connections_refused"),
	})
	d.adminServer = newServer(serverOptions{
		name:           "admin",
		listener:       d.adminLn,
		handler:        d.supervisor.recoverPanics("admin", adminHandler),
		headerTimeout:  peerHeaderTimeout,
		idleTimeout:    peerIdleTimeout,
		maxHeaderBytes: maxPeerHeaderBytes,
		connErrors:     d.scope("admin").Counter("connection_errors"),
		maxConnections: maxAdminConnections,
		refusedConns:   d.scope("admin").Counter("connections_refused"),
	})
}

// callHandler returns a handler for calls of other daemons. It authenticates the calling
// daemon by the peer secret and passes the call to the guard or the owner. It responds 401
// if the secret is wrong and 400 if the destination is neither of the two.
func (d *Daemon) callHandler() http.Handler {
	handlersByDestination := map[string]http.Handler{
		wire.DestinationGuard: d.rejectWhileDraining(d.tracer.Handler("guard", d.Guard)),
		wire.DestinationOwner: d.tracer.Handler("owner", d.Owner),
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret := r.Header.Get(wire.HeaderAuth)
		if subtle.ConstantTimeCompare([]byte(secret), []byte(d.settings.Peers.Secret)) != 1 {
			http.Error(w, "peer not authenticated", http.StatusUnauthorized)
			return
		}
		h := handlersByDestination[r.Header.Get(wire.HeaderDestination)]
		if h == nil {
			http.Error(w, "unknown destination component", http.StatusBadRequest)
			return
		}
		h.ServeHTTP(w, r)
	})
}
