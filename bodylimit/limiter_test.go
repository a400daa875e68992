package bodylimit

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestBodyMemoryIsLimitedAndReleased reads bodies until their memory is exhausted. A body that is
// rejected, too large or cut off by an error must take no memory afterwards.
func TestBodyMemoryIsLimitedAndReleased(t *testing.T) {
	b := New(10)
	first, err := b.Read(strings.NewReader("123456"))
	require.NoError(t, err)
	require.Equal(t, "123456", string(first.Bytes))
	_, err = b.Read(iotest.OneByteReader(strings.NewReader("12345")))
	require.ErrorIs(t, err, ErrMemoryExhausted)
	second, err := b.Read(strings.NewReader("1234"))
	require.NoError(t, err, "a rejected body takes no memory")
	first.Release()
	first.Release()
	second.Release()
	_, err = b.Read(strings.NewReader("12345678901"))
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = b.Read(iotest.ErrReader(errors.New("gone")))
	require.EqualError(t, err, "gone")
	require.Zero(t, b.usedBytes.Load())
}
