package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/quarantine"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

const (
	// crashesToRefuse is how many crashes in which a request ran have it refused.
	// Two may be chance where upstreams crash for other reasons.
	crashesToRefuse = 3
	// refusedFor is how long such a request is refused.
	refusedFor = 10 * time.Minute
	// exchangeEvery is how often a daemon that knows of a suspect compares with
	// another one, so that whoever missed the news learns of it.
	exchangeEvery = time.Second
	// maxExchange bounds what one daemon tells another of suspects, in bytes: some
	// hundred of them.
	maxExchange = 64 << 10
)

// suspects keeps requests that crash upstreams from reaching more of them, together
// with the other daemons. It is a part of the daemon.
type suspects struct {
	d     *Daemon
	store *quarantine.Store
	news  chan struct{}
}

func newSuspects(d *Daemon) *suspects {
	s := &suspects{d: d, news: make(chan struct{}, 1)}
	s.store = quarantine.NewStore(quarantine.Options{
		Rule: func(model.ServiceName) core.Rule {
			return core.Rule{Deaths: crashesToRefuse, Duration: refusedFor}
		},
		Hint:   s.hint,
		Scope:  telemetry.OrNoop(d.opts.Scope).SubScope("quarantine"),
		Logger: d.opts.Logger,
	})
	return s
}

// hint has others told soon.
func (s *suspects) hint() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// crashed takes in that the own upstream crashed while it ran a request.
func (s *suspects) crashed(r lostRun) {
	s.d.opts.Decisions.Write(decision.Suspected, r.id, slog.String("upstream", string(r.upstream.ID)),
		slog.Int64("born", r.upstream.Born), slog.String("fingerprint", r.print.String()))
	s.store.Died(r.print, r.request, core.Death{
		Upstream: r.upstream.ID, Incarnation: model.Incarnation(r.upstream.Born),
	})
}

// refused returns the answer to a request that crashes upstreams, or nil. What others
// find out later counts from its next attempt on.
func (s *suspects) refused(req *request) *Answer {
	if !s.store.Watching() {
		return nil
	}
	left, refused := s.store.Refused(req.fingerprint())
	if !refused {
		return nil
	}
	return refuse(outcome.ReasonQuarantined, left)
}

// answered frees a request of suspicion.
func (s *suspects) answered(req *request) {
	if s.store.Watching() {
		s.store.Answered(req.fingerprint())
	}
}

// fingerprint returns what the request is known by. It is not safe for concurrent use.
func (r *request) fingerprint() core.Fingerprint {
	if r.print == nil {
		f := core.Of(asked(r.service, r.http.Method, r.http.RequestURI, r.body))
		r.print = &f
	}
	return *r.print
}

// asked describes a request by what its fingerprint is taken of. Its caller is left
// out: it may come again at any daemon.
func asked(s model.ServiceName, method, target string, body []byte) core.Request {
	return core.Request{Service: s, Method: method, Target: target, Body: body, Length: int64(len(body))}
}

// String names the part.
func (s *suspects) String() string { return "suspects" }

// Serve exchanges suspects until the context ends.
func (s *suspects) Serve(ctx context.Context) error {
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.news:
			n = newsTo
		case <-tick.C:
			if !s.store.Watching() {
				continue
			}
		}
		for _, address := range s.d.peers.someReachable(n) {
			go s.exchange(ctx, address)
		}
	}
}

// suspectsMessage is what two daemons exchange: records as lines of JSON, and what
// tells whether the other's differ.
type suspectsMessage struct {
	Digest  []byte `json:"d,omitempty"`
	Records []byte `json:"r,omitempty"`
}

// exchange tells another daemon of all suspects and learns those it knows.
func (s *suspects) exchange(ctx context.Context, address string) {
	pool := s.d.peers.pool(address)
	if pool == nil {
		return
	}
	question := suspectsMessage{Digest: s.store.Digest(), Records: s.store.Delta(nil, maxExchange)}
	var reply suspectsMessage
	err := exchangeMessages(ctx, pool, pathSuspects, question, &reply)
	var lost *hop.LostError
	switch {
	case err == nil:
		s.apply(reply)
	case errors.As(err, &lost):
		s.d.peers.missed(address, err)
	}
}

// apply takes in records of another daemon. Those that cannot be read are counted.
func (s *suspects) apply(m suspectsMessage) bool { return s.store.Apply(m.Records) == nil }

// ServeHTTP takes in another daemon's records and answers with those it lacks.
func (s *suspects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m suspectsMessage
	if !readMessage(w, r, 2*maxExchange, &m) {
		return
	}
	if !s.apply(m) {
		http.Error(w, "records cannot be read", http.StatusBadRequest)
		return
	}
	writeMessage(w, suspectsMessage{Records: s.store.Delta(m.Digest, maxExchange)})
}
