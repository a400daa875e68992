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

func put(key, text string) map[DocumentKey]json.RawMessage {
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
	first := Change{ID: "1", Put: put("Service/a", `"x"`)}
	large := json.RawMessage(`"` + strings.Repeat("x", MaxChange-200) + `"`)
	tooLarge := []Change{}
	for i := range MaxState/MaxChange + 1 {
		tooLarge = append(tooLarge, Change{ID: fmt.Sprint("l", i), Base: model.Version(i), Put: map[DocumentKey]json.RawMessage{DocumentKey(fmt.Sprint("Service/", i)): large}})
	}
	for name, c := range map[string]struct {
		changes []Change
		want    []Decision
		version model.Version
	}{
		"first":                   {[]Change{first}, []Decision{Accepted}, 1},
		"concurrent":              {[]Change{first, {ID: "2", Put: put("Service/a", `"y"`)}}, []Decision{Accepted, Superseded}, 1},
		"sequential":              {[]Change{first, {ID: "2", Base: 1}}, []Decision{Accepted, Accepted}, 2},
		"repeated":                {[]Change{first, first, {ID: "2", Base: 1}, first}, []Decision{Accepted, Duplicate, Accepted, Duplicate}, 2},
		"base does not exist yet": {[]Change{{ID: "2", Base: 1}, first, {ID: "2", Base: 1}}, []Decision{Invalid, Accepted, Duplicate}, 1},
		"documents do not parse":  {[]Change{{ID: "1", Put: put("Service/a", `"bad"`)}, {ID: "2"}}, []Decision{Invalid, Accepted}, 1},
		"too large":               {tooLarge, []Decision{Accepted, Accepted, Accepted, Accepted, Invalid}, 4},
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
	good := record(t, Change{ID: "1"})
	damaged := append([]byte(nil), good...)
	damaged[len(damaged)-1] ^= 1
	unknownCodec := append([]byte(nil), good...)
	unknownCodec[1] = 9
	m := NewStateMachine(nil)
	for i, r := range [][]byte{nil, []byte("{}"), damaged, unknownCodec} {
		res := m.ApplyRecord(uint64(i), r)
		require.Equal(t, Ignored, res.Decision)
		require.Error(t, res.Problem)
	}
	require.Equal(t, OutOfOrder, m.ApplyRecord(9, good).Decision)
	require.Equal(t, Accepted, m.ApplyRecord(4, good).Decision)
}

func TestStateIsAdoptedOnlyIfNewer(t *testing.T) {
	m := NewStateMachine(nil)
	m.ApplyRecord(0, record(t, Change{ID: "1"}))
	m.ApplyRecord(1, record(t, Change{ID: "2", Base: 1}))
	ahead := m.State()
	ahead.Next = 9
	otherChain := ahead
	otherChain.Chain[0] ^= 1
	lowerVersion := ahead
	lowerVersion.Version = 1
	require.ErrorIs(t, m.Adopt(m.State()), ErrStale)
	require.ErrorIs(t, m.Adopt(otherChain), ErrConflict)
	require.ErrorIs(t, m.Adopt(lowerVersion), ErrConflict)
	require.NoError(t, m.Adopt(ahead))
	require.EqualValues(t, 9, m.Next())
}

func TestCheckpointThatLeavesAGapIsNotUsed(t *testing.T) {
	writer := NewStateMachine(nil)
	writer.ApplyRecord(0, record(t, Change{ID: "1"}))
	lateCheckpoint, err := writer.State().Checkpoint()
	require.NoError(t, err)
	fresh := NewStateMachine(nil)
	require.True(t, fresh.NeedsCheckpoint(2))
	require.False(t, fresh.RestoreCheckpoint(5, 2, lateCheckpoint), "the log no longer keeps record 1")
	require.False(t, fresh.RestoreCheckpoint(0, 0, lateCheckpoint), "the state is ahead of the offset of the checkpoint record")
	require.True(t, fresh.RestoreCheckpoint(5, 1, lateCheckpoint))
	require.EqualValues(t, 1, fresh.Version())
}

func TestReadCheckpointDetectsDamage(t *testing.T) {
	m := NewStateMachine(nil)
	m.ApplyRecord(0, record(t, Change{ID: "1", Put: put("Service/a", `"x"`)}))
	data, err := m.State().Checkpoint()
	require.NoError(t, err)
	s, ok := ReadCheckpoint(data)
	require.True(t, ok)
	require.Equal(t, m.State(), s)
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 0x40
		_, ok := ReadCheckpoint(damaged)
		require.False(t, ok, "byte %d", i)
	}
}

func TestConflictIsDetectedAndNoDeltaSent(t *testing.T) {
	a, b := NewStateMachine(nil), NewStateMachine(rejectBad)
	for _, m := range []*StateMachine{a, b} {
		m.ApplyRecord(0, record(t, Change{ID: "1", Put: put("Service/a", `"bad"`)}))
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
		n := rapid.IntRange(1, 400).Draw(t, "records")
		size := rapid.IntRange(1, 600).Draw(t, "size")
		text := `"` + strings.Repeat("v", size) + `"`
		for i := range n {
			base := model.Version(max(0, int(daemons[0].Version())-rapid.IntRange(0, 1).Draw(t, "late")))
			r, _, err := EncodeChange(Change{ID: fmt.Sprint(i), Base: base, Put: put(fmt.Sprint("Service/", i%40), text)})
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
	const changes, services = 10_000, 77
	records := make([][]byte, changes)
	bytes := 0
	for i := range records {
		doc := fmt.Sprintf(`{"kind":"Service","name":"s%d","labels":{"mesh":"fyn"},"spec":{"deadline":"%dms"}}`, i%services, 100+i)
		records[i] = record(b, Change{ID: fmt.Sprint("change-", i), Base: model.Version(i), Author: "operator", Put: put(fmt.Sprint("Service/s", i%services), doc)})
		bytes += len(records[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		m := NewStateMachine(rejectBad)
		for i, r := range records {
			m.ApplyRecord(uint64(i), r)
		}
		if m.Version() != changes {
			b.Fatal(m.Version())
		}
	}
	b.ReportMetric(float64(bytes)/changes, "bytes/change")
}
