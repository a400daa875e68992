package lifecycle

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// DepartureHold is how long a departure without a start time binds the incarnations whose start times do not
// show that they are later. It is longer than reports are late.
const DepartureHold = 10 * time.Second

// maxDeparted is the maximum number of departures that a Tracker stores. Even a few would be enough: an address
// has one upstream at a time, and reports are late by seconds at most.
const maxDeparted = 64

// Moment is an instant by two clocks.
type Moment struct {
	// Unix is the time of day in Unix milliseconds, by the clock of the VM.
	Unix int64
	// Steady is the monotonic time of the daemon.
	Steady model.Instant
}

// Departure states that incarnations of an id have departed.
type Departure struct {
	// Incarnation has departed, and so have those of its id that started before. If its start time is unknown,
	// only Through tells which.
	Incarnation
	// Through is a time of day in Unix milliseconds, by the clock of the VM. The incarnations that had started by
	// then have departed. It is zero if the start time of Incarnation tells all.
	Through int64 `json:",omitempty"`
	// lapsed is the value of Through that counts no more, because a later start was confirmed in another way.
	lapsed int64
	// statedAt is when the Tracker has learned of Through.
	statedAt model.Instant
}

// through returns Through, or zero if it counts no more.
func (d *Departure) through() int64 {
	if d.Through <= d.lapsed {
		return 0
	}
	return d.Through
}

// covers reports whether an incarnation has departed. One whose start time is unknown has, if any of its id has.
func (d *Departure) covers(i Incarnation) bool {
	switch {
	case d.ID != i.ID:
		return false
	case d.Born == 0 && d.through() == 0:
		return false
	default:
		return i.Born <= max(d.Born, d.through())
	}
}

// isCertain reports whether an incarnation that d covers has departed by the start time that d names.
func (d *Departure) isCertain(i Incarnation) bool { return i.Born <= d.Born || i.Born == 0 }

// Departed returns the departures of which the Tracker knows.
func (t *Tracker) Departed() []Departure {
	var departed []Departure
	for _, d := range t.departed {
		if through := d.through(); d.Born != 0 || through != 0 {
			departed = append(departed, Departure{Incarnation: d.Incarnation, Through: through})
		}
	}
	return departed
}

// hasDeparted reports whether an incarnation has departed.
func (t *Tracker) hasDeparted(i Incarnation) bool {
	return slices.ContainsFunc(t.departed, func(d Departure) bool { return d.covers(i) })
}

// mayHaveStartedAgain reports whether an incarnation that counts as departed may have started later, although its
// start time does not show it.
func (t *Tracker) mayHaveStartedAgain(i Incarnation, now Moment) bool {
	return !slices.ContainsFunc(t.departed, func(d Departure) bool {
		return d.covers(i) && (d.isCertain(i) || now.Steady.Sub(d.statedAt) <= DepartureHold)
	})
}

// lapse ends the effect on an incarnation of the departures for which mayHaveStartedAgain holds.
func (t *Tracker) lapse(i Incarnation) {
	for k := range t.departed {
		if d := &t.departed[k]; d.covers(i) {
			d.lapsed = d.Through
		}
	}
}

// departureOf returns the departure of an incarnation that was stated by now. If its start time is unknown, the
// departure concerns all incarnations of the id that had started by then, the current one included.
func (t *Tracker) departureOf(i Incarnation, now Moment) Departure {
	if i.Born != 0 {
		return Departure{Incarnation: i}
	}
	if i.ID == t.current.ID {
		i.Born = t.current.Born
	}
	return Departure{Incarnation: i, Through: now.Unix}
}

// depart records a departure and changes the state of the current incarnation, if that is concerned and the state
// is a later one. It reports whether the state has changed.
func (t *Tracker) depart(d Departure, state State, now Moment) bool {
	t.record(d, now)
	if t.current.State == Unknown || t.current.State >= state || !d.covers(t.current.Incarnation) {
		return false
	}
	t.current.State = state
	t.current.Born = max(t.current.Born, d.Born)
	return true
}

// record adds a departure to those that are stored. If there are already maxDeparted, it removes the one that was
// added first.
func (t *Tracker) record(d Departure, now Moment) {
	for k := range t.departed {
		known := &t.departed[k]
		if known.Incarnation != d.Incarnation {
			continue
		}
		if d.Through > known.Through {
			known.Through, known.statedAt = d.Through, now.Steady
		}
		return
	}
	d.statedAt = now.Steady
	if len(t.departed) == maxDeparted {
		t.departed = append(t.departed[:0], t.departed[1:]...)
	}
	t.departed = append(t.departed, d)
}
