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

func TestRunHoldsItsInvariants(t *testing.T) {
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

func TestCancelledRunReportsNoViolations(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err := Run(ctx, &bytes.Buffer{}, Options{Duration: time.Hour})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestViolationsAreFound(t *testing.T) {
	o := newObserver()
	tell := func(name, method string, kind outcome.Kind) {
		o.observe(&load.Request{Name: name, Source: &load.Source{Method: method}}, load.Reply{Kind: kind})
	}
	tell("fine", http.MethodGet, outcome.Answered)
	tell("repeated", http.MethodGet, outcome.Answered)
	tell("perhaps", http.MethodPost, outcome.Unknown)
	tell("refused", http.MethodPost, outcome.NotRun)
	require.Empty(t, o.violations(map[string]int{"fine": 1, "repeated": 2, "perhaps": 1}))

	tell("twice", http.MethodPost, outcome.Unknown)
	tell("lied", http.MethodGet, outcome.NotRun)
	tell("made up", http.MethodGet, outcome.Answered)
	require.Equal(t, []string{
		"non-idempotent request twice ran 2 times",
		"request lied ran although its caller was told it did not",
		"request made up was answered and never ran",
		"request nobody's ran and was never sent",
	}, o.violations(map[string]int{"fine": 1, "repeated": 1, "twice": 2, "lied": 1, "nobody's": 1}))
}
