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

// baseline is the mechanism name of trials with the unchanged source.
const baseline = ""

// envList returns the comma-separated values of an environment variable. If the variable is unset
// or empty, it returns the comma-separated values of fallback.
func envList(name, fallback string) []string {
	text := os.Getenv(name)
	if text == "" {
		text = fallback
	}
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// revisionPrefix precedes a commit in the name of a mechanism that stands for that commit, unchanged.
const revisionPrefix = "commit "

// cloneWithEdits clones the repository into a directory, checks out a commit and applies changes to the
// clone. An empty commit means the last one.
func cloneWithEdits(ctx context.Context, dir, commit string, changes []edits.Edit) error {
	source, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	if out, err := exec.CommandContext(ctx, "git", "clone", "-q", source, dir).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if commit != "" {
		if out, err := exec.CommandContext(ctx, "git", "-C", dir, "checkout", "-q", commit).CombinedOutput(); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
	}
	textByFile, err := edits.Apply(dir, changes)
	if err != nil {
		return err
	}
	for file, text := range textByFile {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// trialReport is the report of the benchmark program on one day.
type trialReport struct {
	Score float64 `json:"G"`
	// Kinds has an entry for each kind of request.
	Kinds []struct {
		Name   string  `json:"name"`
		Sent   float64 `json:"n"`
		InTime float64 `json:"in_aim"`
	} `json:"classes"`
	// Costs has a row for each cost: its name, the amount and the share of the score.
	Costs [][]any `json:"prices"`
	// Violations has an entry for each violated rule, by the name of the rule.
	Violations map[string]any `json:"breaks"`
}

// cost returns the amount of a cost, zero if the report has no row for it.
func (r *trialReport) cost(name string) float64 {
	for _, row := range r.Costs {
		if len(row) > 1 && row[0] == name {
			amount, _ := row[1].(float64)
			return amount
		}
	}
	return 0
}

// runTrial runs the benchmark program at benchPath. The program replays the day of a trial with the
// source in the scratch copy dir. sitePath is the path of the site file. If the program has written
// its report, its exit status is ignored.
func runTrial(ctx context.Context, benchPath, dir, sitePath string, k trialKey) (trialResult, error) {
	reportPath := filepath.Join(dir, fmt.Sprintf("report-%s-%s-%s.json", k.site, k.day, k.seed))
	why := "ablation: the code as it is"
	if k.mechanism != baseline {
		why = "trial of the ablation: " + k.mechanism
	}
	args := append([]string{"run", sitePath, k.day, "--seed", k.seed, "--report", reportPath, "--why", why}, envList("ABLATION_FLAGS", "--no-cpu")...)
	cmd := exec.CommandContext(ctx, benchPath, args...)
	cmd.Dir = dir
	out, runErr := cmd.CombinedOutput()
	text, err := os.ReadFile(reportPath)
	if err != nil {
		return trialResult{}, fmt.Errorf("%w: %s", runErr, out)
	}
	var report trialReport
	if err := json.Unmarshal(text, &report); err != nil {
		return trialResult{}, err
	}
	result := trialResult{
		Mechanism: k.mechanism, Site: k.site, Day: k.day, Seed: k.seed, Score: report.Score, InTime: make(map[string]float64),
		CrossZoneGB: report.cost("GB between zones"), ProcessorSeconds: report.cost("processor seconds"),
	}
	for _, kind := range report.Kinds {
		result.InTime[kind.Name] = kind.InTime / max(kind.Sent, 1)
	}
	for rule := range report.Violations {
		result.Violations = append(result.Violations, rule)
	}
	slices.Sort(result.Violations)
	return result, nil
}

// journalFiles returns the paths of the files in the journal directory of a scratch copy, relative
// to the journal directory.
func journalFiles(dir string) ([]string, error) {
	journalDir := filepath.Join(dir, "journal")
	var names []string
	err := filepath.WalkDir(journalDir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(journalDir, path)
		names = append(names, name)
		return err
	})
	return names, err
}

// copyNewJournalFiles copies the files that trials have added to the journal of a scratch copy to
// targetDir. These files are journal entries and the sources that the entries name. Files that were
// copied earlier are overwritten, because an entry may have been copied while its trial was
// running.
func copyNewJournalFiles(c scratchCopy, targetDir string) error {
	names, err := journalFiles(c.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if slices.Contains(c.initialJournal, name) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(c.dir, "journal", name))
		if err != nil {
			return err
		}
		target := filepath.Join(targetDir, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// dayNamePattern matches the name of a day in a site file.
var dayNamePattern = regexp.MustCompile(`(?m)^\[\[day\]\]\nname = "([^"]+)"`)

// dayNames returns the names of the days to replay. These are the days in ABLATION_DAYS or, if
// ABLATION_DAYS is empty, all days of the site file whose names do not begin with quiet.
func dayNames(sitePath string) ([]string, error) {
	if selectedDays := envList("ABLATION_DAYS", ""); len(selectedDays) > 0 {
		return selectedDays, nil
	}
	text, err := os.ReadFile(sitePath)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, m := range dayNamePattern.FindAllStringSubmatch(string(text), -1) {
		if !strings.HasPrefix(m[1], "quiet") {
			out = append(out, m[1])
		}
	}
	return out, nil
}

// planTrials returns the trials to run, and the path of each site file by the name of the site. The
// trials of one day and seed follow each other, so that each trial runs at about the same time as
// its baseline.
func planTrials(sitePaths []string) ([]trialKey, map[string]string, error) {
	fileBySite := make(map[string]string)
	mechanismNames := []string{baseline}
	selectedMechanisms := envList("ABLATION_ONLY", "")
	for _, m := range slices.Concat(mechanisms, alternatives) {
		if len(selectedMechanisms) == 0 || slices.Contains(selectedMechanisms, m.name) {
			mechanismNames = append(mechanismNames, m.name)
		}
	}
	for _, name := range selectedMechanisms {
		if strings.HasPrefix(name, revisionPrefix) {
			mechanismNames = append(mechanismNames, name)
		}
	}
	var out []trialKey
	for _, sitePath := range sitePaths {
		site := strings.TrimSuffix(filepath.Base(sitePath), filepath.Ext(sitePath))
		fileBySite[site] = sitePath
		days, err := dayNames(sitePath)
		if err != nil {
			return nil, nil, err
		}
		for _, seed := range envList("ABLATION_SEEDS", "11,12") {
			for _, day := range days {
				for _, name := range mechanismNames {
					out = append(out, trialKey{name, site, day, seed})
				}
			}
		}
	}
	return out, fileBySite, nil
}

// scratchCopy is a clone of the repository. The edits of one mechanism are applied to it, or none
// for the baseline.
type scratchCopy struct {
	// dir is the root directory of the clone.
	dir string
	// initialJournal holds the files of the copy's journal before any trial.
	initialJournal []string
}

// scratchCopies creates scratch copies, one for each mechanism and one for the baseline.
type scratchCopies struct {
	mu sync.Mutex
	// dir is the directory in which the scratch copies are created.
	dir string
	// byMechanism holds the copies created so far, by the name of the mechanism.
	byMechanism map[string]scratchCopy
}

// forMechanism returns the scratch copy in which a mechanism is disabled, and creates it if needed.
// The copy for the baseline is unchanged.
func (c *scratchCopies) forMechanism(ctx context.Context, name string) (scratchCopy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if scratch, ok := c.byMechanism[name]; ok {
		return scratch, nil
	}
	var disableEdits []edits.Edit
	for _, m := range slices.Concat(mechanisms, alternatives) {
		if m.name == name {
			disableEdits = m.edits
		}
	}
	commit := ""
	if sha, ok := strings.CutPrefix(name, revisionPrefix); ok {
		commit = sha
	}
	scratch := scratchCopy{dir: filepath.Join(c.dir, strconv.Itoa(len(c.byMechanism)))}
	if err := cloneWithEdits(ctx, scratch.dir, commit, disableEdits); err != nil {
		return scratch, err
	}
	var err error
	if scratch.initialJournal, err = journalFiles(scratch.dir); err != nil {
		return scratch, err
	}
	c.byMechanism[name] = scratch
	return scratch, nil
}

// TestAblation replays every day with each mechanism disabled and prints a table of the score
// differences. See the package documentation for its environment variables.
func TestAblation(t *testing.T) {
	benchPath := os.Getenv("ABLATION_BENCH")
	if benchPath == "" {
		t.Skip("takes hours; see the package's documentation")
	}
	resultsPath := os.Getenv("ABLATION_OUT")
	if resultsPath == "" {
		resultsPath = filepath.Join(os.TempDir(), "ablation.jsonl")
	}
	journalDir := os.Getenv("ABLATION_JOURNAL")
	finished, err := openResults(resultsPath)
	require.NoError(t, err)
	trials, fileBySite, err := planTrials(envList("ABLATION_SITES", ""))
	require.NoError(t, err)
	jobCount, err := strconv.Atoi(envList("ABLATION_JOBS", "4")[0])
	require.NoError(t, err)
	copies := &scratchCopies{dir: t.TempDir(), byMechanism: make(map[string]scratchCopy)}
	startedAt, queue := time.Now(), make(chan trialKey)
	var wg sync.WaitGroup
	for range jobCount {
		wg.Go(func() {
			for k := range queue {
				scratch, err := copies.forMechanism(t.Context(), k.mechanism)
				if err != nil {
					t.Errorf("%+v: %v", k, err)
					continue
				}
				result, err := runTrial(t.Context(), benchPath, scratch.dir, fileBySite[k.site], k)
				if err != nil {
					t.Errorf("%+v: %v", k, err)
					continue
				}
				if err := finished.add(result); err != nil {
					t.Errorf("%+v: %v", k, err)
				}
				if journalDir == "" {
					continue
				}
				if err := copyNewJournalFiles(scratch, journalDir); err != nil {
					t.Errorf("%+v: %v", k, err)
				}
			}
		})
	}
	for i, k := range trials {
		if finished.contains(k) {
			continue
		}
		queue <- k
		if i%10 == 0 {
			t.Logf("%d of %d trials started after %s", i+1, len(trials), time.Since(startedAt).Round(time.Second))
		}
	}
	close(queue)
	wg.Wait()
	for _, r := range finished.summaries() {
		fmt.Println(r.String())
	}
}

// TestNewJournalFilesAreCopied guards against lost or outdated copies of journal entries of trials,
// and against copies of entries that were in the journal before the trials.
func TestNewJournalFilesAreCopied(t *testing.T) {
	dir, parentDir := t.TempDir(), t.TempDir()
	targetDir := filepath.Join(parentDir, "journal")
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "journal", name), []byte(text), 0o600))
	}
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "journal", "blobs"), 0o700))
	write("old.json", "{}")
	write("blobs/old.txt", "old")
	initial, err := journalFiles(dir)
	require.NoError(t, err)
	c := scratchCopy{dir: dir, initialJournal: initial}
	write("new.json", "begun")
	require.NoError(t, copyNewJournalFiles(c, targetDir))
	write("new.json", "ended")
	write("blobs/new.txt", "new")
	require.NoError(t, copyNewJournalFiles(c, targetDir))

	names, err := journalFiles(parentDir)
	require.NoError(t, err)
	textByName := make(map[string]string)
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(targetDir, name))
		require.NoError(t, err)
		textByName[filepath.ToSlash(name)] = string(text)
	}
	require.Equal(t, map[string]string{"new.json": "ended", "blobs/new.txt": "new"}, textByName)
}
