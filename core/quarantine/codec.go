package quarantine

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ErrRecord tells that encoded records cannot be read.
var ErrRecord = errors.New("quarantine records cannot be read")

// Append appends the encoding of a record: the fingerprint, service, caller and
// request, the deaths, and the times. Numbers are varints; a text follows its length.
// Equal records have equal encodings.
func (r *Record) Append(b []byte) []byte {
	b = append(b, r.Fingerprint[:]...)
	b = appendText(b, string(r.Service))
	b = appendText(b, string(r.Caller))
	b = appendText(b, r.Request)
	b = binary.AppendUvarint(b, uint64(len(r.Deaths)))
	for _, d := range r.Deaths {
		b = appendText(b, string(d.Crash.Upstream))
		b = binary.AppendUvarint(b, uint64(d.Crash.Incarnation))
		b = binary.AppendUvarint(b, uint64(d.At))
	}
	for _, at := range []int64{r.ClearedAt, r.QuarantinedAt, r.Until} {
		b = binary.AppendUvarint(b, uint64(at))
	}
	return b
}

// Sum returns a number that tells two records of a request apart.
func (r *Record) Sum() uint64 { return xxhash.Sum64(r.Append(nil)) }

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode reads records that were appended to each other, or returns ErrRecord.
func Decode(b []byte) ([]Record, error) {
	d := decoder{rest: b}
	var out []Record
	for len(d.rest) > 0 {
		out = append(out, d.record())
	}
	if d.failed {
		return nil, ErrRecord
	}
	return out, nil
}

// decoder reads an encoding. After something that cannot be read it is bad, and
// everything it returns is zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) readBytes(n uint64) []byte {
	if n > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) text() string { return string(d.readBytes(d.number())) }

func (d *decoder) record() Record {
	var r Record
	copy(r.Fingerprint[:], d.readBytes(uint64(len(r.Fingerprint))))
	r.Service = model.ServiceName(d.text())
	r.Caller = model.CallerName(d.text())
	r.Request = d.text()
	deaths := d.number()
	if deaths > maxCrashes {
		d.failed, d.rest = true, nil
		return r
	}
	for range deaths {
		s := CrashReport{Crash: Death{Upstream: model.UpstreamID(d.text())}}
		s.Crash.Incarnation = model.Incarnation(d.number())
		s.At = int64(d.number())
		r.Deaths = append(r.Deaths, s)
	}
	r.ClearedAt, r.QuarantinedAt, r.Until = int64(d.number()), int64(d.number()), int64(d.number())
	return r
}

// normalizeCrashes brings the deaths into an order that does not depend on which became known
// first, and keeps the oldest: a request that goes on crashing upstreams must not put off
// the time at which its deaths have settled.
func (r *Record) normalizeCrashes() {
	slices.SortFunc(r.Deaths, CrashReport.compare)
	r.Deaths = r.Deaths[:min(len(r.Deaths), maxCrashes)]
}
