package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Fingerprint identifies a request by its caller and content, regardless of the
// daemon that forwarded it.
type Fingerprint [16]byte

// Request holds the properties of a request that its fingerprint covers.
type Request struct {
	Service model.ServiceName
	Caller  model.CallerName
	Method  string
	Target  string
	// Body is the complete body, or nil for a streamed body. Of a streamed body
	// the fingerprint covers only the Length.
	Body   []byte
	Length int64
}

// FingerprintOf returns the fingerprint of a request, a SHA-256 truncated to 128
// bits. A cryptographic hash is used so that nobody can construct a different
// request with the same fingerprint.
func FingerprintOf(r Request) Fingerprint {
	h := sha256.New()
	writeField := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	writeField([]byte(r.Service))
	writeField([]byte(r.Caller))
	writeField([]byte(r.Method))
	writeField([]byte(r.Target))
	writeField(binary.BigEndian.AppendUint64(nil, uint64(r.Length)))
	writeField(r.Body)
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint as 32 hex digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(f) {
		return fmt.Errorf("fingerprint %q: want 32 hex digits", text)
	}
	copy(f[:], b)
	return nil
}

// Crash identifies the crash of one incarnation of an upstream.
type Crash struct {
	Upstream    model.UpstreamID  `json:"upstream"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Rule sets when and for how long a request of a service is quarantined.
type Rule struct {
	// Crashes is the number of distinct crashes that lead to a quarantine, at
	// least 1.
	Crashes int
	// Duration is how long the request is quarantined.
	Duration time.Duration
}

// CrashReport is a crash during which a request was running.
type CrashReport struct {
	Crash Crash `json:"death"`
	// At is when the crash was detected, in Unix milliseconds.
	At int64 `json:"at"`
}

// compare orders crash reports by time, then by upstream and incarnation.
func (c CrashReport) compare(o CrashReport) int {
	return cmp.Or(cmp.Compare(c.At, o.At), cmp.Compare(c.Crash.Upstream, o.Crash.Upstream),
		cmp.Compare(c.Crash.Incarnation, o.Crash.Incarnation))
}

// Record is the state that daemons store and exchange for one fingerprint.
type Record struct {
	Fingerprint Fingerprint       `json:"fingerprint"`
	Service     model.ServiceName `json:"service"`
	Caller      model.CallerName  `json:"caller"`
	// Request is method and target, truncated to maxRequestBytes.
	Request string `json:"request"`
	// Crashes are the crashes after ClearedAt during which the request was
	// running. Only the oldest maxCrashes are kept.
	Crashes []CrashReport `json:"deaths,omitempty"`
	// ClearedAt is in Unix milliseconds. Crashes up to ClearedAt do not count, because the
	// request got a complete response, at most survivalPeriod before, or was released by an
	// operator.
	ClearedAt int64 `json:"cleared,omitempty"`
	// QuarantinedAt is the time of the newest crash in the record when the request
	// was quarantined, in Unix milliseconds. If ClearedAt is at or after
	// QuarantinedAt, the quarantine is lifted.
	QuarantinedAt int64 `json:"condemned,omitempty"`
	// Until is the end of the quarantine in Unix milliseconds.
	Until int64 `json:"until,omitempty"`
}

// Refused reports whether the request is under quarantine at the given time, in
// Unix milliseconds.
func (r *Record) Refused(now int64) bool { return r.QuarantinedAt > r.ClearedAt && now < r.Until }

// pruneCleared removes the crashes up to ClearedAt and returns the others.
func (r *Record) pruneCleared() []CrashReport {
	n := 0
	for _, c := range r.Crashes {
		if c.At > r.ClearedAt {
			r.Crashes[n] = c
			n++
		}
	}
	r.Crashes = r.Crashes[:n]
	return r.Crashes
}

// wasAnswered reports whether a response at the given time, in Unix milliseconds, came less than
// answeredPeriod before the first crash of the record.
func (r *Record) wasAnswered(at int64) bool {
	return at+answeredPeriod.Milliseconds() >= r.Crashes[0].At
}

// hasCrash reports whether the record contains the given crash.
func (r *Record) hasCrash(crash Crash) bool {
	for _, c := range r.Crashes {
		if c.Crash == crash {
			return true
		}
	}
	return false
}

// comparePriority orders records from the most to the least important. A record with a
// later QuarantinedAt is more important. Of equal ones, the record with more crashes is
// more important, then the one with the later update. The fingerprint decides between
// records that are equal in all of these.
func (r *Record) comparePriority(o *Record) int {
	return cmp.Or(cmp.Compare(o.QuarantinedAt, r.QuarantinedAt), cmp.Compare(len(o.Crashes), len(r.Crashes)),
		cmp.Compare(o.lastUpdate(), r.lastUpdate()), slices.Compare(r.Fingerprint[:], o.Fingerprint[:]))
}

func (r *Record) clone() Record {
	c := *r
	c.Crashes = slices.Clone(r.Crashes)
	return c
}

// expired reports whether the record can be deleted at the given time, in Unix
// milliseconds: retention must have passed since its last update, and its quarantine
// must have ended.
func (r *Record) expired(now int64) bool {
	return max(r.lastUpdate()+retention.Milliseconds(), r.Until) < now
}

// lastUpdate returns the newest time in the record, except Until.
func (r *Record) lastUpdate() int64 {
	t := max(r.ClearedAt, r.QuarantinedAt)
	for _, c := range r.Crashes {
		t = max(t, c.At)
	}
	return t
}
