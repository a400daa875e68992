package lifecycle

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Identity is what the process at the address of the upstream has just said of itself. The zero value means
// that it has not responded, or not said who it is.
type Identity struct {
	// ID is the id of the process.
	ID model.UpstreamID
	// Leaving is set if the process said that it is leaving.
	Leaving bool
}

// NeedsIdentity reports whether the process at the address has to be asked who it is before a report is
// observed. A report may be late, or come from another writer than the upstream. It must not take the place of
// an incarnation that lives, nor revive one that has left.
func (t *Tracker) NeedsIdentity(r Report) bool {
	switch {
	case r.State != Ready || t.hasDepartedSurely(r.Incarnation):
		return false
	case t.current.State == Unknown || t.hasDeparted(r.Incarnation):
		return true
	default:
		return r.ID != t.current.ID && (t.current.State == Ready || !t.supersedes(r))
	}
}

// Settle applies a report for which NeedsIdentity holds, and returns its effect. If the process at the address
// has responded, its word decides. Otherwise the report of an incarnation that has departed is refused, a first
// report is believed, and another one replaces the current incarnation if it is newer by its start time. Without
// start times it does so once the current incarnation is silent, that is, has not reported for some time.
// A replaced incarnation counts as departed only if the process at the address is the new one.
func (t *Tracker) Settle(r Report, responding Identity, silent bool) Effect {
	if responding.ID != "" {
		return t.settleByIdentity(r, responding)
	}
	ordered := r.Born != 0 && t.current.Born != 0
	switch {
	case t.hasDeparted(r.Incarnation):
		return Stale
	case t.current.State == Unknown, ordered && t.supersedes(r), !ordered && silent:
		t.current = r
		return Started
	default:
		return Stale
	}
}

// settleByIdentity applies a report by what the process at the address has said.
func (t *Tracker) settleByIdentity(r Report, responding Identity) Effect {
	switch {
	case responding.ID != r.ID:
		return Stale
	case responding.Leaving:
		t.forgetUnknownStart(r.ID)
		t.markDeparted(r.Incarnation)
		return Stale
	}
	t.forgetUnknownStart(r.ID)
	if t.current.State != Unknown && t.current.ID != r.ID {
		t.markDeparted(t.current.Incarnation)
	}
	t.current = r
	return Started
}

// hasDepartedSurely reports whether an incarnation has departed, and not only another one of the same id whose
// start time is unknown.
func (t *Tracker) hasDepartedSurely(i Incarnation) bool {
	for _, d := range t.departed {
		if d.ID == i.ID && (d.Born == i.Born || i.Born == 0) {
			return true
		}
	}
	return false
}

// forgetUnknownStart removes the departed incarnation of an id whose start time is unknown.
func (t *Tracker) forgetUnknownStart(id model.UpstreamID) {
	unknown := Incarnation{ID: id}
	t.departed = slices.DeleteFunc(t.departed, func(d Incarnation) bool { return d == unknown })
}
