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
	// maxCrashes bounds the deaths remembered of one request.
	maxCrashes = 4
	// maxQuarantinedTogether is the largest number of requests that may be condemned for
	// the same deaths.
	maxQuarantinedTogether = 3
	// maxRequestBytes bounds Record.Request, in bytes.
	maxRequestBytes = 120
	// retention is how long a record is kept after its newest fact, besides the time
	// for which it is refused.
	retention = 30 * time.Minute
	// reportDelay is how long after a death the reports of what else ran there may
	// take to arrive. Nobody is condemned for a death before.
	reportDelay = 500 * time.Millisecond
	// maxClockSkew is how far in the future a peer's record may lie.
	maxClockSkew = time.Minute
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
	// unsent are the records that have unsent since Told was called for them.
	unsent map[Fingerprint]struct{}
	// version rises with every change.
	version uint64
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, records: make(map[Fingerprint]*Record), unsent: make(map[Fingerprint]struct{})}
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
func (t *Table) Died(now int64, f Fingerprint, req Request, d Death) {
	text := req.Method + " " + req.Target
	t.Merge(now, Record{
		Fingerprint: f, Service: req.Service, Caller: req.Caller, Request: text[:min(len(text), maxRequestBytes)],
		Deaths: []CrashReport{{Crash: d, At: now}},
	})
}

// Settle condemns the requests that ran in enough deaths, once these have
// settled. It is called several times a second.
func (t *Table) Settle(now int64) {
	var candidates []*Record
	for _, r := range t.records {
		if t.isDue(now, r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	for _, r := range candidates {
		if t.isDue(now, r) {
			t.quarantine(r)
		}
	}
}

// isDue reports whether a request ran in enough deaths that have settled.
func (t *Table) isDue(now int64, r *Record) bool {
	enough := len(r.Deaths) >= max(t.opts.Rule(r.Service).Deaths, 1)
	return enough && !r.Refused(now) && now >= r.lastUpdate()+reportDelay.Milliseconds()
}

// Answered tells that a request was answered in full, which clears it of the
// deaths so far. A request that is refused stays so.
func (t *Table) Answered(now int64, f Fingerprint) {
	if r := t.records[f]; r != nil && !r.Refused(now) && len(r.pruneCleared()) > 0 {
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
	t.clear(max(now, r.QuarantinedAt), r)
	return true
}

func (t *Table) clear(at int64, r *Record) {
	r.ClearedAt = at
	r.pruneCleared()
	t.markChanged(r)
}

// markChanged notes that a record has changed.
func (t *Table) markChanged(r *Record) {
	t.unsent[r.Fingerprint] = struct{}{}
	t.version++
}

// remove takes a record out.
func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	delete(t.unsent, f)
	t.version++
}

// Changed returns the records that have changed since Told was called for them, those
// that matter most first.
func (t *Table) Changed() []Record {
	out := make([]Record, 0, len(t.unsent))
	for f := range t.unsent {
		out = append(out, t.records[f].clone())
	}
	slices.SortFunc(out, func(a, b Record) int { return a.comparePriority(&b) })
	return out
}

// Told takes in that others have been told of a record's last change.
func (t *Table) Told(f Fingerprint) { delete(t.unsent, f) }

// List returns the records, newest first. The requests that are refused are
// those whose Refused says so.
func (t *Table) List() []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.clone())
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.lastUpdate(), a.lastUpdate()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out
}

// Expire drops records that are of no use any more.
func (t *Table) Expire(now int64) {
	for f, r := range t.records {
		if r.expired(now) {
			t.remove(f)
		}
	}
}

// Merge takes in a record of this daemon or another. It reports whether that
// changed anything. Records from the future are not taken in.
func (t *Table) Merge(now int64, in Record) bool {
	if in.lastUpdate() > now+maxClockSkew.Milliseconds() {
		return false
	}
	r := t.records[in.Fingerprint]
	if r == nil {
		if r = t.add(now, in); r == nil {
			return false
		}
	}
	in.Deaths = t.unexplained(now, in)
	if !r.mergeFrom(in) {
		return false
	}
	t.markChanged(r)
	return true
}

// unexplained returns the deaths of a record that no other refused request of
// the service explains.
func (t *Table) unexplained(now int64, in Record) []CrashReport {
	var out []CrashReport
	for _, d := range in.Deaths {
		explained := false
		for _, r := range t.records {
			other := r.Service == in.Service && r.Fingerprint != in.Fingerprint
			explained = explained || other && r.Refused(now) && r.hasCrash(d.Crash)
		}
		if !explained {
			out = append(out, d)
		}
	}
	return out
}

// mergeFrom joins what another record of the same request says.
func (r *Record) mergeFrom(in Record) bool {
	changed := false
	if in.ClearedAt > r.ClearedAt {
		r.ClearedAt, changed = in.ClearedAt, true
	}
	if in.QuarantinedAt > r.QuarantinedAt {
		r.QuarantinedAt, r.Until, changed = in.QuarantinedAt, in.Until, true
	}
	for _, d := range in.Deaths {
		i := slices.IndexFunc(r.Deaths, func(s CrashReport) bool { return s.Crash == d.Crash })
		switch {
		case i >= 0 && d.At > r.Deaths[i].At:
			r.Deaths[i].At, changed = d.At, true
		case i < 0 && d.At > r.ClearedAt && r.shouldKeep(d):
			r.Deaths, changed = append(r.Deaths, d), true
		}
	}
	r.pruneCleared()
	r.normalizeCrashes()
	return changed
}

// shouldKeep reports whether a death is among the oldest that count.
func (r *Record) shouldKeep(d CrashReport) bool {
	return len(r.Deaths) < maxCrashes || d.compare(slices.MaxFunc(r.Deaths, CrashReport.compare)) < 0
}

func (t *Table) add(now int64, in Record) *Record {
	if len(t.records) >= maxRecords && !t.evict(now, &in) {
		return nil
	}
	r := &Record{Fingerprint: in.Fingerprint, Service: in.Service, Caller: in.Caller, Request: in.Request[:min(len(in.Request), maxRequestBytes)]}
	t.records[in.Fingerprint] = r
	return r
}

// evict makes room for a record. It reports false where that one matters least, so that
// full tables agree on what they hold.
func (t *Table) evict(now int64, in *Record) bool {
	var least *Record
	for _, r := range t.records {
		if !r.Refused(now) && (least == nil || r.comparePriority(least) > 0) {
			least = r
		}
	}
	if least == nil || in.comparePriority(least) > 0 {
		return false
	}
	t.remove(least.Fingerprint)
	return true
}

// quarantine condemns a request that ran in enough deaths, and those that ran in all
// of them beside it, unless they are too many to tell apart.
func (t *Table) quarantine(r *Record) {
	rule := t.opts.Rule(r.Service)
	suspects := t.inSameCrashes(r)
	if len(suspects) > maxQuarantinedTogether {
		return
	}
	explained := slices.Clone(r.Deaths)
	for _, s := range suspects {
		for _, d := range s.Deaths {
			s.QuarantinedAt = max(s.QuarantinedAt, d.At)
		}
		s.Until = s.QuarantinedAt + rule.Duration.Milliseconds()
		t.markChanged(s)
	}
	t.removeCrashes(r.Service, explained, suspects)
}

// inSameCrashes returns the requests of the service that ran in every death that r
// ran in, r among them.
func (t *Table) inSameCrashes(r *Record) []*Record {
	var out []*Record
	for _, o := range t.records {
		if o.Service != r.Service {
			continue
		}
		if !slices.ContainsFunc(r.Deaths, func(d CrashReport) bool { return !o.hasCrash(d.Crash) }) {
			out = append(out, o)
		}
	}
	return out
}

// removeCrashes strikes explained deaths off all but the guilty.
func (t *Table) removeCrashes(s model.ServiceName, explained []CrashReport, quarantined []*Record) {
	for _, r := range t.records {
		if r.Service != s || slices.Contains(quarantined, r) {
			continue
		}
		r.Deaths = slices.DeleteFunc(r.Deaths, func(d CrashReport) bool {
			return slices.ContainsFunc(explained, func(e CrashReport) bool { return e.Crash == d.Crash })
		})
	}
}
