package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const most = 4 << 20

// routes returns a document with its version at the top and so many routes.
func routes(version, n int, changed map[int]string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%d","routes":[`, version)
	for i := range n {
		target := fmt.Sprintf("service-%d", i*7919%n)
		if c, ok := changed[i]; ok {
			target = c
		}
		fmt.Fprintf(&b, `["route-%d","host-%d.example","/%x",%q,%d],`, i, i*31%n, i*2654435761, target, 100+i%900)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

func TestDeltas(t *testing.T) {
	const many = 1600
	for name, c := range map[string]struct {
		base, target []byte
		atMost       int
	}{
		"the same":               {routes(1, many, nil), routes(1, many, nil), 100},
		"one route of many":      {routes(1, many, nil), routes(2, many, map[int]string{800: "other"}), 300},
		"first and last":         {routes(1, many, nil), routes(2, many, map[int]string{0: "a", many - 1: "b"}), 300},
		"grows by a tenth":       {routes(1, many, nil), routes(2, many*11/10, nil), 60_000},
		"another document":       {[]byte("abc"), routes(1, 10, nil), 1000},
		"nothing to start from":  {nil, routes(1, 10, nil), 1000},
		"nothing left":           {routes(1, 10, nil), nil, 100},
		"both empty":             {nil, nil, 100},
		"a document of one byte": {[]byte("a"), []byte("b"), 100},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Encode(c.base, c.target)
			require.NoError(t, err)
			require.LessOrEqual(t, len(d), c.atMost, "document of %d bytes", len(c.target))
			got, err := Apply(c.base, d, most)
			require.NoError(t, err)
			require.True(t, bytes.Equal(c.target, got))
		})
	}
}

// TestAnotherBaseIsAnError has the receiver hold something else than the sender thought.
func TestAnotherBaseIsAnError(t *testing.T) {
	base, target := routes(1, 100, nil), routes(2, 100, nil)
	d, err := Encode(base, target)
	require.NoError(t, err)
	for name, other := range map[string][]byte{
		"another version": routes(3, 100, nil),
		"none":            nil,
	} {
		_, err := Apply(other, d, most)
		require.Error(t, err, name)
	}
}

func TestDocumentsAreBounded(t *testing.T) {
	base := routes(1, 100, nil)
	d, err := Encode(base, bytes.Repeat([]byte("a"), 100_000))
	require.NoError(t, err)
	_, err = Apply(base, d, 50_000)
	require.ErrorIs(t, err, ErrTooLarge)
}

// TestWhateverIsReceived never gives a document that differs from the sender's.
func TestWhateverIsReceived(t *testing.T) {
	base, target := routes(1, 50, nil), routes(2, 50, map[int]string{3: "other"})
	d, err := Encode(base, target)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		received := bytes.Clone(d)
		at := rapid.IntRange(0, len(d)-1).Draw(t, "at")
		received[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flipped"))
		received = received[:rapid.IntRange(0, len(d)).Draw(t, "length")]
		if got, err := Apply(base, received, most); err == nil && len(received) > 0 {
			require.True(t, bytes.Equal(target, got))
		}
	})
}

// BenchmarkDelta makes and applies the delta of one route among others, and of a document
// that the receiver has nothing of.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{120, 1600} {
		base, target := routes(1, n, nil), routes(2, n, map[int]string{n / 2: "other"})
		for name, from := range map[string][]byte{"change": base, "whole": nil} {
			d, err := Encode(from, target)
			require.NoError(b, err)
			size := fmt.Sprintf("%s of %d B in %d B", name, len(target), len(d))
			b.Run("of/"+size, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = Encode(from, target)
				}
			})
			b.Run("apply/"+size, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = Apply(from, d, most)
				}
			})
		}
	}
}
