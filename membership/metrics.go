package membership

import "github.com/uber-go/tally/v4"

type metrics struct {
	// announced counts the announcements that changed the view.
	announced tally.Counter
	// expired counts the leases that expired.
	expired tally.Counter
	// suspected counts the liveness checks that made a daemon suspect.
	suspected tally.Counter
	// checksDirect counts the liveness checks in which the daemon responded to
	// a direct ping.
	checksDirect tally.Counter
	// checksIndirect counts the liveness checks in which a helper reached the
	// daemon.
	checksIndirect tally.Counter
	// checksInconclusive counts the liveness checks in which no helper
	// responded.
	checksInconclusive tally.Counter
	// appends counts the appends to the log.
	appends tally.Counter
	// appended counts the events that were appended to the log.
	appended tally.Counter
	// logFailed counts the failed reads of the log and appends to it.
	logFailed tally.Counter
	// unreadable counts the records of the log that cannot be decoded.
	unreadable tally.Counter
	// upstreams is the number of upstreams in the view.
	upstreams tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("membership")
	check := func(result string) tally.Counter {
		return s.Tagged(map[string]string{"result": result}).Counter("checks")
	}
	return metrics{
		announced:          s.Counter("announcements_changed"),
		expired:            s.Counter("leases_expired"),
		suspected:          check("suspected"),
		checksDirect:       check("answered"),
		checksIndirect:     check("answered_through_another"),
		checksInconclusive: check("no_helper_answered"),
		appends:            s.Counter("appends"),
		appended:           s.Counter("events_appended"),
		logFailed:          s.Counter("log_failed"),
		unreadable:         s.Counter("records_unreadable"),
		upstreams:          s.Gauge("upstreams"),
	}
}
