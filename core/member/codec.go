package member

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Records is a batch of records to send to another daemon or to write to the
// log.
type Records struct {
	Events   []Event
	Liveness []Liveness
}

// codecVersion is the first byte of an encoding. After it come the number of
// events, the events, the number of liveness records and the liveness records.
// Numbers are encoded as varints. The first occurrence of a string is encoded as
// a zero, the string's length and the string's bytes. Each further occurrence is
// encoded as the string's index in the list of distinct strings, counted from 1.
const codecVersion = 1

// maxStrings is the maximum number of distinct strings in one encoding.
const maxStrings = 1 << 16

// Encode returns the binary encoding of the records.
func (r Records) Encode() []byte {
	w := encoder{buf: []byte{codecVersion}, indexByString: make(map[string]uint64)}
	w.number(uint64(len(r.Events)))
	for _, e := range r.Events {
		w.event(e)
	}
	w.number(uint64(len(r.Liveness)))
	for _, l := range r.Liveness {
		w.text(string(l.Daemon))
		w.number(uint64(l.Incarnation))
		w.number(uint64(l.Health))
	}
	return w.buf
}

type encoder struct {
	buf []byte
	// indexByString holds the index of each distinct string encoded so far.
	indexByString map[string]uint64
}

func (w *encoder) number(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

func (w *encoder) text(s string) {
	if index, ok := w.indexByString[s]; ok {
		w.number(index)
		return
	}
	w.indexByString[s] = uint64(len(w.indexByString) + 1)
	w.number(0)
	w.number(uint64(len(s)))
	w.buf = append(w.buf, s...)
}

func (w *encoder) event(e Event) {
	u := e.Upstream
	w.text(string(u.ID))
	w.text(string(u.Service))
	w.text(string(u.Zone))
	w.text(string(u.Daemon))
	w.number(uint64(u.Incarnation))
	w.number(uint64(u.Slots))
	w.number(uint64(e.State))
	w.number(e.Epoch)
	w.number(uint64(e.Unix))
	w.number(uint64(len(u.Labels)))
	keys := make([]string, 0, len(u.Labels))
	for k := range u.Labels {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		w.text(k)
		w.text(u.Labels[k])
	}
}

// ErrRecords is returned for bytes that are not a valid encoding.
var ErrRecords = errors.New("membership records cannot be read")

// Decode reads an encoding made by Encode. For a malformed encoding it returns
// ErrRecords.
func Decode(data []byte) (Records, error) {
	if len(data) == 0 || data[0] != codecVersion {
		return Records{}, ErrRecords
	}
	d := decoder{rest: data[1:]}
	var r Records
	for range d.count() {
		r.Events = append(r.Events, d.event())
	}
	for range d.count() {
		l := Liveness{Daemon: model.DaemonID(d.text())}
		l.Incarnation = model.Incarnation(d.number())
		l.Health = Health(d.uint8())
		r.Liveness = append(r.Liveness, l)
	}
	if d.failed || len(d.rest) > 0 {
		return Records{}, ErrRecords
	}
	return r, nil
}

// decoder decodes records. After malformed input, failed is set and all later reads
// return zero values.
type decoder struct {
	rest []byte
	// strings holds the distinct strings decoded so far.
	strings []string
	failed  bool
}

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// count reads the number of items that follow in the input. Each item takes at
// least one byte, so a count larger than the remaining input is malformed.
func (d *decoder) count() int {
	n := d.number()
	if n > uint64(len(d.rest)) {
		d.fail()
		return 0
	}
	return int(n)
}

// uint8 reads a number that must fit in one byte.
func (d *decoder) uint8() uint8 {
	n := d.number()
	if n > 255 {
		d.fail()
		return 0
	}
	return uint8(n)
}

func (d *decoder) text() string {
	index := d.number()
	if d.failed || index > uint64(len(d.strings)) {
		d.fail()
		return ""
	}
	if index > 0 {
		return d.strings[index-1]
	}
	n := d.count()
	if d.failed || len(d.strings) >= maxStrings {
		d.fail()
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	d.strings = append(d.strings, s)
	return s
}

func (d *decoder) event() Event {
	var e Event
	u := &e.Upstream
	u.ID = model.UpstreamID(d.text())
	u.Service = model.ServiceName(d.text())
	u.Zone = model.AvailabilityZone(d.text())
	u.Daemon = model.DaemonID(d.text())
	u.Incarnation = model.Incarnation(d.number())
	slots := d.number()
	if slots > maxSlots {
		d.fail()
	}
	u.Slots = int(slots)
	e.State = State(d.uint8())
	u.Draining = e.State != Joined
	e.Epoch = d.number()
	e.Unix = int64(d.number())
	labels := d.count()
	if labels > maxLabels {
		d.fail()
		return e
	}
	if labels > 0 {
		u.Labels = make(model.Labels, labels)
	}
	for range labels {
		k := d.text()
		u.Labels[k] = d.text()
	}
	return e
}
