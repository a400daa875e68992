package membership

import "github.com/uber-go/tally/v4"

// metrics are the counters and gauges of a Registry.
type metrics struct {
	// changedAnnouncements counts the announcements that changed the view.
	changedAnnouncements tally.Counter
	// expiredLeases counts the leases that expired.
	expiredLeases tally.Counter
	// checksSuspected counts the liveness checks that made a daemon suspect.
	checksSuspected tally.Counter
	// checksDirect counts the liveness checks in which the daemon responded to
	// a direct ping.
	checksDirect tally.Counter
	// checksIndirect counts the liveness checks in which a helper reached the
	// daemon.
	checksIndirect tally.Counter
	// checksInconclusive counts the liveness checks in which neither the daemon nor
	// any helper responded.
	checksInconclusive tally.Counter
	// appends counts the appends to the log.
	appends tally.Counter
	// appendedEvents counts the events that were appended to the log.
	appendedEvents tally.Counter
	// logFailures counts the calls of syncLog in which a read of the log or an append
	// to it failed.
	logFailures tally.Counter
	// unreadableRecords counts the records of the log that cannot be decoded.
	unreadableRecords tally.Counter
	// upstreams is the number of upstreams in the view, including those that
	// have left.
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
		changedAnnouncements: s.Counter("announcements_changed"),
		expiredLeases:        s.Counter("leases_expired"),
		checksSuspected:      check("suspected"),
		checksDirect:         check("answered"),
		checksIndirect:       check("answered_through_another"),
		checksInconclusive:   check("no_helper_answered"),
		appends:              s.Counter("appends"),
		appendedEvents:       s.Counter("events_appended"),
		logFailures:          s.Counter("log_failed"),
		unreadableRecords:    s.Counter("records_unreadable"),
		upstreams:            s.Gauge("upstreams"),
	}
}
