package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/dottereltiller/dottereltiller/core/invariant"
	"github.com/dottereltiller/dottereltiller/core/model"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

// Peer is a daemon with its availability zone.
type Peer struct {
	ID   model.DaemonID
	Zone model.AvailabilityZone
}

// Transport sends the messages of rounds to peers.
type Transport interface {
	Exchange(ctx context.Context, to model.DaemonID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Options configure an Exchanger.
type Options struct {
	// Self is the name of this daemon, which is never chosen as a peer.
	Self model.DaemonID
	// Zone is the availability zone of this daemon.
	Zone model.AvailabilityZone
	// Peers returns the daemons that are known at present. Self may be among
	// them. The Exchanger does not modify the slice. A changed list must be a
	// new slice, because the Exchanger compares address and length only.
	Peers func() []Peer
	// Unreachable returns daemons that are considered dead. Some rounds try one
	// of them, so that the two sides of a healed partition find each other
	// again. Nil means none.
	Unreachable func() []Peer
	// OnResult, if set, is called for each peer of a round with the error of the
	// exchange, or nil.
	OnResult func(Peer, error)
	// BootstrapPeers are used as long as Peers returns no other daemon.
	BootstrapPeers []Peer
	// Transport sends the messages of rounds to the peers.
	Transport Transport
	// Interval is the mean time between two regular rounds. Default: 1s.
	Interval time.Duration
	// Fanout is the number of peers in a regular round. Default: 2.
	Fanout int
	// TriggeredFanout is the number of peers in a triggered round. Default: 5.
	TriggeredFanout int
	// BytesPerSecond limits the bytes that this daemon sends and receives in
	// rounds, those started by peers included. Default: 14336.
	BytesPerSecond int
	// BurstBytes is the size of the token bucket for BytesPerSecond. Default:
	// 512 KiB.
	BurstBytes int
	// MaxDeltaBytes limits the delta of one topic in a message.
	// Default: 16 KiB.
	MaxDeltaBytes int
	// Timeout limits the exchange with one peer in a round. Default: 1s.
	Timeout time.Duration
	// Seed seeds the random choice of peers and the jitter of the interval.
	Seed uint64
	// Metrics receives counts of rounds, deltas and bytes. Nil means none.
	Metrics tally.Scope
	Logger  *slog.Logger
}

const (
	defaultInterval        = time.Second
	defaultFanout          = 2
	defaultTriggeredFanout = 5
	defaultBytesPerSecond  = 14 << 10
	defaultBurstBytes      = 512 << 10
	defaultMaxDeltaBytes   = 16 << 10
	defaultTimeout         = time.Second

	// triggeredRoundsPerSecond limits the rate of triggered rounds.
	triggeredRoundsPerSecond = 2
	// triggeredRoundsBurst is the burst size of triggerLimiter: how many triggered
	// rounds may start in direct succession.
	triggeredRoundsBurst = 4
	// triggerDelay is the wait before a triggered round. All triggers during the
	// wait are served by that round.
	triggerDelay = 20 * time.Millisecond
)

// Exchanger runs anti-entropy rounds. It is safe for concurrent use.
type Exchanger struct {
	opts Options
	// byteBudget is the token bucket for the bytes of rounds.
	byteBudget *rate.Limiter
	// triggerLimiter limits the rate of triggered rounds.
	triggerLimiter *rate.Limiter
	// triggered holds a value from the request for a triggered round until Serve
	// takes the request.
	triggered chan struct{}
	metrics   metrics
	// totalBytes counts the bytes of rounds; see TotalBytes.
	totalBytes atomic.Int64

	mu     sync.Mutex
	rng    *rand.Rand
	topics map[string]Topic
	// topicNames are the keys of topics in the order of registration.
	topicNames []string
	neighbours neighbours
	// lastRound is the time of the last successful round; see LastRoundTime.
	lastRound time.Time
}

// NewExchanger returns an Exchanger without topics.
func NewExchanger(opts Options) *Exchanger {
	opts.setDefaults()
	return &Exchanger{
		opts:           opts,
		byteBudget:     rate.NewLimiter(rate.Limit(opts.BytesPerSecond), opts.BurstBytes),
		triggerLimiter: rate.NewLimiter(triggeredRoundsPerSecond, triggeredRoundsBurst),
		triggered:      make(chan struct{}, 1),
		metrics:        newMetrics(opts.Metrics),
		rng:            rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		topics:         make(map[string]Topic),
	}
}

func (o *Options) setDefaults() {
	o.Interval = orDefault(o.Interval, defaultInterval)
	o.Fanout = orDefault(o.Fanout, defaultFanout)
	o.TriggeredFanout = orDefault(o.TriggeredFanout, defaultTriggeredFanout)
	o.BytesPerSecond = orDefault(o.BytesPerSecond, defaultBytesPerSecond)
	o.BurstBytes = orDefault(o.BurstBytes, defaultBurstBytes)
	o.MaxDeltaBytes = orDefault(o.MaxDeltaBytes, defaultMaxDeltaBytes)
	o.Timeout = orDefault(o.Timeout, defaultTimeout)
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	if o.OnResult == nil {
		o.OnResult = func(Peer, error) {}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// orDefault returns v, or d if v is not positive.
func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// Register adds a topic. All topics must be registered before Serve starts.
// Registering a name twice is a programming error.
func (e *Exchanger) Register(t Topic) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.topics[t.Name()]; ok {
		invariant.Violated("peer: topic names are unique", "%s registered twice", t.Name())
	}
	e.topics[t.Name()] = t
	e.topicNames = append(e.topicNames, t.Name())
}

// TriggerRound requests a triggered round, for an update that must not wait for the
// next regular round. The round starts after triggerDelay, unless the rate limit of
// triggered rounds is exceeded. A request has no effect while another is pending.
func (e *Exchanger) TriggerRound() {
	select {
	case e.triggered <- struct{}{}:
	default:
	}
}

// LastRoundTime returns the time of the last successful round, started by this
// daemon or by a peer. It is zero before the first successful round.
func (e *Exchanger) LastRoundTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRound
}

// TotalBytes returns the bytes sent and received in rounds so far, including an
// estimate of the HTTP headers.
func (e *Exchanger) TotalBytes() int64 { return e.totalBytes.Load() }

// Serve runs rounds until the context ends, and returns the error of the context.
func (e *Exchanger) Serve(ctx context.Context) error {
	timer := time.NewTimer(e.jitteredInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			e.Round(ctx, e.opts.Fanout)
			timer.Reset(e.jitteredInterval())
		case <-e.triggered:
			e.triggeredRound(ctx)
		}
	}
}

// String names the service in the supervisor tree.
func (e *Exchanger) String() string { return "peer exchange" }

// jitteredInterval returns the time until the next regular round, up to 20%
// shorter or longer than the interval.
func (e *Exchanger) jitteredInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	const jitter = 0.4
	return time.Duration(float64(e.opts.Interval) * (1 - jitter/2 + jitter*e.rng.Float64()))
}

// triggeredRound waits for triggerDelay and then runs one round. The round also
// serves the triggers that came during the wait. If the rate limit is exceeded,
// triggeredRound does nothing, and the update is sent in the next regular round.
func (e *Exchanger) triggeredRound(ctx context.Context) {
	if !e.triggerLimiter.Allow() {
		e.metrics.triggersLimited.Inc(1)
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(triggerDelay):
	}
	select {
	case <-e.triggered:
	default:
	}
	e.Round(ctx, e.opts.TriggeredFanout)
}
