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
	// when their first report says that they are ready. Without the limit, the start of a whole
	// deployment would log a line for every pair of daemons. These lines would only repeat what
	// the daemon of each upstream logs itself.
	maxReadyLines = 16
	// readyLogWindow is the period to which maxReadyLines applies. A summary line is written one
	// such period after the first upstream that got no line of its own.
	readyLogWindow = time.Second
	// maxNamedPeers bounds the daemons that one log line names.
	maxNamedPeers = 16
)

// readyLogLimiter limits the log lines about upstreams whose first report says that they are
// ready.
type readyLogLimiter struct {
	// windowStart is when the current window began.
	windowStart model.Instant
	// lineCount is how many upstreams got a line of their own in the current window.
	lineCount int
	// unloggedCount counts the upstreams that got no line of their own. One summary line will cover
	// them.
	unloggedCount int
}

// allow reports whether an upstream gets a log line of its own.
func (l *readyLogLimiter) allow(now model.Instant) bool {
	if now.Sub(l.windowStart) >= readyLogWindow {
		l.windowStart, l.lineCount = now, 0
	}
	if l.lineCount >= maxReadyLines {
		return false
	}
	l.lineCount++
	return true
}

// logPeerState logs a change in the state of a peer or of its upstream. The first report that an
// upstream is ready may go into a summary line. Every other change gets a line of its own. The
// caller holds p.mu.
func (p *peers) logPeerState(previous, current *Record) {
	firstReady := previous.Upstream == (lifecycle.Incarnation{}) && current.State == lifecycle.Ready && !current.Stopping
	if firstReady && !p.readyLog.allow(p.now()) {
		p.readyLog.unloggedCount++
		if p.readyLog.unloggedCount == 1 {
			time.AfterFunc(readyLogWindow, p.logReadySummary)
		}
		return
	}
	p.decisions.Write(decision.PeerState, "", slog.String("peer", current.Address),
		slog.String("upstream", string(current.Upstream.ID)), slog.Int64("born", current.Upstream.Born),
		slog.String("state", current.State.String()), slog.Bool("stopping", current.Stopping))
}

// logReadySummary writes one summary line for the upstreams that got no line of their own. The
// line names the peers whose upstreams are still unknown, at most maxNamedPeers. Every other
// upstream either has a line of its own that states its state, or is ready.
func (p *peers) logReadySummary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	numReady := 0
	var unknownPeers []string
	for address, q := range p.others {
		switch {
		case q.record.Upstream == (lifecycle.Incarnation{}):
			unknownPeers = append(unknownPeers, address)
		case q.record.State == lifecycle.Ready:
			numReady++
		}
	}
	numUnknown := len(unknownPeers)
	slices.Sort(unknownPeers)
	unknownPeers = unknownPeers[:min(numUnknown, maxNamedPeers)]
	p.decisions.Write(decision.PeersLearned, "", slog.Int("learned", p.readyLog.unloggedCount), slog.Int("ready", numReady),
		slog.Int("peers", len(p.others)), slog.Int("unheard", numUnknown), slog.String("missing", strings.Join(unknownPeers, " ")))
	p.readyLog.unloggedCount = 0
}
