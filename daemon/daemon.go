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

// Daemon holds the components of one daemon. Create a Daemon with New and run it with Serve.
type Daemon struct {
	settings  settings.Settings
	logger    *slog.Logger
	startedAt time.Time

	// Metrics holds the daemon's metrics. Each component uses a sub-scope of its
	// Scope.
	Metrics *telemetry.Metrics
	// Log is the client of the platform's log, to which all daemons append. With
	// n daemons, the client limits the append rate of this daemon to an nth of the rate
	// that is allowed for all daemons together, and to a fixed maximum.
	Log *recordlog.RateLimitedLog
	// Config holds the configuration in force.
	Config *configuration.Store
	// Members is this daemon's view of the daemons and their upstreams.
	Members *membership.Registry
	Guard   *guard.Guard
	Entry   *entry.Entry
	// Ceilings holds this daemon's shares of the ceilings. A ceiling is a limit on
	// the rate or the concurrency of a group's requests, counted over all daemons.
	Ceilings *ceiling.Store
	// Quarantine refuses requests that repeatedly crashed upstreams.
	Quarantine *quarantine.Store
	// Owner runs the requests whose idempotency key this daemon owns. It forwards
	// requests with other keys to the daemons that own these keys.
	Owner *owner.Service
	// PeerClient sends control messages to other daemons.
	PeerClient *peer.Client
	// PeerService handles the control messages that other daemons send.
	PeerService *peer.Service
	// Exchanger gossips topics with other daemons.
	Exchanger *peer.Exchanger

	// tracer is nil when tracing is off.
	tracer *trace.Tracer
	// callerTLS is nil if the server for callers uses plaintext.
	callerTLS *identity.Credentials
	// peerTLS is nil if daemons call each other in plaintext.
	peerTLS *identity.Credentials

	supervisor   *supervisorTree
	peerLn       net.Listener
	callerLn     net.Listener
	adminLn      net.Listener
	callerServer *server
	peerServer   *server
	adminServer  *server

	// stopping is set when a shutdown begins.
	stopping atomic.Bool
	// drainAborted is closed when a shutdown must not wait any longer for requests
	// in flight.
	drainAborted chan struct{}
	// abortOnce makes sure that drainAborted is closed only once.
	abortOnce sync.Once
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
		Now:    d.now, Groups: d.admissionGroups, MeasuringBudget: d.measuringBudget, Evacuated: d.isEvacuated, Scope: d.scope("guard"),
		OnLeaving: d.drainUpstream,
	})
	d.logEvacuations()
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
	d.supervisor.Add(&gaugeUpdater{daemon: d, scope: d.Metrics.Scope})
	for _, c := range []component{d.Config, d.Members, d.Exchanger, d.Guard, d.Owner, d.Quarantine, d.Ceilings, d.callerServer, d.peerServer, d.adminServer} {
		d.supervisor.Add(c)
	}
	return d, nil
}

// ID returns the daemon's ID, which is the peer address it listens on.
func (d *Daemon) ID() model.DaemonID { return model.DaemonID(d.peerLn.Addr().String()) }

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// AdminAddress returns the address for status, metrics and announcements.
func (d *Daemon) AdminAddress() string { return d.adminLn.Addr().String() }

// Serve runs the daemon until the context is done, then shuts it down. It returns nil
// if all requests in flight finished, and an *AbortedRequestsError if the shutdown
// aborted some of them. If an invariant is violated before the context is done, Serve
// ends without draining and returns an *InvariantError.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.releaseResources()
	runCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	supervisorStopped := d.supervisor.root.ServeBackground(runCtx)
	d.logger.Info("daemon started", "id", d.ID(), "zone", d.settings.Zone,
		"callers", d.CallerAddress(), "admin", d.AdminAddress())
	var err error
	select {
	case violation := <-d.supervisor.fatalErrs:
		err = violation
	case <-ctx.Done():
		err = d.shutdown(runCtx)
	}
	stopComponents()
	<-supervisorStopped
	return err
}

// releaseResources calls the functions in afterStop, closes the listeners of servers
// that were never run, and stops the reporting of metrics.
func (d *Daemon) releaseResources() {
	for _, f := range d.afterStop {
		f()
	}
	for _, s := range []*server{d.callerServer, d.peerServer, d.adminServer} {
		s.close()
	}
	_ = d.Metrics.Close()
}

// Close releases the resources of a daemon on which Serve was never called.
func (d *Daemon) Close() { d.releaseResources() }

// LibraryLogWriter returns a writer for the standard logger, to which libraries log. The
// writer counts the lines and discards them. Clients can provoke any number of such lines,
// so the lines must not reach the daemon's log.
func (d *Daemon) LibraryLogWriter() io.Writer {
	return lineCounter{d.scope("process").Counter("library_lines")}
}

// scope returns the metrics scope of a component. The names of the metrics in this scope
// have the form "dottereltiller_<component>_...".
func (d *Daemon) scope(component string) tally.Scope { return d.Metrics.Scope.SubScope(component) }

// now returns the time since New was called. The components use it as their clock.
func (d *Daemon) now() model.Instant { return model.Instant(time.Since(d.startedAt)) }

// admissionGroups returns the groups of a service under the configuration in force, or
// nil if the service is not configured.
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
