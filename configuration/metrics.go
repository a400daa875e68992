package configuration

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/config"
)

// metrics are the counters and gauges of a Store.
type metrics struct {
	// reads counts the reads that reached the end of the log.
	reads tally.Counter
	// readsFailed counts the reads that ended with an error.
	readsFailed tally.Counter
	// checkpointsAdopted counts the checkpoints from which the state was
	// restored.
	checkpointsAdopted tally.Counter
	// checkpointsAppended counts the checkpoints that this daemon appended.
	checkpointsAppended tally.Counter
	// checkpointsFailed counts the checkpoints whose append failed.
	checkpointsFailed tally.Counter
	// conflicts counts the digests received from peers that applied the same records
	// as this daemon but have another state.
	conflicts tally.Counter
	// compileErrors counts the accepted versions that do not compile. A version with
	// the same problem as the version before it is not counted again.
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
	withResult := func(r string) tally.Scope { return s.Tagged(map[string]string{"result": r}) }
	m := metrics{
		reads:               withResult("done").Counter("reads"),
		readsFailed:         withResult("failed").Counter("reads"),
		checkpointsAdopted:  s.Counter("checkpoints_adopted"),
		checkpointsAppended: withResult("done").Counter("checkpoints"),
		checkpointsFailed:   withResult("failed").Counter("checkpoints"),
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
