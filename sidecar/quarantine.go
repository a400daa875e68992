package sidecar

import (
	"context"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/quarantine"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

const (
	// quarantineThreshold is the number of crashes during a request after which the request is
	// quarantined. Two crashes may be coincidence where upstreams crash for other reasons.
	quarantineThreshold = 3
	// quarantineDuration is how long a request stays in quarantine.
	quarantineDuration = 10 * time.Minute
	// gossipTick is how often a daemon checks whether it has suspected requests to send to
	// others.
	gossipTick = 100 * time.Millisecond
	// maxHashedBodyBytes is the size up to which the body of each request is hashed. Larger ones
	// are hashed only while any request is suspected.
	maxHashedBodyBytes = 64 << 10
)

// crashQuarantine quarantines requests that crash upstreams, so that they do not reach further
// upstreams. It shares what it observes with the other daemons.
type crashQuarantine struct {
	d      *Daemon
	store  *quarantine.Store
	gossip *quarantine.Gossip
	// changed wakes Serve after a change of the store.
	changed chan struct{}
}

func newCrashQuarantine(d *Daemon) *crashQuarantine {
	q := &crashQuarantine{d: d, changed: make(chan struct{}, 1)}
	q.store = quarantine.NewStore(quarantine.Options{
		Rule: func(model.ServiceName) core.Rule {
			return core.Rule{Crashes: quarantineThreshold, Duration: quarantineDuration}
		},
		OnUpdate: q.signalChange,
		Scope:    telemetry.OrNoop(d.opts.Scope).SubScope("quarantine"),
		Logger:   d.opts.Logger,
	})
	q.gossip = &quarantine.Gossip{
		Store:           q.store,
		Selector:        d.follower.peerSelector,
		Members:         d.peers.reachableMembers,
		Send:            func(address string, m []byte) { d.datagrams.sendOneWay(kindSuspects, address, m) },
		MaxMessageBytes: maxDatagramBody,
	}
	return q
}

// signalChange makes Serve send the changes to other daemons soon.
func (q *crashQuarantine) signalChange() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// recordCrash records that the local upstream crashed while it ran a request.
func (q *crashQuarantine) recordCrash(r lostRun) {
	q.d.opts.Decisions.Write(decision.Suspected, r.id, slog.String("upstream", string(r.upstream.ID)),
		slog.Int64("born", r.upstream.Born), slog.String("fingerprint", r.fingerprint.String()))
	q.store.RecordCrash(r.fingerprint, r.request, core.Crash{
		Upstream: r.upstream.ID, Incarnation: model.Incarnation(r.upstream.Born),
	})
}

// refuseIfQuarantined returns the refusal of a quarantined request, and nil for any other request.
// Crashes that other daemons report after the call affect only later attempts of the request, and
// those that wait at a guard; see refusesCall.
func (q *crashQuarantine) refuseIfQuarantined(req *request) *Result {
	if !q.store.HasRecords() {
		return nil
	}
	remaining, refused := q.store.RefusedFor(req.fingerprint())
	if !refused {
		return nil
	}
	return refusalResult(outcome.ReasonQuarantined, remaining)
}

// refusesCall reports whether the request of a call is in quarantine.
func (q *crashQuarantine) refusesCall(c *Call) bool {
	if !q.store.HasRecords() {
		return false
	}
	_, refused := q.store.RefusedFor(core.FingerprintOf(fingerprintInput(c.Service, c.Method, c.Target, c.Body)))
	return refused
}

// clearSuspicion records that an upstream has survived a request. The request is then not
// suspected of crashing upstreams, also by crashes that are reported a little later.
func (q *crashQuarantine) clearSuspicion(req *request) {
	if len(req.body) <= maxHashedBodyBytes || q.store.HasRecords() {
		q.store.RecordResponse(req.fingerprint())
	}
}

// fingerprint returns the fingerprint by which the quarantine identifies the request. It is
// not safe for concurrent use.
func (r *request) fingerprint() core.Fingerprint {
	if r.cachedFingerprint == nil {
		f := core.FingerprintOf(fingerprintInput(r.service, r.httpRequest.Method, r.httpRequest.RequestURI, r.body))
		r.cachedFingerprint = &f
	}
	return *r.cachedFingerprint
}

// fingerprintInput returns the properties of a request that its fingerprint covers. The caller
// is not one of them, because the request may come again from another caller, at any daemon.
func fingerprintInput(s model.ServiceName, method, target string, body []byte) core.Request {
	return core.Request{Service: s, Method: method, Target: target, Body: body, Length: int64(len(body))}
}

// String implements fmt.Stringer. The supervisor logs this name.
func (q *crashQuarantine) String() string { return "suspects" }

// Serve exchanges suspected requests, which were running during a crash, with other daemons
// until the context ends.
func (q *crashQuarantine) Serve(ctx context.Context) error {
	tick := time.NewTicker(gossipTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.changed:
		case <-tick.C:
		}
		q.gossip.Tick(q.d.now())
	}
}
