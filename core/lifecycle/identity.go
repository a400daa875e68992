package lifecycle

import "github.com/dottereltiller/dottereltiller/core/model"

// Identity is what the process at the address of the upstream has just said of itself. The zero value means
// that it has not responded, or not said who it is.
type Identity struct {
	// ID is the id of the process.
	ID model.UpstreamID
	// Leaving is set if the process said that it is leaving.
	Leaving bool
	// Unhealthy is set if the process said that it is not healthy. It may be leaving then.
	Unhealthy bool
	// AskedAt is when the process was asked.
	AskedAt Moment
}

// NeedsIdentity reports whether the process at the address has to be asked who it is before a report is
// observed. A report may be late, or come from another writer than the upstream. It must not take the place of
// an incarnation that lives, nor revive one that has left.
func (t *Tracker) NeedsIdentity(r Report, now Moment) bool {
	switch {
	case r.State != Ready:
		return false
	case t.hasDeparted(r.Incarnation):
		return t.mayHaveStartedAgain(r.Incarnation, now)
	case t.current.State == Unknown:
		return true
	case r.ID == t.current.ID:
		return t.startedEarlier(r) && t.isSilent(now)
	default:
		return t.current.State == Ready || !t.supersedes(r)
	}
}

// startedEarlier reports whether a report comes from an incarnation that started before the current one.
func (t *Tracker) startedEarlier(r Report) bool { return r.Born != 0 && r.Born < t.current.Born }

// Settle applies a report for which NeedsIdentity holds, and returns its effect. If the process at the address
// has responded, its word decides. Otherwise the report of an incarnation that has departed is refused, a first
// report is believed, and another one replaces the current incarnation if it is newer by its start time. Without
// start times it does so once the current incarnation is silent.
// A replaced incarnation counts as departed only if the process at the address is the new one.
func (t *Tracker) Settle(r Report, responding Identity, now Moment) Effect {
	effect := Stale
	switch responding.ID {
	case r.ID:
		effect = t.settleConfirmed(r, responding, now)
	case "":
		effect = t.settleUnanswered(r, now)
	}
	t.noteReport(r, now)
	return effect
}

// settleUnanswered applies a report while the process at the address does not respond.
func (t *Tracker) settleUnanswered(r Report, now Moment) Effect {
	ordered := r.Born != 0 && t.current.Born != 0
	switch {
	case t.hasDeparted(r.Incarnation):
		return Stale
	case t.current.State == Unknown, ordered && t.supersedes(r), !ordered && t.isSilent(now):
		return t.replaceCurrent(r, now)
	default:
		return Stale
	}
}

// settleConfirmed applies a report whose id the process at the address has confirmed. The process may be another
// incarnation than that of the report. If it is leaving, so are all that had started when it was asked. After a start of
// the daemon, a process that is not healthy may have left before, so its first report has to be repeated
// for as long as reports may be late.
func (t *Tracker) settleConfirmed(r Report, responding Identity, now Moment) Effect {
	switch {
	case responding.Leaving:
		if t.depart(Departure{Incarnation: Incarnation{ID: r.ID}, Through: responding.AskedAt.Unix}, Draining, now) {
			return Changed
		}
		return Stale
	case responding.Unhealthy && t.hasDeparted(r.Incarnation):
		return Stale
	case responding.Unhealthy && t.current.State == Unknown && now.Steady <= model.Instant(DepartureHold):
		return Stale
	}
	t.lapse(r.Incarnation)
	if t.current.State != Unknown && t.current.ID != r.ID {
		t.departCurrent(now)
	}
	return t.replaceCurrent(r, now)
}
