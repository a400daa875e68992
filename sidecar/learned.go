package sidecar

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// learnedAlone is how many upstreams that are first known to be ready within
	// learnedSpan have lines of their own. Where a whole deployment starts, lines for
	// every pair of daemons would tell what each upstream's own daemon tells anyway.
	learnedAlone = 16
	learnedSpan  = time.Second
	// maxMissing bounds the daemons that one line names.
	maxMissing = 16
)

// learned bounds the lines about upstreams that are first known to be ready.
type learned struct {
	// since is when the span began, in which so many have had lines of their own.
	since model.Instant
	alone int
	// rest is how many have had none and wait for a line on all of them.
	rest int
}

// admit reports whether an upstream has a line of its own.
func (l *learned) admit(now model.Instant) bool {
	if now.Sub(l.since) >= learnedSpan {
		l.since, l.alone = now, 0
	}
	if l.alone >= learnedAlone {
		return false
	}
	l.alone++
	return true
}

// tellState writes that another belief is held of a peer's upstream. Only the first news
// that an upstream is ready may share a line; what takes one away, or changes what was
// known of it, has its own. p.mu is held.
func (p *peers) tellState(before, r *Record) {
	first := before.Upstream == (lifecycle.Incarnation{}) && r.State == lifecycle.Ready && !r.Stopping
	if first && !p.learned.admit(p.now()) {
		p.learned.rest++
		if p.learned.rest == 1 {
			time.AfterFunc(learnedSpan, p.tellLearned)
		}
		return
	}
	p.decisions.Write(decision.PeerState, "", slog.String("peer", r.Address),
		slog.String("upstream", string(r.Upstream.ID)), slog.Int64("born", r.Upstream.Born),
		slog.String("state", r.State.String()), slog.Bool("stopping", r.Stopping))
}

// tellLearned writes one line on the upstreams that had none of their own. It names the
// daemons of which nothing is known yet: what is known of the others follows from their
// own lines.
func (p *peers) tellLearned() {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := 0
	var missing []string
	for address, q := range p.all {
		switch {
		case q.record.Upstream == (lifecycle.Incarnation{}):
			missing = append(missing, address)
		case q.record.State == lifecycle.Ready:
			ready++
		}
	}
	unheard := len(missing)
	slices.Sort(missing)
	missing = missing[:min(unheard, maxMissing)]
	p.decisions.Write(decision.PeersLearned, "", slog.Int("learned", p.learned.rest), slog.Int("ready", ready),
		slog.Int("peers", len(p.all)), slog.Int("unheard", unheard), slog.String("missing", strings.Join(missing, " ")))
	p.learned.rest = 0
}
