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
	// maxReadyLines is how many upstreams get a log line of their own in each readyLogWindow
	// when their first report says that they are ready. When a whole deployment starts, a
	// line for every pair of daemons would only repeat what the daemon of each upstream logs
	// itself.
	maxReadyLines  = 16
	readyLogWindow = time.Second
	// maxNamedPeers bounds the daemons that one log line names.
	maxNamedPeers = 16
)

// readyLogLimiter limits the log lines about upstreams whose first report says that they are
// ready.
type readyLogLimiter struct {
	// windowStart is when the current window began, and lines how many upstreams have been
	// logged individually in it.
	windowStart model.Instant
	lines       int
	// unlogged counts the upstreams that got no line of their own and will be covered by one
	// summary line.
	unlogged int
}

// allow reports whether an upstream gets a log line of its own.
func (l *readyLogLimiter) allow(now model.Instant) bool {
	if now.Sub(l.windowStart) >= readyLogWindow {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= maxReadyLines {
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
	if firstReady && !p.readyLog.allow(p.now()) {
		p.readyLog.unlogged++
		if p.readyLog.unlogged == 1 {
			time.AfterFunc(readyLogWindow, p.logReadySummary)
		}
		return
	}
	p.decisions.Write(decision.PeerState, "", slog.String("peer", current.Address),
		slog.String("upstream", string(current.Upstream.ID)), slog.Int64("born", current.Upstream.Born),
		slog.String("state", current.State.String()), slog.Bool("stopping", current.Stopping))
}

// logReadySummary writes one summary line for the upstreams that got no line of their own. It
// names the peers whose upstreams are still unknown: the state of all others is known from
// their own lines.
func (p *peers) logReadySummary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := 0
	var unknown []string
	for address, q := range p.others {
		switch {
		case q.record.Upstream == (lifecycle.Incarnation{}):
			unknown = append(unknown, address)
		case q.record.State == lifecycle.Ready:
			ready++
		}
	}
	numUnknown := len(unknown)
	slices.Sort(unknown)
	unknown = unknown[:min(numUnknown, maxNamedPeers)]
	p.decisions.Write(decision.PeersLearned, "", slog.Int("learned", p.readyLog.unlogged), slog.Int("ready", ready),
		slog.Int("peers", len(p.others)), slog.Int("unheard", numUnknown), slog.String("missing", strings.Join(unknown, " ")))
	p.readyLog.unlogged = 0
}
