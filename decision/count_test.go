package decision

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestDroppedDecisionsAreCounted writes more lines than the rate limit allows. The counters
// must include the decisions whose lines are dropped.
func TestDroppedDecisionsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	l := New(Options{Handler: slog.DiscardHandler, LinesPerSecond: 1, Scope: scope})
	defer l.Close(time.Second)
	const refusals = 100
	for range refusals {
		l.Write(Refused, "r", slog.Int("status", 503), slog.String("reason", "queue-full"))
	}
	l.Write(PeerUnreachable, "", slog.String("peer", "p"))
	got := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		got[c.Tags()["kind"]+" "+c.Tags()["reason"]] = c.Value()
	}
	require.Equal(t, map[string]int64{"request refused queue-full": refusals, "peer lost ": 1}, got)
}

// TestCountersAreBounded counts decisions with more reasons than there may be counters. One
// additional counter must count the decisions with the excess reasons.
func TestCountersAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newDecisionCounters(scope)
	for i := range 2 * maxCounters {
		c.add(Refused, []slog.Attr{slog.String("reason", fmt.Sprint(i))})
	}
	require.Len(t, scope.Snapshot().Counters(), maxCounters+1)
}
