package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/evacuation"
	"github.com/dottereltiller/dottereltiller/core/model"
	corequota "github.com/dottereltiller/dottereltiller/core/quota"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
)

// Options configures a Daemon.
type Options struct {
	Addresses Addresses
	Zone      model.AvailabilityZone
	// Zones holds all availability zones of the deployment. The quotas of client accounts are divided
	// among them.
	Zones []model.AvailabilityZone
	// Quotas states what is tolerated above the quotas of client accounts.
	Quotas corequota.Rules
	// Bootstrap is set at the first start of the whole system, when no other daemon can hold state
	// from an earlier start.
	Bootstrap bool
	Tunables
	// MaxBodyBytes bounds the memory for the bodies of the requests in flight. Default: 64 MiB.
	MaxBodyBytes int64
	// MaxResponseBytes bounds the memory for the bodies of all responses in hand. One response may take
	// as much as it leaves free. Default: 64 MiB.
	MaxResponseBytes int64
	// Control returns the handler for the reports of the local upstream.
	Control func(Registry) http.Handler
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Codec     HeaderCodec
	Source    Source
	Directory Directory
	Decisions *decision.Log
	Scope     tally.Scope
	// Metrics handles the requests to Addresses.Metrics. It is not used if that address is empty.
	Metrics http.Handler
	// Logger receives the log lines of requests and components. It must not block if nobody
	// reads its output.
	Logger *slog.Logger
}

// Tunables are the options that may change at runtime.
type Tunables struct {
	// Service is the service of the local upstream, and therefore of the callers on this VM.
	Service model.ServiceName
	// Retries bounds the retries and hedges of all daemons together. A hedge is a second attempt
	// that is sent while the first is still running.
	Retries RetryBudget
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// Cold bounds the requests to cold upstreams.
	Cold ColdBounds
}

// ColdBounds bounds the requests that a cold upstream gets in any period of one second: Overage
// times the rate that the configuration states for its service (route.Service.ColdRate), plus
// Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// Addresses holds the addresses that the daemon listens on and the address of the local
// upstream, all as host:port.
type Addresses struct {
	// Callers accepts the requests of local callers and of the upstream.
	Callers string
	// Peers is the address at which other daemons reach this one. It also identifies this
	// daemon among them.
	Peers string
	// PeerBind is the address that the daemon binds for other daemons, if it differs from Peers.
	// Empty means Peers.
	PeerBind string
	// Control accepts the reports of the upstream.
	Control string
	// Ready serves the readiness check.
	Ready string
	// Metrics serves the metrics. Empty means that they are not served.
	Metrics string
	// Upstream is the address of the local upstream.
	Upstream string
}

// RetryBudget bounds the retries and hedges of requests to a service. Within any period of length
// Span, their number is at most Ratio times the number of requests, plus Slack.
type RetryBudget struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// HeaderCodec reads and writes the headers that callers and upstreams use.
type HeaderCodec interface {
	// ReadAttempt reads the headers of a caller's request.
	ReadAttempt(h http.Header) (Attempt, error)
	// WriteRequestInfo sets those headers of a request to an upstream that only daemons may set.
	// It replaces any that the caller sent.
	WriteRequestInfo(h http.Header, info RequestInfo)
	// RemoveAccountHeaders removes the key of a client account from the headers of a request, and
	// any header that WriteRequestInfo sets to the name of an account.
	RemoveAccountHeaders(h http.Header)
	// SetChallenge sets the headers of a response that refuses a request for its key.
	SetChallenge(h http.Header)
	// ReadResponseInfo reads the headers of an upstream's response.
	ReadResponseInfo(status int, h http.Header) ResponseInfo
	// ReadStatements reads those headers of an upstream's response that ResponseInfo.Statements holds.
	ReadStatements(h http.Header) Statements
	// SetAttemptID sets the id of the caller's attempt on a response that the daemon itself
	// made.
	SetAttemptID(h http.Header, id string)
}

// Attempt holds what the headers of a caller's request state.
type Attempt struct {
	// ID identifies this attempt of the caller. It is unique.
	ID string
	// Deadline is how long the caller waits for the response. Zero means that it is not stated.
	Deadline time.Duration
	// Key is the key of a client account. It is empty if the caller sent no valid key.
	Key string
}

// RequestInfo holds the values that a daemon sends to an upstream in the headers of a request.
type RequestInfo struct {
	ID string
	// Deadline is the time that remains for the request.
	Deadline time.Duration
	// Caller is the service on whose VM the request originated.
	Caller model.ServiceName
	// Upstream is the only upstream that may run the request.
	Upstream model.UpstreamID
	// Account is the client account of the request, empty if it has none.
	Account account.Name
}

// ResponseInfo holds what the headers of an upstream's response state.
type ResponseInfo struct {
	// ID identifies the attempt that the response belongs to. Empty means not stated.
	ID string
	// NotRun is set if the upstream has not run the request.
	NotRun bool
	// Misdirected is set if the response came from another upstream than the expected one. The
	// request has not run.
	Misdirected bool
	// Intact is set unless the headers show that the response may have been altered after the
	// upstream sent it.
	Intact bool
	// Instance is the upstream that responded. Empty means not stated.
	Instance model.UpstreamID
	// Load is the load that the upstream states. Nil means not stated.
	Load     *UpstreamLoad
	Coldness Coldness
	Statements
}

// Statements is what a response states of the requests that its upstream takes.
type Statements struct {
	RateLimit RateLimit
	// Leaving is set if the upstream states that it is leaving.
	Leaving bool
	// InvalidLeaving is what the upstream states of its leaving if that cannot be parsed.
	InvalidLeaving string
}

// RateLimit is what a response states of the rate of requests. The zero value states that it is not
// limited.
type RateLimit struct {
	// Limited is set if the upstream limits the rate.
	Limited bool
	// PerSecond is the number of requests per second that the upstream takes from all senders
	// together.
	PerSecond float64
	// Invalid says what is wrong with the stated value if it cannot be parsed. The other fields are not
	// set then.
	Invalid string
}

// Coldness is what the response to a health check states about the cold phase of an upstream.
// Responses to other requests state nothing of it.
type Coldness struct {
	// Left is how much longer the upstream stays cold, zero if it is warm.
	Left time.Duration
	// Invalid is the stated value if it cannot be parsed.
	Invalid string
}

// UpstreamLoad is the load that an upstream reports.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the current service time (how long a request runs in the upstream) divided by
	// the usual service time: 1 means as fast as usual. Zero means not reported.
	Slowdown float64
}

// ConfigConsumer receives the documents that a Source reads.
type ConfigConsumer interface {
	// Receive offers a document and reports whether it is a valid configuration. origin names
	// the origin of the document in log lines.
	Receive(raw []byte, origin string) bool
	// ReceiveEvacuations offers a state of the evacuations. It is called before Receive where both
	// are read together.
	ReceiveEvacuations(s evacuation.State)
	// RecordStoreCall is called after each call to the store. ok states whether that call
	// succeeded.
	RecordStoreCall(ok bool)
	// AwaitElection blocks until this daemon is elected to read from the store. It returns an error if
	// the context ends first.
	AwaitElection(ctx context.Context) error
}

// Source reads the configuration and the evacuations from their store.
type Source interface {
	// Watch passes every document and every state of the evacuations that it reads to the consumer
	// until the context ends. It calls
	// AwaitElection before each call to the store, and RecordStoreCall after it.
	Watch(ctx context.Context, c ConfigConsumer) error
	// Decode parses a document as Watch passes it to the consumer.
	Decode(raw []byte) (route.Document, error)
}

// Directory lets daemons find each other.
type Directory interface {
	// Announce writes the entry of this daemon.
	Announce(ctx context.Context, e DirectoryEntry) error
	// List returns all entries. It leaves out entries that cannot be parsed.
	List(ctx context.Context) ([]DirectoryEntry, error)
	// Remove deletes the entry of the daemon at an address.
	Remove(ctx context.Context, address string) error
}

// DirectoryEntry is the entry of a daemon in the Directory.
type DirectoryEntry struct {
	Address string                 `json:"address"`
	Zone    model.AvailabilityZone `json:"zone"`
}
