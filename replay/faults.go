package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// startFault begins a fault and schedules its end.
func (s *simulation) startFault(e *Event) {
	lasting := time.Duration(e.ForMs) * time.Millisecond
	end := s.applyFault(e, lasting)
	if lasting > 0 && end != nil {
		s.schedule(lasting, end)
	}
}

// applyFault returns what ends the fault, nil when it ends by itself.
func (s *simulation) applyFault(e *Event, lasting time.Duration) func() {
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
	return s.guardsByName[e.Target].applyFault(e, lasting)
}

func (s *simulation) restoreLog() {
	s.logDown = false
	held := s.heldAnnouncements
	s.heldAnnouncements = nil
	for _, run := range held {
		run()
	}
}

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

func (g *guard) applyFault(e *Event, lasting time.Duration) func() {
	f := &g.fake.faults
	now := g.sim.now
	switch e.Fault {
	case Straggle:
		f.straggle = e.Factor
		return func() { f.straggle = 1 }
	case ColdStart:
		f.cold, f.coldFrom, f.coldUntil = e.Factor, now, now.Add(max(lasting, time.Second))
		return nil
	case FailFast:
		f.failFast = true
		return func() { f.failFast = false }
	case Misreport:
		f.misreport = e.Factor
		return func() { f.misreport = 1 }
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
		if lasting > 0 {
			g.pausedUntil = now.Add(lasting)
		}
		return nil
	}
	return nil
}

// forever is past the end of every trace.
const forever = model.Instant(1 << 62)

// recover ends every fault of the upstream.
func (g *guard) recover() {
	back := g.fake.crashed || g.upstream.Draining
	g.fake.faults = faultState{straggle: 1, misreport: 1}
	g.pausedUntil = 0
	if back {
		g.restart()
	}
}
