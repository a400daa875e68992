package config

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// world is one state of a model of a small deployment. The model consists of a log
// to which operators append concurrently, a checkpoint writer that may pause, and
// two daemons. The daemons read the log and exchange deltas, and daemon 1 may
// restart.
type world struct {
	log [][]byte
	// oldestOffset is the offset of the oldest record that the log keeps.
	oldestOffset int
	// writerCheckpoint is the encoded checkpoint that the paused writer will append.
	writerCheckpoint []byte
	// writerState is the state that writerCheckpoint contains.
	writerState State
	daemons     [2]*StateMachine
	// expectedStates holds the expected state after each prefix of the log. The index is
	// the length of the prefix.
	expectedStates []expectedState
	// actionNames are the names of the actions that led to this state.
	actionNames []string
}

// expectedState is the state that the rules of the package prescribe. The model
// computes it without the code under test.
type expectedState struct {
	version model.Version
	// lastAccepted is the ID of the last accepted change.
	lastAccepted string
	// seenIDs is the concatenation of the IDs of all changes.
	seenIDs string
}

func (w *world) clone() *world {
	c := *w
	c.log, c.expectedStates, c.actionNames = slices.Clone(w.log), slices.Clone(w.expectedStates), slices.Clone(w.actionNames)
	for i, d := range w.daemons {
		m := *d
		m.state = d.state.clone()
		m.recent.records = slices.Clone(d.recent.records)
		m.partial.data = slices.Clone(d.partial.data)
		c.daemons[i] = &m
	}
	return &c
}

// append appends a record to the log and computes the expected state after it. The
// id is empty for a record that is not a change.
func (w *world) append(record []byte, id string, base model.Version) {
	s := w.expectedStates[len(w.expectedStates)-1]
	if id != "" && !strings.Contains(s.seenIDs, id) {
		s.seenIDs += id
		if base == s.version {
			s.version++
			s.lastAccepted = id
		}
	}
	w.log = append(w.log, record)
	w.expectedStates = append(w.expectedStates, s)
}

// appendChange encodes a change and appends it to the log.
func (w *world) appendChange(id string, base model.Version) {
	record, _, err := EncodeChange(Change{ID: id, Base: base, Put: map[DocumentKey]json.RawMessage{"Service/s": json.RawMessage(`"` + id + `"`)}})
	if err != nil {
		panic(err)
	}
	w.append(record, id, base)
}

// readLog applies all records on the log to a daemon. If the log no longer keeps the
// daemon's next record, readLog first restores a checkpoint.
func (w *world) readLog(m *StateMachine) {
	if m.NeedsCheckpoint(uint64(w.oldestOffset)) {
		for o := w.oldestOffset; o < len(w.log); o++ {
			if m.RestoreCheckpoint(uint64(o), uint64(w.oldestOffset), w.log[o]) {
				break
			}
		}
	}
	for o := max(int(m.Next()), w.oldestOffset); o < len(w.log); o++ {
		m.ApplyRecord(uint64(o), w.log[o])
	}
}

// checkpointsByState caches encoded checkpoints, to speed up the exploration. The
// exploration reaches only a few different states. The keys describe the states.
var checkpointsByState = map[string][]byte{}

// encodeCheckpoint returns the encoded checkpoint of a state, from the cache if
// possible.
func encodeCheckpoint(s State) []byte {
	key := fmt.Sprintf("%d %x %v", s.Next, s.Chain, s.IDs)
	if checkpointsByState[key] == nil {
		checkpointsByState[key], _ = s.Checkpoint()
	}
	return checkpointsByState[key]
}

// action is one step of a history. It changes the state of the model.
type action struct {
	name    string
	perform func(*world)
}

// actions returns all actions that the exploration tries in each state of the model.
func actions() []action {
	var out []action
	add := func(name string, do func(*world)) { out = append(out, action{name, do}) }
	for base := range model.Version(3) {
		add(fmt.Sprint("change on ", base), func(w *world) { w.appendChange(fmt.Sprintf("<%d>", len(w.log)), base) })
	}
	add("repeat the first record", func(w *world) {
		if len(w.log) > 0 && w.oldestOffset == 0 {
			kind, payload, _, _ := parseRecord(w.log[0])
			if c, err := decodeChange(payload); kind == kindChange && err == nil {
				w.append(w.log[0], c.ID, c.Base)
			}
		}
	})
	add("writer takes a checkpoint and pauses", func(w *world) {
		w.writerState = w.daemons[0].State()
		w.writerCheckpoint = encodeCheckpoint(w.writerState)
	})
	add("writer resumes", func(w *world) {
		if w.writerCheckpoint != nil {
			w.append(w.writerCheckpoint, "", 0)
		}
	})
	add("log trims all but the last", func(w *world) { w.oldestOffset = max(w.oldestOffset, len(w.log)-1) })
	for i := range 2 {
		add(fmt.Sprint("read ", i), func(w *world) { w.readLog(w.daemons[i]) })
		add(fmt.Sprint("send delta to ", i), func(w *world) {
			to, from := w.daemons[i], w.daemons[1-i]
			if d := from.Delta(to.Digest(), 400); d != nil {
				_, _ = to.ApplyDelta(d)
			}
		})
		add(fmt.Sprint("late checkpoint to ", i), func(w *world) {
			if w.writerCheckpoint != nil {
				_ = w.daemons[i].Adopt(w.writerState)
			}
		})
	}
	add("restart 1", func(w *world) { w.daemons[1] = NewStateMachine(nil) })
	return out
}

// check compares each daemon with the expected state at its offset. It also checks
// that the version and the next offset of a daemon are not lower than before the
// last action. The argument restarted is set if the last action restarted daemon 1.
// The version and the offset of daemon 1 may then decrease.
func (w *world) check(previous *world, restarted bool) error {
	for i, d := range w.daemons {
		if d.Next() > uint64(len(w.log)) {
			return fmt.Errorf("daemon %d has applied more records than the log holds", i)
		}
		s := w.expectedStates[d.Next()]
		if d.Version() != s.version || d.state.ChangeID != s.lastAccepted {
			return fmt.Errorf("daemon %d at offset %d has version %d of %s, want %d of %s", i, d.Next(), d.Version(), d.state.ChangeID, s.version, s.lastAccepted)
		}
		if old := previous.daemons[i]; !(restarted && i == 1) && (d.Version() < old.Version() || d.Next() < old.Next()) {
			return fmt.Errorf("daemon %d went back from %d to %d", i, old.Version(), d.Version())
		}
	}
	return nil
}

// key returns a string by which the exploration recognizes a state of the model that it
// has already reached. It covers the log, the writer's checkpoint, and each daemon's
// digest and first recent offset.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d|%d|%x|", len(w.log), w.oldestOffset, hashID(string(w.writerCheckpoint)))
	for _, r := range w.log {
		fmt.Fprintf(&b, "%x,", hashID(string(r)))
	}
	for _, d := range w.daemons {
		fmt.Fprintf(&b, "|%x %d", d.Digest(), d.recent.firstOffset)
	}
	return b.String()
}

// modelDepth is the maximum number of actions in a history.
const modelDepth = 6

// TestShortHistoriesMatchSpecification explores all histories of up to modelDepth
// actions, breadth first, and checks every state reached.
func TestShortHistoriesMatchSpecification(t *testing.T) {
	initial := &world{expectedStates: make([]expectedState, 1), daemons: [2]*StateMachine{NewStateMachine(nil), NewStateMachine(nil)}}
	seen := map[string]bool{initial.key(): true}
	level := []*world{initial}
	allActions := actions()
	reachedVersions := map[model.Version]bool{}
	for range modelDepth {
		var next []*world
		for _, w := range level {
			for _, a := range allActions {
				successor := w.clone()
				a.perform(successor)
				successor.actionNames = append(successor.actionNames, a.name)
				require.NoError(t, successor.check(w, a.name == "restart 1"), "after %v", successor.actionNames)
				reachedVersions[successor.daemons[1].Version()] = true
				if k := successor.key(); !seen[k] {
					seen[k] = true
					next = append(next, successor)
				}
			}
		}
		level = next
	}
	t.Logf("explored %d states", len(seen))
	require.Len(t, reachedVersions, 4, "versions 0 to 3 are reached")
}

// TestModelDetectsMissingChecks removes one check at a time from the source. For
// each changed source it runs TestShortHistoriesMatchSpecification, which must fail.
func TestModelDetectsMissingChecks(t *testing.T) {
	for name, m := range map[string]struct{ file, old, new string }{
		"base not compared":                 {"statemachine.go", "if c.Base < m.state.Version {", "if false {"},
		"base that does not exist accepted": {"statemachine.go", "if c.Base > m.state.Version {", "if false {"},
		"duplicates not recognised":         {"statemachine.go", "if slices.Contains(m.state.IDs, hashID(c.ID)) {", "if false {"},
		"gap in the log ignored":            {"statemachine.go", "if offset != m.state.Next {", "if false {"},
		"older state adopted":               {"statemachine.go", "if s.Next <= m.state.Next {", "if false {"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source, err := os.ReadFile(m.file)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(source), m.old), "the check is where the test expects it")
			dir := t.TempDir()
			mutant := filepath.Join(dir, m.file)
			require.NoError(t, os.WriteFile(mutant, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600))
			packageDir, err := os.Getwd()
			require.NoError(t, err)
			overlay, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(packageDir, m.file): mutant}})
			require.NoError(t, err)
			overlayFile := filepath.Join(dir, "overlay.json")
			require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
			out, err := exec.Command("go", "test", "-vet=off", "-overlay", overlayFile, "-run", "TestShortHistoriesMatchSpecification", ".").CombinedOutput()
			require.Error(t, err, "the exploration passed")
			require.Contains(t, string(out), "after [", "the exploration found a history: %s", out)
		})
	}
}
