package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/replay"
)

// writeJSON writes a value to a file in a temporary directory and returns its path.
func writeJSON(t *testing.T, name string, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// loadResult returns a result with two groups that have the given p99 latency in
// microseconds.
func loadResult(p99 int64) load.Result {
	groupStats := func(group string, slotTimeUs int64) load.Stats {
		l := load.Latency{P50: 1000, P99: p99, P999: p99 + 1, Max: p99 + 2}
		return load.Stats{
			Service: "sporarkiv", Group: model.GroupName("g" + group), Requests: 10, Answered: 10, Latency: l,
			Series: []load.Point{
				{AtMs: 0, Latency: l, SlotTimeUs: slotTimeUs},
				{AtMs: 1000},
				{AtMs: 2000, Latency: l, SlotTimeUs: 100 - slotTimeUs},
			},
		}
	}
	return load.Result{Groups: []load.Stats{groupStats("members", 80), groupStats("searches", 20)}}
}

// TestDrawLoadAndReplayResults reads two results of load runs and one of a replay. It checks
// their labels and the names of the plots. Only the replay has no time series, so it gets no
// plots over time. Only the replay has an ideal bound, which its plot must show.
func TestDrawLoadAndReplayResults(t *testing.T) {
	replayStats := replay.Stats{Service: "returdesk", Group: "sorters"}
	replayStats.Latency = replay.Latency{P50: 1, P99: 2, P999: 3, Max: 4}
	replayStats.Ideal = replay.Latency{P50: 1, P99: 1, P999: 2, Max: 2}
	var results []Result
	for _, c := range []struct{ file, label string }{
		{writeJSON(t, "random.json", loadResult(9000)), ""},
		{writeJSON(t, "new.json", loadResult(2000)), "expected completion"},
		{writeJSON(t, "replayed.json", replay.Result{Groups: []replay.Stats{replayStats}}), ""},
	} {
		r, err := Read(c.file, c.label)
		require.NoError(t, err)
		results = append(results, r)
	}
	require.Equal(t, "random", results[0].Label)
	require.EqualValues(t, 2, results[2].Groups[0].Ideal.P999)

	dir := t.TempDir()
	paths, err := Draw(results, dir, FormatSVG)
	require.NoError(t, err)
	var fileNames []string
	for _, path := range paths {
		fileNames = append(fileNames, filepath.Base(path))
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, string(data), "</svg>")
	}
	require.Equal(t, []string{
		"percentiles-returdesk-sorters.svg",
		"percentiles-sporarkiv-gmembers.svg", "latency-sporarkiv-gmembers.svg",
		"percentiles-sporarkiv-gsearches.svg", "latency-sporarkiv-gsearches.svg",
		"share-sporarkiv-random.svg", "share-sporarkiv-expected-completion.svg",
	}, fileNames)
	data, err := os.ReadFile(filepath.Join(dir, "percentiles-returdesk-sorters.svg"))
	require.NoError(t, err)
	require.Contains(t, string(data), "replayed (bound)")
}

func TestReadReturnsErrorsForInvalidFiles(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "absent.json"), "")
	require.ErrorIs(t, err, os.ErrNotExist)
	_, err = Read(writeJSON(t, "other.json", map[string]int{"a": 1}), "")
	require.ErrorIs(t, err, errNoGroups)
	_, err = Read(writeJSON(t, "list.json", []int{1}), "")
	require.ErrorContains(t, err, "cannot unmarshal array")
}
