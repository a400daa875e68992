package member

import (
	"github.com/dottereltiller/dottereltiller/core/model"
)

// State is the membership state of one incarnation of an upstream. Within an
// epoch it only moves forward, in the order of the constants.
type State uint8

// The states.
const (
	Joined State = iota + 1
	Draining
	Left
)

// Event announces that an upstream has reached a state.
type Event struct {
	Upstream model.Upstream `json:"upstream"`
	State    State          `json:"state"`
	// Epoch starts at 0. The upstream's daemon increments it to override a state
	// that other daemons hold for this incarnation and that it did not announce.
	Epoch uint64 `json:"epoch,omitempty"`
	// Unix is the wall clock of the announcing daemon in Unix seconds. It is
	// used only to decide when the event of an upstream that has left can be
	// deleted.
	Unix int64 `json:"unix,omitempty"`
}

// newer reports whether e takes precedence over other.
func (e Event) overrides(other Event) bool {
	if e.Upstream.Incarnation != other.Upstream.Incarnation {
		return e.Upstream.Incarnation > other.Upstream.Incarnation
	}
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	return e.State > other.State
}

// Limits on the fields of an event.
const (
	maxNameBytes = 253
	maxLabels    = 32
	maxSlots     = 1 << 20
)

// valid reports whether an event received from outside is complete and within
// the limits.
func (e Event) valid() bool {
	u := e.Upstream
	for _, name := range []string{string(u.ID), string(u.Service), string(u.Daemon)} {
		if name == "" || len(name) > maxNameBytes {
			return false
		}
	}
	for k, v := range u.Labels {
		if len(k) > maxNameBytes || len(v) > maxNameBytes {
			return false
		}
	}
	return len(u.Zone) <= maxNameBytes && len(u.Labels) <= maxLabels && u.Slots > 0 && u.Slots <= maxSlots && e.State >= Joined && e.State <= Left
}

// Health is the state of a daemon as determined by failure detection.
type Health uint8

// The health states, from best to worst.
const (
	Alive Health = iota + 1
	// Suspect daemons did not respond, neither directly nor through other
	// daemons.
	Suspect
	// Dead daemons stayed suspect for SuspicionTimeout.
	Dead
)

// Liveness is the health of one incarnation of a daemon.
type Liveness struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"life"`
	Health      Health            `json:"health"`
}

// newer reports whether l takes precedence over other.
func (l Liveness) overrides(other Liveness) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	return l.Health > other.Health
}

func (l Liveness) valid() bool {
	return l.Daemon != "" && len(l.Daemon) <= maxNameBytes && l.Health >= Alive && l.Health <= Dead
}
