package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func TestEncodingRoundTrip(t *testing.T) {
	for _, s := range []State{{}, {Version: 7}, {Version: 1 << 60, Zones: []model.AvailabilityZone{"a", "zone b"}}} {
		got, err := Decode(s.Append(nil))
		require.NoError(t, err)
		require.Equal(t, s, got)
	}
	for name, b := range map[string][]byte{"short": {1, 2}, "truncated zone": append(make([]byte, 8), 5, 'a')} {
		_, err := Decode(b)
		require.ErrorIs(t, err, ErrEncoding, name)
	}
}

// FuzzDecode checks that no input makes Decode panic, and that what it returns is encoded and decoded
// to the same State.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("12345678\x01a\x01a"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(s.Append(nil))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}

// operation is a record of the log: the start or the end of an evacuation.
type operation struct {
	zone      model.AvailabilityZone
	evacuated bool
}

// stateAt returns the State after the records before an offset.
func stateAt(log []operation, offset int) State {
	var s State
	for o := range offset {
		s = s.With(uint64(o), log[o].zone, log[o].evacuated)
	}
	return s
}

// TestDaemonsAgreeOnTheNewestState has daemons receive States of random offsets of a log in random
// order, as late messages, stale reads and restarts make them. Each daemon must hold the newest one
// that it has received, and never go back to an older one.
func TestDaemonsAgreeOnTheNewestState(t *testing.T) {
	zones := []model.AvailabilityZone{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var log []operation
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			log = append(log, operation{rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated")})
		}
		var held State
		newest := 0
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			offset := rapid.IntRange(0, len(log)).Draw(t, "offset")
			received := stateAt(log, offset)
			if received.Supersedes(&held) {
				held = received
			}
			newest = max(newest, offset)
			want := stateAt(log, newest)
			require.Equal(t, want.Version, held.Version)
			for _, z := range zones {
				require.Equal(t, want.Includes(z), held.Includes(z))
			}
		}
	})
}
