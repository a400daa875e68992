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

// newer reports whether a takes precedence over b.
func (a Event) newer(b Event) bool {
	if a.Upstream.Incarnation != b.Upstream.Incarnation {
		return a.Upstream.Incarnation > b.Upstream.Incarnation
	}
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.State > b.State
}

// Limits on the fields of an event.
const (
	maxName   = 253
	maxLabels = 32
	maxSlots  = 1 << 20
)

// valid reports whether an event received from outside is complete and within
// the limits.
func (a Event) valid() bool {
	u := a.Upstream
	for _, name := range []string{string(u.ID), string(u.Service), string(u.Daemon)} {
		if name == "" || len(name) > maxName {
			return false
		}
	}
	for k, v := range u.Labels {
		if len(k) > maxName || len(v) > maxName {
			return false
		}
	}
	return len(u.Zone) <= maxName && len(u.Labels) <= maxLabels && u.Slots > 0 && u.Slots <= maxSlots && a.State >= Joined && a.State <= Left
}

// Health is the state of a daemon as determined by failure detection.
type Health uint8

// The health states, from best to worst.
const (
	Alive Health = iota + 1
	// Suspect daemons did not respond, neither to this daemon nor to others.
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

// newer reports whether a takes precedence over b.
func (a Liveness) newer(b Liveness) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Health > b.Health
}

func (a Liveness) valid() bool {
	return a.Daemon != "" && len(a.Daemon) <= maxName && a.Health >= Alive && a.Health <= Dead
}
