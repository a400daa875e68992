package owner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/hop"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Messenger sends the claims of a draining owner to another daemon.
type Messenger interface {
	HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Options configure a Service.
type Options struct {
	// Self is the ID of this daemon.
	Self model.DaemonID
	// Log is the platform's log.
	Log recordlog.Log
	// Execute sends a claimed request to an upstream, at most once.
	Execute func(context.Context, *wire.Call) *wire.Result
	// Candidates returns the daemons that may own keys.
	Candidates func() []model.DaemonID
	// Client sends submissions to owners in other daemons.
	Client *hop.Client
	// PeerSecret authenticates the submissions to owners in other daemons.
	PeerSecret string
	// Messenger sends the claims to another daemon when this one drains. Nil
	// means that the claims are not handed over.
	Messenger Messenger
	// WallClock returns the wall-clock time. A wrong clock affects only
	// availability and retention, never how often a key is executed. Default:
	// time.Now.
	WallClock func() time.Time
	// GrantDuration is how far beyond the time at which it is made a grant extends.
	// Default: 60s.
	GrantDuration time.Duration
	// Retention is how long a claim is kept after the timestamp of its key.
	// Default: 10m.
	Retention time.Duration
	// PollInterval is the time between two checks whether the grants have to be
	// read from the log or renewed. Default: 1s.
	PollInterval time.Duration
	// CheckpointInterval is the time after a checkpoint on the log after which the
	// next one is due. It must be well below the retention of the log. Default: 5m.
	CheckpointInterval time.Duration
	// Ranges is the number of key ranges. It must be the same in all daemons.
	// Default: claims.DefaultRangeCount.
	Ranges int
	// MaxBodyBytes bounds the body of a keyed request. A request with a larger body
	// is not run. Default: 256 KiB.
	MaxBodyBytes int64
	// MaxResponseBytes bounds the body of a response that is retained for retries. A
	// larger response is streamed to the first submission only. Default: 64 KiB.
	MaxResponseBytes int64
	// Limits bound the number of claims and the total size of retained
	// responses.
	Limits claims.Limits
	// Scope receives the metrics. Default: tally.NoopScope.
	Scope tally.Scope
	// Logger logs state changes. Default: slog.Default.
	Logger *slog.Logger
}

// The defaults of Options.
const (
	DefaultGrantDuration      = 60 * time.Second
	DefaultRetention          = 10 * time.Minute
	DefaultPollInterval       = time.Second
	DefaultCheckpointInterval = 5 * time.Minute
	DefaultMaxBodyBytes       = 256 << 10
	DefaultMaxResponseBytes   = 64 << 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.GrantDuration, DefaultGrantDuration)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.CheckpointInterval, DefaultCheckpointInterval)
	setDefault(&o.Ranges, claims.DefaultRangeCount)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// setDefault sets v to d if v is zero or negative.
func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// newIncarnation returns a random incarnation ID for an owner, never 0.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:]))
}
