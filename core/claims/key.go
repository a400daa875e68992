package claims

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is an idempotency key: the 16 bytes of a UUIDv7.
type Key [16]byte

// Stamp is the timestamp of a key in Unix milliseconds. It has 48 bits.
type Stamp uint64

// MaxStamp is the largest timestamp that a key can contain.
const MaxStamp Stamp = 1<<48 - 1

// Range is the index of a hash partition of the key space. The hash of a key
// determines its Range.
type Range int

// DefaultRangeCount is the number of ranges. All daemons of a deployment must use the
// same number.
const DefaultRangeCount = 1024

// ErrKeyInvalid is returned for a key that is not a UUIDv7.
var ErrKeyInvalid = errors.New("idempotency key is not a UUIDv7")

const (
	uuidTextLength = 36
	uuidVersion    = 7
	uuidVariant    = 0b10
	stampBytes     = 6
)

// ParseKey parses a key in the 36-character UUID form, with or without double
// quotes around it.
func ParseKey(s string) (Key, error) {
	if len(s) == uuidTextLength+2 && s[0] == '"' && s[len(s)-1] == '"' {
		s = s[1 : len(s)-1]
	}
	if len(s) != uuidTextLength || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return Key{}, ErrKeyInvalid
	}
	var k Key
	n, err := hex.Decode(k[:], []byte(strings.ReplaceAll(s, "-", "")))
	if err != nil || n != len(k) {
		return Key{}, ErrKeyInvalid
	}
	if k[6]>>4 != uuidVersion || k[8]>>6 != uuidVariant {
		return Key{}, ErrKeyInvalid
	}
	return k, nil
}

// NewKey returns the UUIDv7 that consists of a timestamp and 10 random bytes. The
// bits of the UUID version and variant replace some of the random bits. A timestamp
// above MaxStamp is replaced by MaxStamp.
func NewKey(stamp Stamp, random [10]byte) Key {
	var k Key
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(min(stamp, MaxStamp)))
	copy(k[:stampBytes], b[8-stampBytes:])
	copy(k[stampBytes:], random[:])
	k[6] = k[6]&0x0f | uuidVersion<<4
	k[8] = k[8]&0x3f | uuidVariant<<6
	return k
}

// Stamp returns the timestamp of the key.
func (k Key) Stamp() Stamp {
	var b [8]byte
	copy(b[8-stampBytes:], k[:stampBytes])
	return Stamp(binary.BigEndian.Uint64(b[:]))
}

// Range returns the range of the key when there are rangeCount ranges.
func (k Key) Range(rangeCount int) Range { return Range(xxhash.Sum64(k[:]) % uint64(rangeCount)) }

// String returns the key in the 36-character UUID form.
func (k Key) String() string {
	h := hex.EncodeToString(k[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
