package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

// loggedPeers holds the peers of one daemon and the log lines written about them.
type loggedPeers struct {
	*peers
	logOutput bytes.Buffer
	log       *decision.Log
}

// newLoggedPeers returns the peers of a daemon that knows no other daemon. Its clock is the
// virtual time of the bubble in which the test runs (see package bubble). No exchange starts.
func newLoggedPeers() *loggedPeers {
	l := &loggedPeers{}
	l.log = decision.New(decision.Options{Handler: slog.NewJSONHandler(&l.logOutput, nil)})
	began := time.Now()
	l.peers = newPeers(Record{Address: "own", Incarnation: 1, Sequence: 1}, func() model.Instant { return model.Instant(time.Since(began)) }, l.log)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.ctx = ctx
	return l
}

// closeAndRead closes the log and returns its lines by kind, each decoded from JSON.
func (l *loggedPeers) closeAndRead(t *testing.T) map[decision.Kind][]map[string]any {
	t.Helper()
	l.log.Close(time.Second)
	linesByKind := map[decision.Kind][]map[string]any{}
	for d := json.NewDecoder(&l.logOutput); d.More(); {
		var line map[string]any
		require.NoError(t, d.Decode(&line))
		kind := decision.Kind(line["msg"].(string))
		linesByKind[kind] = append(linesByKind[kind], line)
	}
	return linesByKind
}

// stateRecords returns a slice with one record, as merge takes it: the record of peer n, whose
// upstream is in state s. For the state Unknown, the record names no upstream.
func stateRecords(n int, sequence uint64, s lifecycle.State) []Record {
	r := Record{Address: fmt.Sprintf("d%03d", n), Incarnation: 1, Sequence: sequence, State: s}
	if s != lifecycle.Unknown {
		r.Upstream = lifecycle.Incarnation{ID: model.UpstreamID(fmt.Sprintf("u%03d", n)), Born: 1}
	}
	return []Record{r}
}

// TestMassStartLogsFewLines guards against a number of log lines that grows with the square of
// the number of daemons. When a whole deployment started, each daemon logged a line about every
// other daemon. Now, maxReadyLines upstreams get a line each, and one summary line covers the rest.
func TestMassStartLogsFewLines(t *testing.T) {
	for _, numDaemons := range []int{10, 100, 295, 1700} {
		bubble.Run(t, func(t *testing.T) {
			l := newLoggedPeers()
			const startDuration = 500 * time.Millisecond
			for _, s := range []lifecycle.State{lifecycle.Unknown, lifecycle.Ready} {
				for n := range numDaemons - 1 {
					l.merge(stateRecords(n, uint64(s)+1, s))
					time.Sleep(startDuration / time.Duration(numDaemons))
				}
			}
			time.Sleep(2 * readyLogWindow)
			lines := l.closeAndRead(t)
			numIndividual := min(numDaemons-1, maxReadyLines)
			require.Len(t, lines[decision.PeerState], numIndividual, numDaemons)
			numSummarized := numDaemons - 1 - numIndividual
			if numSummarized == 0 {
				require.Empty(t, lines[decision.PeersLearned])
				return
			}
			require.Len(t, lines[decision.PeersLearned], 1)
			line := lines[decision.PeersLearned][0]
			require.EqualValues(t, numSummarized, line["learned"])
			require.EqualValues(t, numDaemons-1, line["ready"])
			require.EqualValues(t, numDaemons-1, line["peers"])
			require.Zero(t, line["unheard"])
		})
	}
}

// TestDaemonsWithoutKnownUpstreamAreNamed checks that the summary line names the peers whose
// upstreams are still unknown.
func TestDaemonsWithoutKnownUpstreamAreNamed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		l := newLoggedPeers()
		for n := range 100 {
			s := lifecycle.Ready
			if n == 40 || n == 90 {
				s = lifecycle.Unknown
			}
			l.merge(stateRecords(n, 1, s))
		}
		time.Sleep(2 * readyLogWindow)
		line := l.closeAndRead(t)[decision.PeersLearned][0]
		require.EqualValues(t, 2, line["unheard"])
		require.Equal(t, "d040 d090", line["missing"])
		require.EqualValues(t, 98, line["ready"])
	})
}

// TestStateChangesAreLoggedIndividually changes the state of many known upstreams or daemons at
// once. Every change must get a log line of its own.
func TestStateChangesAreLoggedIndividually(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"drained":   func(r *Record) { r.State = lifecycle.Draining },
		"gone":      func(r *Record) { r.State = lifecycle.Gone },
		"stopping":  func(r *Record) { r.Stopping = true },
		"restarted": func(r *Record) { r.Upstream.Born = 2 },
		"unknown":   func(r *Record) { r.State, r.Upstream = lifecycle.Unknown, lifecycle.Incarnation{} },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				l := newLoggedPeers()
				const numDaemons = 100
				for n := range numDaemons {
					l.merge(stateRecords(n, 1, lifecycle.Ready))
				}
				time.Sleep(2 * readyLogWindow)
				for n := range numDaemons {
					r := stateRecords(n, 2, lifecycle.Ready)
					change(&r[0])
					l.merge(r)
				}
				time.Sleep(2 * readyLogWindow)
				lines := l.closeAndRead(t)
				require.Len(t, lines[decision.PeerState], maxReadyLines+numDaemons)
				require.Len(t, lines[decision.PeersLearned], 1)
			})
		})
	}
}
