package ablation

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/edits"
)

// unchanged is the name of the code as it is among the mechanisms.
const unchanged = ""

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

// list returns the parts of an environment variable, or a default.
func list(name, otherwise string) []string {
	text := os.Getenv(name)
	if text == "" {
		text = otherwise
	}
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// scratch clones the last commit and applies edits.
func scratch(ctx context.Context, dir string, list []edits.Edit) error {
	source, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	if out, err := exec.CommandContext(ctx, "git", "clone", "-q", source, dir).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	changed, err := edits.Changed(dir, list)
	if err != nil {
		return err
	}
	for file, text := range changed {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// report is what the program that plays days writes of one.
type report struct {
	Worth  float64        `json:"G"`
	Breaks map[string]any `json:"breaks"`
}

// measure plays a day in a scratch copy.
func measure(ctx context.Context, bench, dir, site string, p play) (cell, error) {
	file := filepath.Join(dir, fmt.Sprintf("report-%s-%s-%s.json", p.site, p.day, p.seed))
	cmd := exec.CommandContext(ctx, bench, "run", site, p.day, "--seed", p.seed, "--no-cpu", "--report", file)
	cmd.Dir = dir
	out, runErr := cmd.CombinedOutput()
	text, err := os.ReadFile(file)
	if err != nil {
		return cell{}, fmt.Errorf("%w: %s", runErr, out)
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return cell{}, err
	}
	c := cell{Mechanism: p.mechanism, Site: p.site, Day: p.day, Seed: p.seed, Worth: r.Worth}
	for rule := range r.Breaks {
		c.Broken = append(c.Broken, rule)
	}
	slices.Sort(c.Broken)
	return c, nil
}

// dayName matches the name of a day of a site file.
var dayName = regexp.MustCompile(`(?m)^\[\[day\]\]\nname = "([^"]+)"`)

// daysOf returns the days of a site that are played: all but the quiet ones unless the
// environment names them.
func daysOf(site string) ([]string, error) {
	if named := list("ABLATION_DAYS", ""); len(named) > 0 {
		return named, nil
	}
	text, err := os.ReadFile(site)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, m := range dayName.FindAllStringSubmatch(string(text), -1) {
		if !strings.HasPrefix(m[1], "quiet") {
			out = append(out, m[1])
		}
	}
	return out, nil
}

// planned returns the plays of all mechanisms, those of a pair near each other.
func planned(sites []string) ([]play, map[string]string, error) {
	files := make(map[string]string)
	names := []string{unchanged}
	only := list("ABLATION_ONLY", "")
	for _, m := range mechanisms {
		if len(only) == 0 || slices.Contains(only, m.name) {
			names = append(names, m.name)
		}
	}
	var out []play
	for _, file := range sites {
		site := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		files[site] = file
		days, err := daysOf(file)
		if err != nil {
			return nil, nil, err
		}
		for _, seed := range list("ABLATION_SEEDS", "11,12") {
			for _, day := range days {
				for _, name := range names {
					out = append(out, play{name, site, day, seed})
				}
			}
		}
	}
	return out, files, nil
}

// copies makes the scratch copy of each mechanism once.
type copies struct {
	mu  sync.Mutex
	dir string
	of  map[string]string
}

func (c *copies) get(ctx context.Context, name string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dir, ok := c.of[name]; ok {
		return dir, nil
	}
	var off []edits.Edit
	for _, m := range mechanisms {
		if m.name == name {
			off = m.off
		}
	}
	dir := filepath.Join(c.dir, strconv.Itoa(len(c.of)))
	if err := scratch(ctx, dir, off); err != nil {
		return "", err
	}
	c.of[name] = dir
	return dir, nil
}

// TestPlays plays every day with each mechanism off, and prints the table.
func TestPlays(t *testing.T) {
	bench := os.Getenv("ABLATION_BENCH")
	if bench == "" {
		t.Skip("takes hours; see the package's documentation")
	}
	out := os.Getenv("ABLATION_OUT")
	if out == "" {
		out = filepath.Join(os.TempDir(), "ablation.jsonl")
	}
	done, err := openResults(out)
	require.NoError(t, err)
	plays, files, err := planned(list("ABLATION_SITES", ""))
	require.NoError(t, err)
	jobs, err := strconv.Atoi(list("ABLATION_JOBS", "4")[0])
	require.NoError(t, err)
	scratches := &copies{dir: t.TempDir(), of: make(map[string]string)}
	began, queue := time.Now(), make(chan play)
	var wg sync.WaitGroup
	for range jobs {
		wg.Go(func() {
			for p := range queue {
				dir, err := scratches.get(t.Context(), p.mechanism)
				if err != nil {
					t.Errorf("%+v: %v", p, err)
					continue
				}
				c, err := measure(t.Context(), bench, dir, files[p.site], p)
				if err != nil {
					t.Errorf("%+v: %v", p, err)
					continue
				}
				if err := done.add(c); err != nil {
					t.Errorf("%+v: %v", p, err)
				}
			}
		})
	}
	for i, p := range plays {
		if done.has(p) {
			continue
		}
		queue <- p
		if i%10 == 0 {
			t.Logf("%d of %d plays begun after %s", i+1, len(plays), time.Since(began).Round(time.Second))
		}
	}
	close(queue)
	wg.Wait()
	for _, r := range done.rows() {
		fmt.Println(r.String())
	}
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
