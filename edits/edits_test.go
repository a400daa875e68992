package edits

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestApplyRequiresOneOccurrence also checks that later edits see the text that earlier edits of
// the same file have produced, and that a missing file is an error.
func TestApplyRequiresOneOccurrence(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a"), []byte("one two three two"), 0o600))
	for name, c := range map[string]struct {
		edits     []Edit
		want      string
		wantCount int
	}{
		"single edit":       {[]Edit{{"a", "one", "1"}}, "1 two three two", 0},
		"edits in sequence": {[]Edit{{"a", "one two", "two"}, {"a", "two three", "3"}}, "3 two", 0},
		"old text twice":    {[]Edit{{"a", "two", "2"}}, "", 2},
		"old text missing":  {[]Edit{{"a", "four", "4"}}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(root, c.edits)
			if c.want == "" {
				var e *CountError
				require.ErrorAs(t, err, &e)
				require.Equal(t, c.wantCount, e.Count)
				require.Contains(t, e.Error(), c.edits[0].Old)
				return
			}
			require.NoError(t, err)
			require.Equal(t, map[string]string{"a": c.want}, got)
		})
	}
	_, err := Apply(root, []Edit{{"missing", "x", "y"}})
	require.ErrorIs(t, err, os.ErrNotExist)
}
