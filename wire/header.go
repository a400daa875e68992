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

// Headers that callers and upstreams see. docs/CALLERS.md explains them.
const (
	HeaderService    = "Dottereltiller-Service"
	HeaderTimeout    = "Dottereltiller-Timeout"
	HeaderIdempotent = "Dottereltiller-Idempotent"
	HeaderOutcome    = "Dottereltiller-Outcome"
	HeaderReason     = "Dottereltiller-Reason"
	HeaderCallToken  = "Dottereltiller-Call"
	HeaderGroup      = "Dottereltiller-Group"
	// HeaderRefused is set by an upstream, to RefusedBeforeStart, on a 429 or
	// 503 that it gave before it started on the request. It never reaches a
	// caller.
	HeaderRefused        = "Dottereltiller-Refused"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Dottereltiller-Replayed"
)

// RefusedBeforeStart is the value of HeaderRefused.
const RefusedBeforeStart = "before-start"

// internalPrefix starts every header that is used between daemons only. Such
// headers are dropped when they come from a caller or an upstream.
const internalPrefix = "Dottereltiller-Hop-"

// Headers between daemons.
const (
	HeaderDestination  = internalPrefix + "Kind"
	HeaderAuth         = internalPrefix + "Auth"
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

// The kinds of hop.
const (
	DestinationGuard = "guard"
	DestinationOwner = "owner"
)

// ErrIDMismatch is returned when an answer does not carry the id of its call.
var ErrIDMismatch = errors.New("answer does not belong to this call")

// HeaderError tells which hop header could not be read.
type HeaderError struct {
	Name  string
	Value string
}

// Error names the header and its value.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: bad value %q", e.Name, e.Value) }

// StripInternalHeaders removes every header that only daemons may set.
func StripInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// SetInternalHeaders writes the call's hop headers. The Idempotency-Key travels under a hop
// name, because net/http sends a request that carries the standard one again
// after a lost connection.
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

// ReadCall rebuilds a Call from a request that arrived from another daemon.
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

// SetInternalHeaders writes the answer's hop headers, bound to the call with the given id.
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

// ReadResult rebuilds an Result from the response to the call with the given
// id. An answer that is not bound to the call is refused with ErrIDMismatch.
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

const numLoadFields = 8

// formatLoad writes "running waiting limit service_us failing draining seq
// ahead".
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

// parseLoad reads what formatLoad wrote. Figures that no guard has, such as
// negative ones, are refused.
func parseLoad(s string) (model.Load, error) {
	invalid := &HeaderError{Name: headerLoad, Value: s}
	fields := strings.Fields(s)
	if len(fields) != numLoadFields {
		return model.Load{}, invalid
	}
	const bits = 31
	running, err1 := strconv.ParseUint(fields[0], 10, bits)
	waiting, err2 := strconv.ParseUint(fields[1], 10, bits)
	limit, err3 := strconv.ParseUint(fields[2], 10, bits)
	serviceTime, err4 := strconv.ParseUint(fields[3], 10, 63)
	failureRate, err5 := strconv.ParseFloat(fields[4], 32)
	draining, err6 := strconv.ParseBool(fields[5])
	seq, err7 := strconv.ParseUint(fields[6], 10, 64)
	ahead, err8 := strconv.ParseUint(fields[7], 10, bits)
	if errors.Join(err1, err2, err3, err4, err5, err6, err7, err8) != nil {
		return model.Load{}, invalid
	}
	// The first condition also refuses what is not a number.
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

type headerParser struct {
	header http.Header
	err    error
}

// uint reads a number; an absent header is 0.
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

// maxDuration is the longest time that one daemon tells another.
const maxDuration = 24 * time.Hour

// duration reads a number of units; an absent header is 0.
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

// hopByHopHeaders lists the headers that RFC 9110 section 7.6.1 keeps to one
// connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// StripHopByHopHeaders removes hop-by-hop headers, those that Connection names
// among them.
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
