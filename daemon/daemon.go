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

// Daemon is one running daemon.
type Daemon struct {
	settings settings.Settings
	logger   *slog.Logger
	origin   time.Time

	// Metrics counts decisions. Parts take a sub-scope of its Scope.
	Metrics *telemetry.Metrics
	// Log is the platform's log within this daemon's share of appends.
	Log     *recordlog.RateLimitedLog
	Config  *configuration.Store
	Members *membership.Registry
	Guard   *guard.Guard
	Entry   *entry.Entry
	// Ceilings holds this daemon's parts of the groups' ceilings.
	Ceilings *ceiling.Store
	// Quarantine holds the requests that kill upstreams.
	Quarantine *quarantine.Store
	// Owner owns a part of the keys of non-idempotent requests.
	Owner *owner.Service
	// Peers sends control messages, PeerService answers them and Exchanger
	// hands on topics.
	Peers       *peer.Client
	PeerService *peer.Service
	Exchanger   *peer.Exchanger

	// tracer is nil when tracing is off.
	tracer *trace.Tracer
	// callerTLS and peerTLS are nil for plaintext.
	callerTLS *identity.Material
	peerTLS   *identity.Material

	tree     *tree
	peersLn  net.Listener
	callerLn net.Listener
	adminLn  net.Listener
	callers  *server
	peers    *server
	admin    *server

	stopping atomic.Bool
	// abandoned is closed when a stop is to wait no longer.
	abandoned   chan struct{}
	abandonOnce sync.Once
	// beforeStop holds what is done, in order, between the signal to stop and
	// the closing of the addresses.
	beforeStop []func(context.Context)
	// afterStop holds what is done once the parts have stopped.
	afterStop []func()
}

// New checks the settings, binds the addresses and builds a daemon.
func New(s settings.Settings, logger *slog.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, logger: logger, origin: time.Now(), abandoned: make(chan struct{})}
	if err := d.loadMaterial(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Metrics = telemetry.NewMetrics(logger)
	if err := d.buildTracer(); err != nil {
		return nil, err
	}
	d.tree = newTree("dottereltillerd", logger, d.scope("process"))
	d.buildControl()
	d.buildQuarantine()
	d.buildCeilings()
	tokens := calltoken.NewSigner(s.Peers.Secret)
	d.Guard = guard.New(guard.Options{
		Tokens: tokens,
		Now:    d.now, Groups: d.groups, MeasuringBudget: d.measuringBudget, Scope: d.scope("guard"),
	})
	d.Config.OnChange(func(*configuration.InForce) { d.Guard.Configure() })
	remote := &entry.Remote{Client: hop.NewClient(hop.Options{Dial: d.peerDial()}), Secret: s.Peers.Secret, OnUnreachable: d.Members.ReportUnreachable}
	d.beforeStop = append(d.beforeStop, func(context.Context) { remote.Client.CloseIdle() })
	d.buildOwner(remote.Client)
	d.Entry = entry.New(entry.Options{
		Now:        d.now,
		Config:     d.Config.Current,
		Routers:    d.newRouters(),
		Local:      trace.Guard{Next: d.Guard},
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
	d.tree.Add(&gauges{daemon: d, scope: d.Metrics.Scope})
	for _, p := range []part{d.Config, d.Members, d.Exchanger, d.Guard, d.Owner, d.Quarantine, d.Ceilings, d.callers, d.peers, d.admin} {
		d.tree.Add(p)
	}
	return d, nil
}

// ID names the daemon: the peer address it listens on.
func (d *Daemon) ID() model.DaemonID { return model.DaemonID(d.peersLn.Addr().String()) }

// CallerAddress is the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// AdminAddress is the address of status, metrics and announcements.
func (d *Daemon) AdminAddress() string { return d.adminLn.Addr().String() }

// Serve runs the daemon until the context ends, then lets the requests in
// flight finish. It returns an *InvariantError when an invariant broke, and nil
// after an orderly stop.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.release()
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := d.tree.root.ServeBackground(run)
	d.logger.Info("daemon started", "id", d.ID(), "zone", d.settings.Zone,
		"callers", d.CallerAddress(), "admin", d.AdminAddress())
	var err error
	select {
	case broken := <-d.tree.fatal:
		err = broken
	case <-ctx.Done():
		err = d.shutdown(run)
	}
	stop()
	<-done
	return err
}

// release frees what the daemon holds besides its parts.
func (d *Daemon) release() {
	for _, f := range d.afterStop {
		f()
	}
	for _, s := range []*server{d.callers, d.peers, d.admin} {
		s.close()
	}
	_ = d.Metrics.Close()
}

// Close releases a daemon that Serve was never called for.
func (d *Daemon) Close() { d.release() }

// LibraryLogWriter counts the lines that libraries write to the standard logger and
// drops them: what they tell of is up to the other side of a connection.
func (d *Daemon) LibraryLogWriter() io.Writer {
	return lineCounter{d.scope("process").Counter("library_lines")}
}

// scope returns the scope of one part. Names become "dottereltiller_<part>_...".
func (d *Daemon) scope(part string) tally.Scope { return d.Metrics.Scope.SubScope(part) }

func (d *Daemon) now() model.Instant { return model.Instant(time.Since(d.origin)) }

func (d *Daemon) groups(s model.ServiceName) []admission.Group {
	inForce := d.Config.Current()
	if inForce == nil {
		return nil
	}
	svc, ok := inForce.Set.Service(s)
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
