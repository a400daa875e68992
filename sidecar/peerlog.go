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
	maxLearnedLines = 16
	learnedWindow   = time.Second
	// maxMissing bounds the daemons that one line names.
	maxNamedPeers = 16
)

// learned bounds the lines about upstreams that are first known to be ready.
type learnedLimiter struct {
	// since is when the span began, in which so many have had lines of their own.
	windowStart model.Instant
	lines       int
	// rest is how many have had none and wait for a line on all of them.
	unlogged int
}

// admit reports whether an upstream has a line of its own.
func (l *learnedLimiter) allow(now model.Instant) bool {
	if now.Sub(l.windowStart) >= learnedWindow {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= maxLearnedLines {
		return false
	}
	l.lines++
	return true
}

// tellState writes that another belief is held of a peer's upstream. Only the first news
// that an upstream is ready may share a line; what takes one away, or changes what was
// known of it, has its own. p.mu is held.
func (p *peers) logPeerState(previous, current *Record) {
	firstReady := previous.Upstream == (lifecycle.Incarnation{}) && current.State == lifecycle.Ready && !current.Stopping
	if firstReady && !p.learned.allow(p.now()) {
		p.learned.unlogged++
		if p.learned.unlogged == 1 {
			time.AfterFunc(learnedWindow, p.logLearned)
		}
		return
	}
	p.decisions.Write(decision.PeerState, "", slog.String("peer", current.Address),
		slog.String("upstream", string(current.Upstream.ID)), slog.Int64("born", current.Upstream.Born),
		slog.String("state", current.State.String()), slog.Bool("stopping", current.Stopping))
}

// tellLearned writes one line on the upstreams that had none of their own. It names the
// daemons of which nothing is known yet: what is known of the others follows from their
// own lines.
func (p *peers) logLearned() {
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
	missing = missing[:min(unheard, maxNamedPeers)]
	p.decisions.Write(decision.PeersLearned, "", slog.Int("learned", p.learned.unlogged), slog.Int("ready", ready),
		slog.Int("peers", len(p.all)), slog.Int("unheard", unheard), slog.String("missing", strings.Join(missing, " ")))
	p.learned.unlogged = 0
}
