package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFindCounterReturnsFirstMatchingSeries also checks that a series whose name only begins with
// the given name does not match, and that the value is 0 if no series matches.
func TestFindCounterReturnsFirstMatchingSeries(t *testing.T) {
	const text = `# TYPE x counter
xy{kind="a"} 1
x{direction="sent",kind="a"} 2
x{direction="sent",kind="b"} 3.5e+03
`
	for name, c := range map[string]struct {
		labels []string
		want   float64
	}{
		"second series": {[]string{`direction="sent"`, `kind="b"`}, 3500},
		"first series":  {[]string{`kind="a"`}, 2},
		"no match":      {[]string{`kind="c"`}, 0},
		"no labels":     {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := findCounter(strings.NewReader(text), "x", c.labels)
			require.NoError(t, err)
			require.InDelta(t, c.want, got, 0)
		})
	}
}
