package member

import (
	"github.com/dottereltiller/dottereltiller/core/model"
)

// State is the membership state of one incarnation of an upstream. Within an
// epoch it only moves forward, in the order of the constants.
type State uint8

// The states.
const (
	// Joined upstreams are members of their service.
	Joined State = iota + 1
	// Draining upstreams are still members, but are about to leave.
	Draining
	// Left upstreams are no longer members.
	Left
)

// Event announces that an upstream has reached a state.
type Event struct {
	Upstream model.Upstream `json:"upstream"`
	State    State          `json:"state"`
	// Epoch starts at 0. Other daemons may hold a state for this incarnation that
	// the upstream's daemon did not announce. The upstream's daemon then increments
	// Epoch to override that state.
	Epoch uint64 `json:"epoch,omitempty"`
	// Unix is the wall clock of the announcing daemon in Unix seconds. It is
	// used only to decide when the event of an upstream that has left can be
	// deleted.
	Unix int64 `json:"unix,omitempty"`
}

// overrides reports whether e takes precedence over other.
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
	// maxNameBytes is the maximum length of ids, names, label keys and label values.
	maxNameBytes = 253
	// maxLabels is the maximum number of labels.
	maxLabels = 32
	// maxSlots is the maximum number of slots of an upstream.
	maxSlots = 1 << 20
)

// isValid reports whether an event received from outside is complete and within
// the limits.
func (e Event) isValid() bool {
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
	// Alive daemons respond, as far as is known.
	Alive Health = iota + 1
	// Suspect daemons did not respond, neither directly nor through other
	// daemons.
	Suspect
	// Dead daemons stayed suspect for Options.SuspicionTimeout.
	Dead
)

// Liveness is the health of one incarnation of a daemon.
type Liveness struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"life"`
	Health      Health            `json:"health"`
}

// overrides reports whether l takes precedence over other.
func (l Liveness) overrides(other Liveness) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	return l.Health > other.Health
}

func (l Liveness) isValid() bool {
	return l.Daemon != "" && len(l.Daemon) <= maxNameBytes && l.Health >= Alive && l.Health <= Dead
}
