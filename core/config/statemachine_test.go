package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// record encodes a change as a log record.
func record(t testing.TB, c Change) []byte {
	t.Helper()
	r, _, err := EncodeChange(c)
	require.NoError(t, err)
	return r
}

func oneDocument(key, text string) map[DocumentKey]json.RawMessage {
	return map[DocumentKey]json.RawMessage{DocumentKey(key): json.RawMessage(text)}
}

// rejectBad is a Validator that rejects the document "bad".
func rejectBad(docs map[DocumentKey]json.RawMessage) error {
	for _, d := range docs {
		if string(d) == `"bad"` {
			return errors.New("bad document")
		}
	}
	return nil
}

func TestDecisionForEachChange(t *testing.T) {
	firstChange := Change{ID: "1", Put: oneDocument("Service/a", `"x"`)}
	largeDocument := json.RawMessage(`"` + strings.Repeat("x", MaxChange-200) + `"`)
	changesOverMaxState := []Change{}
	for i := range MaxState/MaxChange + 1 {
		changesOverMaxState = append(changesOverMaxState, Change{ID: fmt.Sprint("l", i), Base: model.Version(i), Put: map[DocumentKey]json.RawMessage{DocumentKey(fmt.Sprint("Service/", i)): largeDocument}})
	}
	for name, c := range map[string]struct {
		changes []Change
		want    []Decision
		version model.Version
	}{
		"first":                   {[]Change{firstChange}, []Decision{Accepted}, 1},
		"concurrent":              {[]Change{firstChange, {ID: "2", Put: oneDocument("Service/a", `"y"`)}}, []Decision{Accepted, Superseded}, 1},
		"sequential":              {[]Change{firstChange, {ID: "2", Base: 1}}, []Decision{Accepted, Accepted}, 2},
		"repeated":                {[]Change{firstChange, firstChange, {ID: "2", Base: 1}, firstChange}, []Decision{Accepted, Duplicate, Accepted, Duplicate}, 2},
		"base does not exist yet": {[]Change{{ID: "2", Base: 1}, firstChange, {ID: "2", Base: 1}}, []Decision{Invalid, Accepted, Duplicate}, 1},
		"documents do not parse":  {[]Change{{ID: "1", Put: oneDocument("Service/a", `"bad"`)}, {ID: "2"}}, []Decision{Invalid, Accepted}, 1},
		"too large":               {changesOverMaxState, []Decision{Accepted, Accepted, Accepted, Accepted, Invalid}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewStateMachine(rejectBad)
			var got []Decision
			for i, change := range c.changes {
				got = append(got, m.ApplyRecord(uint64(i), record(t, change)).Decision)
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.version, m.Version())
			require.EqualValues(t, len(c.changes), m.Next())
		})
	}
}

func TestDamagedRecordsAreIgnored(t *testing.T) {
	validRecord := record(t, Change{ID: "1"})
	damagedRecord := append([]byte(nil), validRecord...)
	damagedRecord[len(damagedRecord)-1] ^= 1
	unknownCodecRecord := append([]byte(nil), validRecord...)
	unknownCodecRecord[1] = 9
	m := NewStateMachine(nil)
	for i, r := range [][]byte{nil, []byte("{}"), damagedRecord, unknownCodecRecord} {
		res := m.ApplyRecord(uint64(i), r)
		require.Equal(t, Ignored, res.Decision)
		require.Error(t, res.Problem)
	}
	require.Equal(t, OutOfOrder, m.ApplyRecord(9, validRecord).Decision)
	require.Equal(t, Accepted, m.ApplyRecord(4, validRecord).Decision)
}

func TestStateIsAdoptedOnlyIfNewer(t *testing.T) {
	m := NewStateMachine(nil)
	m.ApplyRecord(0, record(t, Change{ID: "1"}))
	m.ApplyRecord(1, record(t, Change{ID: "2", Base: 1}))
	newerState := m.State()
	newerState.Next = 9
	otherChainState := newerState
	otherChainState.Chain[0] ^= 1
	lowerVersionState := newerState
	lowerVersionState.Version = 1
	require.ErrorIs(t, m.Adopt(m.State()), ErrStale)
	require.ErrorIs(t, m.Adopt(otherChainState), ErrConflict)
	require.ErrorIs(t, m.Adopt(lowerVersionState), ErrConflict)
	require.NoError(t, m.Adopt(newerState))
	require.EqualValues(t, 9, m.Next())
}

func TestCheckpointThatLeavesAGapIsNotUsed(t *testing.T) {
	writer := NewStateMachine(nil)
	writer.ApplyRecord(0, record(t, Change{ID: "1"}))
	lateCheckpoint, err := writer.State().Checkpoint()
	require.NoError(t, err)
	reader := NewStateMachine(nil)
	require.True(t, reader.NeedsCheckpoint(2))
	require.False(t, reader.RestoreCheckpoint(5, 2, lateCheckpoint), "the log no longer keeps record 1")
	require.False(t, reader.RestoreCheckpoint(0, 0, lateCheckpoint), "the state is ahead of the offset of the checkpoint record")
	require.True(t, reader.RestoreCheckpoint(5, 1, lateCheckpoint))
	require.EqualValues(t, 1, reader.Version())
}

func TestReadCheckpointDetectsDamage(t *testing.T) {
	m := NewStateMachine(nil)
	m.ApplyRecord(0, record(t, Change{ID: "1", Put: oneDocument("Service/a", `"x"`)}))
	data, err := m.State().Checkpoint()
	require.NoError(t, err)
	s, ok := ReadCheckpoint(data)
	require.True(t, ok)
	require.Equal(t, m.State(), s)
	for i := range data {
		damagedCheckpoint := append([]byte(nil), data...)
		damagedCheckpoint[i] ^= 0x40
		_, ok := ReadCheckpoint(damagedCheckpoint)
		require.False(t, ok, "byte %d", i)
	}
}

func TestConflictIsDetectedAndNoDeltaSent(t *testing.T) {
	a, b := NewStateMachine(nil), NewStateMachine(rejectBad)
	for _, m := range []*StateMachine{a, b} {
		m.ApplyRecord(0, record(t, Change{ID: "1", Put: oneDocument("Service/a", `"bad"`)}))
	}
	a.ApplyRecord(1, record(t, Change{ID: "2", Base: 1}))
	require.True(t, a.Conflicts(b.Digest()))
	require.Nil(t, a.Delta(b.Digest(), 1<<20))
}

// TestDeltasConverge exchanges deltas between three daemons in random order and with
// random size limits, while the first daemon applies the log. At the end, the first
// daemon sends each daemon the deltas that it still lacks. All daemons must then have
// the state of the first.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []*StateMachine{NewStateMachine(nil), NewStateMachine(nil), NewStateMachine(nil)}
		recordCount := rapid.IntRange(1, 400).Draw(t, "records")
		textSize := rapid.IntRange(1, 600).Draw(t, "size")
		text := `"` + strings.Repeat("v", textSize) + `"`
		for i := range recordCount {
			base := model.Version(max(0, int(daemons[0].Version())-rapid.IntRange(0, 1).Draw(t, "late")))
			r, _, err := EncodeChange(Change{ID: fmt.Sprint(i), Base: base, Put: oneDocument(fmt.Sprint("Service/", i%40), text)})
			require.NoError(t, err)
			daemons[0].ApplyRecord(uint64(i), r)
			if i%7 == 0 {
				exchangeRandomDelta(t, daemons)
			}
		}
		for range 400 {
			exchangeRandomDelta(t, daemons)
		}
		for _, d := range daemons {
			for range 2 * 250 {
				_, err := d.ApplyDelta(orEmptyDelta(daemons[0].Delta(d.Digest(), 2000)))
				require.NoError(t, err)
			}
			require.Equal(t, daemons[0].State(), d.State())
		}
	})
}

// orEmptyDelta returns delta, or a delta without records if delta is nil.
func orEmptyDelta(delta []byte) []byte {
	if delta == nil {
		return append([]byte{deltaRecords}, make([]byte, 8)...)
	}
	return delta
}

// exchangeRandomDelta sends a delta from one random daemon to another. If it draws the
// same daemon twice, it sends nothing. The delta must stay within the drawn limit, and
// the version of the receiver must not decrease.
func exchangeRandomDelta(t *rapid.T, daemons []*StateMachine) {
	from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
	limit := rapid.SampledFrom([]int{100, 1000, 3000}).Draw(t, "limit")
	before := daemons[to].Version()
	if delta := daemons[from].Delta(daemons[to].Digest(), limit); delta != nil && from != to {
		require.LessOrEqual(t, len(delta), limit)
		_, err := daemons[to].ApplyDelta(delta)
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, daemons[to].Version(), before)
}

func FuzzApply(f *testing.F) {
	sender := NewStateMachine(nil)
	sender.ApplyRecord(0, record(f, Change{ID: "1"}))
	f.Add(sender.Delta(NewStateMachine(nil).Digest(), 1<<20))
	f.Add([]byte{deltaChunk})
	f.Fuzz(func(t *testing.T, delta []byte) {
		d := NewStateMachine(nil)
		_, err := d.ApplyDelta(delta)
		if err != nil && d.Next() != 0 {
			t.Fatal("a rejected delta changed the state")
		}
	})
}

// BenchmarkApplyRecord applies 10,000 changes to 77 services per iteration.
func BenchmarkApplyRecord(b *testing.B) {
	const changeCount, serviceCount = 10_000, 77
	records := make([][]byte, changeCount)
	totalBytes := 0
	for i := range records {
		doc := fmt.Sprintf(`{"kind":"Service","name":"s%d","labels":{"mesh":"fyn"},"spec":{"deadline":"%dms"}}`, i%serviceCount, 100+i)
		records[i] = record(b, Change{ID: fmt.Sprint("change-", i), Base: model.Version(i), Author: "operator", Put: oneDocument(fmt.Sprint("Service/s", i%serviceCount), doc)})
		totalBytes += len(records[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		m := NewStateMachine(rejectBad)
		for i, r := range records {
			m.ApplyRecord(uint64(i), r)
		}
		if m.Version() != changeCount {
			b.Fatal(m.Version())
		}
	}
	b.ReportMetric(float64(totalBytes)/changeCount, "bytes/change")
}
