package sidecar

import (
	"encoding/base64"
	"log/slog"
	"net/http"
	"slices"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/evacuation"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

// evacuations holds the newest known state of the evacuations. Daemons that watch the store read it
// there, with the configuration. It spreads as the configuration does: with every exchange of records
// and every transferred configuration, by pushes after a change, and in anti-entropy rounds. It is safe
// for concurrent use.
type evacuations struct {
	decisions *decision.Log
	// onChange is called with the new state after the set of evacuated zones has changed.
	onChange func(evacuation.State)

	mu    sync.Mutex
	state evacuation.State
}

func newEvacuations(d *decision.Log) *evacuations {
	return &evacuations{decisions: d, onChange: func(evacuation.State) {}}
}

func (e *evacuations) current() evacuation.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *evacuations) includes(z model.AvailabilityZone) bool {
	s := e.current()
	return s.Includes(z)
}

// apply puts a state into force unless it is older than the one in force. It reports whether the state
// is newer. origin names the origin of the state in log lines.
func (e *evacuations) apply(s evacuation.State, origin string) bool {
	e.mu.Lock()
	if !s.Supersedes(&e.state) {
		e.mu.Unlock()
		return false
	}
	changed := !slices.Equal(s.Zones, e.state.Zones)
	e.state = s
	e.mu.Unlock()
	if changed {
		e.decisions.Write(decision.Evacuated, "", slog.Any("zones", s.Zones), slog.Uint64("version", s.Version), slog.String("from", origin))
		e.onChange(s)
	}
	return true
}

// onEvacuationsChange brings a new state of the evacuations into force and pushes it to other daemons.
func (d *Daemon) onEvacuationsChange(s evacuation.State) {
	d.peers.updateCandidates()
	d.guard.setEvacuated(s.Includes(d.opts.Zone))
	d.antiEntropy.speedUp()
	body := s.Append(nil)
	for _, m := range d.follower.peerSelector.PushTargets(d.peers.reachableMembers(), d.follower.watchesStore()) {
		d.datagrams.sendOneWay(kindEvacuations, m.Address, body)
	}
}

// setEvacuated sets whether the zone of the upstream is evacuated. The guard then sends it no more
// calls and returns those that wait. Afterwards the upstream may be cold, so the guard asks it first.
func (g *guard) setEvacuated(evacuated bool) {
	g.mu.Lock()
	ended := g.evacuated && !evacuated
	g.evacuated = evacuated
	if ended {
		g.startHealthCheck()
	}
	g.mu.Unlock()
	g.dispatch()
}

// handleEvacuations stores the state that another daemon sent. If that state is older than the one
// held here, it sends the one held here. A malformed body is ignored.
func (a *datagrams) handleEvacuations(m datagram) {
	received, err := evacuation.Decode(m.body())
	if err != nil {
		return
	}
	if a.d.evacuations.apply(received, m.sender.String()) {
		return
	}
	if held := a.d.evacuations.current(); held.Supersedes(&received) {
		a.transmit(held.Append(a.header(kindEvacuations, 0)), m.sender)
	}
}

// evacuationsHeader carries the state of the evacuations in responses to requests for the
// configuration, encoded in base64.
const evacuationsHeader = "Dt-Evacuations"

// setEvacuations adds the newest known state to the header of a response.
func (e *evacuations) setEvacuations(h http.Header) {
	s := e.current()
	h.Set(evacuationsHeader, base64.StdEncoding.EncodeToString(s.Append(nil)))
}

// receiveHeader applies the state in the header of a response, if it has one. origin is the address
// of the daemon that responded.
func (e *evacuations) receiveHeader(h http.Header, origin string) {
	b, err := base64.StdEncoding.DecodeString(h.Get(evacuationsHeader))
	if err != nil {
		return
	}
	if s, err := evacuation.Decode(b); err == nil {
		e.apply(s, origin)
	}
}

// message returns the newest known state as it stands in messages to other daemons, nil if none is
// known.
func (e *evacuations) message() []byte {
	s := e.current()
	if s.Version == 0 {
		return nil
	}
	return s.Append(nil)
}

// receiveMessage applies the state in a message of another daemon, if it has one. origin is the address
// of that daemon.
func (e *evacuations) receiveMessage(b []byte, origin string) {
	if s, err := evacuation.Decode(b); err == nil {
		e.apply(s, origin)
	}
}
