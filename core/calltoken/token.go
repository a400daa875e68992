package calltoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// MaxDepth is the maximum number of calls in a chain, including the outermost call.
// The entry refuses a nested call whose token has a Depth of MaxDepth or more.
const MaxDepth = 16

// Token holds the properties that a nested call inherits from its parent call.
type Token struct {
	// Caller is the caller of the outermost call. It is empty when that caller
	// presented no credentials.
	Caller model.CallerName
	// Group is the group to which the parent call was accounted.
	Group model.GroupName
	// Depth is the number of calls in the chain above the nested call. It is at
	// least 1.
	Depth int
	// Deadline is the deadline of the parent call, with microsecond precision.
	Deadline time.Time
	// TimeLeft is the time to the deadline at the moment the token was signed.
	TimeLeft time.Duration
}

// Remaining returns the longest timeout that a nested call may have: the time from
// now to the deadline, but never more than TimeLeft. TimeLeft limits the timeout
// when the clocks of the two machines differ. After the deadline the result is
// negative.
func (t Token) Remaining(now time.Time) time.Duration { return min(t.Deadline.Sub(now), t.TimeLeft) }

const (
	formatVersion = 1
	// macBytes is the length of the signature, an HMAC-SHA-256 cut to 16 bytes.
	macBytes = 16
	// maxLength is the maximum length of an encoded token in bytes.
	maxLength = 1024
	// keyLabel is hashed together with the shared secret to derive the signing key.
	// Keys that are derived from the same secret with other labels therefore differ
	// from the signing key.
	keyLabel = "dottereltiller call token"
)

// Error is returned for a token that fails verification.
type Error struct{ Reason string }

// Error returns the reason, prefixed with "call token: ".
func (e *Error) Error() string { return "call token: " + e.Reason }

// Signer signs and verifies tokens. It is safe for concurrent use.
type Signer struct{ key []byte }

// NewSigner returns a Signer whose key is derived from the secret that all
// daemons share. For an empty secret it returns nil. A nil Signer is valid: its
// Sign returns an empty string and its Verify rejects every token.
func NewSigner(secret string) *Signer {
	if secret == "" {
		return nil
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(keyLabel))
	return &Signer{key: mac.Sum(nil)}
}

// Sign returns the signed token, base64url-encoded. A nil Signer returns "".
func (s *Signer) Sign(t Token) string {
	if s == nil {
		return ""
	}
	b := make([]byte, 0, 128)
	b = append(b, formatVersion, byte(t.Depth))
	b = binary.AppendVarint(b, t.Deadline.UnixMicro())
	b = binary.AppendVarint(b, t.TimeLeft.Microseconds())
	b = appendText(b, string(t.Caller))
	b = appendText(b, string(t.Group))
	return base64.RawURLEncoding.EncodeToString(s.appendSignature(b))
}

// Verify checks the signature of an encoded token and returns the decoded token.
// The token must have been signed with the same secret. Verify does not check the
// deadline. All its errors are of type *Error.
func (s *Signer) Verify(encoded string) (Token, error) {
	if s == nil {
		return Token{}, &Error{Reason: "no shared secret configured"}
	}
	if len(encoded) > maxLength {
		return Token{}, &Error{Reason: "too long"}
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(b) < macBytes {
		return Token{}, &Error{Reason: "not a token"}
	}
	body := b[:len(b)-macBytes]
	if !hmac.Equal(s.appendSignature(body[:len(body):len(body)])[len(body):], b[len(body):]) {
		return Token{}, &Error{Reason: "wrong signature"}
	}
	return parse(body)
}

// appendSignature returns b followed by its signature.
func (s *Signer) appendSignature(b []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(b)
	return append(b, mac.Sum(nil)[:macBytes]...)
}

// parse decodes the body of a token whose signature has been verified.
func parse(b []byte) (Token, error) {
	if len(b) < 2 || b[0] != formatVersion {
		return Token{}, &Error{Reason: fmt.Sprintf("unknown format, want %d", formatVersion)}
	}
	r := reader{rest: b[2:]}
	t := Token{Depth: int(b[1])}
	t.Deadline = time.UnixMicro(r.varint())
	t.TimeLeft = time.Duration(r.varint()) * time.Microsecond
	t.Caller = model.CallerName(r.text())
	t.Group = model.GroupName(r.text())
	if r.failed || len(r.rest) > 0 {
		return Token{}, &Error{Reason: "damaged"}
	}
	return t, nil
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// reader decodes the fields of a token. When a field is malformed, failed is set
// and all decoded values must be discarded.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) text() string {
	length, n := binary.Uvarint(r.rest)
	if n <= 0 || length > uint64(len(r.rest)-n) {
		r.failed = true
		return ""
	}
	s := string(r.rest[n : n+int(length)])
	r.rest = r.rest[n+int(length):]
	return s
}
