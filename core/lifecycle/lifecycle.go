// Package lifecycle orders what an upstream says of itself.
//
// A process that starts anew is a new incarnation, told apart by its id and the
// time of its start; it may carry the id of the one before. Reports of one
// incarnation carry a rising sequence. They may arrive late and in any order, so
// the newest wins by (start, sequence), an incarnation that has left never
// returns, and one that drains never becomes ready again.
package lifecycle

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// State is the stage of an incarnation. States only rise.
type State uint8

// The states.
const (
	// Unknown means that nothing has been heard of an incarnation.
	Unknown State = iota
	// Ready upstreams take requests.
	Ready
	// Draining upstreams finish what they have.
	Draining
	// Gone upstreams have said that they are leaving for good.
	Gone
)

// String returns the word used in logs.
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

// Incarnation names one life of an upstream.
type Incarnation struct {
	ID model.UpstreamID
	// Born is the start of the process, in Unix milliseconds by the clock of its
	// VM. Zero means that it was not told.
	Born int64
}

// Report is what an upstream says of itself.
type Report struct {
	Incarnation
	Sequence uint64
	State    State
	Service  model.ServiceName
	Zone     model.AvailabilityZone
	Address  string
	// Slots is the number of requests that it runs at once. Zero means that it was not
	// told.
	Slots int
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
}

// Verdict is what became of a report.
type Verdict uint8

// The verdicts.
const (
	// Stale reports are older than what is known.
	Stale Verdict = iota
	// Same reports change nothing but the sequence.
	Same
	// Changed reports change the state of the incarnation or its slots.
	Changed
	// Started reports are the first of a newer incarnation.
	Started
)

// maxDeparted is the number of departed incarnations remembered. One address has
// one upstream at a time and a report is late by seconds, so a few would do.
const maxDeparted = 64

// Tracker follows the upstream at one address. It is not safe for concurrent
// use. The zero value knows nothing.
type Tracker struct {
	current  Report
	departed []Incarnation
}

// Current returns the newest report. Its State is Unknown when there is none.
func (t *Tracker) Current() Report { return t.current }

// Observe takes in a report.
func (t *Tracker) Observe(r Report) Verdict {
	if t.hasDeparted(r.Incarnation) && r.State < Gone {
		return Stale
	}
	if t.current.State == Unknown {
		t.current = r
		return Started
	}
	if r.ID == t.current.ID && t.current.Born == 0 {
		// Known so far by an answer that does not tell the start.
		t.current.Born = r.Born
	}
	if r.Incarnation == t.current.Incarnation {
		return t.update(r)
	}
	if !t.supersedes(r) {
		return Stale
	}
	t.markDeparted(t.current.Incarnation)
	t.current = r
	return Started
}

// Leave takes in that an incarnation leaves for good. With a Born of zero it
// means the one known under the id.
func (t *Tracker) Leave(i Incarnation) Verdict {
	if i.Born == 0 && i.ID == t.current.ID {
		i.Born = t.current.Born
	}
	t.markDeparted(i)
	if i != t.current.Incarnation || t.current.State == Gone {
		return Stale
	}
	t.current.State = Gone
	return Changed
}

// Departed returns the incarnations that are known to have left or drained.
func (t *Tracker) Departed() []Incarnation { return t.departed }

// Restore takes in that incarnations have left, as others remember it.
func (t *Tracker) Restore(departed []Incarnation) {
	for _, i := range departed {
		t.markDeparted(i)
		if i == t.current.Incarnation && t.current.State == Ready {
			t.current.State = Draining
		}
	}
}

func (t *Tracker) update(r Report) Verdict {
	if r.Sequence <= t.current.Sequence {
		return Stale
	}
	state := max(r.State, t.current.State)
	changed := state != t.current.State || r.Slots != t.current.Slots
	t.current = r
	t.current.State = state
	if state > Ready {
		t.markDeparted(r.Incarnation)
	}
	if changed {
		return Changed
	}
	return Same
}

// supersedes reports whether a report of another incarnation is of a later one.
// Where either start is not told, an id that has not been seen is taken as later.
func (t *Tracker) supersedes(r Report) bool {
	if r.Born != 0 && t.current.Born != 0 {
		return r.Born > t.current.Born
	}
	return r.ID != t.current.ID
}

// hasDeparted reports whether an incarnation has departed. One whose start is not
// told may be any of its id.
func (t *Tracker) hasDeparted(i Incarnation) bool {
	for _, d := range t.departed {
		if d.ID == i.ID && (d.Born == i.Born || d.Born == 0 || i.Born == 0) {
			return true
		}
	}
	return false
}

func (t *Tracker) markDeparted(i Incarnation) {
	if t.hasDeparted(i) {
		return
	}
	if len(t.departed) == maxDeparted {
		t.departed = append(t.departed[:0], t.departed[1:]...)
	}
	t.departed = append(t.departed, i)
}
