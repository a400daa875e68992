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
	// maxReadyLines is how many upstreams whose first report says that they are ready get a log
	// line of their own in each readyLogWindow. Without the limit, the start of a whole deployment
	// would log a line for every pair of daemons. These lines would only repeat what the daemon of
	// each upstream logs itself.
	maxReadyLines = 16
	// readyLogWindow is the period to which maxReadyLines applies. When an upstream is the first
	// to get no line of its own, a summary line follows after one such period.
	readyLogWindow = time.Second
	// maxNamedPeers is how many daemons a summary line names at most.
	maxNamedPeers = 16
)

// readyLogLimiter limits the log lines about upstreams whose first report says that they are
// ready.
type readyLogLimiter struct {
	// windowStart is when the current window began.
	windowStart model.Instant
	// lineCount is how many upstreams got a line of their own in the current window.
	lineCount int
	// unloggedCount counts the upstreams that have got no line of their own since the previous
	// summary line. The next one will cover them.
	unloggedCount int
}

// allow reports whether an upstream gets a log line of its own, and counts that line.
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

// logPeerState logs a change in the state of a peer or of its upstream. If the peer had no known
// upstream before and the upstream is now ready, a summary line may cover the change. Every other
// change gets a line of its own. The caller holds p.mu.
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
// line names the peers whose upstreams are still unknown, at most maxNamedPeers of them. Every
// other upstream either is ready or has had a line of its own with its state.
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
