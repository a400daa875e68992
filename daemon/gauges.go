package daemon

import (
	"context"
	"time"

	"github.com/dottereltiller/dottereltiller/interval"
	"github.com/uber-go/tally/v4"
)

const gaugeInterval = time.Second

// gaugeUpdater is the component that updates the daemon's gauges.
type gaugeUpdater struct {
	daemon *Daemon
	scope  tally.Scope
}

// String returns the component's name.
func (*gaugeUpdater) String() string { return "gauges" }

// Serve updates the gauges at once and then every gaugeInterval, until the context
// is done.
func (g *gaugeUpdater) Serve(ctx context.Context) error {
	g.report()
	return interval.Run(ctx, gaugeInterval, g.report)
}

// report sets the gauges to the current readiness of the daemon and the current load of
// each upstream of this VM.
func (g *gaugeUpdater) report() {
	ready := 0.0
	if g.daemon.readiness().OK {
		ready = 1
	}
	g.scope.SubScope("process").Gauge("ready").Update(ready)
	for id, load := range g.daemon.Guard.Loads("") {
		s := g.scope.SubScope("guard").Tagged(map[string]string{"upstream": string(id)})
		s.Gauge("running").Update(float64(load.Running))
		s.Gauge("waiting").Update(float64(load.Waiting))
		s.Gauge("limit").Update(float64(load.Limit))
		s.Gauge("failing").Update(float64(load.FailureRate))
	}
	for id, slotTime := range g.daemon.Guard.PollSlotTime() {
		s := g.scope.SubScope("guard").Tagged(map[string]string{"upstream": string(id)})
		s.Gauge("measuring_seconds").Update(slotTime.Seconds())
	}
}
