package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// Gauge is a metric whose value is read on demand.
type Gauge struct {
	Name string
	Help string
	Read func() float64
}

// Gauges returns the metrics that describe the current state of the daemon.
func (d *Daemon) Gauges() []Gauge {
	return []Gauge{
		{"ready", "1 while requests are taken", func() float64 { return boolToFloat(d.ready.Load() && !d.stopping.Load()) }},
		{"in_flight", "requests of local callers in hand", func() float64 { return float64(d.inFlight.count()) }},
		{"response_bytes", "memory that the bodies of responses in hand take", func() float64 { return float64(d.responses.Used()) }},
		{"config_version", "version of the configuration in force", func() float64 { return float64(d.config.version()) }},
		{"config_age_seconds", "how long the configuration has been in force", func() float64 { return d.config.timeInForce().Seconds() }},
		{"config_source_watched", "1 while this daemon watches the store of the configuration", func() float64 { return boolToFloat(d.follower.watchesStore()) }},
		{"config_source_lost", "1 while no daemon of the cell reaches the store of the configuration", func() float64 { return boolToFloat(d.storeUnreachableFor() > 0) }},
		{"config_source_lost_seconds", "for how long none has", func() float64 { return d.storeUnreachableFor().Seconds() }},
		{"peers_known", "daemons known, this one included", func() float64 { return float64(d.peers.numDaemons()) }},
		{"peers_lost", "daemons that cannot be reached", func() float64 { return float64(d.peers.numDaemons() - 1 - len(d.peers.reachableMembers())) }},
		{"peers_lost_seconds", "how long the longest lost of them has been out of reach", func() float64 { return d.peers.longestUnreachable().Seconds() }},
		{"upstream_running", "requests that run in the own upstream", func() float64 { return float64(d.guard.currentLoad().Running) }},
		{"upstream_waiting", "requests that wait for it", func() float64 { return float64(d.guard.currentLoad().Waiting) }},
		{"upstream_accounts_waiting", "client accounts whose requests wait for it", func() float64 { return float64(d.guard.accountsWaiting()) }},
		{"upstream_guaranteed_starts", "starts before lower ranks that were owed to accounts", func() float64 { return float64(d.guard.guaranteedStarts()) }},
		{"upstream_limit", "requests that may run there at once", func() float64 { return float64(d.guard.currentLoad().Limit) }},
		{"upstream_slow", "how long work takes there, 1 being as usual", func() float64 { return d.guard.currentLoad().Slowdown }},
		{"upstream_slow_age_seconds", "age of that figure", func() float64 { return d.guard.currentLoad().SlowdownAge.Seconds() }},
		{"upstream_failing", "recent share of failed runs", func() float64 { return d.guard.currentLoad().FailureRate }},
		{"upstream_calls_per_run", "calls to other services for each run of late", d.guard.currentCallsPerRun},
		{"upstream_ready", "1 while the own upstream takes requests", func() float64 {
			currentReport, _ := d.guard.reportAndDeparted()
			return boolToFloat(currentReport.State == lifecycle.Ready)
		}},
		{"upstream_cold", "1 while the own upstream is known to be cold", func() float64 { return boolToFloat(d.guard.isCold()) }},
		{"upstream_rate_limited", "1 while the own upstream limits the rate of its requests", func() float64 { return boolToFloat(d.guard.rateLimit().Limited) }},
		{"upstream_rate_limit", "requests a second that it takes then", func() float64 { return d.guard.rateLimit().PerSecond }},
		{"upstream_evacuated", "1 while the zone of the own upstream is evacuated", func() float64 { return boolToFloat(d.evacuations.includes(d.opts.Zone)) }},
		{"zones_evacuated", "evacuated availability zones", func() float64 { return float64(len(d.evacuations.current().Zones)) }},
		{"quota_shares_held", "accounts of which this daemon holds the share of its zone", func() float64 { return float64(d.quotas.Held()) }},
		{"quota_grants", "accounts of which this daemon has unused tokens", func() float64 {
			count, _ := d.quotas.Leases()
			return float64(count)
		}},
		{"quota_grant_age_seconds", "age of the oldest of these tokens", func() float64 {
			_, oldest := d.quotas.Leases()
			return oldest.Seconds()
		}},
		{"resends_left", "re-sends that the tightest budget holds", d.entry.retriesLeft},
	}
}

// storeUnreachableFor returns for how long no daemon of the cell (see storeUnreachableSince) has
// reached the configuration store. It returns zero if one does.
func (d *Daemon) storeUnreachableFor() time.Duration {
	if since := d.storeUnreachableSince.Load(); since != 0 {
		return d.now().Sub(model.Instant(since))
	}
	return 0
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
