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
	nameMatches := regexp.MustCompile("`((?:dottereltiller|process)_[a-z_]+)`").FindAllStringSubmatch(string(text), -1)
	require.Greater(t, len(nameMatches), 20)

	d := startSingleDaemon(t, nil)
	daemon := d.Nodes[0].Daemon
	for _, host := range []string{"returdesk.fyn", "nobody.fyn"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+daemon.CallerAddress(), nil)
		require.NoError(t, err)
		req.Host = host
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	missingMetrics := func() []string {
		metrics := fetchMetrics(t, daemon.AdminAddress())
		var missingNames []string
		for _, match := range nameMatches {
			if !strings.Contains(metrics, "# TYPE "+match[1]+" ") {
				missingNames = append(missingNames, match[1])
			}
		}
		return missingNames
	}
	for deadline := time.Now().Add(waitLimit); len(missingMetrics()) > 0 && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
	}
	require.Empty(t, missingMetrics())
}
