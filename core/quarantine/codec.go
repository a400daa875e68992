package quarantine

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ErrRecord is returned for bytes that are not valid encoded records.
var ErrRecord = errors.New("quarantine records cannot be read")

// Append appends the encoding of the record to b and returns the result. The
// encoding consists of the fingerprint, service, caller and request, the number of
// crashes, the crashes, and the times ClearedAt, QuarantinedAt and Until. Numbers are
// encoded as varints and strings with a length prefix.
// Equal records have equal encodings.
func (r *Record) Append(b []byte) []byte {
	b = append(b, r.Fingerprint[:]...)
	b = appendText(b, string(r.Service))
	b = appendText(b, string(r.Caller))
	b = appendText(b, r.Request)
	b = binary.AppendUvarint(b, uint64(len(r.Crashes)))
	for _, c := range r.Crashes {
		b = appendText(b, string(c.Crash.Upstream))
		b = binary.AppendUvarint(b, uint64(c.Crash.Incarnation))
		b = binary.AppendUvarint(b, uint64(c.At))
	}
	for _, timestamp := range []int64{r.ClearedAt, r.QuarantinedAt, r.Until} {
		b = binary.AppendUvarint(b, uint64(timestamp))
	}
	return b
}

// Sum returns a hash of the encoded record, for detecting changes.
func (r *Record) Sum() uint64 { return xxhash.Sum64(r.Append(nil)) }

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode reads a sequence of records that were encoded with Append. If any of
// them is malformed it returns ErrRecord and no records.
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

// decoder decodes records. After malformed input, failed is set and all later reads
// return zero values.
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
	crashes := d.number()
	if crashes > maxCrashes {
		d.failed, d.rest = true, nil
		return r
	}
	for range crashes {
		c := CrashReport{Crash: Crash{Upstream: model.UpstreamID(d.text())}}
		c.Crash.Incarnation = model.Incarnation(d.number())
		c.At = int64(d.number())
		r.Crashes = append(r.Crashes, c)
	}
	r.ClearedAt, r.QuarantinedAt, r.Until = int64(d.number()), int64(d.number()), int64(d.number())
	return r
}

// normalizeCrashes sorts the crashes and keeps only the oldest maxCrashes. The
// sorted order does not depend on the order of arrival. Newer crashes are dropped
// because each of them would delay the quarantine by another reportDelay. A
// request that keeps crashing upstreams would then never be quarantined.
func (r *Record) normalizeCrashes() {
	slices.SortFunc(r.Crashes, CrashReport.compare)
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
}
