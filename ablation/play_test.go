package ablation

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
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

// journalOf returns the files of the journal of a copy, by their paths in it.
func journalOf(dir string) ([]string, error) {
	root := filepath.Join(dir, "journal")
	var out []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(root, path)
		out = append(out, name)
		return err
	})
	return out, err
}

// keepJournal copies what plays added to the journal of a scratch copy, entries and the
// sources that they name, to a directory. An entry that was copied while its play ran is
// replaced by the finished one.
func keepJournal(c scratchCopy, to string) error {
	names, err := journalOf(c.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if slices.Contains(c.journal, name) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(c.dir, "journal", name))
		if err != nil {
			return err
		}
		kept := filepath.Join(to, name)
		if err := os.MkdirAll(filepath.Dir(kept), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(kept, text, 0o644); err != nil {
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

// scratchCopy is one of the source.
type scratchCopy struct {
	dir string
	// journal holds the files of its journal before any play.
	journal []string
}

// copies makes the scratch copy of each mechanism once.
type copies struct {
	mu  sync.Mutex
	dir string
	of  map[string]scratchCopy
}

func (c *copies) get(ctx context.Context, name string) (scratchCopy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if made, ok := c.of[name]; ok {
		return made, nil
	}
	var off []edits.Edit
	for _, m := range mechanisms {
		if m.name == name {
			off = m.off
		}
	}
	made := scratchCopy{dir: filepath.Join(c.dir, strconv.Itoa(len(c.of)))}
	if err := scratch(ctx, made.dir, off); err != nil {
		return made, err
	}
	var err error
	if made.journal, err = journalOf(made.dir); err != nil {
		return made, err
	}
	c.of[name] = made
	return made, nil
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
	scratches := &copies{dir: t.TempDir(), of: make(map[string]scratchCopy)}
	began, queue := time.Now(), make(chan play)
	var wg sync.WaitGroup
	for range jobs {
		wg.Go(func() {
			for p := range queue {
				made, err := scratches.get(t.Context(), p.mechanism)
				if err != nil {
					t.Errorf("%+v: %v", p, err)
					continue
				}
				c, err := measure(t.Context(), bench, made.dir, files[p.site], p)
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
				if err := keepJournal(made, journal); err != nil {
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
// that it held before.
func TestJournalIsKept(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	to := filepath.Join(other, "journal")
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "journal", name), []byte(text), 0o600))
	}
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "journal", "blobs"), 0o700))
	write("old.json", "{}")
	write("blobs/old.txt", "old")
	held, err := journalOf(dir)
	require.NoError(t, err)
	c := scratchCopy{dir: dir, journal: held}
	write("new.json", "begun")
	require.NoError(t, keepJournal(c, to))
	write("new.json", "ended")
	write("blobs/new.txt", "new")
	require.NoError(t, keepJournal(c, to))

	names, err := journalOf(other)
	require.NoError(t, err)
	kept := make(map[string]string)
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(to, name))
		require.NoError(t, err)
		kept[filepath.ToSlash(name)] = string(text)
	}
	require.Equal(t, map[string]string{"new.json": "ended", "blobs/new.txt": "new"}, kept)
}
