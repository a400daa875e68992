package outcome

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryReasonHasADetail checks that each constant of type Reason has a detail and that
// there are no other details. It reads the constants from the source code, so that it also
// covers constants added later.
func TestEveryReasonHasADetail(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "outcome.go", nil, 0)
	require.NoError(t, err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Reason" || spec.Names[0].Name == "ReasonNone" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		require.NotEmpty(t, Reason(text).Detail(), spec.Names[0].Name)
		found++
		return true
	})
	require.Len(t, Reasons(), found)
}

func TestMayRetry(t *testing.T) {
	tests := []struct {
		name       string
		outcome    Outcome
		idempotent bool
		want       bool
	}{
		{"not run", NotRunBecause(ReasonDraining), false, true},
		{"unknown and idempotent", UnknownBecause(ReasonConnectionLost), true, true},
		{"unknown and not idempotent", UnknownBecause(ReasonConnectionLost), false, false},
		{"answered", ResponseComplete(), true, false},
		{"zero value", Outcome{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.outcome.MayRetry(tt.idempotent))
		})
	}
}

// TestNoRetryWhereAnotherUpstreamCannotHelp guards against retry storms: a request that would
// fail on every upstream must not be retried. It also checks that a retry after an attempt that
// may have run is not free (see Outcome.NeedsNoRetryBudget).
func TestNoRetryWhereAnotherUpstreamCannotHelp(t *testing.T) {
	for _, r := range []Reason{
		ReasonDeadline, ReasonCancelled, ReasonQuarantined, ReasonCeiling, ReasonForbidden,
		ReasonBadRequest, ReasonKeyMismatch, ReasonDepth, ReasonNone,
		ReasonOverQuota, ReasonQuotaUnknown,
	} {
		require.False(t, NotRunBecause(r).MaySucceedElsewhere(), r)
	}
	require.False(t, UnknownBecause(ReasonDraining).NeedsNoRetryBudget(), "an attempt that may have run is not free")
}
