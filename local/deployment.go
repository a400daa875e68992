package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/standin"
)

const (
	// readyTimeout bounds the wait until all daemons are ready.
	readyTimeout = 10 * time.Second
	// pollInterval is the time between two calls of ready by awaitReady.
	pollInterval = 20 * time.Millisecond

	// defaultLogInterval is the default of Options.LogInterval.
	defaultLogInterval = 50 * time.Millisecond
	// drainTime is the setting process.drain_time of the daemons.
	drainTime = 100 * time.Millisecond
)

// Service is one service of a deployment.
type Service struct {
	Name model.ServiceName
	// Upstreams is the number of upstreams, assigned to the zones in turn.
	Upstreams int
	// Slots is the number of requests that one upstream executes at once.
	Slots int
}

// Options describe a deployment.
type Options struct {
	Zones    []model.AvailabilityZone
	Services []Service
	// Documents are the configuration documents to publish at the start.
	Documents []policy.Document
	// LogInterval is the time between two reads of the log by a daemon. The default
	// is 50ms, so that a deployment is ready quickly.
	LogInterval time.Duration
	// Settings may change the settings of each daemon before the daemon starts.
	// Nil changes no settings.
	Settings func(*settings.Settings)
	// Logger receives the log entries of the daemons. Nil discards them.
	Logger *slog.Logger
}

// Node is one VM: an upstream and its daemon.
type Node struct {
	Daemon   *daemon.Daemon
	Upstream *standin.Upstream

	// settings are the settings of the daemon. Restart sets their listen addresses.
	settings settings.Settings
	// stop stops the daemon gracefully.
	stop context.CancelFunc
	// serveErr receives the result of daemon.Serve, which may be nil, when the daemon has stopped.
	serveErr chan error
}

// Deployment is a running deployment. Stop ends it.
type Deployment struct {
	// Log is the record log that is served at LogAddress.
	Log        *recordlog.Memory
	LogAddress string
	Nodes      []*Node

	opts Options
	// ctx ends when the deployment is stopped. Restarted daemons run until then.
	ctx context.Context
	// logHTTP serves Log.
	logHTTP *http.Server
	// cancel ends ctx.
	cancel   context.CancelFunc
	stopOnce sync.Once
}

// Start starts a deployment, publishes its documents and waits until the documents
// are in force at every daemon and every daemon knows all upstreams.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.LogInterval <= 0 {
		opts.LogInterval = defaultLogInterval
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{Log: &recordlog.Memory{}, opts: opts, ctx: ctx, cancel: cancel}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Stop stops all daemons, all upstreams and the server of the log, and waits for the daemons. All
// calls but the first have no effect.
func (d *Deployment) Stop() { d.stopOnce.Do(d.shutdown) }

// shutdown does the work of Stop.
func (d *Deployment) shutdown() {
	d.cancel()
	for _, n := range d.Nodes {
		<-n.serveErr
	}
	for _, n := range d.Nodes {
		_ = n.Upstream.Close()
	}
	if d.logHTTP != nil {
		_ = d.logHTTP.Close()
	}
}

// start starts the server of the log, the upstreams and the daemons, publishes the documents and
// waits until the deployment is ready.
func (d *Deployment) start(ctx context.Context) error {
	if err := d.startLog(); err != nil {
		return err
	}
	for _, s := range d.opts.Services {
		for i := range s.Upstreams {
			if err := d.startNode(ctx, s, i); err != nil {
				return err
			}
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// startLog serves the log on a loopback port.
func (d *Deployment) startLog() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.LogAddress = ln.Addr().String()
	d.logHTTP = &http.Server{Handler: recordlog.Handler(d.Log)}
	go func() { _ = d.logHTTP.Serve(ln) }()
	return nil
}

// startNode starts an upstream of a service and its daemon, and announces the upstream to
// the daemon. index is the number of the upstream in the service, from 0.
func (d *Deployment) startNode(ctx context.Context, s Service, index int) error {
	up, err := standin.Start(fmt.Sprintf("%s-%d", s.Name, index+1), string(s.Name), s.Slots)
	if err != nil {
		return err
	}
	n := &Node{Upstream: up, settings: d.settingsForZone(d.opts.Zones[index%len(d.opts.Zones)])}
	if err := n.startDaemon(ctx, d.opts.Logger); err != nil {
		_ = up.Close()
		return err
	}
	d.Nodes = append(d.Nodes, n)
	return up.Announce(ctx, n.Daemon.AdminAddress(), 1, false)
}

// startDaemon creates and starts a daemon with the node's settings.
func (n *Node) startDaemon(ctx context.Context, logger *slog.Logger) error {
	newDaemon, err := daemon.New(n.settings, logger)
	if err != nil {
		return err
	}
	ctx, n.stop = context.WithCancel(ctx)
	n.Daemon, n.serveErr = newDaemon, make(chan error, 1)
	go func(serveErr chan<- error) { serveErr <- newDaemon.Serve(ctx) }(n.serveErr)
	return nil
}

// Restart stops the node's daemon gracefully, starts a new daemon on the same
// addresses, and announces the upstream to the new daemon. It waits until every
// daemon knows all upstreams and no upstream drains. The returned error includes
// the error of the stopped daemon.
func (d *Deployment) Restart(ctx context.Context, n *Node) error {
	listen := settings.Listen{
		Callers: n.Daemon.CallerAddress(),
		Peers:   string(n.Daemon.ID()),
		Admin:   n.Daemon.AdminAddress(),
	}
	n.stop()
	stopErr := <-n.serveErr
	n.settings.Listen = listen
	if err := n.startDaemon(d.ctx, d.opts.Logger); err != nil {
		n.serveErr <- err // Stop waits for a value from n.serveErr.
		return errors.Join(stopErr, err)
	}
	if err := n.Upstream.Announce(ctx, n.Daemon.AdminAddress(), 1, false); err != nil {
		return errors.Join(stopErr, err)
	}
	return errors.Join(stopErr, d.awaitReady(ctx))
}

// settingsForZone returns the settings of a daemon in a zone, after Options.Settings has changed
// them. Port 0 in the listen addresses lets the system choose free ports.
func (d *Deployment) settingsForZone(zone model.AvailabilityZone) settings.Settings {
	s := settings.Defaults()
	s.Zone = zone
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Log = settings.Log{Address: d.LogAddress, Interval: policy.Duration(d.opts.LogInterval)}
	s.Peers.Secret = "local"
	s.Process.DrainTime = policy.Duration(drainTime)
	if d.opts.Settings != nil {
		d.opts.Settings(&s)
	}
	return s
}

// publish publishes the documents of the options. It returns an error if they are not accepted.
func (d *Deployment) publish(ctx context.Context) error {
	res, err := operator.Publish(ctx, recordlog.NewClient(d.LogAddress), "local", d.opts.Documents)
	if err != nil {
		return err
	}
	if res.Decision != config.Accepted {
		return fmt.Errorf("publish documents: not accepted: decision %d", res.Decision)
	}
	return nil
}

// awaitReady waits until ready returns true. It returns an error if ctx ends or readyTimeout
// passes.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment not ready: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// ready reports whether every daemon has a configuration in force and knows all
// upstreams, and no upstream drains.
func (d *Deployment) ready() bool {
	for _, n := range d.Nodes {
		if n.Daemon.Config.Current() == nil {
			return false
		}
		for _, s := range d.opts.Services {
			ups, _ := n.Daemon.Members.Upstreams(s.Name)
			isDraining := func(u model.Upstream) bool { return u.Draining }
			if len(ups) != s.Upstreams || slices.ContainsFunc(ups, isDraining) {
				return false
			}
		}
	}
	return true
}

// Logger returns the logger that the daemons use.
func (d *Deployment) Logger() *slog.Logger { return d.opts.Logger }
