package model

import (
	"strconv"
	"time"
)

// Instant is a reading of a monotonic clock, in nanoseconds since an arbitrary origin chosen by
// the process. The zero value is the origin.
type Instant int64

// Add returns the instant that is d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// ServiceName is the name of a service, for example "returdesk". It is a DNS label.
type ServiceName string

// GroupName is the name of a group of callers, unique within one sharing policy.
type GroupName string

// CallerName is the name of a caller as declared in the configuration.
type CallerName string

// AvailabilityZone is the name of an availability zone, for example "odense-hal-a".
type AvailabilityZone string

// UpstreamID identifies one upstream on one VM, for example "returdesk-3". It stays the
// same when the upstream restarts, while its Incarnation changes.
type UpstreamID string

// Incarnation is the number of one run of an upstream or daemon. It rises with every
// restart. Zero means unknown.
type Incarnation uint64

// DaemonID identifies a daemon. It is the peer address (host:port) of the daemon's VM,
// so it stays the same when the daemon restarts on that VM.
type DaemonID string

// Version is the number of an accepted configuration. Later versions have larger
// numbers. Zero means that no configuration has been accepted.
type Version uint64

// String returns the version in decimal.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// Upstream describes one upstream as listed in the membership view.
type Upstream struct {
	ID          UpstreamID
	Service     ServiceName
	Incarnation Incarnation
	Zone        AvailabilityZone
	// Daemon is the daemon whose guard, the proxy in front of the upstream, limits the
	// upstream's requests. Requests to the upstream are sent to that daemon.
	Daemon DaemonID
	// Slots is the number of requests that the upstream, as it has announced, can run
	// concurrently. It is at least 1.
	Slots  int
	Labels Labels
	// Draining is set once the upstream has announced that it is about to stop serving.
	Draining bool
}

// Labels are the key-value pairs of callers and upstreams.
type Labels map[string]string

// Load is the state of an upstream at one moment, as its guard has measured it. All
// replies and probe responses carry a Load.
type Load struct {
	// Running counts requests that are running in the upstream. The guard knows its own
	// requests exactly. It may add an estimate of requests from elsewhere; see package
	// measure.
	Running int32
	// Waiting counts requests that are queued at the guard.
	Waiting int32
	// Ahead is how many of the waiting requests would start before a new request of the
	// group to which the load is reported. If the load is reported to no group, Ahead
	// equals Waiting.
	Ahead int32
	// Limit is the number of requests that the guard lets run concurrently.
	Limit int32
	// ServiceTime is the recent mean service time of a request in the upstream.
	ServiceTime time.Duration
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float32
	// Draining is set if the upstream accepts no new requests.
	Draining bool
	// Seq rises, within one incarnation of the upstream, with every event at the guard that
	// changes the load, such as the arrival or the end of a request. Entries compare Seq,
	// so that the load in a delayed reply never replaces a newer load.
	Seq uint64
}

// Request holds the properties of a request that the decision packages use.
type Request struct {
	Service ServiceName
	Group   GroupName
	Caller  CallerName
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool
	// Deadline is the instant after which the response is useless to the caller.
	Deadline Instant
	// Attempt is the number of the attempt, starting at 0.
	Attempt int
}
