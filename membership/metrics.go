package membership

import "github.com/uber-go/tally/v4"

type metrics struct {
	announced, expired, suspected                    tally.Counter
	checksDirect, checksIndirect, checksInconclusive tally.Counter
	appends, appended, logFailed, unreadable         tally.Counter
	upstreams                                        tally.Gauge
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
