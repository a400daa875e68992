package daemon_test

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDocumentedMetricsExist checks that a daemon that has answered one request and
// refused another serves every metric that docs/OPERATORS.md names.
func TestDocumentedMetricsExist(t *testing.T) {
	text, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	names := regexp.MustCompile("`((?:dottereltiller|process)_[a-z_]+)`").FindAllStringSubmatch(string(text), -1)
	require.Greater(t, len(names), 20)

	d := startSingle(t, nil)
	daemon := d.Nodes[0].Daemon
	for _, host := range []string{"returdesk.fyn", "nobody.fyn"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+daemon.CallerAddress(), nil)
		require.NoError(t, err)
		req.Host = host
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	missing := func() []string {
		metrics := fetchMetrics(t, daemon.AdminAddress())
		var missingNames []string
		for _, name := range names {
			if !strings.Contains(metrics, "# TYPE "+name[1]+" ") {
				missingNames = append(missingNames, name[1])
			}
		}
		return missingNames
	}
	for deadline := time.Now().Add(waitLimit); len(missing()) > 0 && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
	}
	require.Empty(t, missing())
}
