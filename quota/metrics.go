package quota

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quota"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// metrics holds the metrics of a Limiter. Their number does not depend on the number of accounts.
type metrics struct {
	// verdicts counts requests by their verdict, events what happened to holders.
	verdicts map[quota.Kind]tally.Counter
	events   map[quota.EventKind]tally.Counter
	// returned counts the tokens that were given back.
	returned tally.Counter
	// wait is how long requests waited for the reply of a holder.
	wait tally.Timer
}

func newMetrics(scope tally.Scope) *metrics {
	scope = telemetry.OrNoop(scope)
	m := &metrics{
		verdicts: make(map[quota.Kind]tally.Counter), events: make(map[quota.EventKind]tally.Counter), wait: scope.Timer("quota_wait"),
		returned: scope.Counter("quota_tokens_returned"),
	}
	for kind, name := range map[quota.Kind]string{quota.Allowed: "allowed", quota.Denied: "denied", quota.Unknown: "unknown", quota.Waiting: "withdrawn"} {
		m.verdicts[kind] = scope.Tagged(map[string]string{"verdict": name}).Counter("quota_requests")
	}
	for kind, name := range map[quota.EventKind]string{
		quota.HolderSilent: "silent", quota.HolderAnswers: "answers", quota.HolderReplaced: "replaced", quota.HolderDisputed: "disputed",
	} {
		m.events[kind] = scope.Tagged(map[string]string{"event": name}).Counter("quota_holders")
	}
	return m
}

func (m *metrics) countVerdict(k quota.Kind) {
	if c, ok := m.verdicts[k]; ok {
		c.Inc(1)
	}
}

func (m *metrics) countEvent(k quota.EventKind) {
	if c, ok := m.events[k]; ok {
		c.Inc(1)
	}
}

const (
	// maxEventLines bounds the log lines about holders in eventLinesPeriod. A zone that is cut off makes many
	// holders silent at once.
	maxEventLines    = 20
	eventLinesPeriod = 10 * time.Second
)

// eventLog logs events, at most maxEventLines in eventLinesPeriod.
type eventLog struct {
	decisions *decision.Log
	periodEnd model.Instant
	lines     int
}

// kindOfEvent holds the kinds of the log lines. Disputes are only counted: they end by themselves.
var kindOfEvent = map[quota.EventKind]decision.Kind{
	quota.HolderSilent:   decision.QuotaHolderSilent,
	quota.HolderAnswers:  decision.QuotaHolderAnswers,
	quota.HolderReplaced: decision.QuotaHolderReplaced,
}

func (l *eventLog) log(now model.Instant, e quota.Event) {
	kind, ok := kindOfEvent[e.Kind]
	if !ok || l.decisions == nil {
		return
	}
	if now >= l.periodEnd {
		l.periodEnd, l.lines = now.Add(eventLinesPeriod), 0
	}
	if l.lines++; l.lines <= maxEventLines {
		l.decisions.Write(kind, "", slog.String("peer", e.Holder))
	}
}
