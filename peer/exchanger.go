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

// Peer is another daemon.
type Peer struct {
	ID   model.DaemonID
	Zone model.AvailabilityZone
}

// Transport sends a round's messages to a peer.
type Transport interface {
	Exchange(ctx context.Context, to model.DaemonID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Options configure an Exchanger.
type Options struct {
	// Self returns this daemon's own name, which is never chosen as a peer.
	Self model.DaemonID
	Zone model.AvailabilityZone
	// Peers returns the other daemons known now. The slice is not modified.
	Peers func() []Peer
	// Unreachable returns daemons that are thought dead. Nil means none. One of them
	// is tried now and then.
	Unreachable func() []Peer
	// OnResult is told how the round with a peer went. Nil means nobody.
	OnResult func(Peer, error)
	// BootstrapPeers are peers to try while Peers returns none.
	BootstrapPeers []Peer
	// Transport reaches the peers.
	Transport Transport
	// Interval is the time between two rounds. Default: 1s.
	Interval time.Duration
	// Fanout is the number of peers in a round. Default: 2.
	Fanout int
	// TriggeredFanout is the number of peers in a round after a hint. Default: 5.
	TriggeredFanout int
	// BytesPerSecond bounds the bytes a second that this daemon sends and receives in
	// rounds that it starts or answers. Default: 14336.
	BytesPerSecond int
	// BurstBytes is the size of the token bucket for Bytes. Default: 512 KiB.
	BurstBytes int
	// MaxDeltaBytes bounds one topic's delta. Default: 16 KiB.
	MaxDeltaBytes int
	// Timeout bounds one message. Default: 1s.
	Timeout time.Duration
	// Seed seeds the choice of peers.
	Seed uint64
	// Metrics counts rounds and bytes. Nil means none.
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

	// triggeredRoundsPerSecond and triggeredRoundsBurst bound the rounds started by hints.
	triggeredRoundsPerSecond = 2
	triggeredRoundsBurst     = 4
	// triggerDelay gathers hints that come together.
	triggerDelay = 20 * time.Millisecond
)

// Exchanger runs anti-entropy rounds. It is safe for concurrent use.
type Exchanger struct {
	opts           Options
	byteBudget     *rate.Limiter
	triggerLimiter *rate.Limiter
	triggered      chan struct{}
	metrics        metrics
	totalBytes     atomic.Int64

	mu         sync.Mutex
	rng        *rand.Rand
	topics     map[string]Topic
	topicNames []string
	neighbours neighbours
	lastRound  time.Time
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

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// Register adds a topic. Topics are registered before Serve starts; a name that
// is registered twice is a programming error.
func (e *Exchanger) Register(t Topic) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.topics[t.Name()]; ok {
		invariant.Violated("peer: one topic of a name", "%s registered twice", t.Name())
	}
	e.topics[t.Name()] = t
	e.topicNames = append(e.topicNames, t.Name())
}

// TriggerRound asks for a round at once, because a topic has news that must not wait
// for the next one.
func (e *Exchanger) TriggerRound() {
	select {
	case e.triggered <- struct{}{}:
	default:
	}
}

// LastRound returns when a round last succeeded, started by this daemon or by
// a peer. It is zero before the first.
func (e *Exchanger) LastRound() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRound
}

// TotalBytes returns the bytes sent and received in rounds so far, with what is
// reckoned for the heads of the messages.
func (e *Exchanger) TotalBytes() int64 { return e.totalBytes.Load() }

// Serve runs rounds until the context ends.
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

func (e *Exchanger) jitteredInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	const jitter = 0.4
	return time.Duration(float64(e.opts.Interval) * (1 - jitter/2 + jitter*e.rng.Float64()))
}

// triggeredRound gathers further hints and runs a round, unless too many were asked
// for: then the next regular round carries the news.
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
