package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// maxRecords is the maximum number of records in a Table. A full Table evicts
	// the least important record (see comparePriority) to accept a new one.
	// Records of requests that were never quarantined are evicted first. Of
	// these, the record with the fewest crashes is evicted first. Of several
	// records with equally few crashes, the one whose last update is the oldest
	// is evicted first. Records under quarantine are never evicted. A full Table
	// that contains only records under quarantine accepts no others.
	maxRecords = 1024
	// maxCrashes is the maximum number of crashes stored per request.
	maxCrashes = 4
	// maxQuarantinedTogether is the maximum number of requests that may be
	// quarantined for the same crashes.
	maxQuarantinedTogether = 3
	// maxRequestBytes is the maximum length of Record.Request in bytes.
	maxRequestBytes = 120
	// retention is how long a record is kept after its last update. A record
	// under quarantine is kept at least until the quarantine ends.
	retention = 30 * time.Minute
	// reportDelay is the time allowed for the arrival of crash reports from other
	// daemons. Such reports show which other requests ran during the same crash.
	// No request is quarantined until reportDelay has passed since its last crash or
	// other update.
	reportDelay = 500 * time.Millisecond
	// maxClockSkew is how far in the future the times of a peer's record may be.
	maxClockSkew = time.Minute
)

// Options configure a Table.
type Options struct {
	// Rule returns the quarantine rule of a service.
	Rule func(model.ServiceName) Rule
}

// Table holds the records of suspected and quarantined requests. Times are Unix
// milliseconds. It is not safe for concurrent use.
type Table struct {
	opts    Options
	records map[Fingerprint]*Record
	// responses holds the requests that this daemon has recently seen answered.
	responses recentResponses
	// unsent contains the records that have changed since MarkSent was last
	// called for them.
	unsent map[Fingerprint]struct{}
	// version increases with every change.
	version uint64
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, records: make(map[Fingerprint]*Record), unsent: make(map[Fingerprint]struct{})}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Version returns a number that increases with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Refused reports whether a request is under quarantine. If it is, Refused also
// returns the end of the quarantine.
func (t *Table) Refused(now int64, f Fingerprint) (until int64, ok bool) {
	r := t.records[f]
	if r == nil || !r.Refused(now) {
		return 0, false
	}
	return r.Until, true
}

// RecordCrash records that an upstream crashed while it was running a request.
// Whether the request is quarantined is decided in Evaluate.
func (t *Table) RecordCrash(now int64, f Fingerprint, req Request, crash Crash) {
	text := req.Method + " " + req.Target
	t.Merge(now, Record{
		Fingerprint: f, Service: req.Service, Caller: req.Caller, Request: text[:min(len(text), maxRequestBytes)],
		Crashes: []CrashReport{{Crash: crash, At: now}},
	})
}

// Evaluate quarantines the requests that were running during enough crashes, once
// reportDelay has passed since the last update of their records. It must be called
// several times per second.
func (t *Table) Evaluate(now int64) {
	var candidates []*Record
	for _, r := range t.records {
		if t.isDue(now, r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	for _, r := range candidates {
		// The quarantine of an earlier candidate may have removed crashes of r.
		if t.isDue(now, r) {
			t.quarantine(r)
		}
	}
}

// isDue reports whether a request that is not yet quarantined ran during enough
// crashes, and whether reportDelay has passed since its last update.
func (t *Table) isDue(now int64, r *Record) bool {
	enoughCrashes := len(r.Crashes) >= max(t.opts.Rule(r.Service).Crashes, 1)
	return enoughCrashes && !r.Refused(now) && now >= r.lastUpdate()+reportDelay.Milliseconds()
}

// RecordResponse records that a request got a complete response. The response
// clears the crashes recorded for the request so far, and those up to
// survivalPeriod after it, whenever they are reported. It does not lift a
// quarantine.
func (t *Table) RecordResponse(now int64, f Fingerprint) {
	t.responses.add(now, f)
	if r := t.records[f]; r != nil && !r.Refused(now) && len(r.pruneCleared()) > 0 {
		t.clear(now, r)
	}
}

// Release lifts the quarantine of a request on behalf of an operator. It returns
// false if there is no record of the request.
func (t *Table) Release(now int64, f Fingerprint) bool {
	r := t.records[f]
	if r == nil {
		return false
	}
	// QuarantinedAt may come from a daemon whose clock is ahead of this one.
	t.clear(max(now, r.QuarantinedAt), r)
	return true
}

// clear sets ClearedAt of a record to the given time and removes the crashes up to that
// time. If QuarantinedAt is not later than that time, the quarantine is thereby lifted.
func (t *Table) clear(clearedAt int64, r *Record) {
	r.ClearedAt = clearedAt
	r.pruneCleared()
	t.markChanged(r)
}

// markChanged adds a changed record to those that Unsent returns.
func (t *Table) markChanged(r *Record) {
	t.unsent[r.Fingerprint] = struct{}{}
	t.version++
}

// remove deletes a record.
func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	delete(t.unsent, f)
	t.version++
}

// Unsent returns the records that have changed since MarkSent was last called for
// them, the most important first.
func (t *Table) Unsent() []Record {
	out := make([]Record, 0, len(t.unsent))
	for f := range t.unsent {
		out = append(out, t.records[f].clone())
	}
	slices.SortFunc(out, func(a, b Record) int { return a.comparePriority(&b) })
	return out
}

// MarkSent records that the current state of a record was sent to the other
// daemons.
func (t *Table) MarkSent(f Fingerprint) { delete(t.unsent, f) }

// List returns all records, the most recently updated first. Record.Refused
// reports which of them are under quarantine.
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

// Expire deletes expired records.
func (t *Table) Expire(now int64) {
	for f, r := range t.records {
		if r.expired(now) {
			t.remove(f)
		}
	}
}

// Merge merges a record into the table and reports whether anything changed. The
// record may come from this daemon or another one. Merge ignores records whose
// times, except Until, are more than maxClockSkew in the future.
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
	in.Crashes = t.unattributedCrashes(now, in)
	changed := r.mergeFrom(in)
	answered := t.applyResponse(now, r)
	if !changed && !answered {
		return false
	}
	t.markChanged(r)
	return true
}

// applyResponse takes the last response that this daemon has seen to a request into its record, if it bears on the
// crashes there. Other responses do not change the record, as each change is sent to all daemons.
func (t *Table) applyResponse(now int64, r *Record) bool {
	until := t.responses.survivedUntil(r.Fingerprint)
	if r.Refused(now) || len(r.Crashes) == 0 || until <= r.ClearedAt {
		return false
	}
	if until < r.Crashes[0].At && (r.wasAnswered(r.ClearedAt) || !r.wasAnswered(until)) {
		return false
	}
	r.ClearedAt = until
	r.pruneCleared()
	return true
}

// unattributedCrashes returns the crashes of a record that may count against its request.
// It leaves out every crash that is also in the record of another request of the
// same service if that request is already under quarantine. Such a crash is
// attributed to that other request.
func (t *Table) unattributedCrashes(now int64, in Record) []CrashReport {
	var out []CrashReport
	for _, c := range in.Crashes {
		attributed := false
		for _, r := range t.records {
			isOther := r.Service == in.Service && r.Fingerprint != in.Fingerprint
			attributed = attributed || isOther && r.Refused(now) && r.hasCrash(c.Crash)
		}
		if !attributed {
			out = append(out, c)
		}
	}
	return out
}

// mergeFrom merges another record of the same request and reports whether
// anything changed.
func (r *Record) mergeFrom(in Record) bool {
	changed := false
	if in.ClearedAt > r.ClearedAt {
		r.ClearedAt, changed = in.ClearedAt, true
	}
	if in.QuarantinedAt > r.QuarantinedAt {
		r.QuarantinedAt, r.Until, changed = in.QuarantinedAt, in.Until, true
	}
	for _, c := range in.Crashes {
		i := slices.IndexFunc(r.Crashes, func(stored CrashReport) bool { return stored.Crash == c.Crash })
		switch {
		case i >= 0 && c.At > r.Crashes[i].At:
			r.Crashes[i].At, changed = c.At, true
		case i < 0 && c.At > r.ClearedAt && r.shouldKeep(c):
			r.Crashes, changed = append(r.Crashes, c), true
		}
	}
	r.pruneCleared()
	r.normalizeCrashes()
	return changed
}

// shouldKeep reports whether a crash that is not yet in the record would be among
// its oldest maxCrashes.
func (r *Record) shouldKeep(c CrashReport) bool {
	return len(r.Crashes) < maxCrashes || c.compare(slices.MaxFunc(r.Crashes, CrashReport.compare)) < 0
}

// add creates a record for the same request as in and returns it. The new record
// has no crashes yet. add returns nil if the table is full and nothing can be
// evicted.
func (t *Table) add(now int64, in Record) *Record {
	if len(t.records) >= maxRecords && !t.evict(now, &in) {
		return nil
	}
	r := &Record{Fingerprint: in.Fingerprint, Service: in.Service, Caller: in.Caller, Request: in.Request[:min(len(in.Request), maxRequestBytes)]}
	t.records[in.Fingerprint] = r
	return r
}

// evict deletes the least important record that is not under quarantine, to make
// space for the new record. If the new record is even less important, evict
// deletes nothing and returns false. The full tables of all daemons therefore hold
// the same records.
func (t *Table) evict(now int64, in *Record) bool {
	var leastImportant *Record
	for _, r := range t.records {
		if !r.Refused(now) && (leastImportant == nil || r.comparePriority(leastImportant) > 0) {
			leastImportant = r
		}
	}
	if leastImportant == nil || in.comparePriority(leastImportant) > 0 {
		return false
	}
	t.remove(leastImportant.Fingerprint)
	return true
}

// quarantine quarantines the requests that ran during all crashes of a request, which
// may be one of them. Those that were answered less than answeredPeriod before are
// left out if there are others. If more than maxQuarantinedTogether requests remain,
// quarantine does nothing. The crashes then do not tell which request is the cause,
// and most of the requests would be refused by mistake.
func (t *Table) quarantine(r *Record) {
	rule := t.opts.Rule(r.Service)
	suspectedRequests := leaveOutAnswered(t.requestsInAllCrashesOf(r))
	if len(suspectedRequests) > maxQuarantinedTogether {
		return
	}
	crashes := slices.Clone(r.Crashes)
	for _, s := range suspectedRequests {
		for _, c := range s.Crashes {
			s.QuarantinedAt = max(s.QuarantinedAt, c.At)
		}
		s.Until = s.QuarantinedAt + rule.Duration.Milliseconds()
		t.markChanged(s)
	}
	t.removeCrashes(r.Service, crashes, suspectedRequests)
}

// requestsInAllCrashesOf returns the requests of the service, including r itself, that ran
// during every crash of r.
func (t *Table) requestsInAllCrashesOf(r *Record) []*Record {
	var out []*Record
	for _, o := range t.records {
		if o.Service != r.Service {
			continue
		}
		if !slices.ContainsFunc(r.Crashes, func(c CrashReport) bool { return !o.hasCrash(c.Crash) }) {
			out = append(out, o)
		}
	}
	return out
}

// leaveOutAnswered leaves out the requests that were answered less than answeredPeriod before their first
// crash, unless that is true of all.
func leaveOutAnswered(records []*Record) []*Record {
	var unanswered []*Record
	for _, r := range records {
		if !r.wasAnswered(r.ClearedAt) {
			unanswered = append(unanswered, r)
		}
	}
	if len(unanswered) == 0 {
		return records
	}
	return unanswered
}

// removeCrashes removes the given crashes from all records of a service
// except the quarantined ones.
func (t *Table) removeCrashes(s model.ServiceName, crashes []CrashReport, quarantined []*Record) {
	for _, r := range t.records {
		if r.Service != s || slices.Contains(quarantined, r) {
			continue
		}
		r.Crashes = slices.DeleteFunc(r.Crashes, func(c CrashReport) bool {
			return slices.ContainsFunc(crashes, func(removed CrashReport) bool { return removed.Crash == c.Crash })
		})
	}
}
