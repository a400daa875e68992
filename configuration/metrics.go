package configuration

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/config"
)

type metrics struct {
	reads, readsFailed, checkpointsAdopted tally.Counter
	checkpoints, checkpointsFailed         tally.Counter
	conflicts, compileErrors               tally.Counter
	version                                tally.Gauge
	decisions                              [config.OutOfOrder + 1]tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("config")
	result := func(r string) tally.Scope { return s.Tagged(map[string]string{"result": r}) }
	m := metrics{
		reads:              result("done").Counter("reads"),
		readsFailed:        result("failed").Counter("reads"),
		checkpointsAdopted: s.Counter("checkpoints_adopted"),
		checkpoints:        result("done").Counter("checkpoints"),
		checkpointsFailed:  result("failed").Counter("checkpoints"),
		conflicts:          s.Counter("conflicts"),
		compileErrors:      s.Counter("versions_unusable"),
		version:            s.Gauge("version"),
	}
	for d := range m.decisions {
		name := config.Decision(d).String()
		m.decisions[d] = s.Tagged(map[string]string{"verdict": name}).Counter("records")
	}
	return m
}
