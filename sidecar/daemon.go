package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// Registry takes in what the own upstream reports of itself.
type Registry interface {
	// Report takes in a report. A stale one changes nothing.
	Report(r lifecycle.Report) lifecycle.Verdict
	// Leave takes in that an incarnation leaves for good.
	Leave(i lifecycle.Incarnation) lifecycle.Verdict
	// Refused takes in that a report could not be read.
	Refused(id string, err error)
}

// Daemon is a running daemon.
type Daemon struct {
	opts       Options
	tunables   atomic.Pointer[Tunables]
	startedAt  time.Time
	metrics    *metrics
	config     *configuration
	follower   *follower
	peers      *peers
	relay      *relay
	comparer   *comparer
	guard      *guard
	suspects   *suspects
	bodies     *bodies
	entry      *entry
	datagrams  *datagrams
	servers    []*server
	callers    *server
	peerServer *server
	fetching   atomic.Bool
	// ready is set once the daemon has a configuration and knows the others.
	ready    atomic.Bool
	stopping atomic.Bool
	// sourceLost is the model.Instant since when no daemon of the cell is known to reach
	// the store of the configuration. Zero means that one does.
	storeLostSince atomic.Int64
	requests       inHand
	// ending is closed when the requests in hand are given up, as the grace time is over.
	ending chan struct{}
}

// New binds the addresses and returns a Daemon. Serve runs it.
func New(o Options) (*Daemon, error) {
	if o.Addresses.PeerBind == "" {
		o.Addresses.PeerBind = o.Addresses.Peers
	}
	d := &Daemon{opts: o, startedAt: time.Now(), metrics: newMetrics(o.Scope), ending: make(chan struct{})}
	d.tunables.Store(&o.Tunables)
	d.config = newConfiguration(o.Source, o.Decisions)
	d.guard = newGuard(&d.opts, d.now, d.metrics)
	d.guard.version = d.config.version
	d.guard.health = d.healthPath
	d.guard.panicked = d.panicked
	d.guard.urgent = func(rank int) bool {
		t := d.config.table()
		return t != nil && t.Urgent(rank)
	}
	d.peers = newPeers(Record{
		Address: o.Addresses.Peers, Incarnation: d.startedAt.UnixMilli(), Sequence: 1, Zone: o.Zone, Service: o.Service,
	}, d.now, o.Decisions)
	d.peers.version = d.config.version
	d.peers.onVersion = d.behind
	d.peers.restoreDeparted = d.guard.restore
	d.guard.slots = d.peers.slotsOf
	d.follower = newFollower(d)
	d.relay = &relay{zonePeers: d.peers.zonePeers, send: func(address string, b []byte) { d.datagrams.sendOneWay(kindRecords, address, b) }}
	d.comparer = &comparer{d: d}
	d.suspects = newSuspects(d)
	d.peers.regained = func() {
		d.suspects.gossip.Wake()
		d.comparer.wake()
	}
	d.peers.onFullSync = d.suspects.gossip.Compare
	d.bodies = newBodies(o.BodyBytes)
	d.guard.crashes.crashed = d.suspects.recordCrash
	d.entry = newEntry(d)
	if err := d.listen(); err != nil {
		d.closeServers()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) now() model.Instant { return model.Instant(time.Since(d.startedAt)) }

// service is the service of the own upstream and of the callers on this VM.
func (d *Daemon) service() model.ServiceName { return d.tunables.Load().Service }

// Reconfigure takes over what may change while the daemon runs, from the next
// request on.
func (d *Daemon) Reconfigure(t Tunables) {
	d.tunables.Store(&t)
	d.entry.setResends(t.Resends)
	d.guard.setService(t.Service)
	d.config.recheckWaiters()
}

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

// listen binds every address.
func (d *Daemon) listen() error {
	a := d.opts.Addresses
	d.callers = newServer("callers", d.reportPanics("callers", d.entry))
	d.config.onChange = append(d.config.onChange, func(t *route.Table) { d.callers.setLimits(t.Limits()) })
	d.peerServer = newServer("peers", d.reportPanics("peers", peerHandler{d}))
	endpoints := []struct {
		address string
		server  *server
	}{
		{a.Callers, d.callers},
		{a.PeerBind, d.peerServer},
		{a.Control, newServer("control", d.opts.Control(d))},
		{a.Ready, newServer("ready", http.HandlerFunc(d.serveReady))},
		{a.Metrics, newServer("metrics", d.opts.Metrics)},
	}
	for _, b := range endpoints {
		if b.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", b.address)
		if err != nil {
			return err
		}
		b.server.listener = ln
		d.servers = append(d.servers, b.server)
	}
	var err error
	if d.datagrams, err = newDatagrams(d); err != nil {
		return err
	}
	d.peers.pushByDatagram = d.datagrams.pushRecord
	d.config.onChange = append(d.config.onChange, func(*route.Table) {
		d.datagrams.announceVersion()
		d.follower.announceVersion()
	})
	return nil
}

func (d *Daemon) closeServers() {
	for _, s := range d.servers {
		s.close()
	}
	if d.datagrams != nil {
		d.datagrams.close()
	}
}

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
func (d *Daemon) Report(r lifecycle.Report) lifecycle.Verdict {
	v := d.guard.report(r, "report")
	if v == lifecycle.Started || v == lifecycle.Changed {
		d.announceState()
	}
	return v
}

// Leave implements Registry.
func (d *Daemon) Leave(i lifecycle.Incarnation) lifecycle.Verdict {
	v := d.guard.leave(i)
	if v == lifecycle.Changed {
		d.announceState()
	}
	return v
}

// Refused implements Registry.
func (d *Daemon) Refused(id string, err error) {
	d.opts.Decisions.Write(decision.ReportRefused, "", slog.String("upstream", id), slog.String("error", err.Error()))
}

// tellState tells the other daemons of the own upstream's state.
func (d *Daemon) announceState() {
	cur, departed := d.guard.current()
	d.peers.updateLocal(func(r *Record) {
		r.Service, r.Upstream, r.State, r.Slots = cur.Service, cur.Incarnation, cur.State, cur.Slots
		r.ColdMS = cur.ColdFor.Milliseconds()
		r.Departed = departed[max(len(departed)-maxDeparted, 0):]
	})
}

const (
	// greetingWait bounds the wait for another daemon at the start before the own
	// upstream is asked who it is.
	discoveryWait = 500 * time.Millisecond
	// readyWait bounds the wait for another daemon before this one is ready.
	readinessWait = 1500 * time.Millisecond
	// serverBackoff is the pause of a part that keeps failing.
	restartBackoff = time.Second
	// lingering is how long a stopping daemon goes on taking what comes: callers
	// learn that it is not ready by asking once a second, and two misses count.
	minDrainTime = 2200 * time.Millisecond
	// graceMargin is the part of the grace time that is left for the end.
	graceMargin = 400 * time.Millisecond
	// drainPoll is how often a stopping daemon looks whether it is done.
	drainPollInterval = 25 * time.Millisecond
	// lastStart is how long before the end a stopping daemon hands back what waits, so
	// that those who sent it hear that it has not run.
	queueFlushMargin = 300 * time.Millisecond
	// partsWait bounds the wait for the parts to end, within graceMargin: one that
	// hangs must not keep the process.
	componentStopTimeout = 150 * time.Millisecond
	// logWait bounds the wait for lines to be written.
	logFlushTimeout = 100 * time.Millisecond
	// refusing is how long a daemon that passes nothing more on still answers before it closes
	// its connections: requests that are on their way to it are told that they have not run.
	refusalPeriod = 50 * time.Millisecond
	// cutWait bounds the wait for the lines of requests that were cut.
	cutLogWait = 20 * time.Millisecond
	// closingMargin is the part of the grace time that is left when answers are no longer
	// waited for.
	connectionCloseMargin = 200 * time.Millisecond
	// answersPoll is how often it is looked whether callers wait.
	answersPollInterval = time.Millisecond
)

// Serve runs the daemon until the context ends, then lets what runs finish within
// the grace time.
func (d *Daemon) Serve(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.peers.ctx = serveCtx
	supervisor := suture.New("sidecar", suture.Spec{FailureBackoff: restartBackoff, EventHook: d.logEvent, Timeout: componentStopTimeout})
	for _, s := range d.servers {
		supervisor.Add(s)
	}
	supervisor.Add(d.datagrams)
	supervisor.Add(d.follower)
	supervisor.Add(&joiner{d: d})
	supervisor.Add(d.comparer)
	supervisor.Add(d.suspects)
	supervisor.Add(d.suspects.store)
	d.opts.Decisions.Write(decision.Started, "", slog.String("address", d.opts.Addresses.Peers),
		slog.String("zone", string(d.opts.Zone)), slog.String("service", string(d.service())),
		slog.Int64("incarnation", d.peers.self().Incarnation), slog.String("version", telemetry.Version()))
	done := supervisor.ServeBackground(serveCtx)
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	deadline := d.drain()
	stop()
	d.closeServers()
	<-done
	// What was cut tells so in the log.
	d.awaitAnswers(time.Now().Add(min(cutLogWait, time.Until(deadline))))
	d.opts.Decisions.Close(min(logFlushTimeout, max(time.Until(deadline), 0)))
	return nil
}

// isEnding reports whether the daemon gives up what is in hand.
func (d *Daemon) isEnding() bool {
	select {
	case <-d.ending:
		return true
	default:
		return false
	}
}

// endIdle lets nothing more in if nothing is in hand, and reports whether that is so. An
// answer that net/http has still to write is in hand.
func (d *Daemon) closeIfIdle() bool {
	return d.requests.endIdle(func() bool {
		return d.callers.activeConns() == 0 && d.peerServer.activeConns() == 0 && d.guard.stopIdle()
	})
}

// awaitAnswers waits until nobody waits for an answer, or until the end.
func (d *Daemon) awaitAnswers(deadline time.Time) {
	for d.callers.activeConns()+d.peerServer.activeConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(answersPollInterval)
	}
}

func (d *Daemon) logEvent(e suture.Event) {
	if d.opts.Logger != nil && e.Type() != suture.EventTypeStopTimeout {
		d.opts.Logger.Error("part failed", "event", e.String())
	}
}

// drain stops taking new work, tells everybody, and waits for what runs. It returns when the
// grace time ends.
func (d *Daemon) drain() (deadline time.Time) {
	began := time.Now()
	deadline = began.Add(d.tunables.Load().Grace)
	drainEnd := deadline.Add(-graceMargin)
	d.guard.endBy(d.now().Add(drainEnd.Sub(began)))
	d.stopping.Store(true)
	d.opts.Decisions.Write(decision.Stopping, "", slog.Int("in_flight", d.requests.count()))
	cur, _ := d.guard.current()
	if cur.State == lifecycle.Gone {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		go func() {
			defer cancel()
			_ = d.opts.Directory.Remove(ctx, d.opts.Addresses.Peers)
		}()
	}
	d.peers.updateLocal(func(r *Record) { r.Stopping = true })
	d.awaitIdle(began, drainEnd)
	d.opts.Decisions.Write(decision.Stopped, "", slog.Int("in_flight", d.requests.count()), slog.Int64("took_ms", time.Since(began).Milliseconds()))
	close(d.ending)
	time.Sleep(min(refusalPeriod, time.Until(deadline)))
	d.awaitAnswers(deadline.Add(-connectionCloseMargin))
	return deadline
}

// awaitIdle waits until callers have had the time to leave and nothing is in hand, or until
// the end. From then on nothing is passed on that would be cut.
func (d *Daemon) awaitIdle(began, drainEnd time.Time) {
	for time.Now().Before(drainEnd) {
		if time.Until(drainEnd) < queueFlushMargin {
			d.guard.stop()
		}
		if time.Since(began) > minDrainTime {
			d.callers.stopAccepting()
			if d.closeIfIdle() {
				return
			}
		}
		time.Sleep(drainPollInterval)
	}
	d.requests.end()
	d.guard.stop()
}
