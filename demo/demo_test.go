package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRunFindsNoViolations checks the JSON result of a short run: each group has answered requests,
// every request has an outcome, and the polls of load reports use less than 5% of the capacity.
func TestRunFindsNoViolations(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Run(t.Context(), &out, Options{JSON: true, Duration: 300 * time.Millisecond}))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var res Result
	require.NoError(t, json.Unmarshal(lines[len(lines)-1], &res))
	require.Empty(t, res.Violations)
	require.Len(t, res.Groups, 4)
	for _, g := range res.Groups {
		require.Positive(t, g.Answered, g.Group)
		require.Equal(t, g.Requests, g.Answered+g.NotRun+g.Unknown, g.Group)
		require.Less(t, g.MeasuringShare, 0.05, g.Group)
	}
	require.EqualValues(t, 1, res.VersionInForce)
}

// TestCancelledRunReportsNoViolations checks that Run returns the error of its context if the
// context ends during the run.
func TestCancelledRunReportsNoViolations(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err := Run(ctx, &bytes.Buffer{}, Options{Duration: time.Hour})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestObserverFindsViolations guards against violations that the observer misses, and against
// allowed behaviour that it reports, such as a repeated execution of an idempotent request.
func TestObserverFindsViolations(t *testing.T) {
	o := newObserver()
	observe := func(name, method string, kind outcome.Kind) {
		o.observe(&load.Request{Name: name, Source: &load.Source{Method: method}}, load.Reply{Kind: kind})
	}
	observe("fine", http.MethodGet, outcome.Answered)
	observe("repeated", http.MethodGet, outcome.Answered)
	observe("unknown", http.MethodPost, outcome.Unknown)
	observe("refused", http.MethodPost, outcome.NotRun)
	require.Empty(t, o.violations(map[string]int{"fine": 1, "repeated": 2, "unknown": 1}))

	observe("twice", http.MethodPost, outcome.Unknown)
	observe("executed", http.MethodGet, outcome.NotRun)
	observe("never-ran", http.MethodGet, outcome.Answered)
	require.Equal(t, []string{
		"non-idempotent request twice ran 2 times",
		"request executed ran although its caller was told it did not",
		"request never-ran was answered but never ran",
		"request never-sent ran but was never sent",
	}, o.violations(map[string]int{"fine": 1, "repeated": 1, "twice": 2, "executed": 1, "never-sent": 1}))
}
