package sidecar

import (
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// candidates returns the upstreams of a service, the own among them, and the
// generation of what is known.
func (p *peers) candidates(s model.ServiceName) ([]placement.Upstream, map[string]endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ups []placement.Upstream
	targets := make(map[string]endpoint)
	add := func(r *Record, cold model.Instant) {
		if r.Service != s || r.State != lifecycle.Ready {
			return
		}
		up := placement.Upstream{
			Key: upstreamKey(r.Address, r.Upstream.ID), Daemon: model.DaemonID(r.Address),
			Zone: r.Zone, Slots: r.Slots, ColdUntil: cold, Stopping: r.Stopping,
		}
		ups = append(ups, up)
		targets[up.Key] = endpoint{address: r.Address, daemonIncarnation: r.Incarnation, upstream: r.Upstream}
	}
	add(&p.own, 0)
	for _, q := range p.all {
		if !q.lost {
			add(&q.record, q.coldUntil)
		}
	}
	slices.SortFunc(ups, func(a, b placement.Upstream) int { return strings.Compare(a.Key, b.Key) })
	return ups, targets
}

// current returns the generation of what is known.
func (p *peers) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// keyOf names an upstream among the candidates.
func upstreamKey(address string, id model.UpstreamID) string { return address + " " + string(id) }

// target is where the calls to a candidate go.
type endpoint struct {
	address string
	// life is the incarnation of the daemon there.
	daemonIncarnation int64
	upstream          lifecycle.Incarnation
}
