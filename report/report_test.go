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

func write(t *testing.T, name string, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

func loadResult(p99 int64) load.Result {
	figures := func(group string, slot int64) load.Figures {
		l := load.Latency{P50: 1000, P99: p99, P999: p99 + 1, Max: p99 + 2}
		return load.Figures{
			Service: "sporarkiv", Group: model.GroupName("g" + group), Requests: 10, Answered: 10, Latency: l,
			Series: []load.Point{
				{AtMs: 0, Latency: l, SlotTimeUs: slot},
				{AtMs: 1000},
				{AtMs: 2000, Latency: l, SlotTimeUs: 100 - slot},
			},
		}
	}
	return load.Result{Groups: []load.Figures{figures("members", 80), figures("searches", 20)}}
}

func TestDrawResultsOfLoadAndReplay(t *testing.T) {
	bounded := replay.Stats{Service: "returdesk", Group: "sorters"}
	bounded.Latency = replay.Latency{P50: 1, P99: 2, P999: 3, Max: 4}
	bounded.Ideal = replay.Latency{P50: 1, P99: 1, P999: 2, Max: 2}
	var results []Result
	for _, c := range []struct{ file, label string }{
		{write(t, "random.json", loadResult(9000)), ""},
		{write(t, "new.json", loadResult(2000)), "expected completion"},
		{write(t, "replayed.json", replay.Result{Groups: []replay.Stats{bounded}}), ""},
	} {
		r, err := Read(c.file, c.label)
		require.NoError(t, err)
		results = append(results, r)
	}
	require.Equal(t, "random", results[0].Label)
	require.EqualValues(t, 2, results[2].Groups[0].Ideal.P999)

	dir := t.TempDir()
	files, err := Draw(results, dir, FormatSVG)
	require.NoError(t, err)
	var names []string
	for _, f := range files {
		names = append(names, filepath.Base(f))
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		require.Contains(t, string(data), "</svg>")
	}
	require.Equal(t, []string{
		"percentiles-returdesk-sorters.svg",
		"percentiles-sporarkiv-gmembers.svg", "latency-sporarkiv-gmembers.svg",
		"percentiles-sporarkiv-gsearches.svg", "latency-sporarkiv-gsearches.svg",
		"share-sporarkiv-random.svg", "share-sporarkiv-expected-completion.svg",
	}, names)
	data, err := os.ReadFile(filepath.Join(dir, "percentiles-returdesk-sorters.svg"))
	require.NoError(t, err)
	require.Contains(t, string(data), "replayed (bound)")
}

func TestFilesThatAreNoResultsAreRefused(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "absent.json"), "")
	require.ErrorIs(t, err, os.ErrNotExist)
	_, err = Read(write(t, "other.json", map[string]int{"a": 1}), "")
	require.ErrorIs(t, err, errNoGroups)
	_, err = Read(write(t, "list.json", []int{1}), "")
	require.ErrorContains(t, err, "cannot unmarshal array")
}
