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

// ListenError tells which address of the settings cannot be listened on.
type ListenError struct {
	// Path is the JSON path of the address in the settings.
	Path    string
	Address string
	Err     error
}

// Error names the setting, its value and the reason.
func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v (got %q)", e.Path, e.Err, e.Address) }

// Unwrap returns the reason.
func (e *ListenError) Unwrap() error { return e.Err }

// listen binds the three addresses, all or none.
func (d *Daemon) listen() error {
	var bound []net.Listener
	for _, l := range []struct {
		path    string
		address string
		to      *net.Listener
	}{
		{"listen.callers", d.settings.Listen.Callers, &d.callerLn},
		{"listen.peers", d.settings.Listen.Peers, &d.peersLn},
		{"listen.admin", d.settings.Listen.Admin, &d.adminLn},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, b := range bound {
				_ = b.Close()
			}
			return &ListenError{Path: l.path, Address: l.address, Err: err}
		}
		bound = append(bound, ln)
		*l.to = ln
	}
	return nil
}

// loadMaterial reads the certificates that the settings name.
func (d *Daemon) loadMaterial() error {
	var err error
	if d.callerTLS, err = identity.Load("callers.tls", d.settings.Callers.TLS); err != nil {
		return err
	}
	d.peerTLS, err = identity.Load("peers.tls", d.settings.Peers.TLS)
	return err
}

// peerDial returns how to connect to other daemons.
func (d *Daemon) peerDial() identity.Dial { return d.peerTLS.PeerDial(peerDialTimeout) }

// buildServers sets up the servers on the three addresses.
func (d *Daemon) buildServers() {
	limits := d.settings.Callers
	stall := time.Duration(limits.StallTimeout)
	callers := &stallLimit{
		timeout: stall,
		stalls:  d.scope("callers").Counter("stalls"),
		next:    d.withKeys(d.tracer.Handler("entry", d.Entry)),

		closeChunked: true,
	}
	// A slow caller slows its entry, so the entry must give up first.
	peers := &stallLimit{
		timeout: peerStallFactor * stall,
		stalls:  d.scope("peers").Counter("stalls"),
		next:    d.peerHandler(),
	}
	admin := &stallLimit{
		timeout: stall,
		stalls:  d.scope("admin").Counter("stalls"),
		next:    d.adminHandler(),
	}
	d.callers = newServer(serverOptions{
		name:           "callers",
		listener:       d.callerLn,
		handler:        d.tree.protect("callers", callers),
		headerTimeout:  time.Duration(limits.HeaderTimeout),
		idleTimeout:    time.Duration(limits.IdleTimeout),
		maxHeaderBytes: limits.MaxHeaderBytes,
		tls:            d.callerTLS.CallerServer(),
		http2:          true,
		errors:         d.scope("callers").Counter("connection_errors"),
		maxConnections: limits.MaxConnections,
		refused:        d.scope("callers").Counter("connections_refused"),
	})
	d.peers = newServer(serverOptions{
		name:           "peers",
		listener:       d.peersLn,
		handler:        d.tree.protect("peers", peers),
		headerTimeout:  peerHeaderTimeout,
		idleTimeout:    peerIdleTimeout,
		maxHeaderBytes: peerHeaderBytes,
		tls:            d.peerTLS.PeerServer(),
		http2:          true,
		errors:         d.scope("peers").Counter("connection_errors"),
		maxConnections: maxPeerConnections,
		refused:        d.scope("peers").Counter("connections_refused"),
	})
	d.admin = newServer(serverOptions{
		name:           "admin",
		listener:       d.adminLn,
		handler:        d.tree.protect("admin", admin),
		headerTimeout:  peerHeaderTimeout,
		idleTimeout:    peerIdleTimeout,
		maxHeaderBytes: peerHeaderBytes,
		errors:         d.scope("admin").Counter("connection_errors"),
		maxConnections: maxAdminConnections,
		refused:        d.scope("admin").Counter("connections_refused"),
	})
}

// callHandler authenticates other daemons and hands their calls to the
// guard or the owner.
func (d *Daemon) callHandler() http.Handler {
	calls := map[string]http.Handler{
		wire.DestinationGuard: d.refuseWhenLeaving(d.tracer.Handler("guard", d.Guard)),
		wire.DestinationOwner: d.tracer.Handler("owner", d.Owner),
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret := r.Header.Get(wire.HeaderAuth)
		if subtle.ConstantTimeCompare([]byte(secret), []byte(d.settings.Peers.Secret)) != 1 {
			http.Error(w, "peer not authenticated", http.StatusUnauthorized)
			return
		}
		h := calls[r.Header.Get(wire.HeaderDestination)]
		if h == nil {
			http.Error(w, "kind of hop not known", http.StatusBadRequest)
			return
		}
		h.ServeHTTP(w, r)
	})
}
