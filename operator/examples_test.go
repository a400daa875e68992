package operator

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestExamplesAreValid compiles the deployments that docs/SHARING.md describes and checks
// one caller's group in each.
func TestExamplesAreValid(t *testing.T) {
	// For each deployment: a caller, a service and the group that the caller must belong to.
	for deployment, assignment := range map[string][3]string{
		"fyn":    {"archive-search", "returdesk", "searches"},
		"hardap": {"season-report", "sheds", "reports"},
	} {
		t.Run(deployment, func(t *testing.T) {
			paths, err := filepath.Glob(filepath.Join("..", "examples", deployment, "*.json"))
			require.NoError(t, err)
			require.Len(t, paths, 3)
			var files []File
			for _, p := range paths {
				data, err := os.ReadFile(p)
				require.NoError(t, err)
				files = append(files, File{Path: p, Data: data})
			}
			set, err := Check(files)
			require.NoError(t, err)
			e, err := set.Explain(model.CallerName(assignment[0]), model.ServiceName(assignment[1]))
			require.NoError(t, err)
			require.EqualValues(t, assignment[2], e.Group)
		})
	}
}
