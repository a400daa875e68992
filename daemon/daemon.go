package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/ceiling"
	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/entry"
	"github.com/dottereltiller/dottereltiller/guard"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/owner"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/quarantine"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/telemetry"
	"github.com/dottereltiller/dottereltiller/trace"
)

// Daemon is a daemon with all its components. Create one with New and run it with
// Serve.
type Daemon struct {
	settings  settings.Settings
	logger    *slog.Logger
	startedAt time.Time

	// Metrics holds the daemon's metrics. Each component uses a sub-scope of its
	// Scope.
	Metrics *telemetry.Metrics
	// Log is the client of the platform's log. It limits the rate of appends to
	// this daemon's share.
	Log     *recordlog.RateLimitedLog
	Config  *configuration.Store
	Members *membership.Registry
	Guard   *guard.Guard
	Entry   *entry.Entry
	// Ceilings holds this daemon's shares of the ceilings, the rate and concurrency
	// limits that groups have over all daemons.
	Ceilings *ceiling.Store
	// Quarantine refuses requests that repeatedly crashed upstreams.
	Quarantine *quarantine.Store
	// Owner handles the idempotency keys that this daemon owns, and forwards
	// requests with other keys to the daemons that own those.
	Owner *owner.Service
	// PeerClient sends control messages to other daemons, PeerService handles the
	// received ones, and Exchanger gossips topics with other daemons.
	PeerClient  *peer.Client
	PeerService *peer.Service
	Exchanger   *peer.Exchanger

	// tracer is nil when tracing is off.
	tracer *trace.Tracer
	// callerTLS and peerTLS are nil for plaintext.
	callerTLS *identity.Credentials
	peerTLS   *identity.Credentials

	supervisor *supervisorTree
	peersLn    net.Listener
	callerLn   net.Listener
	adminLn    net.Listener
	callers    *server
	peers      *server
	admin      *server

	stopping atomic.Bool
	// drainAborted is closed when a shutdown must not wait any longer for requests
	// in flight.
	drainAborted chan struct{}
	abortOnce    sync.Once
	// beforeStop holds functions that a shutdown calls, in order, before it closes
	// the listeners for callers and peers.
	beforeStop []func(context.Context)
	// afterStop holds functions that are called after the components have stopped.
	afterStop []func()
}

// New checks the settings, binds the listeners and builds a daemon. Call Serve to
// run it, or Close to release it without running.
func New(s settings.Settings, logger *slog.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, logger: logger, startedAt: time.Now(), drainAborted: make(chan struct{})}
	if err := d.loadCredentials(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Metrics = telemetry.NewMetrics(logger)
	if err := d.buildTracer(); err != nil {
		return nil, err
	}
	d.supervisor = newSupervisorTree("dottereltillerd", logger, d.scope("process"))
	d.buildControl()
	d.buildQuarantine()
	d.buildCeilings()
	tokens := calltoken.NewSigner(s.Peers.Secret)
	d.Guard = guard.New(guard.Options{
		Tokens: tokens,
		Now:    d.now, Groups: d.admissionGroups, MeasuringBudget: d.measuringBudget, Scope: d.scope("guard"),
	})
	d.Config.OnChange(func(*configuration.InForce) { d.Guard.Configure() })
	remote := &entry.Remote{Client: hop.NewClient(hop.Options{Dial: d.peerDial()}), Secret: s.Peers.Secret, OnUnreachable: d.Members.ReportUnreachable}
	d.beforeStop = append(d.beforeStop, func(context.Context) { remote.Client.CloseIdle() })
	d.buildOwner(remote.Client)
	d.Entry = entry.New(entry.Options{
		Now:        d.now,
		Config:     d.Config.Current,
		Routers:    d.newRouters(),
		Local:      trace.TracedGuard{Next: d.Guard},
		Remote:     remote.To,
		Self:       d.ID(),
		Tokens:     tokens,
		Quarantine: d.Quarantine,
		Ceilings:   d.Ceilings,
		MaxBody:    s.Callers.MaxBodyBytes,
		Scope:      d.scope("entry"),

		Keyed:        d.Owner,
		MaxKeyedBody: s.Keys.MaxBodyBytes,
	})
	d.buildServers()
	d.supervisor.Add(&gauges{daemon: d, scope: d.Metrics.Scope})
	for _, c := range []component{d.Config, d.Members, d.Exchanger, d.Guard, d.Owner, d.Quarantine, d.Ceilings, d.callers, d.peers, d.admin} {
		d.supervisor.Add(c)
	}
	return d, nil
}

// ID returns the daemon's ID, which is the peer address it listens on.
func (d *Daemon) ID() model.DaemonID { return model.DaemonID(d.peersLn.Addr().String()) }

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// AdminAddress returns the address for status, metrics and announcements.
func (d *Daemon) AdminAddress() string { return d.adminLn.Addr().String() }

// Serve runs the daemon until the context is done, then shuts it down. It returns
// nil when all requests in flight have finished, an *AbortedRequestsError when the
// shutdown aborted some of them, and an *InvariantError when an invariant was
// violated.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.releaseResources()
	runCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	stopped := d.supervisor.root.ServeBackground(runCtx)
	d.logger.Info("daemon started", "id", d.ID(), "zone", d.settings.Zone,
		"callers", d.CallerAddress(), "admin", d.AdminAddress())
	var err error
	select {
	case violation := <-d.supervisor.fatal:
		err = violation
	case <-ctx.Done():
		err = d.shutdown(runCtx)
	}
	stopComponents()
	<-stopped
	return err
}

// releaseResources calls the functions in afterStop, closes the listeners that no
// server has taken over, and stops the reporting of metrics.
func (d *Daemon) releaseResources() {
	for _, f := range d.afterStop {
		f()
	}
	for _, s := range []*server{d.callers, d.peers, d.admin} {
		s.close()
	}
	_ = d.Metrics.Close()
}

// Close releases the resources of a daemon on which Serve was never called.
func (d *Daemon) Close() { d.releaseResources() }

// LibraryLogWriter returns a writer for the standard logger that counts and discards
// the lines that libraries log. Clients can cause such lines at will, so they must not
// reach the daemon's log.
func (d *Daemon) LibraryLogWriter() io.Writer {
	return lineCounter{d.scope("process").Counter("library_lines")}
}

// scope returns the metrics scope of a component. Its metrics are named
// "dottereltiller_<component>_...".
func (d *Daemon) scope(component string) tally.Scope { return d.Metrics.Scope.SubScope(component) }

func (d *Daemon) now() model.Instant { return model.Instant(time.Since(d.startedAt)) }

func (d *Daemon) admissionGroups(service model.ServiceName) []admission.Group {
	inForce := d.Config.Current()
	if inForce == nil {
		return nil
	}
	svc, ok := inForce.Set.Service(service)
	if !ok {
		return nil
	}
	groups := make([]admission.Group, 0, len(svc.Groups))
	for _, g := range svc.Groups {
		groups = append(groups, admission.Group{
			Name: g.Name, Weight: g.Weight, QueueBound: g.QueueBound, MaxRunning: g.SlotsPerUpstream,
		})
	}
	return groups
}
