package claims

import (
	"encoding/binary"
	"errors"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ErrRecord is returned for bytes that are not a valid record of a known version.
var ErrRecord = errors.New("claims record cannot be read")

const (
	recordVersion = 1

	kindGrant      = 1
	kindTransfer   = 2
	kindCheckpoint = 3

	// maxItems is the maximum length of each list and each string in a record.
	maxItems = 1 << 16
)

// Encode returns the versioned binary encoding of the record. It panics if no field
// of the record is set.
func (r Record) Encode() []byte {
	var w writer
	w.byte(recordVersion)
	switch {
	case r.Grant != nil:
		w.byte(kindGrant)
		w.grant(r.Grant)
	case r.Transfer != nil:
		w.byte(kindTransfer)
		w.uint(r.Transfer.From)
		w.owner(r.Transfer.To)
	case r.Checkpoint != nil:
		w.byte(kindCheckpoint)
		w.checkpoint(r.Checkpoint)
	default:
		panic("claims: empty record")
	}
	return w.b
}

// DecodeRecord decodes a record encoded by Encode. For any other input it returns
// ErrRecord.
func DecodeRecord(b []byte) (Record, error) {
	r := reader{b: b}
	if r.byte() != recordVersion {
		return Record{}, ErrRecord
	}
	var rec Record
	switch r.byte() {
	case kindGrant:
		rec.Grant = r.grant()
	case kindTransfer:
		rec.Transfer = &Transfer{From: r.uint(), To: r.owner()}
	case kindCheckpoint:
		rec.Checkpoint = r.checkpoint()
	default:
		r.failed = true
	}
	if r.failed || len(r.b) > 0 {
		return Record{}, ErrRecord
	}
	return rec, nil
}

type writer struct{ b []byte }

func (w *writer) byte(v byte)   { w.b = append(w.b, v) }
func (w *writer) uint(v uint64) { w.b = binary.AppendUvarint(w.b, v) }

func (w *writer) owner(o Owner) {
	w.uint(uint64(len(o.Daemon)))
	w.b = append(w.b, o.Daemon...)
	w.uint(o.Incarnation)
}

func (w *writer) grant(g *Grant) {
	w.owner(g.Owner)
	w.uint(uint64(g.Until))
	w.uint(uint64(len(g.Extensions)))
	for _, e := range g.Extensions {
		w.uint(uint64(e.Range))
		w.uint(uint64(g.Until - e.Base))
	}
}

func (w *writer) checkpoint(c *Checkpoint) {
	w.uint(c.Offset)
	owners, indexByOwner := ownersOf(c)
	w.uint(uint64(len(owners)))
	for _, o := range owners {
		w.owner(o)
	}
	w.uint(uint64(len(c.Ranges)))
	for _, s := range c.Ranges {
		w.uint(uint64(s.Frontier))
		w.uint(uint64(len(s.Intervals)))
		for _, i := range s.Intervals {
			w.uint(uint64(i.From))
			w.uint(uint64(i.Until))
			w.uint(uint64(indexByOwner[i.Owner]))
			w.uint(uint64(len(i.PriorOwners)))
			for _, incarnation := range i.PriorOwners {
				w.uint(incarnation)
			}
		}
	}
}

// ownersOf returns the distinct owners of a checkpoint in order of appearance, and
// the index of each owner in this list.
func ownersOf(c *Checkpoint) ([]Owner, map[Owner]int) {
	var owners []Owner
	indexByOwner := make(map[Owner]int)
	for _, s := range c.Ranges {
		for _, i := range s.Intervals {
			if _, ok := indexByOwner[i.Owner]; !ok {
				indexByOwner[i.Owner] = len(owners)
				owners = append(owners, i.Owner)
			}
		}
	}
	return owners, indexByOwner
}

// reader decodes the fields of a record. When the input is malformed, failed is set
// and all decoded values must be discarded.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.failed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

// count reads the length of the list or string that follows in the input. Each item
// takes at least one byte, so a length larger than the remaining input is malformed.
// For a malformed length, count sets failed and returns 0.
func (r *reader) count() int {
	n := r.uint()
	if n > maxItems || n > uint64(len(r.b)) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *reader) owner() Owner {
	n := r.count()
	name := string(r.b[:n])
	r.b = r.b[n:]
	return Owner{Daemon: model.DaemonID(name), Incarnation: r.uint()}
}

func (r *reader) grant() *Grant {
	g := &Grant{Owner: r.owner(), Until: Stamp(r.uint())}
	for range r.count() {
		e := Extension{Range: Range(r.uint())}
		length := Stamp(r.uint())
		if length > g.Until {
			r.failed = true
			return g
		}
		e.Base = g.Until - length
		g.Extensions = append(g.Extensions, e)
	}
	return g
}

func (r *reader) checkpoint() *Checkpoint {
	c := &Checkpoint{Offset: r.uint()}
	var owners []Owner
	for range r.count() {
		owners = append(owners, r.owner())
	}
	for range r.count() {
		s := RangeState{Frontier: Stamp(r.uint())}
		for range r.count() {
			s.Intervals = append(s.Intervals, r.interval(owners))
		}
		c.Ranges = append(c.Ranges, s)
	}
	return c
}

func (r *reader) interval(owners []Owner) Interval {
	i := Interval{From: Stamp(r.uint()), Until: Stamp(r.uint())}
	ownerIndex := r.uint()
	if ownerIndex >= uint64(len(owners)) {
		r.failed = true
		return i
	}
	i.Owner = owners[ownerIndex]
	for range r.count() {
		i.PriorOwners = append(i.PriorOwners, r.uint())
	}
	return i
}
