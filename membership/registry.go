package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/interval"
	"github.com/dottereltiller/dottereltiller/pause"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// LocalUpstream is an upstream on the VM of this daemon.
type LocalUpstream struct {
	model.Upstream
	// Address is the upstream's own host:port. Only the daemon of its VM
	// connects to it.
	Address string
	// LoadPath is the HTTP path at which the upstream reports its load. Empty
	// means that the upstream does not report its load.
	LoadPath string
}

// Options configure a Registry.
type Options struct {
	// Self is the ID of this daemon.
	Self model.DaemonID
	// Zone is the availability zone of this daemon.
	Zone model.AvailabilityZone
	// Log is the platform's log.
	Log recordlog.Log
	// Pinger sends pings to other daemons. Nil turns off liveness checks.
	Pinger Pinger
	// Interval is the time between two reads of the log by a log reader.
	// Default: 1s.
	Interval time.Duration
	// IdleInterval is the time between two reads of the log by a daemon that receives
	// updates from its peers. Default: 30s.
	IdleInterval time.Duration
	// CheckpointInterval is the longest time after which the latest events of all
	// upstreams of a zone are due to be appended again. It must be well below the
	// retention of the log. Default: 10min.
	CheckpointInterval time.Duration
	// IsLogReader reports whether this daemon reads the log at Interval rather
	// than IdleInterval. Nil means that this daemon is always a log reader.
	IsLogReader func() bool
	// OnUpdate is called when there are changes to relay to peers at once. Nil
	// means no call.
	OnUpdate func()
	// OnLeaseExpired is called when the lease of a local upstream has expired.
	// Nil means no call.
	OnLeaseExpired func(model.UpstreamID)
	// OnDaemonCount is called with the number of daemons in the view when that
	// number changes. Nil means no call.
	OnDaemonCount func(daemons int)
	// MaxUpstreams bounds the upstreams of one service that this daemon calls.
	// Default: 64.
	MaxUpstreams int
	// Directory configures the directory of members. NewRegistry sets its Self
	// and Incarnation.
	Directory member.Options
	// Seed seeds the random delays and the choice of helpers for indirect
	// pings.
	Seed uint64
	// Metrics receives the metrics. Nil turns them off.
	Metrics tally.Scope
	// Logger logs state changes. Nil means no logging.
	Logger *slog.Logger
}

const (
	defaultInterval           = time.Second
	defaultIdleInterval       = 30 * time.Second
	defaultCheckpointInterval = 10 * time.Minute
	defaultMaxUpstreams       = 64
	// tickInterval is the time between two calls of Registry.tick.
	tickInterval = 500 * time.Millisecond
)

// Registry holds the membership view: the upstreams and daemons that this daemon
// knows. It is safe for concurrent use.
type Registry struct {
	opts      Options
	metrics   metrics
	startTime time.Time
	checks    runningChecks
	// daemonCount is the number last passed to OnDaemonCount.
	daemonCount atomic.Int64

	// mu guards the fields from rng to subsetByService.
	mu        sync.RWMutex
	rng       *rand.Rand
	directory *member.Directory
	// leaseByUpstream holds the leases of the local upstreams.
	leaseByUpstream map[model.UpstreamID]lease
	// lastTick is when expireLeases was last called.
	lastTick time.Time
	// cachedPeers holds the last result of listPeers.
	cachedPeers peerLists
	// subsetByService holds, for each service, the last result of Upstreams.
	subsetByService map[model.ServiceName]subset

	// The fields below are used only by the goroutine of serveLog.

	// nextOffset is the offset of the first record of the log that has not been
	// applied.
	nextOffset recordlog.Offset
	backoff    pause.Backoff
	// checkpointDueAt is when this daemon, if it is the writer of its zone, appends the
	// latest events of all upstreams of the zone again.
	checkpointDueAt time.Time
	// logFailing is set if the last syncLog failed.
	logFailing bool
}

// peerLists lists the daemons in the view at one generation of the view. The generation
// is a number that increases with every change of the view.
type peerLists struct {
	generation            uint64
	alivePeers, deadPeers []peer.Peer
}

// subset holds the upstreams of one service that this daemon calls. It is valid
// for one generation of the view.
type subset struct {
	generation uint64
	upstreams  []model.Upstream
}

// NewRegistry returns a Registry that knows no members.
func NewRegistry(o Options) *Registry {
	o.setDefaults()
	o.Directory.Self = o.Self
	o.Directory.Incarnation = model.Incarnation(time.Now().UnixMilli())
	r := &Registry{
		opts:            o,
		metrics:         newMetrics(o.Metrics),
		startTime:       time.Now(),
		rng:             rand.New(rand.NewPCG(o.Seed, o.Seed+2)),
		directory:       member.New(o.Directory),
		leaseByUpstream: make(map[model.UpstreamID]lease),
		subsetByService: make(map[model.ServiceName]subset),
		backoff:         pause.Backoff{Min: o.Interval},
	}
	r.checks.init()
	r.tick()
	r.scheduleCheckpoint()
	return r
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		target       *time.Duration
		defaultValue time.Duration
	}{
		{&o.Interval, defaultInterval},
		{&o.IdleInterval, defaultIdleInterval},
		{&o.CheckpointInterval, defaultCheckpointInterval},
	} {
		if *d.target <= 0 {
			*d.target = d.defaultValue
		}
	}
	if o.MaxUpstreams <= 0 {
		o.MaxUpstreams = defaultMaxUpstreams
	}
	if o.IsLogReader == nil {
		o.IsLogReader = func() bool { return true }
	}
	if o.OnUpdate == nil {
		o.OnUpdate = func() {}
	}
	if o.OnLeaseExpired == nil {
		o.OnLeaseExpired = func(model.UpstreamID) {}
	}
	if o.OnDaemonCount == nil {
		o.OnDaemonCount = func(int) {}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// Upstreams returns the upstreams of a service that this daemon calls, and the
// generation of the view, which increases with every change. The slice is
// shared and must not be modified.
func (r *Registry) Upstreams(s model.ServiceName) ([]model.Upstream, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := r.directory.Generation()
	cached, ok := r.subsetByService[s]
	if ok && cached.generation == generation {
		return cached.upstreams, generation
	}
	upstreams := member.Subset(r.opts.Self, r.directory.Upstreams(s), r.opts.MaxUpstreams)
	if len(upstreams) == 0 {
		delete(r.subsetByService, s)
		return nil, generation
	}
	r.subsetByService[s] = subset{generation: generation, upstreams: upstreams}
	return upstreams, generation
}

// Generation returns the generation of the view.
func (r *Registry) Generation() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.directory.Generation()
}

// Peers returns the daemons of the upstreams in the view that have not left, except the
// daemons that are considered dead. The slice is shared and must not be modified.
func (r *Registry) Peers() []peer.Peer { return r.currentPeerLists().alivePeers }

// DeadPeers returns the daemons that are considered dead and have upstreams that have not
// left. This daemon has to contact one of them occasionally: in this way the two sides of
// a partition find each other again after the partition has healed.
func (r *Registry) DeadPeers() []peer.Peer { return r.currentPeerLists().deadPeers }

// currentPeerLists returns the lists of the current generation. It rebuilds them if the
// cached lists are of another generation.
func (r *Registry) currentPeerLists() peerLists {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := r.directory.Generation()
	if r.cachedPeers.alivePeers == nil || r.cachedPeers.generation != generation {
		r.cachedPeers = r.listPeers(generation)
	}
	return r.cachedPeers
}

// listPeers builds the peerLists of a generation from the directory. r.mu is held.
func (r *Registry) listPeers(generation uint64) peerLists {
	lists := peerLists{generation: generation, alivePeers: []peer.Peer{}}
	seenDaemons := make(map[model.DaemonID]bool)
	for _, e := range r.directory.Events() {
		u := e.Upstream
		if e.State == member.Left || seenDaemons[u.Daemon] {
			continue
		}
		seenDaemons[u.Daemon] = true
		p := peer.Peer{ID: u.Daemon, Zone: u.Zone}
		if r.directory.Health(u.Daemon) == member.Dead {
			lists.deadPeers = append(lists.deadPeers, p)
			continue
		}
		lists.alivePeers = append(lists.alivePeers, p)
	}
	return lists
}

// reportDaemonCount calls OnDaemonCount if the number of daemons, alive or dead, has
// changed.
func (r *Registry) reportDaemonCount() {
	lists := r.currentPeerLists()
	n := len(lists.alivePeers) + len(lists.deadPeers)
	if r.daemonCount.Swap(int64(n)) != int64(n) {
		r.opts.OnDaemonCount(n)
	}
}

// Health returns the health of a daemon according to the view.
func (r *Registry) Health(d model.DaemonID) member.Health {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.directory.Health(d)
}

// Events returns the latest event of every upstream, ordered by upstream ID.
func (r *Registry) Events() []member.Event {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.directory.Events()
}

// Serve keeps the view up to date until the context ends.
func (r *Registry) Serve(ctx context.Context) error {
	var loops errgroup.Group
	loops.Go(func() error { return r.serveTicks(ctx) })
	loops.Go(func() error { return r.serveLog(ctx) })
	return loops.Wait()
}

// String names the service in the supervisor tree.
func (r *Registry) String() string { return "membership" }

// serveTicks calls tick at every tickInterval until the context ends, and OnUpdate if there
// are changes to relay.
func (r *Registry) serveTicks(ctx context.Context) error {
	return interval.Run(ctx, tickInterval, func() {
		if r.tick() {
			r.opts.OnUpdate()
		}
	})
}

// tick advances failure detection, expires leases, and calls OnDaemonCount and
// OnLeaseExpired as needed. It reports whether there are changes to relay to peers.
func (r *Registry) tick() bool {
	r.mu.Lock()
	now := time.Now()
	changed := r.directory.Tick(model.Instant(now.Sub(r.startTime)), now.Unix())
	expiredIDs := r.expireLeases(now)
	r.metrics.upstreams.Update(float64(r.directory.Len()))
	r.mu.Unlock()
	r.reportDaemonCount()
	for _, id := range expiredIDs {
		r.opts.Logger.Info("upstream did not renew its lease", "upstream", id)
		r.opts.OnLeaseExpired(id)
	}
	return changed || len(expiredIDs) > 0
}
