package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrTooLarge is returned for deltas of a document that is larger than the bound.
var ErrTooLarge = errors.New("delta: the document is too large")

// Encode returns the delta that turns base into target. An empty base gives target compressed.
func Encode(base, target []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(true),
		zstd.WithWindowSize(windowSize(len(base) + len(target))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(documentID(base), base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(target, nil), nil
}

// Apply returns the document that a delta turns base into, which may have so many bytes at
// most. The error is ErrTooLarge, or that of the frame: it cannot be read, starts from
// another document, or its checksum differs.
func Apply(base, delta []byte, maxSize int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxSize)),
		zstd.WithDecoderMaxWindow(zstd.MaxWindowSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(documentID(base), base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	defer r.Close()
	target, err := r.DecodeAll(delta, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || len(target) > maxSize {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	return target, nil
}

// documentID names a document in a frame. Zero would mean that the frame names none.
func documentID(document []byte) uint32 { return max(uint32(xxhash.Sum64(document)), 1) }

// windowSize returns the size of a window that spans so many bytes, a power of two.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), zstd.MaxWindowSize)
}
