package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func TestSelectorMatches(t *testing.T) {
	labels := model.Labels{"role": "sorter", "hall": "a", "trial": ""}
	tests := []struct {
		selector string
		want     bool
	}{
		{"", true},
		{"role=sorter", true},
		{"role==sorter", true},
		{"role = sorter , hall=a", true},
		{"role=member", false},
		{"role!=member", true},
		{"role!=sorter", false},
		{"absent!=x", true},
		{"hall in (a, b)", true},
		{"hall in (b,c)", false},
		{"absent in (a)", false},
		{"hall notin (b,c)", true},
		{"hall notin (a)", false},
		{"absent notin (a)", true},
		{"trial", true},
		{"absent", false},
		{"!absent", true},
		{"!trial", false},
		{"trial=", true},
		{"hall in (a,b),role notin (x,y),!absent", true},
	}
	for _, tt := range tests {
		t.Run(tt.selector, func(t *testing.T) {
			s, err := ParseSelector(tt.selector)
			require.NoError(t, err)
			require.Equal(t, tt.want, s.Matches(labels))
		})
	}
}

func TestParseSelectorRejects(t *testing.T) {
	for _, s := range []string{"=x", "a b", "a in b", "a in (b", "a of (b)", "a,,b", "!", "a=b c", "a=(b)", "a in (b))", "a\x00=b"} {
		t.Run(s, func(t *testing.T) {
			_, err := ParseSelector(s)
			require.Error(t, err)
		})
	}
}

// FuzzParseSelector checks that each term of a valid selector is unchanged after it has
// been formatted and parsed again.
func FuzzParseSelector(f *testing.F) {
	f.Add("role=sorter,hall in (a,b),!x")
	f.Fuzz(func(t *testing.T, text string) {
		selector, err := ParseSelector(text)
		if err != nil {
			return
		}
		for i := range selector.terms {
			reparsed, err := ParseSelector(selector.terms[i].String())
			require.NoError(t, err)
			require.Equal(t, selector.terms[i:i+1], reparsed.terms)
		}
	})
}
