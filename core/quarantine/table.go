package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// maxRecords bounds the records of a Table. When full, the record that
	// matters least makes room: never one that is refused, else the one with
	// the fewest deaths, the oldest first. A Table of refused records takes no
	// others in.
	maxRecords = 1024
	// maxDeaths bounds the deaths remembered of one request.
	maxDeaths = 4
	// maxTogether is the largest number of requests that may be condemned for
	// the same deaths.
	maxTogether = 3
	// maxRequest bounds Record.Request, in bytes.
	maxRequest = 120
	// keep is how long a record is kept after its newest fact, besides the time
	// for which it is refused.
	keep = 30 * time.Minute
	// settle is how long after a death the reports of what else ran there may
	// take to arrive. Nobody is condemned for a death before.
	settle = 500 * time.Millisecond
	// ahead is how far in the future a peer's record may lie.
	ahead = time.Minute
)

// Options configure a Table.
type Options struct {
	// Rule returns the rule of a service.
	Rule func(model.ServiceName) Rule
}

// Table holds what is known of requests that kill. Times are Unix milliseconds.
// It is not safe for concurrent use.
type Table struct {
	opts    Options
	records map[Fingerprint]*Record
	// changed are the records that have changed since Told was called for them.
	changed map[Fingerprint]struct{}
	// version rises with every change.
	version uint64
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, records: make(map[Fingerprint]*Record), changed: make(map[Fingerprint]struct{})}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Version rises with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Refused reports until when a request is refused.
func (t *Table) Refused(now int64, f Fingerprint) (until int64, ok bool) {
	r := t.records[f]
	if r == nil || !r.Refused(now) {
		return 0, false
	}
	return r.Until, true
}

// Died tells that an upstream died while it ran a request. Settle decides what
// follows from it.
func (t *Table) Died(now int64, f Fingerprint, r Request, d Death) {
	text := r.Method + " " + r.Target
	t.Merge(now, Record{
		Fingerprint: f, Service: r.Service, Caller: r.Caller, Request: text[:min(len(text), maxRequest)],
		Deaths: []Suspicion{{Death: d, At: now}},
	})
}

// Settle condemns the requests that ran in enough deaths, once these have
// settled. It is called several times a second.
func (t *Table) Settle(now int64) {
	var candidates []*Record
	for _, r := range t.records {
		if t.due(now, r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	for _, r := range candidates {
		if t.due(now, r) {
			t.judge(r)
		}
	}
}

// due reports whether a request ran in enough deaths that have settled.
func (t *Table) due(now int64, r *Record) bool {
	enough := len(r.Deaths) >= max(t.opts.Rule(r.Service).Deaths, 1)
	return enough && !r.Refused(now) && now >= r.newest()+settle.Milliseconds()
}

// Answered tells that a request was answered in full, which clears it of the
// deaths so far. A request that is refused stays so.
func (t *Table) Answered(now int64, f Fingerprint) {
	if r := t.records[f]; r != nil && !r.Refused(now) && len(r.counted()) > 0 {
		t.clear(now, r)
	}
}

// Release frees a request by an operator's word. It reports false when the
// request is not known.
func (t *Table) Release(now int64, f Fingerprint) bool {
	r := t.records[f]
	if r == nil {
		return false
	}
	t.clear(max(now, r.Condemned), r)
	return true
}

func (t *Table) clear(at int64, r *Record) {
	r.Cleared = at
	r.counted()
	t.change(r)
}

// change notes that a record has changed.
func (t *Table) change(r *Record) {
	t.changed[r.Fingerprint] = struct{}{}
	t.version++
}

// drop takes a record out.
func (t *Table) drop(f Fingerprint) {
	delete(t.records, f)
	delete(t.changed, f)
	t.version++
}

// Changed returns the records that have changed since Told was called for them, those
// that matter most first.
func (t *Table) Changed() []Record {
	out := make([]Record, 0, len(t.changed))
	for f := range t.changed {
		out = append(out, t.records[f].clone())
	}
	slices.SortFunc(out, func(a, b Record) int { return a.compare(&b) })
	return out
}

// Told takes in that others have been told of a record's last change.
func (t *Table) Told(f Fingerprint) { delete(t.changed, f) }

// List returns the records, newest first. The requests that are refused are
// those whose Refused says so.
func (t *Table) List() []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.clone())
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.newest(), a.newest()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out
}

// Expire drops records that are of no use any more.
func (t *Table) Expire(now int64) {
	for f, r := range t.records {
		if r.useless(now) {
			t.drop(f)
		}
	}
}

// Merge takes in a record of this daemon or another. It reports whether that
// changed anything. Records from the future are not taken in.
func (t *Table) Merge(now int64, in Record) bool {
	if in.newest() > now+ahead.Milliseconds() {
		return false
	}
	r := t.records[in.Fingerprint]
	if r == nil {
		if r = t.add(now, in); r == nil {
			return false
		}
	}
	in.Deaths = t.unexplained(now, in)
	if !r.take(in) {
		return false
	}
	t.change(r)
	return true
}

// unexplained returns the deaths of a record that no other refused request of
// the service explains.
func (t *Table) unexplained(now int64, in Record) []Suspicion {
	var out []Suspicion
	for _, d := range in.Deaths {
		explained := false
		for _, r := range t.records {
			other := r.Service == in.Service && r.Fingerprint != in.Fingerprint
			explained = explained || other && r.Refused(now) && r.has(d.Death)
		}
		if !explained {
			out = append(out, d)
		}
	}
	return out
}

// take joins what another record of the same request says.
func (r *Record) take(in Record) bool {
	changed := false
	if in.Cleared > r.Cleared {
		r.Cleared, changed = in.Cleared, true
	}
	if in.Condemned > r.Condemned {
		r.Condemned, r.Until, changed = in.Condemned, in.Until, true
	}
	for _, d := range in.Deaths {
		i := slices.IndexFunc(r.Deaths, func(s Suspicion) bool { return s.Death == d.Death })
		switch {
		case i >= 0 && d.At > r.Deaths[i].At:
			r.Deaths[i].At, changed = d.At, true
		case i < 0 && d.At > r.Cleared && r.remembers(d):
			r.Deaths, changed = append(r.Deaths, d), true
		}
	}
	r.counted()
	r.settleOrder()
	return changed
}

// remembers reports whether a death is among the oldest that count.
func (r *Record) remembers(d Suspicion) bool {
	return len(r.Deaths) < maxDeaths || d.compare(slices.MaxFunc(r.Deaths, Suspicion.compare)) < 0
}

func (t *Table) add(now int64, in Record) *Record {
	if len(t.records) >= maxRecords && !t.evict(now, &in) {
		return nil
	}
	r := &Record{Fingerprint: in.Fingerprint, Service: in.Service, Caller: in.Caller, Request: in.Request[:min(len(in.Request), maxRequest)]}
	t.records[in.Fingerprint] = r
	return r
}

// evict makes room for a record. It reports false where that one matters least, so that
// full tables agree on what they hold.
func (t *Table) evict(now int64, in *Record) bool {
	var least *Record
	for _, r := range t.records {
		if !r.Refused(now) && (least == nil || r.compare(least) > 0) {
			least = r
		}
	}
	if least == nil || in.compare(least) > 0 {
		return false
	}
	t.drop(least.Fingerprint)
	return true
}

// judge condemns a request that ran in enough deaths, and those that ran in all
// of them beside it, unless they are too many to tell apart.
func (t *Table) judge(r *Record) {
	rule := t.opts.Rule(r.Service)
	together := t.together(r)
	if len(together) > maxTogether {
		return
	}
	explained := slices.Clone(r.Deaths)
	for _, guilty := range together {
		for _, d := range guilty.Deaths {
			guilty.Condemned = max(guilty.Condemned, d.At)
		}
		guilty.Until = guilty.Condemned + rule.Duration.Milliseconds()
		t.change(guilty)
	}
	t.free(r.Service, explained, together)
}

// together returns the requests of the service that ran in every death that r
// ran in, r among them.
func (t *Table) together(r *Record) []*Record {
	var out []*Record
	for _, o := range t.records {
		if o.Service != r.Service {
			continue
		}
		if !slices.ContainsFunc(r.Deaths, func(d Suspicion) bool { return !o.has(d.Death) }) {
			out = append(out, o)
		}
	}
	return out
}

// free strikes explained deaths off all but the guilty.
func (t *Table) free(s model.ServiceName, explained []Suspicion, guilty []*Record) {
	for _, r := range t.records {
		if r.Service != s || slices.Contains(guilty, r) {
			continue
		}
		r.Deaths = slices.DeleteFunc(r.Deaths, func(d Suspicion) bool {
			return slices.ContainsFunc(explained, func(e Suspicion) bool { return e.Death == d.Death })
		})
	}
}
