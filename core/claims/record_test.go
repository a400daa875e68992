package claims

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func drawOwner(t *rapid.T) Owner {
	return Owner{Daemon: model.DaemonID(rapid.String().Draw(t, "daemon")), Incarnation: rapid.Uint64().Draw(t, "incarnation")}
}

// drawRecord generates a random record of any kind.
func drawRecord(t *rapid.T) Record {
	stamp := rapid.Uint64Range(0, uint64(MaxStamp))
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		g := &Grant{Owner: drawOwner(t), Until: Stamp(stamp.Draw(t, "until"))}
		for range rapid.IntRange(0, 5).Draw(t, "extensions") {
			base := Stamp(rapid.Uint64Range(0, uint64(g.Until)).Draw(t, "base"))
			g.Extensions = append(g.Extensions, Extension{Range: Range(rapid.IntRange(0, 1023).Draw(t, "range")), Base: base})
		}
		return Record{Grant: g}
	case 1:
		return Record{Transfer: &Transfer{From: rapid.Uint64().Draw(t, "from"), To: drawOwner(t)}}
	}
	c := &Checkpoint{Offset: rapid.Uint64().Draw(t, "offset")}
	owners := []Owner{drawOwner(t), drawOwner(t)}
	for range rapid.IntRange(0, 3).Draw(t, "ranges") {
		s := RangeState{Frontier: Stamp(stamp.Draw(t, "frontier"))}
		for range rapid.IntRange(0, 3).Draw(t, "intervals") {
			interval := Interval{From: Stamp(stamp.Draw(t, "from")), Until: Stamp(stamp.Draw(t, "until")), Owner: rapid.SampledFrom(owners).Draw(t, "owner")}
			for range rapid.IntRange(0, 2).Draw(t, "prior owners") {
				interval.PriorOwners = append(interval.PriorOwners, rapid.Uint64().Draw(t, "incarnation"))
			}
			s.Intervals = append(s.Intervals, interval)
		}
		c.Ranges = append(c.Ranges, s)
	}
	return Record{Checkpoint: c}
}

// TestRecordCodecRoundTrip encodes and decodes random records. It also checks that
// DecodeRecord rejects an encoding that was cut at a random position.
func TestRecordCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		data := r.Encode()
		got, err := DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, r, got)
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		_, err = DecodeRecord(data[:cut])
		require.ErrorIs(t, err, ErrRecord, "cut at %d of %d", cut, len(data))
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Grant: &Grant{Owner: Owner{Daemon: "127.0.0.1:7001", Incarnation: 9}, Until: 50, Extensions: []Extension{{Range: 3, Base: 20}}}}.Encode())
	f.Add(Record{Transfer: &Transfer{From: 9, To: Owner{Daemon: "127.0.0.1:7002", Incarnation: 10}}}.Encode())
	f.Add([]byte{recordVersion, kindCheckpoint, 0, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{recordVersion, kindGrant, 0, 1, 5, 1, 0, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		reencoded, err := DecodeRecord(r.Encode())
		require.NoError(t, err)
		require.Equal(t, r, reencoded)
		l := NewLedger(4, 0)
		l.Apply(0, r)
		require.EqualValues(t, 1, l.Next())
	})
}

func TestParseKey(t *testing.T) {
	const validText = "0192f0c1-7b3a-7cc0-8a11-0123456789ab"
	for name, tc := range map[string]struct {
		text string
		err  error
	}{
		"bare":              {validText, nil},
		"quoted":            {`"` + validText + `"`, nil},
		"upper case":        {"0192F0C1-7B3A-7CC0-8A11-0123456789AB", nil},
		"version 4":         {"0192f0c1-7b3a-4cc0-8a11-0123456789ab", ErrKeyInvalid},
		"other variant":     {"0192f0c1-7b3a-7cc0-0a11-0123456789ab", ErrKeyInvalid},
		"no hyphens":        {"0192f0c17b3a7cc08a110123456789ab", ErrKeyInvalid},
		"hyphens elsewhere": {"0192f0c17-b3a-7cc0-8a11-0123456789ab", ErrKeyInvalid},
		"five hyphens":      {"0192f0c1-7b3a-7cc0-8a11-01234567-9ab", ErrKeyInvalid},
		"not hex":           {"0192f0c1-7b3a-7cc0-8a11-0123456789ax", ErrKeyInvalid},
		"half quoted":       {`"` + validText, ErrKeyInvalid},
		"empty":             {"", ErrKeyInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := ParseKey(tc.text)
			require.ErrorIs(t, err, tc.err)
			if tc.err == nil {
				require.Equal(t, validText, k.String())
				require.EqualValues(t, 0x0192f0c17b3a, k.Stamp())
			}
		})
	}
}

func TestNewKeyPreservesStamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stamp := Stamp(rapid.Uint64Range(0, uint64(MaxStamp)).Draw(t, "stamp"))
		var random [10]byte
		copy(random[:], rapid.SliceOfN(rapid.Byte(), 10, 10).Draw(t, "random"))
		k := NewKey(stamp, random)
		require.Equal(t, stamp, k.Stamp())
		parsed, err := ParseKey(k.String())
		require.NoError(t, err)
		require.Equal(t, k, parsed)
	})
}
