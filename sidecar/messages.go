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

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
)

// The paths between daemons besides calls, which carry callHeader.
const (
	pathSync   = "/sync"
	pathSettle = "/settle"
	pathConfig = "/config"
)

// syncMessage exchanges records between two daemons, as question and answer.
type syncMessage struct {
	From Record `json:"f"`
	// Full asks for all records; Known brings them.
	Full    bool          `json:"w,omitempty"`
	Known   []Record      `json:"k,omitempty"`
	Version model.Version `json:"v"`
}

const (
	// maxSync bounds a message between daemons, in bytes: 300 bytes a record for
	// some thousand daemons.
	maxSyncBytes = 4 << 20
)

// StatusError is an answer of another daemon that is no success.
type StatusError struct {
	Path   string
	Status int
}

// Error names the path and the status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: answered %d", e.Path, e.Status) }

// sendSync sends a message in JSON and reads the reply. The error is a *hop.LostError where
// the daemon was not reached, and a *StatusError where it refused.
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

// readMessage reads a message of at most so many bytes, or refuses it.
func readMessage(w http.ResponseWriter, r *http.Request, maxBytes int64, m any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBytes)).Decode(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeMessage answers with a message.
func writeMessage(w http.ResponseWriter, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// peerHost is the Host of messages between daemons, which none looks at.
const peerHost = "-"

// exchangePeer asks another daemon within syncTimeout and returns its answer, whatever its
// status. The error is a *hop.LostError.
func requestPeer(ctx context.Context, pool *hop.Pool, method, path string, body []byte) (*hop.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return pool.Do(ctx, hop.Exchange{Method: method, Target: path, Host: peerHost, Header: http.Header{}, Body: body})
}

// settleQuestion asks a guard what became of an attempt.
type settleQuestion struct {
	key string
	// life is the incarnation of the daemon that the attempt was sent to.
	life int64
	// left is the time that the attempt had when it was sent.
	left time.Duration
}

// The parameters of a settleQuestion.
const (
	settleKeyParam         = "key"
	settleIncarnationParam = "life"
	settleTimeLeftParam    = "left-ms"
)

func (q settleQuestion) encode() string {
	v := url.Values{}
	v.Set(settleKeyParam, q.key)
	v.Set(settleIncarnationParam, strconv.FormatInt(q.life, 10))
	v.Set(settleTimeLeftParam, strconv.FormatInt(q.left.Milliseconds(), 10))
	return v.Encode()
}

func decodeSettleRequest(v url.Values) (settleQuestion, error) {
	n, err := numbers(v.Get(settleIncarnationParam), v.Get(settleTimeLeftParam))
	if err != nil {
		return settleQuestion{}, err
	}
	return settleQuestion{key: v.Get(settleKeyParam), life: n[0], left: time.Duration(n[1]) * time.Millisecond}, nil
}

// settleSilence is how long the question of a settlement may go without a sign that it
// has arrived: it is given up then, as its connection may be silent for good.
const settleArrivalTimeout = 500 * time.Millisecond

// askSettle asks a guard over a new connection what became of an attempt, and
// withdraws it if it has not started. It reports false when the guard was not reached.
func askSettle(ctx context.Context, pool *hop.Pool, q settleQuestion) (*Answer, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arrivalTimer := time.AfterFunc(settleArrivalTimeout, cancel)
	defer arrivalTimer.Stop()
	r, err := pool.Do(ctx, hop.Exchange{
		Method: http.MethodPost, Target: pathSettle + "?" + q.encode(), Host: peerHost,
		Header: http.Header{}, MaxIdle: -1, Informed: func() { arrivalTimer.Stop() },
	})
	if err != nil {
		return unknown(outcome.ReasonConnectionLost), false
	}
	return answerOf(r), true
}

// answerOf reads a call's answer from the response of another daemon.
func answerOf(r *hop.Reply) *Answer {
	a, err := decodeAnswer(r.Header.Get(callHeader))
	if err != nil {
		return unknown(outcome.ReasonConnectionLost)
	}
	a.Status, a.Header, a.Body = r.Status, endToEnd(r.Header), r.Body
	return a
}

// writePeerAnswer answers another daemon.
func writePeerAnswer(w http.ResponseWriter, method string, a *Answer) {
	h := w.Header()
	if a.Outcome.Kind != outcome.Answered {
		h.Set(callHeader, a.encode())
		h["Date"] = nil
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	copyHeader(h, a.Header)
	h.Set(callHeader, a.encode())
	writeWhole(w, method, a)
}

// copyHeader copies headers and keeps the server from adding some of its own.
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

// writeWhole writes status and body with the body's length.
func writeWhole(w http.ResponseWriter, method string, a *Answer) {
	if method != http.MethodHead && bodyAllowed(a.Status) {
		w.Header().Set("Content-Length", fmt.Sprint(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if method != http.MethodHead && len(a.Body) > 0 {
		_, _ = w.Write(a.Body)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// peerHandler serves other daemons.
type peerHandler struct{ d *Daemon }

// ServeHTTP answers a call or a message.
func (p peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if encoded := r.Header.Get(callHeader); encoded != "" {
		p.call(w, r, encoded)
		return
	}
	w = p.d.metrics.traffic.message(w, r)
	switch r.URL.Path {
	case pathSync:
		p.sync(w, r)
	case pathSettle:
		p.settle(w, r)
	case pathConfig:
		p.config(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// settle tells what became of an attempt. A daemon that started later at the address of
// the one that was sent the attempt knows nothing of it.
func (p peerHandler) settle(w http.ResponseWriter, r *http.Request) {
	q, err := decodeSettleRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.life != p.d.peers.self().Incarnation {
		writePeerAnswer(w, r.Method, unknown(outcome.ReasonConnectionLost))
		return
	}
	writePeerAnswer(w, r.Method, p.runAcknowledged(w, "", func() *Answer {
		return p.d.guard.finish(p.d.guard.attempts.settle(r.Context(), q.key, q.left))
	}))
}

func (p peerHandler) call(w http.ResponseWriter, r *http.Request, encoded string) {
	c, err := decodeCall(encoded)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := p.d.bodies.read(r.Body)
	if errors.Is(err, errNoRoom) || errors.Is(err, errTooLarge) {
		writePeerAnswer(w, r.Method, p.d.guard.finish(notRun(outcome.ReasonNoMemory)))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer body.release()
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.RequestURI, r.Host, r.Header, body.bytes
	writePeerAnswer(w, r.Method, p.runAcknowledged(w, c.ID, func() *Answer { return p.d.guard.Do(r.Context(), c) }))
}

// acknowledgeAfter is how long a call may take before its sender is told that it
// has arrived. A sender that hears nothing for ackWait takes the link for broken.
const acknowledgeAfter = 10 * time.Millisecond

// acknowledged waits for an answer, and sends an informational response when that
// takes a while.
func (p peerHandler) runAcknowledged(w http.ResponseWriter, request string, do func() *Answer) *Answer {
	done := make(chan *Answer, 1)
	go func() { done <- contain(request, p.d.panicked, do) }()
	timer := time.NewTimer(acknowledgeAfter)
	defer timer.Stop()
	select {
	case a := <-done:
		return a
	case <-timer.C:
		w.WriteHeader(http.StatusProcessing)
		return <-done
	}
}

func (p peerHandler) sync(w http.ResponseWriter, r *http.Request) {
	var m syncMessage
	if !readMessage(w, r, maxSyncBytes, &m) {
		return
	}
	previous, _ := p.d.peers.of(m.From.Address)
	for _, newer := range p.d.peers.merge(append([]Record{m.From}, m.Known...)) {
		if newer.Address == m.From.Address && newer.Zone != p.d.opts.Zone {
			p.d.relay.add(newer)
		}
	}
	p.d.peers.handlePull(m.From.Address)
	p.d.behind(m.From.Address, m.Version)
	reply := syncMessage{From: p.d.peers.self(), Version: p.d.config.version()}
	if previous.Sequence > 0 {
		// The sender may have started anew and forgotten what it knew.
		reply.Known = append(reply.Known, previous)
	}
	if m.Full {
		reply.Known = append(reply.Known, p.d.peers.known()[1:]...)
	}
	writeMessage(w, reply)
}
