package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxDocumentSize is the size limit that the tests pass to Apply, in bytes.
const maxDocumentSize = 4 << 20

// routesDocument returns a document that starts with its version and lists n
// routes. The map targets holds the targets of some routes by route index; the
// other routes have a default target.
func routesDocument(version, n int, targets map[int]string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%d","routes":[`, version)
	for i := range n {
		target := fmt.Sprintf("service-%d", i*7919%n)
		if changed, ok := targets[i]; ok {
			target = changed
		}
		fmt.Fprintf(&b, `["route-%d","host-%d.example","/%x",%q,%d],`, i, i*31%n, i*2654435761, target, 100+i%900)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// TestEncodeApply checks that Apply restores the target from each delta, and that
// the delta of a small change is small.
func TestEncodeApply(t *testing.T) {
	const routeCount = 1600
	for name, c := range map[string]struct {
		base, target []byte
		maxDeltaSize int
	}{
		"the same":               {routesDocument(1, routeCount, nil), routesDocument(1, routeCount, nil), 100},
		"one route of many":      {routesDocument(1, routeCount, nil), routesDocument(2, routeCount, map[int]string{800: "other"}), 300},
		"first and last":         {routesDocument(1, routeCount, nil), routesDocument(2, routeCount, map[int]string{0: "a", routeCount - 1: "b"}), 300},
		"a tenth more routes":    {routesDocument(1, routeCount, nil), routesDocument(2, routeCount*11/10, nil), 60_000},
		"unrelated base":         {[]byte("abc"), routesDocument(1, 10, nil), 1000},
		"empty base":             {nil, routesDocument(1, 10, nil), 1000},
		"empty target":           {routesDocument(1, 10, nil), nil, 100},
		"both empty":             {nil, nil, 100},
		"a document of one byte": {[]byte("a"), []byte("b"), 100},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Encode(c.base, c.target)
			require.NoError(t, err)
			require.LessOrEqual(t, len(d), c.maxDeltaSize, "document of %d bytes", len(c.target))
			got, err := Apply(c.base, d, maxDocumentSize)
			require.NoError(t, err)
			require.True(t, bytes.Equal(c.target, got))
		})
	}
}

// TestApplyToOtherBaseFails applies a delta to a document other than the one it
// was made from.
func TestApplyToOtherBaseFails(t *testing.T) {
	base, target := routesDocument(1, 100, nil), routesDocument(2, 100, nil)
	d, err := Encode(base, target)
	require.NoError(t, err)
	for name, wrongBase := range map[string][]byte{
		"another version": routesDocument(3, 100, nil),
		"none":            nil,
	} {
		_, err := Apply(wrongBase, d, maxDocumentSize)
		require.Error(t, err, name)
	}
}

func TestApplyLimitsDocumentSize(t *testing.T) {
	base := routesDocument(1, 100, nil)
	d, err := Encode(base, bytes.Repeat([]byte("a"), 100_000))
	require.NoError(t, err)
	_, err = Apply(base, d, 50_000)
	require.ErrorIs(t, err, ErrTooLarge)
}

// TestCorruptDeltaNeverYieldsWrongDocument applies deltas in which one byte is
// changed and any number of bytes, possibly none, is cut off at the end. The result
// must be an error or the document that was encoded. A delta cut to no bytes is not
// checked, because Apply returns an empty document for it.
func TestCorruptDeltaNeverYieldsWrongDocument(t *testing.T) {
	base, target := routesDocument(1, 50, nil), routesDocument(2, 50, map[int]string{3: "other"})
	d, err := Encode(base, target)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		received := bytes.Clone(d)
		changedIndex := rapid.IntRange(0, len(d)-1).Draw(t, "at")
		received[changedIndex] ^= byte(rapid.IntRange(1, 255).Draw(t, "flipped"))
		received = received[:rapid.IntRange(0, len(d)).Draw(t, "length")]
		if got, err := Apply(base, received, maxDocumentSize); err == nil && len(received) > 0 {
			require.True(t, bytes.Equal(target, got))
		}
	})
}

// BenchmarkDelta encodes and applies the change of one route and, for a receiver
// without a base, the whole document.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{120, 1600} {
		base, target := routesDocument(1, n, nil), routesDocument(2, n, map[int]string{n / 2: "other"})
		for name, receiverBase := range map[string][]byte{"change": base, "whole": nil} {
			d, err := Encode(receiverBase, target)
			require.NoError(b, err)
			label := fmt.Sprintf("%s of %d B in %d B", name, len(target), len(d))
			b.Run("encode/"+label, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = Encode(receiverBase, target)
				}
			})
			b.Run("apply/"+label, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = Apply(receiverBase, d, maxDocumentSize)
				}
			})
		}
	}
}
