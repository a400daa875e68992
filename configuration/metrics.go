package configuration

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/config"
)

type metrics struct {
	// reads counts the reads that reached the end of the log.
	reads       tally.Counter
	readsFailed tally.Counter
	// checkpointsAdopted counts the checkpoints from which the state was
	// restored.
	checkpointsAdopted tally.Counter
	// checkpointsAppended counts the checkpoints that this daemon appended.
	checkpointsAppended tally.Counter
	checkpointsFailed   tally.Counter
	// conflicts counts the digests of peers that applied the same records but
	// have another state.
	conflicts tally.Counter
	// compileErrors counts the accepted versions that do not compile.
	compileErrors tally.Counter
	// version is the version in force.
	version tally.Gauge
	// decisions counts the records by the state machine's decision on them.
	decisions [config.OutOfOrder + 1]tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("config")
	result := func(r string) tally.Scope { return s.Tagged(map[string]string{"result": r}) }
	m := metrics{
		reads:               result("done").Counter("reads"),
		readsFailed:         result("failed").Counter("reads"),
		checkpointsAdopted:  s.Counter("checkpoints_adopted"),
		checkpointsAppended: result("done").Counter("checkpoints"),
		checkpointsFailed:   result("failed").Counter("checkpoints"),
		conflicts:           s.Counter("conflicts"),
		compileErrors:       s.Counter("versions_unusable"),
		version:             s.Gauge("version"),
	}
	for d := range m.decisions {
		name := config.Decision(d).String()
		m.decisions[d] = s.Tagged(map[string]string{"verdict": name}).Counter("records")
	}
	return m
}
