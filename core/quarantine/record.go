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

// Fingerprint identifies a request by what was asked, not by who forwarded it.
type Fingerprint [16]byte

// Request is what a fingerprint is taken of.
type Request struct {
	Service model.ServiceName
	Caller  model.CallerName
	Method  string
	Target  string
	// Body is the whole body, or nil when it was streamed; then only its
	// Length counts.
	Body   []byte
	Length int64
}

// Of returns the fingerprint of a request. Finding another request with the
// same one is as hard as breaking SHA-256 cut to 128 bits.
func Of(r Request) Fingerprint {
	h := sha256.New()
	part := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	part([]byte(r.Service))
	part([]byte(r.Caller))
	part([]byte(r.Method))
	part([]byte(r.Target))
	part(binary.BigEndian.AppendUint64(nil, uint64(r.Length)))
	part(r.Body)
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns 32 hex digits.
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

// Death names the end of one life of one upstream.
type Death struct {
	Upstream    model.UpstreamID  `json:"upstream"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Rule tells when a request of a service is condemned.
type Rule struct {
	// Deaths is the number of distinct deaths, at least 1.
	Deaths int
	// Duration is how long it is refused.
	Duration time.Duration
}

// CrashReport is a death that a request ran in.
type CrashReport struct {
	Crash Death `json:"death"`
	// At is when it was seen, in Unix milliseconds.
	At int64 `json:"at"`
}

// compare orders deaths by time, those of one time by name.
func (s CrashReport) compare(o CrashReport) int {
	return cmp.Or(cmp.Compare(s.At, o.At), cmp.Compare(s.Crash.Upstream, o.Crash.Upstream),
		cmp.Compare(s.Crash.Incarnation, o.Crash.Incarnation))
}

// Record is what daemons hold and exchange about one fingerprint.
type Record struct {
	Fingerprint Fingerprint       `json:"fingerprint"`
	Service     model.ServiceName `json:"service"`
	Caller      model.CallerName  `json:"caller"`
	// Request is method and target, cut to a bounded length.
	Request string `json:"request"`
	// Deaths are the oldest deaths that the request ran in since it was cleared.
	Deaths []CrashReport `json:"deaths,omitempty"`
	// ClearedAt is when the request was last answered in full or released, in
	// Unix milliseconds. Deaths up to then do not count.
	ClearedAt int64 `json:"cleared,omitempty"`
	// QuarantinedAt is when the request was condemned, Until when that ends, in
	// Unix milliseconds. It counts while it is later than Cleared.
	QuarantinedAt int64 `json:"condemned,omitempty"`
	Until         int64 `json:"until,omitempty"`
}

// Refused reports whether the request is refused at a time.
func (r *Record) Refused(now int64) bool { return r.QuarantinedAt > r.ClearedAt && now < r.Until }

// pruneCleared returns the deaths that still count.
func (r *Record) pruneCleared() []CrashReport {
	n := 0
	for _, d := range r.Deaths {
		if d.At > r.ClearedAt {
			r.Deaths[n] = d
			n++
		}
	}
	r.Deaths = r.Deaths[:n]
	return r.Deaths
}

func (r *Record) hasCrash(d Death) bool {
	for _, s := range r.Deaths {
		if s.Crash == d {
			return true
		}
	}
	return false
}

// comparePriority orders records by how much they matter: the refused ones, then those with
// the most deaths, then the newest.
func (r *Record) comparePriority(o *Record) int {
	return cmp.Or(cmp.Compare(o.QuarantinedAt, r.QuarantinedAt), cmp.Compare(len(o.Deaths), len(r.Deaths)),
		cmp.Compare(o.lastUpdate(), r.lastUpdate()), slices.Compare(r.Fingerprint[:], o.Fingerprint[:]))
}

func (r *Record) clone() Record {
	c := *r
	c.Deaths = slices.Clone(r.Deaths)
	return c
}

// expired reports whether the record is too old to matter.
func (r *Record) expired(now int64) bool {
	return max(r.lastUpdate()+retention.Milliseconds(), r.Until) < now
}

// lastUpdate is the time of the lastUpdate fact of the record.
func (r *Record) lastUpdate() int64 {
	t := max(r.ClearedAt, r.QuarantinedAt)
	for _, d := range r.Deaths {
		t = max(t, d.At)
	}
	return t
}
