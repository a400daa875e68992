package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// A record on the log consists of a header and a payload. The header contains a
// magic byte, the version of the codec, the kind of the payload and the SHA-256
// of the payload.
const (
	recordMagic    = 'd'
	codecVersion   = 1
	headerSize     = 3 + sha256.Size
	kindChange     = 1
	kindCheckpoint = 2
)

// Digest is the SHA-256 of an encoded change, or the head of the hash chain over
// all accepted changes.
type Digest [sha256.Size]byte

// String returns the first 12 hex digits, for display.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:6]) }

// MarshalText implements encoding.TextMarshaler. It returns all 64 hex digits.
func (d Digest) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%x", d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *RecordError if the
// text is not a digest in hex digits.
func (d *Digest) UnmarshalText(text []byte) error {
	var raw []byte
	if _, err := fmt.Sscanf(string(text), "%x", &raw); err != nil || len(raw) != len(d) {
		return &RecordError{Problem: "digest cannot be read"}
	}
	copy(d[:], raw)
	return nil
}

// RecordError is returned for a record that cannot be decoded.
type RecordError struct {
	Problem string
	Err     error
}

// Error returns the problem and the underlying error, if any.
func (e *RecordError) Error() string {
	if e.Err == nil {
		return "config record: " + e.Problem
	}
	return "config record: " + e.Problem + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// EncodeChange encodes a change as a log record and returns it with the digest of
// the encoded change.
func EncodeChange(c Change) ([]byte, Digest, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return nil, Digest{}, err
	}
	if len(payload) > MaxChange {
		return nil, Digest{}, &LimitError{What: "change", Size: len(payload), Limit: MaxChange}
	}
	record, digest := encodeRecord(kindChange, payload)
	return record, digest, nil
}

// IsCheckpoint reports whether a record has the header of a checkpoint. It does
// not verify or decode the payload.
func IsCheckpoint(record []byte) bool {
	return len(record) >= headerSize && record[0] == recordMagic && record[2] == kindCheckpoint
}

// encodeRecord returns the payload with a header, and the digest of the payload.
func encodeRecord(kind byte, payload []byte) ([]byte, Digest) {
	digest := Digest(sha256.Sum256(payload))
	record := make([]byte, 0, headerSize+len(payload))
	record = append(record, recordMagic, codecVersion, kind)
	record = append(record, digest[:]...)
	return append(record, payload...), digest
}

// parseRecord verifies the header of a record, including the digest of the payload. It
// returns the kind of the payload, the payload and its digest. All its errors are of
// type *RecordError.
func parseRecord(record []byte) (kind byte, payload []byte, d Digest, err error) {
	if len(record) < headerSize || record[0] != recordMagic {
		return 0, nil, d, &RecordError{Problem: "not a config record"}
	}
	if record[1] != codecVersion {
		return 0, nil, d, &RecordError{Problem: fmt.Sprintf("unknown codec %d", record[1])}
	}
	payload = record[headerSize:]
	d = Digest(sha256.Sum256(payload))
	if !bytes.Equal(d[:], record[3:headerSize]) {
		return 0, nil, d, &RecordError{Problem: "digest does not match"}
	}
	return record[2], payload, d, nil
}

func decodeChange(payload []byte) (Change, error) {
	var c Change
	if len(payload) > MaxChange {
		return c, &LimitError{What: "change", Size: len(payload), Limit: MaxChange}
	}
	if err := json.Unmarshal(payload, &c); err != nil {
		return c, &RecordError{Problem: "change cannot be read", Err: err}
	}
	if c.ID == "" {
		return c, &RecordError{Problem: "change without id"}
	}
	return c, nil
}
