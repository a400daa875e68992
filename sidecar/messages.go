package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/bodylimit"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
)

// The paths of requests between daemons. A call, which is a caller's request that one daemon
// forwards to another, keeps the path of the caller's request. Calls are recognized by callHeader.
const (
	pathSync    = "/sync"
	pathResolve = "/settle"
	pathConfig  = "/config"
)

// syncMessage is both request and response of an exchange of records between two daemons.
type syncMessage struct {
	// From is the local record of the sender.
	From Record `json:"f"`
	// WantAll requests all records of the receiver.
	WantAll bool `json:"w,omitempty"`
	// Records holds records that the sender holds, From not included. Only replies have any.
	Records []Record `json:"k,omitempty"`
	// Listed is set in a reply with all records if the sender knows all daemons of the directory.
	Listed bool `json:"l,omitempty"`
	// Version is the version of the configuration in force at the sender.
	Version model.Version `json:"v"`
	// Evacuations is the newest state of the evacuations that the sender knows, encoded by package
	// evacuation. It is empty if the sender knows none.
	Evacuations []byte `json:"e,omitempty"`
}

const (
	// maxSyncBytes bounds the body of a sync request, and of every reply to a request that is not a call, in
	// bytes. Daemons send only their own record in a request, so requests are far smaller than this limit. The
	// limit has room for the records of several thousand daemons at 300 bytes each.
	maxSyncBytes = 4 << 20
)

// StatusError reports that another daemon responded to a request for Path with an unexpected HTTP
// status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: answered %d", e.Path, e.Status) }

// sendSync sends a message and returns the reply. The error is a *hop.RequestError if no complete
// response was received, and a *StatusError if the daemon responded with a status other than 200.
// Other errors come from encoding the message or decoding the reply.
func sendSync(ctx context.Context, pool *hop.Pool, m syncMessage) (reply syncMessage, err error) {
	body, err := json.Marshal(m)
	if err != nil {
		return reply, err
	}
	r, err := requestPeer(ctx, pool, http.MethodPost, pathSync, body)
	if err != nil {
		return reply, err
	}
	if r.Status != http.StatusOK {
		return reply, &StatusError{Path: pathSync, Status: r.Status}
	}
	return reply, json.Unmarshal(r.Body, &reply)
}

// readMessage decodes a JSON request body into m. It reads at most maxBytes of the body. If the
// body is malformed, or is cut off by that limit, it responds with status 400 and returns false.
func readMessage(w http.ResponseWriter, r *http.Request, maxBytes int64, m any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBytes)).Decode(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeMessage responds with a message in JSON, or with status 500 if it cannot be encoded.
func writeMessage(w http.ResponseWriter, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// peerHost is the Host header of requests between daemons. Receivers ignore it.
const peerHost = "-"

// requestPeer sends a request to another daemon and returns the response, whatever its status. It
// takes at most syncTimeout. The error, if any, is a *hop.RequestError.
func requestPeer(ctx context.Context, pool *hop.Pool, method, path string, body []byte) (*hop.PoolResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return pool.Do(ctx, hop.PoolRequest{Method: method, Target: path, Host: peerHost, Header: http.Header{}, Body: body, MaxResponseBytes: maxSyncBytes})
}

// resolveRequest asks a guard for the final outcome of an attempt whose result has not arrived.
type resolveRequest struct {
	key string
	// incarnation is the incarnation of the daemon that the attempt was sent to.
	incarnation int64
	// timeLeft is the time that was left until the deadline of the attempt when it was sent.
	timeLeft time.Duration
}

// The query parameters of a resolveRequest.
const (
	resolveKeyParam         = "key"
	resolveIncarnationParam = "life"
	resolveTimeLeftParam    = "left-ms"
)

func (q resolveRequest) encode() string {
	v := url.Values{}
	v.Set(resolveKeyParam, q.key)
	v.Set(resolveIncarnationParam, strconv.FormatInt(q.incarnation, 10))
	v.Set(resolveTimeLeftParam, strconv.FormatInt(q.timeLeft.Milliseconds(), 10))
	return v.Encode()
}

// decodeResolveRequest decodes a URL query that resolveRequest.encode made. It returns an error if
// a number is missing or malformed.
func decodeResolveRequest(v url.Values) (resolveRequest, error) {
	ints, err := parseInts(v.Get(resolveIncarnationParam), v.Get(resolveTimeLeftParam))
	if err != nil {
		return resolveRequest{}, err
	}
	return resolveRequest{key: v.Get(resolveKeyParam), incarnation: ints[0], timeLeft: time.Duration(ints[1]) * time.Millisecond}, nil
}

// resolveArrivalTimeout is how long the sender of a resolveRequest waits for a sign that the
// request has arrived: an informational response (status 102) or the response itself. The sender
// then abandons the request, as its connection may never deliver anything.
const resolveArrivalTimeout = 500 * time.Millisecond

// sendResolveRequest asks a guard over a new connection for the final outcome of an attempt. The
// guard cancels the attempt if the attempt has not started. sendResolveRequest returns the result
// of the attempt and true. If the guard was not reached or its response was lost, it returns a
// result with an unknown outcome and false. responses accounts for the memory of the response.
func sendResolveRequest(ctx context.Context, pool *hop.Pool, q resolveRequest, responses *bodylimit.Holder) (*Result, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arrivalTimer := time.AfterFunc(resolveArrivalTimeout, cancel)
	defer arrivalTimer.Stop()
	r, err := pool.Do(ctx, hop.PoolRequest{
		Method: http.MethodPost, Target: pathResolve + "?" + q.encode(), Host: peerHost,
		Header: http.Header{}, MaxIdleTime: -1, OnInformational: func() { arrivalTimer.Stop() }, Memory: responses,
	})
	if err != nil {
		return unknownResult(outcome.ReasonConnectionLost), false
	}
	return resultFromReply(r), true
}

// resultFromReply decodes the result of a call from the response of another daemon. If the
// callHeader of the response is missing or malformed, the result has an unknown outcome.
func resultFromReply(r *hop.PoolResponse) *Result {
	result, err := decodeResult(r.Header.Get(callHeader))
	if err != nil {
		return unknownResult(outcome.ReasonConnectionLost)
	}
	result.Status, result.Header, result.Body = r.Status, endToEndHeaders(r.Header), r.Body
	return result
}

// writePeerResult responds to another daemon with the result of a call. If the upstream has not
// answered, the response has status 503 and no body, and callHeader holds the outcome.
func writePeerResult(w http.ResponseWriter, method string, result *Result) {
	h := w.Header()
	if result.Outcome.Kind != outcome.Answered {
		h.Set(callHeader, result.encode())
		h["Date"] = nil
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	copyHeader(h, result.Header)
	h.Set(callHeader, result.encode())
	writeResponse(w, method, result)
}

// copyHeader copies the fields of src to dst. It also prevents net/http from adding a Date or
// Content-Type that src does not have.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := src[name]; !ok {
			dst[name] = nil
		}
	}
}

// writeResponse writes the status and the body of a result. It sets the Content-Length if the
// response may have a body. The response to a HEAD request has none.
func writeResponse(w http.ResponseWriter, method string, result *Result) {
	if method != http.MethodHead && bodyAllowed(result.Status) {
		w.Header().Set("Content-Length", fmt.Sprint(len(result.Body)))
	}
	w.WriteHeader(result.Status)
	if method != http.MethodHead && len(result.Body) > 0 {
		_, _ = w.Write(result.Body)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// peerHandler handles requests from other daemons.
type peerHandler struct{ d *Daemon }

// ServeHTTP implements http.Handler.
func (p peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if encoded := r.Header.Get(callHeader); encoded != "" {
		p.call(w, r, encoded)
		return
	}
	w = p.d.metrics.traffic.countMessage(w, r)
	switch r.URL.Path {
	case pathSync:
		p.sync(w, r)
	case pathResolve:
		p.resolve(w, r)
	case pathConfig:
		p.config(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// resolve responds to a resolveRequest with the final outcome of the attempt. If the attempt was, or may
// have been, sent to a previous daemon at this address, it responds that the outcome is unknown. It responds
// with status 400 to a malformed request.
func (p peerHandler) resolve(w http.ResponseWriter, r *http.Request) {
	q, err := decodeResolveRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation, raised := p.d.peers.localIncarnation()
	if q.incarnation != incarnation || raised && p.d.guard.attempts.mayBePredecessors(q.key, q.timeLeft) {
		writePeerResult(w, r.Method, unknownResult(outcome.ReasonConnectionLost))
		return
	}
	result := p.runAcknowledged(w, "", func() *Result {
		return p.d.guard.withLoad(p.d.guard.attempts.cancelOrAwait(r.Context(), q.key, q.timeLeft))
	})
	responses := p.d.responses.NewHolder()
	defer responses.Release()
	responses.Add(int64(len(result.Body)))
	writePeerResult(w, r.Method, result)
}

// call passes a call from the entry of another daemon to the guard, and responds with the result.
// If there is no memory for the request body, it responds that the call has not run. If the body
// cannot be read, it closes the connection. It responds with status 400 to a malformed callHeader.
func (p peerHandler) call(w http.ResponseWriter, r *http.Request, encodedCall string) {
	c, err := decodeCall(encodedCall)
	if err == nil {
		c.RateLimit, err = decodeRateLimit(r.Header.Get(rateLimitHeader))
	}
	if err == nil {
		err = c.decodeAccount(r.Header.Get(accountHeader))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := p.d.bodyLimiter.Read(r.Body)
	if errors.Is(err, bodylimit.ErrMemoryExhausted) || errors.Is(err, bodylimit.ErrTooLarge) {
		writePeerResult(w, r.Method, p.d.guard.withLoad(notRunResult(outcome.ReasonNoMemory)))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer body.Release()
	c.Responses = p.d.responses.NewHolder()
	defer c.Responses.Release()
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.RequestURI, r.Host, r.Header, body.Bytes
	writePeerResult(w, r.Method, p.runAcknowledged(w, c.ID, func() *Result { return p.d.guard.Do(r.Context(), c) }))
}

// acknowledgeDelay is how long a request from another daemon may take before its arrival is
// acknowledged. A sender of a call that gets neither an acknowledgement nor a response within
// ackTimeout considers the connection broken.
const acknowledgeDelay = 10 * time.Millisecond

// runAcknowledged runs do and returns its result. If do takes longer than acknowledgeDelay,
// runAcknowledged first sends an informational response (status 102). requestID names the request
// in the log line of a panic.
func (p peerHandler) runAcknowledged(w http.ResponseWriter, requestID string, do func() *Result) *Result {
	done := make(chan *Result, 1)
	go func() { done <- recoverPanic(requestID, p.d.recordPanic, do) }()
	timer := time.NewTimer(acknowledgeDelay)
	defer timer.Stop()
	select {
	case result := <-done:
		return result
	case <-timer.C:
		w.WriteHeader(http.StatusProcessing)
		return <-done
	}
}

// sync merges the records of a syncMessage and replies. If the sender is in a remote zone and
// its record is newer than the one held here, that record is relayed inside the local zone.
//
// The reply holds the local record. If a record of the sender was held here before the merge, the
// reply holds that one too. If the sender wants all records, the reply also holds all others, and one with nothing
// but address and zone for each daemon whose record is not held.
func (p peerHandler) sync(w http.ResponseWriter, r *http.Request) {
	var m syncMessage
	if !readMessage(w, r, maxSyncBytes, &m) {
		return
	}
	heldRecord, _ := p.d.peers.recordOf(m.From.Address)
	for _, newer := range p.d.peers.merge(append([]Record{m.From}, m.Records...)) {
		if newer.Address == m.From.Address && newer.Zone != p.d.opts.Zone {
			p.d.relay.add(newer)
		}
	}
	p.d.peers.handleSyncRequest(m.From.Address)
	p.d.onPeerVersion(m.From.Address, m.Version)
	p.d.evacuations.receiveMessage(m.Evacuations, m.From.Address)
	reply := syncMessage{From: p.d.peers.localRecord(), Version: p.d.config.version(), Evacuations: p.d.evacuations.message()}
	if heldRecord.Sequence > 0 {
		// The sender may have restarted and lost its state.
		reply.Records = append(reply.Records, heldRecord)
	}
	if m.WantAll {
		var known []Record
		known, reply.Listed = p.d.peers.allKnown()
		reply.Records = append(reply.Records, known...)
	}
	writeMessage(w, reply)
}
