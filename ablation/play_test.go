package ablation

import (
	"context"
	"encoding/json"
	"fmt"
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
	why := "ablation: the code as it is"
	if p.mechanism != unchanged {
		why = "trial of the ablation, off: " + p.mechanism
	}
	cmd := exec.CommandContext(ctx, bench, "run", site, p.day, "--seed", p.seed, "--no-cpu", "--report", file, "--why", why)
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

// keepJournal copies the journal entries that plays wrote in a scratch copy to a directory.
// What its last commit holds is left out; an entry that was copied while its play ran is
// replaced by the finished one.
func keepJournal(ctx context.Context, dir, to string) error {
	cmd := exec.CommandContext(ctx, "git", "ls-tree", "--name-only", "HEAD", "journal/")
	cmd.Dir = dir
	committed, err := cmd.Output()
	if err != nil {
		return err
	}
	old := strings.Fields(string(committed))
	files, err := filepath.Glob(filepath.Join(dir, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, file := range files {
		name := filepath.Base(file)
		if slices.Contains(old, "journal/"+name) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
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
	journal := os.Getenv("ABLATION_JOURNAL")
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
				if journal == "" {
					continue
				}
				if err := keepJournal(t.Context(), dir, journal); err != nil {
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

// TestJournalIsKept copies what plays added to the journal of a scratch copy, and nothing
// that its commit holds.
func TestJournalIsKept(t *testing.T) {
	dir, to := t.TempDir(), t.TempDir()
	git := func(arguments ...string) {
		cmd := exec.CommandContext(t.Context(), "git", arguments...)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "journal", name), []byte(text), 0o600))
	}
	require.NoError(t, os.Mkdir(filepath.Join(dir, "journal"), 0o700))
	write("old.json", "{}")
	git("init", "-q")
	git("add", ".")
	git("-c", "user.name=t", "-c", "user.email=t@example.org", "commit", "-q", "-m", "old")
	write("new.json", "begun")
	require.NoError(t, keepJournal(t.Context(), dir, to))
	write("new.json", "ended")
	require.NoError(t, keepJournal(t.Context(), dir, to))
	kept, err := os.ReadDir(to)
	require.NoError(t, err)
	require.Len(t, kept, 1)
	text, err := os.ReadFile(filepath.Join(to, "new.json"))
	require.NoError(t, err)
	require.Equal(t, "ended", string(text))
}
