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
	// Self is this daemon.
	Self model.DaemonID
	// Log is the platform's log.
	Log recordlog.Log
	// Execute sends a claimed request to an upstream, at most once.
	Execute func(context.Context, *wire.Call) *wire.Result
	// Candidates lists the daemons that may own keys.
	Candidates func() []model.DaemonID
	// Client and PeerSecret are used to reach owners in other daemons.
	Client     *hop.Client
	PeerSecret string
	// Messenger hands claims over. Nil means that a drain hands over nothing.
	Messenger Messenger
	// WallClock reads the wall clock. It bears on availability and retention only,
	// never on how often a key runs. Default: time.Now.
	WallClock func() time.Time
	// GrantDuration is how far grants reach ahead. Default: 60s.
	GrantDuration time.Duration
	// Retention is how long after the stamp of its key a claim is kept.
	// Default: 10m.
	Retention time.Duration
	// PollInterval is the time between two checks whether grants have to be read or
	// renewed. Default: 1s.
	PollInterval time.Duration
	// CheckpointInterval is the longest time between two checkpoints on the log. It
	// must be well under the log's retention. Default: 5m.
	CheckpointInterval time.Duration
	// Ranges is the number of key ranges, the same in all daemons.
	// Default: claims.DefaultRanges.
	Ranges int
	// MaxBodyBytes bounds the bodies of keyed requests, in bytes. Default: 256 KiB.
	MaxBodyBytes int64
	// MaxResponseBytes is the largest answer that is retained, in bytes.
	// Default: 64 KiB.
	MaxResponseBytes int64
	// Limits bound claims and retained answers.
	Limits claims.Limits
	// Scope counts decisions. Default: tally.NoopScope.
	Scope tally.Scope
	// Logger takes changes of state. Default: slog.Default.
	Logger *slog.Logger
}

// The defaults of Options.
const (
	DefaultGrant      = 60 * time.Second
	DefaultRetention  = 10 * time.Minute
	DefaultInterval   = time.Second
	DefaultCheckpoint = 5 * time.Minute
	DefaultMaxBody    = 256 << 10
	DefaultMaxAnswer  = 64 << 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.GrantDuration, DefaultGrant)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.PollInterval, DefaultInterval)
	setDefault(&o.CheckpointInterval, DefaultCheckpoint)
	setDefault(&o.Ranges, claims.DefaultRanges)
	setDefault(&o.MaxBodyBytes, DefaultMaxBody)
	setDefault(&o.MaxResponseBytes, DefaultMaxAnswer)
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

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// newIncarnation draws the life of an owner.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:]))
}
