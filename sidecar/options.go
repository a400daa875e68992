package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
)

// Options configure a Daemon.
type Options struct {
	Addresses Addresses
	Zone      model.AvailabilityZone
	// First tells that the whole system starts for the first time, so that no
	// other daemon remembers anything.
	First bool
	Tunables
	// BodyBytes bounds the memory for the bodies of the requests in hand. Default:
	// 64 MiB.
	BodyBytes int64
	// Control serves what the own upstream reports.
	Control func(Registry) http.Handler
	// ReadyPath is the path of the readiness answer.
	ReadyPath string
	Edge      Edge
	Source    Source
	Directory Directory
	Decisions *decision.Log
	Scope     tally.Scope
	// Metrics serves the figures. Nil serves none.
	Metrics http.Handler
	// Logger takes lines of requests and parts. It must not wait for their reader.
	Logger *slog.Logger
}

// Tunables are the options that may change while a daemon runs.
type Tunables struct {
	// Service is the service of the own upstream, and so of the callers on this
	// VM.
	Service model.ServiceName
	// Resends bounds sends beyond the first of a request over all daemons.
	Resends ResendBudget
	// Grace is the time from the signal to stop to the end.
	Grace time.Duration
}

// Addresses are where the daemon listens, all as host:port.
type Addresses struct {
	// Callers takes the requests of local callers and of the upstream.
	Callers string
	// Peers is where other daemons send, and the name of this one among them.
	Peers string
	// PeerBind is where that is taken. Empty means Peers.
	PeerBind string
	// Control takes the reports of the upstream.
	Control string
	// Ready answers whether the daemon is ready.
	Ready string
	// Metrics serves the figures. Empty means none.
	Metrics string
	// Upstream is the address of the own upstream.
	Upstream string
}

// ResendBudget bounds re-sends to a service: over any Span there are at most
// Ratio times the requests plus Slack.
type ResendBudget struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// Edge spells what passes between daemons and the outside.
type Edge interface {
	// Attempt reads what a caller says of its request.
	Attempt(h http.Header) (Attempt, error)
	// Dress replaces, in the headers of a request to an upstream, those that only
	// daemons set.
	Dress(h http.Header, d Dressing)
	// Read reads what an upstream says beside its response.
	Read(status int, h http.Header) Reading
	// Sign puts the id of the request on an answer that is the daemon's own.
	Sign(h http.Header, id string)
}

// Attempt is what a caller says of its request.
type Attempt struct {
	// ID names this attempt of the caller; no other attempt has it.
	ID string
	// Deadline is how long the caller waits. Zero means that it does not say.
	Deadline time.Duration
}

// Dressing is what an upstream is told beside the request.
type Dressing struct {
	ID string
	// Deadline is the time that is left.
	Deadline time.Duration
	// Caller is the service on whose VM the request began.
	Caller model.ServiceName
	// Upstream is the only one that may run the request.
	Upstream model.UpstreamID
}

// Reading is what an upstream says beside its response.
type Reading struct {
	// ID is the attempt that the response belongs to. Empty means untold.
	ID string
	// NotRun tells that the upstream has not run the request.
	NotRun bool
	// Mistaken tells that another upstream than the expected one answered; the
	// request has not run.
	Mistaken bool
	// Whole tells that the response is as the upstream made it, as far as its
	// headers show.
	Whole bool
	// Instance is the upstream that answered. Empty means untold.
	Instance model.UpstreamID
	// Load is nil when untold.
	Load *UpstreamLoad
}

// UpstreamLoad is what an upstream says of its load.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slow is how long work takes there now, 1 being as usual. Zero means
	// untold.
	Slow float64
}

// Follower follows the configuration.
type Follower interface {
	// Take takes in a document and reports whether it is a configuration.
	Take(raw []byte, from string) bool
	// Reachable takes in whether a call to the store succeeded.
	Reachable(ok bool)
	// Await waits until this daemon is to read from the store.
	Await(ctx context.Context) error
}

// Source brings the configuration.
type Source interface {
	// Follow hands every document that it sees to the follower until the context
	// ends, and tells it what came of each call. Each call waits for the follower's turn.
	Follow(ctx context.Context, f Follower) error
	// Decode reads a document.
	Decode(raw []byte) (route.Document, error)
}

// Directory is where daemons find each other.
type Directory interface {
	// Announce writes the own entry.
	Announce(ctx context.Context, l Listing) error
	// List returns all entries that can be read.
	List(ctx context.Context) ([]Listing, error)
	// Remove takes the own entry out.
	Remove(ctx context.Context, address string) error
}

// Listing tells where a daemon is.
type Listing struct {
	Address string                 `json:"address"`
	Zone    model.AvailabilityZone `json:"zone"`
}
