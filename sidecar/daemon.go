package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/bodylimit"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/slots"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/quota"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// Registry receives what the local upstream reports about itself.
type Registry interface {
	// Report records a state report of the upstream and returns what changed: nothing if stale or refused.
	Report(r lifecycle.Report) lifecycle.Effect
	// Leave records the final deregistration of an incarnation of the upstream and returns what
	// the deregistration changed.
	Leave(i lifecycle.Incarnation) lifecycle.Effect
	// LogInvalidReport logs that a report of the upstream named id could not be parsed.
	LogInvalidReport(id string, err error)
}

// Daemon holds the entry, the guard and the other components of the daemon of one VM. New creates
// it and Serve runs it.
type Daemon struct {
	opts         Options
	tunables     atomic.Pointer[Tunables]
	startedAt    time.Time
	metrics      *metrics
	config       *configuration
	evacuations  *evacuations
	follower     *configFollower
	keyChecks    *keyChecks
	peers        *peers
	relay        *relay
	antiEntropy  *antiEntropy
	guard        *guard
	quarantine   *crashQuarantine
	bodyLimiter  *bodylimit.Limiter
	responses    *bodylimit.Budget
	entry        *entry
	quotas       *quota.Limiter
	datagrams    *datagrams
	servers      []*server
	callerServer *server
	peerServer   *server
	// fetching is set while a configuration is being fetched from another daemon.
	fetching atomic.Bool
	// ready is set once a configuration is in force and the wait for the first exchange with
	// another daemon is over. The wait ends after readinessWait at the latest.
	ready atomic.Bool
	// stopping is set when draining begins.
	stopping atomic.Bool
	// stoppingSince is the model.Instant at which draining began. It is set before stopping.
	stoppingSince atomic.Int64
	// storeUnreachableSince is the model.Instant since which no daemon of the cell has reached
	// the configuration store. A cell is a group of daemons of one zone, a few of which watch
	// the store; see package watch. Zero means that some daemon of the cell reaches the store.
	storeUnreachableSince atomic.Int64
	inFlight              inFlightRequests
	// aborting is closed when draining is over, at the latest shutdownMargin before the end of the
	// grace period (Tunables.GracePeriod). Requests still in flight are then aborted.
	aborting chan struct{}
}

// New binds the listen addresses and returns a Daemon for Serve to run. If an address cannot be
// bound, New closes those already bound and returns the error.
func New(o Options) (*Daemon, error) {
	if o.Addresses.PeerBind == "" {
		o.Addresses.PeerBind = o.Addresses.Peers
	}
	d := &Daemon{opts: o, startedAt: time.Now(), metrics: newMetrics(o.Scope), aborting: make(chan struct{})}
	d.tunables.Store(&o.Tunables)
	d.evacuations = newEvacuations(o.Decisions)
	d.evacuations.onChange = d.onEvacuationsChange
	d.config = newConfiguration(o.Source, o.Decisions, d.evacuations)
	d.guard = newGuard(&d.opts, d.now, d.metrics)
	d.guard.configVersion = d.config.version
	d.guard.healthPath = d.healthPath
	d.guard.onPanic = d.recordPanic
	d.guard.onDeparture = d.announceState
	d.guard.stoppingFor = d.stoppingFor
	d.guard.accountWeight = func(a slots.Account) float64 {
		if table := d.config.table(); table != nil {
			return table.Accounts().Weight(uint32(a))
		}
		return 1
	}
	d.guard.isUrgent = func(rank int) bool {
		t := d.config.table()
		return t != nil && t.AboveLowestPriority(rank)
	}
	d.guard.hasAccounts = d.config.hasAccounts
	d.guard.keyRejection = func(c *Call) outcome.Reason {
		return d.config.keyRejection(c.Account, c.Credential, c.AccountVersion)
	}
	d.peers = newPeers(Record{
		Address: o.Addresses.Peers, Incarnation: d.startedAt.UnixMilli(), Sequence: 1, Zone: o.Zone, Service: o.Service,
	}, d.now, o.Decisions)
	d.peers.configVersion = d.config.version
	d.peers.evacuations = d.evacuations
	d.peers.onVersion = d.onPeerVersion
	d.peers.restoreDeparted = d.restoreDeparted
	d.guard.slotsFromPeers = d.peers.inferSlots
	d.follower = newConfigFollower(d)
	d.keyChecks = &keyChecks{d: d}
	d.relay = &relay{zonePeers: d.peers.zonePeers, send: func(address string, b []byte) { d.datagrams.sendOneWay(kindRelayedRecords, address, b) }}
	d.antiEntropy = &antiEntropy{d: d}
	d.quarantine = newCrashQuarantine(d)
	d.peers.onReachable = func() {
		d.quarantine.gossip.ResetAntiEntropy()
		d.antiEntropy.speedUp()
	}
	d.peers.onFullSync = d.quarantine.gossip.SendDigest
	d.bodyLimiter = bodylimit.New(o.MaxBodyBytes)
	d.responses = bodylimit.NewBudget(o.MaxResponseBytes)
	d.guard.crashes.onCrash = d.quarantine.recordCrash
	d.guard.isQuarantined = d.quarantine.refusesCall
	d.entry = newEntry(d)
	d.quotas = quota.New(quota.Options{
		Self: o.Addresses.Peers, Zone: o.Zone, Zones: o.Zones, Rules: o.Quotas, Now: d.now, Members: d.peers.quotaMembers,
		Contact: (&zoneContact{d: d, bootClock: bootTime}).refresh,
		Send: func(to string, k quota.MessageKind, exchange uint32, body []byte) {
			d.datagrams.sendQuotaMessage(to, k, exchange, body)
		},
		Decisions: o.Decisions, Scope: o.Scope,
	})
	d.config.onChange = append(d.config.onChange, func(t *route.Table) { d.quotas.SetAccounts(t.Accounts()) })
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) now() model.Instant { return model.Instant(time.Since(d.startedAt)) }

// service returns the service of the local upstream. Callers on this VM belong to the same
// service.
func (d *Daemon) service() model.ServiceName { return d.tunables.Load().Service }

// Reconfigure replaces the Tunables. The new values apply from the next request on.
func (d *Daemon) Reconfigure(t Tunables) {
	d.tunables.Store(&t)
	d.entry.setRetryBudget(t.Retries)
	d.guard.setService(t.Service)
	d.updateColdLimits(d.config.table())
	d.config.recheckWaiters()
}

// healthPath returns the path of the health check of the local upstream. It is empty if the
// configuration states none.
func (d *Daemon) healthPath() string {
	t := d.config.table()
	if t == nil {
		return ""
	}
	s, ok := t.Service(d.service())
	if !ok {
		return ""
	}
	return s.HealthPath
}

// listen binds the listen addresses and creates the servers for them. An empty address is not
// bound. listen also opens the socket for datagrams and registers the functions that are called
// when the configuration changes.
func (d *Daemon) listen() error {
	addresses := d.opts.Addresses
	d.callerServer = newServer("callers", d.reportPanics("callers", d.entry))
	d.config.onChange = append(d.config.onChange, func(t *route.Table) { d.callerServer.setLimits(t.Limits()) })
	d.peerServer = newServer("peers", d.reportPanics("peers", peerHandler{d}))
	endpoints := []struct {
		address string
		server  *server
	}{
		{addresses.Callers, d.callerServer},
		{addresses.PeerBind, d.peerServer},
		{addresses.Control, newServer("control", d.opts.Control(d))},
		{addresses.Ready, newServer("ready", http.HandlerFunc(d.serveReady))},
		{addresses.Metrics, newServer("metrics", d.opts.Metrics)},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return err
		}
		endpoint.server.listener = ln
		d.servers = append(d.servers, endpoint.server)
	}
	var err error
	if d.datagrams, err = newDatagrams(d); err != nil {
		return err
	}
	d.peers.pushByDatagram = d.datagrams.pushRecord
	d.config.onChange = append(d.config.onChange, d.updateColdLimits, func(*route.Table) {
		// The candidates hold the rates of cold upstreams.
		d.peers.updateCandidates()
		d.guard.rejectRevoked()
		d.datagrams.announceVersion()
		d.follower.announceVersion()
	})
	return nil
}

func (d *Daemon) closeSockets() {
	for _, s := range d.servers {
		s.close()
	}
	if d.datagrams != nil {
		d.datagrams.close()
	}
}

// serveReady answers the readiness check: status 200 if the daemon is ready and not stopping, 503
// otherwise. Paths other than Options.ReadyPath get 404.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.opts.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.ready.Load() || d.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Report implements Registry.
func (d *Daemon) Report(r lifecycle.Report) lifecycle.Effect {
	if r.Service != d.service() {
		d.LogInvalidReport(string(r.ID), &ServiceError{Service: r.Service})
		return lifecycle.Refused
	}
	effect := d.guard.handleReport(r, "report")
	// The first report after a health check tells the start time of the upstream.
	startTimeLearned := effect == lifecycle.Same && d.peers.localRecord().Upstream != r.Incarnation
	if effect == lifecycle.Started || effect == lifecycle.Changed || startTimeLearned {
		d.announceState()
	}
	return effect
}

// Leave implements Registry.
func (d *Daemon) Leave(i lifecycle.Incarnation) lifecycle.Effect {
	effect := d.guard.deregister(i)
	// The departure of an upstream that is not known yet is kept by the other daemons, too.
	if current, _ := d.guard.reportAndDeparted(); effect == lifecycle.Changed || current.State == lifecycle.Unknown {
		d.announceState()
	}
	return effect
}

// ServiceError reports that a report names another service than that of the local upstream.
type ServiceError struct{ Service model.ServiceName }

// Error names the service.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("report of service %q, which is not that of the upstream of this VM", e.Service)
}

// restoreDeparted handles the departed incarnations of the local upstream that another daemon holds
// in a record of this daemon.
func (d *Daemon) restoreDeparted(departed []lifecycle.Departure) {
	if d.guard.restoreDeparted(departed) == lifecycle.Changed {
		d.announceState()
	}
}

// LogInvalidReport implements Registry.
func (d *Daemon) LogInvalidReport(id string, err error) {
	d.opts.Decisions.Write(decision.ReportRefused, "", slog.String("upstream", id), slog.String("error", err.Error()))
}

// announceState copies the state of the local upstream into the local record and announces the
// record.
func (d *Daemon) announceState() {
	currentReport, departed := d.guard.reportAndDeparted()
	d.peers.updateLocal(func(r *Record) {
		r.Service, r.Upstream, r.State, r.Slots = currentReport.Service, currentReport.Incarnation, currentReport.State, currentReport.Slots
		r.ColdMS = currentReport.WarmupLeft.Milliseconds()
		r.Departed = departed[max(len(departed)-maxDeparted, 0):]
	})
}

const (
	// discoveryWait bounds how long a starting daemon waits for the first exchange with another
	// daemon. After the wait, it asks the local upstream for its identity.
	discoveryWait = 500 * time.Millisecond
	// readinessWait bounds how long a starting daemon waits for the first exchange with another
	// daemon before it becomes ready. This wait begins at the same time as that of discoveryWait.
	// After it, the daemon is ready as soon as a configuration is in force.
	readinessWait = 1500 * time.Millisecond
	// restartBackoff is the pause before a component that keeps failing is restarted.
	restartBackoff = time.Second
)

// Serve runs the daemon until the context ends. It then lets the requests in flight end, for as
// long as the grace period allows, and closes the connections and the log. It returns an error if
// the supervisor that runs the components of the daemon ends first.
func (d *Daemon) Serve(ctx context.Context) error {
	// The components must keep running while the daemon drains, so serveCtx outlives ctx.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.peers.ctx = serveCtx
	supervisor := suture.New("sidecar", suture.Spec{FailureBackoff: restartBackoff, EventHook: d.logSupervisorEvent, Timeout: componentStopTimeout})
	for _, s := range d.servers {
		supervisor.Add(s)
	}
	supervisor.Add(d.datagrams)
	supervisor.Add(d.follower)
	supervisor.Add(&joiner{d: d})
	supervisor.Add(d.antiEntropy)
	supervisor.Add(d.quarantine)
	supervisor.Add(d.quarantine.store)
	supervisor.Add(d.quotas)
	d.opts.Decisions.Write(decision.Started, "", slog.String("address", d.opts.Addresses.Peers),
		slog.String("zone", string(d.opts.Zone)), slog.String("service", string(d.service())),
		slog.Int64("incarnation", d.peers.localRecord().Incarnation), slog.String("version", telemetry.Version()))
	supervisorErr := supervisor.ServeBackground(serveCtx)
	select {
	case <-ctx.Done():
	case err := <-supervisorErr:
		return err
	}
	deadline := d.drain()
	stop()
	d.closeSockets()
	<-supervisorErr
	// Some requests were aborted by closing their connections without a response. Their handlers
	// still write log lines.
	d.awaitResponses(time.Now().Add(min(closedConnLogWait, time.Until(deadline))))
	d.opts.Decisions.Close(min(logFlushTimeout, max(time.Until(deadline), 0)))
	return nil
}

// logSupervisorEvent logs an event of the supervisor, such as the failure of a component. It does
// not log that a component stops too slowly.
func (d *Daemon) logSupervisorEvent(e suture.Event) {
	if d.opts.Logger != nil && e.Type() != suture.EventTypeStopTimeout {
		d.opts.Logger.Error("component failed", "event", e.String())
	}
}
