package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrTooLarge is returned by Apply when the resulting document exceeds the size
// limit.
var ErrTooLarge = errors.New("delta: document is too large")

// Encode returns the delta from base to target. With an empty base, the delta is
// the compressed target.
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

// Apply returns the document that results from applying delta to base. It
// returns ErrTooLarge if the document is larger than maxSize bytes. It returns
// another error if the delta is malformed, was made for a different base or has
// a wrong checksum. For an empty delta it returns an empty document; Encode
// never returns an empty delta.
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

// documentID returns the dictionary ID by which a Zstandard frame refers to its
// base document. The ID is never 0, because 0 means that there is no dictionary.
func documentID(document []byte) uint32 { return max(uint32(xxhash.Sum64(document)), 1) }

// windowSize returns the Zstandard window size for a base and a target that together
// have size bytes. It is a power of two within the limits of Zstandard.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), zstd.MaxWindowSize)
}
