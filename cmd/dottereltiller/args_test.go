package main

import (
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"
)

// TestRepeatedFlagsAccumulate checks that flags that may be repeated keep all their values.
// Without the tag "separate", go-arg keeps only the last value.
func TestRepeatedFlagsAccumulate(t *testing.T) {
	parse := func(line ...string) args {
		var a args
		p, err := arg.NewParser(arg.Config{}, &a)
		require.NoError(t, err)
		require.NoError(t, p.Parse(line))
		return a
	}
	a := parse("trace", "--admin", "a:1", "--admin", "b:2", "0af7")
	require.Equal(t, []string{"a:1", "b:2"}, a.Trace.Admin)
	require.Equal(t, "0af7", a.Trace.TraceID)
	a = parse("load", "--target", "a:1", "--target", "b:2")
	require.Equal(t, []string{"a:1", "b:2"}, a.Load.Target)
	a = parse("report", "x.json", "y.json", "--label", "x", "--label", "y")
	require.Equal(t, []string{"x", "y"}, a.Report.Label)
	require.Equal(t, []string{"x.json", "y.json"}, a.Report.Results)
}
