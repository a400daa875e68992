package wire

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// Headers of requests and responses that daemons exchange with callers and
// upstreams. docs/CALLERS.md explains how callers and upstreams use them.
const (
	// HeaderService names the service that the caller calls.
	HeaderService = "Dottereltiller-Service"
	// HeaderTimeout is the time left until the deadline of the request, as a Go
	// duration.
	HeaderTimeout = "Dottereltiller-Timeout"
	// HeaderIdempotent is "true" if the request may be executed more than once,
	// and "false" if not. Without one of these values the configuration of the
	// service decides.
	HeaderIdempotent = "Dottereltiller-Idempotent"
	// HeaderOutcome is the outcome kind of a response to a caller.
	HeaderOutcome = "Dottereltiller-Outcome"
	// HeaderReason is the reason for the outcome in HeaderOutcome.
	HeaderReason = "Dottereltiller-Reason"
	// HeaderCallToken carries a signed token from the guard to the upstream. The
	// upstream passes the token on in the requests that it sends while it
	// executes the call.
	HeaderCallToken = "Dottereltiller-Call"
	// HeaderGroup is not read by daemons: a caller cannot choose its group.
	HeaderGroup = "Dottereltiller-Group"
	// HeaderRefused marks a response with status 429 or 503 by which an
	// upstream refuses a request that it has not started to execute. Its value
	// is RefusedBeforeStart. Daemons do not forward the header to callers.
	HeaderRefused = "Dottereltiller-Refused"
	// HeaderRateLimit is set by an upstream on its responses while it limits the
	// rate of its requests. The value is the number of requests per second that it
	// takes from all callers together; see startrate.ParseLimit. Daemons do not
	// forward the header to callers.
	HeaderRateLimit = "Dottereltiller-Rate-Limit"
	// HeaderLeaving is "true" on the responses of an upstream that is about to
	// leave. Daemons do not forward the header to callers.
	HeaderLeaving = "Dottereltiller-Leaving"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on a retained response that is sent again because
	// the caller repeated a request with an idempotency key.
	HeaderReplayed = "Dottereltiller-Replayed"
)

// RefusedBeforeStart is the value of HeaderRefused.
const RefusedBeforeStart = "before-start"

// internalPrefix starts the name of every internal header. Internal headers are
// used between daemons only. Daemons remove them from the requests of callers
// and from the responses of upstreams.
const internalPrefix = "Dottereltiller-Hop-"

// Names of internal headers. A name must not change, even where it differs from
// that of its constant.
const (
	// HeaderDestination names the component of the receiving daemon that is to
	// handle the call.
	HeaderDestination = internalPrefix + "Kind"
	// HeaderAuth carries the secret by which daemons authenticate each other.
	HeaderAuth = internalPrefix + "Auth"
	// headerID and the headers below hold fields of a Call, or of a Result and its
	// Outcome. Each constant has the name of its field, except headerOutcome,
	// which holds Outcome.Kind.
	headerID           = internalPrefix + "Id"
	headerUpstream     = internalPrefix + "Upstream"
	headerIncarnation  = internalPrefix + "Incarnation"
	headerService      = internalPrefix + "Service"
	headerGroup        = internalPrefix + "Group"
	headerCaller       = internalPrefix + "Caller"
	headerIdempotent   = internalPrefix + "Idempotent"
	headerAttempt      = internalPrefix + "Attempt"
	headerDepth        = internalPrefix + "Depth"
	headerKey          = internalPrefix + "Key"
	headerTimeout      = internalPrefix + "Timeout-Us"
	headerQueueTimeout = internalPrefix + "Patience-Us"
	headerHost         = internalPrefix + "Host"
	headerOutcome      = internalPrefix + "Outcome"
	headerReason       = internalPrefix + "Reason"
	headerRetryAfter   = internalPrefix + "Retry-After-Ms"
	headerLoad         = internalPrefix + "Load"
)

// Values of HeaderDestination.
const (
	// DestinationGuard is the guard: the proxy in front of the upstreams of the
	// receiving daemon's VM.
	DestinationGuard = "guard"
	// DestinationOwner is the owner: the component that executes the requests
	// whose idempotency keys belong to the receiving daemon.
	DestinationOwner = "owner"
)

// ErrIDMismatch is returned for a response that carries the ID of another call
// or no ID.
var ErrIDMismatch = errors.New("response does not carry the id of this call")

// HeaderError reports an internal header with an invalid value.
type HeaderError struct {
	Name  string
	Value string
}

// Error returns the name and the value of the header.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: bad value %q", e.Name, e.Value) }

// StripInternalHeaders removes all internal headers from h.
func StripInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// SetInternalHeaders encodes the call as internal headers. The idempotency key
// gets an internal header too. If it were sent as Idempotency-Key, net/http
// would retry the request when the connection is lost.
func (c *Call) SetInternalHeaders(h http.Header) {
	h.Set(headerID, c.ID)
	h.Set(headerUpstream, string(c.Upstream))
	h.Set(headerIncarnation, strconv.FormatUint(uint64(c.Incarnation), 10))
	h.Set(headerService, string(c.Service))
	h.Set(headerGroup, string(c.Group))
	h.Set(headerCaller, string(c.Caller))
	h.Set(headerIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(headerAttempt, strconv.Itoa(c.Attempt))
	h.Set(headerDepth, strconv.Itoa(c.Depth))
	h.Set(headerTimeout, strconv.FormatInt(max(0, c.Timeout.Microseconds()), 10))
	if c.HasQueueTimeout {
		h.Set(headerQueueTimeout, strconv.FormatInt(c.QueueTimeout.Microseconds(), 10))
	}
	h.Set(headerHost, c.Host)
	if c.Key != "" {
		h.Set(headerKey, c.Key)
	}
}

// ReadCall decodes a Call from a request that another daemon sent. It removes
// the internal headers from the request. Its errors are of type *HeaderError.
func ReadCall(r *http.Request) (*Call, error) {
	header := r.Header
	parser := headerParser{header: header}
	c := &Call{
		ID:              header.Get(headerID),
		Method:          r.Method,
		Target:          r.URL.RequestURI(),
		Host:            header.Get(headerHost),
		Header:          header,
		Body:            r.Body,
		ContentLength:   r.ContentLength,
		Service:         model.ServiceName(header.Get(headerService)),
		Group:           model.GroupName(header.Get(headerGroup)),
		Caller:          model.CallerName(header.Get(headerCaller)),
		Upstream:        model.UpstreamID(header.Get(headerUpstream)),
		Incarnation:     model.Incarnation(parser.uint(headerIncarnation)),
		Idempotent:      header.Get(headerIdempotent) == "true",
		Attempt:         int(parser.uint(headerAttempt)),
		Depth:           int(parser.uint(headerDepth)),
		Key:             header.Get(headerKey),
		Timeout:         parser.duration(headerTimeout, time.Microsecond),
		QueueTimeout:    parser.duration(headerQueueTimeout, time.Microsecond),
		HasQueueTimeout: header.Get(headerQueueTimeout) != "",
	}
	if parser.err != nil {
		return nil, parser.err
	}
	if c.ID == "" {
		return nil, &HeaderError{Name: headerID}
	}
	if r.ContentLength == 0 {
		c.Body = nil
	}
	StripInternalHeaders(c.Header)
	return c, nil
}

// SetInternalHeaders encodes the result as internal headers, except for the
// upstream's response. The id is that of the Call.
func (r *Result) SetInternalHeaders(h http.Header, id string) {
	h.Set(headerID, id)
	h.Set(headerOutcome, r.Outcome.Kind.String())
	if r.Outcome.Reason != outcome.ReasonNone {
		h.Set(headerReason, string(r.Outcome.Reason))
	}
	if r.Outcome.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(r.Outcome.RetryAfter.Milliseconds(), 10))
	}
	if r.HasLoad {
		h.Set(headerLoad, formatLoad(r.Load))
	}
}

// ReadResult decodes the Result from the response to the Call with the given
// id. It returns ErrIDMismatch for a response without this id, and a
// *HeaderError for an invalid internal header.
func ReadResult(resp *http.Response, id string) (*Result, error) {
	header := resp.Header
	if header.Get(headerID) != id {
		return nil, ErrIDMismatch
	}
	kind, ok := outcome.ParseKind(header.Get(headerOutcome))
	if !ok {
		return nil, &HeaderError{Name: headerOutcome, Value: header.Get(headerOutcome)}
	}
	parser := headerParser{header: header}
	result := ResultFromResponse(resp)
	result.Outcome = outcome.Outcome{
		Kind:       kind,
		Reason:     outcome.Reason(header.Get(headerReason)),
		RetryAfter: parser.duration(headerRetryAfter, time.Millisecond),
	}
	if value := header.Get(headerLoad); value != "" {
		load, err := parseLoad(value)
		if err != nil {
			return nil, err
		}
		result.Load, result.HasLoad = load, true
	}
	if parser.err != nil {
		return nil, parser.err
	}
	StripInternalHeaders(header)
	return result, nil
}

// numLoadFields is the number of fields that formatLoad writes.
const numLoadFields = 8

// formatLoad encodes a load as the space-separated fields "running waiting
// limit service_us failure_rate draining seq ahead". They are the fields of
// model.Load; service_us is the service time in microseconds.
func formatLoad(l model.Load) string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(b, int64(l.Running), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Waiting), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Limit), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, l.ServiceTime.Microseconds(), 10)
	b = append(b, ' ')
	b = strconv.AppendFloat(b, float64(l.FailureRate), 'f', 3, 32)
	b = append(b, ' ')
	b = strconv.AppendBool(b, l.Draining)
	b = append(b, ' ')
	b = strconv.AppendUint(b, l.Seq, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Ahead), 10)
	return string(b)
}

// parseLoad decodes the output of formatLoad. It returns a *HeaderError for a
// value that no guard sends, such as a negative number.
func parseLoad(s string) (model.Load, error) {
	invalid := &HeaderError{Name: headerLoad, Value: s}
	fields := strings.Fields(s)
	if len(fields) != numLoadFields {
		return model.Load{}, invalid
	}
	// Counts are non-negative int32 values, which have 31 bits.
	const countBits = 31
	running, errRunning := strconv.ParseUint(fields[0], 10, countBits)
	waiting, errWaiting := strconv.ParseUint(fields[1], 10, countBits)
	limit, errLimit := strconv.ParseUint(fields[2], 10, countBits)
	serviceTime, errServiceTime := strconv.ParseUint(fields[3], 10, 63)
	failureRate, errFailureRate := strconv.ParseFloat(fields[4], 32)
	draining, errDraining := strconv.ParseBool(fields[5])
	seq, errSeq := strconv.ParseUint(fields[6], 10, 64)
	ahead, errAhead := strconv.ParseUint(fields[7], 10, countBits)
	if errors.Join(errRunning, errWaiting, errLimit, errServiceTime, errFailureRate, errDraining, errSeq, errAhead) != nil {
		return model.Load{}, invalid
	}
	// The negated comparison is also true for NaN.
	if !(failureRate >= 0 && failureRate <= 1) || serviceTime > uint64(maxDuration/time.Microsecond) {
		return model.Load{}, invalid
	}
	return model.Load{
		Running:     int32(running),
		Waiting:     int32(waiting),
		Limit:       int32(limit),
		ServiceTime: time.Duration(serviceTime) * time.Microsecond,
		FailureRate: float32(failureRate),
		Draining:    draining,
		Seq:         seq,
		Ahead:       int32(ahead),
	}, nil
}

// headerParser parses the values of internal headers. It keeps the error of the
// first invalid value.
type headerParser struct {
	header http.Header
	err    error
}

// uint returns the value of a header as a number, or 0 if the header is absent. An
// invalid value sets p.err.
func (p *headerParser) uint(name string) uint64 {
	s := p.header.Get(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil && p.err == nil {
		p.err = &HeaderError{Name: name, Value: s}
	}
	return n
}

// maxDuration is the longest duration accepted from another daemon.
const maxDuration = 24 * time.Hour

// duration returns the value of a header, which is a number of units. It returns 0
// if the header is absent. It returns 0 and sets p.err if the value is invalid or
// longer than maxDuration.
func (p *headerParser) duration(name string, unit time.Duration) time.Duration {
	n := p.uint(name)
	if n > uint64(maxDuration/unit) {
		if p.err == nil {
			p.err = &HeaderError{Name: name, Value: p.header.Get(name)}
		}
		return 0
	}
	return time.Duration(n) * unit
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// StripHopByHopHeaders removes the hop-by-hop headers from h, including the
// headers that the Connection header lists.
func StripHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
