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
	// maxLearnedLines is how many upstreams get a log line of their own when they are first
	// known to be ready within learnedWindow. When a whole deployment starts, a line for
	// every pair of daemons would only repeat what the daemon of each upstream logs itself.
	maxLearnedLines = 16
	learnedWindow   = time.Second
	// maxNamedPeers bounds the daemons that one log line names.
	maxNamedPeers = 16
)

// learnedLimiter limits the log lines about upstreams that are first known to be ready.
type learnedLimiter struct {
	// windowStart is when the current window began, and lines how many upstreams have been
	// logged individually in it.
	windowStart model.Instant
	lines       int
	// unlogged counts the upstreams that got no line of their own and will be covered by one
	// summary line.
	unlogged int
}

// allow reports whether an upstream gets a log line of its own.
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

// logPeerState logs a change of the known state of a peer's upstream. Only the first report
// that an upstream is ready may go into a summary line; a line is written for every other
// change. The caller holds p.mu.
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

// logLearned writes one summary line for the upstreams that got no line of their own. It
// names the peers whose upstreams are still unknown: the state of all others is known from
// their own lines.
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
	unknown := len(missing)
	slices.Sort(missing)
	missing = missing[:min(unknown, maxNamedPeers)]
	p.decisions.Write(decision.PeersLearned, "", slog.Int("learned", p.learned.unlogged), slog.Int("ready", ready),
		slog.Int("peers", len(p.all)), slog.Int("unheard", unknown), slog.String("missing", strings.Join(missing, " ")))
	p.learned.unlogged = 0
}
