package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func (s *simulation) startFault(e *Event) {
	duration := time.Duration(e.ForMs) * time.Millisecond
	endFault := s.applyFault(e, duration)
	if duration > 0 && endFault != nil {
		s.schedule(duration, endFault)
	}
}

// applyFault applies a fault and returns the function that ends it. The function is
// nil if nothing needs to be done to end the fault.
func (s *simulation) applyFault(e *Event, duration time.Duration) func() {
	switch e.Fault {
	case LogDown:
		s.logDown = true
		return s.restoreLog
	case PartitionZone:
		zone := model.AvailabilityZone(e.Target)
		s.isPartitionedByZone[zone] = true
		return func() { delete(s.isPartitionedByZone, zone) }
	case Recover:
		s.endFaults(e.Target)
		return nil
	}
	return s.guardsByName[e.Target].applyFault(e, duration)
}

// restoreLog ends LogDown and makes the announcements that were held back during it.
func (s *simulation) restoreLog() {
	s.logDown = false
	announcements := s.heldAnnouncements
	s.heldAnnouncements = nil
	for _, announce := range announcements {
		announce()
	}
}

// endFaults ends the faults of the target, a zone or an upstream. An empty target would
// end LogDown, but checkEvents allows no Recover without a target.
func (s *simulation) endFaults(target string) {
	delete(s.isPartitionedByZone, model.AvailabilityZone(target))
	if target == "" {
		s.restoreLog()
		return
	}
	if g := s.guardsByName[target]; g != nil {
		g.endFaults()
	}
}

// applyFault applies a fault to the guard or its upstream and returns the
// function that ends it. The function is nil if the fault ends by itself.
func (g *guard) applyFault(e *Event, duration time.Duration) func() {
	f := &g.simulatedUpstream.faults
	now := g.sim.now
	switch e.Fault {
	case Straggle:
		f.straggleFactor = e.Factor
		return func() { f.straggleFactor = 1 }
	case ColdStart:
		f.coldFactor, f.coldFrom, f.coldUntil = e.Factor, now, now.Add(max(duration, time.Second))
		return nil
	case FailFast:
		f.failFast = true
		return func() { f.failFast = false }
	case Misreport:
		f.reportedLoadFactor = e.Factor
		return func() { f.reportedLoadFactor = 1 }
	case Drain:
		g.drain()
		g.sim.announceMembership()
		return g.restart
	case Crash:
		g.simulatedUpstream.crashed = true
		g.simulatedUpstream.connectionCount = 0
		g.crashRunning()
		return g.restart
	case PauseDaemon:
		g.pausedUntil = forever
		if duration > 0 {
			g.pausedUntil = now.Add(duration)
		}
		return nil
	}
	return nil
}

// forever is an instant after the end of every trace.
const forever = model.Instant(1 << 62)

// endFaults ends every fault of the upstream and of its daemon. After a crash or
// a drain the upstream restarts as a new incarnation.
func (g *guard) endFaults() {
	mustRestart := g.simulatedUpstream.crashed || g.upstream.Draining
	g.simulatedUpstream.faults = faultState{straggleFactor: 1, reportedLoadFactor: 1}
	g.pausedUntil = 0
	if mustRestart {
		g.restart()
	}
}
