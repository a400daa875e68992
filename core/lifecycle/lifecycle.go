package lifecycle

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// State is the lifecycle state of an incarnation. It only moves forward, in the
// order of the constants.
type State uint8

// The states.
const (
	// Unknown means that no report has been received.
	Unknown State = iota
	// Ready upstreams accept requests.
	Ready
	// Draining upstreams finish their current requests and accept no new ones.
	Draining
	// Gone upstreams have announced that they leave permanently.
	Gone
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Incarnation identifies one run of an upstream process.
type Incarnation struct {
	ID model.UpstreamID
	// Born is the start time of the process in Unix milliseconds, by the clock
	// of its VM. Zero means unknown.
	Born int64
}

// Matches reports whether i and j may be the same incarnation. An unknown start time
// matches any.
func (i Incarnation) Matches(j Incarnation) bool {
	return i.ID == j.ID && (i.Born == j.Born || i.Born == 0 || j.Born == 0)
}

// Report is a status report of an upstream about itself.
type Report struct {
	Incarnation
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	State    State
	Service  model.ServiceName
	Zone     model.AvailabilityZone
	Address  string
	// Slots is the number of requests that the upstream runs concurrently. Zero
	// means unknown.
	Slots int
	// WarmupLeft is the remaining warm-up time. An upstream is slow during the
	// warm-up after its start.
	WarmupLeft time.Duration
}

// Effect tells what a report or a call of Leave has changed in a Tracker.
type Effect uint8

// The effects of a report.
const (
	// Stale reports are out of date and were ignored. Leave also returns Stale
	// when the state of the current incarnation did not change.
	Stale Effect = iota
	// Same reports changed neither the state nor the slots.
	Same
	// Changed reports changed the state of the current incarnation or its slots.
	Changed
	// Started reports are the first report of an incarnation that became the
	// current one.
	Started
	// Refused reports claim that an upstream is ready that is not the current one. They were ignored.
	Refused
)

// String returns the name of the effect as used in logs.
func (e Effect) String() string {
	switch e {
	case Same:
		return "same"
	case Changed:
		return "changed"
	case Started:
		return "started"
	case Refused:
		return "refused"
	default:
		return "stale"
	}
}

// maxReportSilence is how long the current incarnation may go without a report before another one may replace it
// whose start time does not show that it is later.
const maxReportSilence = 5 * time.Second

// Tracker holds the lifecycle state of the upstream at one address. It is not
// safe for concurrent use. The zero value is an empty Tracker, ready to use.
type Tracker struct {
	// current is the newest report.
	current Report
	// currentSince is when the current incarnation has become that one, reportedAt when its last report arrived.
	currentSince, reportedAt model.Instant
	// departed holds the departures in the order in which they were first stated.
	departed []Departure
}

// Current returns the newest report. Its State is Unknown when no report has
// been received.
func (t *Tracker) Current() Report { return t.current }

// Observe applies a report that has arrived now, and for which NeedsIdentity does not hold. It returns the effect.
// It ignores a stale report.
func (t *Tracker) Observe(r Report, now Moment) Effect {
	effect := t.observe(r, now)
	t.noteReport(r, now)
	return effect
}

func (t *Tracker) observe(r Report, now Moment) Effect {
	switch {
	case r.State > Ready:
		return t.observeDeparture(r, now)
	case t.hasDeparted(r.Incarnation):
		return Stale
	case t.current.State == Unknown:
		return t.replaceCurrent(r, now)
	}
	if t.current.State == Ready && r.ID == t.current.ID && t.current.Born == 0 {
		// The incarnation was known only from a health check response.
		t.current.Born = r.Born
	}
	switch {
	case r.Incarnation == t.current.Incarnation:
		return t.update(r)
	case !t.supersedes(r):
		return Stale
	default:
		t.departCurrent(now)
		return t.replaceCurrent(r, now)
	}
}

// observeDeparture applies a report of an incarnation that is leaving. It binds the incarnation also if a report with
// a higher sequence number has arrived before: no incarnation that is leaving becomes ready again. The report of
// another id does not end an incarnation that is ready.
func (t *Tracker) observeDeparture(r Report, now Moment) Effect {
	known := t.hasDeparted(r.Incarnation)
	laterStart := r.ID == t.current.ID && t.current.Born != 0 && r.Born > t.current.Born
	changed := t.depart(t.departureOf(r.Incarnation, now), r.State, now)
	switch {
	case t.current.State == Unknown:
		return t.replaceCurrent(r, now)
	case known && !changed:
		return Stale
	case laterStart, r.ID != t.current.ID && t.current.State > Ready && t.supersedes(r):
		return t.replaceCurrent(r, now)
	case changed:
		t.current.Sequence, t.current.Slots = max(r.Sequence, t.current.Sequence), r.Slots
		return Changed
	default:
		return Stale
	}
}

// noteReport records when the current incarnation has reported.
func (t *Tracker) noteReport(r Report, now Moment) {
	if r.Incarnation == t.current.Incarnation {
		t.reportedAt = now.Steady
	}
}

// isSilent reports whether the current incarnation has not reported for some time.
func (t *Tracker) isSilent(now Moment) bool { return now.Steady.Sub(t.reportedAt) > maxReportSilence }

// replaceCurrent makes the incarnation of a report the current one.
func (t *Tracker) replaceCurrent(r Report, now Moment) Effect {
	t.current, t.currentSince = r, now.Steady
	return Started
}

// departCurrent records that the current incarnation has departed, as another one has taken its place.
func (t *Tracker) departCurrent(now Moment) {
	if !t.hasDeparted(t.current.Incarnation) {
		t.record(t.departureOf(t.current.Incarnation, now), now)
	}
}

// Leave records the statement, which has arrived now, that an incarnation leaves permanently. It returns Changed if
// the state of the current incarnation became Gone, and Stale otherwise. If Born is zero, the statement concerns the
// incarnations of the id that had started by now.
func (t *Tracker) Leave(i Incarnation, now Moment) Effect {
	if t.depart(t.departureOf(i, now), Gone, now) {
		return Changed
	}
	return Stale
}

// Drain records that an upstream has stated, in a response, that it is leaving. i is the incarnation that the request was
// meant for, sent is when the request was sent. The process that responds had started by then. Drain returns
// Changed if the current incarnation became draining, and Same otherwise.
func (t *Tracker) Drain(i Incarnation, sent, now Moment) Effect {
	if i.Born == 0 && i.ID == t.current.ID && t.currentSince <= sent.Steady {
		i.Born = t.current.Born
	}
	if t.depart(Departure{Incarnation: i, Through: sent.Unix}, Draining, now) {
		return Changed
	}
	return Same
}

// Restore adds departures that other daemons have stored. If the current incarnation is among them and ready, it
// becomes draining, and Restore returns Changed. Otherwise Restore returns Same.
func (t *Tracker) Restore(departed []Departure, now Moment) Effect {
	effect := Same
	for _, d := range departed {
		if d.Born == 0 && d.Through == 0 {
			// Earlier versions do not state when the upstream has left.
			d.Through = now.Unix
		}
		if t.restoreOne(Departure{Incarnation: d.Incarnation, Through: d.Through}, now) {
			effect = Changed
		}
	}
	return effect
}

// restoreOne adds a departure that another daemon has stored. A departure that has lapsed here stays so.
func (t *Tracker) restoreOne(d Departure, now Moment) bool {
	t.record(d, now)
	if t.current.State != Ready || !t.hasDeparted(t.current.Incarnation) {
		return false
	}
	return t.depart(d, Draining, now)
}

// update applies a report of the current incarnation.
func (t *Tracker) update(r Report) Effect {
	if r.Sequence <= t.current.Sequence {
		return Stale
	}
	changed := r.Slots != t.current.Slots
	t.current = r
	if changed {
		return Changed
	}
	return Same
}

// supersedes reports whether a report comes from a newer incarnation than the current one. The later start time is
// newer. If either start time is unknown, an incarnation with a different id counts as newer, and so does one of the
// same id that has not departed if the current one has.
func (t *Tracker) supersedes(r Report) bool {
	if r.Born != 0 && t.current.Born != 0 {
		return r.Born > t.current.Born
	}
	return r.ID != t.current.ID || t.current.State > Ready && !t.hasDeparted(r.Incarnation)
}
