package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// startFault applies the fault of a trace event and schedules its end.
func (s *simulation) startFault(e *Event) {
	duration := time.Duration(e.ForMs) * time.Millisecond
	end := s.applyFault(e, duration)
	if duration > 0 && end != nil {
		s.schedule(duration, end)
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
		s.partitionedZones[zone] = true
		return func() { delete(s.partitionedZones, zone) }
	case Recover:
		s.recover(e.Target)
		return nil
	}
	return s.guardsByName[e.Target].applyFault(e, duration)
}

// restoreLog ends LogDown and makes the announcements that were held back during it.
func (s *simulation) restoreLog() {
	s.logDown = false
	held := s.heldAnnouncements
	s.heldAnnouncements = nil
	for _, announce := range held {
		announce()
	}
}

// recover ends the faults of the target, a zone or an upstream. An empty target would
// end LogDown, but checkEvents allows no Recover without a target.
func (s *simulation) recover(target string) {
	delete(s.partitionedZones, model.AvailabilityZone(target))
	if target == "" {
		s.restoreLog()
		return
	}
	if g := s.guardsByName[target]; g != nil {
		g.recover()
	}
}

// applyFault applies a fault to the guard or its upstream and returns the
// function that ends it. The function is nil if the fault ends by itself.
func (g *guard) applyFault(e *Event, duration time.Duration) func() {
	f := &g.fake.faults
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
		g.fake.crashed = true
		g.fake.connections = 0
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

// recover ends every fault of the upstream and of its daemon. After a crash or
// a drain the upstream restarts as a new incarnation.
func (g *guard) recover() {
	mustRestart := g.fake.crashed || g.upstream.Draining
	g.fake.faults = faultState{straggleFactor: 1, reportedLoadFactor: 1}
	g.pausedUntil = 0
	if mustRestart {
		g.restart()
	}
}
