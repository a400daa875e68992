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

// cell is one play.
type cell struct {
	// Mechanism is the one that is off, empty for the code as it is.
	Mechanism string `json:"mechanism"`
	Site      string `json:"site"`
	Day       string `json:"day"`
	Seed      string `json:"seed"`
	// Worth is what the day's program counts: credit less prices.
	Worth float64 `json:"worth"`
	// Broken are the rules that the play broke.
	Broken []string `json:"broken,omitempty"`
}

// play names a cell.
type play struct{ mechanism, site, day, seed string }

func (c *cell) play() play { return play{c.Mechanism, c.Site, c.Day, c.Seed} }

// results are the cells of a file that is appended to. They are safe for concurrent use.
type results struct {
	mu    sync.Mutex
	path  string
	cells map[play]cell
}

func openResults(path string) (*results, error) {
	r := &results{path: path, cells: make(map[play]cell)}
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
		var c cell
		// The last line of a run that was stopped may be cut.
		if json.Unmarshal(s.Bytes(), &c) == nil {
			r.cells[c.play()] = c
		}
	}
	return r, s.Err()
}

func (r *results) has(p play) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.cells[p]
	return ok
}

func (r *results) add(c cell) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cells[c.play()] = c
	line, err := json.Marshal(c)
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

// row is what a mechanism is worth on a site: the mean of the differences in pairs when it
// is off, with its standard error.
type row struct {
	mechanism, site string
	pairs           int
	mean, deviation float64
	broken          []string
}

// rows compares each mechanism with the code as it is.
func (r *results) rows() []row {
	r.mu.Lock()
	defer r.mu.Unlock()
	type key struct{ mechanism, site string }
	diffs := make(map[key][]float64)
	broken := make(map[key][]string)
	for p, c := range r.cells {
		base, ok := r.cells[play{unchanged, p.site, p.day, p.seed}]
		if p.mechanism == unchanged || !ok {
			continue
		}
		k := key{p.mechanism, p.site}
		diffs[k] = append(diffs[k], c.Worth-base.Worth)
		for _, rule := range c.Broken {
			if !slices.Contains(base.Broken, rule) && !slices.Contains(broken[k], rule) {
				broken[k] = append(broken[k], rule)
			}
		}
	}
	var out []row
	for k, d := range diffs {
		mean, deviation := meanOf(d)
		out = append(out, row{mechanism: k.mechanism, site: k.site, pairs: len(d), mean: mean, deviation: deviation, broken: broken[k]})
	}
	slices.SortFunc(out, func(a, b row) int {
		return strings.Compare(a.mechanism+"\x00"+a.site, b.mechanism+"\x00"+b.site)
	})
	return out
}

// meanOf returns the mean and its standard error, which is 0 for a single figure.
func meanOf(d []float64) (mean, deviation float64) {
	for _, x := range d {
		mean += x / float64(len(d))
	}
	if len(d) < 2 {
		return mean, 0
	}
	var sum float64
	for _, x := range d {
		sum += (x - mean) * (x - mean)
	}
	return mean, math.Sqrt(sum / float64(len(d)-1) / float64(len(d)))
}

func (r *row) String() string {
	return fmt.Sprintf("| %s | %s | %d | %+.4f ± %.4f | %s |", r.mechanism, r.site, r.pairs, r.mean, r.deviation, strings.Join(r.broken, " "))
}

func TestMeanOf(t *testing.T) {
	mean, deviation := meanOf([]float64{1, 2, 3})
	require.InDelta(t, 2, mean, 1e-9)
	require.InDelta(t, 1/math.Sqrt(3), deviation, 1e-9)
	_, alone := meanOf([]float64{4})
	require.Zero(t, alone)
}

// TestResultsGoOn reads a file whose last line was cut, and compares in pairs.
func TestResultsGoOn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out.jsonl")
	r, err := openResults(path)
	require.NoError(t, err)
	for _, c := range []cell{
		{Site: "s", Day: "d", Seed: "1", Worth: 0.5}, {Site: "s", Day: "d", Seed: "2", Worth: 0.6},
		{Mechanism: "m", Site: "s", Day: "d", Seed: "1", Worth: 0.4, Broken: []string{"TWICE"}},
		{Mechanism: "m", Site: "s", Day: "d", Seed: "2", Worth: 0.4}, {Mechanism: "m", Site: "other", Day: "d", Seed: "2", Worth: 1},
	} {
		require.NoError(t, r.add(c))
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	_, err = f.WriteString(`{"mechanism":"m","si`)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	again, err := openResults(path)
	require.NoError(t, err)
	require.True(t, again.has(play{"m", "s", "d", "2"}))
	require.False(t, again.has(play{"m", "s", "d", "3"}))
	rows := again.rows()
	require.Len(t, rows, 1)
	require.Equal(t, "| m | s | 2 | -0.1500 ± 0.0500 | TWICE |", rows[0].String())
}
