package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

func serviceDocument(name, deadline string) policy.Document {
	return policy.Document{Kind: policy.KindService, Name: name, Spec: json.RawMessage(`{"deadline":"` + deadline + `"}`)}
}

func propose(t *testing.T, log recordlog.Log, p Proposal) Result {
	t.Helper()
	res, err := Propose(t.Context(), log, p)
	require.NoError(t, err)
	return res
}

func TestOnlyChangedDocumentsArePublished(t *testing.T) {
	log := &recordlog.Memory{}
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s"), serviceDocument("b", "1s")}})
	res := propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s"), serviceDocument("b", "1s")}})
	require.Len(t, res.Differences, 1)
	view, err := NewView(t.Context(), log)
	require.NoError(t, err)
	require.Len(t, view.Entries()[1].Change.Put, 1)

	res = propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s")}})
	require.Empty(t, res.ChangeID, "a proposal without differences publishes no change")
	require.EqualValues(t, 2, res.Version)

	res = propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s")}, Prune: true})
	require.Equal(t, []Difference{{Key: "Service/b", Before: res.Differences[0].Before}}, res.Differences)
}

func TestPlanPublishesNothing(t *testing.T) {
	log := &recordlog.Memory{}
	plan, err := Plan(t.Context(), log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
	require.NoError(t, err)
	require.Len(t, plan.Differences, 1)
	view, err := NewView(t.Context(), log)
	require.NoError(t, err)
	require.Empty(t, view.Entries())
}

func TestRollbackPublishesAnEarlierVersionAsNew(t *testing.T) {
	log := &recordlog.Memory{}
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s"), serviceDocument("b", "2s")}})
	res, err := Rollback(t.Context(), log, 1, Proposal{})
	require.NoError(t, err)
	require.EqualValues(t, 3, res.Version)
	state1, err := StateAt(t.Context(), log, 1)
	require.NoError(t, err)
	state3, err := StateAt(t.Context(), log, 3)
	require.NoError(t, err)
	require.Equal(t, state1.Documents, state3.Documents)
	_, err = Rollback(t.Context(), log, 9, Proposal{})
	require.ErrorContains(t, err, "version 9 is not on the log")
}

func TestProposeErrorsHaveExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		proposal             Proposal
		readsFailAfterAppend bool
		wantCode             int
	}{
		"superseded":   {Proposal{Base: 1, Documents: []policy.Document{serviceDocument("a", "3s")}}, false, ExitSuperseded},
		"invalid":      {Proposal{Documents: []policy.Document{serviceDocument("a", "3 hours")}}, false, ExitInvalid},
		"no such base": {Proposal{Base: 9, Documents: []policy.Document{serviceDocument("a", "3s")}}, false, ExitInvalid},
		"unknown":      {Proposal{Documents: []policy.Document{serviceDocument("a", "4s")}}, true, ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				var log recordlog.Log = &recordlog.Memory{}
				propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
				propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s")}})
				if c.readsFailAfterAppend {
					log = &unreadableAfterAppend{Log: log}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := Propose(ctx, log, c.proposal)
				var exitCoder interface{ ExitCode() int }
				require.ErrorAs(t, err, &exitCoder)
				require.Equal(t, c.wantCode, exitCoder.ExitCode(), "%v", err)
			})
		})
	}
}

// unreadableAfterAppend is a log whose appends fail without showing whether they took effect, as
// if their replies were lost. After the first append, all reads fail.
type unreadableAfterAppend struct {
	recordlog.Log
	unreadable atomic.Bool
}

func (u *unreadableAfterAppend) Append(context.Context, string, [][]byte) (recordlog.Offset, error) {
	u.unreadable.Store(true)
	return 0, &recordlog.AppendError{Uncertain: true, Err: errors.New("lost")}
}

func (u *unreadableAfterAppend) Read(ctx context.Context, stream string, from recordlog.Offset, limit int) (recordlog.Batch, error) {
	if u.unreadable.Load() {
		return recordlog.Batch{}, errors.New("down")
	}
	return u.Log.Read(ctx, stream, from, limit)
}

// TestFailedAppendIsNotReportedAsUnknown checks that Propose retries appends that certainly failed, and
// returns another error than *UnknownError if they all fail.
func TestFailedAppendIsNotReportedAsUnknown(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		log := &failingAppends{Log: &recordlog.Memory{}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := Propose(ctx, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
		var unknown *UnknownError
		require.Error(t, err)
		require.False(t, errors.As(err, &unknown))
		require.Greater(t, log.appends, 1, "the append is retried")
	})
}

// failingAppends is a log whose appends all fail and certainly add no records.
type failingAppends struct {
	recordlog.Log
	appends int
}

func (f *failingAppends) Append(context.Context, string, [][]byte) (recordlog.Offset, error) {
	f.appends++
	return 0, &recordlog.AppendError{Err: errors.New("refused")}
}

// TestTrimmedLogNeedsCheckpoint checks that a trimmed log can be read only if it holds a
// checkpoint that covers the trimmed records.
func TestTrimmedLogNeedsCheckpoint(t *testing.T) {
	log := &recordlog.Memory{}
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
	view, err := NewView(t.Context(), log)
	require.NoError(t, err)
	checkpoint, err := view.State().Checkpoint()
	require.NoError(t, err)
	log.Trim(recordlog.StreamConfig, 1)
	_, err = NewView(t.Context(), log)
	require.ErrorIs(t, err, ErrNoCheckpoint)
	_, err = log.Append(t.Context(), recordlog.StreamConfig, [][]byte{checkpoint})
	require.NoError(t, err)
	res := propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("b", "1s")}})
	require.EqualValues(t, 2, res.Version)
}

// TestStartOverNeedsTrimmedLogWithoutCheckpoint checks that StartOver fails while the configuration can
// be read from the log, and for version zero. After a trim without a checkpoint it must succeed, and
// the next change must get the version after the given one.
func TestStartOverNeedsTrimmedLogWithoutCheckpoint(t *testing.T) {
	log := &recordlog.Memory{}
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
	propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "2s")}})
	require.ErrorIs(t, StartOver(t.Context(), log, 2), ErrLogReadable)
	log.Trim(recordlog.StreamConfig, 1)
	_, err := Propose(t.Context(), log, Proposal{Documents: []policy.Document{serviceDocument("a", "3s")}})
	require.ErrorIs(t, err, ErrNoCheckpoint)
	var invalid *InvalidError
	require.ErrorAs(t, StartOver(t.Context(), log, 0), &invalid)
	require.NoError(t, StartOver(t.Context(), log, 2))
	require.ErrorIs(t, StartOver(t.Context(), log, 2), ErrLogReadable)
	res := propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "3s")}})
	require.EqualValues(t, 3, res.Version)
	require.Len(t, res.Differences, 1)
}

func TestWriteDiffPrintsRemovedAndAddedLines(t *testing.T) {
	var b bytes.Buffer
	WriteDiff(&b, Diff(
		Documents{"Service/a": json.RawMessage(`{"x":1,"y":2}`), "Service/gone": json.RawMessage(`1`)},
		Documents{"Service/a": json.RawMessage(`{"x":1,"y":3}`)}))
	require.Equal(t, "Service/a\n-   \"y\": 2\n+   \"y\": 3\nService/gone\n- 1\n", b.String())
}

// TestAwaitPollsUntilVersionIsInForce checks that Await polls until the version is in force in
// every zone, and returns a *LaggingError if the context ends first.
func TestAwaitPollsUntilVersionIsInForce(t *testing.T) {
	var queries atomic.Int32
	zones := []ZoneStatus{{Zone: "a", Asked: 2, Answered: 2, Oldest: 1, Newest: 2}, {Zone: "b", Asked: 1, Answered: 1, Oldest: 2, Newest: 2}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if queries.Add(1) > 3 {
			zones[0].Oldest = 2
		}
		_ = json.NewEncoder(w).Encode(zones)
	}))
	defer srv.Close()
	admin := strings.TrimPrefix(srv.URL, "http://")
	require.NoError(t, Await(t.Context(), admin, 2))
	require.EqualValues(t, 4, queries.Load())

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := Await(ctx, admin, 3)
	var lagging *LaggingError
	require.ErrorAs(t, err, &lagging)
	require.Equal(t, ExitLagging, lagging.ExitCode())
	require.True(t, ZoneStatus{Asked: 2, Answered: 1, Oldest: 3}.Lags(3), "a daemon that does not respond may serve an older version")
}

func TestChangeTooLargeIsInvalid(t *testing.T) {
	d := serviceDocument("a", "1s")
	d.Labels = map[string]string{"x": strings.Repeat("x", config.MaxChange)}
	_, err := Propose(t.Context(), &recordlog.Memory{}, Proposal{Documents: []policy.Document{d}})
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
}
