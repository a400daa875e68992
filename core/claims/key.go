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

// Stamp is the time stamp of a key in milliseconds of the Unix epoch. It has 48
// bits.
type Stamp uint64

// MaxStamp is the largest stamp that a key can carry.
const MaxStamp Stamp = 1<<48 - 1

// Range is one of the parts into which the hashes of keys are divided.
type Range int

// DefaultRanges is the number of ranges of a deployment. All its daemons must
// use the same number.
const DefaultRanges = 1024

// ErrKeyInvalid is returned for a key that is not a UUIDv7.
var ErrKeyInvalid = errors.New("idempotency key is not a UUIDv7")

const (
	uuidTextLength = 36
	uuidVersion    = 7
	uuidVariant    = 0b10
	stampBytes     = 6
)

// ParseKey reads a key in the 36 character form, bare or as a quoted string.
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

// NewKey returns the key of a stamp and 10 random bytes.
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

// Stamp returns the key's time stamp.
func (k Key) Stamp() Stamp {
	var b [8]byte
	copy(b[8-stampBytes:], k[:stampBytes])
	return Stamp(binary.BigEndian.Uint64(b[:]))
}

// Range returns the range of the key among n.
func (k Key) Range(n int) Range { return Range(xxhash.Sum64(k[:]) % uint64(n)) }

// String returns the key in the 36 character form.
func (k Key) String() string {
	h := hex.EncodeToString(k[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
