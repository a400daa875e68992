package ceiling

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Key identifies a ceiling: the limits of one group on requests to one service.
type Key struct {
	Service model.ServiceName
	Group   model.GroupName
}

// Limits are the limits of a group, summed over all daemons. Zero means
// unlimited.
type Limits struct {
	// Rate is the maximum number of requests per second.
	Rate float64
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
}

const (
	// demandHalfLife is the half-life of the moving average of demand.
	demandHalfLife = time.Second
	// burstTime sets the capacity of the token bucket. The bucket holds the
	// tokens that the daemon's share of the rate adds in burstTime, but at least
	// one token.
	burstTime = 100 * time.Millisecond
	// initialShare is the fraction of a ceiling that a daemon gets until it has
	// reported demand for initialPeriod. Until then, its concurrency share is at
	// least one slot. Later, initialShare remains the minimum share of a rate.
	initialShare = 1.0 / 32
	// initialPeriod begins when the reported demand of a daemon rises above zero.
	// Reports of other daemons may still be on their way during this period.
	initialPeriod = 3 * time.Second
	// reportThreshold is the change of demand above which a daemon sends a new
	// report, as a fraction of the demand in its previous report.
	reportThreshold = 0.1
	// reportInterval is the longest time between two reports of a daemon that has
	// demand.
	reportInterval = 3 * time.Second
	// idleDemand is the demand in requests per second below which a daemon counts
	// its demand as zero.
	idleDemand = 0.01
	// retryAfter is the wait time returned with a refused request.
	retryAfter = time.Second
)

// Ceiling enforces one daemon's share of the Limits that one group has for one
// service. It is not safe for concurrent use.
type Ceiling struct {
	// key is the hash of the ceiling's Key.
	key     uint64
	self    Daemon
	limits  Limits
	reports reportTable

	// demand is the moving average of arrivals per second.
	demand float64
	// arrivals counts the requests since lastTick, including refused ones.
	arrivals int
	inFlight int
	lastTick model.Instant

	// rateShare and slotShare are this daemon's shares of the limits.
	rateShare float64
	slotShare int
	// tokens is the fill level of the token bucket that enforces rateShare.
	tokens     float64
	lastRefill model.Instant

	// demandSince is when the reported demand last rose above zero.
	demandSince model.Instant
	// reportedDemand is the demand in this daemon's last report.
	reportedDemand float64
	// reportedAt is the time of this daemon's last report.
	reportedAt  model.Instant
	hasReported bool
}

// New returns a Ceiling for the daemon self. The argument key is the hash of the
// ceiling's Key.
func New(now model.Instant, key uint64, self Daemon, limits Limits) *Ceiling {
	c := &Ceiling{key: key, self: self, reports: reportTable{byDaemon: make(map[Daemon]receivedReport)}, lastTick: now, lastRefill: now}
	c.SetLimits(limits)
	c.tokens = max(1, c.rateShare*burstTime.Seconds())
	return c
}

// SetLimits replaces the limits and recomputes this daemon's shares.
func (c *Ceiling) SetLimits(l Limits) {
	c.limits = l
	c.updateShares()
}

// TryAcquire admits or refuses one request. For an admitted request it returns
// true, and the request counts as in flight until Release is called. For a refused
// request it returns false and the time after which the caller may retry.
func (c *Ceiling) TryAcquire(now model.Instant) (time.Duration, bool) {
	c.arrivals++
	c.refill(now)
	if c.limits.Concurrency > 0 && c.inFlight >= c.slotShare {
		return retryAfter, false
	}
	if c.limits.Rate > 0 {
		if c.tokens < 1 {
			return retryAfter, false
		}
		c.tokens--
	}
	c.inFlight++
	return 0, true
}

// Release ends a request that TryAcquire has admitted.
func (c *Ceiling) Release() { c.inFlight-- }

// Share returns this daemon's shares of the limits: its requests per second and its
// maximum number of requests in flight.
func (c *Ceiling) Share() (rate float64, slots int) { return c.rateShare, c.slotShare }

// Tick updates the demand and the shares. It must be called several times per
// second. When a report to the other daemons is due, Tick returns the report and
// true. The timestamp argument is the wall clock in milliseconds.
func (c *Ceiling) Tick(now model.Instant, timestamp uint64) (Report, bool) {
	c.updateDemand(now)
	c.reports.expire(now, c.self)
	r, due := c.nextReport(now, timestamp)
	if due {
		c.reports.merge(now, r)
	}
	c.updateShares()
	return r, due
}

// Merge stores the report of another daemon for this ceiling; it does not check the
// report's Key. It returns false if it does not store the report. It ignores a report
// whose demand is negative, infinite or NaN, a report that names this daemon itself,
// and a report that is not newer than the stored report of the same daemon. When
// reports of maxDaemons daemons are stored, it also ignores reports of all other
// daemons.
func (c *Ceiling) Merge(now model.Instant, r Report) bool {
	if r.Daemon == c.self || !(r.Demand >= 0) || math.IsInf(float64(r.Demand), 0) {
		return false
	}
	return c.reports.merge(now, r)
}

// Reports returns the reports that have not expired, including this daemon's
// own.
func (c *Ceiling) Reports() []Report {
	out := make([]Report, 0, len(c.reports.byDaemon))
	for _, r := range c.reports.byDaemon {
		if !r.expired {
			out = append(out, r.Report)
		}
	}
	return out
}

// updateDemand adds the arrivals since the last tick to the moving average of demand.
// It sets an average below idleDemand to zero.
func (c *Ceiling) updateDemand(now model.Instant) {
	elapsed := now.Sub(c.lastTick)
	if elapsed <= 0 {
		return
	}
	retained := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	arrivalRate := float64(c.arrivals) / elapsed.Seconds()
	c.demand = retained*c.demand + (1-retained)*arrivalRate
	if c.demand < idleDemand {
		c.demand = 0
	}
	c.arrivals, c.lastTick = 0, now
}

// nextReport returns this daemon's report and true if a report is due. While the
// daemon has demand, a report is due when the demand has changed by more than
// reportThreshold since the last report, and when the last report is reportInterval
// old. When the demand ends, the daemon sends a single report with a demand of zero.
func (c *Ceiling) nextReport(now model.Instant, timestamp uint64) (Report, bool) {
	changed := math.Abs(c.demand-c.reportedDemand) > reportThreshold*max(c.reportedDemand, idleDemand)
	overdue := c.demand > 0 && now.Sub(c.reportedAt) >= reportInterval
	if c.hasReported && !changed && !overdue || !c.hasReported && c.demand == 0 {
		return Report{}, false
	}
	if c.reportedDemand == 0 {
		c.demandSince = now
	}
	if changed {
		// A periodic report repeats the last reported demand, so that shares do
		// not change while demand is steady.
		c.reportedDemand = c.demand
	}
	c.reportedAt, c.hasReported = now, true
	return Report{Key: c.key, Daemon: c.self, Demand: float32(c.reportedDemand), Stamp: timestamp}, true
}

// updateShares computes this daemon's shares from the reports. During initialPeriod
// and without demand, the shares are those set by initialShare.
func (c *Ceiling) updateShares() {
	ownDemand := 0.0
	if r, ok := c.reports.byDaemon[c.self]; ok {
		ownDemand = float64(r.Demand)
	}
	othersDemand := c.reports.demandOfOthers(c.self)
	if ownDemand == 0 || c.lastTick.Sub(c.demandSince) < initialPeriod {
		c.rateShare = c.limits.Rate * initialShare
		c.slotShare = max(1, int(float64(c.limits.Concurrency)*initialShare))
		return
	}
	c.rateShare = c.limits.Rate * max(ownDemand/(ownDemand+othersDemand), initialShare)
	c.slotShare = c.reports.slotsOf(c.self, c.limits.Concurrency)
}

// refill adds the tokens for the time since the last refill.
func (c *Ceiling) refill(now model.Instant) {
	elapsed := now.Sub(c.lastRefill)
	if elapsed <= 0 {
		return
	}
	c.tokens = min(c.tokens+c.rateShare*elapsed.Seconds(), max(1, c.rateShare*burstTime.Seconds()))
	c.lastRefill = now
}
