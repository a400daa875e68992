package ablation

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// trialResult is the result of one trial.
type trialResult struct {
	// Mechanism is the disabled mechanism. It is empty for the baseline.
	Mechanism string `json:"mechanism"`
	// Site is the name of the site file without its extension.
	Site string `json:"site"`
	// Day is the name of the replayed day in the site file.
	Day  string `json:"day"`
	Seed string `json:"seed"`
	// Score is the credit of the day minus the costs, as the benchmark program computes it.
	Score float64 `json:"worth"`
	// InTime is the share of the requests of each kind that were served within their target.
	InTime map[string]float64 `json:"in_time,omitempty"`
	// CrossZoneGB is the traffic between zones in gigabytes.
	CrossZoneGB float64 `json:"cross_zone_gb,omitempty"`
	// ProcessorSeconds is the processor time of all daemons, zero if it was not measured.
	ProcessorSeconds float64 `json:"processor_s,omitempty"`
	// Violations are the names of the rules that were violated in the trial.
	Violations []string `json:"broken,omitempty"`
}

// trialKey identifies a trial.
type trialKey struct{ mechanism, site, day, seed string }

func (r *trialResult) key() trialKey { return trialKey{r.Mechanism, r.Site, r.Day, r.Seed} }

// results holds the trial results from a results file and appends new results to that file.
// It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// path is the path of the results file.
	path  string
	byKey map[trialKey]trialResult
}

// openResults reads the results of earlier runs from a file. If the file does not exist, there are
// no results. Lines that are not valid JSON are skipped.
func openResults(path string) (*results, error) {
	r := &results{path: path, byKey: make(map[trialKey]trialResult)}
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	for s.Scan() {
		var result trialResult
		// The last line of an interrupted run may be truncated.
		if json.Unmarshal(s.Bytes(), &result) == nil {
			r.byKey[result.key()] = result
		}
	}
	return r, s.Err()
}

// contains reports whether the results file holds the result of a trial.
func (r *results) contains(k trialKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byKey[k]
	return ok
}

// add adds a result and appends it to the results file.
func (r *results) add(result trialResult) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[result.key()] = result
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(r.path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, err = f.Write(append(line, '\n'))
	return err
}

// summary describes how the score on a site changes without a mechanism. It compares pairs of
// trials: a trial without the mechanism, and the baseline of the same day and seed.
type summary struct {
	mechanism, site string
	// pairCount is the number of pairs compared.
	pairCount int
	// mean is the mean score difference of the pairs, and standardError its standard error.
	mean, standardError float64
	// newViolations are the names of the rules that, in at least one pair, were violated without
	// the mechanism but not in the baseline.
	newViolations []string
}

// summaries returns a summary for each mechanism and site, ordered by mechanism and then by site.
// It leaves out trials whose baseline is missing.
func (r *results) summaries() []summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	type key struct{ mechanism, site string }
	diffsByKey := make(map[key][]float64)
	newViolationsByKey := make(map[key][]string)
	for trial, result := range r.byKey {
		baselineResult, ok := r.byKey[trialKey{baseline, trial.site, trial.day, trial.seed}]
		if trial.mechanism == baseline || !ok {
			continue
		}
		k := key{trial.mechanism, trial.site}
		diffsByKey[k] = append(diffsByKey[k], result.Score-baselineResult.Score)
		for _, rule := range result.Violations {
			if !slices.Contains(baselineResult.Violations, rule) && !slices.Contains(newViolationsByKey[k], rule) {
				newViolationsByKey[k] = append(newViolationsByKey[k], rule)
			}
		}
	}
	var out []summary
	for k, d := range diffsByKey {
		mean, standardError := meanAndStandardError(d)
		out = append(out, summary{mechanism: k.mechanism, site: k.site, pairCount: len(d), mean: mean, standardError: standardError, newViolations: newViolationsByKey[k]})
	}
	slices.SortFunc(out, func(a, b summary) int {
		return strings.Compare(a.mechanism+"\x00"+a.site, b.mechanism+"\x00"+b.site)
	})
	return out
}

// meanAndStandardError returns the mean of values and the standard error of the mean. The standard
// error of a single value is 0.
func meanAndStandardError(values []float64) (mean, standardError float64) {
	for _, x := range values {
		mean += x / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	var sum float64
	for _, x := range values {
		sum += (x - mean) * (x - mean)
	}
	return mean, math.Sqrt(sum / float64(len(values)-1) / float64(len(values)))
}

// String returns the summary as a row of a Markdown table.
func (s *summary) String() string {
	return fmt.Sprintf("| %s | %s | %d | %+.4f ± %.4f | %s |", s.mechanism, s.site, s.pairCount, s.mean, s.standardError, strings.Join(s.newViolations, " "))
}

// TestMeanAndStandardError checks both values for a known sample, and that the standard error of a
// single value is 0.
func TestMeanAndStandardError(t *testing.T) {
	mean, standardError := meanAndStandardError([]float64{1, 2, 3})
	require.InDelta(t, 2, mean, 1e-9)
	require.InDelta(t, 1/math.Sqrt(3), standardError, 1e-9)
	_, errorOfSingleValue := meanAndStandardError([]float64{4})
	require.Zero(t, errorOfSingleValue)
}

// TestResultsResumeAfterTruncatedLine guards against an interrupted run that cannot be resumed
// because the last line of its file is truncated. It also guards against summaries that compare
// trials of different days, seeds or sites.
func TestResultsResumeAfterTruncatedLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out.jsonl")
	r, err := openResults(path)
	require.NoError(t, err)
	for _, c := range []trialResult{
		{Site: "s", Day: "d", Seed: "1", Score: 0.5}, {Site: "s", Day: "d", Seed: "2", Score: 0.6},
		{Mechanism: "m", Site: "s", Day: "d", Seed: "1", Score: 0.4, Violations: []string{"TWICE"}},
		{Mechanism: "m", Site: "s", Day: "d", Seed: "2", Score: 0.4}, {Mechanism: "m", Site: "other", Day: "d", Seed: "2", Score: 1},
	} {
		require.NoError(t, r.add(c))
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	_, err = f.WriteString(`{"mechanism":"m","si`)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	reopened, err := openResults(path)
	require.NoError(t, err)
	require.True(t, reopened.contains(trialKey{"m", "s", "d", "2"}))
	require.False(t, reopened.contains(trialKey{"m", "s", "d", "3"}))
	rows := reopened.summaries()
	require.Len(t, rows, 1)
	require.Equal(t, "| m | s | 2 | -0.1500 ± 0.0500 | TWICE |", rows[0].String())
}
